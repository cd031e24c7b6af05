"""An entry that puts the decisions together, and what they cost callers."""

from __future__ import annotations

import dataclasses
import typing

from benchmarks.decisions import simulation
from clementinepass.decisions import (
    admission,
    ejection,
    reasons,
    retry_budget,
    selection,
    shares,
    tickets,
)

#: Seconds between reports of endpoints and entries.
REPORT_SECONDS = 0.25
#: Seconds before a request that found its endpoint full is placed again.
_AGAIN_SECONDS = 0.02
#: Endpoints that a request is offered to in a row.
_MOST_TRIES = 3


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A caller's request, with all its attempts, and its outcome."""

    request_id: str
    team: str
    priority_class: tickets.PriorityClass
    work: simulation.Work
    cost: float
    arrived: float
    deadline: float
    offers: int = 0
    dispatches: int = 0
    crashes: int = 0
    #: When the first token came, whether or not in time.
    first_token: float | None = None
    answered: float | None = None
    #: Slot-seconds spent on it.
    spent: float = 0


@dataclasses.dataclass(slots=True)
class Policy:
    """The decisions of one entry."""

    admission: admission.Admission
    placer: selection.Selector
    ejector: ejection.Detector
    budget: retry_budget.Budget
    #: The entry's part of each team's promise.
    share_by_team: dict[str, shares.Share]
    #: Whether endpoints refuse when full, rather than queue.
    is_gated: bool
    #: Whether admission follows shares and ejections.
    is_adaptive: bool


class _Dispatch:
    """One attempt at an endpoint."""

    def __init__(
        self,
        entry: Entry,
        ticket: tickets.Ticket,
        endpoint: simulation.Endpoint,
    ) -> None:
        self.ticket = ticket
        self.endpoint = endpoint
        self.sent = entry.simulation.now
        self.has_token = False
        self.is_overdue = False
        self.run: simulation.Run | None = None
        self._entry = entry

    def first_token(self) -> None:
        """Take the first token."""
        self.has_token = True
        self._entry.on_first_token(self)

    def ended(self) -> None:
        """Take the last token."""
        self._entry.on_end(self)

    def failed(self) -> None:
        """Take the loss of the endpoint."""
        self._entry.on_failure(self)


