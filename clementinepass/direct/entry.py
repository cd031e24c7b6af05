"""An entry: the parts that serve callers, put together."""

from __future__ import annotations

import asyncio
import random
import typing

import aioprometheus
from loguru import logger

from clementinepass import errors
from clementinepass.decisions import start_reading
from clementinepass.direct import (
    attempt,
    background,
    cluster_state,
    departure,
    gauges,
    gossip,
    intake,
    leaving,
    members,
    path,
    records,
    request_log,
    subscribing,
    uptime,
)
from clementinepass.http import front, limits

if typing.TYPE_CHECKING:
    from clementinepass.direct import calls, directory, node, routing

#: Seconds between looks for endpoints and members that are gone.
_TIDY_SECONDS = 1.0
#: Seconds for which an entry that fell silent still counts for the budget.
_COUNTED_SECONDS = 12.0


class Boundary(typing.NamedTuple):
    """What an entry needs from the users' platform."""

    store: records.Store
    dialect: calls.Dialect
    spelling: directory.Spelling
    readers: intake.Decoders


class Entry:
    """One entry.

    :param own: who it is.
    :param boundary: how it speaks to callers, endpoints and the store.
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
        self.cluster = cluster_state.ClusterState(own)
        taking = intake.Intake(self.cluster, boundary.readers)
        self._followers = taking.create_followers(boundary.store, rng)
        patience = start_reading.read_delay(own.ip, own.seeds, rng)
        for follow in self._followers.values():
            follow.peer_wait_seconds = patience
        self.peers = gossip.Peers(own, self._followers, self.cluster, rng)
        for topic, follow in self._followers.items():
            follow.schedule = self.peers.read_turns_by_topic[topic]
            follow.on_changes = self.peers.update_dependents
            follow.on_missed_changes = self.peers.send_heartbeat
        self._subscribing = subscribing.LoadSubscriptions(
            own,
            self.cluster,
            self.peers.subscribe,
        )
        # Agents have eight seconds for five seconds' work.
        self.cluster.on_desired_version = self._tell_of_version
        log = request_log.RequestLog(registry)
        #: The cluster state, as metrics.
        self.gauges = gauges.Gauges(
            registry,
            self.cluster,
            self._followers,
            self.peers,
        )
        self._departure = departure.Departure(own, self.cluster)
        self._sender = attempt.Sender(self.cluster, boundary.dialect, log)
        self._path = path.Path(
            own,
            self.cluster,
            boundary.dialect,
            self._sender,
            log,
            self._entries,
            self._departure,
            self._others_ready,
            rng,
        )
        self.front = front.Front(self._path.serve, self._bounds)
        self._asked = front.Front(boundary.spelling.handler(self))

    @property
    def callers(self) -> str:
        """Return ``host:port`` where callers connect."""
        return self._own.callers

    @property
    def directory(self) -> str:
        """Return ``host:port`` where callers ask for entries."""
        return self._own.directory or self._own.readiness

    @property
    def ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self.peers.phase is members.Phase.READY

    def told(self, now: float) -> float:
        """Return for how long callers may keep a list that is told now."""
        return self._departure.told(now)

    def offered(self, now: float) -> list[str]:
        """Return the callers' addresses of entries to use."""
        found = [member.callers for member in self.peers.members.ready(now)]
        if self.ready:
            found.append(self._own.callers)
        return found or self._last_offered(now)

    def _last_offered(self, now: float) -> list[str]:
        """Return the entries to use when none is ready.

        Failure: all were stopped within six seconds, and each named itself,
        also those that took nothing any more. The ones told last still take
        what comes.
        """
        named = self._departure.lists.listed_seconds
        lately = self.peers.members.recently_draining(now, named)
        found = [member.callers for member in lately]
        if not found or self._departure.is_named(now):
            found.append(self._own.callers)
            self._departure.offered(now)
        return found

    async def run(self) -> None:
        """Serve until told to stop."""
        await self._listen()
        leave = leaving.Leaving(
            self.front,
            self._path,
            self.peers,
            self._departure,
        )
        async with asyncio.TaskGroup() as tasks:
            works = (
                *(one.run for one in self._followers.values()),
                self.peers.run,
                self._tidy,
                self._become_ready,
                self._subscribing.run,
            )
            running = [
                tasks.create_task(background.keep_running(work))
                for work in works
            ]
            await leave.wait()
            for task in running:
                task.cancel()
        await self.front.close()

    async def _listen(self) -> None:
        for listener, address in (
            (self.front, self._own.callers),
            (self._asked, self._own.readiness),
        ):
            host, _, port = address.rpartition(':')
            await listener.listen(host, int(port))
        if self._own.directory not in {'', self._own.readiness}:
            host, _, port = self._own.directory.rpartition(':')
            second = front.Front(self._asked.handler)
            await second.listen(host, int(port))
        await self.peers.listen()
        logger.bind(node=self._own.name, callers=self._own.callers).info(
            'entry started',
        )

    async def _become_ready(self) -> None:
        """Be ready once configuration and endpoints are known."""
        while not all(
            one.is_initialized for one in self._followers.values()
        ) or (self.cluster.routing is None):
            await asyncio.sleep(0.02)
        if self.peers.phase is members.Phase.STARTING:
            self.peers.phase = members.Phase.READY
            self.peers.send_heartbeat()
            logger.bind(
                node=self._own.name,
                seconds=uptime.seconds(),
            ).info('entry ready')
        await self._meet()

    async def _meet(self) -> None:
        """Find the other entries, and be found, through the store."""
        store = self._boundary.store
        while True:
            try:
                page = await store.newest(records.Topic.ENTRIES)
                self.peers.contact(page.ips)
                if not any(one.key == self._own.ip for one in page.records):
                    await store.put(records.Topic.ENTRIES, self._own.ip, b'1')
                break
            except errors.ClementinepassError as error:
                logger.info('entries not read: {}', error)
            await asyncio.sleep(_TIDY_SECONDS)
        await asyncio.Event().wait()

    async def _tidy(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_TIDY_SECONDS)
            now = loop.time()
            for endpoint in self.cluster.remove_expired(now):
                self._sender.forget(endpoint.listing.id)
            self.peers.members.remove_expired(now)

    def _tell_of_version(self) -> None:
        self.peers.send_heartbeat(full=True)

    def _entries(self) -> int:
        now = asyncio.get_running_loop().time()
        return 1 + self.peers.members.count_seen_within(now, _COUNTED_SECONDS)

    def _others_ready(self) -> int:
        now = asyncio.get_running_loop().time()
        return len(self.peers.members.ready(now))

    def _bounds(self) -> limits.Bounds:
        current: routing.Routing | None = self.cluster.routing
        return limits.Bounds() if current is None else current.bounds
