"""Agent: keeps the local engine at the version that the operator wants."""

from __future__ import annotations

import asyncio
import signal
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.decisions import (
    load_turns,
    piece_chains,
    start_reading,
)
from clementinepass.direct import (
    announcer,
    background,
    cluster_state,
    gauges,
    gossip,
    intake,
    loading,
    neighbours,
    piece_server,
    records,
    uplink,
    version_selector,
    weights,
)
from clementinepass.direct.placement import offering
from clementinepass.http import front

if typing.TYPE_CHECKING:
    import random
    from collections.abc import Callable

    import aioprometheus

    from clementinepass.direct import node, pieces, routing

#: Seconds between polls of the engine and of the desired version. Polling the
#: local machine costs the engine nothing.
_POLL_SECONDS = 0.1
#: Seconds between checks for other processes.
_MEMBERSHIP_POLL_SECONDS = 0.3
#: Seconds without a heartbeat from any entry after which the agent reads the
#: store itself.
_NO_ENTRY_SECONDS = 2.5
#: Seconds that an engine may take to finish running requests before it loads.
#: Half of the answers end within this time. The shorter wait applies when
#: little time is left to load.
_IDLE_WAIT_SECONDS = 0.7
_SHORT_IDLE_WAIT_SECONDS = 0.3
#: Seconds between polls of the engine while requests wait for its slots. A slot
#: is used for a second, so that little of it is lost.
_SLOT_POLL_SECONDS = 0.03
#: The source of a version's time, for log lines, if another agent asked for
#: pieces of the version.
_REQUEST_SOURCE = 'request for pieces'


class PlatformAdapters(typing.NamedTuple):
    """Adapters to the users' platform that an agent needs.

    :param make_origin_source: creates a source from the origin's address.
    """

    store: records.Store
    engine: weights.Engine
    make_origin_source: Callable[[str], weights.Source]
    decoders: intake.Decoders


