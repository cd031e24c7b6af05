"""Count the bytes that a process holds for callers and endpoints."""

from __future__ import annotations

import asyncio
import math
import typing

from loguru import logger

from clementinepass.decisions import held_bytes, shedding


#: Memory of a connection, and of the request that is served on it, beside the
#: head and the body of that request.
_CONNECTION_BYTES = 16384
#: Seconds after a choice that found nothing to give up until the next one.
_CHOICE_INTERVAL_SECONDS = 0.05
#: Minimum number of seconds between log lines on requests given up.
_LOG_INTERVAL_SECONDS = 1.0


class Reader(typing.Protocol):
    """A caller's connection with bytes that the caller has not read."""

    @property
    def backlog(self) -> held_bytes.Backlog:
        """Return the unread bytes as of the last measurement."""

    def measure_unsent(self) -> None:
        """Update the count of unread bytes, which falls as the caller reads."""

    def cut_off(self) -> None:
        """Close the connection and drop the unread bytes."""


class Upload(typing.Protocol):
    """A connection with a request that is not complete."""

    @property
    def upload(self) -> shedding.Occupant:
        """Return what the unfinished request has brought and holds."""

    def give_up(self) -> None:
        """Refuse the unfinished request and release its bytes."""


class HeldMemory:
    """The bytes held by a process, and their bound.

    :param limits: the bounds; infinite by default.
    """

    __slots__ = (
        '_given_up_since_log',
        '_limits',
        '_logged_at',
        '_next_choice_at',
        'connection_count',
        'cut_off_count',
        'given_up_count',
        'held',
        'readers',
        'uploads',
    )

    def __init__(
        self, limits: held_bytes.Limits = held_bytes.UNBOUNDED
    ) -> None:
        self._limits = limits
        #: Bytes held. Unread bytes count as of their last measurement, which
        #: is never too low.
        self.held = 0
        #: Number of callers cut off as they did not read.
        self.cut_off_count = 0
        #: Connections with unread bytes.
        self.readers: set[Reader] = set()
        #: Connections with unfinished requests.
        self.uploads: set[Upload] = set()
        #: Number of open connections, which count with their own memory.
        self.connection_count = 0
        #: Number of unfinished requests given up for lack of memory.
        self.given_up_count = 0
        self._given_up_since_log = 0
        self._next_choice_at = -math.inf
        self._logged_at = -math.inf

    @classmethod
    def from_memory(cls, memory_bytes: int) -> HeldMemory:
        """Create the count for a process with a memory limit; 0 for none."""
        return cls(held_bytes.Limits.from_memory(memory_bytes))

    @property
    def limit(self) -> float:
        """Return the bound in bytes; infinite if there is none."""
        return self._limits.total

    def hold(self, count: int) -> None:
        """Count bytes that are held from now on; negative for released ones."""
        self.held += count

    @property
    def used(self) -> int:
        """Return the bytes held, those of connections included."""
        return self.held + self.connection_count * _CONNECTION_BYTES

    def has_room(self, count: int, upload: Upload | None = None) -> bool:
        """Tell whether a new request may hold more bytes.

        Callers that have not read for seconds are cut off first if needed,
        then the slowest unfinished requests are given up.

        :param upload: the connection of the request, if it is not complete. It
            finds no room if its own request is the slowest.
        """
        if self.used + count <= self._limits.admission:
            return True
        self.measure()
        self._cut_off(count, self._limits.admission, held_bytes.STALL_SECONDS)
        if self.used + count > self._limits.admission:
            self._give_up(count, upload)
        return self.used + count <= self._limits.admission

    def is_exceeded(self) -> bool:
        """Tell whether running requests hold too many bytes.

        Callers that have not read for a second are cut off first.
        """
        if self.used <= self._limits.total:
            return False
        self.measure()
        self._cut_off(0, self._limits.total, held_bytes.SHORT_STALL_SECONDS)
        return self.used > self._limits.total

    def measure(self) -> None:
        """Update the count of unread bytes."""
        for reader in list(self.readers):
            reader.measure_unsent()

    def _cut_off(self, count: int, limit: float, seconds: float) -> None:
        """Cut off callers that have not read for some seconds."""
        now = asyncio.get_running_loop().time()
        readers = list(self.readers)
        backlogs = [reader.backlog for reader in readers]
        excess = self.used + count - limit
        for position in held_bytes.choose_stalled(
            backlogs, excess, now - seconds
        ):
            self.cut_off_count += 1
            logger.bind(
                bytes=backlogs[position].size,
                seconds=round(now - backlogs[position].since, 3),
                held=self.held,
            ).warning('caller that does not read cut off')
            readers[position].cut_off()

    def _give_up(self, count: int, upload: Upload | None) -> None:
        """Give up the slowest unfinished requests."""
        now = asyncio.get_running_loop().time()
        if now < self._next_choice_at:
            return
        uploads = list(self.uploads)
        excess = self.used + count - self._limits.admission
        positions = shedding.choose_for_memory(
            [waiting.upload for waiting in uploads], excess, now
        )
        given_up = 0
        for position in positions:
            if uploads[position] is upload:
                break
            given_up += 1
            uploads[position].give_up()
        if given_up:
            self._report_given_up(given_up, now)
        else:
            self._next_choice_at = now + _CHOICE_INTERVAL_SECONDS

    def _report_given_up(self, count: int, now: float) -> None:
        """Count and log unfinished requests that were given up.

        Those between two log lines are counted in the next one.
        """
        self.given_up_count += count
        self._given_up_since_log += count
        if now - self._logged_at < _LOG_INTERVAL_SECONDS:
            return
        logger.bind(given_up=self._given_up_since_log, held=self.used).warning(
            'unfinished requests given up'
        )
        self._logged_at = now
        self._given_up_since_log = 0
