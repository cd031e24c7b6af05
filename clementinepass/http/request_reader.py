"""Parse the requests that arrive on one connection.

The parser runs in its strict mode: a request with two lengths, or with both a
length and chunks, is an error.  A request with ambiguous framing is refused
with 400 and nothing after it is read, so that no bytes behind it can be taken
for another request (request smuggling).
"""

from __future__ import annotations

import asyncio
import typing

import httptools

from clementinepass.decisions import shedding
from clementinepass.http import held_memory, messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from clementinepass.http import limits

#: Copies of a body that are counted: the body, and its copy in the request to
#: an endpoint. If the copy counted only from then on, bodies that arrive at the
#: same time could leave no room for any copy, and all would be refused.
BODY_COPIES = 2
#: Memory of a queued request beside its headers and its body.
REQUEST_BYTES = 1024
#: Headers of a request above which they are kept in one object until it is its
#: turn: many requests may be complete at once.
_MAX_UNPACKED_HEADERS = 64
#: Smallest size of what surrounds the target in a request's first line, and
#: name and value in a header's line.
_FIRST_LINE_BYTES = len(b'GET  HTTP/1.1\r\n')
_HEADER_LINE_BYTES = len(b':\r\n')

_BAD_REQUEST = 400
_BODY_TOO_LONG = 413
_HEADERS_TOO_LONG = 431
_UNAVAILABLE = 503


class Sink(held_memory.Upload, typing.Protocol):
    """The connection for which requests are read."""

    def accept_head(self, headers: messages.Headers) -> None:
        """Handle a head that is complete and acceptable."""

    def accept_request(self, request: messages.Request) -> None:
        """Handle a complete request."""

    def accept_refusal(self, status: int) -> None:
        """Handle input that is refused; nothing after it is read."""


class _Message:
    """The request that is being received.

    :param bounds: the limits at its begin.
    :param began_at: monotonic time in seconds of its first byte.
    :param is_reading: whether a part of it was received.
    """

    __slots__ = (
        'began_at',
        'body',
        'body_length',
        'bounds',
        'framing_bytes',
        'head_bytes',
        'head_received_at',
        'is_ambiguous',
        'is_body_dropped',
        'is_in_head',
        'is_reading',
        'line_bytes',
        'packed_head',
        'pairs',
        'received_bytes',
        'target',
    )

    def __init__(
        self,
        bounds: limits.Bounds,
        began_at: float,
        *,
        is_reading: bool = False,
    ) -> None:
        self.bounds = bounds
        self.began_at = began_at
        self.is_reading = is_reading
        self.is_in_head = is_reading
        #: Bytes received in the segments after the first one.
        self.received_bytes = 0
        self.target = b''
        #: Headers of the current segment, and those of earlier ones.
        self.pairs: list[messages.Pair] = []
        self.packed_head = bytearray()
        #: Smallest size on the wire of the headers parsed so far.
        self.line_bytes = 0
        #: Size on the wire of the segments of the head.
        self.head_bytes = 0
        self.is_ambiguous = False
        self.head_received_at: float = 0
        self.body = bytearray()
        self.body_length = 0
        self.is_body_dropped = False
        #: Bytes of chunk sizes and trailers since the last of the body.
        self.framing_bytes = 0


