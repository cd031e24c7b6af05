"""Snapshots of the fold, so that records may expire.

Two writers of snapshots are harmless, and so is one that was paused and
appends an old snapshot late: readers take the highest revision.
"""

from __future__ import annotations

import time
import typing

import msgspec

from clementinepass import errors
from clementinepass.configuration import records, state

if typing.TYPE_CHECKING:
    from clementinepass.platform import protocols

#: Snapshots at the stream's end that are looked at first. Late old ones may
#: stand there, so the last alone would not do; all would cost a start of
#: many entries the whole stream each.
_NEWEST_FIRST = 8
#: Tries to read a stream whose oldest record expires under way.
_TRIES = 5


class Snapshot(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A state as of its revision."""

    state: state.State
    #: When it was written, in seconds since 1970; decides nothing but when
    #: the next is due, so that skewed clocks do no harm.
    written_at: float

    def encode(self) -> bytes:
        """Return the record's payload."""
        return msgspec.json.encode(self)

    @classmethod
    def decode(cls, payload: bytes) -> Snapshot:
        """Return the snapshot that a payload holds.

        :raises MalformedMessageError: the payload holds none.
        """
        try:
            return msgspec.json.decode(payload, type=cls)
        except (msgspec.DecodeError, UnicodeDecodeError) as failure:
            raise errors.MalformedMessageError(
                f'no snapshot: {failure}',
                step='decode',
                peer=records.SNAPSHOT_STREAM,
            ) from failure


def newest(log: protocols.LogService, wanted: int = 0) -> Snapshot | None:
    """Return the snapshot with the highest revision.

    :param wanted: the revision from which a snapshot is of use; older
        records of the stream are read when none of the newest reaches it.
    :raises PlatformUnavailableError: the log did not answer.
    """
    bounds = _read_kept(log, 0, limit=1)
    start = max(bounds.oldest, bounds.end - _NEWEST_FIRST)
    found = _highest(log, start)
    if found is None or found.state.revision < wanted:
        found = _highest(log, bounds.oldest)
    return found


def wait_for_next(log: protocols.LogService, wait: float) -> None:
    """Return once a snapshot is appended or ``wait`` seconds have passed."""
    bounds = _read_kept(log, 0, limit=1)
    log.read(records.SNAPSHOT_STREAM, bounds.end, limit=1, wait=wait)


class Snapshotter:
    """Append a snapshot now and then, before records expire."""

    __slots__ = ('_age', '_every', '_known', '_log', '_now')

    def __init__(
        self,
        log: protocols.LogService,
        *,
        every: int,
        age: float,
        now: typing.Callable[[], float] = time.time,
    ) -> None:
        """Set the limits.

        :param every: records after which a snapshot is due.
        :param age: seconds after which one is due although few records
            came, since snapshots expire as well.
        :param now: returns seconds since 1970.
        """
        self._log = log
        self._every = every
        self._age = age
        self._now = now
        #: The best snapshot known; others may have written a better one.
        self._known: Snapshot | None = None

    def append_if_due(self, current: state.State) -> bool:
        """Append a snapshot if one is due; tell whether it did.

        :raises PlatformUnavailableError: the log did not answer; a later
            call tries again, and a second copy does no harm.
        """
        if not self._due(current):
            return False
        # Eight entries come here at about the same time. The first to
        # append spares the others their copy.
        self._known = newest(self._log)
        if not self._due(current):
            return False
        snapshot = Snapshot(current, self._now())
        self._log.append(records.SNAPSHOT_STREAM, [snapshot.encode()])
        self._known = snapshot
        return True

    def _due(self, current: state.State) -> bool:
        known = self._known
        if known is None:
            return current.revision > 0
        behind = current.revision - known.state.revision
        if behind < 0:
            return False
        aged = self._now() - known.written_at >= self._age
        return behind >= self._every or aged


def read_all(
    log: protocols.LogService,
    start: int = 0,
) -> typing.Iterator[Snapshot]:
    """Yield the stream's snapshots from an offset or the oldest kept.

    :raises PlatformUnavailableError: the log did not answer.
    """
    offset = start
    while True:
        page = _read_kept(log, offset, limit=_NEWEST_FIRST)
        for record in page.records:
            snapshot = _decode_or_none(record.payload)
            if snapshot is not None:
                yield snapshot
        offset = page.next_offset
        if not page.records or offset >= page.end:
            return


def _highest(log: protocols.LogService, start: int) -> Snapshot | None:
    return max(read_all(log, start), key=_rank, default=None)


def _decode_or_none(payload: bytes) -> Snapshot | None:
    try:
        return Snapshot.decode(payload)
    except errors.MalformedMessageError:
        return None


def _rank(snapshot: Snapshot) -> tuple[int, float]:
    # Of copies of one revision the newest counts: with the oldest, each
    # entry would take the revision for due by age and add one more copy.
    return snapshot.state.revision, snapshot.written_at


def _read_kept(
    log: protocols.LogService,
    offset: int,
    *,
    limit: int,
) -> protocols.RecordPage:
    """Read from ``offset``, or from the oldest record kept."""
    for _ in range(_TRIES):
        try:
            return log.read(records.SNAPSHOT_STREAM, offset, limit=limit)
        except errors.RecordsExpiredError as expired:
            offset = max(expired.oldest, offset)
    return log.read(records.SNAPSHOT_STREAM, offset, limit=limit)
