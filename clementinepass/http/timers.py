"""A timeout that is postponed often and rarely expires."""

from __future__ import annotations

import math
import typing

if typing.TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable


class Timer:
    """A timeout that costs nothing to postpone.

    The event loop keeps a cancelled timer until its next iteration, so that a
    timer for each part of a message adds up. This one stays scheduled when it
    is postponed or stopped, and looks at its deadline when it is called.

    :param loop: the event loop.
    """

    __slots__ = ('_callback', '_deadline', '_handle', '_loop')

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._handle: asyncio.TimerHandle | None = None
        self._callback: Callable[[], object] | None = None
        self._deadline = math.inf

    @property
    def is_running(self) -> bool:
        """Return whether the timer was started and has not expired."""
        return self._callback is not None

    def start(self, seconds: float, callback: Callable[[], object]) -> None:
        """Start the timer, in place of an earlier start.

        :param callback: called once after ``seconds``.
        """
        self._callback = callback
        self._deadline = self._loop.time() + seconds
        if self._handle is not None:
            if self._handle.when() <= self._deadline:
                return
            self._handle.cancel()
        self._schedule()

    def stop(self) -> None:
        """Stop the timer; it can be started again."""
        self._callback = None

    def close(self) -> None:
        """Stop the timer for good."""
        self._callback = None
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _schedule(self) -> None:
        self._handle = self._loop.call_at(self._deadline, self._expire)

    def _expire(self) -> None:
        handle = typing.cast('asyncio.TimerHandle', self._handle)
        self._handle = None
        callback = self._callback
        if callback is None:
            return
        if handle.when() < self._deadline:
            self._schedule()
            return
        self._callback = None
        callback()
