"""Clocks, passed in so that tests can run without waiting."""

from __future__ import annotations

import time
import typing


class Clock(typing.Protocol):
    """Tell the time; monotonic, in seconds."""

    def now(self) -> float:
        """Return monotonic seconds."""


class MonotonicClock:
    """Tell the time of the operating system's monotonic clock."""

    __slots__ = ()

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()


class ManualClock:
    """Tell the time that a test has set."""

    __slots__ = ('_now',)

    def __init__(self, start: float = 0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the time set, in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the time forward by ``seconds``."""
        self._now += seconds
