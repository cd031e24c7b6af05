"""The entry: what it knows, and the tasks that keep that up to date."""

from __future__ import annotations

import asyncio
import hashlib
import random
import time
import typing

import msgspec
from loguru import logger

from clementinepass import errors
from clementinepass.configuration import catalogue as catalogues
from clementinepass.configuration import excerpt, snapshots
from clementinepass.decisions import entitlement
from clementinepass.entry import (
    agent_peers,
    desk,
    dispatcher,
    entry_peers,
    fleet,
    share_book,
)
from clementinepass.membership import entries as entry_ranking
from clementinepass.membership import view as views
from clementinepass.requests import quarantine
from clementinepass.wire import addresses, changes, entry_messages, messages

if typing.TYPE_CHECKING:
    from collections.abc import Coroutine

    from clementinepass import clock as clocks
    from clementinepass.configuration import follower as followers
    from clementinepass.configuration import state as states
    from clementinepass.entry import instruments
    from clementinepass.platform import protocols
    from clementinepass.wire import bridge as bridges

#: Seconds between looks at the instance list, which lags far more.
_LIST_INTERVAL = 1.0
#: Seconds that the log may hold a read that finds nothing new.
_LOG_WAIT = 1.0
#: Seconds before the next try when the log does not answer.
_LOG_RETRY = 0.25
#: Seconds between exchanges of what each entry holds of the promises.
_SHARES_INTERVAL = 0.5
#: Seconds for which reports of load are gathered before admission takes them
#: over; far less than they are old.
_REFRESH_DELAY = 0.1
#: Seconds by which the pushes of one configuration are spread over entries,
#: so that an agent hears it from the first and the others see that it has.
_PUSH_SPREAD = 0.2
#: Stream of evidence about requests that kill endpoints.
_EVIDENCE_STREAM = 'quarantine'


class Limits(typing.NamedTuple):
    """Times of an entry, in seconds."""

    heartbeat: float
    silence: float
    max_age: float


class AgentStatus(msgspec.Struct, frozen=True):
    """One agent as operators see it."""

    id: str
    address: str
    region: str
    failure_domain: str
    #: ``attached``, ``reconnecting``, ``silent`` or ``gone``.
    liveness: str
    #: What it said of itself last.
    state: messages.AgentState | None


