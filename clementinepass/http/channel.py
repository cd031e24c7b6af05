"""Client side of one HTTP/1.1 connection, with one request at a time."""

from __future__ import annotations

import asyncio
import collections
import enum
import socket
import typing

import httptools

from clementinepass import errors
from clementinepass.http import messages

#: Seconds until a TCP keep-alive probe of a silent peer, and between probes.
#: A peer that lost its power sends nothing, and without probes the connection
#: would hang.
_KEEPALIVE_PROBE_SECONDS = 1
#: Unanswered probes after which the kernel closes the connection.
_KEEPALIVE_PROBES = 3
#: Milliseconds for which sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
#: This detects the same failure while data is in flight, when the kernel sends
#: no keep-alive probes.
_USER_TIMEOUT_MS = 3000
#: Longest request in bytes that fits into the receive buffer of any peer. The
#: rest of a longer one stays unsent while the peer does not read, though its
#: kernel acknowledges probes. TCP_USER_TIMEOUT would end such a connection.
_MAX_BUFFERED_REQUEST_BYTES = 32768
#: Bytes of an answer that are buffered before reading pauses.
_MAX_BUFFERED_BYTES = 262144
#: Bytes of an answer that are not its body: heads, interim answers, chunk sizes
#: and trailers. An endless head would fill the memory of the process.
_MAX_FRAMING_BYTES = 65536
#: The same for each byte of the body, which may come in chunks of one byte.
_MAX_FRAMING_PER_BODY_BYTE = 16
_FIRST_FINAL_STATUS = 200
_BODILESS_STATUSES = frozenset((204, 304))


class Fault(enum.Enum):
    """Fault of a connection or of the data that it carried."""

    #: The connection could not be opened.
    UNREACHABLE = 'unreachable'
    #: The connection was reset, or timed out in the kernel.
    LOST = 'lost'
    #: The peer closed the connection before the answer was complete.
    ENDED = 'ended'
    #: Nothing was received for too long.
    SILENT = 'silent'
    #: The received bytes are not an answer, or not to this request.
    MALFORMED = 'spoilt'


class ChannelBrokenError(errors.ClementinepassError):
    """A connection was lost, or carried data that is not a valid answer.

    :param is_clean: whether the peer closed the connection without a reset.
    :param is_refused: whether nobody listens at the peer's address.
    """

    def __init__(
        self,
        detail: str,
        *,
        peer: str,
        is_clean: bool = False,
        is_refused: bool = False,
        fault: Fault = Fault.MALFORMED,
    ) -> None:
        super().__init__(detail, step='exchange', peer=peer)
        #: Kind of the fault.
        self.fault = fault
        #: Whether the peer closed the connection without a reset.
        self.is_clean = is_clean
        #: Whether nobody listens at the peer's address.
        self.is_refused = is_refused


