"""Estimate of the time for which a unit of cost occupies a slot."""

from __future__ import annotations

#: Weight of a new sample: the average covers about the last 20 requests.
_GAIN = 0.1
#: Mean deviations that the conservative estimate adds to the mean.
_CONSERVATIVE_DEVIATIONS = 2


class ServiceTime:
    """Moving average and mean deviation of the seconds for a unit of cost.

    TCP uses the same estimator for its retransmission timeout. It adapts to a
    change within some tens of requests, and a single outlier hardly affects it.
    """

    __slots__ = ('_deviation', '_mean')

    def __init__(self) -> None:
        self._mean: float = 0
        self._deviation: float = 0

    @property
    def mean(self) -> float:
        """Return the expected seconds for a unit; 0 without samples."""
        return self._mean

    @property
    def conservative(self) -> float:
        """Return the seconds for a unit that few requests exceed."""
        return self._mean + _CONSERVATIVE_DEVIATIONS * self._deviation

    def observe(self, seconds: float, cost: float) -> None:
        """Record that a request of ``cost`` took ``seconds``."""
        sample = seconds / cost
        if not self._mean:
            self._mean = sample
            self._deviation = sample / 4
            return
        error = sample - self._mean
        self._mean += _GAIN * error
        self._deviation += _GAIN * (abs(error) - self._deviation)
