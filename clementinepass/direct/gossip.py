"""Send and take heartbeats, and hand records to peers that know less."""

from __future__ import annotations

import asyncio
import contextlib
import time
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.decisions import dissemination, start_reading
from clementinepass.direct import (
    catching_up,
    record_server,
    heartbeats,
    members,
    records,
    subscribers,
    bootstrap,
    turns,
)
from clementinepass.http import connection, front, replies
from clementinepass.wire import heartbeats as wire_heartbeats

if typing.TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from clementinepass.direct import cluster_state, follower, node
    from clementinepass.http import messages

#: Seconds between heartbeats. Counts of requests at endpoints are as old as
#: this when others place by them; each costs some 150 bytes a peer.
_HEARTBEAT_SECONDS = 0.4
#: Of so many heartbeats one carries all members and versions. New members are
#: heard of within two seconds, and most heartbeats stay short.
_HEARTBEATS_PER_FULL = 5
#: Seconds since a member was heard of in which its word is passed on. An older
#: one would keep nobody from being taken for gone.
_FRESH_SECONDS = 1.0
#: Members that are asked, for each heartbeat that tells of them, who they are.
_MAX_INTRODUCTIONS = 2
_NOT_FOUND = 404


class Peers:
    """The other processes: who they are, and what they say.

    :param local_node: who this process is.
    :param cluster: the state of the cluster.
    :param fallback_handler: answers peers' requests that aren't for records.
    """

    def __init__(
        self,
        local_node: node.Node,
        followers: dict[records.Topic, follower.Follower],
        cluster: cluster_state.ClusterState,
        rng: random.Random,
        fallback_handler: connection.Handler | None = None,
    ) -> None:
        self._local_node = local_node
        self._followers = followers
        self._cluster = cluster
        self._rng = rng
        self._fallback_handler = fallback_handler
        self._boot = time.time_ns()
        self._sequence = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._front = front.Front(self._serve)
        self._record_server = record_server.RecordServer(followers)
        self._bootstrap = bootstrap.Bootstrap(
            self._compose_full_message, self._send
        )
        self._polling = start_reading.SeedPolling(
            local_node.ip, local_node.seeds, rng
        )
        self._catching_up = catching_up.PeerCatchUp(
            local_node, followers, cluster
        )
        #: The entries.
        self.members = members.Members(local_node.ip)
        #: Who reads the store, and when reads end, by topic.
        self.read_turns_by_topic = {
            topic: turns.ReadTurns(local_node, self.members)
            for topic in (records.Topic.OPERATOR, records.Topic.ENDPOINTS)
        }
        #: Who uses the engine beside this process.
        self.subscribers = subscribers.Subscribers()
        #: What this process says of itself.
        self.phase = members.Phase.STARTING
        #: What an agent read of its engine.
        self.engine_statuses: tuple[heartbeats.EngineStatus, ...] = ()

    async def listen(self) -> None:
        """Listen on the system's own ports."""
        loop = asyncio.get_running_loop()
        opened = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self),
            local_addr=(self._local_node.ip, self._local_node.first_port),
        )
        self._transport = opened[0]
        await self._front.listen(
            self._local_node.ip, self._local_node.first_port
        )

    @property
    def is_bootstrapping(self) -> bool:
        """Tell whether this process doesn't know yet what is in the store."""
        return not all(one.is_initialized for one in self._followers.values())

    async def run(self) -> None:
        """Speak for ever."""
        while True:
            self.send_heartbeat()
            is_new = self.is_bootstrapping
            seconds = self._polling.pause() if is_new else _HEARTBEAT_SECONDS
            await asyncio.sleep(seconds * self._rng.uniform(0.9, 1.1))

    def poll_seeds(self) -> float:
        """Ask seeds what there is; return the seconds until the next time."""
        self.send_to(self._polling.due())
        return self._polling.pause()

    def send_heartbeat(self, *, full: bool = False) -> None:
        """Send one heartbeat to some of the others.

        :param full: whether to send all that there is to tell, also to the
            agents near.
        """
        self._sequence += 1
        is_whole = full or self._sequence % _HEARTBEATS_PER_FULL == 1
        ips = self._targets(full=is_whole)
        if full:
            ips.extend(ip for ip in self._nearby_agents() if ip not in ips)
        payload = wire_heartbeats.write_heartbeat(
            self._compose_heartbeat(full=is_whole),
        )
        for ip in ips:
            self._send(payload, ip)

    def send_to(self, ips: list[str]) -> None:
        """Send one heartbeat to given processes."""
        payload = wire_heartbeats.write_heartbeat(
            self._compose_heartbeat(full=False)
        )
        for ip in ips:
            self._send(payload, ip)

    def subscribe(self, ips: Iterable[str]) -> None:
        """Ask agents to be told of their engines' load for a while."""
        payload = wire_heartbeats.write_heartbeat(
            self._compose_heartbeat(full=False, wants_load=True),
        )
        for ip in ips:
            self._send(payload, ip)

    def send_load(self, ips: list[str], load: heartbeats.EngineLoad) -> None:
        """Tell entries the load of the engine beside this agent."""
        payload = wire_heartbeats.write_heartbeat(
            heartbeats.Heartbeat(load=load),
        )
        for ip in ips:
            self._send(payload, ip)

    def contact(self, ips: Iterable[str]) -> None:
        """Speak to processes that were found in the store."""
        self.send_to([ip for ip in ips if ip != self._local_node.ip])

    def local_member(self) -> members.Member | None:
        """Return what this entry says of itself; ``None`` for an agent."""
        if not self._local_node.callers:
            return None
        return members.Member(
            self._local_node.ip,
            self._boot,
            self._sequence,
            self.phase,
            self._local_node.callers,
            self._local_node.domain,
            self._local_node.region,
        )

    def receive(self, payload: bytes, ip: str) -> None:
        """Take a heartbeat."""
        try:
            heartbeat = wire_heartbeats.read_heartbeat(payload, ip)
        except errors.MalformedMessageError as error:
            logger.bind(peer=ip).warning('heartbeat dropped: {}', error)
            return
        now = asyncio.get_running_loop().time()
        if heartbeat.load is not None:
            self._cluster.update_engine_load(ip, heartbeat.load, now)
            return
        senders = () if heartbeat.sender is None else (heartbeat.sender,)
        changed = self.members.update((*senders, *heartbeat.members), now)
        by_digest, unknown = self.members.update_from_digests(
            heartbeat.digests, now
        )
        for member in (*changed, *by_digest):
            logger.bind(peer=member.ip, phase=member.phase.value).info(
                'member changed',
            )
        self._exchange_introductions(heartbeat, ip, unknown)
        self._apply_heartbeat(heartbeat, ip, now)

    def _exchange_introductions(
        self,
        heartbeat: heartbeats.Heartbeat,
        ip: str,
        unknown: list[str],
    ) -> None:
        """Say who this is where it's asked, and ask members not known yet.

        Such a message tells of nobody else: whoever gets it would ask on.
        """
        if heartbeat.wants_introduction:
            self._send(self._introduction(asks=False), ip)
        for each in unknown[:_MAX_INTRODUCTIONS]:
            self._send(self._introduction(asks=True), each)

    def _introduction(self, *, asks: bool) -> bytes:
        return wire_heartbeats.write_heartbeat(
            heartbeats.Heartbeat(
                sender=self.local_member(),
                wants_introduction=asks,
                operator_offset=self._offset(records.Topic.OPERATOR),
                endpoints_offset=self._offset(records.Topic.ENDPOINTS),
            ),
        )

    def _apply_heartbeat(
        self, heartbeat: heartbeats.Heartbeat, ip: str, now: float
    ) -> None:
        if heartbeat.wants_load:
            self.subscribers.renew(ip, now)
        if heartbeat.sender is not None:
            self._cluster.loads.heard(
                ip,
                heartbeat.in_flight_by_endpoint,
                now,
            )
            self._update_read_turns(heartbeat, ip, now)
        for named in heartbeat.desired_versions:
            self._cluster.add_desired_version(
                named.model,
                named.version,
                now - named.age,
                guessed=named.guessed,
            )
        for held in heartbeat.engine_statuses:
            self._cluster.update_engine_status(held, now)
        self._catching_up.handle_heartbeat(heartbeat, ip, now)
        self._bootstrap.handle_heartbeat(
            heartbeat, ip, now, offsets=self._offsets
        )

    def _update_read_turns(
        self, heartbeat: heartbeats.Heartbeat, ip: str, now: float
    ) -> None:
        pairs = (
            (records.Topic.OPERATOR, heartbeat.operator_read_ends_in),
            (records.Topic.ENDPOINTS, heartbeat.endpoints_read_ends_in),
        )
        sender = heartbeat.sender
        is_near = (
            sender is not None and sender.region == self._local_node.region
        )
        for topic, seconds in pairs:
            self.read_turns_by_topic[topic].update(ip, seconds, now)
            if is_near and seconds and topic in self._followers:
                self._followers[topic].record_reader_contact(now)

    async def _serve(
        self,
        request: messages.Request,
        reply: replies.Reply,
    ) -> None:
        """Answer a peer's request."""
        if self._record_server.handles(request):
            self._record_server.handle(request, reply)
        elif self._fallback_handler is None:
            reply.send(_NOT_FOUND, [], b'')
        else:
            await self._fallback_handler(request, reply)

    def _compose_heartbeat(
        self,
        *,
        full: bool,
        wants_load: bool = False,
    ) -> heartbeats.Heartbeat:
        now = asyncio.get_running_loop().time()
        alive = self.members.alive(now)
        is_small = len(alive) <= dissemination.MOST_DIRECT
        drawn = dissemination.digests(
            len(alive),
            self.members.seen_within(now, _FRESH_SECONDS),
            self._rng,
        )
        return heartbeats.Heartbeat(
            sender=self.local_member(),
            members=tuple(alive) if full and is_small else (),
            digests=tuple(
                members.Digest(one.ip, one.boot, one.heartbeat, one.phase)
                for one in drawn
            ),
            in_flight_by_endpoint=self._cluster.in_flight_by_endpoint(now),
            operator_offset=self._offset(records.Topic.OPERATOR),
            endpoints_offset=self._offset(records.Topic.ENDPOINTS),
            configuration_version=self._cluster.configuration_version,
            operator_read_ends_in=self._read_ends_in(
                records.Topic.OPERATOR, now
            ),
            endpoints_read_ends_in=self._read_ends_in(
                records.Topic.ENDPOINTS, now
            ),
            desired_versions=(
                self._cluster.desired_versions(now)
                if full or wants_load
                else ()
            ),
            engine_statuses=self.engine_statuses,
            wants_load=wants_load,
        )

    @property
    def _offsets(self) -> tuple[int, int]:
        return (
            self._offset(records.Topic.OPERATOR),
            self._offset(records.Topic.ENDPOINTS),
        )

    def _compose_full_message(self) -> bytes:
        return wire_heartbeats.write_heartbeat(
            self._compose_heartbeat(full=True)
        )

    def _offset(self, topic: records.Topic) -> int:
        own = self._followers.get(topic)
        return 0 if own is None else own.state.next_offset

    def _read_ends_in(self, topic: records.Topic, now: float) -> float:
        own = self._followers.get(topic)
        return 0 if own is None else own.read_ends_in(now)

    def _targets(self, *, full: bool) -> list[str]:
        """Return whom this heartbeat goes to."""
        near, far = self.members.split_by_domain(self._local_node.domain)
        others: set[str] = set()
        if self.is_bootstrapping:
            others.update(self._polling.due())
        elif full or not (near or far):
            others.update(self._local_node.seeds, self._nearby_agents())
        far.extend(others.difference(near, far))
        drawn = dissemination.targets(near, far, self._rng)
        return [*drawn, *self._dependents().difference(drawn)]

    def update_dependents(self) -> None:
        """Speak at once to those that are told of the store from here."""
        self.send_to(list(self._dependents()))
        if not self.is_bootstrapping:
            now = asyncio.get_running_loop().time()
            self._bootstrap.reply_to_waiting(now)

    def _dependents(self) -> set[str]:
        """Return the entries that rely on this one for what the store has.

        They are told with each heartbeat, however many there are: one that
        hears of no reader reads the store itself.
        """
        if not any(one.is_reading for one in self._followers.values()):
            return set()
        now = asyncio.get_running_loop().time()
        return {
            one.ip
            for one in self.members.alive(now)
            if one.region == self._local_node.region
        }

    def _nearby_agents(self) -> list[str]:
        """Return agents of the own failure domain.

        An agent learns from them which entries there are, and tells all of
        them when its engine has new weights.
        """
        if not self._local_node.callers:
            return []
        return [
            endpoint.listing.address.rpartition(':')[0]
            for endpoint in self._cluster.endpoints
            if endpoint.listing.domain == self._local_node.domain
            and endpoint.gone_at is None
        ]

    def _send(self, payload: bytes, ip: str) -> None:
        if self._transport is None or ip == self._local_node.ip:
            return
        with contextlib.suppress(OSError):
            self._transport.sendto(payload, (ip, self._local_node.first_port))


class _Datagrams(asyncio.DatagramProtocol):
    """Hand datagrams on."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers

    def datagram_received(
        self,
        payload: bytes,
        address: tuple[str | typing.Any, int],
    ) -> None:
        """Take one datagram."""
        self._peers.receive(payload, str(address[0]))

    def error_received(self, error: Exception) -> None:
        """Pass over a peer that isn't there; its silence says it."""
