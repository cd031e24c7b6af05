"""One caller's connection: parsing, pipelining, and the end of it.

Parsing is the library's, in its strict mode: a request with two lengths, or
with a length and chunks, is a fault.  Where the framing is in doubt the
answer is 400 and the connection ends, so that nothing that follows it can be
taken for a request of its own.
"""

from __future__ import annotations

import asyncio
import collections
import typing

import httptools
from loguru import logger

from clementinepass.http import endings, messages, replies

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from clementinepass.http import limits

    Handler = Callable[
        [messages.Request, replies.Reply],
        Awaitable[None],
    ]

#: Whole requests that wait on one connection while one is served. A caller
#: that pipelines more has its connection read no further until they are done.
_MAX_PIPELINED = 16
#: Bytes of an answer that a slow caller may leave unread before the relay
#: waits for it; a few events of a stream.
_WRITE_HIGH_WATER_BYTES = 65536
#: Seconds for which a connection is read on after a final error, so that the
#: error isn't lost to a reset while the caller still writes.
_LINGER_SECONDS = 0.5

_BAD_REQUEST = 400
_TIMED_OUT = 408
_BODY_TOO_LONG = 413
_HEADERS_TOO_LONG = 431
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class Owner(typing.Protocol):
    """What a connection needs of the front that it came to."""

    handler: Handler
    bounds: Callable[[], limits.Bounds]
    connections: set[Connection]
    is_draining: bool

    def report_refused_input(self, status: int) -> None:
        """Note that something came which is no request to serve."""


