"""Cold endpoints: few requests in any second, and a crash well above that."""

from __future__ import annotations

import bisect
import math

#: An endpoint crashes when it gets this many times what it takes.
_CRASH_FACTOR = 2


class ColdLimit:
    """What an endpoint takes while it is cold, and what it got.

    :param per_second: requests in any second; infinite for an endpoint that is
        never cold.
    :param seconds: for which it is cold after a start.
    """

    __slots__ = ('_until', 'arrivals', 'per_second', 'seconds')

    def __init__(self, per_second: float = math.inf, seconds: float = 0):
        self.per_second = per_second
        self.seconds = seconds
        self._until = float('-inf')
        #: Times of the requests that came while it was cold.
        self.arrivals: list[float] = []

    def begin(self, now: float) -> None:
        """Become cold."""
        self._until = now + self.seconds

    def left_ms(self, now: float) -> float:
        """Return the milliseconds for which the endpoint stays cold."""
        return max(self._until - now, 0) * 1000

    def record(self, now: float) -> bool:
        """Count a request; return whether it makes the endpoint crash."""
        if now >= self._until:
            return False
        self.arrivals.append(now)
        latest = sum(now - at < 1 for at in self.arrivals)
        return latest > _CRASH_FACTOR * self.per_second


def most_in_a_second(arrivals: list[float]) -> int:
    """Return the largest number of arrivals in any second."""
    arrivals = sorted(arrivals)
    return max(
        (
            bisect.bisect_left(arrivals, at + 1) - index
            for index, at in enumerate(arrivals)
        ),
        default=0,
    )
