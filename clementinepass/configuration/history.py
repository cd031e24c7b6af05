"""Outcomes of the publications that the log still retains."""

from __future__ import annotations

import typing

import msgspec

from clementinepass import errors
from clementinepass.configuration import fold, records, snapshots, state

if typing.TYPE_CHECKING:
    from clementinepass.platform import protocols

ACCEPTED = 'accepted'
REJECTED = 'rejected'
#: The outcome can't be determined: the record precedes the oldest state that
#: can be computed from the retained records and snapshots.
UNPROVED = 'unproved'


class Event(msgspec.Struct, frozen=True):
    """A record of the log and its outcome."""

    revision: int
    #: Empty for a record that holds no publication.
    id: str
    operator: str
    message: str
    outcome: str
    #: Reason and conflicting revision of a rejection; empty otherwise.
    detail: str
    sections: tuple[str, ...]


def read(log: protocols.LogService) -> list[Event]:
    """Return an event for each retained record, oldest first.

    :raises PlatformUnavailableError: the log did not answer.
    """
    retained = list(_retained_records(log))
    oldest = retained[0].offset if retained else 0
    current = _earliest_state(log, oldest)
    events = []
    for record in retained:
        if current is None or record.offset < current.revision:
            events.append(_unproved_event(record))
            continue
        result = fold.fold(current, record)
        current = result.state
        events.append(_folded_event(result))
    return events


def _retained_records(
    log: protocols.LogService,
) -> typing.Iterator[protocols.Record]:
    offset = 0
    while True:
        try:
            page = log.read(records.STREAM, offset)
        except errors.RecordsExpiredError as expired:
            offset = expired.oldest
            continue
        yield from page.records
        offset = page.next_offset
        if not page.records or offset >= page.end:
            return


def _earliest_state(
    log: protocols.LogService,
    oldest: int,
) -> state.State | None:
    if oldest == 0:
        return state.State()
    states = [snapshot.state for snapshot in snapshots.read_all(log)]
    usable = [candidate for candidate in states if candidate.revision >= oldest]
    return min(usable, key=_revision, default=None)


def _revision(candidate: state.State) -> int:
    return candidate.revision


def _unproved_event(record: protocols.Record) -> Event:
    try:
        publication = records.Publication.decode(record.payload)
    except errors.MalformedMessageError:
        return _event(record.offset + 1, None, UNPROVED, '')
    return _event(record.offset + 1, publication, UNPROVED, '')


def _folded_event(result: fold.FoldResult) -> Event:
    revision = result.state.revision
    rejection = result.rejection
    if rejection is None:
        return _event(revision, result.publication, ACCEPTED, '')
    detail = rejection.reason.value
    if rejection.section:
        detail = f'[{rejection.section}] {detail} at {rejection.winner}'
    return _event(revision, result.publication, REJECTED, detail)


def _event(
    revision: int,
    publication: records.Publication | None,
    outcome: str,
    detail: str,
) -> Event:
    if publication is None:
        return Event(revision, '', '', '', outcome, detail, ())
    return Event(
        revision=revision,
        id=publication.id,
        operator=publication.operator,
        message=publication.message,
        outcome=outcome,
        detail=detail,
        sections=tuple(sorted(publication.touched_sections())),
    )