class Connection(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, front: Owner) -> None:
        self._front = front
        self._loop = asyncio.get_running_loop()
        self._transport: typing.Any = None
        self._parser = httptools.HttpRequestParser(self)
        self._pending: collections.deque[messages.Request | int]
        self._pending = collections.deque()
        self._serve_task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._keep_alive = True
        self._is_refused = False
        self._opened_at = self._loop.time()
        self._request_count = 0
        #: Why it ended. What came first is the cause, the rest follows.
        self.ending = endings.End.OPEN
        self._reset_message()

    # What the event loop calls.

    def connection_made(self, transport: typing.Any) -> None:
        """Take a new connection."""
        self._transport = transport
        transport.set_write_buffer_limits(high=_WRITE_HIGH_WATER_BYTES)
        self._front.connections.add(self)
        self._start_timer(
            self._front.bounds().idle_seconds, self._on_idle_timeout
        )

    def data_received(self, payload: bytes) -> None:
        """Parse what a caller sent."""
        if self._is_refused:
            return
        try:
            self._parser.feed_data(payload)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._refuse(_BAD_REQUEST)
        if self._is_in_head:
            self._check_head_size(len(payload))
        self._throttle_reading()

    def eof_received(self) -> bool:
        """Take the caller's end for its leaving: nobody reads an answer.

        Closing would first write out what a caller that is gone never reads,
        and the endpoint would work on until then.
        """
        self._set_ending(endings.End.CALLER_CLOSED)
        if self._is_busy:
            self._transport.abort()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Stop the work for a caller that can't be answered any more."""
        self._set_ending(endings.classify_error(error))
        self._front.connections.discard(self)
        self._cancel_timer()
        self._can_write.set()
        if self._serve_task is not None:
            self._serve_task.cancel()

    def pause_writing(self) -> None:
        """Note that the caller reads too slowly."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Note that the caller has caught up."""
        self._can_write.set()

    # What the parser calls.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._reset_message()
        self._is_in_head = True
        self._is_reading = True
        self._start_timer(
            self._front.bounds().header_seconds, self._on_head_timeout
        )

    def on_url(self, target: bytes) -> None:
        """Take a part of the target."""
        self._target += target

    def on_header(self, name: bytes, field: bytes) -> None:
        """Take a header."""
        self._pairs.append((name, field))

    def on_headers_complete(self) -> None:
        """Check a whole head."""
        self._is_in_head = False
        self._head_received_at = self._loop.time()
        self._start_timer(
            self._front.bounds().idle_seconds, self._on_idle_timeout
        )
        headers = messages.Headers(self._pairs)
        self._headers = headers
        self._check_head_size(
            len(self._target) + sum(map(_pair_bytes, headers))
        )
        length = headers.get(b'content-length')
        if length and int(length) > self._front.bounds().body_bytes:
            self._refuse(_BODY_TOO_LONG)
        elif not self._is_unambiguous(headers):
            self._refuse(_BAD_REQUEST)
        elif headers.get(b'expect') and not self._is_busy:
            self.write(_CONTINUE)

    def on_body(self, payload: bytes) -> None:
        """Take a part of the body."""
        if self._is_refused:
            return
        self._body_length += len(payload)
        if self._body_length > self._front.bounds().body_bytes:
            self._refuse(_BODY_TOO_LONG)
            return
        self._body.append(payload)

    def on_message_complete(self) -> None:
        """Serve a whole request, or let it wait for those before it."""
        self._is_reading = False
        if self._is_refused:
            return
        self._request_count += 1
        request = messages.Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            b''.join(self._body),
            self._head_received_at,
            is_last=not self._parser.should_keep_alive(),
            connected_at=self._opened_at,
            number=self._request_count,
        )
        self._pending.append(request)
        self._serve_next()

    # What replies and the front call.

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is in progress or being read."""
        return not (self._is_busy or self._is_reading)

    def write_head(self, status: int, pairs: list[messages.Pair]) -> None:
        """Write the head of an answer, telling whether the connection ends.

        Failure: a caller had sent two requests at once; the first answer of an
        entry that leaves was taken for the last, and the second request, read
        whole, was never answered. The last of those that wait says so.
        """
        ends_here = self._front.is_draining and not self._pending
        if ends_here or not self._keep_alive:
            self._keep_alive = False
            pairs = [*pairs, (b'Connection', b'close')]
        self.write(messages.head_bytes(status, pairs))

    def write(self, payload: bytes) -> None:
        """Write bytes, unless the caller has left."""
        if not self._transport.is_closing():
            self._transport.write(payload)

    def abort(self) -> None:
        """End the connection at once, before its answer is whole."""
        self._set_ending(endings.End.BROKEN_OFF)
        self._transport.abort()

    def abort_for_shutdown(self) -> None:
        """End the connection at once, since this process ends."""
        self._set_ending(endings.End.CUT)
        self._transport.abort()

    def close_for_shutdown(self) -> None:
        """End the connection after what was written, as this process ends."""
        self._set_ending(endings.End.CUT)
        self._transport.close()

    @property
    def is_blocked(self) -> bool:
        """Tell whether the caller has yet to read what was written."""
        return not self._can_write.is_set()

    async def wait_writable(self) -> None:
        """Wait until there is room for more."""
        await self._can_write.wait()

    # Details.

    def _set_ending(self, reason: endings.End) -> None:
        """Note why the connection ends, unless that is known."""
        if self.ending is endings.End.OPEN:
            self.ending = reason

    @property
    def _is_busy(self) -> bool:
        return self._serve_task is not None or bool(self._pending)

    def _reset_message(self) -> None:
        self._target = b''
        self._pairs: list[messages.Pair] = []
        self._headers = messages.Headers()
        self._body: list[bytes] = []
        self._body_length = 0
        self._head_received_at = float(0)
        self._is_in_head = False
        self._is_reading = False
        self._head_bytes = 0

    def _check_head_size(self, added_bytes: int) -> None:
        """Refuse a head that grows beyond its bound.

        The parser hands headers over one by one and would keep any number of
        them, so a caller could fill the memory with a head that never ends.
        """
        self._head_bytes += added_bytes
        if self._head_bytes > self._front.bounds().header_bytes:
            self._refuse(_HEADERS_TOO_LONG)

    def _is_unambiguous(self, headers: messages.Headers) -> bool:
        """Tell whether a head can be passed on without a second reading.

        Two hosts, a folded value or a target that is no path mean one thing
        here and may mean another at an endpoint.
        """
        if headers.count(b'host') != 1 or not self._target.startswith(b'/'):
            return False
        if headers.get(b'upgrade') is not None:
            # The parser reads nothing after it as a request.
            return False
        return not any(
            b'\n' in field or b'\r' in field or b'\0' in field
            for _, field in headers
        )

    def _refuse(self, status: int) -> None:
        """Answer a request that was not read whole, and end."""
        if self._is_refused:
            return
        self._is_refused = True
        self._pending.append(status)
        self._serve_next()

    def _serve_next(self) -> None:
        if self._serve_task is not None or not self._pending:
            return
        pending = self._pending.popleft()
        self._cancel_timer()
        if isinstance(pending, int):
            self._send_final_error(pending)
            return
        # Of those that wait only the last may be the connection's last.
        self._keep_alive = not pending.is_last
        self._serve_task = self._loop.create_task(self._serve(pending))

    async def _serve(self, request: messages.Request) -> None:
        reply = replies.Reply(self)
        try:
            await self._front.handler(request, reply)
        except asyncio.CancelledError:
            self._transport.abort()
            raise
        except Exception as error:
            logger.bind(step='serve', error=repr(error)).error('handler failed')
            reply.abort()
        finally:
            self._serve_task = None
        self._finish(reply)

    def _finish(self, reply: replies.Reply) -> None:
        if not reply.is_done:
            reply.abort()
        if self._transport.is_closing():
            return
        if not self._keep_alive:
            self._set_ending(endings.End.LAST_ANSWER)
            self._transport.close()
            return
        self._throttle_reading()
        self._serve_next()
        if self.is_idle:
            self._start_timer(
                self._front.bounds().idle_seconds, self._on_idle_timeout
            )

    def _send_final_error(self, status: int) -> None:
        self._keep_alive = False
        is_late = status == _TIMED_OUT
        self._set_ending(
            endings.End.HEAD_LATE if is_late else endings.End.INPUT_REFUSED,
        )
        self._front.report_refused_input(status)
        replies.Reply(self).send(status, [], b'')
        self._start_timer(_LINGER_SECONDS, self._transport.close)

    def _throttle_reading(self) -> None:
        """Stop reading from a caller that has many requests waiting."""
        if self._transport.is_closing():
            return
        if len(self._pending) >= _MAX_PIPELINED:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _start_timer(
        self, seconds: float, callback: Callable[[], object]
    ) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(seconds, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_idle_timeout(self) -> None:
        if self._serve_task is None:
            self._set_ending(endings.End.IDLE)
            self._transport.close()

    def _on_head_timeout(self) -> None:
        self._refuse(_TIMED_OUT)


def _pair_bytes(pair: messages.Pair) -> int:
    return len(pair[0]) + len(pair[1])
