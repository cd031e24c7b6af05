"""Tests of the stand-ins' rate limits, without waiting."""

from __future__ import annotations

import testtools

from clementinepass import clock
from standins import limits


class RateLimitTest(testtools.TestCase):
    """Calls beyond the rate wait."""

    def test_refills(self):
        """A second's worth is there at once; the rest comes with time."""
        rate = limits.RateLimit(10)
        taken = [rate.take(1, now=100) for _ in range(10)]
        self.assertEqual([0] * 10, taken)
        self.assertEqual(0.1, rate.take(1, now=100))
        self.assertEqual(0, rate.take(1, now=100.125))

    def test_large_batch(self):
        """More than a second's worth at once is paid for afterwards."""
        rate = limits.RateLimit(10)
        self.assertEqual(0, rate.take(30, now=100))
        self.assertAlmostEqual(2.1, rate.take(1, now=100))


class LinkTest(testtools.TestCase):
    """All users of a link share its speed."""

    def test_shared(self):
        """Two readers of a link take twice as long as one."""
        timer = clock.ManualClock()
        link = limits.Link(limits.PIECE)
        content = b'a' * (2 * limits.PIECE)
        senders = [
            link.send(content, timer.now, timer.advance) for _ in range(2)
        ]
        for _ in range(2):
            for sender in senders:
                next(sender)
        self.assertEqual(4, timer.now())
