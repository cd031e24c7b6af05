"""Records of the configuration's streams in the log service."""

from __future__ import annotations

import msgspec

from clementinepass import errors

#: Name of the stream that holds publications.
STREAM = 'configuration'
#: Name of the stream that holds snapshots of the folded state.
SNAPSHOT_STREAM = 'configuration-snapshots'
#: Version of the publication format, written in each record.
FORMAT = 1


class Publication(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A configuration change that an operator requests."""

    #: Unique id, used to find the record when the append's answer is lost.
    id: str
    operator: str
    message: str
    #: The revision of the state that the change was checked against.
    checked_at: int
    #: Revision, in that state, of each section that the change sets, removes
    #: or depends on; 0 for an absent section.
    expected_by_section: dict[str, int]
    #: All keys and texts of each section that is set.
    set_by_section: dict[str, dict[str, str]]
    removed: tuple[str, ...] = ()
    format: int = FORMAT

    def __post_init__(self) -> None:
        """Reject publications whose fields contradict each other."""
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
        """Return the names of the sections that are set or removed."""
        return frozenset(self.set_by_section) | frozenset(self.removed)

    def encode(self) -> bytes:
        """Return the record's payload."""
        return msgspec.json.encode(self)

    @classmethod
    def decode(cls, payload: bytes) -> Publication:
        """Decode a publication from a record's payload.

        :raises MalformedMessageError: the payload is not a publication.
        """
        try:
            return msgspec.json.decode(payload, type=cls)
        except (msgspec.DecodeError, UnicodeDecodeError) as failure:
            raise errors.MalformedMessageError(
                f'malformed publication: {failure}',
                step='decode',
                peer=STREAM,
            ) from failure
