"""Exchange heartbeats with peers, and serve them records of the store."""

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
    store_distances,
    subscribers,
    bootstrap,
    turns,
)
from clementinepass.direct.placement import messages as slots
from clementinepass.http import connection, front, replies
from clementinepass.wire import heartbeats as wire_heartbeats

if typing.TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from clementinepass.direct import cluster_state, follower, node
    from clementinepass.http import messages

#: Seconds between heartbeats. Request counts are this old when other entries
#: select endpoints by them. A heartbeat costs some 150 bytes per peer.
_HEARTBEAT_SECONDS = 0.4
#: One of this many heartbeats is full: it carries all members and versions.
#: New members become known within two seconds, and most heartbeats stay short.
_HEARTBEATS_PER_FULL = 5
#: Seconds since a member was last seen within which its digest is passed on.
#: An older digest would be too late to show that the member is alive.
_FRESH_SECONDS = 1.0
#: Most unknown members that are asked to introduce themselves, per heartbeat
#: that lists them.
_MAX_INTRODUCTIONS = 2
#: Shortest age of the last contact with the store that is announced; 0 means
#: that there was none.
_MIN_CONTACT_AGE_SECONDS = 0.001
#: Seconds for which findings on endpoints are collected for an extra heartbeat.
_ANNOUNCEMENT_DELAY_SECONDS = 0.02
#: Sets of prompt parts in one message, and most of them that one message asks
#: for; the rest is asked for after the next heartbeat.
_PART_SETS_PER_MESSAGE = 4
_MAX_WANTED_PART_SETS = 64
#: Delay of a heartbeat from which on it is logged: requests waited as long.
_LOGGED_DELAY_SECONDS = 0.2
_NOT_FOUND = 404


