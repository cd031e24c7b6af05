"""Bound retries to a share of fresh traffic.

Made for the moment when many endpoints fail at once. Without a bound every
failed request is sent again, the retries are new load on what is left, and the
overload outlives its cause. The bound makes the load in a full outage at most
``1 + share`` times the fresh traffic.
"""

from __future__ import annotations

import dataclasses
import typing

from clementinepass.decisions import reasons

#: Retries that may be saved up in quiet times. Ten hide the crash of one
#: endpoint at low traffic and are too few to keep an overload alive.
_MAX_TOKENS = 10.0
#: Attempts of one request in all. A third try seldom finds what two did not.
_MAX_ATTEMPTS = 3
#: One retry after a crash: the request itself may be what kills endpoints, so
#: it may take down two at most before it is quarantined.
_MAX_CRASHES = 1


class Budget(typing.Protocol):
    """Decide whether one more retry fits."""

    def record_first_attempt(self, now: float) -> None:
        """Note a request that is sent for the first time."""

    def try_acquire(self, now: float) -> bool:
        """Take one retry out of the budget, if there is one."""


@dataclasses.dataclass(slots=True, frozen=True)
class FailedAttempt:
    """The failed attempt that might be repeated."""

    #: Attempts so far, this one included.
    attempts: int
    #: Attempts so far that ended with the endpoint's death.
    crashes: int
    #: Whether this attempt may have run.
    may_have_run: bool
    #: Whether running the request twice does no harm.
    idempotent: bool


class UnboundedBudget:
    """The baseline: every retry is allowed."""

    __slots__ = ()

    def record_first_attempt(self, now: float) -> None:
        """Ignore the request."""

    def try_acquire(self, now: float) -> bool:
        """Allow the retry."""
        return True


class RetryBudget:
    """A token bucket that fresh requests fill and retries empty."""

    __slots__ = ('_share', '_tokens')

    def __init__(self, share: float) -> None:
        self._share = share
        self._tokens = _MAX_TOKENS

    @classmethod
    def from_share(cls, share: float) -> RetryBudget:
        """Create a budget of ``share`` retries for each fresh request."""
        return cls(share)

    def record_first_attempt(self, now: float) -> None:
        """Note a request that is sent for the first time."""
        self._tokens = min(self._tokens + self._share, _MAX_TOKENS)

    def try_acquire(self, now: float) -> bool:
        """Take one retry out of the budget, if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def decide(attempt: FailedAttempt, budget: Budget, now: float) -> reasons.Retry:
    """Decide whether a failed attempt is repeated.

    The checks that protect correctness come before the budget, so that a
    request that must not run again never uses up another's retry.
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
