"""Learn how long a unit of cost occupies a slot."""

from __future__ import annotations

#: Weight of a new sample; about the last 20 requests count.
_GAIN = 0.1
#: Deviations added for the cautious estimate.
_CONSERVATIVE_DEVIATIONS = 2


class ServiceTime:
    """Smoothed mean and mean deviation of the seconds for a unit of cost.

    The same estimator as TCP's for its retransmission timeout: it follows a
    shift within some tens of requests and a single outlier hardly moves it.
    """

    __slots__ = ('_deviation', '_mean')

    def __init__(self) -> None:
        self._mean: float = 0
        self._deviation: float = 0

    @property
    def mean(self) -> float:
        """Return the expected seconds for a unit; 0 while none is known."""
        return self._mean

    @property
    def conservative(self) -> float:
        """Return the seconds that few requests exceed."""
        return self._mean + _CONSERVATIVE_DEVIATIONS * self._deviation

    def observe(self, seconds: float, cost: float) -> None:
        """Note that work of ``cost`` took ``seconds``."""
        sample = seconds / cost
        if not self._mean:
            self._mean = sample
            self._deviation = sample / 4
            return
        error = sample - self._mean
        self._mean += _GAIN * error
        self._deviation += _GAIN * (abs(error) - self._deviation)
