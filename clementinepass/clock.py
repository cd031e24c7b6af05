"""Injectable clocks, so that tests can run without waiting."""

from __future__ import annotations

import time
import typing


class Clock(typing.Protocol):
    """Interface of a monotonic clock."""

    def now(self) -> float:
        """Return monotonic seconds."""


class MonotonicClock:
    """The operating system's monotonic clock."""

    __slots__ = ()

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()


class ManualClock:
    """Clock whose time is set by a test."""

    __slots__ = ('_now',)

    def __init__(self, start: float = 0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the time that was set, in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the time by ``seconds``."""
        self._now += seconds
