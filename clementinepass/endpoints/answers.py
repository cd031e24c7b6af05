"""Endpoints' answers, streamed in parts and checked for completeness."""

from __future__ import annotations

import contextlib
import dataclasses
import re
import socket
import threading
import typing

import urllib3

from clementinepass import errors, http_bodies
from clementinepass.endpoints import protocols

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

    import urllib3.connection

    from clementinepass import clock

_END_MARK = re.compile(rb'data: ?\[DONE\]')
_EVENT_END = re.compile(rb'\r?\n\r?\n')
#: Maximum length of one server-sent event.
_MAX_EVENT_BYTES = 1024 * 1024


class BodyFaultError(Exception):
    """A body violates the protocol; raised only within this package."""


class BodyReader(typing.Protocol):
    """Parser that splits a body into the parts passed to the caller."""

    def feed(self, piece: bytes) -> bytes:
        """Add received bytes and return those ready to be passed on.

        :raises BodyFaultError: the body violates the protocol.
        """

    def is_complete(self) -> bool:
        """Return whether the end mark has been read."""

    def finish(self) -> None:
        """Check at the end of the body that it is complete.

        :raises BodyFaultError: the end mark is missing.
        """


#: Function that returns the body reader for an answer's head.
ReaderFactory = typing.Callable[[protocols.AnswerHead], BodyReader]


class PlainBodyReader:
    """Reader that passes a body on as it arrives.

    The end of the body is detected by HTTP: its length or the last chunk.

    :param limit: maximum length of the body in bytes.
    """

    __slots__ = ('_limit', '_size')

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._size = 0

    def feed(self, piece: bytes) -> bytes:
        """Return the piece unchanged.

        :raises BodyFaultError: the body is too long.
        """
        self._size += len(piece)
        if self._size > self._limit:
            raise BodyFaultError(f'answer exceeds {self._limit} bytes')
        return piece

    def is_complete(self) -> bool:
        """Return false: only the length or the last chunk ends the body."""
        return False

    def finish(self) -> None:
        """Accept the end; the length or the last chunk has confirmed it."""


class EventReader:
    """Reader of complete server-sent events up to the end mark ``[DONE]``.

    :param limit: maximum length of the body in bytes.
    """

    __slots__ = ('_complete', '_partial', '_plain_reader')

    def __init__(self, limit: int) -> None:
        self._plain_reader = PlainBodyReader(limit)
        self._partial = b''
        self._complete = False

    def feed(self, piece: bytes) -> bytes:
        """Add received bytes and return the events completed by them.

        :raises BodyFaultError: the body or an event is too long, or an event
            follows the end mark.
        """
        pending = self._partial + self._plain_reader.feed(piece)
        ready_size = 0
        for end in _EVENT_END.finditer(pending):
            if self._complete:
                raise BodyFaultError('an event follows the end mark')
            event = pending[ready_size : end.start()]
            self._complete = _END_MARK.fullmatch(event) is not None
            ready_size = end.end()
        self._partial = pending[ready_size:]
        if len(self._partial) > _MAX_EVENT_BYTES:
            raise BodyFaultError(f'event exceeds {_MAX_EVENT_BYTES} bytes')
        return pending[:ready_size]

    def is_complete(self) -> bool:
        """Return whether the end mark has been read."""
        return self._complete

    def finish(self) -> None:
        """Check that the end mark has been read.

        :raises BodyFaultError: the end mark is missing.
        """
        if not self._complete:
            raise BodyFaultError('stream ended without its end mark')


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerDeadline:
    """Time by which an answer must be complete.

    :param timer: the clock that the deadline refers to.
    :param deadline: the deadline, in seconds on that clock.
    """

    timer: clock.Clock
    deadline: float

    def has_passed(self) -> bool:
        """Return whether the deadline has passed."""
        return self.timer.now() > self.deadline


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete answer."""

    status: int
    body: bytes


class AnswerConnection:
    """Connection used for a single answer.

    :param connection: the HTTP connection.
    :param sock: the connection's socket, kept separately because the
        connection drops its reference once an answer's head says
        ``Connection: close``.
    """

    __slots__ = ('_sock', '_connection')

    def __init__(
        self,
        connection: urllib3.connection.HTTPConnection,
        sock: socket.socket,
    ) -> None:
        self._connection = connection
        self._sock = sock

    def shutdown(self) -> None:
        """Shut down both directions of the socket."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


class HttpAnswer:
    """HTTP answer whose body is still being received.

    :param response: the response, with its body unread.
    :param connection: the connection that the response arrives on.
    :param peer: the endpoint's address, for error messages.
    :param reader_factory: returns the reader that splits the body.
    :param deadline: the deadline for the complete answer.
    :param step: the step reported in errors, such as ``'call'``.
    """

    __slots__ = (
        '_deadline',
        '_aborted',
        '_connection',
        '_lock',
        '_peer',
        '_reader',
        '_response',
        '_step',
        'head',
    )

    def __init__(
        self,
        response: urllib3.BaseHTTPResponse,
        connection: AnswerConnection,
        *,
        peer: str,
        reader_factory: ReaderFactory,
        deadline: AnswerDeadline,
        step: str,
    ) -> None:
        #: Status and content type.
        self.head = protocols.AnswerHead(
            status=response.status,
            content_type=response.headers.get('Content-Type', ''),
        )
        self._response = response
        self._peer = peer
        self._reader = reader_factory(self.head)
        self._deadline = deadline
        self._step = step
        self._connection = connection
        self._aborted = False
        self._lock = threading.Lock()

    def parts(self) -> Iterator[bytes]:
        """Yield the body in parts as they arrive.

        Each part of an event stream is one or more complete events.

        :raises EndpointError: the endpoint failed, timed out, or ended the
            body without its end mark.
        """
        try:
            yield from self._parts()
        except (BodyFaultError, urllib3.exceptions.HTTPError) as error:
            raise self._endpoint_error(str(error)) from error
        finally:
            self._close()

    def close(self) -> None:
        """Abort the answer; thread-safe.

        A thread that is blocked reading the body gets an error.
        """
        self._aborted = True
        # Closing a socket does not wake a thread that reads from it;
        # shutting it down does, and closing it is safe only afterwards.
        self._connection.shutdown()
        with self._lock:
            self._close()

    def _close(self) -> None:
        self._response.close()
        self._connection.close()

    def _parts(self) -> Iterator[bytes]:
        pieces = http_bodies.iter_body(self._response)
        while piece := self._next_piece(pieces):
            part = self._reader.feed(piece)
            if part:
                yield part
            if self._reader.is_complete():
                # Only the last chunk may follow; an endpoint that is slow to
                # send it must not delay the end of the answer.
                return
            if self._deadline.has_passed():
                raise BodyFaultError('answer took too long')
        self._reader.finish()

    def _next_piece(self, pieces: Iterator[bytes]) -> bytes:
        """Return the next piece of the body; empty at the end."""
        with self._lock:
            if self._aborted:
                raise BodyFaultError('answer was given up')
            return next(pieces, b'')

    def _endpoint_error(self, detail: str) -> errors.EndpointError:
        return errors.EndpointError(
            'answer was given up' if self._aborted else detail,
            step=self._step,
            peer=self._peer,
            execution=errors.Execution.MAY_HAVE_RUN,
        )