class Entry:
    """One entry process; everything here lives on the event loop.

    :param identity: this entry's own process.
    """

    def __init__(
        self,
        identity: messages.Peer,
        *,
        region: str,
        limits: Limits,
        follower: followers.Follower,
        snapshotter: snapshots.Snapshotter,
        log: protocols.LogService,
        instance_list: protocols.InstanceList,
        bridge: bridges.Bridge,
        metrics: instruments.Instruments,
        clock: clocks.Clock,
    ) -> None:
        chance = random.Random()
        #: The entry's name.
        self.id = identity.id
        #: Agents and entries as this entry sees them.
        self.view = views.MembershipView()
        #: Evidence about requests that kill endpoints.
        self.quarantine = quarantine.Quarantine()
        #: Endpoints, and what this entry has in flight at each.
        self.fleet = fleet.Fleet(
            self.view,
            self.quarantine,
            failure_domain=identity.failure_domain,
            clock=clock,
            chance=chance,
        )
        # Otherwise waiting requests would go on to be offered to full gates
        # until the next report.
        self.fleet.on_full = self._refresh
        #: The configuration in force.
        self.catalogue = catalogues.Catalogue.from_state(follower.current)
        #: Whether and how long new requests are taken.
        self.leaving = entry_ranking.EntryDrain(max_age=limits.max_age)
        #: Takes each request from admission to its final answer.
        self.dispatcher = dispatcher.Dispatcher(
            identity.id,
            self.fleet,
            self.quarantine,
            self.desk_for,
            metrics,
            clock,
        )
        self._identity = identity
        self._region = region
        self._limits = limits
        self._follower = follower
        self._snapshotter = snapshotter
        self._log = log
        self._instance_list = instance_list
        self._bridge = bridge
        self._metrics = metrics
        self._clock = clock
        self._chance = chance
        self._desks_by_target: dict[str, desk.Desk] = {}
        self._shares = share_book.ShareBook(
            f'{identity.id}#{identity.incarnation}',
            lambda team, target: self.desk_for(target).demand(team),
        )
        self._processes_by_entry: dict[str, str] = {}
        self._sequence = changes.Sequence()
        self._listed = False
        self._group: asyncio.TaskGroup | None = None
        self._tasks_by_peer: dict[str, asyncio.Task[None]] = {}
        self._refreshing: set[str] = set()
        self._evidence_offset = 0
        self._in_progress = 0

    @property
    def ready(self) -> bool:
        """Tell whether requests can be served."""
        return self._listed and self.catalogue.revision > 0

    @property
    def in_progress(self) -> int:
        """Return the number of slots taken at all targets."""
        return sum(one.in_flight for one in self._desks_by_target.values())

    async def run(self) -> None:
        """Keep everything up to date until cancelled."""
        async with asyncio.TaskGroup() as group:
            self._group = group
            group.create_task(self._follow_log())
            group.create_task(self._follow_list())
            group.create_task(self._exchange_shares())
            group.create_task(self._publish_evidence())
            group.create_task(self._follow_evidence())

    def leave(self) -> None:
        """Announce that this entry leaves; it goes on accepting a while."""
        self.leaving.announce(self._clock.now())
        self.view.mark_entry_draining(self.id)
        self._tell()

    def desk_for(self, target: str) -> desk.Desk:
        """Return the desk that admits requests for a target."""
        found = self._desks_by_target.get(target)
        if found is None:
            found = desk.Desk(self._clock, self._chance)
            self._desks_by_target[target] = found
            self._refresh(target)
        return found

    def team_of(self, key: str) -> catalogues.Team | None:
        """Return the team that a key belongs to."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        return self.catalogue.teams_by_key_digest.get(digest)

    def ranked_entries(
        self,
        caller: str,
    ) -> tuple[entry_ranking.OfferedEntry, ...]:
        """Return the entries for a caller to use, the best first."""
        return entry_ranking.rank(
            self.view.offered_entries(self._clock.now()),
            caller=caller,
            failure_domain=self._identity.failure_domain,
            region=self._region,
        )

    async def next_state(self, known: int) -> entry_messages.EntryState:
        """Return the state once it differs, or after a heartbeat."""
        await self._sequence.wait_for_newer(known, self._limits.heartbeat)
        return self._state(known)

    def configuration_since(self, known: int) -> states.State | None:
        """Return the configuration in force if it is newer than ``known``."""
        current = self._follower.current
        return current if current.revision > known else None

    def agent_status(self) -> tuple[AgentStatus, ...]:
        """Return what operators should know of each agent."""
        return tuple(
            AgentStatus(
                instance.id,
                instance.address,
                instance.region,
                instance.failure_domain,
                self.view.liveness(instance.id).value,
                self._state_of(instance.id),
            )
            for instance in self.view.agents()
        )

    # What connections to agents show.

    def attached(self, peer: agent_peers.AgentPeer) -> None:
        """Note a new connection to an agent."""
        logger.bind(step='attach', peer=peer.agent).info('agent attached')

    def reported(self, agent: str, state: messages.AgentState) -> None:
        """Note an agent's state, and give it a configuration it lacks."""
        known = self.view.report(agent)
        unchanged = (
            known is not None
            and known.sequence == state.sequence
            and self.view.liveness(agent) is views.Liveness.ATTACHED
        )
        self.fleet.reported(agent, state)
        if unchanged:
            self._refresh_soon(state.serves)
        else:
            # An agent that comes back may say the same as before it fell
            # silent; its places count again at once, or requests are refused
            # for lack of capacity.
            self._refresh(state.serves)
        if state.revision < self._follower.current.revision:
            self._push(agent)

    def disconnected(self, agent: str) -> None:
        """Note that the connection to an agent was lost."""
        self.view.mark_reconnecting(agent)
        self._refresh_all()

    def silent(self, agent: str) -> None:
        """Note that no connection to an agent can be made."""
        self.view.mark_silent(agent)
        self._refresh_all()

    def gone(self, agent: str) -> None:
        """Note that an agent's process is no longer there."""
        self.view.mark_gone(agent)
        self._refresh_all()

    # What connections to other entries show.

    def entry_reported(
        self,
        entry: str,
        state: entry_messages.EntryState,
    ) -> None:
        """Note another entry's state."""
        process = f'{entry}#{state.incarnation}'
        if self._processes_by_entry.get(entry) != process:
            self._processes_by_entry[entry] = process
            self.view.mark_entry_started(entry)
            self._shares.set_entries(
                frozenset(self._processes_by_entry.values()),
            )
        self.view.mark_entry_reachable(entry)
        if state.leaving:
            self.view.mark_entry_draining(entry)
        self._shares.receive(process, state)

    def entry_lost(self, entry: str) -> None:
        """Note that another entry can't be reached."""
        self.view.mark_entry_unreachable(entry, self._clock.now())
        if self._processes_by_entry.pop(entry, None) is not None:
            self._shares.set_entries(
                frozenset(self._processes_by_entry.values()),
            )

    def adopt(self, configuration: states.State) -> None:
        """Take another entry's configuration if it is newer."""
        if self._follower.adopt(configuration):
            self._configured()

    def revision(self) -> int:
        """Return the configuration revision in force here."""
        return self._follower.current.revision

    def _state_of(self, agent: str) -> messages.AgentState | None:
        peer = self.fleet.peers_by_agent.get(agent)
        return peer.state if peer else None

    def _state(self, known: int) -> entry_messages.EntryState:
        return entry_messages.EntryState(
            sequence=self._sequence.number,
            incarnation=self._identity.incarnation,
            leaving=self.leaving.is_announced,
            revision=self.revision(),
            shares=self._shares.reports_since(known),
        )

    def _tell(self) -> None:
        self._sequence.advance()

    def _configured(self) -> None:
        current = self._follower.current
        if current.revision <= self.catalogue.revision:
            return
        self.catalogue = catalogues.Catalogue.from_state(current)
        self._metrics.revision(current.revision)
        self._shares.set_catalogue(self.catalogue)
        self._refresh_all()
        self._tell()
        for agent in self.fleet.peers_by_agent:
            self._push(agent)

    def _push(self, agent: str) -> None:
        name = f'push {agent}'
        if name not in self._tasks_by_peer:
            self._spawn(name, self._push_later(agent))

    async def _push_later(self, agent: str) -> None:
        await asyncio.sleep(self._chance.uniform(0, _PUSH_SPREAD))
        peer = self.fleet.peers_by_agent.get(agent)
        current = self._follower.current
        if peer is None or peer.state is None:
            return
        if peer.state.revision < current.revision:
            part = excerpt.for_endpoint(current, peer.state.serves)
            await peer.configure(part.revision, part.encode())

    def _refresh_soon(self, target: str) -> None:
        """Refresh a target once for all reports of the next moment.

        Load: each agent reports once a second, and a refresh looks at all
        agents of the target. Harm: with 64 agents that took 840 us for each
        report and grew with their number.
        """
        if target not in self._refreshing:
            self._refreshing.add(target)
            loop = asyncio.get_running_loop()
            loop.call_later(_REFRESH_DELAY, self._refresh_now, target)

    def _refresh_now(self, target: str) -> None:
        self._refreshing.discard(target)
        self._refresh(target)

    def _refresh_all(self) -> None:
        for target in self._desks_by_target:
            self._refresh(target)

    def _refresh(self, target: str) -> None:
        found = self._desks_by_target.get(target)
        if found is not None:
            held = self._shares.held_by_team().get(target, {})
            found.set_shares(held)
            usable_slots = self.fleet.usable_slots(target)
            fair_slots = entitlement.fair_slots(
                usable_slots, *self._shares.demands(target)
            )
            found.set_capacity(
                min(self.fleet.capacity(target), fair_slots), fair_slots
            )

    async def _follow_log(self) -> None:
        wait: float = 0
        while True:
            try:
                await self._bridge.block(self._follower.poll, wait)
                self._configured()
                await self._bridge.block(
                    self._snapshotter.append_if_due,
                    self._follower.current,
                )
            except errors.ClementinepassError as error:
                logger.bind(step=error.step, peer=error.peer).warning(
                    'configuration log: {}',
                    error.detail,
                )
                await asyncio.sleep(_LOG_RETRY)
            wait = _LOG_WAIT

    async def _follow_list(self) -> None:
        while True:
            try:
                instances = await self._bridge.block(
                    self._instance_list.instances,
                )
            except errors.ClementinepassError as error:
                # The last list stays; connections go on telling who lives.
                logger.bind(step=error.step, peer=error.peer).warning(
                    'instance list: {}',
                    error.detail,
                )
            else:
                self.view.update_list(instances)
                self._listed = True
                self._meet_peers()
            await asyncio.sleep(
                _LIST_INTERVAL * self._chance.uniform(0.8, 1.2),
            )

    def _meet_peers(self) -> None:
        agents_by_id = {one.id: one for one in self.view.agents()}
        for agent, instance in agents_by_id.items():
            self._meet_agent(agent, instance)
        for agent in tuple(self.fleet.peers_by_agent):
            if agent not in agents_by_id:
                self._part_from(agent)
        self.fleet.retain(frozenset(self.fleet.peers_by_agent))
        for instance in self.view.entries():
            if instance.id != self.id:
                self._meet_entry(instance)

    def _meet_agent(self, agent: str, instance: protocols.Instance) -> None:
        address = addresses.Address.from_text(instance.address)
        known = self.fleet.peers_by_agent.get(agent)
        if known is not None and known.address == address:
            return
        if known is not None:
            self._part_from(agent)
        peer = agent_peers.AgentPeer(
            agent,
            address,
            self._identity,
            self,
            heartbeat=self._limits.heartbeat,
            silence=self._limits.silence,
            clock=self._clock,
            chance=self._chance,
        )
        self.fleet.peers_by_agent[agent] = peer
        self._spawn(f'agent {agent}', peer.run())

    def _part_from(self, agent: str) -> None:
        task = self._tasks_by_peer.pop(f'agent {agent}', None)
        if task is not None:
            task.cancel()
        self.fleet.peers_by_agent.pop(agent).close()
        self.gone(agent)

    def _meet_entry(self, instance: protocols.Instance) -> None:
        name = f'entry {instance.id} {instance.address}'
        if name in self._tasks_by_peer:
            return
        peer = entry_peers.EntryPeer(
            instance.id,
            addresses.Address.from_text(instance.address),
            self,
            patience=self._limits.heartbeat + self._limits.silence,
            chance=self._chance,
        )
        self._spawn(name, peer.run())

    def _spawn(
        self,
        name: str,
        coroutine: Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        if self._group is None:
            raise RuntimeError('the entry does not run')
        task = self._group.create_task(coroutine)
        self._tasks_by_peer[name] = task
        task.add_done_callback(lambda done: self._ended(name, done))

    def _ended(self, name: str, task: asyncio.Task[None]) -> None:
        if self._tasks_by_peer.get(name) is task:
            del self._tasks_by_peer[name]

    async def _exchange_shares(self) -> None:
        while True:
            await asyncio.sleep(_SHARES_INTERVAL)
            self._refresh_all()
            if self._shares.update(self._sequence.number + 1):
                self._tell()

    async def _publish_evidence(self) -> None:
        while True:
            await asyncio.sleep(_LOG_RETRY)
            digest = self.quarantine.take_digest()
            if not digest:
                continue
            try:
                await self._bridge.block(
                    self._log.append,
                    _EVIDENCE_STREAM,
                    [digest.encode()],
                )
            except errors.ClementinepassError:
                # Merging evidence twice changes nothing, so it is simply
                # sent again when the answer was lost.
                self.quarantine.put_back(digest)

    async def _follow_evidence(self) -> None:
        while True:
            try:
                page = await self._bridge.block(self._read_evidence)
            except errors.RecordsExpiredError as error:
                self._evidence_offset = error.oldest
                continue
            except errors.ClementinepassError:
                await asyncio.sleep(_LOG_RETRY)
                continue
            for record in page.records:
                self._merge_evidence(record)
            self._evidence_offset = page.next_offset

    def _read_evidence(self) -> protocols.RecordPage:
        return self._log.read(
            _EVIDENCE_STREAM,
            self._evidence_offset,
            wait=_LOG_WAIT,
        )

    def _merge_evidence(self, record: protocols.Record) -> None:
        try:
            digest = quarantine.Digest.decode(record.payload)
        except ValueError:
            logger.bind(step='evidence').warning(
                'record {} is malformed',
                record.offset,
            )
            return
        self.quarantine.merge(digest, time.time())
