"""Recognize callers that come back after a refusal.

A caller that is refused comes back once, with what is left of its time. Nothing
else in its request shows that, as the request has a new id and may come to any
entry. Its answer will be late, so that it goes behind requests that can still
be answered in time, but it must not be refused again lightly: to be refused
twice is the worst that can happen to a caller.
"""

from __future__ import annotations

import collections

#: Seconds by which a caller's remaining time must be shorter than usual. The
#: timeouts of new requests differ by up to 0.7 s, and requests that were taken
#: for returning ones were answered late. No caller of a contended service is
#: told to come back sooner.
_MIN_ELAPSED_SECONDS = 0.75
#: Precision in seconds with which timeouts are compared.
_PRECISION_SECONDS = 0.1
#: Requests after which older ones count half.
_HALVING_COUNT = 256
#: Requests without which the usual timeout of a route is not known.
_MIN_COUNT = 8


class UsualTimeouts:
    """The timeouts with which callers send requests, by route.

    The usual timeout of a route is the most frequent one. A few callers may
    wait for longer than others, and those that come back have any time left.
    """

    __slots__ = ('_counts_by_route',)

    def __init__(self) -> None:
        self._counts_by_route: dict[str, collections.Counter[int]] = {}

    def observe(self, route: str, seconds: float) -> float:
        """Record a request's timeout; return the seconds spent before.

        :param seconds: for which its caller still waits.
        :returns: how long ago the caller first sent the request; 0 if this is
            its first attempt, or if that is not known.
        """
        counts = self._counts_by_route.setdefault(route, collections.Counter())
        counts[round(seconds / _PRECISION_SECONDS)] += 1
        if counts.total() > _HALVING_COUNT:
            self._counts_by_route[route] = collections.Counter(
                {
                    timeout: count // 2
                    for timeout, count in counts.items()
                    if count > 1
                }
            )
        if counts.total() < _MIN_COUNT:
            return 0
        usual, _ = counts.most_common(1)[0]
        elapsed = usual * _PRECISION_SECONDS - seconds
        return elapsed if elapsed >= _MIN_ELAPSED_SECONDS else 0
