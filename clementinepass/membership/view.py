"""Membership merged from the platform's instance list and the connections.

The list lags; it says which instances should exist and where. A connection to
an instance's process shows whether the process is alive and what it does. A
process's own report takes precedence over the list, with one exception: an
instance is draining if either of them says so.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

from clementinepass.platform import protocols

#: Seconds for which an unreachable entry is not offered to callers. The list
#: may lag by that long; after it, the list alone decides again.
ENTRY_UNREACHABLE_SECONDS = 30.0


class AgentPhase(enum.Enum):
    """Phase reported by an agent."""

    STARTING = 'starting'
    SERVING = 'serving'
    DRAINING = 'draining'


class Liveness(enum.Enum):
    """Liveness of a process, judged by the connection to it."""

    #: Connected, and heartbeats arrive.
    ATTACHED = 'attached'
    #: The connection was lost, and a new one has not been tried yet.
    RECONNECTING = 'reconnecting'
    #: Heartbeats have stopped, and a new connection could not be made.
    SILENT = 'silent'
    #: Connections are refused, or nothing was received for long.
    GONE = 'gone'


@dataclasses.dataclass(slots=True, frozen=True)
class AgentReport:
    """State that an agent reports."""

    #: Start time of the agent's process; grows with each start.
    incarnation: int
    #: Increases with each change within an incarnation.
    sequence: int
    phase: AgentPhase
    #: ``engine`` or ``service``.
    kind: str
    #: The name of the model or service that the endpoint serves.
    serves: str
    #: The version being served; empty for none and for services.
    version: str
    #: Number of attempts in flight, including those queued at the endpoint.
    running: int
    #: Maximum number of attempts in flight.
    capacity: int


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """Endpoint that may be sent new requests."""

    #: The id of the endpoint's agent.
    agent: str
    #: The agent's address.
    address: str
    failure_domain: str
    region: str
    report: AgentReport


@dataclasses.dataclass(slots=True)
class _Agent:
    """State of one agent."""

    instance: protocols.Instance
    report: AgentReport | None = None
    liveness: Liveness = Liveness.GONE
    #: The latest incarnation that announced a drain; -1 for none.
    drained_incarnation: int = -1

    @property
    def is_draining(self) -> bool:
        """Return whether the current incarnation has announced a drain."""
        if self.report is None:
            return False
        return self.drained_incarnation >= self.report.incarnation

    @property
    def is_available(self) -> bool:
        """Return whether the endpoint may be sent new requests."""
        return self.liveness is Liveness.ATTACHED and self.is_serving

    @property
    def is_expected(self) -> bool:
        """Return whether the endpoint is available now or in a moment."""
        reachable = {Liveness.ATTACHED, Liveness.RECONNECTING}
        return self.liveness in reachable and self.is_serving

    @property
    def is_serving(self) -> bool:
        """Return whether the endpoint takes requests by the last report."""
        if self.report is None:
            return False
        if self.instance.state is protocols.InstanceState.LEAVING:
            return False
        has_opened = self.report.phase is AgentPhase.SERVING
        return has_opened and not self.is_draining


class MembershipView:
    """View of all agents and entries; not thread-safe.

    While the platform's instance list is unavailable, :meth:`update_list` is
    not called: the last list stays in force, and connections still determine
    liveness.
    """

    __slots__ = (
        '_agents_by_id',
        '_entries_by_id',
        '_draining_entries',
        '_unreachable_until_by_entry',
    )

    def __init__(self) -> None:
        self._agents_by_id: dict[str, _Agent] = {}
        self._entries_by_id: dict[str, protocols.Instance] = {}
        self._draining_entries: set[str] = set()
        self._unreachable_until_by_entry: dict[str, float] = {}

    def update_list(
        self, instances: typing.Iterable[protocols.Instance]
    ) -> None:
        """Replace the instance list with a newer, complete one."""
        by_id = {instance.id: instance for instance in instances}
        self._update_agents(by_id)
        # An entry counts as draining until the list drops it, since a lagging
        # list still shows it as live.
        self._draining_entries -= self._entries_by_id.keys() - by_id.keys()
        self._entries_by_id = {
            instance.id: instance
            for instance in by_id.values()
            if instance.role is protocols.Role.ENTRY
        }

    def add_report(self, agent: str, report: AgentReport) -> None:
        """Apply the report of a connected agent.

        Reports from an older incarnation, or out of order, are ignored.
        """
        member = self._agents_by_id.get(agent)
        if member is None:
            return
        if member.report is not None and _order(report) < _order(member.report):
            return
        member.report = report
        member.liveness = Liveness.ATTACHED
        if report.phase is AgentPhase.DRAINING:
            member.drained_incarnation = report.incarnation

    def mark_reconnecting(self, agent: str) -> None:
        """Record that the connection to an agent was lost."""
        member = self._agents_by_id.get(agent)
        if member is not None and member.liveness is Liveness.ATTACHED:
            member.liveness = Liveness.RECONNECTING

    def mark_silent(self, agent: str) -> None:
        """Record that no new connection to an agent could be made."""
        member = self._agents_by_id.get(agent)
        if member is not None and member.liveness is not Liveness.GONE:
            member.liveness = Liveness.SILENT

    def mark_gone(self, agent: str) -> None:
        """Record that an agent's process no longer exists."""
        member = self._agents_by_id.get(agent)
        if member is not None:
            member.liveness = Liveness.GONE

    def mark_entry_draining(self, entry: str) -> None:
        """Record that an entry, local or remote, has announced a drain."""
        self._draining_entries.add(entry)

    def mark_entry_started(self, entry: str) -> None:
        """Record that an entry runs as a new process."""
        self._draining_entries.discard(entry)
        self._unreachable_until_by_entry.pop(entry, None)

    def mark_entry_unreachable(self, entry: str, now: float) -> None:
        """Record that an entry could not be reached."""
        until = now + ENTRY_UNREACHABLE_SECONDS
        self._unreachable_until_by_entry[entry] = until

    def mark_entry_reachable(self, entry: str) -> None:
        """Record that an entry has answered."""
        self._unreachable_until_by_entry.pop(entry, None)

    def agents(self) -> tuple[protocols.Instance, ...]:
        """Return the agents to connect to."""
        return tuple(agent.instance for agent in self._agents_by_id.values())

    def candidates(self, target: str) -> tuple[Candidate, ...]:
        """Return the endpoints of a target that may be sent new requests."""
        return tuple(
            _candidate(agent.instance, agent.report)
            for agent in self._agents_by_id.values()
            if agent.is_available
            and agent.report is not None
            and agent.report.serves == target
        )

    def expected(self, target: str) -> tuple[Candidate, ...]:
        """Return the candidates, and those that may be back in a moment."""
        return tuple(
            _candidate(agent.instance, agent.report)
            for agent in self._agents_by_id.values()
            if agent.is_expected
            and agent.report is not None
            and agent.report.serves == target
        )

    def reported(self, target: str) -> tuple[Candidate, ...]:
        """Return all endpoints that reported to serve a target."""
        return tuple(
            _candidate(agent.instance, agent.report)
            for agent in self._agents_by_id.values()
            if agent.report is not None and agent.report.serves == target
        )

    def liveness(self, agent: str) -> Liveness:
        """Return an agent's liveness; ``GONE`` for unknown agents."""
        member = self._agents_by_id.get(agent)
        return Liveness.GONE if member is None else member.liveness

    def report(self, agent: str) -> AgentReport | None:
        """Return an agent's last report, if any."""
        member = self._agents_by_id.get(agent)
        return None if member is None else member.report

    def entries(self) -> tuple[protocols.Instance, ...]:
        """Return all listed entries, for connections among entries."""
        return tuple(self._entries_by_id.values())

    def offered_entries(self, now: float) -> tuple[protocols.Instance, ...]:
        """Return the entries to offer to callers."""
        return tuple(
            entry
            for entry in self._entries_by_id.values()
            if self._may_be_offered(entry, now)
        )

    def _may_be_offered(self, entry: protocols.Instance, now: float) -> bool:
        if entry.state is protocols.InstanceState.LEAVING:
            return False
        if entry.id in self._draining_entries:
            return False
        return self._unreachable_until_by_entry.get(entry.id, now) <= now

    def _update_agents(
        self,
        instances_by_id: dict[str, protocols.Instance],
    ) -> None:
        for instance in instances_by_id.values():
            if instance.role is not protocols.Role.AGENT:
                continue
            member = self._agents_by_id.setdefault(
                instance.id,
                _Agent(instance),
            )
            member.instance = instance
        for agent_id in tuple(self._agents_by_id):
            attached = (
                self._agents_by_id[agent_id].liveness is Liveness.ATTACHED
            )
            # A lagging list may lack an agent whose connection works.
            if agent_id not in instances_by_id and not attached:
                del self._agents_by_id[agent_id]


def _candidate(instance: protocols.Instance, report: AgentReport) -> Candidate:
    return Candidate(
        agent=instance.id,
        address=instance.address,
        failure_domain=instance.failure_domain,
        region=instance.region,
        report=report,
    )


def _order(report: AgentReport) -> tuple[int, int]:
    return report.incarnation, report.sequence
