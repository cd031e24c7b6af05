"""Tests of when a process that has just started reads the store itself."""

from __future__ import annotations

import itertools
import random

import testtools

from clementinepass.decisions import start_reading

SEEDS = ('10.0.0.1', '10.1.0.1', '10.2.0.1')
#: Processes of one region, and how many of them may read before the first one
#: has sent the records to the others, 0.1 s after it began.
PROCESSES = 100
RECORDS_SENT_AFTER = 0.1
MAX_EARLY_READS = 12


class ReadDelayTest(testtools.TestCase):
    """Seeds read at once, other processes only if no seed answers."""

    def test_seed(self) -> None:
        """A seed reads at once."""
        delay = start_reading.read_delay(SEEDS[1], SEEDS, random.Random(1))
        self.assertEqual(0, delay)

    def test_no_other_seed(self) -> None:
        """Without another seed there is no process to wait for."""
        for seeds in ((), ('10.0.0.9',)):
            delay = start_reading.read_delay(
                '10.0.0.9', seeds, random.Random(1)
            )
            self.assertEqual(0, delay)

    def test_seeds_unreachable(self) -> None:
        """If all seeds are down, few processes read before the first ends."""
        rng = random.Random(2)
        delays = sorted(
            start_reading.read_delay('10.0.0.9', SEEDS, rng)
            for _ in range(PROCESSES)
        )
        early_delays = [
            delay for delay in delays if delay < delays[0] + RECORDS_SENT_AFTER
        ]
        self.assertLessEqual(len(early_delays), MAX_EARLY_READS)
        self.assertLess(delays[-1], 2)

    def test_same_region_first(self) -> None:
        """Peers of the same region are asked at once, other peers later."""
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

    When 300 of them asked three seeds each, ten times a second until they had
    the records, answering took more processor time than the seeds had.
    """

    def requests(self, seconds: float) -> list[tuple[float, str]]:
        """Return when one process asks which seed."""
        polling = start_reading.SeedPolling(SEEDS[0], SEEDS, random.Random(3))
        found = []
        now: float = 0
        while now < seconds:
            found.extend((now, seed) for seed in polling.next_seeds())
            now += polling.next_pause()
        return found

    def test_all_seeds_first(self) -> None:
        """The first seed that has the records can answer at once."""
        first = [seed for sent_at, seed in self.requests(0.01)]
        self.assertEqual(sorted(SEEDS[1:]), sorted(first))

    def test_backoff(self) -> None:
        """A seed is asked by each process about once a second."""
        requests = self.requests(10)
        for seed in SEEDS[1:]:
            times = [
                sent_at
                for sent_at, requested_seed in requests
                if requested_seed == seed
            ]
            self.assertLess(len(times), 16)
            gaps = [
                later - sent_at for sent_at, later in itertools.pairwise(times)
            ]
            self.assertLessEqual(max(gaps), 0.9)

    def test_no_seeds(self) -> None:
        """Without other seeds there is no seed to ask."""
        polling = start_reading.SeedPolling('10.0.0.9', (), random.Random(3))
        self.assertEqual([], polling.next_seeds())
        self.assertEqual([], polling.next_seeds())
