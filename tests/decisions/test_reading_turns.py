"""Tests of the turns in which entries' reads of the store end."""

from __future__ import annotations

import random

import testtools
from hypothesis import given
from hypothesis import strategies
from testtools import matchers

from clementinepass.decisions import reading_turns

#: Seconds that are simulated from the start of the reads.
_SIMULATED_SECONDS = 40
#: Seconds after which every entry has had a turn.
_SETTLED_SECONDS = 2 * reading_turns.MAX_WAIT_SECONDS


def simulate_reads(first_ends: list[float], rng: random.Random) -> list[float]:
    """Return when the reads of entries end, which have started at any time.

    Each entry knows the ends of the others' reads as of a recent heartbeat.

    :param first_ends: when the first read of each entry ends.
    """
    entry_count = len(first_ends)
    end_by_entry = dict(enumerate(first_ends))
    announced_end_by_entry = dict(end_by_entry)
    ended_at = []
    now: float = 0
    while now < _SIMULATED_SECONDS:
        entry = min(end_by_entry, key=end_by_entry.__getitem__)
        now = end_by_entry[entry]
        ended_at.append(now)
        remaining_waits = [
            end - now
            for other_entry, end in announced_end_by_entry.items()
            if other_entry != entry and end > now
        ]
        wait = reading_turns.wait_after_empty_read(
            reading_turns.Turn(0, entry_count),
            remaining_waits,
        )
        end_by_entry[entry] = now + wait + rng.uniform(0.005, 0.02)
        announced_end_by_entry = {
            other_entry: end
            if rng.random() < 0.8
            else announced_end_by_entry[other_entry]
            for other_entry, end in end_by_entry.items()
        }
    return ended_at


def longest_gap(times: list[float], since: float) -> float:
    """Return the longest gap between successive times after a start."""
    later = [time for time in sorted(times) if time >= since]
    pairs = zip(later, later[1:], strict=False)
    return max(following - preceding for preceding, following in pairs)


class ReadingTurnsTest(testtools.TestCase):
    """However the reads start, one soon ends per step."""

    def test_after_change(self) -> None:
        """All reads start at the same moment and end one after the other."""
        waits = [
            reading_turns.wait_after_change(reading_turns.Turn(position, 9))
            for position in range(9)
        ]
        self.assertEqual(
            [
                round(reading_turns.STEP_SECONDS * (index + 1), 3)
                for index in range(9)
            ],
            [round(wait, 3) for wait in waits],
        )

    def test_many_entries(self) -> None:
        """With more entries than steps fit, turns are closer together."""
        waits = [
            reading_turns.wait_after_change(reading_turns.Turn(position, 50))
            for position in range(50)
        ]
        self.assertThat(max(waits), matchers.LessThan(8.001))
        self.assertEqual(50, len(set(waits)))

    def test_single_entry(self) -> None:
        """The reads of a single entry end once per step."""
        turn = reading_turns.Turn(0, 1)
        self.assertEqual(
            reading_turns.STEP_SECONDS,
            reading_turns.wait_after_empty_read(turn, []),
        )

    def test_free_turn(self) -> None:
        """The turn of an entry that is gone is taken by the next read."""
        turn = reading_turns.Turn(0, 5)
        step = reading_turns.STEP_SECONDS
        taken = reading_turns.wait_after_empty_read(
            turn, [step, 3 * step, 4 * step]
        )
        self.assertEqual(2 * step, taken)

    @given(
        strategies.lists(
            strategies.floats(0, reading_turns.MAX_WAIT_SECONDS),
            min_size=2,
            max_size=40,
        ),
        strategies.randoms(use_true_random=False),
    )
    def test_any_start(
        self, first_ends: list[float], rng: random.Random
    ) -> None:
        """Entries start in any order, or all at once, or are replaced."""
        ended_at = simulate_reads(first_ends, rng)
        self.assertThat(
            longest_gap(ended_at, _SETTLED_SECONDS),
            matchers.LessThan(2 * reading_turns.STEP_SECONDS),
        )

    @given(strategies.integers(2, 40))
    def test_read_rate(self, entry_count: int) -> None:
        """There is one read per step, or one per entry and longest wait."""
        ended_at = simulate_reads(
            [0.0] * entry_count, random.Random(entry_count)
        )
        read_rate = sum(end >= _SETTLED_SECONDS for end in ended_at) / (
            _SIMULATED_SECONDS - _SETTLED_SECONDS
        )
        expected_rate = max(
            1 / reading_turns.STEP_SECONDS,
            entry_count / reading_turns.MAX_WAIT_SECONDS,
        )
        self.assertThat(read_rate, matchers.LessThan(1.5 * expected_rate))
