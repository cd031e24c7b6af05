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
    aims,
    background,
    cluster_state,
    exchange,
    gauges,
    gossip,
    intake,
    loading,
    neighbours,
    records,
    telling,
    uplink,
    weights,
)

if typing.TYPE_CHECKING:
    import random
    from collections.abc import Callable

    import aioprometheus

    from clementinepass.direct import node, pieces, routing

#: Seconds between looks at the engine, and at what is wanted. Reports to its
#: own machine cost the engine nothing.
_BUSY_SECONDS = 0.1
#: Seconds between looks for other processes.
_IDLE_SECONDS = 0.3
#: Seconds without a word of an entry after which the store is read instead.
_ALONE_SECONDS = 2.5
#: Seconds that an engine gets to finish what it runs before it loads. Half of
#: the answers end in that time.
_EMPTY_SECONDS = 0.7
_HURRY_SECONDS = 0.3


class Boundary(typing.NamedTuple):
    """What an agent needs from the users' platform.

    :param origin: makes a source of the origin's address.
    """

    store: records.Store
    engine: weights.Engine
    origin: Callable[[str], weights.Source]
    readers: intake.Decoders


class Agent:
    """One agent.

    :param own: who it is.
    :param boundary: how it speaks to the engine, the origin and the store.
    """

    def __init__(
        self,
        own: node.Node,
        boundary: Boundary,
        registry: aioprometheus.Registry,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._boundary = boundary
        self._rng = rng
        self.cluster = cluster_state.ClusterState(own)
        taking = intake.Intake(self.cluster, boundary.readers)
        self._followers = taking.create_followers(boundary.store, rng)
        self._neighbours = neighbours.Neighbours(
            own,
            self.cluster,
            boundary.origin,
        )
        self._handout = exchange.Handout(
            self,
            uplink.Uplink(own.link_mbps, self._streams),
        )
        self.peers = gossip.Peers(
            own,
            self._followers,
            self.cluster,
            rng,
            self._handout.serve,
        )
        self._telling = telling.Telling(own, self.peers)
        self._aims = aims.Aims(own, self.cluster, self._neighbours)
        self._loading = loading.Loading(boundary.engine, self)
        #: The cluster state, as metrics.
        self.gauges = gauges.Gauges(
            registry,
            self.cluster,
            self._followers,
            self.peers,
        )
        self._turn_by_version: dict[int, float] = {}
        self._report: weights.EngineReport | None = None
        self._trouble = ''
        #: Whether the engine was asked for its state, and answered or failed.
        self._engine_seen = False

    async def run(self) -> None:
        """Work until told to stop."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        await self.peers.listen()
        logger.bind(node=self._own.name, engine=self._own.endpoint).info(
            'agent started',
        )
        async with asyncio.TaskGroup() as tasks:
            works = (
                self._keep_up,
                self._keep_fetched,
                self._keep_prepared,
                self._keep_loaded,
                self._tell_of_link,
            )
            running = [
                tasks.create_task(background.keep_running(work))
                for work in works
            ]
            await stop.wait()
            for task in running:
                task.cancel()
        if self._report is not None:
            await self._telling.hold_to(self._report.weights)
        logger.bind(node=self._own.name).info('stopped')

    # What handing out asks.

    def pieces_of(self, model: str, version: int) -> pieces.Pieces | None:
        """Return the pieces of a version that are here or on their way."""
        now = asyncio.get_running_loop().time()
        self.cluster.add_desired_version(model, version, now)
        return self._loading.pieces_of(model, version)

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

    def wanted(self) -> tuple[str, int]:
        """Return the model and the version whose pieces to get now.

        Version 0 where nothing is to be got.
        """
        return self._aims.wanted(self._loading)

    def question(self, model: str, version: int) -> piece_chains.Question:
        """Return what choosing a source for pieces needs."""
        return self._neighbours.question(version)

    def source(self, ip: str) -> weights.Source | None:
        """Return a source by its IP number, or the origin."""
        return self._neighbours.source(ip)

    # Details.

    def _streams(self) -> int:
        report = self._report
        return 0 if report is None else report.active

    async def _keep_up(self) -> None:
        """Speak to entries; read the store where none answers."""
        loop = asyncio.get_running_loop()
        patience = start_reading.delay(self._own.ip, self._own.seeds, self._rng)
        alone_since = loop.time() + patience - _ALONE_SECONDS
        while True:
            if self.peers.members.alive(loop.time()):
                alone_since = loop.time()
            elif loop.time() - alone_since >= _ALONE_SECONDS:
                await self._read_store()
                alone_since = loop.time()
            self.cluster.remove_expired(loop.time())
            pause = _IDLE_SECONDS
            if self.peers.is_bootstrapping:
                pause = min(self.peers.poll_seeds(), pause)
            await asyncio.sleep(pause)

    async def _tell_of_link(self) -> None:
        """Tell entries while what comes to this machine comes late."""
        while True:
            self._telling.congested(is_slow=self._loading.is_congested)
            await asyncio.sleep(_BUSY_SECONDS)

    async def _read_store(self) -> None:
        store = self._boundary.store
        try:
            for topic, own in self._followers.items():
                own.apply(await store.newest(topic))
            page = await store.newest(records.Topic.ENTRIES)
            self.peers.contact(page.ips)
        except errors.ClementinepassError as error:
            logger.info('store not read: {}', error)

    async def _keep_fetched(self) -> None:
        """Get the pieces of each version that is wanted.

        Also while the engine doesn't answer, if others have the version: one
        that was added starts a second after its agent, and has no weights.
        But not before it was asked, since one that runs may have all; and not
        when all start together, since they have what they are to serve.
        """
        while True:
            model, version = self.wanted()
            known = self._report is not None
            if not known and self._engine_seen:
                known = self._aims.is_in_use(version)
            if known and version:
                try:
                    await self._loading.fetch(model, version)
                except errors.ClementinepassError as error:
                    self._note_trouble(f'not fetched: {error}')
            await asyncio.sleep(_BUSY_SECONDS)

    async def _keep_prepared(self) -> None:
        """Get the manifest of a version that is to be got next."""
        while True:
            model, version = self._aims.following(self._loading)
            if version:
                try:
                    await self._loading.prepare(model, version)
                except errors.ClementinepassError as error:
                    logger.bind(version=version).info('not prepared: {}', error)
            await asyncio.sleep(_BUSY_SECONDS)

    async def _keep_loaded(self) -> None:
        """Have the engine load the newest version that is here whole."""
        while True:
            try:
                await self._look()
            except errors.ClementinepassError as error:
                self._note_trouble(f'not loaded: {error}')
            self._engine_seen = True
            await asyncio.sleep(_BUSY_SECONDS)

    def _note_trouble(self, trouble: str) -> None:
        """Write what is in the way, once for each reason."""
        if trouble and trouble != self._trouble:
            logger.bind(node=self._own.name).info('{}', trouble)
        self._trouble = trouble

    async def _look(self) -> None:
        """Look at the engine and do what is next."""
        report = await self._boundary.engine.report()
        self._note_trouble('')
        self._told_of(report)
        engine = self._neighbours.engine()
        if engine is None or report.busy:
            return
        version = self._loading.newest_whole(engine.model)
        if not version or self._aims.has(version):
            return
        if self._turn_has_come(engine, version):
            self._telling.loads(version)
            await self._emptied(engine, version, report.active)
            if not await self._loading.load(engine.model, version):
                self._telling.holds(report.weights, report.started)

    async def _emptied(
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
        left = self._seconds_usable(engine, version)
        seconds = _EMPTY_SECONDS if left > _EMPTY_SECONDS else _HURRY_SECONDS
        until = loop.time() + seconds
        while active and loop.time() < until:
            await asyncio.sleep(_BUSY_SECONDS)
            report = await self._boundary.engine.report()
            active = report.active
            self._telling.load(active, report.queued)

    def _seconds_usable(self, engine: routing.Engine, version: int) -> float:
        """Return the seconds until the engine has to have taken up a version.

        Failure: a version was dropped for a newer one four seconds after its
        naming. Engines took turns until the newer one's bound, but what they
        held might be used only until that of the dropped one.
        """
        now = asyncio.get_running_loop().time()
        held = self._aims.held
        left = self.cluster.seconds_until_required(engine.model, version) or 0
        if held is None:
            return left
        bound = self.cluster.version_bound(engine, held.version)
        return max(min(left, bound - now), 0)

    def _turn_has_come(self, engine: routing.Engine, version: int) -> bool:
        """Tell whether the engine takes up a version now."""
        now = asyncio.get_running_loop().time()
        if not self._aims.has(1):
            return True
        turn = self._turn_by_version.get(version)
        if turn is None:
            left = self._seconds_usable(engine, version)
            turn = now + load_turns.delay(
                load_turns.Peer(self._own.endpoint, self._own.domain),
                [
                    load_turns.Peer(one.listing.address, one.listing.domain)
                    for one in self._neighbours.of_service()
                ],
                left,
            )
            self._turn_by_version = {version: turn}
            logger.bind(version=version, wait=round(turn - now, 3)).info(
                'turn to load',
            )
        return now >= turn

    def _told_of(self, report: weights.EngineReport) -> None:
        """Tell entries what the engine holds when that has changed."""
        before = self._report
        self._report = report
        self._aims.held = report.weights
        self._telling.load(report.active, report.queued)
        if before is not None and _same_holding(before, report):
            return
        self._telling.holds(report.weights, report.started)
        logger.bind(
            version=report.weights.version,
            layers=report.weights.end - report.weights.first,
            busy=report.busy,
        ).info('engine holds weights')


def _same_holding(
    before: weights.EngineReport,
    report: weights.EngineReport,
) -> bool:
    """Tell whether the same start of the engine holds the same weights."""
    if before.started != report.started:
        return False
    return before.weights == report.weights
