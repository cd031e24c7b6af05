"""Run one workload under one policy and judge what callers got."""

from __future__ import annotations

import collections
import dataclasses
import functools
import random
import typing

from benchmarks.decisions import entries, policies, simulation, workloads

#: Seconds between an entry's looks at its limits.
_TICK_SECONDS = 0.1
_DOMAINS = ('a', 'b', 'c')
#: Seconds of the window in which recovery is judged.
_RECOVERY_WINDOW = 2
_RECOVERED_PART = 0.9
#: An answered share above this counts as the promise kept.
_CAPACITY_SECONDS = 60
#: Spread of the cost as estimated before the run.
_COST_ERROR = 0.25
#: Tokens that make one unit of cost.
_TOKENS_A_UNIT = 100


@dataclasses.dataclass(slots=True)
class Outcome:
    """What callers got, of requests that arrived after the warm-up."""

    #: Share of its promise that each team got: answered in time, relative to
    #: the smaller of what it asked for and what it was promised.
    kept_by_team: dict[str, float]
    #: The smallest of these.
    fairness: float
    #: Useful work relative to capacity.
    goodput: float
    #: Slot time spent on requests that missed their deadline.
    wasted: float
    #: 95th percentile of the time to first token of answered requests.
    first_token_p95: float
    #: Answered in time, of all that arrived.
    answered: float
    #: Dispatches for each request that arrived while a fault lasted, or ever.
    amplification: float
    #: Times that callers asked, for each request.
    offers: float
    #: Seconds from the end of the fault until answers flow as before.
    recovery: float | None
    #: Part of prefills that found their prefix cached.
    hits: float


class _Null:
    """A listener for runs that nobody waits for."""

    def __init__(self, ended: simulation.Action) -> None:
        self.ended = ended

    def first_token(self) -> None:
        """Ignore the token."""

    def failed(self) -> None:
        """Ignore the failure."""


@functools.cache
def slot_rate(mix: workloads.Mix) -> float:
    """Return the requests a second of one slot when all are always busy."""
    sim = simulation.Simulation()
    endpoint = simulation.Endpoint(
        sim,
        'e',
        domain='a',
        slots=workloads.SLOTS_EACH,
    )
    rng = random.Random(1)
    ended = 0

    def again() -> None:  # noqa: WPS430
        nonlocal ended  # noqa: WPS420
        ended += 1
        endpoint.start(mix.draw(rng), _Null(again))

    for _ in range(workloads.SLOTS_EACH):
        endpoint.start(mix.draw(rng), _Null(again))
    sim.run(_CAPACITY_SECONDS)
    return ended / _CAPACITY_SECONDS / workloads.SLOTS_EACH


class _World:
    """A workload under way."""

    def __init__(
        self,
        workload: workloads.Workload,
        make_policy: policies.MakePolicy,
        seed: int,
    ) -> None:
        self.workload = workload
        self.simulation = simulation.Simulation()
        self.requests: list[entries.Request] = []
        self._parts_by_team = {
            team.name: team.entry_parts for team in workload.teams
        }
        self._rng = random.Random(f'{workload.name}/{seed}')
        self.endpoints = [
            simulation.Endpoint(
                self.simulation,
                f'endpoint{index}',
                domain=_DOMAINS[index % len(_DOMAINS)],
                slots=workloads.SLOTS_EACH,
            )
            for index in range(workloads.ENDPOINTS)
        ]
        names = [f'entry{i}' for i in range(len(workload.entry_parts))]
        self.entries = [
            entries.Entry(
                self.simulation,
                name,
                endpoints=self.endpoints,
                policy=make_policy(workload, name, names, seed),
                refused=self._refused,
            )
            for name in names
        ]

    def play(self) -> None:
        """Run the workload to its end, and let what runs finish."""
        for team in self.workload.teams:
            self._schedule_arrival(team)
        for entry in self.entries:
            self._tick(entry)
        self._report()
        if self.workload.fault is not None:
            self._schedule_fault(self.workload.fault)
        self.simulation.run(self.workload.seconds + 60)

    def _later(self, seconds: float, action: simulation.Action) -> None:
        self.simulation.at(self.simulation.now + seconds, action)

    def _schedule_arrival(self, team: workloads.Team) -> None:
        rate = team.demand * team.promise * slot_rate(team.mix)
        surge = team.surge
        now = self.simulation.now
        if surge is not None and surge.begin <= now < surge.end:
            rate *= surge.factor
        gap = self._rng.expovariate(rate)
        if now + gap < self.workload.seconds:
            self._later(gap, lambda: self._arrive(team))

    def _arrive(self, team: workloads.Team) -> None:
        self._schedule_arrival(team)
        work = team.mix.draw(self._rng)
        error = self._rng.uniform(1 - _COST_ERROR, 1 + _COST_ERROR)
        now = self.simulation.now
        request = entries.Request(
            f'r{len(self.requests)}',
            team.name,
            team.mix.priority_class,
            work,
            work.tokens / _TOKENS_A_UNIT * error,
            now,
            now + team.mix.patience,
        )
        self.requests.append(request)
        self._offer(request)

    def _offer(self, request: entries.Request) -> None:
        parts = self._parts_by_team[request.team] or self.workload.entry_parts
        self._rng.choices(self.entries, parts)[0].offer(request)

    def _refused(self, request: entries.Request, retry_after: float) -> None:
        # Callers come back when told, as long as that is in time at all.
        if self.simulation.now + retry_after < request.deadline:
            self._later(retry_after, lambda: self._offer(request))

    def _tick(self, entry: entries.Entry) -> None:
        entry.tick()
        if self.simulation.now < self.workload.seconds + 50:
            self._later(_TICK_SECONDS, lambda: self._tick(entry))

    def _report(self) -> None:
        for entry in self.entries:
            self._report_to(entry)
        if self.simulation.now < self.workload.seconds + 50:
            self._later(entries.REPORT_SECONDS, self._report)

    def _report_to(self, entry: entries.Entry) -> None:
        lag = self.workload.report_lag
        for endpoint in self.endpoints:
            arrive = functools.partial(
                entry.receive_load,
                endpoint.endpoint_id,
                endpoint.running,
                entry.own_in_flight[endpoint.endpoint_id],
                self.simulation.now,
            )
            self._later(lag, arrive)
        peers = [peer for peer in self.entries if peer is not entry]
        if not peers:
            entry.reports()
            return
        told = entry.reports()
        for peer in peers:
            self._later(lag, functools.partial(peer.receive, told))

    def _schedule_fault(self, fault: workloads.Fault) -> None:
        for endpoint in self.endpoints[: fault.endpoints]:
            begin = functools.partial(_begin_fault, endpoint, fault)
            self.simulation.at(fault.begin, begin)
            self.simulation.at(
                fault.end, functools.partial(_end_fault, endpoint)
            )


