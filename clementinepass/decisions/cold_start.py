"""Divide the requests that a cold endpoint takes among entries.

An endpoint that has just started or lost its caches takes a few requests a
second of all entries together; well above that it crashes. Entries may be cut
off from one another, so that none of them knows what the others send. Each of a
fixed number of entries therefore gets a share that it keeps whatever it hears.
"""

from __future__ import annotations

import math
import typing

#: Part of the bound that the shares use. The rest covers requests that were
#: sent in one second and arrive in the next, and entries that joined lately and
#: that others do not know yet.
_USABLE_FRACTION = 0.9


class Bound(typing.NamedTuple):
    """The requests that a cold endpoint takes from all entries.

    :param rate: requests a second over a longer time.
    :param overrun: factor by which a single second may exceed the rate.
    :param slack: requests that a single second may have beyond that.
    """

    rate: float
    overrun: float
    slack: float

    @property
    def per_second(self) -> float:
        """Return the largest number of requests in any second."""
        return self.rate * self.overrun + self.slack


class Division(typing.NamedTuple):
    """How entries share a bound.

    :param entries: number of entries that may send; the others do not.
    :param share: requests a second of each of them.
    """

    entries: int
    share: float


def divide(bound: Bound, entry_count: int) -> Division:
    """Divide a bound so that no second can exceed it.

    A token bucket that holds one request lets an entry send one request more
    than its share in a second. The entries and their shares together stay
    within the bound.

    :param entry_count: entries that may share it, at least one.
    """
    usable = bound.per_second * _USABLE_FRACTION
    rate = min(bound.rate, max(usable - 1, 0))
    entries = min(max(math.floor(usable - rate), 1), entry_count)
    return Division(entries, rate / entries)
