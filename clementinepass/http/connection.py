"""Server side of one caller's connection: queueing, answering, closing."""

from __future__ import annotations

import asyncio
import collections
import functools
import random
import typing

from loguru import logger

from clementinepass.decisions import held_bytes, shedding
from clementinepass.http import (
    endings,
    messages,
    replies,
    request_reader,
    timers,
)

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from clementinepass.http import held_memory, limits, open_connections

    Handler = Callable[
        [messages.Request, replies.Reply],
        Awaitable[None],
    ]

#: Maximum number of pipelined requests that are queued while one is served.
#: Reading from the connection pauses while the queue is full.
_MAX_PIPELINED = 16
#: Bytes of heads and of bodies that are parsed without a look at the queue.
_HEAD_SLICE_BYTES = 512
_BODY_SLICE_BYTES = 16384
#: Chunks and lines above which a connection waits for its turn to be parsed on,
#: and those parsed in a turn.
_MAX_PARTS = 64
_MAX_PARTS_OF_TURN = 2048
#: Bytes of an answer that are buffered for a slow caller before the relay
#: waits; a few events of a stream.
_WRITE_HIGH_WATER_BYTES = 65536
#: Seconds for which a connection is still read after a final error answer.
#: Closing it while the caller is sending would cause a reset, and the caller
#: might lose the answer.
_LINGER_SECONDS = 0.5

_TIMED_OUT = 408
_UNAVAILABLE = 503
_ENDINGS_BY_STATUS = {
    _TIMED_OUT: endings.End.HEAD_LATE,
    _UNAVAILABLE: endings.End.SHED,
}
#: Range of ``Retry-After`` in seconds for lack of memory or connections; it
#: spreads the returns.
_RETRY_AFTER_SECONDS = (1.0, 2.0)
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
    shared_connections: open_connections.OpenConnections

    def report_refused_input(self, status: int) -> None:
        """Report input that was refused before it became a request."""


