"""Hand one answer from the event loop to its caller's thread."""

from __future__ import annotations

import queue
import threading
import typing

import msgspec

from clementinepass.requests import problem as problems

#: Bytes of an answer that wait for a slow caller. A caller that falls behind
#: by more loses its stream: at 12 tokens a second and some 200 bytes a token
#: that is more than six minutes behind.
_LIMIT = 1 << 20


class Head(msgspec.Struct, frozen=True):
    """The beginning of an answer."""

    status: int
    content_type: str


class Part(msgspec.Struct, frozen=True):
    """A piece of an answer's body."""

    payload: bytes


class Rest(msgspec.Struct, frozen=True):
    """What a socket did not take of a piece written directly."""

    payload: bytes


class End(msgspec.Struct, frozen=True):
    """The end of an answer; with a problem where it isn't whole."""

    problem: problems.Problem | None = None


Event = Head | Part | Rest | End


class Writer(typing.Protocol):
    """Writes pieces of an answer without blocking."""

    def write(self, payload: bytes) -> bytes:
        """Write as much as is taken and return the rest.

        :raises OSError: the caller has gone away.
        """


class Outbox:
    """Hand an answer's events over; bounded by bytes."""

    def __init__(self) -> None:
        #: Bytes of the answer handed to the caller's connection so far.
        self.relayed = 0
        self._events: queue.SimpleQueue[Event] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._waiting = 0
        self._writer: Writer | None = None

    def put(self, event: Event) -> bool:
        """Add an event; false if the caller is gone or too far behind.

        To be called on the event loop.
        """
        with self._lock:
            if not isinstance(event, Part):
                self._events.put(event)
                return True
            if self._writer is not None:
                return self._write(self._writer, event)
            self._waiting += len(event.payload)
            if self._waiting > _LIMIT:
                return False
            self._events.put(event)
            return True

    def put_whole(self, body: bytes) -> None:
        """Add a whole body, which the loop no longer holds.

        The bound is for streams; what bounds a whole body is the limit of
        the agent's buffer.
        """
        with self._lock:
            self._waiting += len(body)
        self._events.put(Part(body))

    def write_directly(self, writer: Writer) -> None:
        """Let the loop write, if all pieces so far have been written.

        To be called by the caller's thread between two pieces. The lock and
        the empty queue make sure that no piece overtakes another.
        """
        with self._lock:
            if self._events.empty():
                self._writer = writer

    def get(self, timeout: float) -> Event:
        """Wait for the next event; for the caller's thread.

        :param timeout: seconds to wait at most.
        :raises TimeoutError: nothing came.
        """
        try:
            event = self._events.get(timeout=timeout)
        except queue.Empty:
            raise TimeoutError from None
        if isinstance(event, (Part, Rest)):
            with self._lock:
                self._waiting -= len(event.payload)
                if isinstance(event, Part):
                    self.relayed += len(event.payload)
        return event

    def _write(self, writer: Writer, part: Part) -> bool:
        try:
            rest = writer.write(part.payload)
        except OSError:
            return False
        self.relayed += len(part.payload)
        if rest:
            # The socket is full: the thread may wait for it, the loop not.
            self._writer = None
            self._waiting += len(rest)
            self._events.put(Rest(rest))
        return True
