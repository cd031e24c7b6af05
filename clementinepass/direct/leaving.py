"""Leave without a cut answer: from SIGTERM to the end of the process.

Callers keep a list of entries for a while and use open connections until
they are told otherwise.  So a leaving entry first says so to the others and
to the platform, serves on, and tells each caller with its next answer to use
the connection no more; idle connections end last.
"""

from __future__ import annotations

import asyncio
import signal
import typing

from loguru import logger

from clementinepass.direct import members

if typing.TYPE_CHECKING:
    from clementinepass.direct import departure, gossip, node
    from clementinepass.http import front

#: The part of the time until SIGKILL for which idle connections are kept:
#: longer than callers keep a list that is in use.
_KEPT_PART = 0.7
#: The part of it at which whatever remains is ended.
_LAST_PART = 0.92
_LOOK_SECONDS = 0.05


class Leaving:
    """Wait for SIGTERM, then leave."""

    __slots__ = ('_departure', '_front', '_own', '_peers', '_told')

    def __init__(
        self,
        own: node.Node,
        callers: front.Front,
        peers: gossip.Peers,
        state: departure.Departure,
    ) -> None:
        self._departure = state
        self._own = own
        self._front = callers
        self._peers = peers
        self._told = asyncio.Event()

    async def wait(self) -> None:
        """Return when the process may end."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._told.set)
        loop.add_signal_handler(signal.SIGINT, self._told.set)
        await self._told.wait()
        begun = loop.time()
        self._departure.begun = begun
        self._peers.phase = members.Phase.LEAVING
        self._peers.speak()
        self._front.leaving = True
        logger.bind(
            connections=len(self._front.connections),
            open=self._front.busy(),
        ).info('leaving')
        await self._until(begun + self._own.duties.grace * _KEPT_PART)
        self._front.stop_listening()
        last = begun + self._own.duties.grace * _LAST_PART
        while self._front.close_idle() and loop.time() < last:
            await asyncio.sleep(_LOOK_SECONDS)
        logger.bind(
            seconds=round(loop.time() - begun, 3),
            open=self._front.busy(),
        ).info('stopped')

    async def _until(self, when: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < when:
            await asyncio.sleep(_LOOK_SECONDS)
