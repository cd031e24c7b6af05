"""Split a stream of server-sent events into events with their ids."""

from __future__ import annotations

import re
import typing

from clementinepass import errors

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

#: Largest event that is buffered.
_MAX_EVENT_BYTES = 1 << 20
#: Most bytes of comments between two events. Comments keep a connection open;
#: a stream of nothing else is no answer.
_MAX_COMMENT_BYTES = 65536
#: An empty line ends an event.
_BLANK_LINE = re.compile(b'\n\n|\r\n\r\n')


class Event(typing.NamedTuple):
    """A complete event, unchanged, with its id."""

    payload: bytes
    #: ``None`` for an event without an id.
    id: int | None
    #: Whether it has comments only.
    is_comment: bool = False


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

    __slots__ = (
        '_comment_bytes',
        '_has_begun',
        '_pending',
        'last_id',
        'leading_comments',
    )

    def __init__(self, after_id: int | None) -> None:
        self._pending = b''
        #: Bytes of comments since the last event.
        self._comment_bytes = 0
        #: Whether there was an event, and the comments before it. They do not
        #: show that an endpoint answers the request.
        self._has_begun = False
        self.leading_comments = b''
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

        :raises StreamBrokenError: an event is missing, repeated or too long, or
            there are too many comments.
        """
        self._pending += payload
        start = 0
        while match := _BLANK_LINE.search(self._pending, start):
            event = _parse(self._pending[start : match.end()])
            start = match.end()
            self._check_sequence(event)
            self._check_comments(event)
            if event.is_comment and not self._has_begun:
                self.leading_comments += event.payload
                continue
            yield self._add_leading_comments(event)
        self._pending = self._pending[start:]
        if len(self._pending) > _MAX_EVENT_BYTES:
            raise StreamBrokenError('an event is too long')

    def _add_leading_comments(self, event: Event) -> Event:
        if self._has_begun:
            return event
        self._has_begun = True
        payload = self.leading_comments + event.payload
        self.leading_comments = b''
        return event._replace(payload=payload)

    def _check_comments(self, event: Event) -> None:
        if not event.is_comment:
            self._comment_bytes = 0
            return
        self._comment_bytes += len(event.payload)
        if self._comment_bytes > _MAX_COMMENT_BYTES:
            raise StreamBrokenError(
                f'{self._comment_bytes} bytes of comments without an event'
            )

    def _check_sequence(self, event: Event) -> None:
        if event.id is None:
            return
        if self.last_id is not None and event.id != self.last_id + 1:
            raise StreamBrokenError(
                f'{event.id} is not the event after {self.last_id}'
            )
        self.last_id = event.id


def _parse(payload: bytes) -> Event:
    is_comment = payload.startswith(b':') and all(
        line.startswith(b':') or not line for line in payload.splitlines()
    )
    event_id = None if is_comment else _event_id(payload)
    return Event(payload, event_id, is_comment)


def _event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(b'id:'):
            field = line.removeprefix(b'id:').strip()
            return int(field) if field.isdigit() else None
    return None
