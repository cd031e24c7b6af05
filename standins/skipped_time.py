"""An event loop whose clock skips the time in which nothing happens.

For processes that all live in one loop and speak over loopback: seconds of
theirs take milliseconds, and how busy the machine is doesn't change what the
clock says.
"""

from __future__ import annotations

import asyncio
import selectors
import typing

_Result = typing.TypeVar('_Result')

#: Seconds for bytes that were sent on loopback to be there to read.
_ARRIVAL_SECONDS = 0.001


class _Skipping(selectors.DefaultSelector):
    """Skip ahead to the next timer when there is nothing to read."""

    def __init__(self) -> None:
        super().__init__()
        #: Seconds skipped so far.
        self.skipped: float = 0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready, or let the time pass."""
        if timeout is None or timeout <= 0:
            return super().select(timeout)
        ready = super().select(0) or super().select(_ARRIVAL_SECONDS)
        if not ready:
            self.skipped += timeout
        return ready


class _Loop(asyncio.SelectorEventLoop):
    """A loop by the skipped time alone."""

    def __init__(self) -> None:
        self._skipping = _Skipping()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return the seconds skipped since the start."""
        return self._skipping.skipped


def run(play: typing.Coroutine[typing.Any, typing.Any, _Result]) -> _Result:
    """Run a coroutine by skipped time."""
    with asyncio.Runner(loop_factory=_Loop) as runner:
        return runner.run(play)
