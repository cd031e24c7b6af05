"""The records of one topic of the store, as this process knows them.

The state only moves forward by offset.  Older answers that arrive after newer
ones, and snapshots older than the state, change nothing.
"""

from __future__ import annotations

import collections

from clementinepass.direct import records

#: Most removals kept per topic, to pass them on to peers.
_MAX_REMOVALS = 256
#: Shortest record in bytes that is kept as a base, and most bytes of the bases
#: of a topic: agents fetch a configuration seconds after it was replaced.
_MIN_BASE_BYTES = 4096
_MAX_BASES_BYTES = 8 * 1024 * 1024


class TopicState:
    """The newest record of each key, and the most recent removals."""

    __slots__ = (
        '_bases_by_offset',
        '_by_key',
        '_complete_from',
        '_removals',
        'next_offset',
        'revision',
    )

    def __init__(self) -> None:
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

    def apply(self, record: records.Record) -> bool:
        """Apply a record; return whether it is newer than the known one."""
        known = self._by_key.get(record.key) or self._removals.get(record.key)
        if known is not None and record.offset <= known.offset:
            return False
        self.revision += 1
        if record.payload is None:
            self._by_key.pop(record.key, None)
            self._removals[record.key] = record
            if len(self._removals) > _MAX_REMOVALS:
                dropped = self._removals.popitem(last=False)[1]
                self._complete_from = max(
                    self._complete_from,
                    dropped.offset + 1,
                )
        else:
            self._removals.pop(record.key, None)
            self._by_key[record.key] = record
            self._keep_base(record.offset, record.payload)
        return True

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
        """Return removals of the keys that are missing from a snapshot."""
        if snapshot.next_offset < self.next_offset:
            return []
        self._complete_from = snapshot.next_offset
        present = {record.key for record in snapshot.records}
        return [
            records.Record(key, snapshot.next_offset - 1, None)
            for key, record in self._by_key.items()
            if key not in present and record.offset < snapshot.next_offset
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
