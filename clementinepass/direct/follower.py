"""Follow a topic of the store: the newest record of each key, and changes.

What a follower knows only grows by offset.  Older answers that come after
newer ones, and snapshots taken before what is known, change nothing.
"""

from __future__ import annotations

import asyncio
import collections
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.decisions import reading_turns
from clementinepass.direct import records, uptime

if typing.TYPE_CHECKING:
    import random
    from collections.abc import Callable

    Listener = Callable[[records.Record], None]


class Schedule(typing.Protocol):
    """Choose whether this process reads, and how long reads wait."""

    def should_read(self, now: float) -> bool:
        """Tell whether this process reads; else it is told by peers."""

    def wait_seconds(self, now: float, *, has_changes: bool) -> float:
        """Return the seconds that a read which begins now waits.

        :param has_changes: whether the one before brought records.
        """


class AlwaysRead:
    """Read as if there were nobody else."""

    def should_read(self, now: float) -> bool:
        """Tell whether this process reads."""
        return True

    def wait_seconds(self, now: float, *, has_changes: bool) -> float:
        """Return the seconds that a read which begins now waits."""
        return reading_turns.LONGEST


#: Seconds between tries while the store doesn't answer: first, and at most.
#: All processes try again at once after an outage, and the store's rates are
#: for all of them together, so the pause is drawn at random.
_FIRST_BACKOFF_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 0.6
#: Seconds between looks whether a peer has told what there is.
_PEER_POLL_SECONDS = 0.02
#: Stands for the store where it is told whence records came.
STORE_SOURCE = 'store'
#: Seconds after an outage's end in which its consequences are still read.
_OUTAGE_AFTERMATH_SECONDS = 1.0
#: Seconds between looks whether this process is to read the store itself.
_IDLE_POLL_SECONDS = 0.1
#: Seconds between reads that bring changes of endpoints, while more come. When
#: all engines take up a version they write of themselves three times each,
#: and each read is a call to the store, and a word to all entries of a region.
_MIN_READ_INTERVAL_SECONDS = 0.25
#: Removals remembered, to tell peers of them.
_MAX_REMOVALS = 256


