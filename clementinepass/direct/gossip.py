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
_WHOLE_EACH = 5
#: Seconds since a member was heard of in which its word is passed on. An older
#: one would keep nobody from being taken for gone.
_FRESH_SECONDS = 1.0
#: Members that are asked, for each heartbeat that tells of them, who they are.
_MOST_ASKED = 2
_NOT_FOUND = 404


class Peers:
    """The other processes: who they are, and what they say.

    :param own: who this process is.
    :param known: the state of the cluster.
    :param others: answers peers' requests that aren't for records.
    """

    def __init__(
        self,
        own: node.Node,
        followers: dict[records.Topic, follower.Follower],
        known: cluster_state.ClusterState,
        rng: random.Random,
        others: connection.Handler | None = None,
    ) -> None:
        self._own = own
        self._followers = followers
        self._cluster = known
        self._rng = rng
        self._others = others
        self._boot = time.time_ns()
        self._sequence = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._front = front.Front(self._serve)
        self._record_server = record_server.RecordServer(followers)
        self._bootstrap = bootstrap.Bootstrap(self._whole_message, self._send)
        self._polling = start_reading.SeedPolling(own.ip, own.seeds, rng)
        self._catching_up = catching_up.CatchingUp(own, followers, known)
        #: The entries.
        self.members = members.Members(own.ip)
        #: Who reads the store, and when reads end, by topic.
        self.turns_by_topic = {
            topic: turns.Turns(own, self.members)
            for topic in (records.Topic.OPERATOR, records.Topic.ENDPOINTS)
        }
        #: Who uses the engine beside this process.
        self.subscribers = subscribers.Subscribers()
        #: What this process says of itself.
        self.phase = members.Phase.STARTING
        #: What an agent read of its engine.
        self.held: tuple[heartbeats.Held, ...] = ()

    async def listen(self) -> None:
        """Listen on the system's own ports."""
        loop = asyncio.get_running_loop()
        opened = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self),
            local_addr=(self._own.ip, self._own.first_port),
        )
        self._transport = opened[0]
        await self._front.listen(self._own.ip, self._own.first_port)

    @property
    def is_new(self) -> bool:
        """Tell whether this process doesn't know yet what is in the store."""
        return not all(one.started for one in self._followers.values())

    async def run(self) -> None:
        """Speak for ever."""
        while True:
            self.speak()
            is_new = self.is_new
            seconds = (
                self._polling.next_pause() if is_new else _HEARTBEAT_SECONDS
            )
            await asyncio.sleep(seconds * self._rng.uniform(0.9, 1.1))

    def ask(self) -> float:
        """Ask seeds what there is; return the seconds until the next time."""
        self.tell(self._polling.next_seeds())
        return self._polling.next_pause()

    def speak(self, *, whole: bool = False) -> None:
        """Send one heartbeat to some of the others.

        :param whole: whether to send all that there is to tell, also to the
            agents near.
        """
        self._sequence += 1
        is_whole = whole or self._sequence % _WHOLE_EACH == 1
        ips = self._targets(whole=is_whole)
        if whole:
            ips.extend(ip for ip in self._near_agents() if ip not in ips)
        payload = wire_heartbeats.write_heartbeat(
            self._own_heartbeat(whole=is_whole),
        )
        for ip in ips:
            self._send(payload, ip)

    def tell(self, ips: list[str]) -> None:
        """Send one heartbeat to given processes."""
        payload = wire_heartbeats.write_heartbeat(
            self._own_heartbeat(whole=False)
        )
        for ip in ips:
            self._send(payload, ip)

    def subscribe(self, ips: Iterable[str]) -> None:
        """Ask agents to be told of their engines' load for a while."""
        payload = wire_heartbeats.write_heartbeat(
            self._own_heartbeat(whole=False, wants_load=True),
        )
        for ip in ips:
            self._send(payload, ip)

    def report(self, ips: list[str], load: heartbeats.Load) -> None:
        """Tell entries the load of the engine beside this agent."""
        payload = wire_heartbeats.write_heartbeat(
            heartbeats.Heartbeat(load=load),
        )
        for ip in ips:
            self._send(payload, ip)

    def met(self, ips: Iterable[str]) -> None:
        """Speak to processes that were found in the store."""
        self.tell([ip for ip in ips if ip != self._own.ip])

    def own_member(self) -> members.Member | None:
        """Return what this entry says of itself; ``None`` for an agent."""
        if not self._own.callers:
            return None
        return members.Member(
            self._own.ip,
            self._boot,
            self._sequence,
            self.phase,
            self._own.callers,
            self._own.domain,
            self._own.region,
        )

    def heard(self, payload: bytes, ip: str) -> None:
        """Take a heartbeat."""
        try:
            heartbeat = wire_heartbeats.read_heartbeat(payload, ip)
        except errors.MalformedMessageError as error:
            logger.bind(peer=ip).warning('heartbeat dropped: {}', error)
            return
        now = asyncio.get_running_loop().time()
        if heartbeat.load is not None:
            self._cluster.heard_load(ip, heartbeat.load, now)
            return
        senders = () if heartbeat.sender is None else (heartbeat.sender,)
        changed = self.members.heard((*senders, *heartbeat.members), now)
        by_digest, unknown = self.members.heard_digests(heartbeat.digests, now)
        for member in (*changed, *by_digest):
            logger.bind(peer=member.ip, phase=member.phase.value).info(
                'member changed',
            )
        self._introduce(heartbeat, ip, unknown)
        self._learn(heartbeat, ip, now)

    def _introduce(
        self,
        heartbeat: heartbeats.Heartbeat,
        ip: str,
        unknown: list[str],
    ) -> None:
        """Say who this is where it's asked, and ask members not known yet.

        Such a message tells of nobody else: whoever gets it would ask on.
        """
        if heartbeat.asks:
            self._send(self._introduction(asks=False), ip)
        for each in unknown[:_MOST_ASKED]:
            self._send(self._introduction(asks=True), each)

    def _introduction(self, *, asks: bool) -> bytes:
        return wire_heartbeats.write_heartbeat(
            heartbeats.Heartbeat(
                sender=self.own_member(),
                asks=asks,
                operator_offset=self._offset(records.Topic.OPERATOR),
                endpoints_offset=self._offset(records.Topic.ENDPOINTS),
            ),
        )

    def _learn(
        self, heartbeat: heartbeats.Heartbeat, ip: str, now: float
    ) -> None:
        if heartbeat.wants_load:
            self.subscribers.renewed(ip, now)
        if heartbeat.sender is not None:
            self._cluster.loads.update_peer_counts(
                ip,
                heartbeat.in_flight_by_endpoint,
                now,
            )
            self._learn_turns(heartbeat, ip, now)
        for named in heartbeat.versions:
            self._cluster.named(
                named.model,
                named.version,
                now - named.age,
                guessed=named.guessed,
            )
        for held in heartbeat.held:
            self._cluster.heard_held(held, now)
        self._catching_up.heard(heartbeat, ip, now)
        self._bootstrap.heard(heartbeat, ip, now, offsets=self._offsets)

    def _learn_turns(
        self, heartbeat: heartbeats.Heartbeat, ip: str, now: float
    ) -> None:
        pairs = (
            (records.Topic.OPERATOR, heartbeat.operator_ends),
            (records.Topic.ENDPOINTS, heartbeat.endpoints_ends),
        )
        sender = heartbeat.sender
        is_near = sender is not None and sender.region == self._own.region
        for topic, seconds in pairs:
            self.turns_by_topic[topic].heard(ip, seconds, now)
            if is_near and seconds and topic in self._followers:
                self._followers[topic].reader_heard(now)

    async def _serve(
        self,
        request: messages.Request,
        reply: replies.Reply,
    ) -> None:
        """Answer a peer's request."""
        if self._record_server.serves(request):
            self._record_server.serve(request, reply)
        elif self._others is None:
            reply.send(_NOT_FOUND, [], b'')
        else:
            await self._others(request, reply)

    def _own_heartbeat(
        self,
        *,
        whole: bool,
        wants_load: bool = False,
    ) -> heartbeats.Heartbeat:
        now = asyncio.get_running_loop().time()
        alive = self.members.alive(now)
        is_small = len(alive) <= dissemination.MAX_BROADCAST_MEMBERS
        drawn = dissemination.choose_digests(
            len(alive),
            self.members.heard_within(now, _FRESH_SECONDS),
            self._rng,
        )
        return heartbeats.Heartbeat(
            sender=self.own_member(),
            members=tuple(alive) if whole and is_small else (),
            digests=tuple(
                members.Digest(one.ip, one.boot, one.heartbeat, one.phase)
                for one in drawn
            ),
            in_flight_by_endpoint=self._cluster.in_flight_by_endpoint(now),
            operator_offset=self._offset(records.Topic.OPERATOR),
            endpoints_offset=self._offset(records.Topic.ENDPOINTS),
            configuration=self._cluster.configuration,
            operator_ends=self._ends_in(records.Topic.OPERATOR, now),
            endpoints_ends=self._ends_in(records.Topic.ENDPOINTS, now),
            versions=(
                self._cluster.versions(now) if whole or wants_load else ()
            ),
            held=self.held,
            wants_load=wants_load,
        )

    @property
    def _offsets(self) -> tuple[int, int]:
        return (
            self._offset(records.Topic.OPERATOR),
            self._offset(records.Topic.ENDPOINTS),
        )

    def _whole_message(self) -> bytes:
        return wire_heartbeats.write_heartbeat(self._own_heartbeat(whole=True))

    def _offset(self, topic: records.Topic) -> int:
        own = self._followers.get(topic)
        return 0 if own is None else own.known.next_offset

    def _ends_in(self, topic: records.Topic, now: float) -> float:
        own = self._followers.get(topic)
        return 0 if own is None else own.ends_in(now)

    def _targets(self, *, whole: bool) -> list[str]:
        """Return whom this heartbeat goes to."""
        near, far = self.members.addresses(self._own.domain)
        others: set[str] = set()
        if self.is_new:
            others.update(self._polling.next_seeds())
        elif whole or not (near or far):
            others.update(self._own.seeds, self._near_agents())
        far.extend(others.difference(near, far))
        drawn = dissemination.choose_targets(near, far, self._rng)
        return [*drawn, *self._relying().difference(drawn)]

    def tell_relying(self) -> None:
        """Speak at once to those that are told of the store from here."""
        self.tell(list(self._relying()))
        if not self.is_new:
            now = asyncio.get_running_loop().time()
            self._bootstrap.tell_waiting(now)

    def _relying(self) -> set[str]:
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
            if one.region == self._own.region
        }

    def _near_agents(self) -> list[str]:
        """Return agents of the own failure domain.

        An agent learns from them which entries there are, and tells all of
        them when its engine has new weights.
        """
        if not self._own.callers:
            return []
        return [
            endpoint.listing.address.rpartition(':')[0]
            for endpoint in self._cluster.endpoints
            if endpoint.listing.domain == self._own.domain
            and endpoint.unusable_at is None
        ]

    def _send(self, payload: bytes, ip: str) -> None:
        if self._transport is None or ip == self._own.ip:
            return
        with contextlib.suppress(OSError):
            self._transport.sendto(payload, (ip, self._own.first_port))


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
        self._peers.heard(payload, str(address[0]))

    def error_received(self, error: Exception) -> None:
        """Pass over a peer that isn't there; its silence says it."""
