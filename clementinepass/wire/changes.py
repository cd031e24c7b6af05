"""Numbered states whose changes peers wait for."""

from __future__ import annotations

import asyncio
import contextlib


class Sequence:
    """The number of the current state; the first is 1."""

    __slots__ = ('_changed', 'number')

    def __init__(self) -> None:
        #: Number of the current state.
        self.number = 1
        self._changed = asyncio.Event()

    def advance(self) -> None:
        """Number a new state and wake all who wait for one."""
        self.number += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_newer(self, known: int, timeout: float) -> None:
        """Return once the number differs from ``known``, or after a timeout.

        A cancellation is always raised, also if the state changes at the same
        time. The Cap'n Proto library frees the results of a call whose
        connection is lost and cancels the method; a method that writes to them
        afterwards crashes the process.

        :param timeout: in seconds.
        """
        if known != self.number:
            return
        # asyncio.wait_for() would return normally if both happen at once.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._changed.wait()
