"""Tests of the order of words of processes that start again."""

from __future__ import annotations

import itertools
import random

import testtools

from clementinepass.decisions import incarnations

Order = incarnations.Order

#: Start and heartbeat known, the same told, and how they stand.
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
    """The start goes before the heartbeat."""

    def test_table(self) -> None:
        """Each pair, with and without a start that is told."""
        for known, told, expected in ORDERS:
            found = incarnations.compare(
                incarnations.Stamp(*known),
                incarnations.Stamp(*told),
            )
            self.assertIs(expected, found, (known, told))

    def test_any_order_of_arrival(self) -> None:
        """Words that are believed never go back, however they arrive."""
        rng = random.Random(7)
        words = [
            incarnations.Stamp(start, heartbeat)
            for start, heartbeat in itertools.product(range(1, 5), range(1, 6))
        ]
        for _ in range(200):
            rng.shuffle(words)
            believed = words[0]
            for word in words[1:]:
                order = incarnations.compare(believed, word)
                if order in {Order.NEWER, Order.NEW_START}:
                    self.assertGreater(word, believed)
                    believed = word
            self.assertEqual(incarnations.Stamp(4, 5), believed)
