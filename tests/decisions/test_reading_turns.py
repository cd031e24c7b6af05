"""Tests of the turns in which entries' reads of the store end."""

from __future__ import annotations

import random

import testtools
from hypothesis import given
from hypothesis import strategies
from testtools import matchers

from clementinepass.decisions import reading_turns

#: Seconds for which a play goes on after the reads began.
_PLAYED = 40
#: Seconds after which all have had a turn.
_SETTLED = 2 * reading_turns.MAX_WAIT_SECONDS


def ends(begun: list[float], rng: random.Random) -> list[float]:
    """Return when reads end of entries that began at some moments.

    Each knows when the others' reads end, as of a heartbeat message ago.
    """
    number = len(begun)
    by_entry = dict(enumerate(begun))
    told = dict(by_entry)
    found = []
    now: float = 0
    while now < _PLAYED:
        entry = min(by_entry, key=by_entry.__getitem__)
        now = by_entry[entry]
        found.append(now)
        others = [
            end - now
            for other, end in told.items()
            if other != entry and end > now
        ]
        wait = reading_turns.wait_after_empty_read(
            reading_turns.Turn(0, number),
            others,
        )
        by_entry[entry] = now + wait + rng.uniform(0.005, 0.02)
        told = {
            other: end if rng.random() < 0.8 else told[other]
            for other, end in by_entry.items()
        }
    return found


def longest_gap(moments: list[float], since: float) -> float:
    """Return the longest time between two moments, from some time on."""
    later = [one for one in sorted(moments) if one >= since]
    pairs = zip(later, later[1:], strict=False)
    return max(after - before for before, after in pairs)


class ReadingTurnsTest(testtools.TestCase):
    """However the reads began, soon one ends each step."""

    def test_after_news(self) -> None:
        """All begin at the same moment, and end one after the other."""
        waits = [
            reading_turns.wait_after_change(reading_turns.Turn(before, 9))
            for before in range(9)
        ]
        self.assertEqual(
            [
                round(reading_turns.STEP_SECONDS * (one + 1), 3)
                for one in range(9)
            ],
            [round(one, 3) for one in waits],
        )

    def test_many(self) -> None:
        """Where there are more than fit, turns are closer."""
        waits = [
            reading_turns.wait_after_change(reading_turns.Turn(before, 50))
            for before in range(50)
        ]
        self.assertThat(max(waits), matchers.LessThan(8.001))
        self.assertEqual(50, len(set(waits)))

    def test_alone(self) -> None:
        """One that is alone ends its read each step."""
        turn = reading_turns.Turn(0, 1)
        self.assertEqual(
            reading_turns.STEP_SECONDS,
            reading_turns.wait_after_empty_read(turn, []),
        )

    def test_free_turn(self) -> None:
        """The turn of an entry that is gone is taken by the next."""
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
    def test_any_begin(self, begun: list[float], rng: random.Random) -> None:
        """Entries began in any order, or all at once, or were replaced."""
        found = ends(begun, rng)
        self.assertThat(
            longest_gap(found, _SETTLED),
            matchers.LessThan(2 * reading_turns.STEP_SECONDS),
        )

    @given(strategies.integers(2, 40))
    def test_no_more_reads(self, number: int) -> None:
        """There is one read a step, or as many as if each waited longest."""
        found = ends([0.0] * number, random.Random(number))
        calls = sum(one >= _SETTLED for one in found) / (_PLAYED - _SETTLED)
        each = max(
            1 / reading_turns.STEP_SECONDS,
            number / reading_turns.MAX_WAIT_SECONDS,
        )
        self.assertThat(calls, matchers.LessThan(1.5 * each))
