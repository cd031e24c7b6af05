"""Tests of the division of a cold endpoint's bound."""

from __future__ import annotations

import itertools

import testtools

from clementinepass.decisions import cold_start


class DivideTest(testtools.TestCase):
    """Guards against shares that together exceed the bound in a second."""

    def test_within_bound(self) -> None:
        """A saved-up request and a second of the share of each entry fit."""
        for rate, overrun, slack, entries in itertools.product(
            (0.5, 2, 15, 100), (1, 1.5, 3), (0, 1, 5, 40), (1, 3, 35, 400)
        ):
            bound = cold_start.Bound(rate, overrun, slack)
            division = cold_start.divide(bound, entries)
            self.assertTrue(1 <= division.entries <= entries)
            if bound.per_second < 2:
                # A single entry has to be able to send one request.
                continue
            at_most = division.entries * (1 + division.share)
            self.assertLessEqual(at_most, bound.per_second)

    def test_uses_rate(self) -> None:
        """The whole rate is used where the bound leaves room for it."""
        division = cold_start.divide(cold_start.Bound(15, 1.5, 5), 35)
        self.assertAlmostEqual(15, division.entries * division.share)
        self.assertGreater(division.entries, 5)
