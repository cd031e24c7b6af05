"""Tests of skipping sources."""

from __future__ import annotations

import testtools

from clementinepass.direct import suppliers
from tests.direct import test_loading

IP = '10.0.0.1'


class SkipTest(testtools.TestCase):
    """How long a source is skipped."""

    def setUp(self) -> None:
        super().setUp()
        source = test_loading.Origin()
        self.tracked_sources = suppliers.Suppliers(lambda ip: source)

    def skip_seconds(self, now: float, failures: int) -> float:
        """Return how long a source is skipped after consecutive failures."""
        (supplier,) = self.tracked_sources.usable([IP], now)
        supplier.record_request(now)
        supplier.failures = failures
        supplier.is_slow = not failures
        self.tracked_sources.skip_faulty(now, 0)
        self.assertEqual([], self.tracked_sources.usable([IP], now))
        return supplier.skipped_until - now

    def test_refused_once(self) -> None:
        """A restarting agent is skipped only for a second.

        Agents that were killed and back within a second were skipped for eight,
        and shared their source meanwhile with the agent after them.
        """
        self.assertEqual(1, self.skip_seconds(0, 3))

    def test_refused_repeatedly(self) -> None:
        """The time doubles each time that a source refuses connections."""
        skip_times = [self.skip_seconds(now, 3) for now in (0, 10, 20, 30, 40)]
        self.assertEqual([1, 2, 4, 8, 8], skip_times)

    def test_slow_source(self) -> None:
        """A source that responds slowly is skipped for the longest time."""
        self.assertEqual(8, self.skip_seconds(0, 0))
