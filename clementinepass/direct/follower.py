"""Follow a topic of the store: the newest record of each key, and changes."""

from __future__ import annotations

import asyncio
import collections
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.decisions import reading_turns
from clementinepass.direct import records, topic_state, uptime

if typing.TYPE_CHECKING:
    import random
    from collections.abc import Callable

    Listener = Callable[[records.Record], None]


class Schedule(typing.Protocol):
    """Decides whether this process reads the store, and how long reads wait."""

    def should_read(self, now: float) -> bool:
        """Return whether this process reads; otherwise it relies on peers."""

    def wait_seconds(self, now: float, *, has_changes: bool) -> float:
        """Return for how long a read that starts now waits for changes.

        :param has_changes: whether the previous read returned records.
        """


class AlwaysRead:
    """The schedule of a process that does not share reads with others."""

    def should_read(self, now: float) -> bool:
        """Return that this process reads."""
        return True

    def wait_seconds(self, now: float, *, has_changes: bool) -> float:
        """Return for how long a read that starts now waits for changes."""
        return reading_turns.MAX_WAIT_SECONDS


#: Seconds between retries while the store does not answer: the first, and the
#: longest. The backoff is randomized: otherwise all processes would retry at
#: the same time after an outage and exceed the store's rate limits, which apply
#: to all of them together.
_FIRST_BACKOFF_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 0.6
#: Seconds between checks whether a peer has supplied the first records.
_PEER_POLL_SECONDS = 0.02
#: The source of records that come from the store itself, for log lines.
STORE_SOURCE = 'store'
#: Seconds after an outage of the store in which reads still show its effects.
_OUTAGE_AFTERMATH_SECONDS = 1.0
#: Seconds between checks whether this process has to read the store itself.
_IDLE_POLL_SECONDS = 0.1
#: Seconds from the beginning of an era of the store after which an endpoint
#: that it has not shown is gone: endpoints list themselves again within two
#: seconds.
_RELIST_SECONDS = 2.4
#: Shortest interval of reads of all newest records, also if the store keeps
#: telling that the history was dropped.
_MIN_SNAPSHOT_INTERVAL_SECONDS = 0.5
#: Shortest interval of reads that return nothing, also if the store does not
#: wait for a change.
_MIN_EMPTY_READ_SECONDS = 0.1
#: Size of a message of records from which on it is logged.
_LONG_MESSAGE_BYTES = 16384
#: Shortest interval of reads that return changes of endpoints. While a version
#: is rolled out each engine updates its listing three times, and each read
#: costs a call to the store and a heartbeat to all entries of a region.
_MIN_READ_INTERVAL_SECONDS = 0.25


