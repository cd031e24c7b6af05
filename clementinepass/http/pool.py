"""Connections to one peer, kept for the next request."""

from __future__ import annotations

import asyncio
import math
import typing

from clementinepass.http import channel, messages

#: Seconds for which an idle connection is used again when the peer says no
#: time. Endpoints close idle connections after a time of their own.
_DEFAULT_KEEP_ALIVE_SECONDS = 4.0
#: The part of the peer's time for which a connection is used. The peer's
#: clock for it started a message delay earlier, and its end may be on its way.
_KEEP_ALIVE_FRACTION = 0.6
#: Seconds for a connection to be opened. Peers are a few milliseconds away;
#: one that lost a packet is tried again by the kernel after a second.
_CONNECT_SECONDS = 1.5


class Pool:
    """Connections to one address, the one used last first.

    :param host: an IP number.
    :param max_connections: connections at a time, busy ones included.
    """

    __slots__ = (
        '_last_received_at',
        '_host',
        '_idle',
        '_max_connections',
        '_port',
        '_in_use',
        'busy_count',
        'opened_count',
    )

    def __init__(self, host: str, port: int, max_connections: int = 64) -> None:
        self._host = host
        self._port = port
        self._max_connections = max_connections
        self._idle: list[channel.Channel] = []
        self._in_use: set[channel.Channel] = set()
        self._last_received_at: float = 0
        #: Connections that carry a request.
        self.busy_count = 0
        #: Connections opened so far.
        self.opened_count = 0

    @classmethod
    def from_address(cls, address: str, max_connections: int = 64) -> Pool:
        """Make a pool for ``host:port``."""
        host, _, port = address.rpartition(':')
        return cls(host, int(port), max_connections)

    @property
    def is_full(self) -> bool:
        """Tell whether the peer allows no further connection."""
        return self.busy_count >= self._max_connections

    @property
    def last_received_at(self) -> float:
        """Return the monotonic seconds at which the peer last sent a byte."""
        return max(
            (
                self._last_received_at,
                *(connection.last_received_at for connection in self._in_use),
            )
        )

    async def acquire(
        self,
        *,
        max_idle_seconds: float = math.inf,
        seconds: float = _CONNECT_SECONDS,
    ) -> channel.Channel:
        """Return a connection that is ready for a request.

        :param max_idle_seconds: seconds for which it may have been idle. A peer
            closes idle connections, and a request that crosses such an end
            may or may not have been read.
        :raises ChannelBrokenError: there is none; nothing was sent.
        """
        kept = self._acquire_idle(max_idle_seconds)
        self.busy_count += 1
        if kept is not None:
            self._in_use.add(kept)
            return kept
        self.opened_count += 1
        try:
            opened = await channel.Channel.connect(
                self._host,
                self._port,
                seconds,
            )
        except BaseException:
            self.busy_count -= 1
            raise
        self._in_use.add(opened)
        return opened

    def release(self, used: channel.Channel) -> None:
        """Keep a connection for the next request, or end it."""
        self.busy_count -= 1
        self._in_use.discard(used)
        self._last_received_at = max(
            self._last_received_at, used.last_received_at
        )
        if used.finish():
            self._idle.append(used)

    def close(self) -> None:
        """End the idle connections."""
        for kept in self._idle:
            kept.abort()
        self._idle.clear()

    def _acquire_idle(self, max_idle_seconds: float) -> channel.Channel | None:
        now = asyncio.get_running_loop().time()
        found = None
        while self._idle and found is None:
            kept = self._idle.pop()
            allowed_seconds = _KEEP_ALIVE_FRACTION * (
                kept.keep_alive_seconds or _DEFAULT_KEEP_ALIVE_SECONDS
            )
            idle_seconds = now - kept.idle_since
            if kept.is_usable and idle_seconds <= min(
                allowed_seconds, max_idle_seconds
            ):
                found = kept
            else:
                kept.abort()
        return found


class Answer(typing.NamedTuple):
    """A whole answer.

    :param seconds: from its head to its end.
    """

    status: int
    body: bytes
    headers: messages.Headers
    seconds: float = 0


async def fetch(pool: Pool, request: bytes, seconds: float) -> Answer:
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


async def _fetch(pool: Pool, request: bytes) -> Answer:
    used = await pool.acquire()
    try:
        used.send(request)
        head = await used.read_head()
        started_at = asyncio.get_running_loop().time()
        parts = []
        while part := await used.read():
            parts.append(part)
    except BaseException:
        used.abort()
        raise
    finally:
        pool.release(used)
    seconds = asyncio.get_running_loop().time() - started_at
    return Answer(head.status, b''.join(parts), head.headers, seconds)
