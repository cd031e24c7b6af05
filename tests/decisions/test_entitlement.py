"""Tests of the division of slots between entries."""

from __future__ import annotations

import testtools

from clementinepass.decisions import entitlement


class FairSlotsTest(testtools.TestCase):
    """Two entries want more slots than there are."""

    def fair_slots(
        self, slots: int, own: tuple[int, int], others: tuple[int, int]
    ) -> int:
        """Return the slots of an entry; demands are (total, promised)."""
        return entitlement.fair_slots(
            slots, entitlement.Demand(*own), entitlement.Demand(*others)
        )

    def test_enough_slots(self) -> None:
        """No entry is limited while all requests fit."""
        self.assertEqual(16, self.fair_slots(16, (8, 8), (8, 0)))

    def test_busy_entry_leaves_slots(self) -> None:
        """An entry with many requests leaves slots to one that has few."""
        self.assertEqual(3, self.fair_slots(4, (12, 12), (8, 8)))
        self.assertEqual(2, self.fair_slots(4, (8, 8), (12, 12)))
        self.assertEqual(4, self.fair_slots(4, (100, 100), (1, 1)))
        self.assertEqual(1, self.fair_slots(4, (1, 1), (100, 100)))

    def test_promised_first(self) -> None:
        """A crowd without a promise takes nothing from a promised team."""
        self.assertEqual(4, self.fair_slots(6, (4, 4), (100, 0)))
        self.assertEqual(2, self.fair_slots(6, (100, 0), (4, 4)))

    def test_outage(self) -> None:
        """There is nothing to divide without an endpoint."""
        self.assertEqual(0, self.fair_slots(0, (1, 1), (1, 0)))
