"""Assemble and run an entry, which serves callers."""

from __future__ import annotations

import asyncio
import functools
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
    directory,
    gauges,
    gossip,
    intake,
    leaving,
    members,
    path,
    records,
    request_log,
    store_watch,
    subscribing,
    uptime,
)
from clementinepass.http import front, limits

if typing.TYPE_CHECKING:
    from clementinepass.direct import calls, node, routing

#: Seconds between removals of expired endpoints and members.
_CLEANUP_SECONDS = 1.0
#: Seconds for which a silent entry still counts for the retry budget.
_ENTRY_COUNT_SECONDS = 12.0


class PlatformAdapters(typing.NamedTuple):
    """Adapters to the store and the protocols of the users' platform."""

    store: records.Store
    dialect: calls.Dialect
    directory_handlers: directory.HandlerFactory
    decoders: intake.Decoders


class Entry:
    """An HTTP front process.

    :param local_node: identity, addresses and limits of the entry.
    :param adapters: adapters to callers, endpoints and the store.
    :param registry: where metrics are registered.
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
        #: Creates the fronts of all ports.
        self.fronts = front.FrontFactory.from_limits(
            local_node.memory_bytes, local_node.sockets
        )
        self.cluster = cluster_state.ClusterState(
            local_node, _loop_time, started_at
        )
        record_intake = intake.Intake(self.cluster, adapters.decoders)
        self._followers = record_intake.create_followers(adapters.store, rng)
        start_delay = start_reading.read_delay(
            local_node.ip, local_node.seeds, rng
        )
        for follower in self._followers.values():
            follower.peer_wait_seconds = start_delay
        self.peers = gossip.Peers(
            local_node,
            self._followers,
            self.cluster,
            rng,
            fronts=self.fronts,
        )
        self.peers.store_distances.measure = lambda: (
            adapters.store.min_connect_seconds
        )
        adapters.store.on_new_era = self._restart_reads
        for topic, follower in self._followers.items():
            follower.schedule = self.peers.read_turns_by_topic[topic]
            follower.on_changes = functools.partial(
                self.peers.update_dependents, topic
            )
            follower.on_missed_changes = self.peers.send_heartbeat
        self._store_watch = store_watch.StoreWatch(
            adapters.store,
            self._followers[records.Topic.OPERATOR],
            self.peers.read_turns_by_topic[records.Topic.OPERATOR],
            rng,
        )
        self._subscribing = subscribing.LoadSubscriptions(
            local_node,
            self.cluster,
            self.peers.subscribe,
        )
        # Desired versions are announced at once: agents have eight seconds to
        # load a version, and need five.
        self.cluster.on_desired_version = self._announce_version
        self.cluster.crash_evidence.other_entries = self._other_entries
        self.cluster.limits.sharing_entries = self._sharing_entries
        self.cluster.cold.known_entries = self._known_entries
        log = request_log.RequestLog(registry)
        #: Metrics of the cluster state.
        self.gauges = gauges.Gauges(
            registry,
            self.cluster,
            self._followers,
            self.peers,
            self.fronts.memory,
            self.fronts.connections,
        )
        self._drain_state = departure.DrainState(local_node, self.cluster)
        self._sender = attempt.Sender(
            self.cluster, adapters.dialect, log, self.fronts.memory
        )
        self._request_handler = path.RequestHandler(
            local_node,
            self.cluster,
            adapters.dialect,
            self._sender,
            log,
            self._count_entries,
            self._drain_state,
            self._count_ready_peers,
            rng,
        )
        slot_requests = self._request_handler.slot_requests
        slot_requests.send = self.peers.send_slot_message
        self.peers.on_slot_message = slot_requests.handle
        self.front = self.fronts.create(
            self._request_handler.serve, self._bounds
        )
        self._directory_front = self.fronts.create(
            adapters.directory_handlers.create_handler(self), self._bounds
        )

    @property
    def callers_address(self) -> str:
        """Return ``host:port`` where callers connect."""
        return self._local_node.callers

    @property
    def directory_address(self) -> str:
        """Return ``host:port`` of the directory of entries."""
        return self._local_node.directory or self._local_node.readiness

    @property
    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self.peers.phase is members.Phase.READY

    def list_ttl_seconds(self, now: float) -> float:
        """Return how long callers may keep a list that they receive now."""
        return self._drain_state.list_ttl_seconds(now)

    def listed_addresses(
        self, now: float, query: directory.Query = directory.ANY_CALLER
    ) -> list[str]:
        """Return the addresses of the entries that a caller should use.

        They depend on the regions in which its requests may run.
        """
        ready = self.peers.members.ready(now)
        local_member = self.peers.local_member()
        if self.is_ready and local_member is not None:
            ready.append(local_member)
        preferred = directory.preferred_entries(
            ready, self.cluster.routing, query
        )
        addresses = [member.callers_address for member in preferred]
        return addresses or self._draining_addresses(now)

    def _draining_addresses(self, now: float) -> list[str]:
        """Return the addresses to list while no entry is ready.

        If all entries are stopped within six seconds, only those that started
        to drain last still accept requests. Without this restriction each entry
        lists itself, even if it accepts nothing any more.
        """
        max_seconds = self._drain_state.list_policy.listed_seconds
        draining_members = self.peers.members.recently_draining(
            now, max_seconds
        )
        addresses = [member.callers_address for member in draining_members]
        if not addresses or self._drain_state.is_listed(now):
            addresses.append(self._local_node.callers)
            self._drain_state.log_listed(now)
        return addresses

    async def run(self) -> None:
        """Serve until the process is asked to stop and has drained."""
        await self._listen()
        drainer = leaving.Drainer(
            self.front,
            self._request_handler,
            self.peers,
            self._drain_state,
        )
        try:
            async with asyncio.TaskGroup() as tasks:
                jobs = (
                    *(follower.run for follower in self._followers.values()),
                    self.peers.run,
                    self._clean_up,
                    self._become_ready,
                    self._subscribing.run,
                    self._store_watch.run,
                )
                running = [
                    tasks.create_task(background.keep_running(job))
                    for job in jobs
                ]
                await drainer.wait_until_drained()
                for task in running:
                    task.cancel()
        finally:
            await self._close()

    async def _listen(self) -> None:
        for listener, address in (
            (self.front, self._local_node.callers),
            (self._directory_front, self._local_node.readiness),
        ):
            host, _, port = address.rpartition(':')
            await listener.listen(host, int(port))
        if self._local_node.directory not in {'', self._local_node.readiness}:
            host, _, port = self._local_node.directory.rpartition(':')
            extra_front = self.fronts.create(
                self._directory_front.handler, self._bounds
            )
            await extra_front.listen(host, int(port))
        await self.peers.listen()
        logger.bind(
            node=self._local_node.name, callers=self._local_node.callers
        ).info(
            'entry started',
        )

    async def _close(self) -> None:
        for listener in (self.front, self._directory_front, self.peers):
            await listener.close()

    def _restart_reads(self, era: int) -> None:
        """Start reads of earlier eras of the store anew, once this one ends."""
        loop = asyncio.get_running_loop()
        for follower in self._followers.values():
            loop.call_soon(follower.restart_read, era)

    async def _become_ready(self) -> None:
        """Become ready once configuration and endpoints are known."""
        while not all(
            follower.is_initialized for follower in self._followers.values()
        ) or (self.cluster.routing is None):
            await asyncio.sleep(0.02)
        if self.peers.phase is members.Phase.STARTING:
            self.peers.phase = members.Phase.READY
            self.peers.send_heartbeat()
            logger.bind(
                node=self._local_node.name,
                seconds=uptime.seconds(),
            ).info('entry ready')
        await self._join()

    async def _join(self) -> None:
        """Discover the other entries through the store, and register there."""
        store = self._adapters.store
        while True:
            try:
                page = await store.newest(records.Topic.ENTRIES)
                self.peers.contact(page.ips)
                await self._register({self._local_node.ip}, page)
                break
            except errors.ClementinepassError as error:
                logger.info('entries not read: {}', error)
            await asyncio.sleep(_CLEANUP_SECONDS)
        await self._restore_registrations()

    async def _restore_registrations(self) -> None:
        """Register all entries again when the store came back from a copy.

        Only the few entries that read the store do it, in one call each.
        """
        operator = self._followers[records.Topic.OPERATOR]
        era = operator.state.era
        while True:
            await asyncio.sleep(_CLEANUP_SECONDS)
            if operator.state.era == era or not operator.is_reading:
                continue
            newer_era = operator.state.era
            ips = {self._local_node.ip, *self._other_entries()}
            try:
                page = await self._adapters.store.newest(records.Topic.ENTRIES)
                await self._register(ips, page)
                era = newer_era
            except errors.ClementinepassError as error:
                logger.info('entries not read: {}', error)

    async def _register(self, ips: set[str], page: records.Page) -> None:
        """Write the entries that are missing in a list.

        :param ips: the IP addresses of the entries.
        :param page: the newest records of the list.
        """
        missing = ips.difference(record.key for record in page.records)
        if missing:
            await self._adapters.store.put(
                records.Topic.ENTRIES, dict.fromkeys(sorted(missing), b'1')
            )

    async def _clean_up(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_CLEANUP_SECONDS)
            now = loop.time()
            self.cluster.account_for_suspension()
            for endpoint in self.cluster.remove_expired(now):
                self._sender.close_connections(endpoint.listing.id)
            self._sender.crash_detector.check_removals(now)
            self.peers.members.remove_expired(now)

    def _announce_version(self) -> None:
        self.peers.send_heartbeat(full=True)

    def _count_entries(self) -> int:
        now = asyncio.get_running_loop().time()
        return 1 + self.peers.members.count_seen_within(
            now, _ENTRY_COUNT_SECONDS
        )

    def _other_entries(self) -> list[str]:
        now = asyncio.get_running_loop().time()
        return [member.ip for member in self.peers.members.alive(now)]

    def _known_entries(self) -> list[str]:
        """Return the other entries that are known, silent ones included."""
        near, far = self.peers.members.split_by_domain(self._local_node.domain)
        return near + far

    def _sharing_entries(self) -> list[str]:
        """Return the entries that share the limits of endpoints.

        One that drains gives its share to the others, unless all of them do.
        """
        now = asyncio.get_running_loop().time()
        ips = [member.ip for member in self.peers.members.ready(now)]
        if self.is_ready:
            ips.append(self._local_node.ip)
        return ips or [self._local_node.ip, *self._other_entries()]

    def _count_ready_peers(self) -> int:
        now = asyncio.get_running_loop().time()
        return len(self.peers.members.ready(now))

    def _bounds(self) -> limits.Bounds:
        configuration: routing.Routing | None = self.cluster.routing
        return (
            limits.Bounds() if configuration is None else configuration.bounds
        )


def _loop_time() -> float:
    return asyncio.get_running_loop().time()
