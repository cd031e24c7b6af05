"""Sets of prompt parts that heartbeats name instead of listing the parts.

A prompt may have more than a thousand parts, and hardly two crashes or answers
in a conversation differ in them. A set is sent once to each process that asks
for it.
"""

from __future__ import annotations

import hashlib
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

#: Maximum number of parts in a set, which has to fit into a datagram.
_MAX_SET_PARTS = 1024
#: Maximum number of parts in all sets that are kept.
_MAX_KEPT_PARTS = 131072
_ID_BYTES = 8


class PartSet(typing.NamedTuple):
    """Some parts of prompts.

    :param id: digest of the parts.
    :param parts: digests of the parts in ascending order.
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

    def store(self, parts: Iterable[str]) -> tuple[str, ...]:
        """Keep some parts as sets; return their ids."""
        in_order = sorted(parts)
        ids = []
        for start in range(0, len(in_order), _MAX_SET_PARTS):
            chunk = tuple(in_order[start : start + _MAX_SET_PARTS])
            ids.append(_digest(chunk))
            self._keep(ids[-1], chunk)
        return tuple(ids)

    def add(self, part_sets: Iterable[PartSet]) -> None:
        """Keep sets that another process sent.

        Those that don't match their ids are ignored.
        """
        for part_set in part_sets:
            if _digest(part_set.parts) == part_set.id:
                self._keep(part_set.id, part_set.parts)

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

    def _keep(self, set_id: str, parts: tuple[str, ...]) -> None:
        known = self._parts_by_id.pop(set_id, None)
        self._parts_by_id[set_id] = parts if known is None else known
        if known is None:
            self._kept_parts += len(parts)
        while self._kept_parts > _MAX_KEPT_PARTS:
            oldest = next(iter(self._parts_by_id))
            self._kept_parts -= len(self._parts_by_id.pop(oldest))


def _digest(parts: tuple[str, ...]) -> str:
    digest = hashlib.blake2b(digest_size=_ID_BYTES)
    digest.update(''.join(parts).encode())
    return digest.hexdigest()
