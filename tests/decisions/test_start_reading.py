"""Tests of when a process that has just started reads the store itself."""

from __future__ import annotations

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
        found = start_reading.delay(SEEDS[1], SEEDS, random.Random(1))
        self.assertEqual(0, found)

    def test_nobody_to_ask(self) -> None:
        """Without seeds, or alone, there is nobody to wait for."""
        for seeds in ((), ('10.0.0.9',)):
            found = start_reading.delay('10.0.0.9', seeds, random.Random(1))
            self.assertEqual(0, found)

    def test_seeds_gone(self) -> None:
        """Seeds may be down: few read before the first of them can tell."""
        rng = random.Random(2)
        delays = sorted(
            start_reading.delay('10.0.0.9', SEEDS, rng)
            for _ in range(PROCESSES)
        )
        early = [one for one in delays if one < delays[0] + TOLD_AFTER]
        self.assertLessEqual(len(early), MOST_EARLY)
        self.assertLess(delays[-1], 2)

    def test_near_first(self) -> None:
        """A peer of another region is asked where no near one answers."""
        self.assertTrue(start_reading.may_ask(is_near=True, since_start=0))
        self.assertFalse(start_reading.may_ask(is_near=False, since_start=0.2))
        self.assertTrue(start_reading.may_ask(is_near=False, since_start=0.5))
