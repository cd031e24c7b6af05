"""Reasons of decisions, used in answers and as metrics labels."""

from __future__ import annotations

import enum


class Refusal(enum.Enum):
    """Why a request was refused; a refused request was not run."""

    #: The team's queue is full.
    QUEUE_FULL = 'queue_full'
    #: The part of the team's queue that is open to the request's priority
    #: class is full; the rest is kept for more urgent requests.
    BROWN_OUT = 'brown_out'
    #: The request can no longer be answered before its deadline.
    DEADLINE = 'deadline'
    #: A more urgent request of the same team replaced it in the queue.
    DISPLACED = 'displaced'
    #: No endpoint has any capacity at present.
    NO_CAPACITY = 'no_capacity'
    #: The team is unknown or has no promise.
    UNKNOWN_TEAM = 'unknown_team'


class Selection(enum.Enum):
    """Why an endpoint was chosen."""

    #: It has the lowest expected cost of the compared endpoints.
    LEAST_COST = 'least_cost'
    #: It probably has the request's prefix cached, and this saves at least
    #: as much time as the request has to wait longer there.
    WARM_PREFIX = 'warm_prefix'
    #: All candidates appear full or are ejected; the admission gate at the
    #: endpoint decides.
    NONE_USABLE = 'none_usable'
    #: It was next in round-robin order.
    ROUND_ROBIN = 'turn'


class Retry(enum.Enum):
    """Whether a failed attempt may be retried, or why not."""

    #: The attempt may be retried.
    ALLOWED = 'allowed'
    #: The retry budget, a share of the first attempts, is exhausted.
    BUDGET_SPENT = 'budget_spent'
    #: The request was in flight during two crashes of endpoints.
    CRASHED_TWICE = 'crashed_twice'
    #: The attempt may have run, and the request must not run twice.
    MAY_HAVE_RUN = 'may_have_run'
    #: The maximum number of attempts has been made.
    TOO_MANY_ATTEMPTS = 'too_many_attempts'
