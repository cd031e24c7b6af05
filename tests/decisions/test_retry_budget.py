"""Tests of the retry budget."""

from __future__ import annotations

import testtools

from clementinepass.decisions import reasons, retry_budget


class RetryBudgetTest(testtools.TestCase):
    """Retries are limited to a share of the first attempts."""

    def test_share(self) -> None:
        """After the initial tokens, one retry is allowed per ten requests."""
        budget = retry_budget.RetryBudget.from_share(0.1)
        allowed = 0
        for _ in range(1000):
            budget.record_first_attempt(0)
            allowed += budget.try_acquire(0) + budget.try_acquire(0)
        self.assertLessEqual(allowed, 1000 * 0.1 + 10)
        self.assertGreater(allowed, 100)

    def test_limits_of_request(self) -> None:
        """A request that must not run again is not retried with any budget."""
        table = [
            ((1, 0, False, False), reasons.Retry.ALLOWED),
            ((1, 0, True, True), reasons.Retry.ALLOWED),
            ((1, 0, True, False), reasons.Retry.MAY_HAVE_RUN),
            ((1, 1, True, True), reasons.Retry.ALLOWED),
            ((2, 2, True, True), reasons.Retry.CRASHED_TWICE),
            ((3, 0, False, True), reasons.Retry.TOO_MANY_ATTEMPTS),
        ]
        for fields, expected in table:
            budget = retry_budget.RetryBudget.from_share(0.1)
            attempt = retry_budget.FailedAttempt(*fields)
            self.assertEqual(
                expected,
                retry_budget.decide(attempt, budget, 0),
            )
