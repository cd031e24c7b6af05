"""Tests of the local share of an endpoint's limit."""

from __future__ import annotations

import math

import testtools

from clementinepass.decisions import rate_limit

#: Seconds by which a share that is new is usable in any case.
USABLE = 2.0


def make(rate: float = 2, share: float = 2) -> rate_limit.RateLimit:
    """Return a limit that was named at 0, with a share."""
    limit = rate_limit.RateLimit()
    limit.update(rate, 0, 0)
    limit.set_share(share, 0)
    return limit


def count_sent(
    limit: rate_limit.RateLimit, start: float, seconds: float
) -> int:
    """Send whenever it is allowed; return how often."""
    sent = 0
    for step in range(int(seconds * 100)):
        now = start + step / 100
        if limit.admits(now):
            limit.record_sent(now)
            sent += 1
    return sent


class RateLimitTest(testtools.TestCase):
    """The limit of one endpoint, at one entry."""

    def test_no_limit(self) -> None:
        """Without a limit everything is admitted."""
        limit = rate_limit.RateLimit()
        self.assertEqual(100, count_sent(limit, 0, 1))
        self.assertEqual(0, limit.seconds_left(5))

    def test_rate(self) -> None:
        """In any time the share is used, and hardly more."""
        for share in (0.1, 0.5, 1, 2, 7, 40):
            limit = make(share, share)
            sent = count_sent(limit, USABLE, 40)
            self.assertLessEqual(sent, 41.25 * share + 1)
            self.assertGreaterEqual(sent, 39 * share - 1)

    def test_after_idle_time(self) -> None:
        """A time without requests does not save up more than a moment."""
        limit = make(2, 2)
        sent = count_sent(limit, 1000, 1)
        self.assertLessEqual(sent, 4)

    def test_no_share(self) -> None:
        """An entry without a share sends nothing."""
        limit = make(2, 0)
        self.assertEqual(0, count_sent(limit, USABLE, 10))
        self.assertEqual(math.inf, limit.seconds_left(5))

    def test_handover(self) -> None:
        """A share is used only when the entry before has heard of it."""
        limit = make(2, 0)
        limit.set_share(2, 10)
        self.assertFalse(limit.admits(10.9))
        self.assertTrue(limit.admits(11.1))
        limit.set_share(0, 12)
        self.assertFalse(limit.admits(12))

    def test_debt(self) -> None:
        """What was sent beyond the share is taken from later requests."""
        limit = make(1, 1)
        for _ in range(3):
            limit.record_sent(5)
        self.assertGreater(limit.seconds_left(5), 2)

    def test_changes(self) -> None:
        """Higher and lower limits are applied, old news is not."""
        limit = make(2, 2)
        self.assertTrue(limit.update(1, 10, 10))
        self.assertFalse(limit.update(5, 9, 10.5))
        self.assertFalse(limit.update(1, 11, 11))
        self.assertEqual(1, limit.rate)

    def test_end(self) -> None:
        """Only answers to requests sent after it was named end a limit."""
        limit = make(2, 2)
        limit.update(2, 10, 10)
        self.assertFalse(limit.ends_with(9.9))
        self.assertTrue(limit.ends_with(10.1))
        self.assertTrue(limit.update(None, 10.2, 10.2))
        self.assertTrue(limit.admits(10.2))
        self.assertFalse(limit.ends_with(11))

    def test_zero(self) -> None:
        """An endpoint that takes nothing is still asked now and then."""
        limit = rate_limit.RateLimit()
        limit.update(0, 0, 0)
        self.assertGreater(limit.rate or 0, 0)
        self.assertLess(limit.rate or 0, 0.2)

    def test_begun_since(self) -> None:
        """It is known which requests were sent before the limit was."""
        limit = make()
        self.assertTrue(limit.has_begun_since(-1))
        self.assertFalse(limit.has_begun_since(0.1))
        self.assertFalse(rate_limit.RateLimit().has_begun_since(-1))


class ShareCountTest(testtools.TestCase):
    """How many entries share a limit."""

    def test_burst_of_all(self) -> None:
        """Bursts of all that share a limit stay within its bound."""
        for rate in (0.1, 0.5, 1, 1.2, 2, 3, 5, 10, 50):
            for entries in (1, 2, 3, 9, 150):
                count = rate_limit.share_count(rate, entries)
                limits = [make(rate, rate / count) for _ in range(count)]
                sent = sum(count_sent(limit, 100, 4) for limit in limits)
                self.assertLessEqual(sent, 1.5 * rate * 4 + 5, (rate, entries))
                self.assertLessEqual(count, entries)