class Agent:
    """The agent process beside one engine.

    :param local_node: the local node.
    :param adapters: adapters to the engine, the origin and the store.
    :param started_at: monotonic seconds at which the process started; now if
        absent.
    """

    def __init__(
        self,
        local_node: node.Node,
        adapters: PlatformAdapters,
        registry: aioprometheus.Registry,
        rng: random.Random,
        started_at: float | None = None,
    ) -> None:
        self._local_node = local_node
        self._adapters = adapters
        self._rng = rng
        #: Creates the fronts of all ports.
        self.fronts = front.FrontFactory.from_limits(
            local_node.memory_bytes, local_node.sockets
        )
        self.cluster = cluster_state.ClusterState(
            local_node, _loop_time, started_at
        )
        record_intake = intake.Intake(self.cluster, adapters.decoders)
        self._followers = record_intake.create_followers(adapters.store, rng)
        self._neighbours = neighbours.Neighbours(
            local_node,
            self.cluster,
            adapters.make_origin_source,
        )
        self._piece_server = piece_server.PieceServer(
            self,
            uplink.Uplink(local_node.link_mbps, self._active_requests),
        )
        self.peers = gossip.Peers(
            local_node,
            self._followers,
            self.cluster,
            rng,
            self._piece_server.serve,
            self.fronts,
        )
        self._announcer = announcer.Announcer(local_node, self.peers)
        self._version_selector = version_selector.VersionSelector(
            local_node, self.cluster, self._neighbours
        )
        self._loader = loading.Loader(adapters.engine, self)
        self._slots = offering.SlotOffers(self.peers.send_slot_message)
        self.peers.on_slot_message = self._slots.handle
        #: Whether the engine gets no requests, as it is about to load.
        self._is_preparing_load = False
        #: Metrics of the cluster state.
        self.gauges = gauges.Gauges(
            registry,
            self.cluster,
            self._followers,
            self.peers,
            self.fronts.memory,
            self.fronts.connections,
        )
        self._turn_at_by_version: dict[int, float] = {}
        self._report: weights.EngineReport | None = None
        self._last_error = ''
        #: Whether the engine's state has been requested once, successfully or
        #: not.
        self._has_queried_engine = False

    async def run(self) -> None:
        """Run until SIGTERM."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        await self.peers.listen()
        logger.bind(
            node=self._local_node.name, engine=self._local_node.endpoint
        ).info(
            'agent started',
        )
        try:
            async with asyncio.TaskGroup() as tasks:
                workers = (
                    self._maintain_membership,
                    self._fetch_versions,
                    self._prepare_versions,
                    self._load_versions,
                    self._poll_for_slots,
                    self._announce_congestion,
                )
                running_tasks = [
                    tasks.create_task(background.keep_running(worker))
                    for worker in workers
                ]
                await stop.wait()
                for task in running_tasks:
                    task.cancel()
            if self._report is not None:
                await self._announcer.withdraw_loading(self._report.weights)
        finally:
            await self.peers.close()
        logger.bind(node=self._local_node.name).info('stopped')

    # Interface for the piece server.

    def pieces_of(self, model: str, version: int) -> pieces.Pieces | None:
        """Return the pieces of a version that are here or being fetched."""
        now = asyncio.get_running_loop().time()
        # The request shows that the version was named, and not when.
        self.cluster.add_desired_version(
            model, version, now, guessed=True, source=_REQUEST_SOURCE
        )
        return self._loader.pieces_of(model, version)

    def has_loaded(self, version: int) -> bool:
        """Return whether the engine serves exactly this version."""
        report = self._report
        return report is not None and report.weights.version == version

    async def staged_piece(
        self,
        model: str,
        version: int,
        number: int,
    ) -> bytes | None:
        """Return a piece staged at the engine, without checking its digest.

        Only pieces of the loaded version are returned: while another version is
        fetched, its pieces replace the staged ones one at a time.
        """
        if not self.has_loaded(version):
            return None
        try:
            return await self._adapters.engine.staged_piece(model, number)
        except errors.PeerUnavailableError as error:
            logger.bind(piece=number).info('not handed out: {}', error)
            return None

    # Interface for the loader and the fetcher.

    def version_to_fetch(self) -> tuple[str, int]:
        """Return the model and the version whose pieces to fetch now.

        The version is 0 if there is nothing to fetch.
        """
        return self._version_selector.version_to_fetch(self._loader)

    def plan_input(self, model: str, version: int) -> piece_chains.PlanInput:
        """Return the input for choosing the sources of pieces."""
        return self._neighbours.plan_input(version)

    def source(self, ip: str) -> weights.Source | None:
        """Return the source for an IP address or for the origin."""
        return self._neighbours.source(ip)

    # Internals.

    def _active_requests(self) -> int:
        report = self._report
        return 0 if report is None else report.active

    async def _maintain_membership(self) -> None:
        """Exchange heartbeats with entries; read the store if none answers."""
        loop = asyncio.get_running_loop()
        startup_delay = start_reading.read_delay(
            self._local_node.ip, self._local_node.seeds, self._rng
        )
        no_entry_since = loop.time() + startup_delay - _NO_ENTRY_SECONDS
        while True:
            if self.peers.members.alive(loop.time()):
                no_entry_since = loop.time()
            elif loop.time() - no_entry_since >= _NO_ENTRY_SECONDS:
                await self._read_store()
                no_entry_since = loop.time()
            self.cluster.account_for_suspension()
            self.cluster.remove_expired(loop.time())
            pause = _MEMBERSHIP_POLL_SECONDS
            if self.peers.is_bootstrapping:
                pause = min(self.peers.poll_seeds(), pause)
            await asyncio.sleep(pause)

    async def _announce_congestion(self) -> None:
        """Announce to entries whether the link to this machine is congested."""
        while True:
            self._announcer.update_congestion(
                is_congested=self._loader.is_congested
            )
            await asyncio.sleep(_POLL_SECONDS)

    async def _read_store(self) -> None:
        """Read the newest records and the list of entries from the store."""
        store = self._adapters.store
        try:
            for topic, follower in self._followers.items():
                follower.apply(await store.newest(topic))
            page = await store.newest(records.Topic.ENTRIES)
            self.peers.contact(page.ips)
        except errors.ClementinepassError as error:
            logger.info('store not read: {}', error)

    async def _fetch_versions(self) -> None:
        """Fetch the pieces of each desired version.

        An agent waits for its first query of the engine, because a running
        engine may already have all pieces. If the engine doesn't answer, pieces
        are still fetched when other engines have the version: a newly added
        engine starts a second after its agent and has no weights. If all
        engines start together, nothing is fetched until the engine answers,
        because each already has the version that it is to serve.
        """
        while True:
            model, version = self.version_to_fetch()
            can_fetch = self._report is not None
            if not can_fetch and self._has_queried_engine:
                can_fetch = self._version_selector.is_in_use(version)
            if can_fetch and version:
                try:
                    await self._loader.fetch(model, version)
                except errors.ClementinepassError as error:
                    self._log_new_error(f'not fetched: {error}')
            await asyncio.sleep(_POLL_SECONDS)

    async def _prepare_versions(self) -> None:
        """Fetch the manifest of the version to fetch next."""
        while True:
            model, version = self._version_selector.version_to_prepare(
                self._loader
            )
            if version:
                try:
                    await self._loader.prepare(model, version)
                except errors.ClementinepassError as error:
                    logger.bind(version=version).info('not prepared: {}', error)
            await asyncio.sleep(_POLL_SECONDS)

    async def _load_versions(self) -> None:
        """Load the newest version whose pieces are complete into the engine."""
        while True:
            try:
                await self._check_engine()
            except errors.ClementinepassError as error:
                self._slots.close()
                self._log_new_error(f'not loaded: {error}')
            self._has_queried_engine = True
            await asyncio.sleep(_POLL_SECONDS)

    async def _poll_for_slots(self) -> None:
        """Poll the engine more often while requests wait for its slots."""
        while True:
            await asyncio.sleep(_SLOT_POLL_SECONDS)
            if not self._slots.has_waiting:
                continue
            try:
                self._update_slots(await self._adapters.engine.report())
            except errors.ClementinepassError:
                # The regular poll logs that the engine does not answer.
                self._slots.close()

    def _update_slots(self, report: weights.EngineReport) -> None:
        engine = self._neighbours.engine_configuration()
        if engine is None:
            return
        has_weights = report.weights.end - report.weights.first >= engine.layers
        self._slots.update(
            report,
            engine.slots,
            accepts=has_weights
            and report.accepts_orders
            and not self._is_preparing_load,
        )

    def _log_new_error(self, message: str) -> None:
        """Log an error unless it repeats the previous one."""
        if message and message != self._last_error:
            logger.bind(node=self._local_node.name).info('{}', message)
        self._last_error = message

    async def _check_engine(self) -> None:
        """Query the engine, and load the newest complete version when due."""
        report = await self._adapters.engine.report()
        self._log_new_error('')
        self._record_report(report)
        engine = self._neighbours.engine_configuration()
        if engine is None or not report.accepts_orders:
            return
        version = self._loader.newest_complete(engine.model)
        if not version or self._version_selector.has_version_or_newer(version):
            return
        if self._is_turn_to_load(engine, version):
            self._announcer.announce_loading(version)
            self._is_preparing_load = True
            self._update_slots(report)
            try:
                await self._wait_until_idle(engine, version, report.active)
                is_loaded = await self._loader.load(engine.model, version)
            finally:
                self._is_preparing_load = False
            if not is_loaded:
                self._announcer.announce_weights(
                    report.weights, report.started_ms
                )

    async def _wait_until_idle(
        self,
        engine: routing.Engine,
        version: int,
        active: int,
    ) -> None:
        """Wait a short time for the engine's running requests to end.

        Short answers end within this time. The others are cut off when the
        engine loads, and are resumed elsewhere. Waiting for the longest answer
        would take three seconds, during which the engine serves nobody else.
        The wait is shorter if older versions may soon no longer be used,
        because callers then wait for the first engine that has loaded the new
        one.
        """
        loop = asyncio.get_running_loop()
        time_left = self._seconds_to_load(engine, version)
        seconds = (
            _IDLE_WAIT_SECONDS
            if time_left > _IDLE_WAIT_SECONDS
            else _SHORT_IDLE_WAIT_SECONDS
        )
        deadline = loop.time() + seconds
        while active and loop.time() < deadline:
            await asyncio.sleep(_POLL_SECONDS)
            report = await self._adapters.engine.report()
            active = report.active
            self._announcer.report_load(active, report.queued, report.pace)

    def _seconds_to_load(self, engine: routing.Engine, version: int) -> float:
        """Return the seconds until the engine must have loaded a version.

        The deadline of the loaded weights counts as well as that of the new
        version. If a version was dropped for a newer one, the loaded weights
        have the earlier deadline. When a version was dropped four seconds after
        it was named, engines spread their turns over the time until the newer
        version's deadline, although the weights that they held could be used
        only until the deadline of the dropped version.
        """
        now = asyncio.get_running_loop().time()
        engine_weights = self._version_selector.engine_weights
        time_left = (
            self.cluster.seconds_until_required(engine.model, version) or 0
        )
        if engine_weights is None:
            return time_left
        deadline = self.cluster.version_bound(engine, engine_weights.version)
        return max(min(time_left, deadline - now), 0)

    def _is_turn_to_load(self, engine: routing.Engine, version: int) -> bool:
        """Return whether the engine may load a version now."""
        now = asyncio.get_running_loop().time()
        if not self._version_selector.has_version_or_newer(1):
            return True
        turn_at = self._turn_at_by_version.get(version)
        if turn_at is None:
            time_left = self._seconds_to_load(engine, version)
            turn_at = now + load_turns.turn_delay(
                load_turns.LoadingEngine(
                    self._local_node.endpoint, self._local_node.domain
                ),
                [
                    load_turns.LoadingEngine(
                        service_endpoint.listing.address,
                        service_endpoint.listing.domain,
                    )
                    for service_endpoint in self._neighbours.service_endpoints()
                ],
                time_left,
            )
            self._turn_at_by_version = {version: turn_at}
            logger.bind(version=version, wait=round(turn_at - now, 3)).info(
                'turn to load',
            )
        return now >= turn_at

    def _record_report(self, report: weights.EngineReport) -> None:
        """Record a report, and announce the engine's weights if changed."""
        previous = self._report
        self._report = report
        self._version_selector.engine_weights = report.weights
        self._announcer.report_load(report.active, report.queued, report.pace)
        self._update_slots(report)
        was_draining = previous is not None and previous.is_draining
        if report.is_draining and not was_draining:
            logger.bind(version=report.weights.version).info(
                'engine drains; it loads no more versions',
            )
        if previous is not None and _has_same_weights(previous, report):
            return
        self._announcer.announce_weights(report.weights, report.started_ms)
        logger.bind(
            version=report.weights.version,
            layers=report.weights.end - report.weights.first,
            busy=report.is_busy,
        ).info('engine holds weights')


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


def _has_same_weights(
    previous: weights.EngineReport,
    report: weights.EngineReport,
) -> bool:
    """Return whether an engine holds the same weights since the same start."""
    if previous.started_ms != report.started_ms:
        return False
    return previous.weights == report.weights
