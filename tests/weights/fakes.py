"""Fakes at the edges of weights, with faults to switch on."""

from __future__ import annotations

import asyncio
import collections
import hashlib
import random
import threading
import typing

from clementinepass import errors
from clementinepass.agent import rollout
from clementinepass.endpoints import protocols as endpoint_protocols
from clementinepass.weights import manifest as manifests
from clementinepass.weights import protocols
from clementinepass.weights import seed as seeds
from clementinepass.weights import settings as weight_settings

CHUNK = 1000

#: Settings in which every wait is short.
SETTINGS = weight_settings.WeightSettings(
    memory_limit=1_000_000,
    slice_bytes=400,
    stall_timeout=0.15,
    hold=0.1,
    gather=0.01,
    patience=0.05,
    distrust=5,
    poll=0.01,
    read_back=0.02,
    wave_patience=0.3,
    retry=0.01,
    retry_limit=0.05,
)


def weights(seed: int, chunks: int = 12, shared: int = 0) -> bytes:
    """Return content whose first ``shared`` chunks all seeds share."""
    common = random.Random(0).randbytes(CHUNK * shared)
    return common + random.Random(seed).randbytes(CHUNK * (chunks - shared))


class Source:
    """Origin and weight store in one, holding published versions."""

    def __init__(self) -> None:
        self._chunks: dict[str, bytes] = {}
        self._manifests: dict[str, bytes] = {}
        self.chunk_reads = 0
        self.manifest_reads = 0
        self.origin_down = False
        #: Reads of the origin hang until this is set.
        self.origin_speaks = threading.Event()
        self.origin_speaks.set()
        self.store_faults: list[Exception] = []

    def publish(self, version: str, whole: bytes) -> manifests.Manifest:
        """Cut and keep a version."""
        manifest = manifests.Manifest.from_bytes(version, whole, CHUNK)
        for index, chunk in enumerate(manifest.chunks):
            start = index * CHUNK
            self._chunks[chunk.digest] = whole[start : start + CHUNK]
        self.keep(manifest)
        return manifest

    def keep(self, manifest: manifests.Manifest) -> str:
        """Keep a manifest as it is and return its digest."""
        digest = manifests.manifest_digest(manifest)
        self._manifests[digest] = manifest.encode()
        return digest

    def manifest(self, digest: str) -> bytes:
        """Answer as the weight store."""
        self.manifest_reads += 1
        if self.store_faults:
            raise self.store_faults.pop(0)
        return self._manifests[digest]

    def chunk(self, digest: str) -> bytes:
        """Answer as the origin."""
        self.origin_speaks.wait(20)
        if self.origin_down:
            raise errors.PlatformUnavailableError(
                'down', step='chunk', peer='origin'
            )
        self.chunk_reads += 1
        return self._chunks[digest]


class FakeEngine:
    """An engine that loads what it is sent, with faults to switch on."""

    def __init__(self, *, fencing: bool = True) -> None:
        self.fencing = fencing
        self.version = ''
        self.digest = ''
        self.largest = 0
        self.orders: list[int] = []
        #: Whether an order takes effect and its answer is lost.
        self.lose_answers = 0
        #: Whether an order reports success and changes nothing.
        self.lie = 0
        self.lock = threading.Lock()
        #: Called while an order is under way, before it takes effect.
        self.during: typing.Callable[[], None] = lambda: None

    def status(self) -> endpoint_protocols.EngineStatus:
        """Say what is served."""
        with self.lock:
            fencing = self.largest if self.fencing else 0
            return endpoint_protocols.EngineStatus(
                self.version, self.digest, fencing, 0, 0, 8
            )

    def load(
        self,
        version: str,
        digest: str,
        fencing: int,
        size: int,
        parts: typing.Iterable[bytes],
    ) -> None:
        """Take an order."""
        hasher = hashlib.sha256()
        for part in parts:
            hasher.update(part)
        self.during()
        with self.lock:
            self.orders.append(fencing)
            self._take_effect(version, digest, fencing, hasher.hexdigest())
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.EndpointError(
                'answer lost',
                step='load',
                peer='engine',
                execution=errors.Execution.MAY_HAVE_RUN,
            )

    def _take_effect(
        self, version: str, digest: str, fencing: int, actual: str
    ) -> None:
        if self.fencing and fencing < self.largest:
            raise errors.StaleOrderError('stale', step='load', peer='engine')
        self.largest = max(self.largest, fencing)
        if actual != digest:
            raise errors.EndpointError(
                'digest differs',
                step='load',
                peer='engine',
                execution=errors.Execution.NOT_RUN,
            )
        if self.lie:
            self.lie -= 1
            return
        self.version, self.digest = version, digest


class FakeGate:
    """A gate that checks at each opening what the engine serves."""

    def __init__(self, engine: FakeEngine, whole: dict[str, str]) -> None:
        self._engine = engine
        self._whole = whole
        self.version = ''
        self.history: list[str] = []
        self.wrong: list[str] = []

    def open(self, version: str) -> None:
        """Open, and note an opening on anything but the whole version."""
        served = (self._engine.version, self._engine.digest)
        if served != (version, self._whole[version]):
            self.wrong.append(f'open for {version} on {served}')
        self.version = version
        self.history.append(version)

    def close(self, reason: str) -> None:
        """Close."""
        self.version = ''
        self.history.append('')


def member(name: str, domain: str = 'a', port: int = 1) -> protocols.Member:
    """Return a member that is alive."""
    return protocols.Member(name, '127.0.0.1', port, 'r', domain)


