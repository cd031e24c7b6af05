"""Announce an engine's weights and the state of its link to entries."""

from __future__ import annotations

import asyncio
import typing

from clementinepass.decisions import incarnations
from clementinepass.direct import endpoints, heartbeats

if typing.TYPE_CHECKING:
    from clementinepass.direct import gossip, node

#: How many times an announcement is sent, since datagrams may be lost.
_REPETITIONS = 3
_REPETITION_SECONDS = 0.15
#: Seconds between announcements that the link is congested.
_CONGESTION_REPEAT_SECONDS = 1.0


class Announcer:
    """Announces the state of the local engine and of its link to entries.

    :param local_node: the local node.
    :param peers: sends the announcements.
    """

    __slots__ = (
        '_congestion_sent_at',
        '_local_node',
        '_peers',
        '_started_ms',
        '_weights',
    )

    def __init__(self, local_node: node.Node, peers: gossip.Peers) -> None:
        self._local_node = local_node
        self._peers = peers
        self._weights: endpoints.Weights | None = None
        #: When the engine that holds the weights was started.
        self._started_ms = incarnations.UNKNOWN_START
        #: Monotonic seconds of the last announcement that the link is
        #: congested; ``None`` while entries consider it uncongested.
        self._congestion_sent_at: float | None = None

    def announce_weights(
        self, weights: endpoints.Weights, started_ms: int
    ) -> None:
        """Announce the engine's weights and when it was started.

        The start is always included: entries attribute an announcement without
        it to the newest start that they know.
        """
        self._weights = weights
        self._started_ms = started_ms
        self._schedule_announcements()

    def announce_loading(self, version: int) -> None:
        """Announce that the engine takes no requests until it has loaded.

        It finishes running requests and takes no new ones meanwhile; a request
        sent to it would have to wait for all of that.
        """
        self.announce_weights(
            endpoints.Weights(version, 0, 0), self._started_ms
        )

    async def withdraw_loading(self, weights: endpoints.Weights) -> None:
        """Withdraw the announcement of loading when this agent shuts down.

        An agent may receive SIGTERM between that announcement and the order to
        load. Entries would then send nothing to the engine until the agent was
        back, a second or more later, although it still had its previous
        weights.
        """
        if self._weights is None or self._weights == weights:
            return
        self.announce_weights(weights, self._started_ms)
        await asyncio.sleep(_REPETITIONS * _REPETITION_SECONDS)

    def update_congestion(self, *, is_congested: bool) -> None:
        """Announce congestion repeatedly while it lasts, and once its end.

        On a link narrowed to a tenth, requests queued behind pieces and reached
        the engine after their callers had left.
        """
        now = asyncio.get_running_loop().time()
        sent_at = self._congestion_sent_at
        if not is_congested:
            self._congestion_sent_at = None
            if sent_at is not None:
                self._schedule_announcements()
        elif sent_at is None or now - sent_at >= _CONGESTION_REPEAT_SECONDS:
            self._congestion_sent_at = now
            self._schedule_announcements()

    def report_load(self, active: int, queued: int, pace: float = 1) -> None:
        """Report the engine's load to the entries that subscribe to it.

        :param pace: factor by which the engine is slower than usual.
        """
        now = asyncio.get_running_loop().time()
        due = self._peers.subscribers.due(now)
        if due:
            load = heartbeats.EngineLoad(active, queued, self._started_ms, pace)
            self._peers.send_load(due, load)

    def _schedule_announcements(self) -> None:
        if self._weights is None:
            return
        announcement = heartbeats.EngineStatus(
            self._local_node.endpoint,
            self._weights.version,
            self._weights.first,
            self._weights.end,
            self._congestion_sent_at is not None,
            self._started_ms,
        )
        self._peers.engine_statuses = (announcement,)
        loop = asyncio.get_running_loop()
        for repetition in range(_REPETITIONS):
            loop.call_later(repetition * _REPETITION_SECONDS, self._announce)

    def _announce(self) -> None:
        now = asyncio.get_running_loop().time()
        self._peers.send_to(
            [member.ip for member in self._peers.members.alive(now)]
        )
