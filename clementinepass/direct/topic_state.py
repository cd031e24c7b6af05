"""The records of one topic of the store, as this process knows them.

The state only moves forward by offset.  Older answers that arrive after newer
ones, and snapshots older than the state, change nothing.

When the store comes back from a copy, a new era begins.  The copy lacks the
newest records, and shows some keys as they were before.  What is known here is
kept meanwhile: a record of the new era replaces one of an earlier era only if
its content is newer, and a key that is missing is not removed yet.
"""

from __future__ import annotations

import collections
import typing

from clementinepass.direct import records

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    #: Returns whether the content of the first record is newer than that of
    #: the second one, whatever their offsets.
    IsNewer = Callable[[records.Record, records.Record], bool]

#: Most removals kept per topic, to pass them on to peers.
_MAX_REMOVALS = 256
#: Shortest record in bytes that is kept as a base, and most bytes of the bases
#: of a topic: agents fetch a configuration seconds after it was replaced.
_MIN_BASE_BYTES = 4096
_MAX_BASES_BYTES = 8 * 1024 * 1024


class TopicState:
    """The newest record of each key, and the most recent removals.

    :param is_newer: compares the contents of two records of a key.
    """

    __slots__ = (
        '_bases_by_offset',
        '_by_key',
        '_complete_from',
        '_is_newer',
        '_kept_keys',
        '_removals',
        '_removed_by_key',
        'next_offset',
        'revision',
    )

    def __init__(self, is_newer: IsNewer | None = None) -> None:
        self._is_newer = is_newer
        #: Keys whose records were known before the present era began.
        self._kept_keys: set[str] = set()
        #: The last records of the keys in ``_removals``.
        self._removed_by_key: dict[str, records.Record] = {}
        self._by_key: dict[str, records.Record] = {}
        self._removals: collections.OrderedDict[str, records.Record]
        self._removals = collections.OrderedDict()
        #: Recent long records, also those that were replaced.
        self._bases_by_offset: collections.OrderedDict[int, bytes]
        self._bases_by_offset = collections.OrderedDict()
        #: The offset from which on all removals are known.
        self._complete_from = 0
        #: The offset of the next record; changes before it are known.
        self.next_offset = 0
        #: Grows with each record applied.
        self.revision = 0

    @property
    def live_records(self) -> list[records.Record]:
        """Return the newest records of the keys that are not removed."""
        return list(self._by_key.values())

    @property
    def era(self) -> int:
        """Return the era of the store that is known here."""
        return records.era(self.next_offset)

    def apply(self, record: records.Record) -> bool:
        """Apply a record; return whether it is newer than the known one."""
        known = self._by_key.get(record.key) or self._removals.get(record.key)
        if known is not None and record.offset <= known.offset:
            return False
        self.revision += 1
        if known is not None and not self._may_replace(record, known):
            self._store(known._replace(offset=record.offset))
            return False
        self._kept_keys.discard(record.key)
        self._store(record)
        return True

    def begin_era(self, next_offset: int) -> None:
        """Begin an era; keep all records until it shows newer ones.

        :param next_offset: the end of the snapshot that follows.
        """
        self._kept_keys = {*self._by_key, *self._removals}
        self._complete_from = next_offset
        self.next_offset = next_offset

    def end_recovery(self) -> list[records.Record]:
        """Return removals of the keys that the present era has not shown.

        From now on its records replace the known ones whatever their contents.
        """
        self._kept_keys.clear()
        return [
            records.Record(key, self.next_offset - 1, None)
            for key, record in self._by_key.items()
            if records.era(record.offset) < self.era
        ]

    def _may_replace(
        self, record: records.Record, known: records.Record
    ) -> bool:
        if record.key not in self._kept_keys or record.payload is None:
            return True
        if known.payload is None:
            removed = self._removed_by_key.get(record.key)
            if removed is None:
                return True
            known = removed
        return self._is_newer is None or self._is_newer(record, known)

    def _store(self, record: records.Record) -> None:
        if record.payload is None:
            removed = self._by_key.pop(record.key, None)
            if removed is not None:
                self._removed_by_key[record.key] = removed
            self._removals[record.key] = record
            self._limit_removals()
        else:
            self._removals.pop(record.key, None)
            self._removed_by_key.pop(record.key, None)
            self._by_key[record.key] = record
            self._keep_base(record.offset, record.payload)

    def _limit_removals(self) -> None:
        if len(self._removals) > _MAX_REMOVALS:
            key, dropped = self._removals.popitem(last=False)
            self._removed_by_key.pop(key, None)
            self._complete_from = max(self._complete_from, dropped.offset + 1)

    @property
    def base_offset(self) -> int | None:
        """Return the offset of the newest long record; ``None`` for none."""
        return next(reversed(self._bases_by_offset), None)

    def base(self, offset: int) -> bytes:
        """Return a recent long record; empty if it is not known."""
        return self._bases_by_offset.get(offset, b'')

    def drop_base(self, offset: int) -> None:
        """Drop a long record that differs from that of a peer."""
        self._bases_by_offset.pop(offset, None)

    def _keep_base(self, offset: int, payload: bytes) -> None:
        if len(payload) < _MIN_BASE_BYTES:
            return
        self._bases_by_offset[offset] = payload
        total = sum(map(len, self._bases_by_offset.values()))
        while total > _MAX_BASES_BYTES and len(self._bases_by_offset) > 1:
            total -= len(self._bases_by_offset.popitem(last=False)[1])

    def implied_removals(self, snapshot: records.Page) -> list[records.Record]:
        """Return removals of the keys that are missing from a snapshot.

        Those known from an earlier era are not removed yet.
        """
        if snapshot.next_offset < self.next_offset:
            return []
        self._complete_from = snapshot.next_offset
        present = {record.key for record in snapshot.records}
        return [
            records.Record(key, snapshot.next_offset - 1, None)
            for key, record in self._by_key.items()
            if key not in present
            and record.offset < snapshot.next_offset
            and records.era(record.offset) == snapshot.era
        ]

    def since(self, offset: int) -> records.Page:
        """Return the known records from an offset on, in order.

        All records are returned, as a snapshot, if removals since the offset
        may be missing here.
        """
        if offset < self._complete_from:
            return records.Page(
                tuple(sorted(self._by_key.values(), key=_offset)),
                self.next_offset,
                is_snapshot=True,
            )
        known = (*self._by_key.values(), *self._removals.values())
        newer = [record for record in known if record.offset >= offset]
        newer.sort(key=_offset)
        return records.Page(tuple(newer), self.next_offset)


def _offset(record: records.Record) -> int:
    return record.offset
