"""Tests of which requests a draining entry accepts, and when it exits."""

from __future__ import annotations

import testtools

from clementinepass.decisions import departure

GRACE = 8.0
LONGEST_TIMEOUT = 6.0
MAX_TTL = 5.0
NO_LIST = float('-inf')


class DepartureTest(testtools.TestCase):
    """All entries are replaced in turn while callers send requests.

    A stream that arrived 3.5 s after SIGTERM, by a list that its caller had
    kept, lasted four seconds and was cut off when the entry exited after 7.4 s.
    Other callers found no entry at all, since each entry stayed that long while
    idle.
    """

    def setUp(self) -> None:
        """Start a drain at second 100."""
        super().setUp()
        self.acceptance_seconds = departure.accepting_seconds(
            GRACE, (LONGEST_TIMEOUT, 1)
        )
        self.policy = departure.list_policy(self.acceptance_seconds, MAX_TTL)
        self.plan = departure.plan_drain(100, GRACE, self.policy, NO_LIST)

    def test_accepts_requests_due_before_end(self) -> None:
        """A request is accepted if its answer is due before the entry's end."""
        self.assertTrue(self.plan.accepts(self.plan.last_answer_at))
        self.assertFalse(self.plan.accepts(self.plan.last_answer_at + 0.001))
        self.assertLess(self.plan.last_answer_at, self.plan.end_at)
        self.assertLess(self.plan.end_at, 100 + GRACE)

    def test_lists_expire_while_accepting(self) -> None:
        """Callers that keep a list longest arrive while requests are accepted.

        This includes a list that another entry gave out half a second after
        SIGTERM, as the announcement of the drain was late.
        """
        latest_arrival = (
            100 + 0.5 + departure.max_kept_seconds(self.policy.ttl_seconds)
        )
        self.assertTrue(self.plan.accepts(latest_arrival + LONGEST_TIMEOUT))

    def test_stays_until_lists_expire(self) -> None:
        """The entry stays until the last list that names it expires."""
        listed_until = 100 + max(self.policy.listed_seconds, 0.5)
        kept_seconds = departure.max_kept_seconds(self.policy.ttl_seconds)
        self.assertGreaterEqual(
            self.plan.lists_expire_at, listed_until + kept_seconds
        )
        with_own_list = departure.plan_drain(100, GRACE, self.policy, 104.5)
        self.assertGreaterEqual(with_own_list.lists_expire_at, 104.5)
        with_late_list = departure.plan_drain(100, GRACE, self.policy, 200)
        self.assertEqual(
            with_late_list.last_answer_at, with_late_list.lists_expire_at
        )

    def test_listed_while_accepting(self) -> None:
        """Callers that heed a list's TTL arrive while requests are accepted."""
        latest_arrival = self.policy.listed_seconds + self.policy.ttl_seconds
        self.assertLessEqual(latest_arrival, self.acceptance_seconds)

    def test_exits_when_idle_and_unlisted(self) -> None:
        """The entry stays while lists name it or requests are in progress."""
        lists_end = self.plan.lists_expire_at
        self.assertFalse(self.plan.may_end(lists_end - 0.1, 0))
        self.assertTrue(self.plan.may_end(lists_end, 0))
        self.assertFalse(self.plan.may_end(lists_end, 1))
        self.assertTrue(self.plan.may_end(self.plan.end_at, 1))

    def test_timeout_longer_than_grace(self) -> None:
        """A route with a timeout beyond the grace period does not count."""
        long_timeout = 2 * GRACE
        acceptance_seconds = departure.accepting_seconds(
            GRACE, (long_timeout, LONGEST_TIMEOUT)
        )
        self.assertEqual(self.acceptance_seconds, acceptance_seconds)
        self.assertEqual(0, departure.accepting_seconds(GRACE, (long_timeout,)))
        self.assertFalse(self.plan.accepts(100 + long_timeout))

    def test_ttl_bounds(self) -> None:
        """The TTL has a minimum and a maximum, and the platform's limit."""
        self.assertEqual(0.2, departure.list_policy(60, 0.2).ttl_seconds)
        self.assertLess(departure.list_policy(60, MAX_TTL).ttl_seconds, 2)
        self.assertGreater(departure.list_policy(0, MAX_TTL).ttl_seconds, 0)

    def test_long_grace(self) -> None:
        """A long grace period does not keep the entry listed for minutes."""
        acceptance_seconds = departure.accepting_seconds(
            300, (LONGEST_TIMEOUT,)
        )
        policy = departure.list_policy(acceptance_seconds, MAX_TTL)
        self.assertLess(policy.listed_seconds, 5)

    def test_no_grace(self) -> None:
        """Without a grace period the entry exits and cuts off requests."""
        plan = departure.plan_drain(100, 0, self.policy, NO_LIST)
        self.assertTrue(plan.may_end(100, 1))
        self.assertFalse(plan.accepts(100.5))

    def test_short_grace(self) -> None:
        """A short grace period leaves time to close unread connections.

        An entry with a grace period of 2 s ended after 2.1 s.
        """
        for grace in (1, 2, GRACE):
            plan = departure.plan_drain(100, grace, self.policy, NO_LIST)
            self.assertLessEqual(plan.end_at, 100 + grace - 0.5)

    def test_retry_after(self) -> None:
        """A caller retries sooner if another entry is ready."""
        self.assertLess(departure.retry_after(1), departure.retry_after(0))
