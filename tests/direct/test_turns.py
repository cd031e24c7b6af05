"""Tests of which entries read the operator's records."""

from __future__ import annotations

import testtools

from clementinepass.decisions import region_readers
from clementinepass.direct import members, node, store_distances, turns

NOW = 100.0


class NearestRegionTest(testtools.TestCase):
    """Only the region nearest to the store reads, while it does."""

    def setUp(self) -> None:
        super().setUp()
        local_node = node.Node(
            name='entry',
            ip='10.0.0.5',
            domain='a',
            region='a',
            regions_by_domain={'a': 'a'},
            first_port=1,
            store='',
            duties=node.SystemLimits(),
        )
        self.distances = store_distances.StoreDistances('a')
        self.turns = turns.ReadTurns(
            local_node, members.Members(local_node.ip), self.distances
        )

    def test_unknown_distances(self) -> None:
        """Each region reads until it is known which one is nearest."""
        self.assertTrue(self.turns.should_read(NOW))
        self.distances.update({'b': 0.001})
        self.assertTrue(self.turns.should_read(NOW))

    def test_nearest_region_reads(self) -> None:
        """An entry does not read while one of the nearest region does."""
        self.distances.update({'a': 0.004, 'b': 0.001})
        self.turns.update('10.1.0.1', 'b', 0.7, NOW)
        self.assertFalse(self.turns.should_read(NOW))
        self.turns.update('10.2.0.1', 'c', 0.7, NOW + 2)
        later = NOW + region_readers.MAX_SILENCE_SECONDS + 0.1
        self.assertTrue(self.turns.should_read(later))

    def test_nearest_region_cannot_read(self) -> None:
        """Heartbeats of entries whose reads fail do not count."""
        self.distances.update({'a': 0.004, 'b': 0.001})
        self.turns.update('10.1.0.1', 'b', 0, NOW)
        self.assertTrue(self.turns.should_read(NOW))

    def test_measured_here(self) -> None:
        """The local time to connect counts for the local region."""
        self.distances.update({'b': 0.001})
        self.distances.measure = lambda: 0.0002
        self.turns.update('10.1.0.1', 'b', 0.7, NOW)
        self.assertTrue(self.turns.should_read(NOW))
        self.assertEqual('a', self.distances.nearest_region)

    def test_shortest_time_is_kept(self) -> None:
        """A time measured on a full link does not replace a shorter one."""
        self.distances.update({'a': 0.001, 'b': 0.002})
        self.distances.update({'a': 0.9})
        self.assertEqual('a', self.distances.nearest_region)
