"""The fold of a claims stream: who holds each key, and how it ended.

Every reader folds the records in offset order, so all agree on the holder:
the claim with the lowest offset since the key was last released.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import typing

from clementinepass.requests import claim_records


class Ending(enum.Enum):
    """How the claim that holds a key ended."""

    #: Nothing was recorded yet; the holder may be gone.
    PENDING = 'pending'
    RAN = 'ran'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True)
class KeyState:
    """What the records say of one key."""

    claim_id: str
    #: Empty when the claim's own record has expired.
    holder: str
    fingerprint: str
    #: The offset of the last record that mattered.
    offset: int
    ending: Ending = Ending.PENDING
    #: Whether the record at ``offset`` holds the answer.
    answer_kept: bool = False


class _Touch(typing.NamedTuple):
    """A record's offset and what it is about."""

    offset: int
    key: str
    claim_id: str


class ClaimTable:
    """Fold the records of one partition."""

    __slots__ = ('_offset_by_released', '_states_by_key', '_touches')

    def __init__(self) -> None:
        self._states_by_key: dict[str, KeyState] = {}
        # Claims that were released.  A copy of such a claim's record that
        # the log took late must not hold the key again.
        self._offset_by_released: dict[str, int] = {}
        self._touches: collections.deque[_Touch] = collections.deque()

    def state(self, key: str) -> KeyState | None:
        """Return what holds a key; None for a free one."""
        return self._states_by_key.get(key)

    def apply(
        self,
        offset: int,
        record: claim_records.ClaimRecord,
    ) -> None:
        """Fold one record."""
        self._touches.append(_Touch(offset, record.key, record.id))
        if isinstance(record, claim_records.Claim):
            self._claim(offset, record)
        elif isinstance(record, claim_records.Released):
            self._release(offset, record)
        else:
            self._end(offset, record)

    def forget(self, oldest: int) -> None:
        """Drop the keys whose records have all expired.

        An entry that runs for long and one that has just started then
        agree on what is known.
        """
        while self._touches and self._touches[0].offset < oldest:
            touch = self._touches.popleft()
            state = self._states_by_key.get(touch.key)
            if state is not None and state.offset < oldest:
                del self._states_by_key[touch.key]
            if self._offset_by_released.get(touch.claim_id) == touch.offset:
                del self._offset_by_released[touch.claim_id]

    def _claim(self, offset: int, claim: claim_records.Claim) -> None:
        if claim.key in self._states_by_key:
            return
        if claim.id in self._offset_by_released:
            return
        self._states_by_key[claim.key] = KeyState(
            claim.id,
            claim.holder,
            claim.fingerprint,
            offset,
        )

    def _release(self, offset: int, release: claim_records.Released) -> None:
        self._offset_by_released[release.id] = offset
        state = self._states_by_key.get(release.key)
        if state is None or state.claim_id != release.id:
            return
        if state.ending is Ending.PENDING:
            del self._states_by_key[release.key]

    def _end(
        self,
        offset: int,
        record: claim_records.Ran | claim_records.Unknown,
    ) -> None:
        """Note an end, also of a claim whose own record has expired.

        Only a claim that held its key is ever ended, so such a record
        proves the hold even where the claim itself can't be read any more.
        """
        state = self._states_by_key.get(record.key)
        if state is not None and state.ending is Ending.RAN:
            return
        if state is None or state.claim_id != record.id:
            state = KeyState(record.id, '', record.fingerprint, offset)
        state.offset = offset
        if isinstance(record, claim_records.Ran):
            state.ending = Ending.RAN
            state.answer_kept = record.answer is not None
        else:
            state.ending = Ending.UNKNOWN
        self._states_by_key[record.key] = state
