"""The reasons that decisions give, for answers and metrics labels."""

from __future__ import annotations

import enum


class Refusal(enum.Enum):
    """Why a request was refused; in each case it was not run."""

    #: The team's queue, or the part open to the class, is full.
    QUEUE_FULL = 'queue_full'
    #: The class is refused early so that more urgent work finds room.
    BROWN_OUT = 'brown_out'
    #: The request could not be answered before its deadline any more.
    DEADLINE = 'deadline'
    #: A more urgent request of the same team took its place in the queue.
    DISPLACED = 'displaced'
    #: No endpoint has capacity at present.
    NO_CAPACITY = 'no_capacity'
    #: The team is unknown, or nothing is promised to it.
    UNKNOWN_TEAM = 'unknown_team'


class Selection(enum.Enum):
    """Why an endpoint was chosen."""

    #: It was the cheapest of those compared.
    LEAST_COST = 'least_cost'
    #: It probably holds the request's prefix, and its wait is acceptable.
    WARM_PREFIX = 'warm_prefix'
    #: All candidates seemed full or were ejected; the gate decides.
    NONE_USABLE = 'none_usable'
    #: It was next in turn.
    ROUND_ROBIN = 'turn'


class Retry(enum.Enum):
    """Whether a failed attempt may be repeated, and why not."""

    #: The attempt may be repeated.
    ALLOWED = 'allowed'
    #: Retries have used up their share of fresh traffic.
    BUDGET_SPENT = 'budget_spent'
    #: The request was in flight when an endpoint died, for a second time.
    CRASHED_TWICE = 'crashed_twice'
    #: The attempt may have run and must not run twice.
    MAY_HAVE_RUN = 'may_have_run'
    #: The request has been tried as often as is allowed.
    TOO_MANY_ATTEMPTS = 'too_many_attempts'
