"""Tests of following a topic of the store."""

from __future__ import annotations

import asyncio
import random
import typing

import testtools

from clementinepass import errors
from clementinepass.direct import follower, records, topic_state
from standins import skipped_time

if typing.TYPE_CHECKING:
    from collections.abc import Callable, Mapping

TOPIC = records.Topic.OPERATOR


def record(
    key: str, offset: int, payload: bytes | None = b'x'
) -> records.Record:
    """Return a record."""
    return records.Record(key, offset, payload)


class ScriptedStore:
    """A store that answers each call with the next of a list of answers."""

    def __init__(self, answers: list[records.Page | Exception]) -> None:
        self.answers = answers
        self.calls: list[str] = []

    async def newest(self, topic: records.Topic) -> records.Page:
        """Return the next answer."""
        return await self._next('newest')

    async def changes(
        self,
        topic: records.Topic,
        offset: int,
        wait: float,
    ) -> records.Page:
        """Return the next answer."""
        return await self._next(f'from {offset}')

    async def put(
        self, topic: records.Topic, payload_by_key: Mapping[str, bytes]
    ) -> None:
        """Do nothing."""

    async def _next(self, call: str) -> records.Page:
        self.calls.append(call)
        if not self.answers:
            await asyncio.Event().wait()
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def follow(
    answers: list[records.Page | Exception],
) -> tuple[ScriptedStore, list[records.Record]]:
    """Follow a store until it has no more answers.

    :returns: the store and the records that the listener received.
    """
    store = ScriptedStore(answers)
    received: list[records.Record] = []

    async def scenario(listener: Callable[[records.Record], None]) -> None:
        topic_follower = follower.Follower(
            store, TOPIC, listener, random.Random(1)
        )
        task = asyncio.create_task(topic_follower.run())
        while store.answers:
            await asyncio.sleep(0)
        # Reads of changes are tasks of their own.
        for _ in range(3):
            await asyncio.sleep(0)
        task.cancel()

    asyncio.run(scenario(received.append))
    return store, received


class FollowerTest(testtools.TestCase):
    """A follower's state only moves forward."""

    def test_newest_then_changes(self) -> None:
        """Changes are read from the end of the newest records on."""
        store, received = follow(
            [
                records.Page((record('a', 3),), 4),
                records.Page((record('a', 4),), 5),
            ],
        )
        self.assertEqual(['newest', 'from 4', 'from 5'], store.calls)
        self.assertEqual([3, 4], [change.offset for change in received])

    def test_history_dropped(self) -> None:
        """The store no longer keeps the records from the next offset on.

        An endpoint was removed meanwhile; its removal is known only by its key
        missing from the newest records.
        """
        expired = errors.RecordsExpiredError(step='read', peer='s', oldest=9)
        store, received = follow(
            [
                records.Page((record('a', 3), record('b', 4)), 5),
                expired,
                records.Page((record('b', 4),), 12),
            ],
        )
        self.assertEqual(['newest', 'from 5', 'newest'], store.calls[:3])
        self.assertEqual(('a', None), (received[-1].key, received[-1].payload))

    def test_older_snapshot(self) -> None:
        """An answer that is older than the state changes nothing.

        A configuration went back for a moment when the store answered the
        second call with its state of three seconds before.
        """
        expired = errors.RecordsExpiredError(step='read', peer='s', oldest=9)
        _, received = follow(
            [
                records.Page((record('a', 8), record('b', 9)), 10),
                expired,
                records.Page((record('a', 3),), 4),
            ],
        )
        self.assertEqual([8, 9], [change.offset for change in received])

    def test_outage(self) -> None:
        """A failed read is repeated, and the state stays."""
        down = errors.PlatformUnavailableError('down', step='read', peer='s')
        store, received = follow(
            [
                records.Page((record('a', 3),), 4),
                down,
                records.Page((record('a', 4, None),), 5),
            ],
        )
        self.assertEqual([b'x', None], [change.payload for change in received])


class RestartedReadTest(testtools.TestCase):
    """A pending read starts anew when the store has begun another era."""

    def test_cancelled_meanwhile(self) -> None:
        """A follower that is cancelled at that moment ends all the same."""

        async def scenario() -> None:
            store = ScriptedStore([records.Page((record('a', 3),), 4)])
            topic_follower = follower.Follower(
                store, TOPIC, lambda _: None, random.Random(1)
            )
            task = asyncio.create_task(topic_follower.run())
            while 'from 4' not in store.calls:
                await asyncio.sleep(0)
            topic_follower.restart_read(1)
            task.cancel()
            await asyncio.wait([task], timeout=1)
            self.assertTrue(task.cancelled())

        asyncio.run(scenario())