class Peers:
    """Exchanges state with the other processes.

    :param local_node: the local node.
    :param followers: the followers of the store's topics.
    :param cluster: the state of the cluster, updated from heartbeats.
    :param fallback_handler: answers peers' requests that are not for records.
    :param fronts: creates the front for peers; one of its own if absent.
    """

    def __init__(
        self,
        local_node: node.Node,
        followers: dict[records.Topic, follower.Follower],
        cluster: cluster_state.ClusterState,
        rng: random.Random,
        fallback_handler: connection.Handler | None = None,
        fronts: front.FrontFactory | None = None,
    ) -> None:
        self._local_node = local_node
        self._followers = followers
        self._cluster = cluster
        self._rng = rng
        self._fallback_handler = fallback_handler
        self._boot = time.time_ns()
        self._sequence = 0
        self._transport: asyncio.DatagramTransport | None = None
        fronts = fronts or front.FrontFactory.from_limits(0, 0)
        self._front = fronts.create(self._serve)
        self._record_server = record_server.RecordServer(followers)
        self._bootstrap = bootstrap.Bootstrap(
            self._compose_full_message, self._send
        )
        self._polling = start_reading.SeedPolling(
            local_node.ip, local_node.seeds, rng
        )
        #: The other entries.
        self.members = members.Members(local_node.ip)
        #: How far each region is from the store.
        self.store_distances = store_distances.StoreDistances(local_node.region)
        #: The schedule of reads of the store, by topic. Configurations are
        #: large, and only the region nearest to the store reads them.
        self.read_turns_by_topic = {
            records.Topic.OPERATOR: turns.ReadTurns(
                local_node, self.members, self.store_distances
            ),
            records.Topic.ENDPOINTS: turns.ReadTurns(local_node, self.members),
        }
        self._catching_up = catching_up.PeerCatchUp(
            local_node,
            followers,
            cluster,
            self.read_turns_by_topic[records.Topic.OPERATOR],
        )
        #: The entries that subscribe to the load of this agent's engine.
        self.subscribers = subscribers.Subscribers()
        cluster.crash_evidence.on_finding = self._schedule_announcement
        cluster.limits.on_change = self._schedule_announcement
        self._announcement: asyncio.TimerHandle | None = None
        #: Handles messages on slots of engines, if this process uses them.
        self.on_slot_message: (
            typing.Callable[[str, slots.SlotMessage], None] | None
        ) = None
        #: The state that this process announces.
        self.phase = members.Phase.STARTING
        #: The state of this agent's engine, as it announces it.
        self.engine_statuses: tuple[heartbeats.EngineStatus, ...] = ()

    async def listen(self) -> None:
        """Listen for heartbeats and for peers' requests."""
        loop = asyncio.get_running_loop()
        opened = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self),
            local_addr=(self._local_node.ip, self._local_node.first_port),
        )
        self._transport = opened[0]
        await self._front.listen(
            self._local_node.ip, self._local_node.first_port
        )

    async def close(self) -> None:
        """Stop listening, and close the connections of peers."""
        if self._transport is not None:
            self._transport.close()
            # Announcements may still be scheduled.
            self._transport = None
        await self._front.close()

    @property
    def is_bootstrapping(self) -> bool:
        """Return whether some topic of the store has not been read yet."""
        return not all(
            topic_follower.is_initialized
            for topic_follower in self._followers.values()
        )

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self.send_heartbeat()
            is_starting = self.is_bootstrapping
            seconds = (
                self._polling.next_pause()
                if is_starting
                else _HEARTBEAT_SECONDS
            )
            seconds *= self._rng.uniform(0.9, 1.1)
            due_at = loop.time() + seconds
            await asyncio.sleep(seconds)
            delay = loop.time() - due_at
            if delay >= _LOGGED_DELAY_SECONDS:
                logger.bind(seconds=round(delay, 3)).warning(
                    'event loop delayed'
                )

    def poll_seeds(self) -> float:
        """Send heartbeats to the seeds that are due.

        :returns: the seconds until the next poll.
        """
        self.send_to(self._polling.next_seeds())
        return self._polling.next_pause()

    def send_heartbeat(self, *, full: bool = False) -> None:
        """Send one heartbeat to a selection of peers.

        :param full: whether to send a full heartbeat, and to send it also to
            the agents of the local failure domain.
        """
        self._sequence += 1
        is_full = full or self._sequence % _HEARTBEATS_PER_FULL == 1
        ips = self._targets(full=is_full)
        if full:
            ips.extend(ip for ip in self._nearby_agents() if ip not in ips)
        payload = wire_heartbeats.write_heartbeat(
            self._compose_heartbeat(full=is_full),
        )
        for ip in ips:
            self._send(payload, ip)

    def _schedule_announcement(self) -> None:
        """Announce a crash or a limit of an endpoint by an extra heartbeat.

        All requests at a crashed endpoint end at about the same time, and are
        announced together.
        """
        if self._announcement is None:
            self._announcement = asyncio.get_running_loop().call_later(
                _ANNOUNCEMENT_DELAY_SECONDS, self._announce
            )

    def _announce(self) -> None:
        self._announcement = None
        self.send_heartbeat()

    def send_to(self, ips: list[str]) -> None:
        """Send one heartbeat to the processes at some IP addresses."""
        payload = wire_heartbeats.write_heartbeat(
            self._compose_heartbeat(full=False)
        )
        for ip in ips:
            self._send(payload, ip)

    def subscribe(self, ips: Iterable[str]) -> None:
        """Subscribe to the load of the engines of some agents for a while."""
        payload = wire_heartbeats.write_heartbeat(
            self._compose_heartbeat(full=False, wants_load=True),
        )
        for ip in ips:
            self._send(payload, ip)

    def send_load(self, ips: list[str], load: heartbeats.EngineLoad) -> None:
        """Send the load of this agent's engine to some entries."""
        payload = wire_heartbeats.write_heartbeat(
            heartbeats.Heartbeat(load=load),
        )
        for ip in ips:
            self._send(payload, ip)

    def send_slot_message(self, ip: str, message: slots.SlotMessage) -> None:
        """Send a message on a slot of an engine."""
        self._send(
            wire_heartbeats.write_heartbeat(heartbeats.Heartbeat(slot=message)),
            ip,
        )

    def contact(self, ips: Iterable[str]) -> None:
        """Send a heartbeat to processes found in the store."""
        self.send_to([ip for ip in ips if ip != self._local_node.ip])

    def local_member(self) -> members.Member | None:
        """Return the member that an entry announces; ``None`` for an agent."""
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
        """Handle a datagram from a peer."""
        try:
            heartbeat = wire_heartbeats.read_heartbeat(payload, ip)
        except errors.MalformedMessageError as error:
            logger.bind(peer=ip).warning('heartbeat dropped: {}', error)
            return
        now = asyncio.get_running_loop().time()
        if heartbeat.load is not None:
            self._cluster.update_engine_load(ip, heartbeat.load, now)
            return
        if heartbeat.slot is not None:
            if self.on_slot_message is not None:
                self.on_slot_message(ip, heartbeat.slot)
            return
        if heartbeat.wanted_part_sets or heartbeat.part_sets:
            self._exchange_part_sets(heartbeat, ip, now)
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
        # After a loss of all entries only agents know what entries told each
        # other: times of versions, and crashes of endpoints.
        is_agent = not self._local_node.callers
        if is_agent and heartbeat.sender in changed:
            self._bootstrap.send_state(ip, now)
        self._exchange_introductions(heartbeat, ip, unknown)
        self._apply_heartbeat(heartbeat, ip, now)

    def _exchange_part_sets(
        self, heartbeat: heartbeats.Heartbeat, ip: str, now: float
    ) -> None:
        """Answer a request for sets of prompt parts, or take in some."""
        evidence = self._cluster.crash_evidence
        if heartbeat.part_sets:
            evidence.add_part_sets(heartbeat.part_sets, now, ip)
        found = evidence.find_part_sets(heartbeat.wanted_part_sets)
        for start in range(0, len(found), _PART_SETS_PER_MESSAGE):
            message = heartbeats.Heartbeat(
                part_sets=found[start : start + _PART_SETS_PER_MESSAGE]
            )
            self._send(wire_heartbeats.write_heartbeat(message), ip)

    def _exchange_introductions(
        self,
        heartbeat: heartbeats.Heartbeat,
        ip: str,
        unknown: list[str],
    ) -> None:
        """Answer a request for an introduction, and request some in turn.

        An introduction lists no other members. Otherwise its receiver would
        request introductions from those that it does not know, and so on.
        """
        if heartbeat.wants_introduction:
            self._send(self._introduction(wants_reply=False), ip)
        for unknown_ip in unknown[:_MAX_INTRODUCTIONS]:
            self._send(self._introduction(wants_reply=True), unknown_ip)

    def _introduction(self, *, wants_reply: bool) -> bytes:
        return wire_heartbeats.write_heartbeat(
            heartbeats.Heartbeat(
                sender=self.local_member(),
                wants_introduction=wants_reply,
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
            self._cluster.loads.update_peer_counts(
                ip,
                heartbeat.in_flight_by_endpoint,
                now,
            )
            self.store_distances.update(heartbeat.store_distances)
            self._update_read_turns(heartbeat, heartbeat.sender, now)
        for desired in heartbeat.desired_versions:
            self._cluster.add_desired_version(
                desired.model,
                desired.version,
                now - desired.age,
                guessed=desired.guessed,
                source=ip,
            )
        for status in heartbeat.engine_statuses:
            self._cluster.update_engine_status(status, now)
        self._cluster.limits.apply(heartbeat.endpoint_limits, now)
        member_count = len(self.members.alive(now))
        missing = self._cluster.crash_evidence.apply(
            heartbeat.crash_evidence,
            now,
            is_relayed=member_count > dissemination.MAX_BROADCAST_MEMBERS,
            peer=ip,
        )
        if missing:
            request = heartbeats.Heartbeat(
                wanted_part_sets=missing[:_MAX_WANTED_PART_SETS]
            )
            self._send(wire_heartbeats.write_heartbeat(request), ip)
        self._catching_up.handle_heartbeat(heartbeat, ip, now)
        self._bootstrap.handle_heartbeat(
            heartbeat, ip, now, offsets=self._offsets
        )

    def _update_read_turns(
        self,
        heartbeat: heartbeats.Heartbeat,
        sender: members.Member,
        now: float,
    ) -> None:
        pairs = (
            (records.Topic.OPERATOR, heartbeat.operator_read_ends_in),
            (records.Topic.ENDPOINTS, heartbeat.endpoints_read_ends_in),
        )
        for topic, seconds in pairs:
            self.read_turns_by_topic[topic].update(
                sender.ip, sender.region, seconds, now
            )
        if (
            sender.region == self._local_node.region
            and heartbeat.endpoints_read_ends_in
        ):
            self._record_contact(records.Topic.ENDPOINTS, now)
        if heartbeat.operator_contact_age:
            self._record_contact(
                records.Topic.OPERATOR, now - heartbeat.operator_contact_age
            )

    def _record_contact(self, topic: records.Topic, at: float) -> None:
        topic_follower = self._followers.get(topic)
        if topic_follower is not None:
            topic_follower.record_reader_contact(at)

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
        is_small = len(alive) <= dissemination.MAX_BROADCAST_MEMBERS
        drawn = dissemination.choose_digests(
            len(alive),
            self.members.seen_within(now, _FRESH_SECONDS),
            self._rng,
        )
        return heartbeats.Heartbeat(
            sender=self.local_member(),
            members=tuple(alive) if full and is_small else (),
            digests=tuple(
                members.Digest(
                    member.ip, member.boot, member.heartbeat, member.phase
                )
                for member in drawn
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
            operator_contact_age=self._contact_age(records.Topic.OPERATOR, now),
            store_distances=(
                dict(self.store_distances.seconds_by_region) if full else {}
            ),
            desired_versions=(
                self._cluster.desired_versions(now)
                if full or wants_load
                else ()
            ),
            engine_statuses=self.engine_statuses,
            crash_evidence=self._cluster.crash_evidence.report(now, full=full),
            endpoint_limits=self._cluster.limits.report(now, full=full),
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
        topic_follower = self._followers.get(topic)
        return 0 if topic_follower is None else topic_follower.state.next_offset

    def _read_ends_in(self, topic: records.Topic, now: float) -> float:
        topic_follower = self._followers.get(topic)
        return 0 if topic_follower is None else topic_follower.read_ends_in(now)

    def _contact_age(self, topic: records.Topic, now: float) -> float:
        topic_follower = self._followers.get(topic)
        if topic_follower is None or not topic_follower.last_contact:
            return 0
        return max(now - topic_follower.last_contact, _MIN_CONTACT_AGE_SECONDS)

    def _targets(self, *, full: bool) -> list[str]:
        """Return the IP addresses that a heartbeat goes to."""
        near, far = self.members.split_by_domain(self._local_node.domain)
        extra: set[str] = set()
        if self.is_bootstrapping:
            extra.update(self._polling.next_seeds())
        elif full or not (near or far):
            extra.update(self._local_node.seeds, self._nearby_agents())
        far.extend(extra.difference(near, far))
        drawn = dissemination.choose_targets(near, far, self._rng)
        dependents = self._dependents() | self._informed_relays()
        return [*drawn, *dependents.difference(drawn)]

    def update_dependents(self, topic: records.Topic) -> None:
        """Announce new records at once to the entries that get them from here.

        An entry that fetches records for its region announces them to those of
        the other regions, too: the link of one of them to the nearest region
        may be full and lose datagrams. Processes that have just started and
        wait for records are answered, too.

        :param topic: the topic of the new records.
        """
        now = asyncio.get_running_loop().time()
        ips = self._dependents()
        if topic is records.Topic.OPERATOR:
            operator_turns = self.read_turns_by_topic[topic]
            if operator_turns.is_relay(now):
                ips |= operator_turns.relays(now)
        self.send_to(list(ips))
        if not self.is_bootstrapping:
            self._bootstrap.reply_to_waiting(now)

    def _dependents(self) -> set[str]:
        """Return the entries that get the store's records from this one.

        Each heartbeat goes to all of them, however many there are: an entry
        that sees no reader of its region reads the store itself.
        """
        if not any(
            topic_follower.is_reading
            for topic_follower in self._followers.values()
        ):
            return set()
        now = asyncio.get_running_loop().time()
        return {
            member.ip
            for member in self.members.alive(now)
            if member.region == self._local_node.region
        }

    def _informed_relays(self) -> set[str]:
        """Return the entries of other regions that rely on reads of this one.

        They fetch the operator's records, and read the store themselves if they
        hear of no reader.
        """
        operator = self._followers.get(records.Topic.OPERATOR)
        is_entry = bool(self._local_node.callers)
        if operator is None or not (is_entry and operator.is_reading):
            return set()
        now = asyncio.get_running_loop().time()
        return self.read_turns_by_topic[operator.topic].relays(now)

    def _nearby_agents(self) -> list[str]:
        """Return the agents of the local failure domain; none for an agent.

        Heartbeats tell an agent which entries there are; it announces new
        weights of its engine to all of them.
        """
        if not self._local_node.callers:
            return []
        return [
            endpoint.listing.address.rpartition(':')[0]
            for endpoint in self._cluster.endpoints
            if endpoint.listing.domain == self._local_node.domain
            and endpoint.unusable_at is None
        ]

    def _send(self, payload: bytes, ip: str) -> None:
        if self._transport is None or ip == self._local_node.ip:
            return
        with contextlib.suppress(OSError):
            self._transport.sendto(payload, (ip, self._local_node.first_port))


class _Datagrams(asyncio.DatagramProtocol):
    """Passes received datagrams to :class:`Peers`."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers

    def datagram_received(
        self,
        payload: bytes,
        address: tuple[str | typing.Any, int],
    ) -> None:
        """Handle one datagram."""
        self._peers.receive(payload, str(address[0]))

    def error_received(self, error: Exception) -> None:
        """Ignore an unreachable peer; its silence shows that it is gone."""
