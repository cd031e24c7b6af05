"""Split a stream of server-sent events into events with their ids."""

from __future__ import annotations

import re
import typing

from clementinepass import errors

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

#: Largest event that is buffered.
_MAX_EVENT_BYTES = 1 << 20
#: An empty line ends an event.
_BLANK_LINE = re.compile(b'\n\n|\r\n\r\n')


class Event(typing.NamedTuple):
    """A complete event, unchanged, with its id."""

    payload: bytes
    #: ``None`` for an event without an id.
    id: int | None


class StreamBrokenError(errors.ClementinepassError):
    """An event of a stream is out of order, too long or incomplete."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail, step='relay', peer='endpoint')


class EventSplitter:
    """Buffer bytes and yield complete events in order.

    An endpoint that crashes may stop in the middle of an event. Only complete
    events are forwarded, so that another endpoint can resume after the last.

    :param after_id: id of the last event that the caller has received;
        ``None`` at the start.
    """

    __slots__ = ('_pending', 'last_id')

    def __init__(self, after_id: int | None) -> None:
        self._pending = b''
        #: The id of the last event that was yielded.
        self.last_id = after_id

    @property
    def pending_bytes(self) -> int:
        """Return the size of the incomplete event that is buffered."""
        return len(self._pending)

    @property
    def has_partial_event(self) -> bool:
        """Tell whether an incomplete event is buffered."""
        return bool(self._pending)

    def feed(self, payload: bytes) -> Iterator[Event]:
        """Buffer bytes and yield the events that are now complete.

        Events are yielded one by one, so that those before a faulty event are
        forwarded before the error is raised.

        :raises StreamBrokenError: an event is missing, repeated or too long.
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
            raise StreamBrokenError('an event is too long')

    def _check_sequence(self, event: Event) -> None:
        if event.id is None:
            return
        if self.last_id is not None and event.id != self.last_id + 1:
            raise StreamBrokenError(
                f'{event.id} is not the event after {self.last_id}'
            )
        self.last_id = event.id


def _event_end(pending: bytes) -> int:
    """Return the end of the first event; 0 if no event is complete."""
    match = _BLANK_LINE.search(pending)
    return match.end() if match else 0


def _event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(b'id:'):
            field = line.removeprefix(b'id:').strip()
            return int(field) if field.isdigit() else None
    return None