class TopicStateTest(testtools.TestCase):
    """Records are handed to peers that have read less far."""

    def test_since(self) -> None:
        """A peer gets newer records, removals included."""
        state = topic_state.TopicState()
        for change in (record('a', 1), record('b', 2), record('a', 3, None)):
            state.apply(change)
        state.next_offset = 4
        self.assertEqual(
            [('b', 2), ('a', 3)],
            [change[:2] for change in state.since(2).records],
        )

    def test_removed_and_back(self) -> None:
        """A key that came back does not count as removed any more."""
        state = topic_state.TopicState()
        for change in (record('a', 1), record('a', 2, None), record('a', 3)):
            self.assertTrue(state.apply(change))
        self.assertFalse(state.apply(record('a', 2, None)))
        self.assertEqual(
            [3], [change.offset for change in state.since(0).records]
        )


class _ChangingStore(ScriptedStore):
    """A store with a topic that changes all the time."""

    async def changes(
        self,
        topic: records.Topic,
        offset: int,
        wait: float,
    ) -> records.Page:
        """Return the next change after a moment."""
        self.calls.append(f'from {offset}')
        await asyncio.sleep(0.01)
        return records.Page((record(f'i-{offset}', offset),), offset + 1)


class ReadRateTest(testtools.TestCase):
    """Changes in quick succession are read together.

    Otherwise each change costs a call of each reader to the store and a
    heartbeat to all entries of its region.
    """

    def count_reads(self, topic: records.Topic, seconds: float) -> int:
        """Return how often a topic is read in a time."""

        async def scenario() -> int:
            first = records.Page((record('i', 0),), 1)
            store = _ChangingStore([first])
            topic_follower = follower.Follower(
                store,
                topic,
                lambda change: None,
                random.Random(1),
            )
            task = asyncio.create_task(topic_follower.run())
            await asyncio.sleep(seconds)
            task.cancel()
            return len(store.calls)

        return skipped_time.run(scenario())

    def test_endpoints_are_read_together(self) -> None:
        """Endpoints are read four times a second, not for each change."""
        self.assertGreater(13, self.count_reads(records.Topic.ENDPOINTS, 2))

    def test_operator_is_read_at_once(self) -> None:
        """Reads of the operator's records are not delayed."""
        self.assertGreater(self.count_reads(records.Topic.OPERATOR, 2), 100)


class SnapshotTest(testtools.TestCase):
    """Records that a peer passes on after it started from a snapshot.

    A process that starts reads only the present records, so it does not know
    earlier removals and cannot pass them on. Requests reached an endpoint
    4.6 s after it had been removed from the list.
    """

    def follower_of(self, *pages: records.Page) -> follower.Follower:
        """Return a follower that has applied some pages."""
        topic_follower = follower.Follower(
            typing.cast('records.Store', None),
            TOPIC,
            lambda change: None,
            random.Random(1),
        )

        async def scenario() -> None:
            for page in pages:
                topic_follower.apply(page)

        asyncio.run(scenario())
        return topic_follower

    def test_removed_before_the_snapshot(self) -> None:
        """A removal before the peer's snapshot reaches those that are behind."""
        started = self.follower_of(
            records.Page((record('b', 5),), 9, is_snapshot=True),
        )
        behind = self.follower_of(
            records.Page((record('a', 3), record('b', 5)), 6),
            started.state.since(6),
        )

        self.assertEqual(9, behind.state.next_offset)
        self.assertEqual(
            ['b'], [change.key for change in behind.state.live_records]
        )

    def test_snapshot_is_passed_on(self) -> None:
        """A follower with a peer's snapshot knows no removals before it."""
        started = self.follower_of(records.Page((), 9, is_snapshot=True))
        second = self.follower_of(started.state.since(0))

        self.assertTrue(second.state.since(6).is_snapshot)
        self.assertFalse(second.state.since(9).is_snapshot)

    def test_changes_alone(self) -> None:
        """A peer that has all records before an offset gets no snapshot."""
        state = self.follower_of(
            records.Page((record('a', 3),), 4, is_snapshot=True),
            records.Page((record('b', 4), record('a', 5, None)), 6),
        ).state

        self.assertFalse(state.since(4).is_snapshot)
        self.assertEqual(
            [('b', 4), ('a', 5)],
            [(change.key, change.offset) for change in state.since(4).records],
        )

    def test_many_removals(self) -> None:
        """A snapshot replaces removals that are no longer kept."""
        many = 300
        removed = [
            record(f'i-{number}', number, None) for number in range(many)
        ]
        state = self.follower_of(
            records.Page((record('a', 0),), 1, is_snapshot=True),
            records.Page(tuple(removed), many),
        ).state

        self.assertTrue(state.since(10).is_snapshot)
        self.assertFalse(state.since(many - 5).is_snapshot)

    def test_older_snapshot(self) -> None:
        """A snapshot that is older than the state removes nothing."""
        state = self.follower_of(
            records.Page((record('a', 7),), 8),
            records.Page((), 5, is_snapshot=True),
        ).state

        self.assertEqual(['a'], [change.key for change in state.live_records])
