"""Turns of connections whose input is costly to parse."""

from __future__ import annotations

import asyncio
import collections
import typing


class WaitingConnection(typing.Protocol):
    """A connection that is not read until its turn."""

    def take_turn(self) -> None:
        """Read on after other connections had a turn."""


class ReadingTurns:
    """Lets one costly connection be read in each iteration of the event loop.

    A segment of very small chunks takes milliseconds. Without turns, an
    ordinary request would wait for the segments of all such connections, once
    in each iteration that it needs.
    """

    __slots__ = ('_is_scheduled', '_waiting')

    def __init__(self) -> None:
        self._waiting: collections.deque[WaitingConnection] = (
            collections.deque()
        )
        self._is_scheduled = False

    def wait(self, connection: WaitingConnection) -> None:
        """Give a connection a turn after those that already wait."""
        self._waiting.append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._start_next)

    def _start_next(self) -> None:
        self._is_scheduled = False
        connection = self._waiting.popleft()
        # It may wait again at once, behind the others.
        self._schedule()
        connection.take_turn()