class TopicState:
    """The newest record of each key, with the removals that came last."""

    __slots__ = (
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
        #: The offset from which each removal is known.
        self._complete_from = 0
        #: The offset from which changes are unknown.
        self.next_offset = 0
        #: Grows with each record taken.
        self.revision = 0

    @property
    def live_records(self) -> list[records.Record]:
        """Return the newest records of keys that weren't removed."""
        return list(self._by_key.values())

    def apply(self, record: records.Record) -> bool:
        """Take a record; tell whether it is news."""
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
        return True

    def implied_removals(self, snapshot: records.Page) -> list[records.Record]:
        """Return removals for the keys that a snapshot no longer has."""
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
        """Return what is known from an offset on, in order.

        All that there is where some removal since then may be unknown here.
        """
        if offset < self._complete_from:
            return records.Page(
                tuple(sorted(self._by_key.values(), key=_offset)),
                self.next_offset,
                is_snapshot=True,
            )
        every = (*self._by_key.values(), *self._removals.values())
        newer = [record for record in every if record.offset >= offset]
        newer.sort(key=_offset)
        return records.Page(tuple(newer), self.next_offset)


class Follower:
    """Keep up with one topic.

    :param listener: told of each record that is news, removals included.
    """

    __slots__ = (
        '_read_ends_at',
        '_failing_since',
        '_has_changes',
        '_is_reading',
        '_listener',
        '_last_change_at',
        '_rng',
        '_store',
        'last_contact',
        'state',
        'outage_ended_at',
        'peer_wait_seconds',
        'is_initialized',
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
    ) -> None:
        self._store = store
        self.topic = topic
        self._listener = listener
        self._rng = rng
        self._failing_since: float | None = None
        self.state = TopicState()
        #: Monotonic seconds of the store's last answer, or of the last word
        #: of an entry that reads it for this one.
        self.last_contact: float = 0
        #: Monotonic seconds at which the last outage seen ended.
        self.outage_ended_at = float('-inf')
        #: Whether the topic was read once, from the store or from a peer.
        self.is_initialized = False
        #: Seconds from its start in which a peer may tell what there is,
        #: before the store is asked.
        self.peer_wait_seconds: float = 0
        self.schedule: Schedule = AlwaysRead()
        #: Called when records are news here, to tell those who don't read.
        self.on_changes: Callable[[], None] | None = None
        #: Called when a read after an outage brings news, to tell all: their
        #: reads may be as deaf as this one was.
        self.on_missed_changes: Callable[[], None] | None = None
        #: Whether this process reads the store itself at present.
        self._is_reading = True
        #: Monotonic seconds at which the read in progress ends by itself.
        self._read_ends_at: float = 0
        #: When a read last brought records; monotonic seconds.
        self._last_change_at = float('-inf')
        #: Whether the last read brought records.
        self._has_changes = True

    def read_ends_in(self, now: float) -> float:
        """Return the seconds until a read that waits ends; 0 for none."""
        return max(self._read_ends_at - now, 0)

    @property
    def is_store_reachable(self) -> bool:
        """Tell whether the last call to the store was answered."""
        return self._failing_since is None

    @property
    def is_reading(self) -> bool:
        """Tell whether this process reads the store itself."""
        return self._is_reading

    def record_reader_contact(self, now: float) -> None:
        """Take it that an entry was heard of that reads for the region."""
        if not self._is_reading:
            self.last_contact = now

    def outage_age(self, now: float) -> float | None:
        """Return the seconds since an outage of the store that ended just now.

        What the store tells then may be the end of leases that ran out while
        their holders could not reach it. ``None`` where there was none.

        Whoever hands records on says how old the outage is. Failure: it said
        only that there had been one, and for as long as records went round all
        took each removal for a lapse, and sent requests on for two seconds.
        """
        age = now - self.outage_ended_at
        return age if age < _OUTAGE_AFTERMATH_SECONDS else None

    async def run(self) -> None:
        """Follow the topic for ever."""
        await self._wait_for_peers()
        pause: float = 0
        read = self._read_changes if self.is_initialized else self._read_newest
        while True:
            try:
                read = await self._read_if_scheduled(read)
                pause = 0
            except errors.RecordsExpiredError:
                logger.bind(topic=self.topic.value).info('history was dropped')
                read = self._read_newest
            except errors.ClementinepassError as error:
                self._record_outage(error)
                pause = min(
                    max(2 * pause, _FIRST_BACKOFF_SECONDS), _MAX_BACKOFF_SECONDS
                )
                await asyncio.sleep(pause * self._rng.uniform(0.5, 1.5))

    def apply(self, page: records.Page, source: str = STORE_SOURCE) -> int:
        """Take records; return how many are news.

        :param source: the peer that they came from, or the store.
        """
        if page.outage_age is not None:
            ended = asyncio.get_running_loop().time() - page.outage_age
            self.outage_ended_at = max(self.outage_ended_at, ended)
        news = 0
        removed = self.state.implied_removals(page) if page.is_snapshot else ()
        for record in (*removed, *page.records):
            if self.state.apply(record):
                news += 1
                self._listener(record)
        self.state.next_offset = max(self.state.next_offset, page.next_offset)
        if not self.is_initialized:
            self.is_initialized = True
            logger.bind(
                topic=self.topic.value,
                source=source,
                news=news,
                seconds=uptime.seconds(),
            ).info('topic known')
        if news and self.on_changes is not None:
            self.on_changes()
        return news

    def reapply(self, page: records.Page) -> int:
        """Hand records on whatever is known of their offsets.

        For a listener to whom hearing a record twice makes no difference.
        """
        for record in page.records:
            self.state.apply(record)
            self._listener(record)
        self.state.next_offset = max(self.state.next_offset, page.next_offset)
        return len(page.records)

    async def _wait_for_peers(self) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + self.peer_wait_seconds
        while not self.is_initialized and loop.time() < until:
            await asyncio.sleep(_PEER_POLL_SECONDS)

    async def _read_newest(self) -> typing.Any:
        page = await self._store.newest(self.topic)
        self._record_contact()
        self.apply(page._replace(is_snapshot=True))
        return self._read_changes

    async def _read_changes(self) -> typing.Any:
        was_lost = not self.is_store_reachable
        page = await self._store.changes(
            self.topic,
            self.state.next_offset,
            0 if was_lost else self._wait_seconds(),
        )
        self._record_contact()
        self._has_changes = bool(page.records)
        news = self.apply(page)
        if was_lost and news and self.on_missed_changes is not None:
            self.on_missed_changes()
        if self._has_changes:
            await self._limit_read_rate()
        return self._read_changes

    async def _limit_read_rate(self) -> None:
        """Leave some time between reads that bring changes of endpoints."""
        loop = asyncio.get_running_loop()
        since = loop.time() - self._last_change_at
        if (
            self.topic is records.Topic.ENDPOINTS
            and since < _MIN_READ_INTERVAL_SECONDS
        ):
            self._read_ends_at = 0
            await asyncio.sleep(_MIN_READ_INTERVAL_SECONDS - since)
        self._last_change_at = loop.time()

    async def _read_if_scheduled(self, read: typing.Any) -> typing.Any:
        """Read, or leave it to others of the region for a moment."""
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
        """Take no part in the reading; what failed before is no outage."""
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


def _offset(record: records.Record) -> int:
    return record.offset
