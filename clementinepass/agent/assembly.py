"""An agent process, put together from its settings."""

from __future__ import annotations

import asyncio
import pathlib
import typing

import aioprometheus
from loguru import logger

from clementinepass import clock as clocks
from clementinepass import lifecycle
from clementinepass.agent import agent as agents
from clementinepass.agent import (
    execution,
    gate,
    health,
    instruments,
    neighbours,
    rollout,
    servers,
    workloads,
)
from clementinepass.endpoints import engine, service
from clementinepass.observability import exposition
from clementinepass.platform import (
    instance_list,
    origin,
    transport,
    weight_store,
)
from clementinepass.weights import protocols as weight_protocols
from clementinepass.weights import settings as weight_settings
from clementinepass.wire import addresses, bridge, connections, messages

if typing.TYPE_CHECKING:
    from clementinepass.settings import settings as daemon_settings

#: Threads beyond those that run requests: health, weights, instance list.
_SPARE_THREADS = 16
_ENGINE = 'engine'
#: Seconds between two updates of the metrics.
_MEASURE_INTERVAL = 1.0


async def run(
    settings: daemon_settings.Settings,
    incarnation: int,
    path: pathlib.Path,
) -> None:
    """Run an agent until it is told to leave."""
    process = _Process(settings, incarnation)
    await process.run(path)


class _Process:
    """The parts of an agent process."""

    def __init__(
        self,
        settings: daemon_settings.Settings,
        incarnation: int,
    ) -> None:
        if settings.endpoint is None or settings.weights is None:
            raise ValueError('settings of another role')
        self._settings = settings
        self._endpoint = settings.endpoint
        self._weights = settings.weights
        self._clock = clocks.MonotonicClock()
        self._registry = aioprometheus.Registry()
        places = self._endpoint.capacity + self._endpoint.queue
        self._bridge = bridge.Bridge(
            asyncio.get_running_loop(),
            places + _SPARE_THREADS,
        )
        self._gate = gate.Gate(
            self._endpoint.serves,
            versioned=self._endpoint.kind == _ENGINE,
            capacity=places,
        )
        self._neighbours = neighbours.Neighbours(
            settings.daemon.id,
            instance_list.HttpInstanceList(
                str(settings.platform.instance_list),
                self._transport_limits(),
            ),
            self._bridge,
        )
        self._process_name = f'{settings.daemon.id}/{incarnation}'
        identity = messages.Peer(
            settings.daemon.id,
            incarnation,
            settings.daemon.failure_domain,
        )
        self._agent = self._make_agent(identity)

    async def run(self, path: pathlib.Path) -> None:
        """Serve until told to leave."""
        daemon = self._settings.daemon
        exposed = exposition.MetricsServer(
            daemon.metrics_listen.host,
            daemon.metrics_listen.port,
            self._registry,
            lambda: self._gate.phase is messages.Phase.SERVING,
            self._bridge,
        )
        listen = addresses.Address(daemon.listen.host, daemon.listen.port)
        life = lifecycle.Lifecycle(path)
        async with connections.listen(
            listen,
            lambda: servers.AgentServer(self._agent, life.stop),
        ) as bound:
            logger.bind(
                step='listening',
                role='agent',
                id=daemon.id,
                peers=bound,
                metrics=f'{daemon.metrics_listen.host}:{exposed.port}',
            ).info('listening')
            await life.run(self._work(), self._drain)
        await asyncio.to_thread(exposed.close)
        self._bridge.close()
        logger.bind(step='close').info('closed')

    async def _work(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self._agent.run())
            group.create_task(self._workload.run())
            group.create_task(self._neighbours.run())
            group.create_task(self._measure())

    async def _measure(self) -> None:
        metrics = instruments.Instruments(self._registry)
        while True:
            metrics.update(self._agent.state())
            await asyncio.sleep(_MEASURE_INTERVAL)

    async def _drain(self) -> None:
        await self._agent.drain(self._settings.daemon.drain_grace)

    def _make_agent(self, identity: messages.Peer) -> agents.Agent:
        peers = self._settings.peers
        address = str(self._endpoint.address)
        endpoint: engine.HttpEngine | service.HttpService
        if self._endpoint.kind == _ENGINE:
            model_engine = engine.HttpEngine(address)
            endpoint = model_engine
            watch = health.EndpointHealth(endpoint, self._process_name)
            self._workload: workloads.Workload = self._engine_workload(
                model_engine,
                watch,
            )
        else:
            endpoint = service.HttpService(address)
            watch = health.EndpointHealth(endpoint, self._process_name)
            self._workload = self._service_workload(watch)
        return agents.Agent(
            identity,
            self._gate,
            self._workload,
            execution.Executor(
                endpoint,
                self._bridge,
                self._workload,
                watch,
            ),
            limits=agents.Limits(
                peers.heartbeat,
                peers.silence,
                peers.coalesce,
            ),
            clock=self._clock,
        )

    def _engine_workload(
        self,
        model_engine: engine.HttpEngine,
        watch: health.EndpointHealth,
    ) -> workloads.EngineWorkload:
        daemon = self._settings.daemon
        platform = self._settings.platform
        limits = self._transport_limits()
        own = weight_protocols.Member(
            id=daemon.id,
            host=daemon.listen.host,
            port=daemon.listen.port,
            region=daemon.region,
            failure_domain=daemon.failure_domain,
        )
        around = rollout.Surroundings(
            model=self._endpoint.serves,
            own=own,
            engine=model_engine,
            gate=self._gate,
            weight_store=weight_store.HttpWeightStore(
                str(platform.weight_store),
                limits,
            ),
            origin=origin.HttpOrigin(str(platform.origin), limits),
            members=self._neighbours,
            settings=self._weight_settings(),
            clock=self._clock,
            live=lambda: len(self._gate.running),
        )
        return workloads.EngineWorkload(
            self._endpoint.serves,
            rollout.Rollout(around),
            self._neighbours,
            self._bridge,
            watch,
            self._settings.peers.heartbeat,
        )

    def _weight_settings(self) -> weight_settings.WeightSettings:
        weights = self._weights
        return weight_settings.WeightSettings(
            memory_limit=weights.memory_limit,
            upload_rate=weights.upload_rate,
            download_rate=weights.download_rate,
            origin_rate=weights.origin_rate,
            yield_share=weights.yield_share,
            slice_bytes=weights.slice_bytes,
            downloads=weights.downloads,
            patience=weights.patience,
            stall_timeout=weights.stall_timeout,
            gather=weights.gather,
            wave_patience=weights.wave_patience,
        )

    def _service_workload(
        self,
        watch: health.EndpointHealth,
    ) -> workloads.ServiceWorkload:
        monitor = health.ServiceMonitor(
            watch,
            self._gate,
            self._bridge,
            self._settings.peers.heartbeat,
        )
        return workloads.ServiceWorkload(self._gate, monitor)

    def _transport_limits(self) -> transport.Limits:
        timeout = self._settings.platform.timeout
        return transport.Limits(
            connect_timeout=timeout,
            read_timeout=timeout,
        )
