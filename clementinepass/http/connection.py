"""Server side of one caller's connection: parsing, pipelining and closing.

The parser runs in its strict mode: a request with two lengths, or with both a
length and chunks, is an error.  A request with ambiguous framing is answered
with 400 and the connection is closed, so that no bytes after it can be taken
for another request (request smuggling).
"""

from __future__ import annotations

import asyncio
import collections
import functools
import typing

import httptools
from loguru import logger

from clementinepass.decisions import held_bytes
from clementinepass.http import endings, messages, replies

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from clementinepass.http import held_memory, limits

    Handler = Callable[
        [messages.Request, replies.Reply],
        Awaitable[None],
    ]

#: Maximum number of pipelined requests that are queued while one is served.
#: Reading from the connection pauses while the queue is full.
_MAX_PIPELINED = 16
#: Bytes of an answer that are buffered for a slow caller before the relay
#: waits; a few events of a stream.
_WRITE_HIGH_WATER_BYTES = 65536
#: Seconds for which a connection is still read after a final error answer.
#: Closing it while the caller is sending would cause a reset, and the caller
#: might lose the answer.
_LINGER_SECONDS = 0.5

#: Copies of a body that are counted: the body, and its copy in the request to
#: an endpoint. If the copy counted only from then on, bodies that arrive at the
#: same time could leave no room for any copy, and all would be refused.
_BODY_COPIES = 2

_BAD_REQUEST = 400
_TIMED_OUT = 408
_BODY_TOO_LONG = 413
_HEADERS_TOO_LONG = 431
#: Answer to a request whose handler failed; the request may have run.
_HANDLER_FAILED = 502
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class ConnectionOwner(typing.Protocol):
    """The part of the front that its connections use."""

    handler: Handler
    bounds: Callable[[], limits.Bounds]
    connections: set[Connection]
    is_draining: bool
    memory: held_memory.HeldMemory

    def report_refused_input(self, status: int) -> None:
        """Report input that was refused before it became a request."""


