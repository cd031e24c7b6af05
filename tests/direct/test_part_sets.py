"""Tests of sets of prompt parts that processes fetch from one another."""

from __future__ import annotations

import testtools

from clementinepass.direct import part_sets

PARTS = tuple(f'{number:016x}' for number in range(2500))


class PartSetsTest(testtools.TestCase):
    """Long lists of parts arrive whole, and only those that are kept."""

    def test_exchange(self) -> None:
        """A process that lacks sets gets them by their ids."""
        sender, receiver = part_sets.PartSets(), part_sets.PartSets()
        ids = sender.store(PARTS)
        self.assertEqual(3, len(ids))
        self.assertEqual(ids, sender.store(PARTS))
        self.assertEqual(tuple(sorted(ids)), receiver.find_missing(ids))
        receiver.add(sender.get(ids))
        self.assertEqual((), receiver.find_missing(ids))
        parts = [part for found in receiver.get(ids) for part in found.parts]
        self.assertEqual(list(PARTS), parts)

    def test_wrong_id(self) -> None:
        """A set that does not match its id would clear or accuse others."""
        sets = part_sets.PartSets()
        (found,) = (part_sets.PartSets().store(PARTS[:2]),)
        sets.add((part_sets.PartSet(found[0], PARTS[:3]),))
        self.assertEqual(found, sets.find_missing(found))

    def test_bound(self) -> None:
        """The sets that were used last are kept."""
        sets = part_sets.PartSets()
        first = sets.store(PARTS[:1000])
        for number in range(200):
            sets.store(
                tuple(f'{number:04x}{part[4:]}' for part in PARTS[:1000])
            )
        self.assertEqual(first, sets.find_missing(first))
        last = sets.store(PARTS[:1000])
        self.assertEqual((), sets.find_missing(last))
