"""Limit of retries to a share of the first attempts.

When many endpoints fail at once, unlimited retries of all failed requests
overload the remaining endpoints, and the overload outlasts its cause. With the
limit, the load during a full outage is at most ``1 + share`` times the load of
the first attempts.
"""

from __future__ import annotations

import dataclasses
import typing

from clementinepass.decisions import reasons

#: Maximum number of tokens, each of which allows one retry. Ten are enough to
#: hide the crash of one endpoint at low traffic, and too few to sustain an
#: overload.
_MAX_TOKENS = 10.0
#: Maximum number of attempts of one request, including the first. If two
#: attempts have failed, a third one seldom succeeds.
_MAX_ATTEMPTS = 3
#: Maximum number of crashes after which a request is retried. The request
#: itself may cause the crashes; with one retry it crashes at most two endpoints
#: before it is quarantined.
_MAX_CRASHES = 1


class Budget(typing.Protocol):
    """Interface of a retry budget."""

    def record_first_attempt(self, now: float) -> None:
        """Record the first attempt of a request."""

    def try_acquire(self, now: float) -> bool:
        """Take the token of one retry; return whether there was one."""


@dataclasses.dataclass(slots=True, frozen=True)
class FailedAttempt:
    """A failed attempt that may be retried."""

    #: Number of attempts of the request so far, including this one.
    attempts: int
    #: Number of these attempts during which the endpoint crashed.
    crashes: int
    #: Whether the endpoint may have run the request in this attempt.
    may_have_run: bool
    #: Whether running the request twice is harmless.
    idempotent: bool


class UnboundedBudget:
    """Baseline: every retry is allowed."""

    __slots__ = ()

    def record_first_attempt(self, now: float) -> None:
        """Ignore the request."""

    def try_acquire(self, now: float) -> bool:
        """Allow the retry."""
        return True


class RetryBudget:
    """Token bucket that first attempts fill and retries drain.

    :param share: tokens that each first attempt adds.
    """

    __slots__ = ('_share', '_tokens')

    def __init__(self, share: float) -> None:
        self._share = share
        self._tokens = _MAX_TOKENS

    @classmethod
    def from_share(cls, share: float) -> RetryBudget:
        """Create a budget of ``share`` retries for each first attempt."""
        return cls(share)

    def record_first_attempt(self, now: float) -> None:
        """Record the first attempt of a request."""
        self._tokens = min(self._tokens + self._share, _MAX_TOKENS)

    def try_acquire(self, now: float) -> bool:
        """Take the token of one retry; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def decide(attempt: FailedAttempt, budget: Budget, now: float) -> reasons.Retry:
    """Decide whether a failed attempt is retried.

    The budget is checked last, so that a request that must not run again never
    consumes a token.
    """
    if attempt.may_have_run and not attempt.idempotent:
        return reasons.Retry.MAY_HAVE_RUN
    if attempt.crashes > _MAX_CRASHES:
        return reasons.Retry.CRASHED_TWICE
    if attempt.attempts >= _MAX_ATTEMPTS:
        return reasons.Retry.TOO_MANY_ATTEMPTS
    if budget.try_acquire(now):
        return reasons.Retry.ALLOWED
    return reasons.Retry.BUDGET_SPENT