class Channel(asyncio.Protocol):
    """Client connection to one peer.

    :param peer: the peer's address, ``host:port``, for error messages.
    """

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self._loop = asyncio.get_running_loop()
        self._transport: typing.Any = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[None] | None = None
        self._failure: ChannelBrokenError | None = None
        #: Monotonic time in seconds at which the last byte was received.
        self.last_received_at: float = 0
        #: Monotonic time in seconds at which the last exchange ended.
        self.idle_since: float = 0
        #: Seconds for which the peer keeps an idle connection, as it announced
        #: in a ``Keep-Alive`` header; 0 if unknown.
        self.keep_alive_seconds: float = 0
        #: Number of bytes received.
        self.received_bytes = 0
        #: Whether another request may be sent on this connection.
        self.is_reusable = True
        self._is_active = False
        #: The head of the current answer, once it is complete.
        self.head: messages.AnswerHead | None = None
        self._pairs: list[messages.Pair] = []
        self._body_parts: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        #: Bytes received of the current answer, and those of its body.
        self._answer_bytes = 0
        self._body_bytes = 0
        self._is_complete = False
        self._has_surplus = False
        #: Whether the current answer has neither a length nor chunks, and is
        #: complete when the peer closes the connection.
        self.ends_with_connection = False
        self._has_user_timeout = False
        self._is_paused = False

    @classmethod
    async def connect(
        cls,
        host: str,
        port: int,
        seconds: float,
    ) -> Channel:
        """Open a connection within ``seconds``.

        :raises ChannelBrokenError: the connection could not be opened; nothing
            was sent.
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
                is_refused=isinstance(error, ConnectionRefusedError),
                fault=Fault.UNREACHABLE,
            ) from error
        return channel

    # Callbacks of the event loop (asyncio.Protocol).

    def connection_made(self, transport: typing.Any) -> None:
        """Handle a new connection and enable the kernel's keep-alive probes."""
        self._transport = transport
        self.last_received_at = self._loop.time()
        self.idle_since = self.last_received_at
        _enable_keepalive(transport.get_extra_info('socket'))

    def data_received(self, payload: bytes) -> None:
        """Parse bytes received from the peer."""
        self.last_received_at = self._loop.time()
        self.received_bytes += len(payload)
        if not self._is_active:
            self._fail_malformed('received bytes without a request in progress')
            return
        try:
            self._parser.feed_data(payload)
        except httptools.HttpParserError as error:
            self._handle_parse_error(error)
        except httptools.HttpParserUpgrade:
            self._fail_malformed('unrequested protocol upgrade')
        self._answer_bytes += len(payload)
        if not self._is_complete:
            self._check_framing()
        self._notify()

    def eof_received(self) -> bool:
        """Handle the end of stream, which ends an answer without a length."""
        if (
            self._is_active
            and self.ends_with_connection
            and not self._is_complete
        ):
            self._is_complete = True
            self.is_reusable = False
        else:
            self._fail(
                'the peer closed the connection',
                Fault.ENDED,
                is_clean=True,
            )
        self._notify()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the current answer, unless it is complete."""
        self.is_reusable = False
        if not self._is_complete:
            self._fail(
                f'connection lost: {error!r}',
                Fault.LOST,
                is_clean=error is None,
            )
        self._notify()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start an answer, or record a surplus one."""
        if self._is_complete:
            self._has_surplus = True
            self.is_reusable = False
        self._pairs = []

    def on_header(self, name: bytes, field: bytes) -> None:
        """Handle one header."""
        if not self._has_surplus:
            self._pairs.append((name, field))

    def on_headers_complete(self) -> None:
        """Handle a complete head; heads of interim answers are ignored."""
        if self._has_surplus:
            return
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            return
        headers = messages.Headers(self._pairs)
        self.head = messages.AnswerHead(status, headers)
        self.ends_with_connection = (
            headers.get(b'content-length') is None
            and b'chunked' not in headers.tokens(b'transfer-encoding')
            and status not in _BODILESS_STATUSES
        )
        if self.ends_with_connection or b'close' in headers.tokens(
            b'connection'
        ):
            self.is_reusable = False
        self.keep_alive_seconds = (
            _keep_alive_seconds(headers) or self.keep_alive_seconds
        )

    def on_body(self, payload: bytes) -> None:
        """Buffer a part of the body."""
        if self._has_surplus or self.head is None:
            return
        self._body_parts.append(payload)
        self._body_bytes += len(payload)
        self._buffered_bytes += len(payload)
        if self._buffered_bytes > _MAX_BUFFERED_BYTES:
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Handle the end of an answer that has a length or chunks."""
        if self.head is not None and not self.ends_with_connection:
            self._is_complete = True

    # Methods for clients.

    @property
    def is_usable(self) -> bool:
        """Return whether a request may be sent now."""
        return (
            self.is_reusable
            and not self._is_active
            and not self._transport.is_closing()
        )

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes of the request that are not sent yet."""
        return int(self._transport.get_write_buffer_size())

    def send(self, request: bytes) -> None:
        """Send one request."""
        self._reset_answer()
        self._is_active = True
        self._set_user_timeout(
            is_enabled=len(request) <= _MAX_BUFFERED_REQUEST_BYTES
        )
        self._transport.write(request)

    async def read_head(self) -> messages.AnswerHead:
        """Wait for the head of the answer and return it.

        :raises ChannelBrokenError: the connection failed before the head was
            complete.
        """
        while self.head is None:
            await self._wait_for_change()
        return self.head

    async def skip_to_next_answer(self) -> messages.AnswerHead:
        """Discard an answer to another request; return the next one's head.

        A late answer to an earlier request arrives where the answer to this
        request is expected. The connection is not reused, since more foreign
        answers may follow.

        :raises ChannelBrokenError: the foreign answer ends only with the
            connection, or no further answer follows.
        """
        self.is_reusable = False
        if self.ends_with_connection:
            raise ChannelBrokenError(
                'answer to another request', peer=self.peer
            )
        while not self._is_complete:
            await self._wait_for_change()
        if self._has_surplus:
            raise ChannelBrokenError(
                'received two answers to one request', peer=self.peer
            )
        self._reset_answer()
        return await self.read_head()

    def pause_reading(self) -> None:
        """Receive nothing more until the next call of :meth:`read`."""
        if not self._transport.is_closing():
            self._is_paused = True
            self._transport.pause_reading()

    async def read(self) -> bytes:
        """Return the next bytes of the body; empty at its end.

        :raises ChannelBrokenError: the connection failed before the end of the
            answer.
        """
        if self._is_paused:
            # The end of the answer may have been received before the pause.
            self._is_paused = False
            self._resume_reading()
        while not self._body_parts:
            if self._is_complete:
                return b''
            await self._wait_for_change()
        payload = b''.join(self._body_parts)
        self._body_parts.clear()
        self._buffered_bytes = 0
        self._resume_reading()
        return payload

    def finish(self) -> bool:
        """End the exchange; return whether the connection was kept.

        It is kept only if the answer was complete without surplus bytes and
        the request is sent completely: an endpoint that answers early reads
        the rest of the request later, and would take the next request for it.
        """
        self._is_active = False
        self.idle_since = self._loop.time()
        is_exchange_complete = (
            self._is_complete
            and not self._has_surplus
            and not self.unsent_bytes
        )
        if (
            is_exchange_complete
            and self.is_reusable
            and not self._transport.is_closing()
        ):
            return True
        self.abort()
        return False

    def abort(self) -> None:
        """Close the connection immediately."""
        self.is_reusable = False
        self._transport.abort()

    # Internal methods.

    def _resume_reading(self) -> None:
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def _set_user_timeout(self, *, is_enabled: bool) -> None:
        """Enable or disable TCP_USER_TIMEOUT, unless that is done already."""
        if is_enabled is self._has_user_timeout:
            return
        if self._transport.is_closing():
            return
        self._has_user_timeout = is_enabled
        self._transport.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            _USER_TIMEOUT_MS if is_enabled else 0,
        )

    def _reset_answer(self) -> None:
        self.head = None
        self._pairs = []
        self._body_parts.clear()
        self._buffered_bytes = 0
        self._answer_bytes = 0
        self._body_bytes = 0
        self._is_complete = False
        self._has_surplus = False
        self.ends_with_connection = False

    def _check_framing(self) -> None:
        """Fail if most of what was received is not the body of the answer."""
        framing = self._answer_bytes - self._body_bytes
        allowed = _MAX_FRAMING_PER_BODY_BYTE * self._body_bytes
        if framing > _MAX_FRAMING_BYTES + allowed:
            self._fail_malformed(
                f'{framing} bytes of an answer are not its body'
            )

    def _handle_parse_error(self, error: Exception) -> None:
        if self._is_complete:
            self._has_surplus = True
            self.is_reusable = False
        else:
            self._fail_malformed(f'invalid answer: {error!r}')

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
    """Have the kernel detect that a silent peer is gone."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_PROBE_SECONDS
    )
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_PROBE_SECONDS
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
