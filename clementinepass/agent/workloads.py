"""What stands behind the gate: an engine with weights, or a plain service."""

from __future__ import annotations

import asyncio
import typing

import msgspec
from loguru import logger

if typing.TYPE_CHECKING:
    from clementinepass.agent import gate as gates
    from clementinepass.agent import health as healths
    from clementinepass.agent import neighbours
    from clementinepass.agent import rollout as rollouts
    from clementinepass.configuration import catalogue as catalogues
    from clementinepass.wire import bridge as bridges

#: Seconds that a run waits for the engine to say what it serves.
_CONFIRM_TIMEOUT = 5.0
_PERCENT = 100


class Progress(msgspec.Struct, frozen=True):
    """What entries and operators learn of the endpoint's weights."""

    wanted: str = ''
    chunks_held: int = 0
    chunks_wanted: int = 0
    #: Why the wanted version isn't serving; empty where nothing is wrong.
    trouble: str = ''
    bytes_origin: int = 0
    bytes_peers: int = 0
    #: Manifests, which come from the weight store.
    bytes_store: int = 0


class Workload(typing.Protocol):
    """An endpoint as the agent sees it."""

    #: ``engine`` or ``service``.
    kind: str

    async def run(self) -> None:
        """Keep the gate in step with the endpoint until cancelled."""

    def configure(self, catalogue: catalogues.Catalogue) -> None:
        """Take a newer configuration."""

    def progress(self) -> Progress:
        """Return how far the wanted version is."""

    def weights_capability(self) -> typing.Any:
        """Return the capability for weights; ``None`` where there is none."""

    def serves(self, version: str) -> bool:
        """Read back whether ``version`` is served now; blocks."""


class ServiceWorkload:
    """A plain service: the gate is open while it answers."""

    kind = 'service'

    def __init__(
        self,
        gate: gates.Gate,
        monitor: healths.ServiceMonitor,
    ) -> None:
        self._gate = gate
        self._monitor = monitor

    async def run(self) -> None:
        """Watch the service until cancelled."""
        await self._monitor.run()

    def configure(self, catalogue: catalogues.Catalogue) -> None:
        """Ignore it: a service has no versions."""

    def progress(self) -> Progress:
        """Return why the gate is closed, if it is."""
        return Progress(trouble=self._gate.closed_reason)

    def weights_capability(self) -> None:
        """Return nothing: a service has no weights."""

    def serves(self, version: str) -> bool:
        """Return true: a service has no versions."""
        return True


class EngineWorkload:
    """A model engine: the gate is open for the version read back."""

    kind = 'engine'

    def __init__(
        self,
        model: str,
        rollout: rollouts.Rollout,
        neighbours: neighbours.Neighbours,
        bridge: bridges.Bridge,
        health: healths.EndpointHealth,
        interval: float,
    ) -> None:
        self._model = model
        self._rollout = rollout
        self._neighbours = neighbours
        self._bridge = bridge
        self._health = health
        self._interval = interval

    async def run(self) -> None:
        """Bring the engine to what is wanted, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._bring_up())
            group.create_task(self._watch_health())

    def configure(self, catalogue: catalogues.Catalogue) -> None:
        """Want the version that the configuration names.

        The fencing number is the newest revision of what decides about the
        weights, so it grows with each such change and with no other.
        """
        model = catalogue.models_by_name.get(self._model)
        version = model and catalogue.versions_by_name.get(model.version)
        if not model or not version:
            logger.bind(step='configure').warning(
                'model {} or its version is not configured',
                self._model,
            )
            return
        self._rollout.want(
            version.name,
            version.manifest,
            max(model.revision, version.revision),
            round(model.wave * _PERCENT),
        )

    def progress(self) -> Progress:
        """Return how far the rollout is."""
        progress = self._rollout.progress()
        return Progress(
            wanted=progress.wanted,
            chunks_held=progress.chunks_held,
            chunks_wanted=progress.chunks_wanted,
            trouble=progress.trouble,
            bytes_origin=progress.bytes_origin,
            bytes_peers=progress.bytes_peers,
            bytes_store=progress.bytes_store,
        )

    def weights_capability(self) -> typing.Any:
        """Return the capability that peers read chunks from."""
        return self._rollout.serve_capability()

    async def _bring_up(self) -> None:
        await self._neighbours.settle()
        await self._rollout.run()

    async def _watch_health(self) -> None:
        """Close the gate soon after the engine's death.

        Reading back takes seconds to notice it; entries would send work to a
        dead endpoint meanwhile.
        """
        while True:
            alive = await self._bridge.block(self._health.check)
            serving = self._rollout.progress().serving
            if serving and not alive:
                await self._rollout.confirm(serving)
            await asyncio.sleep(self._interval)

    def serves(self, version: str) -> bool:
        """Read back whether the engine serves ``version`` now; blocks.

        The thread of the run asks the engine itself: two changes of thread
        less before each first token. Only a no goes to the event loop, which
        alone may close the gate.
        """
        if self._rollout.serves_now(version):
            return True
        confirmed = self._bridge.submit(self._rollout.confirm(version))
        return confirmed.result(_CONFIRM_TIMEOUT)
