"""The state that folding the log yields, the same for every reader."""

from __future__ import annotations

import msgspec

from clementinepass import errors


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One section in force."""

    #: The revision that set the section.
    revision: int
    #: Keys and their texts.
    values: dict[str, str]
    #: The newest revision that built on this section without changing it.
    relied_at: int = 0


class State(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The configuration as of a revision.

    A revision is the log offset that follows the last record folded, so
    that 0 is the state before any record and 0 for a section means that
    it is absent. It grows with each record, accepted or not.
    """

    revision: int = 0
    sections_by_name: dict[str, Section] = {}
    #: The revisions that removed sections, kept within the fold's horizon.
    removed_at_by_name: dict[str, int] = {}

    def encode(self) -> bytes:
        """Return the state as bytes, equal for equal states."""
        return msgspec.json.encode(self, order='deterministic')

    @classmethod
    def decode(cls, payload: bytes) -> State:
        """Return the state that ``encode`` wrote.

        :raises MalformedMessageError: the bytes hold no state.
        """
        try:
            return msgspec.json.decode(payload, type=cls)
        except (msgspec.DecodeError, UnicodeDecodeError) as failure:
            raise errors.MalformedMessageError(
                f'no state: {failure}',
                step='decode',
                peer='state',
            ) from failure

    def revision_of(self, name: str) -> int:
        """Return the revision that set a section, 0 when it is absent."""
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
