"""Tests of who reads the store in a region."""

from __future__ import annotations

import testtools

from clementinepass.decisions import region_readers


def reading(ips: list[str]) -> list[str]:
    """Return who reads, where all know one another."""
    return [
        ip
        for ip in ips
        if region_readers.is_reader(ip, [one for one in ips if one != ip])
    ]


class RegionReadersTest(testtools.TestCase):
    """A few read for all, and none is left without a reader."""

    def test_few(self) -> None:
        """Where there are three or fewer, each reads."""
        self.assertEqual(['a'], reading(['a']))
        self.assertEqual(['a', 'b', 'c'], reading(['a', 'b', 'c']))

    def test_many(self) -> None:
        """Where there are more, two read."""
        self.assertEqual(['a', 'b'], reading(['d', 'a', 'c', 'b', 'e']))

    def test_reader_gone(self) -> None:
        """The next takes the place of one that is heard no more."""
        self.assertTrue(region_readers.is_reader('c', ['b', 'd', 'e']))
        self.assertFalse(region_readers.is_reader('d', ['b', 'c', 'e']))

    def test_hears_of_nobody(self) -> None:
        """One that hears of nobody reads."""
        self.assertTrue(region_readers.is_reader('z', []))
