"""Selection of the endpoint for a request after admission control.

For requests that entries send directly, without admission control, see
:mod:`clementinepass.decisions.endpoint_choice`.

:class:`CostSelector` compares the expected costs of a few sampled endpoints.
:class:`RoundRobinSelector` and :class:`LeastInFlightSelector` are baselines
for comparison.
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
    """An endpoint that could run a request, with its load."""

    endpoint_id: str
    failure_domain: str
    #: Requests of all entries running there at its last report.
    reported_running: int
    #: Number of requests that the endpoint runs at a time.
    capacity: int
    #: Requests of this entry in flight there at present.
    own_in_flight: int
    #: Whether the endpoint is ejected.
    is_ejected: bool = False
    #: Change of :attr:`own_in_flight` since the last report.
    own_change_since_report: int = 0
    #: Seconds since the last report.
    report_age_seconds: float = 0

    @property
    def others_running(self) -> int:
        """Return the requests of other entries at the last report."""
        own_at_report = self.own_in_flight - self.own_change_since_report
        return max(self.reported_running - own_at_report, 0)


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """The chosen endpoint and the reason of the choice."""

    endpoint_id: str
    reason: reasons.Selection
    #: Expected cost in seconds by which the candidates were compared.
    cost: float = 0


class Selector(typing.Protocol):
    """Interface of the selection of an endpoint."""

    def choose(
        self,
        candidates: typing.Sequence[Candidate],
        now: float,
        prefix_key: str = '',
    ) -> Choice | None:
        """Return the endpoint to use, ``None`` without candidates.

        :param prefix_key: identifies requests whose prompts have a common
            prefix; empty for none.
        """


@dataclasses.dataclass(slots=True, frozen=True)
class Costs:
    """Components of the expected time to first token, in seconds."""

    #: Time for which a request occupies a slot.
    service_seconds: float = 1
    #: Time to process a prompt that is not cached.
    prefill_seconds: float = 0.1
    #: Delay of the first token when all slots of the endpoint are decoding.
    interference_seconds: float = 0.1
    #: Penalty of another failure domain. It is small compared to the time in a
    #: queue, so that it only matters between endpoints of about equal load.
    other_domain_seconds: float = 0.01


class RoundRobinSelector:
    """Baseline: selects the endpoints in turn."""

    __slots__ = ('_counter',)

    def __init__(self) -> None:
        self._counter = 0

    def choose(
        self,
        candidates: typing.Sequence[Candidate],
        now: float,
        prefix_key: str = '',
    ) -> Choice | None:
        """Return the next endpoint in round-robin order."""
        if not candidates:
            return None
        self._counter += 1
        candidate = candidates[self._counter % len(candidates)]
        return Choice(candidate.endpoint_id, reasons.Selection.ROUND_ROBIN)


class LeastInFlightSelector:
    """Baseline: selects by the requests of this entry in flight."""

    __slots__ = ()

    def choose(
        self,
        candidates: typing.Sequence[Candidate],
        now: float,
        prefix_key: str = '',
    ) -> Choice | None:
        """Return the endpoint with the fewest requests of this entry."""
        if not candidates:
            return None
        candidate = min(candidates, key=_own_in_flight)
        return Choice(candidate.endpoint_id, reasons.Selection.LEAST_COST)


class PrefixAffinity:
    """The endpoints to which the prefixes of prompts were sent lately.

    :param max_prefixes: maximum number of remembered prefixes.
    :param lifetime_seconds: seconds for which an endpoint is assumed to have a
        prefix cached.
    """

    __slots__ = ('_expiries_by_prefix', '_lifetime_seconds', '_max_prefixes')

    def __init__(
        self, *, max_prefixes: int = 10_000, lifetime_seconds: float = 30
    ) -> None:
        self._max_prefixes = max_prefixes
        self._lifetime_seconds = lifetime_seconds
        self._expiries_by_prefix: collections.OrderedDict[str, dict[str, float]]
        self._expiries_by_prefix = collections.OrderedDict()

    def record(self, prefix_key: str, endpoint_id: str, now: float) -> None:
        """Record that a request with the prefix was sent to an endpoint.

        Callers can send any number of different prefixes, so the least
        recently used prefix is removed when there are too many.
        """
        expiry_by_id = self._expiries_by_prefix.setdefault(prefix_key, {})
        expiry_by_id[endpoint_id] = now + self._lifetime_seconds
        self._expiries_by_prefix.move_to_end(prefix_key)
        if len(self._expiries_by_prefix) > self._max_prefixes:
            self._expiries_by_prefix.popitem(last=False)

    def warm_endpoints(self, prefix_key: str, now: float) -> frozenset[str]:
        """Return the endpoints that probably have the prefix cached.

        Endpoints evict cached prefixes without notice. Without a lifetime
        requests would wait in the queue of an endpoint that no longer has
        their prefix.
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
    """Selects by the expected costs of a random sample of the endpoints.

    Many entries select by the same reports, which are up to 2 s old. If each
    entry compared all endpoints, all of them would choose the same idle
    endpoint until the next report. Random samples spread the requests, and a
    selection costs the same for 8 endpoints as for 600. When nine of ten of
    600 endpoints are full, more than half of the samples of eight contain a
    free one; otherwise all endpoints are searched.

    :param domain: failure domain of the entry.
    :param costs: components of the expected cost; the defaults if omitted.
    :param sample_size: number of endpoints to compare.
    :param affinity: endpoints that probably have a prompt's prefix cached and
        are preferred; no endpoint is preferred if omitted.
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
        """Return the cheapest endpoint of a sample or one with the prefix."""
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
            # All endpoints look full or are ejected. The reports may be
            # outdated and an ejection may be wrong, so the request is sent
            # nevertheless: the endpoint's gate knows its actual load.
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
        # Without affinity each endpoint would process the same long prompt
        # prefix again. Comparing the costs prevents requests with a popular
        # prefix from queueing at one endpoint while others are free: the time
        # saved must outweigh the wait.
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
        # The sample is in random order even if it contains all candidates, as
        # the first of several equal candidates is chosen. Otherwise all entries
        # would send all requests to the same endpoint when there is no load.
        sample_size = min(len(candidates), self._sample_size)
        return self._rng.sample(candidates, sample_size)

    def _find_free(
        self,
        candidates: typing.Sequence[Candidate],
    ) -> list[Candidate]:
        """Search all candidates for some with a free slot.

        At saturation one slot in hundreds is free, and a random sample misses
        it. The search only compares counts. It starts at a random candidate,
        as the first endpoints would otherwise fill up before the others.
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
        """Estimate the number of requests at each candidate now.

        When reports are 2 s old and a request takes 1 s, the reported requests
        have finished. All entries would then avoid or prefer the same
        endpoints, and outdated counts are worse than none. Therefore the
        reported count of other entries' requests is replaced by the mean of
        the candidates plus the deviation from it, weighted less the older the
        report is. The count of this entry's requests is exact.
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
    """A candidate with the estimated number of requests there now."""

    candidate: Candidate
    load: float


def _has_free_slot(candidate: Candidate) -> bool:
    reported = candidate.reported_running + candidate.own_change_since_report
    load = max(reported, candidate.own_in_flight)
    return load < candidate.capacity and not candidate.is_ejected


def _own_in_flight(candidate: Candidate) -> int:
    return candidate.own_in_flight
