"""An event loop whose clock does not run while the process is delayed."""

from __future__ import annotations

import asyncio
import selectors
import time
import typing

#: Seconds by which the clock advances at most while the loop waits once, and
#: again while it runs the callbacks of one iteration.
_MAX_STEP_SECONDS = 0.01


class _Selector(selectors.DefaultSelector):
    """A selector that tells its loop when it begins and ends to wait."""

    def __init__(self) -> None:
        super().__init__()
        self.before_wait: typing.Callable[[], None] = _ignore
        self.after_wait: typing.Callable[[float], None] = _ignore

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events, or for one step of the clock."""
        self.before_wait()
        step = _MAX_STEP_SECONDS if timeout is None else max(timeout, 0)
        step = min(step, _MAX_STEP_SECONDS)
        began = time.monotonic()
        events = super().select(step)
        self.after_wait(max(time.monotonic() - began - step, 0))
        return events


class SteadyLoop(asyncio.SelectorEventLoop):
    """An event loop that no timer of which ends before events that were due.

    Callers, entries and endpoints of a test share a loop. If the process gets
    no processor for a while, timers that ended meanwhile would run before the
    events that should have come first. Such delays are left out of the clock.
    """

    def __init__(self) -> None:
        #: Seconds by which the clock is behind the monotonic clock.
        self._left_out: float = 0
        self._woken_at = time.monotonic()
        selector = _Selector()
        selector.before_wait = self._before_wait
        selector.after_wait = self._after_wait
        super().__init__(selector)

    def time(self) -> float:
        """Return the seconds of the loop's clock."""
        latest = self._woken_at + _MAX_STEP_SECONDS
        return min(time.monotonic() - self._left_out, latest)

    def _before_wait(self) -> None:
        latest = self._woken_at + _MAX_STEP_SECONDS
        self._left_out += max(time.monotonic() - self._left_out - latest, 0)

    def _after_wait(self, late: float) -> None:
        self._left_out += late
        self._woken_at = time.monotonic() - self._left_out


def _ignore(*seconds: float) -> None:
    """Do nothing: no loop uses the selector yet."""
