"""Merge the lagging instance list with what the connections show.

The list says who should exist and where; a connection says who is there and
what it does.  What a process says of itself goes before what the list says
of it, but for one thing: an instance that either calls leaving is leaving.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

from clementinepass.platform import protocols

#: Seconds for which an entry that could not be reached isn't offered to
#: callers.  As long as the list may lag; then the list decides again.
ENTRY_UNREACHABLE_SECONDS = 30.0


class AgentPhase(enum.Enum):
    """What an agent says it is doing."""

    STARTING = 'starting'
    SERVING = 'serving'
    DRAINING = 'draining'


class Liveness(enum.Enum):
    """What the connection to a process shows."""

    #: Attached, and its heartbeats come.
    ATTACHED = 'attached'
    #: Its heartbeats stopped; a new connection is being tried.
    SILENT = 'silent'
    #: Gone: connections are refused, or nothing came for long.
    GONE = 'gone'


@dataclasses.dataclass(slots=True, frozen=True)
class AgentReport:
    """What an agent said of itself, last."""

    incarnation: int
    #: Grows with each change within an incarnation.
    sequence: int
    phase: AgentPhase
    #: ``engine`` or ``service``.
    kind: str
    #: The name of the model or service behind it.
    serves: str
    #: The version that it serves; empty for none and for services.
    version: str
    running: int
    capacity: int


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """An endpoint that may get new work."""

    agent: str
    address: str
    failure_domain: str
    region: str
    report: AgentReport


@dataclasses.dataclass(slots=True)
class _Agent:
    """What is known of one agent."""

    instance: protocols.Instance
    report: AgentReport | None = None
    liveness: Liveness = Liveness.GONE
    #: The newest incarnation that announced that it drains.
    drained_incarnation: int = -1

    @property
    def is_draining(self) -> bool:
        """Tell whether it announced that it drains, and is still the same."""
        if self.report is None:
            return False
        return self.drained_incarnation >= self.report.incarnation

    @property
    def is_available(self) -> bool:
        """Tell whether new work may go there."""
        if self.report is None or self.liveness is not Liveness.ATTACHED:
            return False
        if self.instance.state is protocols.InstanceState.LEAVING:
            return False
        is_serving = self.report.phase is AgentPhase.SERVING
        return is_serving and not self.is_draining


class MembershipView:
    """Know agents and entries; used by one owner, without a lock.

    A list that does not answer is simply not passed in: the last one stays,
    and connections go on telling who is alive.
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
        """Take in a whole instance list."""
        by_id = {instance.id: instance for instance in instances}
        self._update_agents(by_id)
        # A leaving entry stays announced until the list has dropped it: a
        # lagging list goes on showing it as live.
        self._draining_entries -= self._entries_by_id.keys() - by_id.keys()
        self._entries_by_id = {
            instance.id: instance
            for instance in by_id.values()
            if instance.role is protocols.Role.ENTRY
        }

    def add_report(self, agent: str, report: AgentReport) -> None:
        """Take in what an attached agent said of itself.

        Reports of an older process, or out of order, change nothing.
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

    def mark_silent(self, agent: str) -> None:
        """Note that an agent's heartbeats stopped."""
        member = self._agents_by_id.get(agent)
        if member is not None and member.liveness is Liveness.ATTACHED:
            member.liveness = Liveness.SILENT

    def mark_gone(self, agent: str) -> None:
        """Note that an agent's process is no longer there."""
        member = self._agents_by_id.get(agent)
        if member is not None:
            member.liveness = Liveness.GONE

    def mark_entry_draining(self, entry: str) -> None:
        """Note that an entry, this one or another, announced it leaves."""
        self._draining_entries.add(entry)

    def mark_entry_started(self, entry: str) -> None:
        """Note that a new process of an entry was met."""
        self._draining_entries.discard(entry)
        self._unreachable_until_by_entry.pop(entry, None)

    def mark_entry_unreachable(self, entry: str, now: float) -> None:
        """Note that an entry could not be reached."""
        until = now + ENTRY_UNREACHABLE_SECONDS
        self._unreachable_until_by_entry[entry] = until

    def mark_entry_reachable(self, entry: str) -> None:
        """Note that an entry answered."""
        self._unreachable_until_by_entry.pop(entry, None)

    def agents(self) -> tuple[protocols.Instance, ...]:
        """Return the agents to be connected to."""
        return tuple(agent.instance for agent in self._agents_by_id.values())

    def candidates(self, target: str) -> tuple[Candidate, ...]:
        """Return the endpoints of a target that may get new work."""
        return tuple(
            Candidate(
                agent=agent.instance.id,
                address=agent.instance.address,
                failure_domain=agent.instance.failure_domain,
                region=agent.instance.region,
                report=agent.report,
            )
            for agent in self._agents_by_id.values()
            if agent.is_available
            and agent.report is not None
            and agent.report.serves == target
        )

    def liveness(self, agent: str) -> Liveness:
        """Return what the connection to an agent shows."""
        member = self._agents_by_id.get(agent)
        return Liveness.GONE if member is None else member.liveness

    def report(self, agent: str) -> AgentReport | None:
        """Return what an agent said of itself last."""
        member = self._agents_by_id.get(agent)
        return None if member is None else member.report

    def entries(self) -> tuple[protocols.Instance, ...]:
        """Return all listed entries, for connections between entries."""
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
            # A lagging list may not show an agent whose connection works.
            if agent_id not in instances_by_id and not attached:
                del self._agents_by_id[agent_id]


def _order(report: AgentReport) -> tuple[int, int]:
    return report.incarnation, report.sequence
