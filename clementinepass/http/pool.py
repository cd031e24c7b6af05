"""Pool of client connections to one peer."""

from __future__ import annotations

import asyncio
import math
import typing

from clementinepass.http import channel, messages

#: Seconds assumed for which a peer keeps an idle connection, if it announces
#: no time. Endpoints close idle connections after a timeout of their own.
_DEFAULT_KEEP_ALIVE_SECONDS = 4.0
#: Fraction of the peer's keep-alive time for which an idle connection is
#: reused. The peer's timer started one message delay earlier, and its close may
#: already be in flight.
_KEEP_ALIVE_FRACTION = 0.6
#: Timeout of opening a connection. Peers are a few milliseconds away, and the
#: kernel retransmits a lost packet after a second.
_CONNECT_TIMEOUT_SECONDS = 1.5
#: Longest body of a complete answer.
_MAX_BODY_BYTES = 32 << 20


_Part = typing.TypeVar('_Part')


class Pool:
    """Client connections to one address; the last used one is reused first.

    :param host: the peer's IP address.
    :param max_connections: number of busy connections at which the pool is
        full.
    """

    __slots__ = (
        '_last_received_at',
        '_host',
        '_idle',
        '_max_connections',
        '_port',
        '_in_use',
        'busy_count',
        'min_connect_seconds',
        'opened_count',
    )

    def __init__(self, host: str, port: int, max_connections: int = 64) -> None:
        self._host = host
        self._port = port
        self._max_connections = max_connections
        self._idle: list[channel.Channel] = []
        self._in_use: set[channel.Channel] = set()
        self._last_received_at: float = 0
        #: Number of connections that carry a request or are being opened.
        self.busy_count = 0
        #: Number of connections opened so far.
        self.opened_count = 0
        #: Seconds that the fastest of them took to open; infinite before it.
        self.min_connect_seconds = math.inf

    @classmethod
    def from_address(cls, address: str, max_connections: int = 64) -> Pool:
        """Create a pool for ``host:port``."""
        host, _, port = address.rpartition(':')
        return cls(host, int(port), max_connections)

    @property
    def is_full(self) -> bool:
        """Return whether the maximum number of connections is in use."""
        return self.busy_count >= self._max_connections

    @property
    def last_received_at(self) -> float:
        """Monotonic time in seconds at which the last byte was received."""
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
        seconds: float = _CONNECT_TIMEOUT_SECONDS,
    ) -> channel.Channel:
        """Return an idle or a new connection for a request.

        :param max_idle_seconds: maximum idle time of a reused connection. A
            peer closes idle connections, and it is unknown whether a request
            that crosses such a close was read.
        :param seconds: timeout of opening a connection.
        :raises ChannelBrokenError: no connection could be opened; nothing was
            sent.
        """
        idle_connection = self._acquire_idle(max_idle_seconds)
        self.busy_count += 1
        if idle_connection is not None:
            self._in_use.add(idle_connection)
            return idle_connection
        self.opened_count += 1
        started_at = asyncio.get_running_loop().time()
        try:
            new_connection = await channel.Channel.connect(
                self._host,
                self._port,
                seconds,
            )
        except BaseException:
            self.busy_count -= 1
            raise
        self.min_connect_seconds = min(
            self.min_connect_seconds,
            asyncio.get_running_loop().time() - started_at,
        )
        self._in_use.add(new_connection)
        return new_connection

    def release(self, connection: channel.Channel) -> None:
        """Keep a connection for reuse, or close it if it can't be reused."""
        self.busy_count -= 1
        self._in_use.discard(connection)
        self._last_received_at = max(
            self._last_received_at, connection.last_received_at
        )
        if connection.finish():
            self._idle.append(connection)

    def close(self) -> None:
        """Close the idle connections."""
        for idle_connection in self._idle:
            idle_connection.abort()
        self._idle.clear()

    def _acquire_idle(self, max_idle_seconds: float) -> channel.Channel | None:
        now = asyncio.get_running_loop().time()
        reusable = None
        while self._idle and reusable is None:
            idle_connection = self._idle.pop()
            allowed_seconds = _KEEP_ALIVE_FRACTION * (
                idle_connection.keep_alive_seconds
                or _DEFAULT_KEEP_ALIVE_SECONDS
            )
            idle_seconds = now - idle_connection.idle_since
            if idle_connection.is_usable and idle_seconds <= min(
                allowed_seconds, max_idle_seconds
            ):
                reusable = idle_connection
            else:
                idle_connection.abort()
        return reusable


class Answer(typing.NamedTuple):
    """A complete answer.

    :param seconds: time from the answer's head to its end.
    """

    status: int
    body: bytes
    headers: messages.Headers
    seconds: float = 0


async def fetch(
    pool: Pool,
    request: bytes,
    seconds: float,
    *,
    max_silence_seconds: float | None = None,
) -> Answer:
    """Send one request and return its complete answer within ``seconds``.

    The body may have 32 MiB.

    :param max_silence_seconds: longest time without a byte of the answer;
        ``None`` for no limit but ``seconds``.
    :raises ChannelBrokenError: no complete answer arrived. The request may
        have been executed.
    """
    try:
        async with asyncio.timeout(seconds):
            return await _fetch(pool, request, max_silence_seconds)
    except TimeoutError as error:
        raise _silence_error(seconds) from error


async def _fetch(
    pool: Pool, request: bytes, max_silence_seconds: float | None
) -> Answer:
    connection = await _within(max_silence_seconds, pool.acquire())
    loop = asyncio.get_running_loop()
    try:
        connection.send(request)
        head = await _within(max_silence_seconds, connection.read_head())
        started_at = loop.time()
        parts = []
        length = 0
        while part := await _within(max_silence_seconds, connection.read()):
            parts.append(part)
            length += len(part)
            if length > _MAX_BODY_BYTES:
                raise channel.ChannelBrokenError(
                    'the answer is longer than the limit', peer=connection.peer
                )
    except BaseException:
        connection.abort()
        raise
    finally:
        pool.release(connection)
    seconds = loop.time() - started_at
    return Answer(head.status, b''.join(parts), head.headers, seconds)


async def _within(
    seconds: float | None, reading: typing.Awaitable[_Part]
) -> _Part:
    """Wait for a connection or for a part of an answer.

    :raises ChannelBrokenError: it did not arrive within ``seconds``.
    """
    if seconds is None:
        return await reading
    try:
        async with asyncio.timeout(seconds):
            return await reading
    except TimeoutError as error:
        raise _silence_error(seconds) from error


def _silence_error(seconds: float) -> channel.ChannelBrokenError:
    return channel.ChannelBrokenError(
        f'no answer within {seconds:.1f} s',
        peer='',
        fault=channel.Fault.SILENT,
    )
