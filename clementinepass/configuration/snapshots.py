"""Snapshots of the folded state, so that log records may expire.

Several concurrent writers are harmless, and so is a paused writer that
appends an old snapshot late: readers use the one with the highest revision.
"""

from __future__ import annotations

import time
import typing

import msgspec

from clementinepass import errors
from clementinepass.configuration import records, state

if typing.TYPE_CHECKING:
    from clementinepass.platform import protocols

#: Number of records at the stream's end that are read first. The last record
#: alone may be an old snapshot that was appended late; reading the complete
#: stream would be costly when many entries start.
_TAIL_LENGTH = 8
#: Read attempts while the stream's oldest records expire concurrently.
_MAX_READ_ATTEMPTS = 5


class Snapshot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A state and the time when its snapshot was written."""

    state: state.State
    #: Time of writing, in seconds since 1970; only determines when the next
    #: snapshot is due, so that clock skew is harmless.
    written_at: float

    def encode(self) -> bytes:
        """Return the record's payload."""
        return msgspec.json.encode(self)

    @classmethod
    def decode(cls, payload: bytes) -> Snapshot:
        """Decode a snapshot from a record's payload.

        :raises MalformedMessageError: the payload is not a snapshot.
        """
        try:
            return msgspec.json.decode(payload, type=cls)
        except (msgspec.DecodeError, UnicodeDecodeError) as failure:
            raise errors.MalformedMessageError(
                f'malformed snapshot: {failure}',
                step='decode',
                peer=records.SNAPSHOT_STREAM,
            ) from failure


def newest(log: protocols.LogService, min_revision: int = 0) -> Snapshot | None:
    """Return the snapshot with the highest revision.

    :param min_revision: lowest useful revision; the complete stream is read
        if no snapshot near its end reaches this revision.
    :raises PlatformUnavailableError: the log did not answer.
    """
    bounds = _read_retained(log, 0, limit=1)
    start = max(bounds.oldest, bounds.end - _TAIL_LENGTH)
    snapshot = _newest_from(log, start)
    if snapshot is None or snapshot.state.revision < min_revision:
        snapshot = _newest_from(log, bounds.oldest)
    return snapshot


def wait_for_next(log: protocols.LogService, wait: float) -> None:
    """Wait up to ``wait`` seconds until another snapshot is appended."""
    bounds = _read_retained(log, 0, limit=1)
    log.read(records.SNAPSHOT_STREAM, bounds.end, limit=1, wait=wait)


class Snapshotter:
    """Appends snapshots periodically, before records expire."""

    __slots__ = ('_max_age', '_max_records', '_latest', '_log', '_now')

    def __init__(
        self,
        log: protocols.LogService,
        *,
        every: int,
        age: float,
        now: typing.Callable[[], float] = time.time,
    ) -> None:
        """Set the log and the limits.

        :param every: number of records after which a snapshot is due.
        :param age: seconds after which a snapshot is due even if there are
            few new records, since snapshots expire as well.
        :param now: returns the seconds since 1970.
        """
        self._log = log
        self._max_records = every
        self._max_age = age
        self._now = now
        #: The newest snapshot seen; other writers may have appended newer ones.
        self._latest: Snapshot | None = None

    def append_if_due(self, current: state.State) -> bool:
        """Append a snapshot if one is due; return whether it was appended.

        :raises PlatformUnavailableError: the log did not answer; a later
            call retries, and a duplicate snapshot is harmless.
        """
        if not self._is_due(current):
            return False
        # Eight entries reach this point at about the same time. The stream
        # is read again so that only the first of them appends a snapshot.
        self._latest = newest(self._log)
        if not self._is_due(current):
            return False
        snapshot = Snapshot(current, self._now())
        self._log.append(records.SNAPSHOT_STREAM, [snapshot.encode()])
        self._latest = snapshot
        return True

    def _is_due(self, current: state.State) -> bool:
        latest = self._latest
        if latest is None:
            return current.revision > 0
        behind = current.revision - latest.state.revision
        if behind < 0:
            return False
        is_aged = self._now() - latest.written_at >= self._max_age
        return behind >= self._max_records or is_aged


def read_all(
    log: protocols.LogService,
    start: int = 0,
) -> typing.Iterator[Snapshot]:
    """Yield the stream's snapshots from an offset or the oldest retained.

    :raises PlatformUnavailableError: the log did not answer.
    """
    offset = start
    while True:
        page = _read_retained(log, offset, limit=_TAIL_LENGTH)
        for record in page.records:
            snapshot = _decode_or_none(record.payload)
            if snapshot is not None:
                yield snapshot
        offset = page.next_offset
        if not page.records or offset >= page.end:
            return


def _newest_from(log: protocols.LogService, start: int) -> Snapshot | None:
    return max(read_all(log, start), key=_sort_key, default=None)


def _decode_or_none(payload: bytes) -> Snapshot | None:
    try:
        return Snapshot.decode(payload)
    except errors.MalformedMessageError:
        return None


def _sort_key(snapshot: Snapshot) -> tuple[int, float]:
    # Among snapshots of one revision the most recently written one counts.
    # With the oldest, each entry would find a snapshot due by age and append
    # another copy.
    return snapshot.state.revision, snapshot.written_at


def _read_retained(
    log: protocols.LogService,
    offset: int,
    *,
    limit: int,
) -> protocols.RecordPage:
    """Read from ``offset``, or from the oldest retained record."""
    for _ in range(_MAX_READ_ATTEMPTS):
        try:
            return log.read(records.SNAPSHOT_STREAM, offset, limit=limit)
        except errors.RecordsExpiredError as expired:
            offset = max(expired.oldest, offset)
    return log.read(records.SNAPSHOT_STREAM, offset, limit=limit)