class RequestReader:
    """Reads the requests of one connection.

    :param bounds: returns the current limits.
    :param memory: counts the bytes held.
    """

    def __init__(
        self,
        sink: Sink,
        bounds: Callable[[], limits.Bounds],
        memory: held_memory.HeldMemory,
    ) -> None:
        self._sink = sink
        self._current_bounds = bounds
        self._memory = memory
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        #: Whether input was refused; what follows is ignored.
        self.is_refused = False
        #: Number of complete requests.
        self.completed_count = 0
        #: Number of parts parsed so far: lines of heads, and chunks.
        self.part_count = 0
        #: Bytes counted for the unfinished request.
        self.held_bytes = 0
        self._message = _Message(bounds(), self._loop.time())
        self._apply_bounds()

    @property
    def is_reading(self) -> bool:
        """Return whether a part of a request was received."""
        return self._message.is_reading

    @property
    def is_in_head(self) -> bool:
        """Return whether a part of a head was received."""
        return self._message.is_in_head

    @property
    def unfinished(self) -> shedding.Occupant:
        """Return what the unfinished request has brought and holds."""
        return shedding.Occupant(
            self._message.began_at,
            self._message.received_bytes,
            self.held_bytes,
        )

    def feed(self, payload: bytes | memoryview) -> None:
        """Parse received bytes."""
        if self.is_refused:
            return
        self._message.received_bytes += len(payload)
        completed_count = self.completed_count
        body_length = self._message.body_length
        was_in_body = self._message.is_reading and not self._message.is_in_head
        self._apply_bounds()
        try:
            self._parser.feed_data(payload)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self.refuse(_BAD_REQUEST)
        is_same_message = self.completed_count == completed_count
        if self._message.is_in_head:
            # The segment may also hold the end of the request before.
            self._message.head_bytes += (
                len(payload) if is_same_message else self._parsed_head_bytes
            )
            self._check_head_size(self._message.head_bytes)
        elif (
            was_in_body
            and is_same_message
            and self._message.body_length == body_length
        ):
            self._message.framing_bytes += len(payload)
            self._check_head_size(self._message.framing_bytes)

    def settle(self) -> None:
        """Count what the unfinished request holds, once a segment is parsed.

        Its head is packed, as the objects of a head of short lines take forty
        times its bytes. Without room, the body is dropped, or the request is
        refused.
        """
        if not self._message.is_reading or self.is_refused:
            return
        if self._message.pairs:
            self._message.packed_head += messages.pack(self._message.pairs)
            self._message.pairs = []
        head_bytes = len(self._message.packed_head) + len(self._message.target)
        if self._hold(head_bytes + BODY_COPIES * len(self._message.body)):
            return
        self._drop_body()
        if not self._hold(head_bytes):
            self.refuse(_UNAVAILABLE)

    def refuse(self, status: int) -> None:
        """Refuse the input and ignore what follows."""
        if self.is_refused:
            return
        self.is_refused = True
        self.release()
        self._sink.accept_refusal(status)

    def release(self) -> None:
        """Drop the unfinished request."""
        self._message.body = bytearray()
        self._message.pairs = []
        self._message.packed_head = bytearray()
        self._memory.hold(-self.held_bytes)
        self.held_bytes = 0

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._message = _Message(
            self._current_bounds(), self._loop.time(), is_reading=True
        )
        self._apply_bounds()

    def on_url(self, target: bytes) -> None:
        """Handle a part of the target."""
        self._message.target += target

    def on_header(self, name: bytes, field: bytes) -> None:
        """Handle one header; trailers are ignored."""
        message = self._message
        if not message.is_in_head or self.is_refused:
            return
        self.part_count += 1
        message.line_bytes += len(name) + len(field) + _HEADER_LINE_BYTES
        if message.line_bytes > self._max_head_bytes:
            self.refuse(_HEADERS_TOO_LONG)
        elif b'\n' in field or b'\r' in field or b'\0' in field:
            # A folded value, which an endpoint may interpret differently.
            message.is_ambiguous = True
        else:
            message.pairs.append((name, field))

    def on_headers_complete(self) -> None:
        """Check a complete head."""
        self._message.is_in_head = False
        self._message.head_received_at = self._loop.time()
        headers = self._read_headers()
        self._check_head_size(self._parsed_head_bytes)
        length = headers.get(b'content-length')
        if length and int(length) > self._max_body_bytes:
            self.refuse(_BODY_TOO_LONG)
        elif self._message.is_ambiguous or not self._is_unambiguous(headers):
            self.refuse(_BAD_REQUEST)
        elif not self.is_refused:
            self._sink.accept_head(headers)

    def on_body(self, payload: bytes) -> None:
        """Keep a part of the body, up to the size limit.

        For lack of memory, the body is read and dropped, so that the request
        can be refused like any other.
        """
        if self.is_refused:
            return
        message = self._message
        self.part_count += 1
        message.body_length += len(payload)
        if message.body_length > self._max_body_bytes:
            self.refuse(_BODY_TOO_LONG)
            return
        message.framing_bytes = 0
        if not message.is_body_dropped:
            message.body += payload

    def on_message_complete(self) -> None:
        """Pass on a complete request."""
        self._message.is_reading = False
        if self.is_refused:
            return
        headers = self._read_headers()
        self._hold_request(headers)
        if len(headers.pairs) > _MAX_UNPACKED_HEADERS:
            headers = messages.Headers.from_packed(messages.pack(headers))
        self.completed_count += 1
        request = messages.Request(
            self._parser.get_method(),
            self._message.target,
            headers,
            bytes(self._message.body),
            self._message.head_received_at,
            is_last=not self._parser.should_keep_alive(),
            number=self.completed_count,
            is_body_dropped=self._message.is_body_dropped,
            held_bytes=self.held_bytes,
        )
        self.held_bytes = 0
        self.release()
        self._sink.accept_request(request)

    # Internal methods.

    def _apply_bounds(self) -> None:
        """Apply the limits at the begin of the request, or higher ones."""
        latest = self._current_bounds()
        self._max_head_bytes = max(
            self._message.bounds.header_bytes, latest.header_bytes
        )
        self._max_body_bytes = max(
            self._message.bounds.body_bytes, latest.body_bytes
        )

    @property
    def _parsed_head_bytes(self) -> int:
        return (
            _FIRST_LINE_BYTES
            + len(self._message.target)
            + self._message.line_bytes
        )

    def _check_head_size(self, size: int) -> None:
        """Refuse a head that exceeds the size limit.

        The parser has no limit on the number of headers, so a caller could
        exhaust the memory with a head that never ends.
        """
        if size > self._max_head_bytes:
            self.refuse(_HEADERS_TOO_LONG)

    def _is_unambiguous(self, headers: messages.Headers) -> bool:
        """Return whether an endpoint interprets a head as this process does.

        Two hosts, or a target that is not a path, may be interpreted
        differently by an endpoint.
        """
        if headers.count(b'host') != 1 or not self._message.target.startswith(
            b'/'
        ):
            return False
        # The parser does not parse anything after an upgrade.
        return headers.get(b'upgrade') is None

    def _read_headers(self) -> messages.Headers:
        """Return the headers received so far."""
        if self._message.packed_head:
            earlier = messages.unpack(self._message.packed_head)
            return messages.Headers(earlier + self._message.pairs)
        return messages.Headers(self._message.pairs)

    def _hold_request(self, headers: messages.Headers) -> None:
        """Count what a complete request holds until it is answered.

        Without room, its body is dropped, so that it is refused.
        """
        request_bytes = REQUEST_BYTES + messages.memory_of(headers)
        if self._hold(request_bytes + BODY_COPIES * len(self._message.body)):
            return
        self._drop_body()
        self._memory.hold(request_bytes - self.held_bytes)
        self.held_bytes = request_bytes

    def _drop_body(self) -> None:
        """Drop the body of the unfinished request, what follows included."""
        self._message.is_body_dropped = True
        self._message.body = bytearray()

    def _hold(self, size: int) -> bool:
        """Count the size of the unfinished request if there is room."""
        growth = size - self.held_bytes
        if growth > 0 and not self._memory.has_room(growth, self._sink):
            return False
        self.held_bytes = size
        self._memory.hold(growth)
        return True
