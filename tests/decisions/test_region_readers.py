"""Tests of which entries of a region read the store."""

from __future__ import annotations

import testtools

from clementinepass.decisions import region_readers


def readers(ips: list[str]) -> list[str]:
    """Return the readers if all entries know of one another."""
    return [
        ip
        for ip in ips
        if region_readers.is_reader(
            ip, [peer_ip for peer_ip in ips if peer_ip != ip]
        )
    ]


class RegionReadersTest(testtools.TestCase):
    """A few entries read for all, and no entry is left without a reader."""

    def test_few_entries(self) -> None:
        """With three entries or fewer, each reads."""
        self.assertEqual(['a'], readers(['a']))
        self.assertEqual(['a', 'b', 'c'], readers(['a', 'b', 'c']))

    def test_many_entries(self) -> None:
        """With more entries, two read."""
        self.assertEqual(['a', 'b'], readers(['d', 'a', 'c', 'b', 'e']))

    def test_reader_gone(self) -> None:
        """The next entry replaces one that is no longer heard from."""
        self.assertTrue(region_readers.is_reader('c', ['b', 'd', 'e']))
        self.assertFalse(region_readers.is_reader('d', ['b', 'c', 'e']))

    def test_relays(self) -> None:
        """The entries that read for a region are those that others inform."""
        for ips in (['b', 'a'], ['c', 'b', 'a'], ['d', 'a', 'c', 'b', 'e']):
            self.assertEqual(sorted(readers(ips)), region_readers.relays(ips))

    def test_rank(self) -> None:
        """Ranks follow the order of addresses, whoever reckons them."""
        self.assertEqual(0, region_readers.rank('a', ['c', 'b']))
        self.assertEqual(2, region_readers.rank('c', ['a', 'b', 'd']))

    def test_no_peers(self) -> None:
        """An entry that hears from no other reads."""
        self.assertTrue(region_readers.is_reader('z', []))