def run(
    workload: workloads.Workload,
    make_policy: policies.MakePolicy,
    seed: int,
) -> Outcome:
    """Return the outcome of a workload under a policy."""
    world = _World(workload, make_policy, seed)
    world.play()
    counted = [
        request
        for request in world.requests
        if request.arrived >= workloads.WARM_UP
    ]
    answered = [one for one in counted if one.answered is not None]
    kept = _kept_by_team(workload, counted)
    spent = sum(request.spent for request in counted)
    useful = sum(request.spent for request in answered)
    faulty = _during_fault(workload, counted)
    prefills = sum(endpoint.prefills for endpoint in world.endpoints)
    hits = sum(endpoint.hits for endpoint in world.endpoints)
    return Outcome(
        kept_by_team=kept,
        fairness=min(kept.values()),
        goodput=_goodput(workload, world.requests),
        wasted=1 - useful / spent if spent else 0,
        first_token_p95=_p95(
            [
                one.first_token - one.arrived
                for one in answered
                if one.first_token is not None
            ],
        ),
        answered=len(answered) / len(counted),
        amplification=sum(one.dispatches for one in faulty) / len(faulty),
        offers=sum(one.offers for one in faulty) / len(faulty),
        recovery=_recovery(workload, world.requests),
        hits=hits / prefills if prefills else 0,
    )


def _begin_fault(
    endpoint: simulation.Endpoint,
    fault: workloads.Fault,
) -> None:
    if fault.slowness:
        endpoint.slowness = fault.slowness
    else:
        endpoint.die()


def _end_fault(endpoint: simulation.Endpoint) -> None:
    endpoint.slowness = 1
    if endpoint.is_dead:
        endpoint.revive()


def _kept_by_team(
    workload: workloads.Workload,
    counted: typing.Iterable[entries.Request],
) -> dict[str, float]:
    seconds = workload.seconds - workloads.WARM_UP
    offered: collections.Counter[str] = collections.Counter()
    answered: collections.Counter[str] = collections.Counter()
    for request in counted:
        offered[request.team] += 1
        answered[request.team] += request.answered is not None
    kept = {}
    for team in workload.teams:
        promised = team.promise * slot_rate(team.mix) * seconds
        due = min(offered[team.name], promised)
        kept[team.name] = min(answered[team.name] / due, 1)
    return kept


def _goodput(
    workload: workloads.Workload,
    requests: typing.Iterable[entries.Request],
) -> float:
    """Return the capacity used for answers given between warm-up and end."""
    rate_by_team = {team.name: slot_rate(team.mix) for team in workload.teams}
    useful: float = 0
    for request in requests:
        answered = request.answered or 0
        if workloads.WARM_UP <= answered < workload.seconds:
            useful += 1 / rate_by_team[request.team]
    seconds = workload.seconds - workloads.WARM_UP
    return useful / seconds / workloads.SLOTS


def _during_fault(
    workload: workloads.Workload,
    counted: list[entries.Request],
) -> list[entries.Request]:
    fault = workload.fault
    if fault is None:
        return counted
    return [
        request
        for request in counted
        if fault.begin <= request.arrived < fault.end
    ]


def _recovery(
    workload: workloads.Workload,
    requests: typing.Iterable[entries.Request],
) -> float | None:
    fault = workload.fault
    if fault is None or fault.end >= workload.seconds:
        return None
    before = 0
    answers = []
    for request in requests:
        if workloads.WARM_UP <= request.arrived < fault.begin:
            before += 1
        if request.answered is not None:
            answers.append(request.answered)
    wanted = before / (fault.begin - workloads.WARM_UP) * _RECOVERED_PART
    step = 0.25
    begin = fault.end
    while begin + _RECOVERY_WINDOW <= workload.seconds:
        end = begin + _RECOVERY_WINDOW
        flow = sum(begin <= time < end for time in answers)
        if flow >= wanted * _RECOVERY_WINDOW:
            return begin - fault.end
        begin += step
    return float('inf')


def _p95(values: list[float]) -> float:
    values.sort()
    return values[int(len(values) * 0.95)] if values else 0