class Connection(asyncio.Protocol):
    """Server connection of one caller."""

    def __init__(self, front: ConnectionOwner) -> None:
        self._front = front
        self._loop = asyncio.get_running_loop()
        self._transport: typing.Any = None
        self._parser = httptools.HttpRequestParser(self)
        #: Requests to serve in order; a number is the status of a final error.
        self._pending: collections.deque[messages.Request | int]
        self._pending = collections.deque()
        self._serve_task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._keep_alive = True
        self._is_close_announced = False
        self._is_refused = False
        self._opened_at = self._loop.time()
        self._idle_since = self._opened_at
        self._request_count = 0
        self._body: list[bytes] = []
        #: Whether the body being received is dropped for lack of memory.
        self._is_body_dropped = False
        self._memory = front.memory
        #: Bytes of answers that the caller has not read, as of the last
        #: measurement, and the time of the last known progress.
        self._unsent_bytes = 0
        self._progressed_at = self._opened_at
        #: Why the connection ended. The first reason is kept; later ones are
        #: its consequences.
        self.ending = endings.End.OPEN
        self._reset_message()

    # Callbacks of the event loop (asyncio.Protocol).

    def connection_made(self, transport: typing.Any) -> None:
        """Handle a new connection and start its idle timer."""
        self._transport = transport
        transport.set_write_buffer_limits(high=_WRITE_HIGH_WATER_BYTES)
        self._front.connections.add(self)
        self._start_idle_timer()

    def data_received(self, payload: bytes) -> None:
        """Parse bytes received from the caller."""
        if self._is_refused:
            return
        completed_count = self._request_count
        body_length = self._body_length
        was_in_body = self._is_reading and not self._is_in_head
        try:
            self._parser.feed_data(payload)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._refuse(_BAD_REQUEST)
        if self._is_in_head:
            # The segment may also hold the end of the request before.
            is_all_head = self._request_count == completed_count
            self._head_bytes += (
                len(payload) if is_all_head else self._parsed_head_bytes
            )
            self._check_head_size(self._head_bytes)
        elif (
            was_in_body
            and self._request_count == completed_count
            and self._body_length == body_length
        ):
            self._framing_bytes += len(payload)
            self._check_head_size(self._framing_bytes)
        self._throttle_reading()

    def eof_received(self) -> bool:
        """Treat the caller's end of stream as a disconnect.

        The connection is aborted rather than closed: closing would first write
        the buffered answer, which a disconnected caller never reads, and the
        endpoint would keep working on the request until then.
        """
        self._set_ending(endings.End.CALLER_CLOSED)
        if self._is_busy:
            self._transport.abort()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request in progress, as its answer can't be delivered."""
        self._set_ending(endings.classify_error(error))
        self._front.connections.discard(self)
        self._cancel_timer()
        self._can_write.set()
        self.measure_unsent()
        self._release_unserved()
        if self._serve_task is not None:
            self._serve_task.cancel()

    def pause_writing(self) -> None:
        """Handle a full write buffer: the caller reads too slowly."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Handle a drained write buffer: the caller has caught up."""
        self._can_write.set()
        self.measure_unsent()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request and its head timer."""
        self._reset_message()
        self._is_in_head = True
        self._is_reading = True
        self._start_timer(
            self._front.bounds().header_seconds, self._on_head_timeout
        )

    def on_url(self, target: bytes) -> None:
        """Handle a part of the target."""
        self._target += target

    def on_header(self, name: bytes, field: bytes) -> None:
        """Handle one header; trailers are ignored."""
        if self._is_in_head:
            self._pairs.append((name, field))

    def on_headers_complete(self) -> None:
        """Check a complete head."""
        self._is_in_head = False
        self._head_received_at = self._loop.time()
        self._start_idle_timer()
        headers = messages.Headers(self._pairs)
        self._headers = headers
        self._check_head_size(self._parsed_head_bytes)
        length = headers.get(b'content-length')
        if length and int(length) > self._max_body_bytes:
            self._refuse(_BODY_TOO_LONG)
        elif not self._is_unambiguous(headers):
            self._refuse(_BAD_REQUEST)
        elif headers.get(b'expect') and not self._is_busy:
            self.write(_CONTINUE)

    def on_body(self, payload: bytes) -> None:
        """Buffer a part of the body, up to the size limit.

        For lack of memory, the body is read and dropped, so that the request
        can be refused like any other.
        """
        if self._is_refused:
            return
        self._body_length += len(payload)
        if self._body_length > self._max_body_bytes:
            self._refuse(_BODY_TOO_LONG)
            return
        self._framing_bytes = 0
        self._keep(payload)
        self._start_idle_timer()

    def on_message_complete(self) -> None:
        """Queue a complete request and serve it when its turn comes."""
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
            follows_announced_close=self._is_close_announced,
            is_body_dropped=self._is_body_dropped,
        )
        self._body = []
        self._body_length = 0
        self._pending.append(request)
        self._serve_next()

    # Methods for replies and the front.

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress or being received."""
        return not (self._is_busy or self._is_reading)

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether a part of an answer waits for a slow caller."""
        return bool(self._transport.get_write_buffer_size())

    def write_head(self, status: int, pairs: list[messages.Pair]) -> None:
        """Write the head of an answer; announce the end of the connection.

        A draining front sends ``Connection: close`` only with the answer to
        the last queued request. Sent earlier, the caller would take that
        answer for the last one, and a pipelined request that was already
        received would never be answered. A request that is received later,
        during the last answer, is marked, so that it is answered but not run.
        """
        ends_here = self._front.is_draining and not self._pending
        if ends_here or not self._keep_alive:
            self._keep_alive = False
            self._is_close_announced = True
            pairs = [*pairs, (b'Connection', b'close')]
        self.write(messages.encode_head(status, pairs))

    def write(self, payload: bytes) -> None:
        """Write bytes, unless the connection is closing."""
        if not self._transport.is_closing():
            self._transport.write(payload)
            self.measure_unsent()

    def abort(self) -> None:
        """Close the connection immediately, before its answer is complete."""
        self._set_ending(endings.End.BROKEN_OFF)
        self._transport.abort()

    def abort_for_shutdown(self) -> None:
        """Close the connection immediately, since this process shuts down."""
        self._set_ending(endings.End.CUT)
        self._transport.abort()

    def close_for_shutdown(self) -> None:
        """Close the idle connection once its buffer is written, at shutdown."""
        self._close_after_reading(endings.End.CUT)

    @property
    def is_blocked(self) -> bool:
        """Return whether the write buffer is full."""
        return not self._can_write.is_set()

    async def wait_writable(self) -> None:
        """Wait until the write buffer has free space."""
        await self._can_write.wait()

    @property
    def backlog(self) -> held_bytes.Backlog:
        """Return the unread bytes as of the last measurement."""
        return held_bytes.Backlog(self._unsent_bytes, self._progressed_at)

    def measure_unsent(self) -> None:
        """Update the count of unread bytes, which falls as the caller reads."""
        unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes == self._unsent_bytes:
            return
        if unsent_bytes < self._unsent_bytes or not self._unsent_bytes:
            self._progressed_at = self._loop.time()
        self._memory.hold(unsent_bytes - self._unsent_bytes)
        self._unsent_bytes = unsent_bytes
        if unsent_bytes:
            self._memory.readers.add(self)
        else:
            self._memory.readers.discard(self)

    def cut_off(self) -> None:
        """Close the connection and drop the unread bytes."""
        self.abort()
        self.measure_unsent()

    # Internal methods.

    def _set_ending(self, reason: endings.End) -> None:
        """Record why the connection ends, unless a reason is recorded."""
        if self.ending is endings.End.OPEN:
            self.ending = reason

    @property
    def _is_busy(self) -> bool:
        return self._serve_task is not None or bool(self._pending)

    @property
    def _has_pending_request(self) -> bool:
        return bool(self._pending) and not isinstance(self._pending[0], int)

    def _reset_message(self) -> None:
        self._bounds = self._front.bounds()
        self._target = b''
        self._pairs: list[messages.Pair] = []
        self._headers = messages.Headers()
        self._body = []
        self._body_length = 0
        self._is_body_dropped = False
        self._head_received_at = float(0)
        self._is_in_head = False
        self._is_reading = False
        self._head_bytes = 0
        #: Bytes of chunk sizes and trailers since the last of the body.
        self._framing_bytes = 0

    @property
    def _max_body_bytes(self) -> int:
        """The limit at the begin of the request, or now if that is higher."""
        return max(self._bounds.body_bytes, self._front.bounds().body_bytes)

    @property
    def _parsed_head_bytes(self) -> int:
        return len(self._target) + sum(map(_pair_bytes, self._pairs))

    def _check_head_size(self, size: int) -> None:
        """Refuse a head that exceeds the size limit.

        The parser has no limit on the number of headers, so a caller could
        exhaust the memory with a head that never ends.
        """
        if size > max(
            self._bounds.header_bytes, self._front.bounds().header_bytes
        ):
            self._refuse(_HEADERS_TOO_LONG)

    def _is_unambiguous(self, headers: messages.Headers) -> bool:
        """Return whether an endpoint interprets a head as this process does.

        Two hosts, a folded value, or a target that is not a path may be
        interpreted differently by an endpoint.
        """
        if headers.count(b'host') != 1 or not self._target.startswith(b'/'):
            return False
        if headers.get(b'upgrade') is not None:
            # The parser does not parse anything after an upgrade.
            return False
        return not any(
            b'\n' in field or b'\r' in field or b'\0' in field
            for _, field in headers
        )

    def _refuse(self, status: int) -> None:
        """Queue an error answer as the last one and ignore further input."""
        if self._is_refused:
            return
        self._is_refused = True
        self._drop_body()
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
        # Only the last of the queued requests can be the connection's last.
        self._keep_alive = not pending.is_last
        self._serve_task = self._loop.create_task(self._serve(pending))
        self._serve_task.add_done_callback(
            functools.partial(self._release_served, len(pending.body))
        )

    async def _serve(self, request: messages.Request) -> None:
        reply = replies.Reply(self)
        try:
            # The caller's close may be there to read: its request waited in
            # this process or on the way for longer than the caller did.
            await asyncio.sleep(0)
            # The answers to a caller that does not read would add up.
            await self._can_write.wait()
            if self._transport.is_closing():
                return
            await self._front.handler(request, reply)
        except asyncio.CancelledError:
            self._transport.abort()
            raise
        except Exception as error:
            logger.bind(step='serve', error=repr(error)).error('handler failed')
        finally:
            self._serve_task = None
        self._finish(reply)

    def _finish(self, reply: replies.Reply) -> None:
        if not reply.is_done:
            _end_unfinished(reply)
        if self._transport.is_closing():
            return
        if not (self._keep_alive or self._has_pending_request):
            self._set_ending(endings.End.LAST_ANSWER)
            self._transport.close()
            return
        self._throttle_reading()
        self._serve_next()
        if self._is_busy or self._is_refused:
            return
        if self.is_idle or self._timer is None:
            self._start_idle_timer()

    def _send_final_error(self, status: int) -> None:
        self._keep_alive = False
        is_late = status == _TIMED_OUT
        self._set_ending(
            endings.End.HEAD_LATE if is_late else endings.End.INPUT_REFUSED,
        )
        self._front.report_refused_input(status)
        replies.Reply(self).send(status, [], b'')
        self._start_timer(_LINGER_SECONDS, self._transport.close)

    def _keep(self, payload: bytes) -> None:
        """Keep a part of a body, or drop the body for lack of memory."""
        if self._is_body_dropped:
            return
        counted_bytes = _BODY_COPIES * len(payload)
        if self._memory.has_room(counted_bytes):
            self._body.append(payload)
            self._memory.hold(counted_bytes)
        else:
            self._drop_body()
            self._is_body_dropped = True

    def _drop_body(self) -> None:
        """Release the part of a body that was received."""
        self._memory.hold(-_BODY_COPIES * sum(map(len, self._body)))
        self._body = []

    def _release_served(
        self, body_bytes: int, task: asyncio.Task[None]
    ) -> None:
        self._memory.hold(-_BODY_COPIES * body_bytes)

    def _release_unserved(self) -> None:
        """Release the bodies of requests that will not be served."""
        self._drop_body()
        self._memory.hold(-_BODY_COPIES * self._pending_bytes)
        self._pending.clear()

    @property
    def _pending_bytes(self) -> int:
        return sum(
            len(pending.body)
            for pending in self._pending
            if not isinstance(pending, int)
        )

    def _throttle_reading(self) -> None:
        """Pause reading from the caller while the request queue is full."""
        if self._transport.is_closing():
            return
        if (
            len(self._pending) >= _MAX_PIPELINED
            or self._pending_bytes >= self._max_body_bytes
        ):
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

    def _start_idle_timer(self) -> None:
        self._idle_since = self._loop.time()
        self._start_timer(
            self._front.bounds().idle_seconds, self._on_idle_timeout
        )

    def _on_idle_timeout(self) -> None:
        """Close the connection, unless the limit was raised meanwhile."""
        if self._serve_task is not None:
            self._start_idle_timer()
            return
        idle_until = self._idle_since + self._front.bounds().idle_seconds
        remaining_seconds = idle_until - self._loop.time()
        if remaining_seconds > 0:
            self._start_timer(remaining_seconds, self._on_idle_timeout)
            return
        if self._is_reading:
            self._refuse(_TIMED_OUT)
            return
        self._close_after_reading(endings.End.IDLE)

    def _close_after_reading(self, reason: endings.End) -> None:
        """Close an idle connection, unless a request has arrived on it.

        Bytes may have arrived since the event loop last read. It reads again
        before it runs a timer that was started now.
        """
        self._start_timer(0, functools.partial(self._close, reason))

    def _close(self, reason: endings.End) -> None:
        self._set_ending(reason)
        self._transport.close()

    def _on_head_timeout(self) -> None:
        self._refuse(_TIMED_OUT)


def _end_unfinished(reply: replies.Reply) -> None:
    """End an answer that its handler has left unfinished."""
    if reply.is_started:
        reply.abort()
    else:
        reply.send(_HANDLER_FAILED, [], b'')


def _pair_bytes(pair: messages.Pair) -> int:
    return len(pair[0]) + len(pair[1])
