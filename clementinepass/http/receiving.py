"""Receive whole requests before threads serve them.

A thread that reads a request waits for its client.  Clients that send nothing,
or a part of a request, would hold all threads of a server.
"""

from __future__ import annotations

import contextlib
import math
import queue
import resource
import selectors
import socket
import threading
import time
import typing

import httptools
from loguru import logger

from clementinepass.decisions import shedding

if typing.TYPE_CHECKING:
    from collections.abc import Callable, Sequence

#: Bytes that are read at once.
_READ_BYTES = 65536
#: Most bytes of unfinished requests that are held.
_MAX_HELD_BYTES = 128 << 20
#: Longest head that is received.
_MAX_HEAD_BYTES = 65536
#: Bytes on the wire for a byte of a body above which a request is not read on.
#: Chunks of one byte take six.
_MAX_FRAMING_RATIO = 8
#: Requests that end too early of which a thread refuses each, in a second.
_MAX_CUT_OFF_PER_SECOND = 16
#: Digits of a length that are read.
_MAX_LENGTH_DIGITS = 18
#: Minimum number of seconds between log lines on closed connections.
_LOG_INTERVAL_SECONDS = 1.0
#: Seconds between looks at the timeouts.
_POLL_SECONDS = 0.25
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class ReceivingConnection(typing.Protocol):
    """A connection of a threaded server."""

    @property
    def socket(self) -> socket.socket:
        """Return the socket, which blocks."""

    @property
    def received(self) -> bytearray:
        """Return the bytes that were received and not read by a thread."""

    def take_back_buffered(self) -> None:
        """Put bytes that a thread has read ahead back to the received ones."""

    def close(self) -> None:
        """Close the connection."""


class _Incoming:
    """A request that is being received.

    :param connection: its connection.
    :param now: monotonic time in seconds.
    """

    __slots__ = (
        '_announced_bytes',
        '_parser',
        'body_bytes',
        'connection',
        'descriptor',
        'expects_continue',
        'has_ended',
        'is_in_head',
        'progressed_at',
        'since',
    )

    def __init__(self, connection: ReceivingConnection, now: float) -> None:
        self.connection = connection
        self.descriptor = connection.socket.fileno()
        self.since = now
        self.progressed_at = now
        #: Whether the request is complete, or can't be parsed.
        self.has_ended = False
        self.expects_continue = False
        self.is_in_head = True
        #: Bytes of the body that were received.
        self.body_bytes = 0
        self._announced_bytes = 0
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, payload: bytes) -> None:
        """Parse received bytes."""
        if self.has_ended:
            return
        try:
            self._parser.feed_data(payload)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            # The thread that gets the request answers with the error.
            self.has_ended = True

    def on_header(self, name: bytes, field: bytes) -> None:
        """Notice the length of the body, and a client that waits to send it."""
        lower_name = name.lower()
        if lower_name == b'expect':
            self.expects_continue = True
        elif lower_name == b'content-length' and field.isdigit():
            self._announced_bytes = int(field[:_MAX_LENGTH_DIGITS])

    def on_headers_complete(self) -> None:
        """Notice the end of the head."""
        self.is_in_head = False

    def on_body(self, payload: bytes) -> None:
        """Count the bytes of the body."""
        self.body_bytes += len(payload)

    def on_message_complete(self) -> None:
        """Notice the end of the request."""
        self.has_ended = True

    @property
    def body_length(self) -> int:
        """Return the length of the body, as far as it is known."""
        return max(self.body_bytes, self._announced_bytes)

    @property
    def occupant(self) -> shedding.Occupant:
        """Return what the request has brought and holds."""
        size = len(self.connection.received)
        return shedding.Occupant(self.since, size, size)


