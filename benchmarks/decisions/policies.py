"""The policies compared: two baselines, the chosen one, and variants of it."""

from __future__ import annotations

import random
import typing

from benchmarks.decisions import entries, workloads
from clementinepass.decisions import (
    admission,
    ejection,
    retry_budget,
    selection,
    shares,
)

_RETRY_SHARE = 0.1


class MakePolicy(typing.Protocol):
    """Create the policy of one entry."""

    def __call__(
        self,
        workload: workloads.Workload,
        name: str,
        names: typing.Sequence[str],
        seed: int,
    ) -> entries.Policy:
        """Create the policy of the entry ``name``, one of ``names``."""


class Baseline:
    """First come, first served; nothing is refused, all is retried."""

    def __init__(self, make_placer: typing.Callable[[], selection.Selector]):
        self._make_placer = make_placer

    def __call__(
        self,
        workload: workloads.Workload,
        name: str,
        names: typing.Sequence[str],
        seed: int,
    ) -> entries.Policy:
        """Create the policy of one entry."""
        count = len(names)
        return entries.Policy(
            admission=admission.FifoController(workloads.SLOTS),
            placer=self._make_placer(),
            ejector=ejection.NullEjector(),
            budget=retry_budget.UnboundedBudget(),
            share_by_team={
                team.name: shares.EqualShare(name, team.promise, count)
                for team in workload.teams
            },
            is_gated=False,
            is_adaptive=False,
        )


class Chosen:
    """What the product does, with parts to exchange for comparison."""

    def __init__(
        self,
        make_placer: typing.Callable[[random.Random], selection.Selector],
        *,
        has_transfers: bool = True,
    ):
        self._make_placer = make_placer
        self._has_transfers = has_transfers

    def __call__(
        self,
        workload: workloads.Workload,
        name: str,
        names: typing.Sequence[str],
        seed: int,
    ) -> entries.Policy:
        """Create the policy of one entry."""
        rng = random.Random(f'{name}/{seed}')
        share_by_team = {
            team.name: self._make_share(team, name, names)
            for team in workload.teams
        }
        return entries.Policy(
            admission=admission.Controller.from_promises(
                {team: one.held_slots() for team, one in share_by_team.items()},
                capacity=workloads.SLOTS,
                rng=rng,
            ),
            placer=self._make_placer(rng),
            ejector=ejection.Ejector(),
            budget=retry_budget.RetryBudget.from_share(_RETRY_SHARE),
            share_by_team=share_by_team,
            is_gated=True,
            is_adaptive=True,
        )

    def _make_share(
        self,
        team: workloads.Team,
        name: str,
        names: typing.Sequence[str],
    ) -> shares.Share:
        if not self._has_transfers:
            return shares.EqualShare(name, team.promise, len(names))
        return shares.PromiseShare.from_view(
            name,
            promise=team.promise,
            entries=names,
            revision=1,
        )


class _MakePlacer:
    """Create the placer of a variant."""

    def __init__(self, sample: int, *, has_affinity: bool) -> None:
        self._sample = sample
        self._has_affinity = has_affinity

    def __call__(self, rng: random.Random) -> selection.Selector:
        """Create the placer of one entry."""
        return selection.CostSelector(
            rng,
            domain='a',
            sample_size=self._sample,
            affinity=selection.PrefixAffinity() if self._has_affinity else None,
        )


POLICIES: typing.Final[dict[str, MakePolicy]] = {
    'round_robin': Baseline(selection.RoundRobinSelector),
    'least_in_flight': Baseline(selection.LeastInFlightSelector),
    'chosen': Chosen(_MakePlacer(8, has_affinity=True)),
}

VARIANTS: typing.Final[dict[str, MakePolicy]] = {
    'no_affinity': Chosen(_MakePlacer(8, has_affinity=False)),
    'equal_shares': Chosen(
        _MakePlacer(8, has_affinity=True),
        has_transfers=False,
    ),
    'sample_of_four': Chosen(_MakePlacer(4, has_affinity=True)),
    'sample_of_two': Chosen(_MakePlacer(2, has_affinity=True)),
}
