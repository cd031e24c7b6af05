"""Sets of prompt parts that heartbeats name instead of listing the parts.

A prompt may have more than a thousand parts, and hardly two crashes or answers
in a conversation differ in them. A set is sent once to each process that asks
for it.
"""

from __future__ import annotations

import functools
import hashlib
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

#: Maximum number of parts in a set, which has to fit into a datagram.
_MAX_SET_PARTS = 1024
#: Maximum number of parts in all sets that are kept.
_MAX_KEPT_PARTS = 131072
#: Maximum number of lists of parts whose sets are cached: the same evidence is
#: in several heartbeats.
_MAX_CACHED_LISTS = 1024
_ID_BYTES = 8


class PartSet(typing.NamedTuple):
    """Some parts of prompts.

    :param id: digest of the parts.
    :param parts: digests of the parts.
    """

    id: str
    parts: tuple[str, ...]


class PartSets:
    """The sets that were used last."""

    __slots__ = ('_kept_parts', '_parts_by_id')

    def __init__(self) -> None:
        #: The set that was used last is the last one.
        self._parts_by_id: dict[str, tuple[str, ...]] = {}
        self._kept_parts = 0

    def store(self, parts: tuple[str, ...]) -> tuple[str, ...]:
        """Keep some parts as sets; return their ids."""
        found = _split(parts)
        for part_set in found:
            self._keep(part_set)
        return tuple(stored.id for stored in found)

    def add(self, part_sets: Iterable[PartSet]) -> None:
        """Keep sets that another process sent.

        Those that don't match their ids are ignored.
        """
        for part_set in part_sets:
            if _digest(part_set.parts) == part_set.id:
                self._keep(part_set)

    def get(self, ids: Iterable[str]) -> typing.Iterator[PartSet]:
        """Return those sets that are kept."""
        for set_id in ids:
            parts = self._parts_by_id.get(set_id)
            if parts is not None:
                yield PartSet(set_id, parts)

    def find_missing(self, ids: Iterable[str]) -> tuple[str, ...]:
        """Return the ids of sets that are not kept."""
        return tuple(
            sorted(set_id for set_id in ids if set_id not in self._parts_by_id)
        )

    def _keep(self, part_set: PartSet) -> None:
        known = self._parts_by_id.pop(part_set.id, None)
        self._parts_by_id[part_set.id] = known or part_set.parts
        if known is None:
            self._kept_parts += len(part_set.parts)
        while self._kept_parts > _MAX_KEPT_PARTS:
            oldest = next(iter(self._parts_by_id))
            self._kept_parts -= len(self._parts_by_id.pop(oldest))


@functools.lru_cache(maxsize=_MAX_CACHED_LISTS)
def _split(parts: tuple[str, ...]) -> tuple[PartSet, ...]:
    chunks = (
        parts[start : start + _MAX_SET_PARTS]
        for start in range(0, len(parts), _MAX_SET_PARTS)
    )
    return tuple(PartSet(_digest(chunk), chunk) for chunk in chunks)


def _digest(parts: tuple[str, ...]) -> str:
    digest = hashlib.blake2b(digest_size=_ID_BYTES)
    digest.update(''.join(parts).encode())
    return digest.hexdigest()
