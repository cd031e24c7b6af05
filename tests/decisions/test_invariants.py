"""Invariants of admission control over generated histories."""

from __future__ import annotations

import collections

import testtools
from hypothesis import given, settings, strategies

from clementinepass.decisions import admission, reasons, tickets

_PROMISES = {'east': 4.0, 'north': 2.0, 'west': 0.5}
_TEAMS = [*_PROMISES, 'stranger']

_offers = strategies.tuples(
    strategies.just('offer'),
    strategies.sampled_from(_TEAMS),
    strategies.sampled_from(list(tickets.PriorityClass)),
    strategies.floats(min_value=-1, max_value=8),
    strategies.floats(min_value=0.1, max_value=5),
)
_ends = strategies.tuples(
    strategies.sampled_from(['finish', 'fail', 'return', 'withdraw']),
    strategies.integers(min_value=0, max_value=50),
)
_capacities = strategies.tuples(
    strategies.just('capacity'),
    strategies.integers(min_value=0, max_value=6),
)
_promises = strategies.tuples(
    strategies.just('promise'),
    strategies.sampled_from(list(_PROMISES)),
    strategies.floats(min_value=0, max_value=9),
)
_histories = strategies.lists(
    strategies.one_of(_offers, _ends, _capacities, _promises),
    max_size=150,
)


class _History:
    """Drives a controller through steps and tracks the expected state."""

    def __init__(self, limits: admission.Limits) -> None:
        self.promises = dict(_PROMISES)
        self.capacity = 5
        self.controller = admission.Controller.from_promises(
            self.promises,
            capacity=self.capacity,
            limits=limits,
        )
        self.now = 0.0
        self.offered: list[str] = []
        self.running: dict[str, tickets.Ticket] = {}
        self.queued: dict[str, tickets.Ticket] = {}
        self.outcome_counts: collections.Counter[str] = collections.Counter()

    def play(self, steps: list[tuple]) -> None:
        """Perform the steps, a quarter of a second apart."""
        for step in steps:
            self.now += 0.25
            getattr(self, f'_{step[0]}')(*step[1:])
            self._apply_queue_decisions()

    def finish_all(self) -> None:
        """Finish running requests until none runs or waits."""
        self._capacity(5)
        self._apply_queue_decisions()
        while self.running or self.queued:
            self.now += 1
            self._finish(0)
            self._apply_queue_decisions()

    def _offer(self, team, priority_class, slack, cost) -> None:
        ticket = tickets.Ticket(
            f'r{len(self.offered)}',
            team,
            priority_class,
            self.now + slack,
            cost,
        )
        self.offered.append(ticket.request_id)
        self._apply(self.controller.offer(ticket, self.now))

    def _pick(self, index: int) -> tickets.Ticket | None:
        ids = sorted(self.running)
        return self.running.pop(ids[index % len(ids)]) if ids else None

    def _finish(self, index: int, *, succeeded: bool = True) -> None:
        ticket = self._pick(index)
        if ticket is not None:
            self.outcome_counts[ticket.request_id] += 1
            self.controller.release(ticket, self.now, succeeded=succeeded)

    def _fail(self, index: int) -> None:
        self._finish(index, succeeded=False)

    def _return(self, index: int) -> None:
        ticket = self._pick(index)
        if ticket is not None:
            self.queued[ticket.request_id] = ticket
            self.controller.requeue(
                ticket,
                self.now,
                found_full=bool(index % 2),
            )

    def _withdraw(self, index: int) -> None:
        ids = sorted(self.queued)
        if ids:
            ticket = self.queued.pop(ids[index % len(ids)])
            self.outcome_counts[ticket.request_id] += 1
            self.controller.withdraw(ticket)

    def _capacity(self, capacity: int) -> None:
        self.capacity = capacity
        self.controller.set_capacity(capacity)

    def _promise(self, team: str, slots: float) -> None:
        self.promises[team] = slots
        self.controller.set_promises(self.promises)

    def _apply_queue_decisions(self) -> None:
        before = len(self.running)
        for decision in self.controller.poll(self.now):
            self.queued.pop(decision.ticket.request_id)
            self._apply(decision)
        if len(self.running) > before:
            assert len(self.running) <= self.capacity
        assert self.controller.waiting_count == len(self.queued)
        assert self.controller.in_flight == len(self.running)

    def _apply(self, decision: tickets.Decision) -> None:
        ticket = decision.ticket
        if decision.kind is tickets.DecisionKind.ADMIT:
            assert ticket.deadline >= self.now
            self.running[ticket.request_id] = ticket
            assert len(self.running) <= self.capacity
        elif decision.kind is tickets.DecisionKind.QUEUE:
            self.queued[ticket.request_id] = ticket
        else:
            assert isinstance(decision.reason, reasons.Refusal)
            assert 0 <= decision.retry_after <= 4
            self.outcome_counts[ticket.request_id] += 1


class InvariantsTest(testtools.TestCase):
    """Invariants that hold after each step of any history."""

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(steps=_histories)
    def test_each_ticket_has_one_outcome_within_capacity(self, steps) -> None:
        """The capacity is never exceeded, and each ticket has one outcome."""
        history = _History(admission.Limits())
        history.play(steps)
        history.finish_all()
        self.assertEqual(
            dict.fromkeys(history.offered, 1),
            dict(history.outcome_counts),
        )

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        offers=strategies.lists(_offers, max_size=120),
        min_length=strategies.integers(min_value=1, max_value=5),
    )
    def test_queue_bound_holds(self, offers, min_length) -> None:
        """Each team's queue stays within its limit under any load."""
        limits = admission.Limits(waiting_per_slot=1, min_waiting=min_length)
        history = _History(limits)
        history.play(offers)
        waiting_by_team = collections.Counter(
            ticket.team for ticket in history.queued.values()
        )
        for team, waiting in waiting_by_team.items():
            self.assertLessEqual(
                waiting,
                max(history.capacity, history.promises[team], min_length),
            )
