"""The table of workloads; all that is drawn at random comes from a seed."""

from __future__ import annotations

import dataclasses
import random
import typing

from benchmarks.decisions import simulation
from clementinepass.decisions import tickets

ENDPOINTS = 8
SLOTS_EACH = 8
SLOTS = ENDPOINTS * SLOTS_EACH
#: Requests that arrive earlier are not counted.
WARM_UP = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class Mix:
    """What a team's requests look like."""

    prefill: float = 0.04
    least_tokens: int = 60
    most_tokens: int = 140
    #: Seconds until the caller gives up.
    patience: float = 8
    #: Number of documents that prompts begin with; 0 for unique prompts.
    documents: int = 0
    priority_class: tickets.PriorityClass = tickets.PriorityClass.NORMAL

    def draw(self, rng: random.Random) -> simulation.Work:
        """Return the work of one request."""
        key = ''
        if self.documents:
            # A few documents are asked about far more than the others.
            rank = int(rng.paretovariate(1))
            key = f'd{rank % self.documents}'
        return simulation.Work(
            self.prefill,
            rng.randint(self.least_tokens, self.most_tokens),
            key,
        )


@dataclasses.dataclass(slots=True, frozen=True)
class Surge:
    """A time in which a team sends a multiple of its usual rate."""

    begin: float
    end: float
    factor: float


@dataclasses.dataclass(slots=True, frozen=True)
class Team:
    """A team, its promise and its demand."""

    name: str
    #: Promised slots.
    promise: float
    #: Requests a second, relative to what the promised slots can do.
    demand: float
    mix: Mix = Mix()
    surge: Surge | None = None
    #: The part of its callers at each entry; empty for the workload's.
    entry_parts: tuple[float, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """What happens to some endpoints for a time."""

    begin: float
    end: float
    endpoints: int
    #: Factor on all durations; 0 for dead.
    slowness: float


@dataclasses.dataclass(slots=True, frozen=True)
class Workload:
    """One line of the table."""

    name: str
    teams: tuple[Team, ...]
    seconds: float = 60
    fault: Fault | None = None
    #: How late reports of load arrive.
    report_lag: float = 0.1
    #: The part of the callers at each entry.
    entry_parts: tuple[float, ...] = (1,)


_SHORT = Mix()
_LONG = Mix(
    prefill=0.4,
    least_tokens=600,
    most_tokens=1000,
    patience=45,
    priority_class=tickets.PriorityClass.BATCH,
)


def _even(
    demand: float,
    mix: Mix = _SHORT,
    surge: Surge | None = None,
) -> tuple[Team, ...]:
    promise = SLOTS / 4
    return tuple(
        Team(f't{index}', promise, demand, mix, None if index else surge)
        for index in range(4)
    )


_SATURATED = (
    Team('greedy', 24, 3.9),
    Team('steady1', 16, 0.85),
    Team('steady2', 16, 0.85),
    Team('small', 8, 0.85),
)

_DOCUMENTS = Mix(prefill=0.5, documents=40)

WORKLOADS: typing.Final = (
    Workload('steady', _even(0.7)),
    Workload('burst_10x', _even(0.8, surge=Surge(20, 30, 10))),
    Workload(
        'skewed_teams',
        (
            Team('large', 16, 6),
            Team('t1', 16, 0.8),
            Team('t2', 16, 0.8),
            Team('t3', 16, 0.8),
        ),
    ),
    Workload('one_slow', _even(0.6), fault=Fault(10, 60, 1, 10)),
    Workload(
        'long_with_short',
        (Team('long', 32, 1.5, _LONG), Team('short', 32, 0.9)),
        seconds=120,
    ),
    Workload('saturation_2x', _SATURATED, seconds=65),
    Workload(
        'late_reports',
        _even(0.85),
        report_lag=2,
        entry_parts=(0.6, 0.3, 0.1),
    ),
    Workload(
        'crowded_entry',
        _SATURATED,
        seconds=65,
        report_lag=2,
        entry_parts=(0.6, 0.3, 0.1),
    ),
    Workload(
        'team_at_one_entry',
        (
            Team('greedy', 24, 3.9),
            Team('at_first', 16, 0.85, entry_parts=(1, 0, 0)),
            Team('at_second', 16, 0.85, entry_parts=(0, 1, 0)),
            Team('at_third', 8, 0.85, entry_parts=(0, 0, 1)),
        ),
        seconds=65,
        entry_parts=(1, 1, 1),
    ),
    Workload('half_lost', _even(0.8), fault=Fault(20, 40, 4, 0)),
    Workload(
        'full_outage',
        _even(0.8),
        seconds=80,
        fault=Fault(20, 40, ENDPOINTS, 0),
    ),
    Workload('prefixes', _even(0.8, _DOCUMENTS)),
    Workload(
        'no_prefixes',
        _even(0.8, dataclasses.replace(_DOCUMENTS, documents=0)),
    ),
)
