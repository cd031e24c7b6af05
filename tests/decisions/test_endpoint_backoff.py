"""Tests of the pause of an endpoint and its return to full use."""

from __future__ import annotations

import math

import testtools
from hypothesis import given
from hypothesis import strategies as st

from clementinepass.decisions import endpoint_backoff, first_event


class BackoffTest(testtools.TestCase):
    """No request is admitted during a pause, and few of them after it."""

    def setUp(self) -> None:
        """Create the state of an endpoint that has not asked for a pause."""
        super().setUp()
        self.backoff = endpoint_backoff.Backoff()

    def admitted_at(self, now: float, most: int = 20) -> int:
        """Return how many requests are admitted at once."""
        sent = 0
        while self.backoff.admits(now) and sent < most:
            self.backoff.record_sent(now)
            sent += 1
        return sent

    def test_pause(self) -> None:
        """No request is admitted before the end of the pause."""
        self.assertTrue(self.backoff.admits(0))
        self.backoff.record_rejection(3, 1, 1)
        for now in (1, 2.5, 3.99):
            self.assertFalse(self.backoff.admits(now), now)
        self.assertTrue(self.backoff.is_paused(2))
        self.assertTrue(self.backoff.has_paused_since(0.9))
        self.assertEqual(1.5, self.backoff.seconds_left(2.5))
        self.assertTrue(self.backoff.admits(4))
        self.assertFalse(self.backoff.has_paused_since(4))
        self.assertEqual(0, self.backoff.seconds_left(5))

    def test_rejection_without_pause(self) -> None:
        """A rejection without a time, or with none, is no pause."""
        for seconds in (None, 0.0):
            self.backoff.record_rejection(seconds, 1, 1)
            self.assertEqual(20, self.admitted_at(1))

    @given(
        st.lists(
            st.tuples(st.floats(0, 10), st.floats(0, 100)),
            min_size=1,
        )
    )
    def test_longest_pause_counts(
        self, rejections: list[tuple[float, float]]
    ) -> None:
        """A pause ends at the latest time asked for, bounded, in any order."""
        backoff = endpoint_backoff.Backoff()
        for now, seconds in rejections:
            backoff.record_rejection(seconds, -1, now)
        end = max(
            (
                now + min(seconds, endpoint_backoff.MAX_PAUSE_SECONDS)
                for now, seconds in rejections
                if seconds
            ),
            default=0,
        )
        self.assertFalse(backoff.is_paused(end))
        if end:
            self.assertTrue(backoff.is_paused(math.nextafter(end, 0)))

    def test_hours(self) -> None:
        """An endpoint that asks for hours is tried again after a minute."""
        self.backoff.record_rejection(86400, 0, 0)
        self.assertFalse(self.backoff.admits(59))
        self.assertEqual(1, self.admitted_at(60))

    def test_one_request_first(self) -> None:
        """After a pause one request at a time is admitted until one succeeds."""
        self.backoff.record_rejection(1, 0, 0)
        self.assertEqual(1, self.admitted_at(1))
        self.assertEqual(0, self.admitted_at(1.1))
        self.backoff.record_end(1)
        self.assertEqual(1, self.admitted_at(1.1))

    def test_slow_start(self) -> None:
        """Each accepted request allows one more, until there is no limit."""
        self.backoff.record_rejection(1, 0, 0)
        admitted = []
        for now in (1.0, 1.2, 1.4, 1.6, 1.8):
            admitted.append(self.admitted_at(now))
            for _ in range(admitted[-1]):
                self.backoff.record_acceptance(now)
        self.assertEqual([1, 2, 4, 8, 20], admitted)

    def test_request_in_a_queue(self) -> None:
        """A request without an answer does not hold up others for long."""
        self.backoff.record_rejection(1, 0, 0)
        self.assertEqual(1, self.admitted_at(1))
        self.assertEqual(0, self.admitted_at(1.29))
        self.assertEqual(1, self.admitted_at(1.31))

    def test_acceptance_before_the_pause(self) -> None:
        """Answers to requests that were sent before the pause prove nothing."""
        self.backoff.record_rejection(1, 0.4, 0.5)
        for _ in range(20):
            self.backoff.record_acceptance(0.4)
        self.assertFalse(self.backoff.admits(1.4))
        self.assertEqual(1, self.admitted_at(1.5))

    def test_rejection_during_recovery(self) -> None:
        """A rejection during the recovery allows one request again."""
        self.backoff.record_rejection(1, 0, 0)
        self.assertEqual(1, self.admitted_at(1))
        self.backoff.record_acceptance(1)
        self.assertEqual(2, self.admitted_at(1.1))
        self.backoff.record_end(1.1)
        self.backoff.record_end(1.1)
        self.backoff.record_rejection(None, 1.1, 1.2)
        self.assertEqual(1, self.admitted_at(1.2))
        self.backoff.record_end(1.2)
        self.backoff.record_rejection(1, 1.2, 1.3)
        self.assertEqual(0, self.admitted_at(2.29))
        self.assertEqual(1, self.admitted_at(2.3))


class ImplicitPauseTest(testtools.TestCase):
    """An endpoint that turns everything away is paused without asking."""

    def setUp(self) -> None:
        """Create the state of an endpoint without rejections."""
        super().setUp()
        self.backoff = endpoint_backoff.Backoff()

    def test_grows(self) -> None:
        """From the third rejection in a row on there is a growing pause."""
        now = 0.0
        pauses = []
        for _ in range(2000):
            self.backoff.record_rejection(None, now, now)
            pauses.append(round(self.backoff.seconds_left(now), 3))
            now += self.backoff.seconds_left(now)
        self.assertEqual([0, 0, 0.1, 0.2, 0.4, 0.8, 1, 1], pauses[:8])
        self.assertEqual(1, pauses[-1])

    def test_acceptance_between(self) -> None:
        """An endpoint that accepts some of the requests is not paused."""
        for now in range(20):
            self.backoff.record_rejection(None, now, now)
            self.backoff.record_rejection(None, now, now)
            self.backoff.record_acceptance(now)
            self.assertFalse(self.backoff.is_paused(now))

    def test_requests_sent_before(self) -> None:
        """Many requests that were rejected at once cause one short pause."""
        for _ in range(20):
            self.backoff.record_rejection(None, 1, 1)
        self.assertAlmostEqual(0.1, self.backoff.seconds_left(1))

    def test_asked_for_less(self) -> None:
        """The pause grows if the endpoint asks for a shorter one each time."""
        now = 0.0
        for _ in range(8):
            self.backoff.record_rejection(0.01, now, now)
            seconds = self.backoff.seconds_left(now)
            now += seconds
        self.assertAlmostEqual(1, seconds)


class WaitTest(testtools.TestCase):
    """How long requests wait, and what those that cannot are told."""

    def test_max_wait(self) -> None:
        """Half of the time is left for the answer, or the first event."""
        self.assertEqual(3, endpoint_backoff.max_wait(6, math.inf))
        self.assertAlmostEqual(1.65, endpoint_backoff.max_wait(6, 2))
        self.assertLess(endpoint_backoff.max_wait(6, 0.3), 0)

    def test_retry_after(self) -> None:
        """The time left, within the bounds that callers honour."""
        for seconds, expected in (
            (0, 0.25),
            (1.5, 1.5),
            (30, first_event.MAX_RETRY_AFTER),
        ):
            self.assertEqual(expected, endpoint_backoff.retry_after(seconds))
