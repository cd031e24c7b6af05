"""Decide whether a request that has no answer yet is sent once more."""

from __future__ import annotations

import enum
import typing

#: Attempts of one request in all, those that did not run included. Endpoints
#: that turn a request away are few; a request that met five of them would
#: meet a sixth.
_MAX_ATTEMPTS = 4
#: Seconds that must be left for another attempt to be of use. Connecting and
#: the shortest answers take some tens of milliseconds.
_MIN_SECONDS_LEFT = 0.06


class RetryDecision(enum.Enum):
    """Whether to send once more, and why not."""

    ALLOWED = 'allowed'
    #: It may have run, and must not run twice.
    MAY_HAVE_RUN = 'may_have_run'
    #: It ran as often as its route allows.
    TOO_MANY_RUNS = 'enough_runs'
    TOO_MANY_ATTEMPTS = 'enough_attempts'
    NO_TIME = 'no_time'


class AttemptHistory(typing.NamedTuple):
    """What is known of a request's attempts.

    :param runs: attempts that ran, or may have.
    :param most_runs: how often the route allows it to run.
    :param repeatable: whether a second run does no harm.
    :param seconds_left: until the final answer is due.
    """

    attempts: int
    runs: int
    max_runs: int
    is_repeatable: bool
    seconds_left: float


def decide(history: AttemptHistory) -> RetryDecision:
    """Decide by what is allowed; the budget is asked after this."""
    if history.runs and not history.is_repeatable:
        return RetryDecision.MAY_HAVE_RUN
    if history.runs >= history.max_runs:
        return RetryDecision.TOO_MANY_RUNS
    if history.attempts >= _MAX_ATTEMPTS:
        return RetryDecision.TOO_MANY_ATTEMPTS
    if history.seconds_left < _MIN_SECONDS_LEFT:
        return RetryDecision.NO_TIME
    return RetryDecision.ALLOWED
