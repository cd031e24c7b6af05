"""An agent: keeps the engine on its machine at the version that is wanted."""

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

if typing.TYPE_CHECKING:
    import random
    from collections.abc import Callable

    import aioprometheus

    from clementinepass.direct import node, pieces, routing

#: Seconds between looks at the engine, and at what is wanted. Reports to its
#: own machine cost the engine nothing.
_POLL_SECONDS = 0.1
#: Seconds between looks for other processes.
_MEMBERSHIP_POLL_SECONDS = 0.3
#: Seconds without a word of an entry after which the store is read instead.
_NO_ENTRY_SECONDS = 2.5
#: Seconds that an engine gets to finish what it runs before it loads. Half of
#: the answers end in that time.
_IDLE_WAIT_SECONDS = 0.7
_SHORT_IDLE_WAIT_SECONDS = 0.3


class Boundary(typing.NamedTuple):
    """What an agent needs from the users' platform.

    :param origin: makes a source of the origin's address.
    """

    store: records.Store
    engine: weights.Engine
    origin: Callable[[str], weights.Source]
    readers: intake.Readers


class Agent:
    """One agent.

    :param own: who it is.
    :param boundary: how it speaks to the engine, the origin and the store.
    """

    def __init__(
        self,
        local_node: node.Node,
        boundary: Boundary,
        registry: aioprometheus.Registry,
        rng: random.Random,
    ) -> None:
        self._local_node = local_node
        self._boundary = boundary
        self._rng = rng
        self.cluster = cluster_state.ClusterState(local_node)
        record_intake = intake.Intake(self.cluster, boundary.readers)
        self._followers = record_intake.followers(boundary.store, rng)
        self._neighbours = neighbours.Neighbours(
            local_node,
            self.cluster,
            boundary.origin,
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
        )
        self._announcer = announcer.Announcer(local_node, self.peers)
        self._version_selector = version_selector.VersionSelector(
            local_node, self.cluster, self._neighbours
        )
        self._loader = loading.Loader(boundary.engine, self)
        #: The cluster state, as metrics.
        self.gauges = gauges.Gauges(
            registry,
            self.cluster,
            self._followers,
            self.peers,
        )
        self._turn_by_version: dict[int, float] = {}
        self._report: weights.EngineReport | None = None
        self._last_error = ''
        #: Whether the engine was asked for its state, and answered or failed.
        self._has_queried_engine = False

    async def run(self) -> None:
        """Work until told to stop."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        await self.peers.listen()
        logger.bind(
            node=self._local_node.name, engine=self._local_node.endpoint
        ).info(
            'agent started',
        )
        async with asyncio.TaskGroup() as tasks:
            workers = (
                self._maintain_membership,
                self._fetch_versions,
                self._prepare_versions,
                self._load_versions,
                self._announce_congestion,
            )
            running = [
                tasks.create_task(background.keep_running(worker))
                for worker in workers
            ]
            await stop.wait()
            for task in running:
                task.cancel()
        if self._report is not None:
            await self._announcer.withdraw_loading(self._report.weights)
        logger.bind(node=self._local_node.name).info('stopped')

    # What handing out asks.

    def pieces_of(self, model: str, version: int) -> pieces.Pieces | None:
        """Return the pieces of a version that are here or on their way."""
        now = asyncio.get_running_loop().time()
        self.cluster.named(model, version, now)
        return self._loader.pieces_of(model, version)

    def has_loaded(self, version: int) -> bool:
        """Tell whether the engine serves that version."""
        report = self._report
        return report is not None and report.weights.version == version

    async def staged_piece(
        self,
        model: str,
        version: int,
        number: int,
    ) -> bytes | None:
        """Return a piece that lies staged at the engine, unchecked.

        Only of the version that the engine has loaded: pieces of another
        take their place one by one while that is being brought.
        """
        if not self.has_loaded(version):
            return None
        try:
            return await self._boundary.engine.staged_piece(model, number)
        except errors.PeerUnavailableError as error:
            logger.bind(piece=number).info('not handed out: {}', error)
            return None

    # What loading asks.

    def version_to_fetch(self) -> tuple[str, int]:
        """Return the model and the version whose pieces to get now.

        Version 0 where nothing is to be got.
        """
        return self._version_selector.version_to_fetch(self._loader)

    def plan_input(self, model: str, version: int) -> piece_chains.Question:
        """Return what choosing a source for pieces needs."""
        return self._neighbours.plan_input(version)

    def source(self, ip: str) -> weights.Source | None:
        """Return a source by its IP number, or the origin."""
        return self._neighbours.source(ip)

    # Details.

    def _active_requests(self) -> int:
        report = self._report
        return 0 if report is None else report.active

    async def _maintain_membership(self) -> None:
        """Speak to entries; read the store where none answers."""
        loop = asyncio.get_running_loop()
        startup_delay = start_reading.delay(
            self._local_node.ip, self._local_node.seeds, self._rng
        )
        no_entry_since = loop.time() + startup_delay - _NO_ENTRY_SECONDS
        while True:
            if self.peers.members.alive(loop.time()):
                no_entry_since = loop.time()
            elif loop.time() - no_entry_since >= _NO_ENTRY_SECONDS:
                await self._read_store()
                no_entry_since = loop.time()
            self.cluster.forget(loop.time())
            pause = _MEMBERSHIP_POLL_SECONDS
            if self.peers.is_new:
                pause = min(self.peers.ask(), pause)
            await asyncio.sleep(pause)

    async def _announce_congestion(self) -> None:
        """Tell entries while what comes to this machine comes late."""
        while True:
            self._announcer.update_congestion(is_slow=self._loader.is_congested)
            await asyncio.sleep(_POLL_SECONDS)

    async def _read_store(self) -> None:
        store = self._boundary.store
        try:
            for topic, follower in self._followers.items():
                follower.take(await store.newest(topic))
            page = await store.newest(records.Topic.ENTRIES)
            self.peers.met(page.ips)
        except errors.ClementinepassError as error:
            logger.info('store not read: {}', error)

    async def _fetch_versions(self) -> None:
        """Get the pieces of each version that is wanted.

        Also while the engine doesn't answer, if others have the version: one
        that was added starts a second after its agent, and has no weights.
        But not before it was asked, since one that runs may have all; and not
        when all start together, since they have what they are to serve.
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
        """Get the manifest of a version that is to be got next."""
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
        """Have the engine load the newest version that is here whole."""
        while True:
            try:
                await self._check_engine()
            except errors.ClementinepassError as error:
                self._log_new_error(f'not loaded: {error}')
            self._has_queried_engine = True
            await asyncio.sleep(_POLL_SECONDS)

    def _log_new_error(self, message: str) -> None:
        """Write what is in the way, once for each reason."""
        if message and message != self._last_error:
            logger.bind(node=self._local_node.name).info('{}', message)
        self._last_error = message

    async def _check_engine(self) -> None:
        """Look at the engine and do what is next."""
        report = await self._boundary.engine.report()
        self._log_new_error('')
        self._record_report(report)
        engine = self._neighbours.engine()
        if engine is None or report.busy:
            return
        version = self._loader.newest_complete(engine.model)
        if not version or self._version_selector.has_version_or_newer(version):
            return
        if self._is_turn_to_load(engine, version):
            self._announcer.announce_loading(version)
            await self._wait_until_idle(engine, version, report.active)
            if not await self._loader.load(engine.model, version):
                self._announcer.announce_weights(report.weights, report.started)

    async def _wait_until_idle(
        self,
        engine: routing.Engine,
        version: int,
        active: int,
    ) -> None:
        """Wait a moment for what the engine runs to end.

        Short answers end meanwhile; the rest is cut when the engine loads,
        and resumed elsewhere. To finish the longest takes three seconds, in
        which the engine is lost to all others. Less when nobody may send to
        old weights any more, and callers wait for the first engine.
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
            report = await self._boundary.engine.report()
            active = report.active
            self._announcer.report_load(active, report.queued)

    def _seconds_to_load(self, engine: routing.Engine, version: int) -> float:
        """Return the seconds until the engine has to have taken up a version.

        Failure: a version was dropped for a newer one four seconds after its
        naming. Engines took turns until the newer one's bound, but what they
        held might be used only until that of the dropped one.
        """
        now = asyncio.get_running_loop().time()
        engine_weights = self._version_selector.engine_weights
        time_left = self.cluster.seconds_left(engine.model, version) or 0
        if engine_weights is None:
            return time_left
        bound = self.cluster.begin_bound(engine, engine_weights.version)
        return max(min(time_left, bound - now), 0)

    def _is_turn_to_load(self, engine: routing.Engine, version: int) -> bool:
        """Tell whether the engine takes up a version now."""
        now = asyncio.get_running_loop().time()
        if not self._version_selector.has_version_or_newer(1):
            return True
        turn = self._turn_by_version.get(version)
        if turn is None:
            time_left = self._seconds_to_load(engine, version)
            turn = now + load_turns.delay(
                load_turns.Peer(
                    self._local_node.endpoint, self._local_node.domain
                ),
                [
                    load_turns.Peer(
                        service_endpoint.listing.address,
                        service_endpoint.listing.domain,
                    )
                    for service_endpoint in self._neighbours.service_endpoints()
                ],
                time_left,
            )
            self._turn_by_version = {version: turn}
            logger.bind(version=version, wait=round(turn - now, 3)).info(
                'turn to load',
            )
        return now >= turn

    def _record_report(self, report: weights.EngineReport) -> None:
        """Tell entries what the engine holds when that has changed."""
        before = self._report
        self._report = report
        self._version_selector.engine_weights = report.weights
        self._announcer.report_load(report.active, report.queued)
        if before is not None and _has_same_weights(before, report):
            return
        self._announcer.announce_weights(report.weights, report.started)
        logger.bind(
            version=report.weights.version,
            layers=report.weights.end - report.weights.first,
            busy=report.busy,
        ).info('engine holds weights')


def _has_same_weights(
    before: weights.EngineReport,
    report: weights.EngineReport,
) -> bool:
    """Tell whether the same start of the engine holds the same weights."""
    if before.started != report.started:
        return False
    return before.weights == report.weights
