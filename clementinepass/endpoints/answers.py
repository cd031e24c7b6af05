"""Answers of endpoints, read part by part and whole or not at all."""

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
#: The longest event that is accepted, in bytes.
_MAX_EVENT_BYTES = 1024 * 1024


class BodyFaultError(Exception):
    """A body contradicts the protocol; only used in this package."""


class BodyReader(typing.Protocol):
    """Cut a body into the parts that are handed on."""

    def feed(self, piece: bytes) -> bytes:
        """Take what arrived and return what can be handed on.

        :raises BodyFaultError: the body contradicts the protocol.
        """

    def is_complete(self) -> bool:
        """Tell whether the end mark has been read."""

    def finish(self) -> None:
        """Check, at the end of the body, that nothing is missing.

        :raises BodyFaultError: the end mark is missing.
        """


#: Chooses by an answer's head what cuts its body into parts.
ReaderFactory = typing.Callable[[protocols.AnswerHead], BodyReader]


class PlainBodyReader:
    """Hand a body on as it arrives; its length is its end mark.

    :param limit: the longest body that is accepted, in bytes.
    """

    __slots__ = ('_limit', '_size')

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._size = 0

    def feed(self, piece: bytes) -> bytes:
        """Return the piece.

        :raises BodyFaultError: the body is too long.
        """
        self._size += len(piece)
        if self._size > self._limit:
            raise BodyFaultError(f'answer over {self._limit} bytes')
        return piece

    def is_complete(self) -> bool:
        """Tell that only the length or the last chunk ends the body."""
        return False

    def finish(self) -> None:
        """Accept the end: the length or the last chunk has proved it."""


class EventReader:
    """Hand whole server-sent events on, up to the end mark ``[DONE]``.

    :param limit: the longest body that is accepted, in bytes.
    """

    __slots__ = ('_complete', '_partial', '_plain_reader')

    def __init__(self, limit: int) -> None:
        self._plain_reader = PlainBodyReader(limit)
        self._partial = b''
        self._complete = False

    def feed(self, piece: bytes) -> bytes:
        """Return the events that are whole now.

        :raises BodyFaultError: an event is too long, or follows the end mark.
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
            raise BodyFaultError(f'event over {_MAX_EVENT_BYTES} bytes')
        return pending[:ready_size]

    def is_complete(self) -> bool:
        """Tell whether the end mark has been read."""
        return self._complete

    def finish(self) -> None:
        """Check that the end mark has been read.

        :raises BodyFaultError: it has not.
        """
        if not self._complete:
            raise BodyFaultError('stream ended without its end mark')


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerDeadline:
    """The moment by which an answer must be whole."""

    timer: clock.Clock
    deadline: float

    def has_passed(self) -> bool:
        """Tell whether the moment has passed."""
        return self.timer.now() > self.deadline


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Status and body of an answer that was read whole."""

    status: int
    body: bytes


class AnswerConnection:
    """A connection that carries one answer, and nothing else.

    :param connection: the connection.
    :param sock: its socket, which the connection lets go of once an
        answer's head says that the connection ends with the answer.
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
        """Let both ends see an end of the connection."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Free the connection."""
        self._connection.close()


class HttpAnswer:
    """An answer under way over HTTP.

    :param response: the answer, with its body still to be read.
    :param reader_factory: chooses what cuts the body into parts.
    :param line: what it comes over.
    """

    __slots__ = (
        '_expiry',
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
        line: AnswerConnection,
        *,
        peer: str,
        reader_factory: ReaderFactory,
        expiry: AnswerDeadline,
        step: str,
    ) -> None:
        #: Status and type.
        self.head = protocols.AnswerHead(
            status=response.status,
            content_type=response.headers.get('Content-Type', ''),
        )
        self._response = response
        self._peer = peer
        self._reader = reader_factory(self.head)
        self._expiry = expiry
        self._step = step
        self._connection = line
        self._aborted = False
        self._lock = threading.Lock()

    def parts(self) -> Iterator[bytes]:
        """Yield the body piece by piece as it arrives.

        For a stream of events each piece is one or more whole events.

        :raises EndpointError: the endpoint failed, fell silent, or ended the
            body without its end mark.
        """
        try:
            yield from self._parts()
        except (BodyFaultError, urllib3.exceptions.HTTPError) as error:
            raise self._endpoint_error(str(error)) from error
        finally:
            self._close()

    def close(self) -> None:
        """Give the connection up; safe from another thread.

        A reader that is blocked wakes up with an error.
        """
        self._aborted = True
        # Closing a socket does not wake a thread that reads from it;
        # shutting it down does, and only then is it safe to close it.
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
                # Nothing may follow but the last chunk; an endpoint that is
                # slow to send it must not hold up the end of the answer.
                return
            if self._expiry.has_passed():
                raise BodyFaultError('answer took too long')
        self._reader.finish()

    def _next_piece(self, pieces: Iterator[bytes]) -> bytes:
        """Return the next piece of the body, or nothing at its end."""
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
