"""Tests of the bounds on held bytes."""

from __future__ import annotations

import math

import testtools

from clementinepass.decisions import held_bytes


class LimitsTest(testtools.TestCase):
    """Guards against bounds that do not fit the memory of the process."""

    def test_from_memory(self) -> None:
        """A small entry has room for answers beyond the admitted bodies."""
        limits = held_bytes.Limits.from_memory(200_000_000)
        self.assertEqual((60e6, 80e6), limits)
        unset = held_bytes.Limits.from_memory(0)
        self.assertEqual((math.inf, math.inf), unset)


class ChooseTest(testtools.TestCase):
    """Guards against cutting off callers that read, or more than needed."""

    def test_choose(self) -> None:
        """Only as many as needed are chosen, longest without progress first."""
        backlogs = [held_bytes.Backlog(10, since) for since in (3, 1, 2)]
        for excess, latest, expected in (
            (0, 9, []),
            (10, 9, [1]),
            (11, 9, [1, 2]),
            (99, 9, [1, 2, 0]),
            (99, 2, [1, 2]),
            (99, 0, []),
        ):
            chosen = held_bytes.choose_stalled(backlogs, excess, latest)
            self.assertEqual(expected, chosen)
