"""The way of one answer from the event loop to its caller's thread."""

from __future__ import annotations

import queue
import threading
import typing

import msgspec

if typing.TYPE_CHECKING:
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


class End(msgspec.Struct, frozen=True):
    """The end of an answer; with a problem where it isn't whole."""

    problem: problems.Problem | None = None


Event = Head | Part | End


class Outbox:
    """Hand an answer's events over; bounded by bytes."""

    def __init__(self) -> None:
        self._events: queue.SimpleQueue[Event] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._waiting = 0

    def put(self, event: Event) -> bool:
        """Add an event; false if the caller is too far behind.

        To be called on the event loop.
        """
        if isinstance(event, Part):
            with self._lock:
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

    def get(self, timeout: float) -> Event:
        """Wait for the next event.

        :param timeout: seconds to wait at most.
        :raises TimeoutError: nothing came.
        """
        try:
            event = self._events.get(timeout=timeout)
        except queue.Empty:
            raise TimeoutError from None
        if isinstance(event, Part):
            with self._lock:
                self._waiting -= len(event.payload)
        return event