class Follower:
    """Keeps up with one topic of the store.

    :param listener: called with each new record, removals included.
    :param is_newer: compares the contents of two records of a key.
    """

    __slots__ = (
        '_read_ends_at',
        '_failing_since',
        '_has_changes',
        '_is_read_outdated',
        '_is_reading',
        '_pending_read',
        '_read_era',
        '_snapshot_read_at',
        '_listener',
        '_last_change_at',
        '_rng',
        '_store',
        'last_contact',
        'state',
        'outage_ended_at',
        'peer_wait_seconds',
        'received_bytes_by_source',
        'is_initialized',
        'is_reading_changes',
        'on_missed_changes',
        'on_changes',
        'topic',
        'schedule',
    )

    def __init__(
        self,
        store: records.Store,
        topic: records.Topic,
        listener: Listener,
        rng: random.Random,
        is_newer: topic_state.IsNewer | None = None,
    ) -> None:
        self._store = store
        self.topic = topic
        self._listener = listener
        self._rng = rng
        self._failing_since: float | None = None
        self.state = topic_state.TopicState(is_newer)
        #: The read of changes that waits for an answer.
        self._pending_read: asyncio.Task[records.Page] | None = None
        #: The era of the offset that it starts from.
        self._read_era = 0
        #: Whether it was cancelled since the store has begun another era.
        self._is_read_outdated = False
        #: Monotonic seconds of the last read of all newest records.
        self._snapshot_read_at = float('-inf')
        #: Monotonic seconds of the store's last answer, or of the last
        #: heartbeat of an entry that reads the store for this one.
        self.last_contact: float = 0
        #: Monotonic seconds at which the last known outage ended.
        self.outage_ended_at = float('-inf')
        #: Size of the messages of records received.
        self.received_bytes_by_source: collections.Counter[records.Source]
        self.received_bytes_by_source = collections.Counter()
        #: Whether the topic has been read, from the store or from a peer.
        self.is_initialized = False
        #: Whether the records that are being applied were written since this
        #: process last read the store, and read from it as they changed.
        self.is_reading_changes = False
        #: Seconds after the start in which a peer may supply the first records
        #: before the store is read.
        self.peer_wait_seconds: float = 0
        self.schedule: Schedule = AlwaysRead()
        #: Called after new records, to notify entries that do not read.
        self.on_changes: Callable[[], None] | None = None
        #: Called after new records of the first read after an outage, to
        #: notify all entries: their reads may hang as this one's did.
        self.on_missed_changes: Callable[[], None] | None = None
        #: Whether this process reads the store itself.
        self._is_reading = True
        #: Monotonic seconds at which the read in progress stops waiting.
        self._read_ends_at: float = 0
        #: Monotonic seconds at which a read last returned records.
        self._last_change_at = float('-inf')
        #: Whether the last read returned records.
        self._has_changes = True

    def read_ends_in(self, now: float) -> float:
        """Return the seconds until the pending read ends; 0 for none."""
        return max(self._read_ends_at - now, 0)

    @property
    def is_store_reachable(self) -> bool:
        """Return whether the store answered the last call."""
        return self._failing_since is None

    @property
    def is_reading(self) -> bool:
        """Return whether this process reads the store itself."""
        return self._is_reading

    def record_reader_contact(self, at: float) -> None:
        """Record when an entry that reads for this one heard from the store.

        :param at: monotonic seconds.
        """
        if not self._is_reading:
            self.last_contact = max(self.last_contact, at)

    def outage_age(self, now: float) -> float | None:
        """Return the seconds since an outage of the store that just ended.

        ``None`` if there was none lately. Removals that are read just after
        an outage may be leases that expired while their holders could not
        reach the store.

        The age is passed on with the records. If only the fact of an outage
        was passed on, entries would treat every removal as an expired lease
        for as long as they pass records to each other, and send requests to
        removed endpoints for two seconds more.
        """
        age = now - self.outage_ended_at
        return age if age < _OUTAGE_AFTERMATH_SECONDS else None

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        await self._wait_for_peers()
        pause: float = 0
        read = self._read_changes if self.is_initialized else self._read_newest
        while True:
            try:
                read = await self._read_if_scheduled(read)
                pause = 0
            except errors.RecordsExpiredError:
                logger.bind(
                    topic=self.topic.value, offset=self.state.next_offset
                ).info('history was dropped')
                read = self._read_newest
                await self._limit_snapshot_rate()
            except errors.ClementinepassError as error:
                self._record_outage(error)
                pause = min(
                    max(2 * pause, _FIRST_BACKOFF_SECONDS), _MAX_BACKOFF_SECONDS
                )
                await asyncio.sleep(pause * self._rng.uniform(0.5, 1.5))

    def apply(self, page: records.Page, source: str = STORE_SOURCE) -> int:
        """Apply a page of records; return how many of them are new.

        :param source: the IP address of the peer that sent them, or the store.
        """
        if page.outage_age is not None:
            ended = asyncio.get_running_loop().time() - page.outage_age
            self.outage_ended_at = max(self.outage_ended_at, ended)
        if page.era < self.state.era:
            return 0
        if page.era > self.state.era and self.is_initialized:
            if not page.is_snapshot:
                return 0
            self._begin_era(page)
        elif not self.is_initialized and _has_earlier_records(page):
            self._schedule_end_of_recovery(page.era)
        new_count = 0
        removed = self.state.implied_removals(page) if page.is_snapshot else ()
        for record in (*removed, *page.records):
            if self.state.apply(record):
                new_count += 1
                self._listener(record)
        self.state.next_offset = max(self.state.next_offset, page.next_offset)
        if not self.is_initialized:
            self.is_initialized = True
            logger.bind(
                topic=self.topic.value,
                source=source,
                news=new_count,
                seconds=uptime.seconds(),
            ).info('topic known')
        if new_count and self.on_changes is not None:
            self.on_changes()
        return new_count

    def reapply(self, page: records.Page) -> int:
        """Apply a page of records; call the listener for old ones, too.

        The listener must be idempotent: it may get a record twice.
        """
        if page.era != self.state.era:
            return self.apply(page)
        for record in page.records:
            self.state.apply(record)
            self._listener(record)
        self.state.next_offset = max(self.state.next_offset, page.next_offset)
        return len(page.records)

    def _begin_era(self, page: records.Page) -> None:
        """Begin an era of the store that a snapshot has shown."""
        now = asyncio.get_running_loop().time()
        self.outage_ended_at = max(
            self.outage_ended_at, now - (page.outage_age or 0)
        )
        logger.bind(
            topic=self.topic.value,
            era=page.era,
            offset=page.next_offset % records.ERA_SPAN,
            before=self.state.next_offset % records.ERA_SPAN,
        ).warning('store came back from a copy')
        self.state.begin_era(page.next_offset)
        self._schedule_end_of_recovery(page.era)
        self.restart_read(page.era)

    def _schedule_end_of_recovery(self, era: int) -> None:
        if self.topic is records.Topic.ENDPOINTS:
            asyncio.get_running_loop().call_later(
                _RELIST_SECONDS, self._end_recovery, era
            )

    def _end_recovery(self, era: int) -> None:
        """Remove the endpoints that have not listed themselves again."""
        if self.state.era != era:
            return
        removals = self.state.end_recovery()
        for removal in removals:
            self.state.apply(removal)
            self._listener(removal)
        if removals and self.on_changes is not None:
            self.on_changes()

    def restart_read(self, era: int) -> None:
        """Start the pending read anew if it is of an earlier era.

        It may never be answered.
        """
        if self._pending_read is not None and self._read_era < era:
            self._is_read_outdated = True
            self._pending_read.cancel()

    async def _wait_for_peers(self) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.peer_wait_seconds
        while not self.is_initialized and loop.time() < deadline:
            await asyncio.sleep(_PEER_POLL_SECONDS)

    async def _limit_snapshot_rate(self) -> None:
        now = asyncio.get_running_loop().time()
        due_at = self._snapshot_read_at + _MIN_SNAPSHOT_INTERVAL_SECONDS
        if now < due_at:
            await asyncio.sleep(due_at - now)

    async def _read_newest(self) -> typing.Any:
        self._snapshot_read_at = asyncio.get_running_loop().time()
        page = await self._store.newest(self.topic)
        self._record_contact()
        self._record_read(page)
        self._apply_read(page._replace(is_snapshot=True))
        return self._read_changes

    async def _read_changes(self) -> typing.Any:
        was_unreachable = not self.is_store_reachable
        started_at = asyncio.get_running_loop().time()
        page = await self._wait_for_changes(
            0 if was_unreachable else self._wait_seconds()
        )
        if page is None:
            return self._read_changes
        self._record_contact()
        self._record_read(page)
        self._has_changes = bool(page.records)
        new_count = self._apply_read(page)
        if was_unreachable and new_count and self.on_missed_changes is not None:
            self.on_missed_changes()
        if self._has_changes:
            await self._limit_read_rate()
        elif not was_unreachable:
            due_at = started_at + _MIN_EMPTY_READ_SECONDS
            await asyncio.sleep(due_at - asyncio.get_running_loop().time())
        return self._read_changes

    def _apply_read(self, page: records.Page) -> int:
        """Apply a page that this process has read from the store."""
        self.is_reading_changes = self.is_initialized
        try:
            return self.apply(page)
        finally:
            self.is_reading_changes = False

    async def _wait_for_changes(self, seconds: float) -> records.Page | None:
        """Return the changes; ``None`` if the read has to start anew."""
        self._read_era = self.state.era
        self._is_read_outdated = False
        self._pending_read = asyncio.ensure_future(
            self._store.changes(self.topic, self.state.next_offset, seconds)
        )
        try:
            return await self._pending_read
        except asyncio.CancelledError:
            task = asyncio.current_task()
            is_stopping = task is not None and task.cancelling()
            if self._is_read_outdated and not is_stopping:
                return None
            raise
        finally:
            self._pending_read = None

    def _record_read(self, page: records.Page) -> None:
        self.received_bytes_by_source[records.Source.STORE] += page.size_bytes
        if page.size_bytes >= _LONG_MESSAGE_BYTES:
            logger.bind(
                topic=self.topic.value,
                bytes=page.size_bytes,
                offset=page.next_offset,
            ).info('long records read')

    async def _limit_read_rate(self) -> None:
        """Pause after a read that returned changes of endpoints."""
        loop = asyncio.get_running_loop()
        elapsed = loop.time() - self._last_change_at
        if (
            self.topic is records.Topic.ENDPOINTS
            and elapsed < _MIN_READ_INTERVAL_SECONDS
        ):
            self._read_ends_at = 0
            await asyncio.sleep(_MIN_READ_INTERVAL_SECONDS - elapsed)
        self._last_change_at = loop.time()

    async def _read_if_scheduled(self, read: typing.Any) -> typing.Any:
        """Read, or pause if other entries of the region do the reading.

        :returns: the method to read with next.
        """
        now = asyncio.get_running_loop().time()
        is_reading = not self.is_initialized or self.schedule.should_read(now)
        if is_reading is not self._is_reading:
            self._is_reading = is_reading
            logger.bind(topic=self.topic.value, reads=is_reading).info(
                'reading of the store',
            )
        if is_reading:
            return await read()
        self._stop_reading(now)
        await asyncio.sleep(_IDLE_POLL_SECONDS)
        return read

    def _stop_reading(self, now: float) -> None:
        """Clear the state of reads, earlier failures included.

        Otherwise the next read, however late, would count as the end of an
        outage.
        """
        self._read_ends_at = 0
        self._has_changes = False
        self._failing_since = None

    def _wait_seconds(self) -> float:
        now = asyncio.get_running_loop().time()
        seconds = self.schedule.wait_seconds(now, has_changes=self._has_changes)
        self._read_ends_at = now + seconds
        return seconds

    def _record_outage(self, error: errors.ClementinepassError) -> None:
        self._read_ends_at = 0
        if self._failing_since is None:
            self._failing_since = asyncio.get_running_loop().time()
            logger.bind(
                topic=self.topic.value,
                error=str(error),
                last_answer_ago=round(
                    self._failing_since - self.last_contact, 3
                ),
            ).warning('store lost')

    def _record_contact(self) -> None:
        now = asyncio.get_running_loop().time()
        self.last_contact = now
        if self._failing_since is not None:
            logger.bind(
                topic=self.topic.value,
                lost_for=round(now - self._failing_since, 3),
            ).info('store regained')
            self._failing_since = None
            self.outage_ended_at = now


def _has_earlier_records(page: records.Page) -> bool:
    """Return whether some records are from an earlier era than the page."""
    return any(records.era(record.offset) < page.era for record in page.records)
