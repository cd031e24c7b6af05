"""Tests of when a process that has just started reads the store itself."""

from __future__ import annotations

import itertools
import random

import testtools

from clementinepass.decisions import start_reading

SEEDS = ('10.0.0.1', '10.1.0.1', '10.2.0.1')
#: Processes of one region, and those of them that may read before the first
#: one has told the others, 0.1 s after it began.
PROCESSES = 100
TOLD_AFTER = 0.1
MOST_EARLY = 12


class DelayTest(testtools.TestCase):
    """Seeds read at once, the others only where no seed tells them."""

    def test_seed(self) -> None:
        """A seed waits for nobody."""
        found = start_reading.read_delay(SEEDS[1], SEEDS, random.Random(1))
        self.assertEqual(0, found)

    def test_nobody_to_ask(self) -> None:
        """Without seeds, or alone, there is nobody to wait for."""
        for seeds in ((), ('10.0.0.9',)):
            found = start_reading.read_delay(
                '10.0.0.9', seeds, random.Random(1)
            )
            self.assertEqual(0, found)

    def test_seeds_gone(self) -> None:
        """Seeds may be down: few read before the first of them can tell."""
        rng = random.Random(2)
        delays = sorted(
            start_reading.read_delay('10.0.0.9', SEEDS, rng)
            for _ in range(PROCESSES)
        )
        early = [one for one in delays if one < delays[0] + TOLD_AFTER]
        self.assertLessEqual(len(early), MOST_EARLY)
        self.assertLess(delays[-1], 2)

    def test_near_first(self) -> None:
        """A peer of another region is asked where no near one answers."""
        self.assertTrue(
            start_reading.may_request(is_same_region=True, uptime_seconds=0)
        )
        self.assertFalse(
            start_reading.may_request(is_same_region=False, uptime_seconds=0.2)
        )
        self.assertTrue(
            start_reading.may_request(is_same_region=False, uptime_seconds=0.5)
        )


class SeedPollingTest(testtools.TestCase):
    """All processes start together and ask the seeds.

    300 of them asked three seeds each, ten times a second, until they were
    told, and to answer took more processor time than the seeds had.
    """

    def asked(self, seconds: float) -> list[tuple[float, str]]:
        """Return when which seed is asked by one process."""
        polling = start_reading.SeedPolling(SEEDS[0], SEEDS, random.Random(3))
        found = []
        now: float = 0
        while now < seconds:
            found.extend((now, seed) for seed in polling.next_seeds())
            now += polling.next_pause()
        return found

    def test_all_at_first(self) -> None:
        """The first to know can tell at once."""
        first = [seed for at, seed in self.asked(0.01)]
        self.assertEqual(sorted(SEEDS[1:]), sorted(first))

    def test_few_after_that(self) -> None:
        """A seed hears from each process about once a second."""
        asked = self.asked(10)
        for seed in SEEDS[1:]:
            times = [at for at, each in asked if each == seed]
            self.assertLess(len(times), 16)
            gaps = [later - at for at, later in itertools.pairwise(times)]
            self.assertLessEqual(max(gaps), 0.9)

    def test_no_seeds(self) -> None:
        """There is nobody to ask where there are no others."""
        polling = start_reading.SeedPolling('10.0.0.9', (), random.Random(3))
        self.assertEqual([], polling.next_seeds())
        self.assertEqual([], polling.next_seeds())
