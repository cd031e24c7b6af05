"""One outgoing connection, with one request in progress at a time."""

from __future__ import annotations

import asyncio
import collections
import enum
import socket
import typing

import httptools

from clementinepass import errors
from clementinepass.http import messages

#: Seconds after which an idle peer is probed, and between probes. A peer that
#: lost its power sends nothing, and without probes the connection hangs.
_KEEPALIVE_PROBE_SECONDS = 1
#: Probes without an answer before the connection is given up.
_KEEPALIVE_PROBES = 3
#: Milliseconds for which sent bytes may stay without an acknowledgement; the
#: same failure seen while something is on its way.
_USER_TIMEOUT_MS = 3000
#: Bytes of an answer that may wait for its reader.
_MAX_BUFFERED_BYTES = 262144
_FIRST_FINAL_STATUS = 200
_BODILESS_STATUSES = frozenset((204, 304))


class Fault(enum.Enum):
    """What was wrong with a connection or with what it carried."""

    #: It could not be opened.
    UNREACHABLE = 'unreachable'
    #: It was reset, or the kernel gave it up.
    LOST = 'lost'
    #: The peer ended it before the answer was whole.
    ENDED = 'ended'
    #: Nothing came for too long.
    SILENT = 'silent'
    #: What came is no answer, or none to this request.
    MALFORMED = 'spoilt'


class ChannelBrokenError(errors.ClementinepassError):
    """A connection ended, or carried something that is no answer.

    :param is_clean: whether the peer ended it in good order, without a reset.
    """

    def __init__(
        self,
        detail: str,
        *,
        peer: str,
        is_clean: bool = False,
        fault: Fault = Fault.MALFORMED,
    ) -> None:
        super().__init__(detail, step='exchange', peer=peer)
        #: What was wrong.
        self.fault = fault
        #: Whether the peer ended the connection without a reset.
        self.is_clean = is_clean


