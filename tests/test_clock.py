"""Tests of the clocks."""

from __future__ import annotations

import testtools

from clementinepass import clock


class ManualClockTest(testtools.TestCase):
    """The manual clock changes only by calls of a test."""

    def test_advances(self) -> None:
        """Advancing adds exactly the given seconds."""
        manual = clock.ManualClock(start=5)
        manual.advance(2)
        self.assertEqual(7, manual.now())
