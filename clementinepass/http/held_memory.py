"""Count the bytes that a process holds for callers and endpoints."""

from __future__ import annotations

import asyncio
import typing

from loguru import logger

from clementinepass.decisions import held_bytes


class Reader(typing.Protocol):
    """A caller's connection with bytes that the caller has not read."""

    @property
    def backlog(self) -> held_bytes.Backlog:
        """Return the unread bytes as of the last measurement."""

    def measure_unsent(self) -> None:
        """Update the count of unread bytes, which falls as the caller reads."""

    def cut_off(self) -> None:
        """Close the connection and drop the unread bytes."""


class HeldMemory:
    """The bytes held by a process, and their bound.

    :param limits: the bounds; infinite by default.
    """

    __slots__ = ('_limits', 'cut_off_count', 'held', 'readers')

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

    def has_room(self, count: int) -> bool:
        """Tell whether a new request may hold more bytes.

        Callers that have not read for seconds are cut off first if needed.
        """
        excess = self.held + count - self._limits.admission
        if excess <= 0:
            return True
        self.measure()
        self._cut_off(count, self._limits.admission, held_bytes.STALL_SECONDS)
        return self.held + count <= self._limits.admission

    def is_exceeded(self) -> bool:
        """Tell whether running requests hold too many bytes.

        Callers that have not read for a second are cut off first.
        """
        if self.held <= self._limits.total:
            return False
        self.measure()
        self._cut_off(0, self._limits.total, held_bytes.SHORT_STALL_SECONDS)
        return self.held > self._limits.total

    def measure(self) -> None:
        """Update the count of unread bytes."""
        for reader in list(self.readers):
            reader.measure_unsent()

    def _cut_off(self, count: int, limit: float, seconds: float) -> None:
        """Cut off callers that have not read for some seconds."""
        now = asyncio.get_running_loop().time()
        readers = list(self.readers)
        backlogs = [reader.backlog for reader in readers]
        excess = self.held + count - limit
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
