"""Time in which the machine is suspended."""

from __future__ import annotations

import time
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable


def _clock_lead() -> float:
    """Return by how much the clock with suspensions is ahead, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


class SuspensionMeter:
    """Measures the time that the monotonic clock does not count.

    Ages by that clock are too small after a suspension.

    :param clock_lead: returns the seconds by which a clock that counts
        suspensions is ahead of the monotonic one.
    """

    __slots__ = ('_clock_lead', '_lead')

    def __init__(self, clock_lead: Callable[[], float] = _clock_lead) -> None:
        self._clock_lead = clock_lead
        self._lead = clock_lead()

    def take(self) -> float:
        """Return the seconds of suspension since the last call."""
        before = self._lead
        self._lead = self._clock_lead()
        return max(self._lead - before, 0)
