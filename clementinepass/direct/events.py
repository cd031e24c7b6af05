"""Cut a stream of server-sent events into whole events with their ids."""

from __future__ import annotations

import re
import typing

from clementinepass import errors

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

#: Bytes of one event that are kept until it is whole.
_MAX_EVENT_BYTES = 1 << 20
#: What ends an event: a line without anything on it.
_BLANK_LINE = re.compile(b'\n\n|\r\n\r\n')


class Event(typing.NamedTuple):
    """One whole event as it came, with its id."""

    payload: bytes
    #: ``None`` for an event without an id.
    id: int | None


class StreamBrokenError(errors.ClementinepassError):
    """A stream's events don't follow on one another."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail, step='relay', peer='endpoint')


class EventSplitter:
    """Collect bytes and hand out whole events in their order.

    Endpoints stop in the middle of an event when they crash.  Only whole
    events go to a caller, so that another endpoint can go on after the last.

    :param after: the last event that the caller has; ``None`` at the start.
    """

    __slots__ = ('_pending', 'last_id')

    def __init__(self, after_id: int | None) -> None:
        self._pending = b''
        #: The id of the last event handed out.
        self.last_id = after_id

    @property
    def has_partial_event(self) -> bool:
        """Tell whether an event has begun and isn't whole."""
        return bool(self._pending)

    def feed(self, payload: bytes) -> Iterator[Event]:
        """Take bytes and yield the events that are whole now.

        One by one: those before a fault were good, and whoever relays them
        has passed them on when the fault is found.

        :raises StreamBrokenError: an event is missing, comes twice, or
            is too long.
        """
        self._pending += payload
        end = _event_end(self._pending)
        while end:
            event = Event(self._pending[:end], _event_id(self._pending[:end]))
            self._pending = self._pending[end:]
            self._check_sequence(event)
            yield event
            end = _event_end(self._pending)
        if len(self._pending) > _MAX_EVENT_BYTES:
            raise StreamBrokenError('an event has no end')

    def _check_sequence(self, event: Event) -> None:
        if event.id is None:
            return
        if self.last_id is not None and event.id != self.last_id + 1:
            raise StreamBrokenError(f'{event.id} follows on {self.last_id}')
        self.last_id = event.id


def _event_end(pending: bytes) -> int:
    """Return where the first event ends; 0 where none is whole."""
    match = _BLANK_LINE.search(pending)
    return match.end() if match else 0


def _event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(b'id:'):
            field = line.removeprefix(b'id:').strip()
            return int(field) if field.isdigit() else None
    return None
