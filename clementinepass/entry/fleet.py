"""The endpoints as this entry sees them: who may get which request."""

from __future__ import annotations

import collections
import typing

from clementinepass.decisions import ejection, selection
from clementinepass.membership import view as views
from clementinepass.requests import quarantine as quarantines
from clementinepass.wire import messages

if typing.TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from clementinepass import clock as clocks
    from clementinepass.entry import agent_peers, exchange


class Placed(typing.NamedTuple):
    """An endpoint chosen for an attempt."""

    peer: agent_peers.AgentPeer
    candidate: views.Candidate


class Fleet:
    """Choose endpoints and know what this entry has in flight at each.

    :param failure_domain: the entry's own; near endpoints are preferred.
    """

    def __init__(
        self,
        view: views.MembershipView,
        quarantine: quarantines.Quarantine,
        *,
        failure_domain: str,
        clock: clocks.Clock,
        chance: random.Random,
    ) -> None:
        #: Agents by name, each with its connection.
        self.peers_by_agent: dict[str, agent_peers.AgentPeer] = {}
        #: Called with a target when the slots of one of its endpoints turn out
        #: to be occupied.
        self.on_full: Callable[[str], None] = _ignore
        #: What is in flight where, for crash reports.
        self.in_flight = quarantines.InFlight()
        # One for each target: a model is slower than a plain service by
        # nature, and compared with one all its endpoints would be ejected.
        self._ejectors_by_target: dict[str, ejection.Ejector] = (
            collections.defaultdict(ejection.Ejector)
        )
        self._view = view
        self._quarantine = quarantine
        self._clock = clock
        self._placer = selection.CostSelector(
            chance,
            domain=failure_domain,
            affinity=selection.PrefixAffinity(),
        )
        self._others_by_agent: dict[str, int] = {}
        self._since_report_by_agent: dict[str, int] = {}
        self._reported_at_by_agent: dict[str, float] = {}

    def reported(self, agent: str, state: messages.AgentState) -> None:
        """Take in an agent's state."""
        self._view.add_report(agent, to_report(state))
        own = self.in_flight.count(agent)
        self._others_by_agent[agent] = max(state.running - own, 0)
        self._since_report_by_agent[agent] = 0
        self._reported_at_by_agent[agent] = self._clock.now()

    def answered(
        self,
        target: str,
        agent: str,
        first_token: float,
    ) -> None:
        """Note the seconds to the first piece of an answer."""
        self._ejectors_by_target[target].observe(
            agent,
            first_token,
            self._clock.now(),
        )

    def overdue(self, target: str, agent: str, seconds: float) -> bool:
        """Note that the first piece has not come after ``seconds``.

        :return: whether it counted; then nothing more is to be noted of the
            first piece.
        """
        return self._ejectors_by_target[target].observe_overdue(
            agent,
            seconds,
            self._clock.now(),
        )

    def retain(self, agents: frozenset[str]) -> None:
        """Forget what is known of agents that are gone."""
        for target, ejector in self._ejectors_by_target.items():
            serving = {one.agent for one in self._view.candidates(target)}
            ejector.retain(serving & agents)

    def failed(self, target: str, agent: str) -> None:
        """Note an attempt that an endpoint failed or left unanswered."""
        self._ejectors_by_target[target].observe_failure(
            agent, self._clock.now()
        )

    def full(self, agent: str) -> None:
        """Note that an agent's gate refused an attempt because it is full.

        Load: saturation, with reports half a second old. Harm: the entry
        would offer one request after the other to gates that have no room.
        Counting the endpoint as full until its next report stops that.
        """
        report = self._view.report(agent)
        if report is not None:
            own = self.in_flight.count(agent)
            self._others_by_agent[agent] = max(report.capacity - own, 0)
            self.on_full(report.serves)

    def capacity(self, target: str) -> int:
        """Return the slots that this entry may fill at a target."""
        now = self._clock.now()
        ejector = self._ejectors_by_target[target]
        return sum(
            max(
                ejector.usable_slots(
                    candidate.agent, candidate.report.capacity, now
                )
                - self._others_by_agent.get(candidate.agent, 0),
                0,
            )
            for candidate in self._view.candidates(target)
        )

    def usable_slots(self, target: str) -> int:
        """Return the slots of a target's endpoints, whoever occupies them.

        Endpoints whose connection was lost a moment ago are included. They are
        back within a tenth of a second, unless their process has ended.
        """
        now = self._clock.now()
        ejector = self._ejectors_by_target[target]
        return sum(
            ejector.usable_slots(
                candidate.agent, candidate.report.capacity, now
            )
            for candidate in self._view.expected(target)
        )

    def describe(self, target: str) -> list[dict[str, typing.Any]]:
        """Return what is known of each endpoint of a target, for the log."""
        now = self._clock.now()
        ejector = self._ejectors_by_target[target]
        return [
            {
                'agent': endpoint.agent,
                'liveness': self._view.liveness(endpoint.agent).value,
                'phase': endpoint.report.phase.value,
                'usable_slots': ejector.usable_slots(
                    endpoint.agent, endpoint.report.capacity, now
                ),
                'capacity': endpoint.report.capacity,
                'others': self._others_by_agent.get(endpoint.agent, 0),
                'own': self.in_flight.count(endpoint.agent),
                'report_age': round(
                    now - self._reported_at_by_agent.get(endpoint.agent, now), 3
                ),
            }
            for endpoint in self._view.reported(target)
        ]

    def place(
        self,
        target: str,
        fingerprint: str,
        excluded: frozenset[str],
        wall_time: float,
        prefix_key: str = '',
    ) -> Placed | None:
        """Choose the endpoint for an attempt.

        :param excluded: agents that refused this request or failed it.
        :param wall_time: Unix seconds, for the quarantine's evidence.
        :param prefix_key: what requests with the same beginning have in
            common; empty for none.
        """
        now = self._clock.now()
        ejector = self._ejectors_by_target[target]
        ejected = ejector.ejected_endpoints(now)
        candidates_by_id = {
            candidate.agent: candidate
            for candidate in self._view.candidates(target)
            if candidate.agent not in excluded
            and candidate.agent in self.peers_by_agent
        }
        judgement = self._quarantine.judge(fingerprint, wall_time)
        if judgement.standing is not quarantines.Standing.FREE:
            candidates_by_id = self._apart(
                candidates_by_id,
                fingerprint,
                wall_time,
            )
        choice = self._placer.choose(
            [
                self._to_placing(
                    candidate,
                    ejector,
                    now,
                    ejected=candidate.agent in ejected,
                )
                for candidate in candidates_by_id.values()
            ],
            now,
            prefix_key,
        )
        if choice is None:
            return None
        return Placed(
            self.peers_by_agent[choice.endpoint_id],
            candidates_by_id[choice.endpoint_id],
        )

    def _apart(
        self,
        candidates_by_id: dict[str, views.Candidate],
        fingerprint: str,
        wall_time: float,
    ) -> dict[str, views.Candidate]:
        """Return the endpoints at which a suspect meets no other suspect."""
        return {
            agent: candidate
            for agent, candidate in candidates_by_id.items()
            if self.in_flight.may_place(
                agent,
                fingerprint,
                self._quarantine,
                wall_time,
            )
        }

    def serves(self, target: str, excluded: frozenset[str]) -> bool:
        """Tell whether any endpoint but the excluded ones takes work."""
        return any(
            candidate.agent not in excluded
            and candidate.agent in self.peers_by_agent
            for candidate in self._view.candidates(target)
        )

    def began(
        self,
        agent: str,
        exchange: exchange.Exchange,
        fingerprint: str,
        wall_time: float,
    ) -> None:
        """Note an attempt, before it is sent."""
        self.in_flight.began(
            agent,
            exchange.key.request_id,
            fingerprint,
            wall_time,
        )
        self._count_since_report(agent, 1)

    def finished(self, agent: str, exchange: exchange.Exchange) -> None:
        """Note that an attempt is no longer at the endpoint."""
        self.in_flight.finished(agent, exchange.key.request_id)
        self._count_since_report(agent, -1)

    def _count_since_report(self, agent: str, change: int) -> None:
        count = self._since_report_by_agent.get(agent, 0)
        self._since_report_by_agent[agent] = count + change

    def _to_placing(
        self,
        candidate: views.Candidate,
        ejector: ejection.Ejector,
        now: float,
        *,
        ejected: bool,
    ) -> selection.Candidate:
        agent = candidate.agent
        return selection.Candidate(
            endpoint_id=agent,
            failure_domain=candidate.failure_domain,
            reported_running=candidate.report.running,
            capacity=ejector.usable_slots(
                agent,
                candidate.report.capacity,
                now,
            ),
            own_in_flight=self.in_flight.count(agent),
            is_ejected=ejected,
            own_change_since_report=self._since_report_by_agent.get(agent, 0),
            report_age_seconds=now - self._reported_at_by_agent.get(agent, now),
        )


def _ignore(target: str) -> None:
    """Do nothing: nobody depends on the capacity yet."""


def to_report(state: messages.AgentState) -> views.AgentReport:
    """Return what membership needs of an agent's state."""
    return views.AgentReport(
        incarnation=state.incarnation,
        sequence=state.sequence,
        phase=views.AgentPhase(state.phase.value),
        kind=state.kind,
        serves=state.serves,
        version=state.version,
        running=state.running,
        capacity=state.capacity,
    )
