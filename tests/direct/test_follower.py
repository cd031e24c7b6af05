"""Tests of following a topic of the store."""

from __future__ import annotations

import asyncio
import random
import typing

import testtools

from clementinepass import errors
from clementinepass.direct import follower, records
from standins import skipped_time

if typing.TYPE_CHECKING:
    from collections.abc import Callable

TOPIC = records.Topic.OPERATOR


def record(
    key: str, offset: int, payload: bytes | None = b'x'
) -> records.Record:
    """Return a record."""
    return records.Record(key, offset, payload)


class ScriptedStore:
    """Answer each call with the next thing that a test wants."""

    def __init__(self, answers: list[records.Page | Exception]) -> None:
        self.answers = answers
        self.asked: list[str] = []

    async def newest(self, topic: records.Topic) -> records.Page:
        """Answer with the next."""
        return await self._next('newest')

    async def changes(
        self,
        topic: records.Topic,
        offset: int,
        wait: float,
    ) -> records.Page:
        """Answer with the next."""
        return await self._next(f'from {offset}')

    async def put(self, topic: records.Topic, key: str, payload: bytes) -> None:
        """Do nothing."""

    async def _next(self, asked: str) -> records.Page:
        self.asked.append(asked)
        if not self.answers:
            await asyncio.Event().wait()
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def followed(
    answers: list[records.Page | Exception],
) -> tuple[ScriptedStore, list[records.Record]]:
    """Follow a store until it has no more answers."""
    store = ScriptedStore(answers)
    told: list[records.Record] = []

    async def play(listener: Callable[[records.Record], None]) -> None:
        own = follower.Follower(store, TOPIC, listener, random.Random(1))
        task = asyncio.create_task(own.run())
        while store.answers:
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()

    asyncio.run(play(told.append))
    return store, told


class FollowerTest(testtools.TestCase):
    """What is known only grows."""

    def test_newest_then_changes(self) -> None:
        """Changes are followed from where the newest records end."""
        store, told = followed(
            [
                records.Page((record('a', 3),), 4),
                records.Page((record('a', 4),), 5),
            ],
        )
        self.assertEqual(['newest', 'from 4', 'from 5'], store.asked)
        self.assertEqual([3, 4], [one.offset for one in told])

    def test_history_dropped(self) -> None:
        """The store forgot the records from where they were to be read.

        An endpoint had left meanwhile; its key is missing from the newest
        records, and that is how it is known to be gone.
        """
        expired = errors.RecordsExpiredError(step='read', peer='s', oldest=9)
        store, told = followed(
            [
                records.Page((record('a', 3), record('b', 4)), 5),
                expired,
                records.Page((record('b', 4),), 12),
            ],
        )
        self.assertEqual(['newest', 'from 5', 'newest'], store.asked[:3])
        self.assertEqual(('a', None), (told[-1].key, told[-1].payload))

    def test_older_snapshot(self) -> None:
        """An answer from before what is known changes nothing.

        A configuration went back for a moment: the store answered the second
        question with what it had been three seconds earlier.
        """
        expired = errors.RecordsExpiredError(step='read', peer='s', oldest=9)
        _, told = followed(
            [
                records.Page((record('a', 8), record('b', 9)), 10),
                expired,
                records.Page((record('a', 3),), 4),
            ],
        )
        self.assertEqual([8, 9], [one.offset for one in told])

    def test_outage(self) -> None:
        """A store that fails is asked again, and what is known stays."""
        down = errors.PlatformUnavailableError('down', step='read', peer='s')
        store, told = followed(
            [
                records.Page((record('a', 3),), 4),
                down,
                records.Page((record('a', 4, None),), 5),
            ],
        )
        self.assertEqual([b'x', None], [one.payload for one in told])


class KnownTest(testtools.TestCase):
    """Records are handed to peers that know less."""

    def test_since(self) -> None:
        """A peer gets what is newer, removals included."""
        known = follower.TopicState()
        for one in (record('a', 1), record('b', 2), record('a', 3, None)):
            known.apply(one)
        known.next_offset = 4
        self.assertEqual(
            [('b', 2), ('a', 3)],
            [one[:2] for one in known.since(2).records],
        )

    def test_removed_and_back(self) -> None:
        """A key that came back is no removal any more."""
        known = follower.TopicState()
        for one in (record('a', 1), record('a', 2, None), record('a', 3)):
            self.assertTrue(known.apply(one))
        self.assertFalse(known.apply(record('a', 2, None)))
        self.assertEqual([3], [one.offset for one in known.since(0).records])


