"""Tests of the order in which waiting requests get the slots of an engine."""

from __future__ import annotations

import collections
import heapq
import itertools
import random
import typing

import testtools

from clementinepass.decisions import slot_queue


def request(number: int, **changes: typing.Any) -> slot_queue.SlotRequest:
    """Return a request that waits for long."""
    waiting = slot_queue.SlotRequest(
        'a', number, urgency=1, late_at=500, expires_at=1000
    )
    return waiting._replace(**changes)


class SlotQueueTest(testtools.TestCase):
    """The queue of one engine."""

    def offered(self, queue: slot_queue.SlotQueue, now: float = 0) -> list[int]:
        """Return the numbers of the requests that are offered a slot."""
        return [waiting.number for waiting in queue.take_offers(now)]

    def test_order(self) -> None:
        """Guards against less urgent or late requests that go first."""
        queue = slot_queue.SlotQueue()
        for waiting in (
            request(1, urgency=2),
            request(2, urgency=0, late_at=0),
            request(3, urgency=1),
            request(4, urgency=0),
            request(5, urgency=0),
        ):
            self.assertTrue(queue.add(waiting))
        self.assertEqual([], self.offered(queue))
        queue.update(2, 0)
        self.assertEqual([4, 5], self.offered(queue))
        queue.update(8, 1)
        self.assertEqual([3, 1, 2], self.offered(queue))

    def test_becomes_late(self) -> None:
        """Guards against timely requests that wait behind those now late."""
        queue = slot_queue.SlotQueue()
        queue.add(request(1, late_at=5))
        queue.add(request(2, late_at=50))
        queue.update(1, 6)
        self.assertEqual([2], self.offered(queue, 6))
        queue.update(1, 7)
        self.assertEqual([1], self.offered(queue, 7))

    def test_slot_is_offered_once(self) -> None:
        """Guards against slots that are offered twice before they are used."""
        queue = slot_queue.SlotQueue()
        for number in range(5):
            queue.add(request(number))
        queue.update(1, 0)
        self.assertEqual([0], self.offered(queue, 0))
        self.assertEqual([], self.offered(queue, 0))
        # The report does not include the request yet.
        queue.update(1, 0.01)
        self.assertEqual([], self.offered(queue, 0.01))
        queue.update(1, 0.1)
        self.assertEqual([1], self.offered(queue, 0.1))

    def test_given_back(self) -> None:
        """Guards against slots that stay unused as their request has gone."""
        queue = slot_queue.SlotQueue()
        queue.add(request(1))
        queue.add(request(2))
        queue.update(1, 0)
        self.assertEqual([1], self.offered(queue))
        queue.give_back('a', 1)
        self.assertEqual([2], self.offered(queue))
        queue.give_back('a', 2)
        queue.give_back('a', 2)
        self.assertEqual([], self.offered(queue))

    def test_returned_late(self) -> None:
        """Guards against a late return that frees another request's slot."""
        queue = slot_queue.SlotQueue()
        queue.add(request(1))
        queue.update(1, 0)
        self.assertEqual([1], self.offered(queue))
        queue.update(1, 0.1)
        for number in (2, 3):
            queue.add(request(number))
        self.assertEqual([2], self.offered(queue, 0.1))
        queue.give_back('a', 1)
        self.assertEqual([], self.offered(queue, 0.1))

    def test_expired(self) -> None:
        """Guards against offers to requests that no longer wait."""
        queue = slot_queue.SlotQueue()
        queue.add(request(1, expires_at=5))
        queue.add(request(2))
        queue.update(1, 6)
        self.assertEqual([2], self.offered(queue, 6))
        self.assertEqual(0, len(queue))

    def test_bounded(self) -> None:
        """Guards against a queue that grows without limit in an overload."""
        queue = slot_queue.SlotQueue()
        accepted = [queue.add(request(number)) for number in range(2000)]
        self.assertLess(sum(accepted), 1000)
        queue.update(1, 0)
        self.assertEqual([0], self.offered(queue))


class _Engine:
    """An engine that runs each request for a second."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.queue = slot_queue.SlotQueue()
        self.ends: list[float] = []

    def free(self, now: float) -> int:
        """Return the number of free slots."""
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
        return self.slots - len(self.ends)


class OverloadTest(testtools.TestCase):
    """Plays a load of twice the capacity that lasts for some seconds."""

    ENGINES = 10
    SLOTS = 12
    SECONDS = 6
    ASKED = 4
    TARGET = 0.3
    POLL = 0.1
    STEP = 0.005

    def play(self, seed: int) -> list[float]:
        """Return the shares served in time, by urgency."""
        rng = random.Random(seed)
        engines = [_Engine(self.SLOTS) for _ in range(self.ENGINES)]
        counts: collections.Counter[tuple[int, str]] = collections.Counter()
        waiting: dict[int, float] = {}
        numbers = itertools.count()
        rate = 2 * self.ENGINES * self.SLOTS
        for step in range(int(self.SECONDS / self.STEP)):
            now = step * self.STEP
            for _ in range(
                int(rng.random() < 0.5) * round(2 * rate * self.STEP)
            ):
                urgency = rng.randrange(3)
                number = next(numbers)
                waiting[number] = now
                counts[urgency, 'all'] += 1
                for engine in rng.sample(engines, self.ASKED):
                    engine.queue.add(
                        request(
                            number,
                            urgency=urgency,
                            late_at=now + self.TARGET,
                            expires_at=now + self.TARGET,
                        )
                    )
            for index, engine in enumerate(engines):
                if (step + 2 * index) % round(self.POLL / self.STEP) == 0:
                    engine.queue.update(engine.free(now), now)
                self.serve(engine, waiting, counts, now, rng)
        return [
            counts[urgency, 'served'] / counts[urgency, 'all']
            for urgency in range(3)
        ]

    def serve(
        self,
        engine: _Engine,
        waiting: dict[int, float],
        counts: collections.Counter[tuple[int, str]],
        now: float,
        rng: random.Random,
    ) -> None:
        """Give the free slots of an engine to requests that still wait."""
        while offers := engine.queue.take_offers(now):
            for offer in offers:
                arrived_at = waiting.pop(offer.number, None)
                if arrived_at is None:
                    engine.queue.give_back(offer.entry, offer.number)
                    continue
                heapq.heappush(engine.ends, now + rng.uniform(0.5, 1.5))
                counts[offer.urgency, 'served'] += 1

    def test_most_urgent_first(self) -> None:
        """Guards against an inversion of urgencies at twice the capacity.

        The requirement: the most urgent kind is refused or late no more often
        than a less urgent one.
        """
        for seed in range(3):
            served = self.play(seed)
            self.assertGreaterEqual(served[0], served[1])
            self.assertGreaterEqual(served[1], served[2])
            # A third of the load fits twice into half of it.
            self.assertGreater(served[0], 0.95)
