"""The agent's part in a rollout: replica, supply, seed and wave wired up."""

from __future__ import annotations

import dataclasses
import random
import typing

import msgspec

from clementinepass import clock as clocks
from clementinepass.endpoints import protocols as endpoint_protocols
from clementinepass.platform import protocols as platform_protocols
from clementinepass.weights import chunks as chunk_stores
from clementinepass.weights import ledger as ledgers
from clementinepass.weights import (
    protocols,
    replica,
    seed,
    supply,
    transfer,
    waves,
)
from clementinepass.weights import settings as weight_settings
from clementinepass.wire import weights_peers


class Progress(msgspec.Struct, frozen=True):
    """How far an agent's rollout is, and what it has cost."""

    phase: protocols.Phase
    #: Why it is stuck or slow; empty for no trouble.
    trouble: str
    #: The version wanted; empty for none.
    wanted: str
    revision: int
    #: The version that the gate is open for; empty for none.
    serving: str
    chunks_held: int
    chunks_wanted: int
    bytes_origin: int
    bytes_store: int
    bytes_peers: int
    #: The part of ``bytes_peers`` that crossed a failure domain.
    bytes_crossed: int
    bytes_sent: int
    #: Chunks thrown away because they did not match their digest.
    corrupt: int
    #: Calls given up for lack of progress.
    stalled: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Surroundings:
    """What a rollout is put together from."""

    #: Whose members are asked for chunks.
    model: str
    #: This agent as others see it.
    own: protocols.Member
    engine: endpoint_protocols.Engine
    gate: protocols.Gate
    weight_store: platform_protocols.WeightStore
    origin: platform_protocols.Origin
    members: protocols.Members
    settings: weight_settings.WeightSettings
    #: Must be made inside ``capnp.kj_loop``.
    peers: protocols.ChunkPeers = dataclasses.field(
        default_factory=weights_peers.WeightsPeers
    )
    clock: clocks.Clock = dataclasses.field(
        default_factory=clocks.MonotonicClock
    )
    #: Returns how many requests are in progress here; uploads yield to them.
    live: typing.Callable[[], int] = int
    chance: random.Random = dataclasses.field(default_factory=random.Random)


class Rollout:
    """Bring the engine to the version wanted and let others read chunks."""

    def __init__(self, around: Surroundings) -> None:
        self._ledger = ledgers.Ledger()
        self._store = chunk_stores.ChunkStore(around.settings.memory_limit)
        self._seed = self._make_seed(around)
        reach = self._reach(around)
        self._supply = supply.PeerSupply(reach, around.weight_store, self._seed)
        self._replica = replica.Replica(
            around.engine,
            around.gate,
            self._store,
            self._supply,
            waves.Wave(reach),
            around.settings,
            on_change=self._tell_standing,
        )

    @property
    def sender(self) -> seed.Seed:
        """What answers other agents."""
        return self._seed

    @property
    def ledger(self) -> ledgers.Ledger:
        """What the weights have cost since the start."""
        return self._ledger

    async def run(self) -> None:
        """Follow what is wanted until cancelled."""
        await self._replica.run()

    def want(
        self,
        version: str,
        manifest: str,
        revision: int,
        wave: int = protocols.DEFAULT_WAVE,
    ) -> None:
        """Take a newer configuration; an older or equal one is ignored.

        :param wave: the percentage of replicas that may load at once.
        """
        self._replica.want(protocols.Wanted(version, manifest, revision, wave))

    async def confirm(self, version: str) -> bool:
        """Read back now whether the engine serves ``version`` whole."""
        return await self._replica.confirm(version)

    def serves_now(self, version: str) -> bool:
        """Read back as :meth:`confirm`; blocks and leaves the gate alone."""
        return self._replica.serves_now(version)

    def serve_capability(self) -> weights_peers.WeightsServer:
        """Return the server that ``Agent.weights()`` hands out."""
        return weights_peers.WeightsServer(self._seed)

    def progress(self) -> Progress:
        """Return how far the rollout is, and what it has cost."""
        state = self._replica.state
        wanted = state.wanted
        manifest = self._supply.wanted
        held = 0
        if manifest is not None:
            held = self._store.bitmap(manifest).bit_count()
        return Progress(
            phase=state.phase,
            trouble=state.trouble or self._supply.chunk_trouble(),
            wanted=wanted.version if wanted else '',
            revision=wanted.revision if wanted else 0,
            serving=state.serving,
            chunks_held=held,
            chunks_wanted=manifest.count if manifest else 0,
            bytes_origin=self._ledger.origin,
            bytes_store=self._ledger.store,
            bytes_peers=self._ledger.peers,
            bytes_crossed=self._ledger.crossed,
            bytes_sent=self._ledger.sent,
            corrupt=self._ledger.corrupt,
            stalled=self._ledger.stalled,
        )

    def _make_seed(self, around: Surroundings) -> seed.Seed:
        return seed.Seed(
            self._store,
            around.settings,
            around.clock,
            self._ledger,
            around.live,
        )

    def _reach(self, around: Surroundings) -> transfer.Surroundings:
        return transfer.Surroundings(
            own=around.own,
            members=lambda: around.members.peers_for(around.model),
            peers=around.peers,
            origin=around.origin,
            threads=transfer.PlatformThreads(around.settings.origin_reads),
            store=self._store,
            settings=around.settings,
            clock=around.clock,
            chance=around.chance,
            ledger=self._ledger,
        )

    def _tell_standing(self) -> None:
        state = self._replica.state
        revision = state.wanted.revision if state.wanted else 0
        self._seed.standing = protocols.Standing(state.phase, revision)
