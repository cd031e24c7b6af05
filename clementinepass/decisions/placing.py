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
    running_reported: int
    #: Requests that it runs at a time.
    capacity: int
    #: Requests of this entry in flight there; exact.
    own_in_flight: int
    #: Whether the ejector has taken it out.
    ejected: bool = False
    #: Dispatches of this entry, less those finished, since that report.
    own_since_report: int = 0
    #: Seconds since that report was taken.
    report_age: float = 0

    @property
    def others_reported(self) -> int:
        """Return what ran there for other entries at the last report."""
        own_then = self.own_in_flight - self.own_since_report
        return max(self.running_reported - own_then, 0)


@dataclasses.dataclass(slots=True, frozen=True)
class Choice:
    """The endpoint chosen, and why."""

    endpoint_id: str
    reason: reasons.Placement
    #: The expected cost in seconds, as compared between candidates.
    cost: float = 0


class Placer(typing.Protocol):
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
    service: float = 1
    #: Time to process a prompt of which nothing is cached.
    prefill: float = 0.1
    #: Delay of the first token when all slots of the endpoint decode.
    interference: float = 0.1
    #: Price of another failure domain. Small against a queue, so that it
    #: decides only between endpoints that are about equally busy.
    other_domain: float = 0.01


class RoundRobinPlacer:
    """A baseline: one after the other."""

    __slots__ = ('_turn',)

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self,
        candidates: typing.Sequence[Candidate],
        now: float,
        prefix_key: str = '',
    ) -> Choice | None:
        """Return the next in turn."""
        if not candidates:
            return None
        self._turn += 1
        candidate = candidates[self._turn % len(candidates)]
        return Choice(candidate.endpoint_id, reasons.Placement.TURN)


class LeastInFlightPlacer:
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
        return Choice(candidate.endpoint_id, reasons.Placement.LEAST_COST)


class PrefixMemory:
    """Where a prefix was sent lately; bounded in number and in time."""

    __slots__ = ('_by_key', '_lifetime', '_most')

    def __init__(self, *, most: int = 10_000, lifetime: float = 30) -> None:
        self._most = most
        self._lifetime = lifetime
        self._by_key: collections.OrderedDict[str, dict[str, float]]
        self._by_key = collections.OrderedDict()

    def note(self, prefix_key: str, endpoint_id: str, now: float) -> None:
        """Note that a request with the prefix was sent to an endpoint.

        The least recently used prefix is forgotten beyond the bound, since
        callers make up as many prefixes as they like.
        """
        expiry_by_id = self._by_key.setdefault(prefix_key, {})
        expiry_by_id[endpoint_id] = now + self._lifetime
        self._by_key.move_to_end(prefix_key)
        if len(self._by_key) > self._most:
            self._by_key.popitem(last=False)

    def warm(self, prefix_key: str, now: float) -> frozenset[str]:
        """Return the endpoints that probably still hold the prefix.

        The lifetime is for caches that evict without telling: trusting one
        that has forgotten sends the request into a queue for nothing.
        """
        expiry_by_id = self._by_key.get(prefix_key)
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


