"""Tests of the subset of engines of an entry and of the report interval."""

from __future__ import annotations

import collections

import testtools

from clementinepass.decisions import subsetting

ENTRIES = [f'10.1.0.{number}' for number in range(1, 48)]


def engine_addresses(domain: int, engine_count: int) -> list[str]:
    """Return the addresses of a number of engines of a failure domain."""
    return [
        f'10.{domain}.64.{number}:8000' for number in range(1, engine_count + 1)
    ]


class SubsetTest(testtools.TestCase):
    """The subset of engines that an entry uses."""

    def test_small_fleet(self) -> None:
        """With few engines in its domain an entry uses more of the others."""
        cases = ((0, 19, 12), (2, 9, 11), (2, 1, 3), (15, 40, 19), (0, 0, 0))
        for same_domain_count, other_domains_count, expected in cases:
            chosen = subsetting.subset(
                '10.1.0.1',
                engine_addresses(1, same_domain_count),
                engine_addresses(2, other_domains_count),
            )
            self.assertEqual(
                expected, len(chosen), (same_domain_count, other_domains_count)
            )
            self.assertEqual(
                set(engine_addresses(1, same_domain_count)),
                set(chosen[:same_domain_count]),
            )

    def test_subsets_of_large_fleet_are_balanced(self) -> None:
        """Subsets stay small, and all engines are used about equally often."""
        same_domain, other_domains = (
            engine_addresses(1, 86),
            engine_addresses(2, 514),
        )
        entries_by_engine: collections.Counter[str] = collections.Counter()
        for entry_ip in ENTRIES:
            chosen = subsetting.subset(entry_ip, same_domain, other_domains)
            self.assertEqual(20, len(chosen))
            entries_by_engine.update(
                engine for engine in chosen if engine in same_domain
            )

        mean_entries = sum(entries_by_engine.values()) / len(same_domain)
        self.assertGreater(2.5 * mean_entries, max(entries_by_engine.values()))
        self.assertGreater(len(entries_by_engine), 0.95 * len(same_domain))

    def test_removed_engine_changes_one_member(self) -> None:
        """The removal of an engine replaces only that engine in a subset."""
        same_domain, other_domains = (
            engine_addresses(1, 40),
            engine_addresses(2, 40),
        )
        before = subsetting.subset('10.1.0.1', same_domain, other_domains)
        same_domain.remove(before[0])
        after = subsetting.subset('10.1.0.1', same_domain, other_domains)

        self.assertEqual(1, len(set(before) - set(after)))
        self.assertEqual(1, len(set(after) - set(before)))


class ReportIntervalTest(testtools.TestCase):
    """The interval between load reports of an engine."""

    def test_interval_bounds(self) -> None:
        """The interval grows with the subscribers between two bounds."""
        self.assertEqual(0.1, subsetting.report_interval(0))
        self.assertEqual(0.1, subsetting.report_interval(9))
        self.assertEqual(0.2, subsetting.report_interval(48))
        self.assertEqual(0.5, subsetting.report_interval(300))