class Channel(asyncio.Protocol):
    """A connection to one peer.

    :param peer: its address, ``host:port``, for errors.
    """

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self._loop = asyncio.get_running_loop()
        self._transport: typing.Any = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[None] | None = None
        self._failure: ChannelBrokenError | None = None
        #: Monotonic seconds at which something last came from the peer.
        self.last_received_at: float = 0
        #: Monotonic seconds at which the last answer ended.
        self.idle_since: float = 0
        #: Seconds for which the peer keeps the connection; 0 if untold.
        self.keep_alive_seconds: float = 0
        #: Bytes received.
        self.received_bytes = 0
        #: Whether another request may follow on this connection.
        self.is_reusable = True
        self._is_active = False
        #: The head of the answer in progress, once it is whole.
        self.head: messages.AnswerHead | None = None
        self._pairs: list[messages.Pair] = []
        self._body_parts: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._is_complete = False
        self._has_surplus = False
        self._ends_with_connection = False

    @classmethod
    async def connect(
        cls,
        host: str,
        port: int,
        seconds: float,
    ) -> Channel:
        """Open a connection within some seconds.

        :raises ChannelBrokenError: it could not be opened; nothing was sent.
        """
        peer = f'{host}:{port}'
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(seconds):
                _, channel = await loop.create_connection(
                    lambda: cls(peer),
                    host,
                    port,
                )
        except (OSError, TimeoutError) as error:
            raise ChannelBrokenError(
                f'no connection: {error!r}',
                peer=peer,
                fault=Fault.UNREACHABLE,
            ) from error
        return channel

    # What the event loop calls.

    def connection_made(self, transport: typing.Any) -> None:
        """Take the new connection and have the kernel watch it."""
        self._transport = transport
        self.last_received_at = self._loop.time()
        self.idle_since = self.last_received_at
        _enable_keepalive(transport.get_extra_info('socket'))

    def data_received(self, payload: bytes) -> None:
        """Parse what the peer sent."""
        self.last_received_at = self._loop.time()
        self.received_bytes += len(payload)
        if not self._is_active:
            self._fail_malformed('bytes that belong to no request')
            return
        try:
            self._parser.feed_data(payload)
        except httptools.HttpParserError as error:
            self._handle_parse_error(error)
        except httptools.HttpParserUpgrade:
            self._fail_malformed('an upgrade that nobody asked for')
        self._notify()

    def eof_received(self) -> bool:
        """Take the end of an answer that says no length."""
        if (
            self._is_active
            and self._ends_with_connection
            and not self._is_complete
        ):
            self._is_complete = True
            self.is_reusable = False
        else:
            self._fail(
                'the peer ended the connection',
                Fault.ENDED,
                is_clean=True,
            )
        self._notify()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection is no more."""
        self.is_reusable = False
        if not self._is_complete:
            self._fail(
                f'connection lost: {error!r}',
                Fault.LOST,
                is_clean=error is None,
            )
        self._notify()

    # What the parser calls.

    def on_message_begin(self) -> None:
        """Begin an answer, or note one too many."""
        if self._is_complete:
            self._has_surplus = True
            self.is_reusable = False
        self._pairs = []

    def on_header(self, name: bytes, field: bytes) -> None:
        """Take a header."""
        if not self._has_surplus:
            self._pairs.append((name, field))

    def on_headers_complete(self) -> None:
        """Take a whole head; one of an interim answer is passed over."""
        if self._has_surplus:
            return
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            return
        headers = messages.Headers(self._pairs)
        self.head = messages.AnswerHead(status, headers)
        self._ends_with_connection = (
            headers.get(b'content-length') is None
            and b'chunked' not in headers.tokens(b'transfer-encoding')
            and status not in _BODILESS_STATUSES
        )
        if self._ends_with_connection or b'close' in headers.tokens(
            b'connection'
        ):
            self.is_reusable = False
        self.keep_alive_seconds = (
            _keep_alive_seconds(headers) or self.keep_alive_seconds
        )

    def on_body(self, payload: bytes) -> None:
        """Take a part of the body."""
        if self._has_surplus or self.head is None:
            return
        self._body_parts.append(payload)
        self._buffered_bytes += len(payload)
        if self._buffered_bytes > _MAX_BUFFERED_BYTES:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """End an answer."""
        if self.head is not None and not self._ends_with_connection:
            self._is_complete = True

    # What a client calls.

    @property
    def is_usable(self) -> bool:
        """Tell whether a request may be sent."""
        return (
            self.is_reusable
            and not self._is_active
            and not self._transport.is_closing()
        )

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of a request that still wait to go out."""
        return int(self._transport.get_write_buffer_size())

    def send(self, request: bytes) -> None:
        """Send one request; its answer follows."""
        self._reset_answer()
        self._is_active = True
        self._transport.write(request)

    async def read_head(self) -> messages.AnswerHead:
        """Return the head of the answer.

        :raises ChannelBrokenError: there will be none.
        """
        while self.head is None:
            await self._wait_for_change()
        return self.head

    async def skip_to_next_answer(self) -> messages.AnswerHead:
        """Pass over a whole answer that is another's and take the next.

        An answer that comes late stands where this request's is expected.
        The connection isn't used again: what else may come is unknown.

        :raises ChannelBrokenError: the foreign answer has no end of its own,
            or no other follows.
        """
        self.is_reusable = False
        if self._ends_with_connection:
            raise ChannelBrokenError('foreign answer', peer=self.peer)
        while not self._is_complete:
            await self._wait_for_change()
        if self._has_surplus:
            raise ChannelBrokenError('two answers at once', peer=self.peer)
        self._reset_answer()
        return await self.read_head()

    async def read(self) -> bytes:
        """Return the next bytes of the body; none at its end.

        :raises ChannelBrokenError: the answer breaks off here.
        """
        while not self._body_parts:
            if self._is_complete:
                return b''
            await self._wait_for_change()
        payload = b''.join(self._body_parts)
        self._body_parts.clear()
        self._buffered_bytes = 0
        if not self._transport.is_closing():
            self._transport.resume_reading()
        return payload

    def finish(self) -> bool:
        """End the exchange; tell whether the connection may be kept.

        It may only after a whole answer without a byte too many, and once
        the request is out: an endpoint that answers early reads on later.
        """
        self._is_active = False
        self.idle_since = self._loop.time()
        is_whole = (
            self._is_complete
            and not self._has_surplus
            and not self.unsent_bytes
        )
        if is_whole and self.is_reusable and not self._transport.is_closing():
            return True
        self.abort()
        return False

    def abort(self) -> None:
        """End the connection at once."""
        self.is_reusable = False
        self._transport.abort()

    # Details.

    def _reset_answer(self) -> None:
        self.head = None
        self._pairs = []
        self._body_parts.clear()
        self._buffered_bytes = 0
        self._is_complete = False
        self._has_surplus = False
        self._ends_with_connection = False

    def _handle_parse_error(self, error: Exception) -> None:
        if self._is_complete:
            self._has_surplus = True
            self.is_reusable = False
        else:
            self._fail_malformed(f'no answer: {error!r}')

    def _fail_malformed(self, detail: str) -> None:
        self._fail(detail, Fault.MALFORMED)
        self.abort()

    def _fail(
        self,
        detail: str,
        fault: Fault,
        *,
        is_clean: bool = False,
    ) -> None:
        self.is_reusable = False
        if self._failure is None:
            self._failure = ChannelBrokenError(
                detail,
                peer=self.peer,
                is_clean=is_clean,
                fault=fault,
            )

    async def _wait_for_change(self) -> None:
        if self._failure is not None:
            raise self._failure
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _notify(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _keep_alive_seconds(headers: messages.Headers) -> float:
    for token in headers.tokens(b'keep-alive'):
        name, _, seconds = token.partition(b'=')
        if name == b'timeout' and seconds.isdigit():
            return float(seconds)
    return 0


def _enable_keepalive(sock: typing.Any) -> None:
    """Have the kernel find out that a silent peer is gone."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_PROBE_SECONDS
    )
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_PROBE_SECONDS
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _USER_TIMEOUT_MS,
    )