class CostPlacer:
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

    __slots__ = ('_costs', '_domain', '_memory', '_rng', '_sample')

    def __init__(
        self,
        rng: random.Random,
        *,
        domain: str = '',
        costs: Costs | None = None,
        sample: int = 8,
        memory: PrefixMemory | None = None,
    ) -> None:
        self._rng = rng
        self._domain = domain
        self._costs = costs or Costs()
        self._sample = sample
        self._memory = memory

    def choose(
        self,
        candidates: typing.Sequence[Candidate],
        now: float,
        prefix_key: str = '',
    ) -> Choice | None:
        """Return the cheapest of a sample, or one that holds the prefix."""
        if not candidates:
            return None
        choice = self._choose_cold(candidates)
        if self._memory is None or not prefix_key:
            return choice
        choice = self._prefer_warm(candidates, now, prefix_key, choice)
        self._memory.note(prefix_key, choice.endpoint_id, now)
        return choice

    def _choose_cold(
        self,
        candidates: typing.Sequence[Candidate],
    ) -> Choice:
        drawn = self._draw(candidates)
        reason = reasons.Placement.LEAST_COST
        usable = self._usable(drawn) or self._estimates(self._scan(candidates))
        if not usable:
            # Load: every endpoint looks full or bad. Harm: refusing all
            # because of reports that lag and a judgement that only compares
            # peers. The gate at the endpoint knows better; let it decide.
            in_use = [one for one in drawn if not one.ejected]
            usable = self._estimates(in_use or drawn)
            reason = reasons.Placement.NONE_USABLE
        best = min(usable, key=self._cost)
        return Choice(best.candidate.endpoint_id, reason, self._cost(best))

    def _prefer_warm(
        self,
        candidates: typing.Sequence[Candidate],
        now: float,
        prefix_key: str,
        cold: Choice,
    ) -> Choice:
        # Load: many requests that begin with the same long prompt. Harm:
        # each endpoint computes each prompt again and again. The bound on
        # the cost keeps a popular prompt from queueing at one endpoint
        # while others are free: its saving must outweigh the wait.
        if self._memory is None:
            return cold
        warm_ids = self._memory.warm(prefix_key, now)
        warm = self._usable(
            [one for one in candidates if one.endpoint_id in warm_ids],
        )
        if not warm:
            return cold
        best = min(warm, key=self._cost)
        cost = self._cost(best) - self._costs.prefill
        if cost > cold.cost:
            return cold
        return Choice(
            best.candidate.endpoint_id,
            reasons.Placement.WARM_PREFIX,
            cost,
        )

    def _draw(
        self,
        candidates: typing.Sequence[Candidate],
    ) -> typing.Sequence[Candidate]:
        # Also when all are drawn: in an order of its own, since equals are
        # told apart by their place. Otherwise the requests of a quiet hour
        # would all go to the first endpoint, and those of all entries to the
        # same one.
        number = min(len(candidates), self._sample)
        return self._rng.sample(candidates, number)

    def _scan(
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
            itertools.islice(filter(_has_room, rotated), self._sample),
        )

    def _usable(
        self,
        candidates: typing.Sequence[Candidate],
    ) -> list[_Estimate]:
        return [
            estimate
            for estimate in self._estimates(candidates)
            if estimate.load < estimate.candidate.capacity
            and not estimate.candidate.ejected
        ]

    def _estimates(
        self,
        candidates: typing.Sequence[Candidate],
    ) -> list[_Estimate]:
        """Estimate what runs at each candidate now.

        Load: reports 2 s late while a request takes 1 s. Harm: what the
        report saw has ended, all entries avoid and seek the same endpoints,
        and the old figure is worse than none. So what others run counts by
        its deviation from the mean, the less the older it is; the own count
        is exact.
        """
        others = [candidate.others_reported for candidate in candidates]
        if not others:
            return []
        mean = sum(others) / len(others)
        return [
            _Estimate(
                candidate,
                candidate.own_in_flight
                + mean
                + (reported - mean) * self._confidence(candidate.report_age),
            )
            for candidate, reported in zip(candidates, others, strict=True)
        ]

    def _confidence(self, report_age: float) -> float:
        return math.exp(-report_age / self._costs.service)

    def _cost(self, estimate: _Estimate) -> float:
        costs = self._costs
        capacity = max(estimate.candidate.capacity, 1)
        ahead = max(estimate.load + 1 - capacity, 0)
        wait = ahead * costs.service / capacity
        interference = costs.interference * estimate.load / capacity
        cost = wait + costs.prefill + interference
        if estimate.candidate.failure_domain != self._domain:
            cost += costs.other_domain
        return cost


@dataclasses.dataclass(slots=True, frozen=True)
class _Estimate:
    """A candidate with the load that it probably has now."""

    candidate: Candidate
    load: float


def _has_room(candidate: Candidate) -> bool:
    reported = candidate.running_reported + candidate.own_since_report
    load = max(reported, candidate.own_in_flight)
    return load < candidate.capacity and not candidate.ejected


def _own_in_flight(candidate: Candidate) -> int:
    return candidate.own_in_flight