class _ChangingStore(ScriptedStore):
    """A topic that changes all the time."""

    async def changes(
        self,
        topic: records.Topic,
        offset: int,
        wait: float,
    ) -> records.Page:
        """Answer as soon as there is the next change."""
        self.asked.append(f'from {offset}')
        await asyncio.sleep(0.01)
        return records.Page((record(f'i-{offset}', offset),), offset + 1)


class GatherTest(testtools.TestCase):
    """Changes that come one after the other.

    Each was a call of each reader to the store, and a word to all entries of
    its region.
    """

    def asked(self, topic: records.Topic, seconds: float) -> int:
        """Return how often a topic is read."""

        async def play() -> int:
            first = records.Page((record('i', 0),), 1)
            store = _ChangingStore([first])
            own = follower.Follower(
                store,
                topic,
                lambda one: None,
                random.Random(1),
            )
            task = asyncio.create_task(own.run())
            await asyncio.sleep(seconds)
            task.cancel()
            return len(store.asked)

        return skipped_time.run(play())

    def test_endpoints_gather(self) -> None:
        """Four reads a second, not one for each change."""
        self.assertGreater(13, self.asked(records.Topic.ENDPOINTS, 2))

    def test_operator_at_once(self) -> None:
        """What the operator writes isn't held up."""
        self.assertGreater(self.asked(records.Topic.OPERATOR, 2), 100)


class SnapshotTest(testtools.TestCase):
    """What a peer hands on that began from a snapshot.

    Requests reached an endpoint 4.6 s after it had been dropped from the list: a
    process that starts reads only what there is, so that it can't tell others of
    removals before that.
    """

    def followed(self, *pages: records.Page) -> follower.Follower:
        """Return a follower that has taken pages."""
        own = follower.Follower(
            typing.cast('records.Store', None),
            TOPIC,
            lambda one: None,
            random.Random(1),
        )

        async def play() -> None:
            for page in pages:
                own.apply(page)

        asyncio.run(play())
        return own

    def test_removed_before(self) -> None:
        """A key was removed before the peer began; who asks it hears of it."""
        started = self.followed(
            records.Page((record('b', 5),), 9, is_snapshot=True),
        )
        behind = self.followed(
            records.Page((record('a', 3), record('b', 5)), 6),
            started.state.since(6),
        )

        self.assertEqual(9, behind.state.next_offset)
        self.assertEqual(['b'], [one.key for one in behind.state.live_records])

    def test_handed_on(self) -> None:
        """Whoever took a snapshot from a peer knows no removals before it."""
        started = self.followed(records.Page((), 9, is_snapshot=True))
        second = self.followed(started.state.since(0))

        self.assertTrue(second.state.since(6).is_snapshot)
        self.assertFalse(second.state.since(9).is_snapshot)

    def test_changes_alone(self) -> None:
        """Changes since an offset are enough for who has all before it."""
        known = self.followed(
            records.Page((record('a', 3),), 4, is_snapshot=True),
            records.Page((record('b', 4), record('a', 5, None)), 6),
        ).state

        self.assertFalse(known.since(4).is_snapshot)
        self.assertEqual(
            [('b', 4), ('a', 5)],
            [(one.key, one.offset) for one in known.since(4).records],
        )

    def test_many_removals(self) -> None:
        """More removals than are kept: what is known is handed over whole."""
        many = 300
        removed = [record(f'i-{one}', one, None) for one in range(many)]
        known = self.followed(
            records.Page((record('a', 0),), 1, is_snapshot=True),
            records.Page(tuple(removed), many),
        ).state

        self.assertTrue(known.since(10).is_snapshot)
        self.assertFalse(known.since(many - 5).is_snapshot)

    def test_older_snapshot(self) -> None:
        """A snapshot from before what is known removes nothing."""
        known = self.followed(
            records.Page((record('a', 7),), 8),
            records.Page((), 5, is_snapshot=True),
        ).state

        self.assertEqual(['a'], [one.key for one in known.live_records])