class Receiver:
    """Receives requests of many connections in one thread.

    :param hand_over: called with a connection whose request is complete; called
        in the thread of the receiver.
    :param timeout: seconds without a byte after which a connection is closed.
    :param limits: the limit of connections that wait.
    :param max_body_bytes: length of a body, received or announced, above which
        a thread gets the request at once, to refuse it.
    :param max_held_bytes: most bytes of unfinished requests.
    """

    def __init__(
        self,
        name: str,
        hand_over: Callable[[typing.Any], None],
        timeout: float,
        limits: shedding.ConnectionLimits | None = None,
        *,
        max_body_bytes: int,
        max_held_bytes: int = _MAX_HELD_BYTES,
    ) -> None:
        self._max_body_bytes = max_body_bytes
        self._max_wire_bytes = (
            _MAX_HEAD_BYTES + _MAX_FRAMING_RATIO * max_body_bytes
        )
        self._max_held_bytes = max_held_bytes
        self._hand_over = hand_over
        self._timeout = timeout
        self._limits = limits or _default_limits()
        self._selector = selectors.DefaultSelector()
        self._added: queue.SimpleQueue[ReceivingConnection] = (
            queue.SimpleQueue()
        )
        waker, wake_receiver = socket.socketpair()
        waker.setblocking(False)
        self._waker = waker
        self._wake_receiver = wake_receiver
        self._incoming_by_descriptor: dict[int, _Incoming] = {}
        self._held_bytes = 0
        self._is_stopped = threading.Event()
        self._given_up_since_log = 0
        self._logged_at = -math.inf
        self._cut_off_since = -math.inf
        self._cut_off_count = 0
        #: Number of connections closed for lack of room.
        self.closed_count = 0
        self._thread = threading.Thread(
            target=self._run, name=f'{name}-receiver', daemon=True
        )

    def start(self) -> None:
        """Begin to receive."""
        self._selector.register(self._wake_receiver, selectors.EVENT_READ)
        self._thread.start()

    def add(self, connection: ReceivingConnection) -> None:
        """Receive the next request of a connection; called in any thread."""
        self._added.put(connection)
        with contextlib.suppress(BlockingIOError):
            self._waker.send(b'w')

    def stop(self) -> None:
        """Close the connections whose requests are not complete."""
        self._is_stopped.set()
        with contextlib.suppress(BlockingIOError):
            self._waker.send(b'w')

    def _run(self) -> None:
        while not self._is_stopped.is_set():
            try:
                self._receive_all()
            except Exception as error:
                # The server would accept connections and serve none.
                logger.bind(step='receive', error=repr(error)).error(
                    'handler failed'
                )
        for incoming in list(self._incoming_by_descriptor.values()):
            self._close(incoming)

    def _receive_all(self) -> None:
        """Wait, and read what has arrived."""
        for key, _ in self._selector.select(_POLL_SECONDS):
            if key.fileobj is self._wake_receiver:
                self._wake_receiver.recv(_READ_BYTES)
                self._register_added()
            else:
                self._receive(key.data)
        self._close_late()

    def _register_added(self) -> None:
        while not self._added.empty():
            self._register(self._added.get())

    def _register(self, connection: ReceivingConnection) -> None:
        connection.take_back_buffered()
        incoming = _Incoming(connection, time.monotonic())
        self._held_bytes += len(connection.received)
        self._incoming_by_descriptor[incoming.descriptor] = incoming
        self._selector.register(
            connection.socket, selectors.EVENT_READ, incoming
        )
        if len(self._incoming_by_descriptor) > self._limits.total:
            self._close_idle(incoming)
        if connection.received and self._is_open(incoming):
            self._advance(incoming, bytes(connection.received))

    def _receive(self, incoming: _Incoming) -> None:
        """Read what has arrived for a request."""
        if not self._is_open(incoming):
            # It was closed for lack of room since the selector saw it, and
            # its descriptor may be another connection's.
            return
        try:
            payload = incoming.connection.socket.recv(_READ_BYTES)
        except OSError:
            self._close(incoming)
            return
        if not payload:
            self._end_cut_off(incoming)
            return
        incoming.connection.received.extend(payload)
        self._held_bytes += len(payload)
        self._advance(incoming, payload)
        if self._held_bytes > self._max_held_bytes:
            self._close_slow(incoming)

    def _end_cut_off(self, incoming: _Incoming) -> None:
        """Let a thread refuse a request that ends too early, or close it.

        The client may still read the answer. Most have left, and threads would
        be busy for seconds with the requests of a crowd that goes.
        """
        if not incoming.connection.received:
            # No request had begun.
            self._close(incoming)
            return
        now = time.monotonic()
        if now - self._cut_off_since >= 1:
            self._cut_off_since = now
            self._cut_off_count = 0
        self._cut_off_count += 1
        if self._cut_off_count > _MAX_CUT_OFF_PER_SECOND:
            self._close(incoming)
        else:
            self._finish(incoming)

    def _is_open(self, incoming: _Incoming) -> bool:
        return self._incoming_by_descriptor.get(incoming.descriptor) is incoming

    def _advance(self, incoming: _Incoming, payload: bytes) -> None:
        incoming.progressed_at = time.monotonic()
        incoming.feed(payload)
        size = len(incoming.connection.received)
        is_too_long = incoming.body_length > self._max_body_bytes
        if incoming.has_ended or (is_too_long and not incoming.is_in_head):
            self._finish(incoming)
        elif size > self._max_wire_bytes or (
            incoming.is_in_head and size > _MAX_HEAD_BYTES
        ):
            self._close(incoming)
        elif incoming.expects_continue and not incoming.is_in_head:
            incoming.expects_continue = False
            with contextlib.suppress(OSError):
                incoming.connection.socket.sendall(_CONTINUE)

    def _finish(self, incoming: _Incoming) -> None:
        """Hand a request over to a thread."""
        self._remove(incoming)
        self._hand_over(incoming.connection)

    def _close_late(self) -> None:
        latest = time.monotonic() - self._timeout
        for incoming in list(self._incoming_by_descriptor.values()):
            if incoming.progressed_at < latest:
                self._close(incoming)

    def _close_idle(self, newest: _Incoming) -> None:
        """Close connections in favour of a new one, or that one."""
        waiting = list(self._incoming_by_descriptor.values())
        positions = shedding.choose_for_descriptors(
            [incoming.occupant for incoming in waiting],
            self._limits.total,
            time.monotonic(),
        )
        self._give_up([waiting[position] for position in positions] or [newest])

    def _close_slow(self, newest: _Incoming) -> None:
        """Close connections for lack of memory, or the one that needs it."""
        waiting = list(self._incoming_by_descriptor.values())
        positions = shedding.choose_for_memory(
            [incoming.occupant for incoming in waiting],
            self._held_bytes - self._max_held_bytes,
            time.monotonic(),
        )
        self._give_up([waiting[position] for position in positions])
        if self._held_bytes > self._max_held_bytes and self._is_open(newest):
            self._give_up([newest])

    def _give_up(self, chosen: Sequence[_Incoming]) -> None:
        for incoming in chosen:
            self._close(incoming)
        self.closed_count += len(chosen)
        self._report_given_up(len(chosen))

    def _report_given_up(self, count: int) -> None:
        """Log connections that were closed, those since the last line."""
        self._given_up_since_log += count
        now = time.monotonic()
        if not count or now - self._logged_at < _LOG_INTERVAL_SECONDS:
            return
        logger.bind(
            given_up=self._given_up_since_log, held=self._held_bytes
        ).warning('unfinished requests given up')
        self._logged_at = now
        self._given_up_since_log = 0

    def _close(self, incoming: _Incoming) -> None:
        self._remove(incoming)
        with contextlib.suppress(OSError):
            incoming.connection.close()

    def _remove(self, incoming: _Incoming) -> None:
        self._held_bytes -= len(incoming.connection.received)
        del self._incoming_by_descriptor[incoming.descriptor]
        self._selector.unregister(incoming.descriptor)


def _default_limits() -> shedding.ConnectionLimits:
    """Return the limit of connections by the descriptors of the process."""
    descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if descriptors == resource.RLIM_INFINITY:
        return shedding.ConnectionLimits(math.inf)
    return shedding.ConnectionLimits.from_sockets(descriptors)
