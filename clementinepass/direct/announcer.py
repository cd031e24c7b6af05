"""Tell entries what an engine holds, and how the link of its machine is."""

from __future__ import annotations

import asyncio
import typing

from clementinepass.decisions import incarnations
from clementinepass.direct import endpoints, heartbeats

if typing.TYPE_CHECKING:
    from clementinepass.direct import gossip, node

#: Times that news of the engine is told; datagrams are lost now and then.
_REPETITIONS = 3
_REPETITION_SECONDS = 0.15
#: Seconds between words that the link is slow.
_CONGESTION_REPEAT_SECONDS = 1.0


class Announcer:
    """What an agent tells entries.

    :param own: who it is.
    :param peers: sends it.
    """

    __slots__ = (
        '_congestion_sent_at',
        '_local_node',
        '_peers',
        '_started',
        '_weights',
    )

    def __init__(self, local_node: node.Node, peers: gossip.Peers) -> None:
        self._local_node = local_node
        self._peers = peers
        self._weights: endpoints.Weights | None = None
        #: When the engine started that holds them.
        self._started = incarnations.UNKNOWN_START
        #: When entries were last told that the link is slow; ``None`` where
        #: they take it for sound.
        self._congestion_sent_at: float | None = None

    def announce_weights(
        self, weights: endpoints.Weights, started: int
    ) -> None:
        """Tell what the engine holds, and when it started.

        The start is never left out: entries take a word without one as of the
        newest start that they know.
        """
        self._weights = weights
        self._started = started
        self._schedule_announcements()

    def announce_loading(self, version: int) -> None:
        """Tell that the engine takes no request until it has loaded.

        It finishes what runs and takes nothing new meanwhile; a request sent
        there would wait for all of that.
        """
        self.announce_weights(endpoints.Weights(version, 0, 0), self._started)

    async def withdraw_loading(self, weights: endpoints.Weights) -> None:
        """Take back that the engine loads, as this agent ends.

        Failure: an agent was told to end between its word that the engine
        loads and its order. Entries sent that engine nothing until the agent
        was back, a second or more, though it had all that it had before.
        """
        if self._weights is None or self._weights == weights:
            return
        self.announce_weights(weights, self._started)
        await asyncio.sleep(_REPETITIONS * _REPETITION_SECONDS)

    def update_congestion(self, *, is_slow: bool) -> None:
        """Tell while the link here is slow, and when it no longer is.

        Failure: on a link narrowed to a tenth requests waited behind pieces,
        and reached the engine when their callers had left.
        """
        now = asyncio.get_running_loop().time()
        sent_at = self._congestion_sent_at
        if not is_slow:
            self._congestion_sent_at = None
            if sent_at is not None:
                self._schedule_announcements()
        elif sent_at is None or now - sent_at >= _CONGESTION_REPEAT_SECONDS:
            self._congestion_sent_at = now
            self._schedule_announcements()

    def report_load(self, active: int, queued: int) -> None:
        """Tell the requests at the engine to the entries that use it."""
        now = asyncio.get_running_loop().time()
        due = self._peers.subscribers.due(now)
        if due:
            load = heartbeats.Load(active, queued, self._started)
            self._peers.report(due, load)

    def _schedule_announcements(self) -> None:
        if self._weights is None:
            return
        announcement = heartbeats.Held(
            self._local_node.endpoint,
            self._weights.version,
            self._weights.first,
            self._weights.end,
            self._congestion_sent_at is not None,
            self._started,
        )
        self._peers.held = (announcement,)
        loop = asyncio.get_running_loop()
        for repetition in range(_REPETITIONS):
            loop.call_later(repetition * _REPETITION_SECONDS, self._announce)

    def _announce(self) -> None:
        now = asyncio.get_running_loop().time()
        self._peers.tell(
            [member.ip for member in self._peers.members.alive(now)]
        )
