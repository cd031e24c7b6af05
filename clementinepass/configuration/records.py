"""Records of the configuration's streams in the log service."""

from __future__ import annotations

import msgspec

from clementinepass import errors

#: Holds publications.
STREAM = 'configuration'
#: Holds snapshots of the fold.
SNAPSHOT_STREAM = 'configuration-snapshots'
#: Number of the publications' format, in each record.
FORMAT = 1


class Publication(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One change that an operator asks for."""

    #: Unique id, by which a lost answer is resolved.
    id: str
    operator: str
    message: str
    #: The revision of the state that the change was checked against.
    checked_at: int
    #: The revision that each section touched or relied on had in that
    #: state; 0 for a section that was absent.
    expected_by_section: dict[str, int]
    #: Keys and texts of each section set, whole.
    set_by_section: dict[str, dict[str, str]]
    removed: tuple[str, ...] = ()
    format: int = FORMAT

    def __post_init__(self) -> None:
        """Refuse publications that contradict themselves."""
        if self.format != FORMAT:
            raise ValueError(f'unknown format {self.format}')
        touched = self.touched_sections()
        if not touched:
            raise ValueError('touches no section')
        if not touched <= self.expected_by_section.keys():
            raise ValueError('touches a section without an expectation')
        if self.set_by_section.keys() & set(self.removed):
            raise ValueError('sets and removes the same section')

    def touched_sections(self) -> frozenset[str]:
        """Return the sections set or removed."""
        return frozenset(self.set_by_section) | frozenset(self.removed)

    def encode(self) -> bytes:
        """Return the record's payload."""
        return msgspec.json.encode(self)

    @classmethod
    def decode(cls, payload: bytes) -> Publication:
        """Return the publication that a payload holds.

        :raises MalformedMessageError: the payload holds none.
        """
        try:
            return msgspec.json.decode(payload, type=cls)
        except (msgspec.DecodeError, UnicodeDecodeError) as failure:
            raise errors.MalformedMessageError(
                f'no publication: {failure}',
                step='decode',
                peer=STREAM,
            ) from failure
