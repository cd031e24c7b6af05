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
_MOST_WAITING = 16
#: Bytes of an answer that a slow caller may leave unread before the relay
#: waits for it; a few events of a stream.
_WRITE_HIGH_WATER = 65536
#: Seconds for which a connection is read on after a final error, so that the
#: error isn't lost to a reset while the caller still writes.
_LINGER = 0.5

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
    leaving: bool

    def refused_input(self, status: int) -> None:
        """Note that something came which is no request to serve."""


class Connection(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, front: Owner) -> None:
        self._front = front
        self._loop = asyncio.get_running_loop()
        self._transport: typing.Any = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: collections.deque[messages.Request | int]
        self._waiting = collections.deque()
        self._serving: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._keep = True
        self._refused = False
        self._opened = self._loop.time()
        self._read = 0
        #: Why it ended. What came first is the cause, the rest follows.
        self.ending = endings.End.OPEN
        self._reset_message()

    # What the event loop calls.

    def connection_made(self, transport: typing.Any) -> None:
        """Take a new connection."""
        self._transport = transport
        transport.set_write_buffer_limits(high=_WRITE_HIGH_WATER)
        self._front.connections.add(self)
        self._arm(self._front.bounds().idle_seconds, self._idle_ended)

    def data_received(self, payload: bytes) -> None:
        """Parse what a caller sent."""
        if self._refused:
            return
        try:
            self._parser.feed_data(payload)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._refuse(_BAD_REQUEST)
        if self._in_head:
            self._bound_head(len(payload))
        self._pace_reading()

    def eof_received(self) -> bool:
        """Take the caller's end for its leaving: nobody reads an answer.

        Closing would first write out what a caller that is gone never reads,
        and the endpoint would work on until then.
        """
        self._end_is(endings.End.CALLER_CLOSED)
        if self._busy:
            self._transport.abort()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Stop the work for a caller that can't be answered any more."""
        self._end_is(endings.by_error(error))
        self._front.connections.discard(self)
        self._disarm()
        self._can_write.set()
        if self._serving is not None:
            self._serving.cancel()

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
        self._in_head = True
        self._reading = True
        self._arm(self._front.bounds().header_seconds, self._head_late)

    def on_url(self, target: bytes) -> None:
        """Take a part of the target."""
        self._target += target

    def on_header(self, name: bytes, field: bytes) -> None:
        """Take a header."""
        self._pairs.append((name, field))

    def on_headers_complete(self) -> None:
        """Check a whole head."""
        self._in_head = False
        self._received = self._loop.time()
        self._arm(self._front.bounds().idle_seconds, self._idle_ended)
        headers = messages.Headers(self._pairs)
        self._headers = headers
        self._bound_head(len(self._target) + sum(map(_pair_bytes, headers)))
        length = headers.get(b'content-length')
        if length and int(length) > self._front.bounds().body_bytes:
            self._refuse(_BODY_TOO_LONG)
        elif not self._is_sound(headers):
            self._refuse(_BAD_REQUEST)
        elif headers.get(b'expect') and not self._busy:
            self.write(_CONTINUE)

    def on_body(self, payload: bytes) -> None:
        """Take a part of the body."""
        if self._refused:
            return
        self._body_length += len(payload)
        if self._body_length > self._front.bounds().body_bytes:
            self._refuse(_BODY_TOO_LONG)
            return
        self._body.append(payload)

    def on_message_complete(self) -> None:
        """Serve a whole request, or let it wait for those before it."""
        self._reading = False
        if self._refused:
            return
        self._read += 1
        request = messages.Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            b''.join(self._body),
            self._received,
            is_last=not self._parser.should_keep_alive(),
            connected=self._opened,
            number=self._read,
        )
        self._waiting.append(request)
        self._serve_next()

    # What replies and the front call.

    @property
    def idle(self) -> bool:
        """Tell whether no request is in progress or being read."""
        return not (self._busy or self._reading)

    def write_head(self, status: int, pairs: list[messages.Pair]) -> None:
        """Write the head of an answer, telling whether the connection ends.

        Failure: a caller had sent two requests at once; the first answer of an
        entry that leaves was taken for the last, and the second request, read
        whole, was never answered. The last of those that wait says so.
        """
        ends_here = self._front.leaving and not self._waiting
        if ends_here or not self._keep:
            self._keep = False
            pairs = [*pairs, (b'Connection', b'close')]
        self.write(messages.head_bytes(status, pairs))

    def write(self, payload: bytes) -> None:
        """Write bytes, unless the caller has left."""
        if not self._transport.is_closing():
            self._transport.write(payload)

    def abort(self) -> None:
        """End the connection at once, before its answer is whole."""
        self._end_is(endings.End.BROKEN_OFF)
        self._transport.abort()

    def cut(self) -> None:
        """End the connection at once, since this process ends."""
        self._end_is(endings.End.CUT)
        self._transport.abort()

    def close(self) -> None:
        """End the connection after what was written, as this process ends."""
        self._end_is(endings.End.CUT)
        self._transport.close()

    @property
    def blocked(self) -> bool:
        """Tell whether the caller has yet to read what was written."""
        return not self._can_write.is_set()

    async def writable(self) -> None:
        """Wait until there is room for more."""
        await self._can_write.wait()

    # Details.

    def _end_is(self, why: endings.End) -> None:
        """Note why the connection ends, unless that is known."""
        if self.ending is endings.End.OPEN:
            self.ending = why

    @property
    def _busy(self) -> bool:
        return self._serving is not None or bool(self._waiting)

    def _reset_message(self) -> None:
        self._target = b''
        self._pairs: list[messages.Pair] = []
        self._headers = messages.Headers()
        self._body: list[bytes] = []
        self._body_length = 0
        self._received = float(0)
        self._in_head = False
        self._reading = False
        self._head_bytes = 0

    def _bound_head(self, more: int) -> None:
        """Refuse a head that grows beyond its bound.

        The parser hands headers over one by one and would keep any number of
        them, so a caller could fill the memory with a head that never ends.
        """
        self._head_bytes += more
        if self._head_bytes > self._front.bounds().header_bytes:
            self._refuse(_HEADERS_TOO_LONG)

    def _is_sound(self, headers: messages.Headers) -> bool:
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
        if self._refused:
            return
        self._refused = True
        self._waiting.append(status)
        self._serve_next()

    def _serve_next(self) -> None:
        if self._serving is not None or not self._waiting:
            return
        item = self._waiting.popleft()
        self._disarm()
        if isinstance(item, int):
            self._end_with(item)
            return
        # Of those that wait only the last may be the connection's last.
        self._keep = not item.is_last
        self._serving = self._loop.create_task(self._serve(item))

    async def _serve(self, request: messages.Request) -> None:
        reply = replies.Reply(self)
        try:
            await self._front.handler(request, reply)
        except asyncio.CancelledError:
            self._transport.abort()
            raise
        except Exception as error:
            logger.bind(step='serve', error=repr(error)).error('handler failed')
            reply.break_off()
        finally:
            self._serving = None
        self._after(reply)

    def _after(self, reply: replies.Reply) -> None:
        if not reply.done:
            reply.break_off()
        if self._transport.is_closing():
            return
        if not self._keep:
            self._end_is(endings.End.LAST_ANSWER)
            self._transport.close()
            return
        self._pace_reading()
        self._serve_next()
        if self.idle:
            self._arm(self._front.bounds().idle_seconds, self._idle_ended)

    def _end_with(self, status: int) -> None:
        self._keep = False
        late = status == _TIMED_OUT
        self._end_is(
            endings.End.HEAD_LATE if late else endings.End.INPUT_REFUSED,
        )
        self._front.refused_input(status)
        replies.Reply(self).send(status, [], b'')
        self._arm(_LINGER, self._transport.close)

    def _pace_reading(self) -> None:
        """Stop reading from a caller that has many requests waiting."""
        if self._transport.is_closing():
            return
        if len(self._waiting) >= _MOST_WAITING:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _arm(self, seconds: float, act: Callable[[], object]) -> None:
        self._disarm()
        self._timer = self._loop.call_later(seconds, act)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _idle_ended(self) -> None:
        if self._serving is None:
            self._end_is(endings.End.IDLE)
            self._transport.close()

    def _head_late(self) -> None:
        self._refuse(_TIMED_OUT)


def _pair_bytes(pair: messages.Pair) -> int:
    return len(pair[0]) + len(pair[1])
