"""Tell entries what an engine holds, and how the link of its machine is."""

from __future__ import annotations

import asyncio
import typing

from clementinepass.decisions import incarnations
from clementinepass.direct import endpoints, heartbeats

if typing.TYPE_CHECKING:
    from clementinepass.direct import gossip, node

#: Times that news of the engine is told; datagrams are lost now and then.
_TOLD_TIMES = 3
_TELL_SECONDS = 0.15
#: Seconds between words that the link is slow.
_CONGESTION_SECONDS = 1.0


class Telling:
    """What an agent tells entries.

    :param own: who it is.
    :param peers: sends it.
    """

    __slots__ = (
        '_congested_at',
        '_held',
        '_own',
        '_peers',
        '_started',
    )

    def __init__(self, own: node.Node, peers: gossip.Peers) -> None:
        self._own = own
        self._peers = peers
        self._held: endpoints.Weights | None = None
        #: When the engine started that holds them.
        self._started = incarnations.UNTOLD
        #: When entries were last told that the link is slow; ``None`` where
        #: they take it for sound.
        self._congested_at: float | None = None

    def holds(self, held: endpoints.Weights, started: int) -> None:
        """Tell what the engine holds, and when it started.

        The start is never left out: entries take a word without one as of the
        newest start that they know.
        """
        self._held = held
        self._started = started
        self._tell()

    def loads(self, version: int) -> None:
        """Tell that the engine takes no request until it has loaded.

        It finishes what runs and takes nothing new meanwhile; a request sent
        there would wait for all of that.
        """
        self.holds(endpoints.Weights(version, 0, 0), self._started)

    async def hold_to(self, held: endpoints.Weights) -> None:
        """Take back that the engine loads, as this agent ends.

        Failure: an agent was told to end between its word that the engine
        loads and its order. Entries sent that engine nothing until the agent
        was back, a second or more, though it had all that it had before.
        """
        if self._held is None or self._held == held:
            return
        self.holds(held, self._started)
        await asyncio.sleep(_TOLD_TIMES * _TELL_SECONDS)

    def congested(self, *, is_slow: bool) -> None:
        """Tell while the link here is slow, and when it no longer is.

        Failure: on a link narrowed to a tenth requests waited behind pieces,
        and reached the engine when their callers had left.
        """
        now = asyncio.get_running_loop().time()
        told = self._congested_at
        if not is_slow:
            self._congested_at = None
            if told is not None:
                self._tell()
        elif told is None or now - told >= _CONGESTION_SECONDS:
            self._congested_at = now
            self._tell()

    def load(self, active: int, queued: int) -> None:
        """Tell the requests at the engine to the entries that use it."""
        now = asyncio.get_running_loop().time()
        due = self._peers.subscribers.due(now)
        if due:
            load = heartbeats.EngineLoad(active, queued, self._started)
            self._peers.report_load(due, load)

    def _tell(self) -> None:
        if self._held is None:
            return
        word = heartbeats.EngineStatus(
            self._own.endpoint,
            self._held.version,
            self._held.first,
            self._held.end,
            self._congested_at is not None,
            self._started,
        )
        self._peers.engine_statuses = (word,)
        loop = asyncio.get_running_loop()
        for time in range(_TOLD_TIMES):
            loop.call_later(time * _TELL_SECONDS, self._tell_all)

    def _tell_all(self) -> None:
        now = asyncio.get_running_loop().time()
        self._peers.send_to([one.ip for one in self._peers.members.alive(now)])
