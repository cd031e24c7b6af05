"""Fakes at the edges of weights, with faults to switch on."""

from __future__ import annotations

import hashlib
import random
import threading
import typing

from clementinepass import errors
from clementinepass.endpoints import protocols as endpoint_protocols
from clementinepass.weights import manifest as manifests
from clementinepass.weights import protocols
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
    wave=100,
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
