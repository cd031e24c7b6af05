"""Connections to one peer, kept for the next request."""

from __future__ import annotations

import asyncio
import math
import typing

from clementinepass.http import channel, messages

#: Seconds for which an idle connection is used again when the peer says no
#: time. Endpoints close idle connections after a time of their own.
_DEFAULT_KEPT = 4.0
#: The part of the peer's time for which a connection is used. The peer's
#: clock for it started a message delay earlier, and its end may be on its way.
_KEPT_PART = 0.6
#: Seconds for a connection to be opened. Peers are a few milliseconds away;
#: one that lost a packet is tried again by the kernel after a second.
_CONNECT_SECONDS = 1.5


class Pool:
    """Connections to one address, the one used last first.

    :param host: an IP number.
    :param most: connections at a time, busy ones included.
    """

    __slots__ = (
        '_heard',
        '_host',
        '_idle',
        '_most',
        '_port',
        '_used',
        'busy',
        'opened',
    )

    def __init__(self, host: str, port: int, most: int = 64) -> None:
        self._host = host
        self._port = port
        self._most = most
        self._idle: list[channel.Channel] = []
        self._used: set[channel.Channel] = set()
        self._heard: float = 0
        #: Connections that carry a request.
        self.busy = 0
        #: Connections opened so far.
        self.opened = 0

    @classmethod
    def from_address(cls, address: str, most: int = 64) -> Pool:
        """Make a pool for ``host:port``."""
        host, _, port = address.rpartition(':')
        return cls(host, int(port), most)

    @property
    def full(self) -> bool:
        """Tell whether the peer allows no further connection."""
        return self.busy >= self._most

    @property
    def heard(self) -> float:
        """Return the monotonic seconds at which the peer last sent a byte."""
        return max((self._heard, *(one.heard for one in self._used)))

    async def take(
        self,
        *,
        longest_idle: float = math.inf,
        seconds: float = _CONNECT_SECONDS,
    ) -> channel.Channel:
        """Return a connection that is ready for a request.

        :param longest_idle: seconds for which it may have been idle. A peer
            closes idle connections, and a request that crosses such an end
            may or may not have been read.
        :raises ChannelBrokenError: there is none; nothing was sent.
        """
        kept = self._take_kept(longest_idle)
        self.busy += 1
        if kept is not None:
            self._used.add(kept)
            return kept
        self.opened += 1
        try:
            opened = await channel.Channel.connect(
                self._host,
                self._port,
                seconds,
            )
        except BaseException:
            self.busy -= 1
            raise
        self._used.add(opened)
        return opened

    def give_back(self, used: channel.Channel) -> None:
        """Keep a connection for the next request, or end it."""
        self.busy -= 1
        self._used.discard(used)
        self._heard = max(self._heard, used.heard)
        if used.finish():
            self._idle.append(used)

    def close(self) -> None:
        """End the idle connections."""
        for kept in self._idle:
            kept.abort()
        self._idle.clear()

    def _take_kept(self, longest_idle: float) -> channel.Channel | None:
        now = asyncio.get_running_loop().time()
        found = None
        while self._idle and found is None:
            kept = self._idle.pop()
            allowed = _KEPT_PART * (kept.kept_for or _DEFAULT_KEPT)
            idle = now - kept.idle_since
            if kept.usable and idle <= min(allowed, longest_idle):
                found = kept
            else:
                kept.abort()
        return found


class Fetched(typing.NamedTuple):
    """A whole answer.

    :param seconds: from its head to its end.
    """

    status: int
    body: bytes
    headers: messages.Headers
    seconds: float = 0


async def fetch(pool: Pool, request: bytes, seconds: float) -> Fetched:
    """Exchange one request for a whole answer within some seconds.

    :raises ChannelBrokenError: there was no whole answer. The request may
        have been carried out.
    """
    try:
        async with asyncio.timeout(seconds):
            return await _fetch(pool, request)
    except TimeoutError as error:
        raise channel.ChannelBrokenError(
            f'no answer within {seconds:.1f} s',
            peer='',
            fault=channel.Fault.SILENT,
        ) from error


async def _fetch(pool: Pool, request: bytes) -> Fetched:
    used = await pool.take()
    try:
        used.send(request)
        head = await used.answer_head()
        begun = asyncio.get_running_loop().time()
        parts = []
        while part := await used.read():
            parts.append(part)
    except BaseException:
        used.abort()
        raise
    finally:
        pool.give_back(used)
    seconds = asyncio.get_running_loop().time() - begun
    return Fetched(head.status, b''.join(parts), head.headers, seconds)
