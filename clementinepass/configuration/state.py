"""The configuration state that every reader computes from the log."""

from __future__ import annotations

import msgspec

from clementinepass import errors


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A section in force."""

    #: The revision that set the section.
    revision: int
    #: Texts by key.
    values: dict[str, str]
    #: The newest revision that depended on this section without changing it.
    relied_at: int = 0


class State(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The configuration at a revision.

    A revision is the log offset that follows the last folded record: the
    state before any record has revision 0, and a section with revision 0 is
    absent. The revision grows with each record, accepted or rejected.
    """

    revision: int = 0
    sections_by_name: dict[str, Section] = {}
    #: Revisions that removed sections, forgotten after the fold's horizon.
    removed_at_by_name: dict[str, int] = {}

    def encode(self) -> bytes:
        """Encode the state; equal states have equal bytes."""
        return msgspec.json.encode(self, order='deterministic')

    @classmethod
    def decode(cls, payload: bytes) -> State:
        """Decode a state written by ``encode``.

        :raises MalformedMessageError: the bytes are not a state.
        """
        try:
            return msgspec.json.decode(payload, type=cls)
        except (msgspec.DecodeError, UnicodeDecodeError) as failure:
            raise errors.MalformedMessageError(
                f'malformed state: {failure}',
                step='decode',
                peer='state',
            ) from failure

    def revision_of(self, name: str) -> int:
        """Return the revision that set a section; 0 if it is absent."""
        section = self.sections_by_name.get(name)
        return section.revision if section else 0

    def changed_at(self, name: str) -> int:
        """Return the revision that last set or removed a section."""
        return self.revision_of(name) or self.removed_at_by_name.get(name, 0)

    def values_by_section(self) -> dict[str, dict[str, str]]:
        """Return the texts of all sections in force."""
        return {
            name: section.values
            for name, section in self.sections_by_name.items()
        }
