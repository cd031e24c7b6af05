"""The fold: from a state and the next record to the next state.

Every reader, of whatever version of the software, must fold alike. The
fold therefore checks expectations only and never what a section means.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

import msgspec

from clementinepass import errors
from clementinepass.configuration import records, state

if typing.TYPE_CHECKING:
    from clementinepass.platform import protocols

#: Revisions after which a publication is too old to be accepted. Bounds how
#: long traces of removed sections are kept. Part of the record format:
#: readers with another value would fold differently.
HORIZON = 4000


class Reason(enum.Enum):
    """Why the fold rejects a record."""

    #: A section touched or relied on has changed since the check.
    CHANGED = 'changed'
    #: A section touched has since become one that others build on.
    RELIED_ON = 'relied_on'
    #: The check is further back than the fold's horizon.
    TOO_OLD = 'too_old'
    #: The record holds no publication, or one from the future.
    MALFORMED = 'malformed'


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Why and because of what a record was rejected."""

    reason: Reason
    #: The section in conflict; empty for a malformed record.
    section: str = ''
    #: The revision of the publication that won; 0 when there is none.
    winner: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FoldResult:
    """What one record did."""

    #: The state after the record.
    state: state.State
    #: ``None`` for a malformed record.
    publication: records.Publication | None
    #: ``None`` for an accepted record.
    rejection: Rejection | None

    @property
    def accepted(self) -> bool:
        """Whether the publication is in force."""
        return self.rejection is None


def fold(before: state.State, record: protocols.Record) -> FoldResult:
    """Return what the record at the state's revision does to it."""
    revision = record.offset + 1
    try:
        publication = records.Publication.decode(record.payload)
    except errors.MalformedMessageError:
        malformed = Rejection(Reason.MALFORMED)
        return FoldResult(_advance(before, revision), None, malformed)
    rejection = _conflict(before, publication)
    if rejection is None:
        after = _apply(before, publication, revision)
    else:
        after = _advance(before, revision)
    return FoldResult(after, publication, rejection)


def _conflict(
    before: state.State,
    publication: records.Publication,
) -> Rejection | None:
    if publication.checked_at > before.revision:
        return Rejection(Reason.MALFORMED)
    touched = publication.touched_sections()
    if publication.checked_at < before.revision - HORIZON:
        return Rejection(Reason.TOO_OLD, min(touched))
    for name, expected in sorted(publication.expected_by_section.items()):
        changed_at = before.changed_at(name)
        # A section that was set and removed again since the check is as
        # absent as it was. Yet a publication that arrives late, after its
        # operator gave up, or arrives twice, must not bring back what others
        # have removed meanwhile: callers would see an accepted change revert.
        # Hence the trace of the removal counts besides the expectation.
        stale = changed_at > publication.checked_at
        if stale or before.revision_of(name) != expected:
            return Rejection(Reason.CHANGED, name, changed_at)
    for name in sorted(touched & before.sections_by_name.keys()):
        relied_at = before.sections_by_name[name].relied_at
        # Two operators, one removing a model and one promising it to a team,
        # touch no section in common. If both were accepted, the promise
        # would name nothing. The one that comes later in the log loses.
        if relied_at > publication.checked_at:
            return Rejection(Reason.RELIED_ON, name, relied_at)
    return None


def _apply(
    before: state.State,
    publication: records.Publication,
    revision: int,
) -> state.State:
    sections_by_name = dict(before.sections_by_name)
    removed_at_by_name = _within_horizon(before, revision)
    for name in publication.expected_by_section.keys() & sections_by_name:
        sections_by_name[name] = msgspec.structs.replace(
            sections_by_name[name],
            relied_at=revision,
        )
    for name in publication.removed:
        sections_by_name.pop(name, None)
        removed_at_by_name[name] = revision
    for name, values in publication.set_by_section.items():
        sections_by_name[name] = state.Section(revision, values)
        removed_at_by_name.pop(name, None)
    return state.State(revision, sections_by_name, removed_at_by_name)


def _advance(before: state.State, revision: int) -> state.State:
    return state.State(
        revision,
        before.sections_by_name,
        _within_horizon(before, revision),
    )


def _within_horizon(before: state.State, revision: int) -> dict[str, int]:
    oldest = revision - HORIZON
    return {
        name: removed_at
        for name, removed_at in before.removed_at_by_name.items()
        if removed_at > oldest
    }