class Entry:
    """One entry instance."""

    def __init__(
        self,
        sim: simulation.Simulation,
        name: str,
        *,
        endpoints: typing.Sequence[simulation.Endpoint],
        policy: Policy,
        refused: typing.Callable[[Request, float], None],
    ) -> None:
        self.simulation = sim
        self.name = name
        self.endpoints_by_id = {one.endpoint_id: one for one in endpoints}
        self.policy = policy
        self.own_in_flight = dict.fromkeys(self.endpoints_by_id, 0)
        #: The last reports to arrive: running, and our own part of it.
        self.reported = dict.fromkeys(self.endpoints_by_id, (0, 0))
        self._reported_at: dict[str, float]
        self._reported_at = dict.fromkeys(self.endpoints_by_id, 0)
        self._refused = refused
        self._is_pump_due = False
        self._requests_by_id: dict[str, Request] = {}
        self._in_flight: dict[str, _Dispatch] = {}
        self._demand_by_team: dict[str, int] = dict.fromkeys(
            policy.share_by_team,
            0,
        )

    def offer(self, request: Request) -> None:
        """Take a request in."""
        request.offers += 1
        ticket = tickets.Ticket(
            f'{request.request_id}/{request.offers}',
            request.team,
            request.priority_class,
            request.deadline,
            request.cost,
        )
        self._requests_by_id[ticket.request_id] = request
        self._demand_by_team[ticket.team] += 1
        self.policy.budget.record_first_attempt(self.simulation.now)
        self._follow(self.policy.admission.offer(ticket, self.simulation.now))
        self.pump()

    def pump(self) -> None:
        """Follow what admission decides about those that wait."""
        self._is_pump_due = False
        for decision in self.policy.admission.poll(self.simulation.now):
            self._follow(decision)

    def tick(self) -> None:
        """Do what is done at intervals."""
        self._note_overdue()
        if self.policy.is_adaptive:
            self._update_limits()
        self.pump()

    def reports(self) -> dict[str, shares.Report]:
        """Return what to tell the other entries, by team."""
        by_team = {
            team: share.report(self._demand_by_team[team])
            for team, share in self.policy.share_by_team.items()
        }
        return by_team

    def receive(self, reports: typing.Mapping[str, shares.Report]) -> None:
        """Take in the reports of another entry."""
        for team, report in reports.items():
            self.policy.share_by_team[team].receive(report)

    def receive_load(
        self,
        endpoint_id: str,
        running: int,
        own: int,
        taken_at: float,
    ) -> None:
        """Take in how much runs at an endpoint, unless newer is known."""
        if taken_at >= self._reported_at[endpoint_id]:
            self._reported_at[endpoint_id] = taken_at
            self.reported[endpoint_id] = (running, own)

    def on_first_token(self, dispatch: _Dispatch) -> None:
        """Note the first token; stop if the caller has gone."""
        now = self.simulation.now
        seconds = now - dispatch.sent
        endpoint_id = dispatch.endpoint.endpoint_id
        if not dispatch.is_overdue:
            self.policy.ejector.observe(endpoint_id, seconds, now)
        request = self._requests_by_id[dispatch.ticket.request_id]
        if request.first_token is None:
            request.first_token = now
        if now >= request.deadline:
            self._stop(dispatch)
        else:
            self.simulation.at(request.deadline, lambda: self._stop(dispatch))

    def on_end(self, dispatch: _Dispatch) -> None:
        """Note the answer."""
        request = self._requests_by_id[dispatch.ticket.request_id]
        request.answered = self.simulation.now
        self._release(dispatch, succeeded=True)
        self.pump()

    def on_failure(self, dispatch: _Dispatch) -> None:
        """Try again or give up."""
        now = self.simulation.now
        self.policy.ejector.observe_failure(dispatch.endpoint.endpoint_id, now)
        request = self._requests_by_id[dispatch.ticket.request_id]
        request.crashes += dispatch.run is not None and dispatch.run.has_begun
        attempt = retry_budget.FailedAttempt(
            request.dispatches,
            request.crashes,
            may_have_run=False,
            idempotent=True,
        )
        decision = retry_budget.decide(attempt, self.policy.budget, now)
        is_again = decision is reasons.Retry.ALLOWED
        self._release(dispatch, succeeded=False, is_again=is_again)
        if not is_again:
            self._refused(request, 1)
        self.pump()

    def _follow(self, decision: tickets.Decision) -> None:
        if decision.kind is tickets.DecisionKind.ADMIT:
            self._dispatch(decision.ticket)
        elif decision.kind is tickets.DecisionKind.REFUSE:
            self._demand_by_team[decision.ticket.team] -= 1
            request = self._requests_by_id.pop(decision.ticket.request_id)
            self._refused(request, decision.retry_after)

    def _candidates(self) -> list[selection.Candidate]:
        now = self.simulation.now
        ejector = self.policy.ejector
        ejected = ejector.ejected_endpoints(now)
        candidates = []
        for endpoint_id, endpoint in self.endpoints_by_id.items():
            running, own = self.reported[endpoint_id]
            own_now = self.own_in_flight[endpoint_id]
            candidates.append(
                selection.Candidate(
                    endpoint_id,
                    endpoint.domain,
                    running,
                    self._slots(endpoint, now),
                    own_now,
                    endpoint_id in ejected,
                    own_now - own,
                    now - self._reported_at[endpoint_id],
                ),
            )
        return candidates

    def _slots(self, endpoint: simulation.Endpoint, now: float) -> int:
        ejector = self.policy.ejector
        if isinstance(ejector, ejection.Ejector):
            return ejector.usable_slots(
                endpoint.endpoint_id, endpoint.slots, now
            )
        return endpoint.slots

    def _dispatch(self, ticket: tickets.Ticket) -> None:
        request = self._requests_by_id[ticket.request_id]
        for _ in range(_MOST_TRIES):
            endpoint = self._choose(request)
            if not self._is_refused_by(endpoint):
                self._send(ticket, request, endpoint)
                return
            # The refusal tells the load there, newer than any report.
            self.receive_load(
                endpoint.endpoint_id,
                endpoint.running,
                self.own_in_flight[endpoint.endpoint_id],
                self.simulation.now,
            )
        now = self.simulation.now
        self.policy.admission.requeue(ticket, now, found_full=True)
        self._pump_again()

    def _choose(self, request: Request) -> simulation.Endpoint:
        choice = self.policy.placer.choose(
            self._candidates(),
            self.simulation.now,
            request.work.prefix_key,
        )
        if choice is None:
            raise RuntimeError('no endpoints')
        return self.endpoints_by_id[choice.endpoint_id]

    def _is_refused_by(self, endpoint: simulation.Endpoint) -> bool:
        is_full = endpoint.running >= endpoint.slots
        return self.policy.is_gated and is_full and not endpoint.is_dead

    def _send(
        self,
        ticket: tickets.Ticket,
        request: Request,
        endpoint: simulation.Endpoint,
    ) -> None:
        request.dispatches += 1
        dispatch = _Dispatch(self, ticket, endpoint)
        self._in_flight[ticket.request_id] = dispatch
        self.own_in_flight[endpoint.endpoint_id] += 1
        dispatch.run = endpoint.start(request.work, dispatch)

    def _pump_again(self) -> None:
        if not self._is_pump_due:
            self._is_pump_due = True
            later = self.simulation.now + _AGAIN_SECONDS
            self.simulation.at(later, self.pump)

    def _stop(self, dispatch: _Dispatch) -> None:
        if dispatch.run is None or dispatch.run.is_over:
            return
        dispatch.endpoint.cancel(dispatch.run)
        self._release(dispatch, succeeded=True)
        self.pump()

    def _release(
        self,
        dispatch: _Dispatch,
        *,
        succeeded: bool,
        is_again: bool = False,
    ) -> None:
        ticket = dispatch.ticket
        self.own_in_flight[dispatch.endpoint.endpoint_id] -= 1
        del self._in_flight[ticket.request_id]
        if dispatch.run is not None:
            request = self._requests_by_id[ticket.request_id]
            request.spent += dispatch.run.seconds
        now = self.simulation.now
        if is_again:
            self.policy.admission.requeue(ticket, now)
            return
        self._demand_by_team[ticket.team] -= 1
        self.policy.admission.release(ticket, now, succeeded=succeeded)

    def _note_overdue(self) -> None:
        ejector = self.policy.ejector
        if not isinstance(ejector, ejection.Ejector):
            return
        now = self.simulation.now
        for dispatch in self._in_flight.values():
            if not (dispatch.has_token or dispatch.is_overdue):
                endpoint_id = dispatch.endpoint.endpoint_id
                waited = now - dispatch.sent
                dispatch.is_overdue = ejector.observe_overdue(
                    endpoint_id, waited, now
                )

    def _update_limits(self) -> None:
        self.policy.admission.set_capacity(self._capacity())
        if isinstance(self.policy.admission, admission.Controller):
            self.policy.admission.set_promises(
                {
                    team: share.held_slots()
                    for team, share in self.policy.share_by_team.items()
                },
            )

    def _capacity(self) -> int:
        """Return the usable slots, less what others were reported to run."""
        now = self.simulation.now
        capacity = 0
        for endpoint_id, endpoint in self.endpoints_by_id.items():
            running, own = self.reported[endpoint_id]
            others = max(running - own, 0)
            capacity += max(self._slots(endpoint, now) - others, 0)
        return capacity
