"""Choose the endpoint for a request.

:class:`RoundRobinPlacer` and :class:`LeastInFlightPlacer` are the baselines.
:class:`CostPlacer` compares the expected cost of a few sampled endpoints.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import math
import typing

from clementinepass.decisions import reasons

if typing.TYPE_CHECKING:
    import random


@dataclasses.dataclass(slots=True)
class Candidate:
    """An endpoint that could take a request."""

    endpoint_id: str
    failure_domain: str
    #: Requests running there by its last report, from all entries; it lags.
    reported_running: int
    #: Requests that it runs at a time.
    capacity: int
    #: Requests of this entry in flight there; exact.
    own_in_flight: int
    #: Whether the ejector has taken it out.
    is_ejected: bool = False
    #: Dispatches of this entry, less those finished, since that report.
    own_change_since_report: int = 0
    #: Seconds since that report was taken.
    report_age_seconds: float = 0

    @property
    def others_running(self) -> int:
        """Return what ran there for other entries at the last report."""
        own_at_report = self.own_in_flight - self.own_change_since_report
        return max(self.reported_running - own_at_report, 0)


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """The endpoint chosen, and why."""

    endpoint_id: str
    reason: reasons.Selection
    #: The expected cost in seconds, as compared between candidates.
    cost: float = 0


class Selector(typing.Protocol):
    """Choose among endpoints."""

    def choose(
        self,
        candidates: typing.Sequence[Candidate],
        now: float,
        prefix_key: str = '',
    ) -> Choice | None:
        """Return the endpoint to use, or ``None`` if there is none."""


@dataclasses.dataclass(slots=True, frozen=True)
class Costs:
    """What makes up the expected time to first token, in seconds."""

    #: Time that a request occupies its slot.
    service_seconds: float = 1
    #: Time to process a prompt of which nothing is cached.
    prefill_seconds: float = 0.1
    #: Delay of the first token when all slots of the endpoint decode.
    interference_seconds: float = 0.1
    #: Price of another failure domain. Small against a queue, so that it
    #: decides only between endpoints that are about equally busy.
    other_domain_seconds: float = 0.01


class RoundRobinSelector:
    """A baseline: one after the other."""

    __slots__ = ('_counter',)

    def __init__(self) -> None:
        self._counter = 0

    def choose(
        self,
        candidates: typing.Sequence[Candidate],
        now: float,
        prefix_key: str = '',
    ) -> Choice | None:
        """Return the next in turn."""
        if not candidates:
            return None
        self._counter += 1
        candidate = candidates[self._counter % len(candidates)]
        return Choice(candidate.endpoint_id, reasons.Selection.ROUND_ROBIN)


class LeastInFlightSelector:
    """A baseline: the endpoint with the fewest requests of this entry."""

    __slots__ = ()

    def choose(
        self,
        candidates: typing.Sequence[Candidate],
        now: float,
        prefix_key: str = '',
    ) -> Choice | None:
        """Return the endpoint with the fewest requests in flight."""
        if not candidates:
            return None
        candidate = min(candidates, key=_own_in_flight)
        return Choice(candidate.endpoint_id, reasons.Selection.LEAST_COST)


class PrefixAffinity:
    """Where a prefix was sent lately; bounded in number and in time."""

    __slots__ = ('_expiries_by_prefix', '_lifetime_seconds', '_max_prefixes')

    def __init__(
        self, *, max_prefixes: int = 10_000, lifetime_seconds: float = 30
    ) -> None:
        self._max_prefixes = max_prefixes
        self._lifetime_seconds = lifetime_seconds
        self._expiries_by_prefix: collections.OrderedDict[str, dict[str, float]]
        self._expiries_by_prefix = collections.OrderedDict()

    def record(self, prefix_key: str, endpoint_id: str, now: float) -> None:
        """Note that a request with the prefix was sent to an endpoint.

        The least recently used prefix is forgotten beyond the bound, since
        callers make up as many prefixes as they like.
        """
        expiry_by_id = self._expiries_by_prefix.setdefault(prefix_key, {})
        expiry_by_id[endpoint_id] = now + self._lifetime_seconds
        self._expiries_by_prefix.move_to_end(prefix_key)
        if len(self._expiries_by_prefix) > self._max_prefixes:
            self._expiries_by_prefix.popitem(last=False)

    def warm_endpoints(self, prefix_key: str, now: float) -> frozenset[str]:
        """Return the endpoints that probably still hold the prefix.

        The lifetime is for caches that evict without telling: trusting one
        that has forgotten sends the request into a queue for nothing.
        """
        expiry_by_id = self._expiries_by_prefix.get(prefix_key)
        if not expiry_by_id:
            return frozenset()
        expired = [
            endpoint_id
            for endpoint_id, expiry in expiry_by_id.items()
            if expiry <= now
        ]
        for endpoint_id in expired:
            del expiry_by_id[endpoint_id]
        return frozenset(expiry_by_id)


class CostSelector:
    """Compare the expected cost of a few endpoints drawn at random.

    Load: many entries that place on the same reports, up to 2 s old. Harm: if
    all compared all endpoints, all would choose the same idle one until the
    next report. A small sample spreads them, and a decision costs the same
    for 8 endpoints as for 600. Eight find a free endpoint among 600 when
    nine of ten are full in more than half of the draws; all are looked at
    when they don't.

    :param domain: the entry's own failure domain.
    :param sample: how many endpoints to compare.
    :param memory: prefers endpoints that hold a prompt's prefix, if given.
    """

    __slots__ = ('_costs', '_domain', '_affinity', '_rng', '_sample_size')

    def __init__(
        self,
        rng: random.Random,
        *,
        domain: str = '',
        costs: Costs | None = None,
        sample_size: int = 8,
        affinity: PrefixAffinity | None = None,
    ) -> None:
        self._rng = rng
        self._domain = domain
        self._costs = costs or Costs()
        self._sample_size = sample_size
        self._affinity = affinity

    def choose(
        self,
        candidates: typing.Sequence[Candidate],
        now: float,
        prefix_key: str = '',
    ) -> Choice | None:
        """Return the cheapest of a sample, or one that holds the prefix."""
        if not candidates:
            return None
        choice = self._choose_by_cost(candidates)
        if self._affinity is None or not prefix_key:
            return choice
        choice = self._prefer_warm(candidates, now, prefix_key, choice)
        self._affinity.record(prefix_key, choice.endpoint_id, now)
        return choice

    def _choose_by_cost(
        self,
        candidates: typing.Sequence[Candidate],
    ) -> Choice:
        sampled = self._draw_sample(candidates)
        reason = reasons.Selection.LEAST_COST
        usable = self._usable_estimates(sampled) or self._estimate_loads(
            self._find_free(candidates)
        )
        if not usable:
            # Load: every endpoint looks full or bad. Harm: refusing all
            # because of reports that lag and a judgement that only compares
            # peers. The gate at the endpoint knows better; let it decide.
            not_ejected = [
                endpoint for endpoint in sampled if not endpoint.is_ejected
            ]
            usable = self._estimate_loads(not_ejected or sampled)
            reason = reasons.Selection.NONE_USABLE
        best_estimate = min(usable, key=self._expected_cost)
        return Choice(
            best_estimate.candidate.endpoint_id,
            reason,
            self._expected_cost(best_estimate),
        )

    def _prefer_warm(
        self,
        candidates: typing.Sequence[Candidate],
        now: float,
        prefix_key: str,
        cheapest: Choice,
    ) -> Choice:
        # Load: many requests that begin with the same long prompt. Harm:
        # each endpoint computes each prompt again and again. The bound on
        # the cost keeps a popular prompt from queueing at one endpoint
        # while others are free: its saving must outweigh the wait.
        if self._affinity is None:
            return cheapest
        warm_ids = self._affinity.warm_endpoints(prefix_key, now)
        warm_estimates = self._usable_estimates(
            [
                endpoint
                for endpoint in candidates
                if endpoint.endpoint_id in warm_ids
            ],
        )
        if not warm_estimates:
            return cheapest
        best_estimate = min(warm_estimates, key=self._expected_cost)
        cost = self._expected_cost(best_estimate) - self._costs.prefill_seconds
        if cost > cheapest.cost:
            return cheapest
        return Choice(
            best_estimate.candidate.endpoint_id,
            reasons.Selection.WARM_PREFIX,
            cost,
        )

    def _draw_sample(
        self,
        candidates: typing.Sequence[Candidate],
    ) -> typing.Sequence[Candidate]:
        # Also when all are drawn: in an order of its own, since equals are
        # told apart by their place. Otherwise the requests of a quiet hour
        # would all go to the first endpoint, and those of all entries to the
        # same one.
        sample_size = min(len(candidates), self._sample_size)
        return self._rng.sample(candidates, sample_size)

    def _find_free(
        self,
        candidates: typing.Sequence[Candidate],
    ) -> list[Candidate]:
        """Find a few with room, when a sample of them all had none.

        At saturation one slot in hundreds is free, and a sample misses it.
        The scan does no more than compare, from a random start, or the first
        endpoints would fill before the others.
        """
        start = self._rng.randrange(len(candidates))
        rotated = itertools.chain(
            itertools.islice(candidates, start, None),
            itertools.islice(candidates, start),
        )
        return list(
            itertools.islice(
                filter(_has_free_slot, rotated), self._sample_size
            ),
        )

    def _usable_estimates(
        self,
        candidates: typing.Sequence[Candidate],
    ) -> list[_LoadEstimate]:
        return [
            estimate
            for estimate in self._estimate_loads(candidates)
            if estimate.load < estimate.candidate.capacity
            and not estimate.candidate.is_ejected
        ]

    def _estimate_loads(
        self,
        candidates: typing.Sequence[Candidate],
    ) -> list[_LoadEstimate]:
        """Estimate what runs at each candidate now.

        Load: reports 2 s late while a request takes 1 s. Harm: what the
        report saw has ended, all entries avoid and seek the same endpoints,
        and the old figure is worse than none. So what others run counts by
        its deviation from the mean, the less the older it is; the own count
        is exact.
        """
        others_by_candidate = [
            candidate.others_running for candidate in candidates
        ]
        if not others_by_candidate:
            return []
        mean_others = sum(others_by_candidate) / len(others_by_candidate)
        return [
            _LoadEstimate(
                candidate,
                candidate.own_in_flight
                + mean_others
                + (reported - mean_others)
                * self._report_confidence(candidate.report_age_seconds),
            )
            for candidate, reported in zip(
                candidates, others_by_candidate, strict=True
            )
        ]

    def _report_confidence(self, report_age_seconds: float) -> float:
        return math.exp(-report_age_seconds / self._costs.service_seconds)

    def _expected_cost(self, estimate: _LoadEstimate) -> float:
        costs = self._costs
        capacity = max(estimate.candidate.capacity, 1)
        queued_ahead = max(estimate.load + 1 - capacity, 0)
        wait_seconds = queued_ahead * costs.service_seconds / capacity
        interference = costs.interference_seconds * estimate.load / capacity
        cost = wait_seconds + costs.prefill_seconds + interference
        if estimate.candidate.failure_domain != self._domain:
            cost += costs.other_domain_seconds
        return cost


@dataclasses.dataclass(slots=True, frozen=True)
class _LoadEstimate:
    """A candidate with the load that it probably has now."""

    candidate: Candidate
    load: float


def _has_free_slot(candidate: Candidate) -> bool:
    reported = candidate.reported_running + candidate.own_change_since_report
    load = max(reported, candidate.own_in_flight)
    return load < candidate.capacity and not candidate.is_ejected


def _own_in_flight(candidate: Candidate) -> int:
    return candidate.own_in_flight
