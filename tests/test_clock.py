"""Tests of the clocks."""

from __future__ import annotations

import testtools

from clementinepass import clock


class ManualClockTest(testtools.TestCase):
    """The manual clock moves only when told to."""

    def test_advances(self) -> None:
        """Advancing moves the time by just that much."""
        manual = clock.ManualClock(start=5)
        manual.advance(2)
        self.assertEqual(7, manual.now())
