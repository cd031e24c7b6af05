"""Tests of the order of announcements of processes that restart."""

from __future__ import annotations

import itertools
import random

import testtools

from clementinepass.decisions import incarnations

Order = incarnations.Order

#: Known stamp, received stamp and expected order; stamps are start time and
#: heartbeat.
ORDERS = (
    ((5, 3), (5, 4), Order.NEWER),
    ((5, 3), (5, 3), Order.NEWER),
    ((5, 3), (5, 2), Order.OLDER),
    ((5, 3), (6, 1), Order.NEW_START),
    ((5, 3), (6, 9), Order.NEW_START),
    ((5, 3), (4, 9), Order.OLDER_START),
    ((0, 3), (5, 1), Order.NEW_START),
    ((5, 3), (0, 4), Order.NEWER),
    ((5, 3), (0, 2), Order.OLDER),
    ((0, 3), (0, 4), Order.NEWER),
    ((0, 3), (0, 2), Order.OLDER),
)


class OrderTest(testtools.TestCase):
    """Stamps are ordered by start time, then by heartbeat."""

    def test_compare(self) -> None:
        """Comparison of stamps with and without a start time."""
        for known, received, expected in ORDERS:
            result = incarnations.compare(
                incarnations.Stamp(*known),
                incarnations.Stamp(*received),
            )
            self.assertIs(expected, result, (known, received))

    def test_accepted_stamps_never_go_back(self) -> None:
        """Accepted stamps only grow, in whatever order stamps arrive."""
        rng = random.Random(7)
        stamps = [
            incarnations.Stamp(started_at, heartbeat)
            for started_at, heartbeat in itertools.product(
                range(1, 5), range(1, 6)
            )
        ]
        for _ in range(200):
            rng.shuffle(stamps)
            accepted = stamps[0]
            for stamp in stamps[1:]:
                order = incarnations.compare(accepted, stamp)
                if order in {Order.NEWER, Order.NEW_START}:
                    self.assertGreater(stamp, accepted)
                    accepted = stamp
            self.assertEqual(incarnations.Stamp(4, 5), accepted)
