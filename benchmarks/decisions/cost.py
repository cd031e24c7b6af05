"""Measure the processor time of a decision against what it depends on."""

from __future__ import annotations

import json
import random
import time
import typing

import cyclopts
import rich.console
import rich.table

from clementinepass.decisions import (
    admission,
    ejection,
    selection,
    shares,
    tickets,
)

app = cyclopts.App(name='cost', help=__doc__)

_DECISIONS = 20_000
_TEAMS = (10, 100, 1000)
_ENDPOINTS = (8, 64, 600, 1500)
_WAITING = (10, 1000, 10_000)
_ENTRIES = (9, 40)
_DOMAINS = ('a', 'b', 'c')
_FAR = 10.0**9


def _microseconds(action: typing.Callable[[int], object], rounds: int) -> float:
    begin = time.process_time()
    for index in range(rounds):
        action(index)
    return (time.process_time() - begin) / rounds * 10**6


class _AdmissionCost:
    """One request through admission: offer, start and end."""

    def __init__(self, teams: int, waiting: int) -> None:
        self._teams = teams
        self._running: list[tickets.Ticket] = []
        capacity = 64
        limits = admission.Limits(min_waiting=waiting // teams + 2)
        self._controller = admission.Controller.from_promises(
            {f't{index}': capacity / teams for index in range(teams)},
            capacity=capacity,
            limits=limits,
            rng=random.Random(1),
        )
        for index in range(capacity + waiting):
            self.step(-1 - index, ends=False)

    def step(self, index: int, *, ends: bool = True) -> None:
        """Offer one request, and end one that runs."""
        ticket = tickets.Ticket(
            f'r{index}',
            f't{index % self._teams}',
            tickets.PriorityClass.URGENT,
            _FAR,
        )
        self._follow([self._controller.offer(ticket, 0)])
        if ends:
            self._controller.release(self._running.pop(), 1)
            self._follow(self._controller.poll(1))

    def _follow(self, decisions: list[tickets.Decision]) -> None:
        for decision in decisions:
            if decision.kind is tickets.DecisionKind.ADMIT:
                self._running.append(decision.ticket)


def _candidates(count: int) -> list[selection.Candidate]:
    rng = random.Random(2)
    return [
        selection.Candidate(
            f'endpoint{index}',
            _DOMAINS[index % len(_DOMAINS)],
            rng.randrange(8),
            8,
            rng.randrange(3),
        )
        for index in range(count)
    ]


def _placing(count: int, sample: int, *, has_prefix: bool = False) -> float:
    candidates = _candidates(count)
    placer = selection.CostSelector(
        random.Random(3),
        domain='a',
        sample_size=sample,
        affinity=selection.PrefixAffinity() if has_prefix else None,
    )
    rounds = max(_DECISIONS // (1 + sample // 20), 200)
    return _microseconds(
        lambda index: placer.choose(candidates, 0, f'p{index % 100}'),
        rounds,
    )


def _placing_when_full(count: int) -> float:
    candidates = _candidates(count)
    for candidate in candidates[1:]:
        candidate.reported_running = candidate.capacity
    candidates[0].reported_running = 0
    placer = selection.CostSelector(random.Random(3), domain='a')
    return _microseconds(
        lambda index: placer.choose(candidates, 0),
        _DECISIONS // 10,
    )


def _ejection(count: int) -> float:
    ejector = ejection.Ejector()
    for number in range(count * 8):
        ejector.observe(f'endpoint{number % count}', 0.1, 0)
    return _microseconds(ejector.ejected_endpoints, 200)


def _shares(entries: int) -> float:
    names = [f'e{index}' for index in range(entries)]
    by_name = {
        name: shares.PromiseShare.from_view(
            name,
            promise=64,
            entries=names,
            revision=1,
        )
        for name in names
    }
    first = by_name['e0']

    def turn(index: int) -> None:  # noqa: WPS430
        for share in by_name.values():
            first.receive(share.report(index % 5))

    return _microseconds(turn, 200) / entries


def _measure() -> dict[str, float]:
    costs = {}
    for teams in _TEAMS:
        cost = _AdmissionCost(teams, 1000)
        costs[f'admission, {teams} teams, 1000 waiting'] = _microseconds(
            cost.step,
            _DECISIONS,
        )
    for waiting in _WAITING:
        cost = _AdmissionCost(10, waiting)
        costs[f'admission, 10 teams, {waiting} waiting'] = _microseconds(
            cost.step,
            _DECISIONS,
        )
    for count in _ENDPOINTS:
        costs[f'placing, {count} endpoints, sample of 8'] = _placing(count, 8)
        costs[f'placing, {count} endpoints, 8 and prefix'] = _placing(
            count,
            8,
            has_prefix=True,
        )
        costs[f'placing, {count} endpoints, 1 free'] = _placing_when_full(
            count,
        )
        costs[f'placing, {count} endpoints, all'] = _placing(count, count)
        costs[f'judging, {count} endpoints'] = _ejection(count)
    for entries in _ENTRIES:
        costs[f'share of a team, {entries} entries'] = _shares(entries)
    return costs


@app.default
def main(
    *,
    runs: int = 3,
    json_line: typing.Annotated[
        bool,
        cyclopts.Parameter(name='--json'),
    ] = False,
) -> None:
    """Measure microseconds of processor time.

    :param runs: how often each is measured.
    :param json_line: print the result as one JSON object at the end.
    """
    measured = [_measure() for _ in range(runs)]
    table = rich.table.Table('decision', *(f'run {i}' for i in range(runs)))
    for name in measured[0]:
        table.add_row(name, *(f'{one[name]:.1f}' for one in measured))
    rich.console.Console(width=100).print(table)
    if json_line:
        print(json.dumps({'benchmark': 'decisions.cost', 'runs': measured}))


if __name__ == '__main__':
    app()
