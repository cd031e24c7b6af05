"""Tests of what an agent knows of its sources."""

from __future__ import annotations

import testtools

from clementinepass.direct import suppliers
from tests.direct import test_loading

IP = '10.0.0.1'


class PassedOverTest(testtools.TestCase):
    """For how long a source isn't asked."""

    def setUp(self) -> None:
        super().setUp()
        source = test_loading.Origin()
        self.known = suppliers.Suppliers(lambda ip: source)

    def passed_over_for(self, now: float, failures: int) -> float:
        """Return for how long, after so many failures in a row."""
        (one,) = self.known.usable([IP], now)
        one.record_request(now)
        one.failures = failures
        one.is_slow = not failures
        self.known.skip_faulty(now, 0)
        self.assertEqual([], self.known.usable([IP], now))
        return one.skipped_until - now

    def test_killed_and_back(self) -> None:
        """Agents were killed and back within a second.

        Each was passed over for eight, and shared its source meanwhile with
        the agent after it.
        """
        self.assertEqual(1, self.passed_over_for(0, 3))

    def test_gone_for_good(self) -> None:
        """One that refuses each time is asked ever more seldom."""
        waits = [self.passed_over_for(now, 3) for now in (0, 10, 20, 30, 40)]
        self.assertEqual([1, 2, 4, 8, 8], waits)

    def test_slow(self) -> None:
        """One that answers, but slowly, is passed over for long at once."""
        self.assertEqual(8, self.passed_over_for(0, 0))