class Network:
    """Peers that reach each other's seeds directly, with faults."""

    def __init__(self) -> None:
        self._seeds: dict[str, seeds.Seed] = {}
        #: Nodes that refuse every call.
        self.dead: set[str] = set()
        #: Nodes whose slices never arrive; their other answers do.
        self.stalled: set[str] = set()
        #: Nodes that change every slice they send.
        self.corrupting: set[str] = set()
        #: Nodes that die once they have sent so many slices.
        self.dies_after: dict[str, int] = {}
        #: Slices sent, by node.
        self.sent: collections.Counter[str] = collections.Counter()
        self.resets: collections.Counter[str] = collections.Counter()
        #: Set when a node begins to send a slice.
        self.reading = asyncio.Event()

    def join(self, name: str, sender: seeds.Seed) -> None:
        """Let a node's seed be reached."""
        self._seeds[name] = sender
        self.dead.discard(name)

    async def manifest(self, member: protocols.Member, digest: str) -> bytes:
        """Ask a node."""
        return self._seed(member).manifest(digest)

    async def holdings(
        self, member: protocols.Member, manifest: str, known: int
    ) -> protocols.Holdings:
        """Ask a node."""
        return await self._seed(member).holdings(manifest, known)

    async def read(
        self, member: protocols.Member, digest: str, offset: int, length: int
    ) -> bytes:
        """Ask a node, and show its faults."""
        self._seed(member)
        self.reading.set()
        if member.id in self.stalled:
            await asyncio.Event().wait()
        part = await self._seed(member).read(digest, offset, length)
        self.sent[member.id] += 1
        if self.sent[member.id] == self.dies_after.get(member.id):
            self.dead.add(member.id)
        if member.id in self.corrupting:
            return bytes([part[0] ^ 1]) + part[1:]
        return part

    async def standing(self, member: protocols.Member) -> protocols.Standing:
        """Ask a node."""
        return self._seed(member).standing

    def reset(self, member: protocols.Member) -> None:
        """Count connections given up."""
        self.resets[member.id] += 1

    def _seed(self, member: protocols.Member) -> seeds.Seed:
        if member.id in self.dead or member.id not in self._seeds:
            raise errors.PeerUnavailableError(
                'gone', step='read', peer=member.id
            )
        return self._seeds[member.id]


class Node:
    """One agent's rollout, with its engine and gate."""

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        domain: str,
        settings: weight_settings.WeightSettings,
        engine: FakeEngine | None = None,
    ) -> None:
        self.engine = engine or FakeEngine()
        self.gate = FakeGate(self.engine, fleet.whole)
        self.member = member(name, domain)
        self.name = name
        #: What this node sees in place of all members.
        self.members: list[protocols.Member] | None = None
        self._fleet = fleet
        self.rollout = rollout.Rollout(
            rollout.Surroundings(
                model='m',
                own=self.member,
                engine=self.engine,
                gate=self.gate,
                weight_store=fleet.source,
                origin=fleet.source,
                members=self,
                settings=settings,
                peers=fleet.network,
                chance=random.Random(name),
            )
        )
        fleet.network.join(name, self.rollout.sender)
        self.running = asyncio.create_task(self.rollout.run())

    def peers_for(self, model: str) -> typing.Sequence[protocols.Member]:
        """Return the members seen here; a dead one is still shown alive."""
        seen = self._fleet.members if self.members is None else self.members
        return tuple(seen)

    async def stop(self) -> None:
        """End the agent; its memory is lost."""
        self._fleet.network.dead.add(self.name)
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)


class Fleet:
    """Nodes of one model and what they read from."""

    def __init__(self) -> None:
        self.source = Source()
        self.network = Network()
        self.whole: dict[str, str] = {}
        self.nodes: list[Node] = []
        self.members: list[protocols.Member] = []
        self._revision = 0
        #: The percentage of replicas that may load at once.
        self.wave = 100

    def add(
        self,
        name: str,
        domain: str = 'a',
        settings: weight_settings.WeightSettings = SETTINGS,
        engine: FakeEngine | None = None,
    ) -> Node:
        """Start a node."""
        node = Node(self, name, domain, settings, engine)
        self.nodes.append(node)
        self.members.append(node.member)
        return node

    def publish(
        self, version: str, seed: int, chunks: int = 12, shared: int = 0
    ) -> str:
        """Store a version and return its manifest's digest."""
        manifest = self.source.publish(version, weights(seed, chunks, shared))
        self.whole[version] = manifest.digest
        return manifests.manifest_digest(manifest)

    def want(self, version: str, digest: str, *nodes: Node) -> int:
        """Let all nodes, or some, want a version; return the revision."""
        self._revision += 1
        for node in nodes or self.nodes:
            node.rollout.want(version, digest, self._revision, self.wave)
        return self._revision

    async def serving(self, version: str, *nodes: Node) -> None:
        """Return when all nodes, or some, let requests through."""
        chosen = nodes or self.nodes
        await until(
            lambda: all(node.gate.version == version for node in chosen)
        )

    async def stop(self) -> None:
        """End all nodes."""
        for node in self.nodes:
            await node.stop()

    def wrong(self) -> list[str]:
        """Return every opening on wrong weights."""
        return [one for node in self.nodes for one in node.gate.wrong]


async def until(condition: typing.Callable[[], bool]) -> None:
    """Wait for a condition; a test that waits in vain fails."""
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.002)


def run(
    story: typing.Callable[[Fleet], typing.Coroutine[None, None, None]],
) -> Fleet:
    """Run a story on a fleet and end its nodes."""

    async def _run() -> Fleet:
        fleet = Fleet()
        try:
            await story(fleet)
        finally:
            await fleet.stop()
        return fleet

    return asyncio.run(_run())
