"""Decide whether a request that has no answer yet is sent once more."""

from __future__ import annotations

import enum
import typing

#: Attempts of one request in all, those that did not run included. Endpoints
#: that turn a request away are few; a request that met five of them would
#: meet a sixth.
_MOST_ATTEMPTS = 4
#: Seconds that must be left for another attempt to be of use. Connecting and
#: the shortest answers take some tens of milliseconds.
_LEAST_SECONDS = 0.06


class NextTry(enum.Enum):
    """Whether to send once more, and why not."""

    ALLOWED = 'allowed'
    #: It may have run, and must not run twice.
    MAY_HAVE_RUN = 'may_have_run'
    #: It ran as often as its route allows.
    ENOUGH_RUNS = 'enough_runs'
    ENOUGH_ATTEMPTS = 'enough_attempts'
    NO_TIME = 'no_time'


class Past(typing.NamedTuple):
    """What is known of a request's attempts.

    :param runs: attempts that ran, or may have.
    :param most_runs: how often the route allows it to run.
    :param repeatable: whether a second run does no harm.
    :param seconds_left: until the final answer is due.
    """

    attempts: int
    runs: int
    most_runs: int
    repeatable: bool
    seconds_left: float


def decide(past: Past) -> NextTry:
    """Decide by what is allowed; the budget is asked after this."""
    if past.runs and not past.repeatable:
        return NextTry.MAY_HAVE_RUN
    if past.runs >= past.most_runs:
        return NextTry.ENOUGH_RUNS
    if past.attempts >= _MOST_ATTEMPTS:
        return NextTry.ENOUGH_ATTEMPTS
    if past.seconds_left < _LEAST_SECONDS:
        return NextTry.NO_TIME
    return NextTry.ALLOWED
