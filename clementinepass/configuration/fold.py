"""The fold: computes the next state from a state and the next record.

Readers of all software versions must compute the same state. The fold
therefore checks only expected revisions and never interprets sections.
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

#: Number of revisions after which a publication is too old to be accepted;
#: bounds how long removals are remembered. Part of the record format: readers
#: with another value would compute different states.
HORIZON = 4000


class Reason(enum.Enum):
    """Why the fold rejects a record."""

    #: A section that the publication changes or depends on has changed since
    #: it was checked.
    CHANGED = 'changed'
    #: Another publication has come to depend on a section that this one
    #: changes, after this one was checked.
    RELIED_ON = 'relied_on'
    #: The publication was checked before the fold's horizon.
    TOO_OLD = 'too_old'
    #: The record is no publication, or it was checked at a later revision
    #: than the current one.
    MALFORMED = 'malformed'


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """The reason for a record's rejection, and the conflict behind it."""

    reason: Reason
    #: The section in conflict; empty for a malformed record.
    section: str = ''
    #: Revision of the publication that takes precedence; 0 if there is none.
    winner: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FoldResult:
    """The effect of one record on the state."""

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
    """Apply the record at the offset that equals the state's revision."""
    revision = record.offset + 1
    try:
        publication = records.Publication.decode(record.payload)
    except errors.MalformedMessageError:
        malformed = Rejection(Reason.MALFORMED)
        return FoldResult(_advance_revision(before, revision), None, malformed)
    rejection = _find_conflict(before, publication)
    if rejection is None:
        after = _apply(before, publication, revision)
    else:
        after = _advance_revision(before, revision)
    return FoldResult(after, publication, rejection)


def _find_conflict(
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
        # A section that was set and removed again since the check has the
        # expected revision 0. A publication that arrives late, after its
        # operator gave up, or twice must still not restore a section that
        # others have removed: an accepted change would be reverted. So the
        # revision of the removal is compared as well.
        stale = changed_at > publication.checked_at
        if stale or before.revision_of(name) != expected:
            return Rejection(Reason.CHANGED, name, changed_at)
    for name in sorted(touched & before.sections_by_name.keys()):
        relied_at = before.sections_by_name[name].relied_at
        # An operator who removes a model and one who promises it to a team
        # change no section in common. If both changes were accepted, the
        # promise would refer to a missing model, so the later record in the
        # log is rejected.
        if relied_at > publication.checked_at:
            return Rejection(Reason.RELIED_ON, name, relied_at)
    return None


def _apply(
    before: state.State,
    publication: records.Publication,
    revision: int,
) -> state.State:
    sections_by_name = dict(before.sections_by_name)
    removed_at_by_name = _removals_within_horizon(before, revision)
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


def _advance_revision(before: state.State, revision: int) -> state.State:
    return state.State(
        revision,
        before.sections_by_name,
        _removals_within_horizon(before, revision),
    )


def _removals_within_horizon(
    before: state.State, revision: int
) -> dict[str, int]:
    oldest = revision - HORIZON
    return {
        name: removed_at
        for name, removed_at in before.removed_at_by_name.items()
        if removed_at > oldest
    }