class Connection(asyncio.BufferedProtocol):
    """Server connection of one caller."""

    def __init__(self, front: ConnectionOwner) -> None:
        self._front = front
        self._loop = asyncio.get_running_loop()
        self._transport: typing.Any = None
        #: Requests to serve in order; a number is the status of a final error.
        self._pending: collections.deque[messages.Request | int]
        self._pending = collections.deque()
        self._serve_task: asyncio.Task[None] | None = None
        self._timer = timers.Timer(self._loop)
        #: Whether the timer limits the time of a head.
        self._is_head_timed = False
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._keep_alive = True
        self._is_close_announced = False
        #: Input that waits until the queue of requests has room.
        self._unparsed = b''
        #: Whether reading is paused until other connections had a turn.
        self._is_waiting_for_turn = False
        self._opened_at = self._loop.time()
        self._idle_since = self._opened_at
        self._memory = front.memory
        self._reader = request_reader.RequestReader(
            self, front.bounds, front.memory
        )
        #: Bytes of answers that the caller has not read, as of the last
        #: measurement, and the time of the last known progress.
        self._unsent_bytes = 0
        self._progressed_at = self._opened_at
        #: Why the connection ended. The first reason is kept; later ones are
        #: its consequences.
        self.ending = endings.End.OPEN

    # Callbacks of the event loop (asyncio.BufferedProtocol).

    def connection_made(self, transport: typing.Any) -> None:
        """Handle a new connection and start its idle timer."""
        self._transport = transport
        transport.set_write_buffer_limits(high=_WRITE_HIGH_WATER_BYTES)
        self._front.connections.add(self)
        self._front.shared_connections.add(self)
        self._memory.connection_count += 1
        self._start_idle_timer()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next segment is received."""
        return self._front.shared_connections.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse a segment received from the caller."""
        if self._reader.is_refused:
            return
        segment = self._front.shared_connections.read_buffer[:nbytes]
        self._parse(segment, _MAX_PARTS)
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
        self._front.shared_connections.discard(self)
        self._memory.connection_count -= 1
        self._timer.close()
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

    # Callbacks of the request reader.

    def accept_head(self, headers: messages.Headers) -> None:
        """Ask for the body of a request whose caller waits to send it."""
        if headers.get(b'expect') and not self._is_busy:
            self.write(_CONTINUE)

    def accept_request(self, request: messages.Request) -> None:
        """Queue a complete request and serve it when its turn comes."""
        self._is_head_timed = False
        # It was left out if it was about to be closed.
        self._front.shared_connections.add(self)
        request.connected_at = self._opened_at
        request.follows_announced_close = self._is_close_announced
        self._pending.append(request)
        self._serve_next()

    def accept_refusal(self, status: int) -> None:
        """Queue an error answer as the last one."""
        self._set_unparsed(b'')
        self._memory.uploads.discard(self)
        self._pending.append(status)
        self._serve_next()

    @property
    def upload(self) -> shedding.Occupant:
        """Return what the unfinished request has brought and holds."""
        return self._reader.unfinished

    def give_up(self) -> None:
        """Refuse the unfinished request and release its bytes."""
        self._reader.refuse(_UNAVAILABLE)

    @property
    def occupant(self) -> shedding.Occupant | None:
        """Return what it waits for; ``None`` if it must not be closed."""
        self.measure_unsent()
        if self._unsent_bytes:
            return shedding.Occupant(
                self._progressed_at, waits_for=shedding.Waiting.READER
            )
        if self._is_busy or self._transport.is_closing():
            return None
        if self._reader.is_reading or self._reader.is_refused:
            return self._reader.unfinished
        if not self._reader.completed_count:
            return shedding.Occupant(self._idle_since)
        return shedding.Occupant(
            self._idle_since, waits_for=shedding.Waiting.NEXT_REQUEST
        )

    def close_for_room(self) -> None:
        """Close the connection in favour of a new one.

        An unfinished request is refused; one that has just arrived is served.
        An answer that is not read is cut off.
        """
        if self._unsent_bytes:
            self.cut_off()
            return
        if self._reader.is_reading:
            self._reader.refuse(_UNAVAILABLE)
        if self._reader.is_refused:
            self._close(endings.End.SHED)
        else:
            self._close_after_reading(endings.End.SHED)

    def take_turn(self) -> None:
        """Parse and read on after other connections had a turn."""
        self._is_waiting_for_turn = False
        self._parse_on(_MAX_PARTS_OF_TURN)
        self._throttle_reading()

    # Methods for replies and the front.

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress or being received."""
        return not (self._is_busy or self._reader.is_reading or self._unparsed)

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
        is_last = not (self._pending or self._unparsed)
        ends_here = self._front.is_draining and is_last
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

    def _parse(self, segment: memoryview, max_parts: int) -> None:
        """Parse a segment, as far as the queue of requests has room.

        A segment may hold thousands of requests, lines or chunks.

        :param max_parts: lines and chunks after which other connections have
            their turn first.
        """
        last_part = self._reader.part_count + max_parts
        while (
            segment
            and self._reader.part_count <= last_part
            and not self._is_queue_full
        ):
            is_body = self._reader.is_reading and not self._reader.is_in_head
            size = _BODY_SLICE_BYTES if is_body else _HEAD_SLICE_BYTES
            self._reader.feed(segment[:size])
            segment = segment[size:]
        self._reader.settle()
        is_dropped = self._reader.is_refused
        self._set_unparsed(b'' if is_dropped else bytes(segment))
        if self._reader.held_bytes:
            self._memory.uploads.add(self)
        else:
            self._memory.uploads.discard(self)
        self._limit_reading_time()
        if self._reader.part_count > last_part:
            self._is_waiting_for_turn = True
            self._transport.pause_reading()
            self._front.shared_connections.turns.wait(self)

    def _set_unparsed(self, segment: bytes) -> None:
        """Keep input until the requests before it are served."""
        growth = len(segment) - len(self._unparsed)
        if growth > 0 and not self._memory.has_room(growth):
            self._set_unparsed(b'')
            self._reader.refuse(_UNAVAILABLE)
            return
        self._memory.hold(growth)
        self._unparsed = segment

    def _parse_on(self, max_parts: int) -> None:
        """Parse the input that was kept, once the queue has room."""
        if not self._unparsed or self._is_waiting_for_turn:
            return
        if not self._is_queue_full:
            self._parse(memoryview(self._unparsed), max_parts)

    @property
    def _is_queue_full(self) -> bool:
        if not self._pending:
            return False
        return (
            len(self._pending) >= _MAX_PIPELINED
            or self._pending_bytes >= self._front.bounds().body_bytes
        )

    def _serve_next(self) -> None:
        if self._serve_task is not None or not self._pending:
            return
        pending = self._pending.popleft()
        self._stop_timer()
        if isinstance(pending, int):
            self._send_final_error(pending)
            return
        # Only the last of the queued requests can be the connection's last.
        self._keep_alive = not pending.is_last
        self._serve_task = self._loop.create_task(self._serve(pending))
        self._serve_task.add_done_callback(
            functools.partial(self._release_served, pending.held_bytes)
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
        if self._keep_alive:
            self._parse_on(_MAX_PARTS)
            is_refused = self._reader.is_refused and not self._pending
            if self._serve_task is not None or is_refused:
                # Input that was kept back is served or refused.
                self._throttle_reading()
                return
        if not (self._keep_alive or self._has_pending_request):
            self._set_ending(endings.End.LAST_ANSWER)
            self._transport.close()
            return
        self._throttle_reading()
        self._serve_next()
        if self._is_busy or self._reader.is_refused:
            return
        if self.is_idle or not self._timer.is_running:
            self._start_idle_timer()

    def _send_final_error(self, status: int) -> None:
        self._keep_alive = False
        self._set_ending(
            _ENDINGS_BY_STATUS.get(status, endings.End.INPUT_REFUSED)
        )
        self._front.report_refused_input(status)
        pairs = []
        if status == _UNAVAILABLE:
            seconds = random.uniform(*_RETRY_AFTER_SECONDS)  # noqa: S311
            pairs.append((b'Retry-After', b'%.2f' % seconds))
        replies.Reply(self).send(status, pairs, b'')
        self._timer.start(_LINGER_SECONDS, self._transport.close)

    def _release_served(
        self, held_bytes: int, task: asyncio.Task[None]
    ) -> None:
        self._memory.hold(-held_bytes)

    def _release_unserved(self) -> None:
        """Release the bodies of requests that will not be served."""
        self._reader.release()
        self._memory.uploads.discard(self)
        self._set_unparsed(b'')
        for pending in self._pending:
            if not isinstance(pending, int):
                self._memory.hold(-pending.held_bytes)
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
        if self._transport.is_closing() or self._is_waiting_for_turn:
            return
        if self._unparsed or self._is_queue_full:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _limit_reading_time(self) -> None:
        """Limit the time of a head from its begin, of a body from here on."""
        if self._reader.is_refused:
            return
        if not self._reader.is_in_head:
            self._is_head_timed = False
            if self._reader.is_reading:
                self._start_idle_timer()
        elif not self._is_head_timed:
            self._is_head_timed = True
            self._timer.start(
                self._front.bounds().header_seconds, self._on_head_timeout
            )

    def _stop_timer(self) -> None:
        self._is_head_timed = False
        self._timer.stop()

    def _start_idle_timer(self) -> None:
        self._is_head_timed = False
        self._idle_since = self._loop.time()
        self._timer.start(
            self._front.bounds().idle_seconds, self._on_idle_timeout
        )

    def _on_idle_timeout(self) -> None:
        """Close the connection, unless the limit was raised meanwhile."""
        if self._serve_task is not None or self._unparsed:
            self._start_idle_timer()
            return
        idle_until = self._idle_since + self._front.bounds().idle_seconds
        remaining_seconds = idle_until - self._loop.time()
        if remaining_seconds > 0:
            self._timer.start(remaining_seconds, self._on_idle_timeout)
            return
        if self._reader.is_reading:
            self._reader.refuse(_TIMED_OUT)
            return
        self._close_after_reading(endings.End.IDLE)

    def _close_after_reading(self, reason: endings.End) -> None:
        """Close an idle connection, unless a request has arrived on it.

        Bytes may have arrived since the event loop last read. It reads again
        before it runs a timer that was started now.
        """
        self._timer.start(0, functools.partial(self._close, reason))

    def _close(self, reason: endings.End) -> None:
        self._set_ending(reason)
        self._transport.close()

    def _on_head_timeout(self) -> None:
        """Refuse a head that is late, unless a part of it waits here."""
        if self._unparsed:
            self._timer.start(
                self._front.bounds().header_seconds, self._on_head_timeout
            )
            return
        self._reader.refuse(_TIMED_OUT)


def _end_unfinished(reply: replies.Reply) -> None:
    """End an answer that its handler has left unfinished."""
    if reply.is_started:
        reply.abort()
    else:
        reply.send(_HANDLER_FAILED, [], b'')
