"""Temporary ejection of slow and failing endpoints.

An endpoint that still answers, but far more slowly than its peers, holds
requests past their deadlines. An endpoint that fails each request immediately
looks idle and attracts all traffic.

Slowness is found by comparison with the peers, which can be wrong, so the
fraction of endpoints that may be ejected for it is limited. An endpoint that
has failed several requests in a row certainly serves no one: any number of
them may be ejected, and each is probed with single requests until one of them
succeeds.
"""

from __future__ import annotations

import collections
import dataclasses
import statistics
import typing


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Limits of ejection."""

    #: An endpoint is slow if its time to first token exceeds the median of the
    #: endpoints by this factor. A long prompt or a full batch alone can double
    #: the time.
    slow_ratio: float = 3
    #: Samples needed to compare an endpoint, as a single slow answer is not
    #: significant.
    min_samples: int = 5
    #: Number of latest samples kept. Eight cover one batch of a small engine.
    max_samples: int = 8
    #: Seconds for which an endpoint must be slow without interruption before it
    #: is ejected. A queue of long prompts makes a healthy endpoint slow for a
    #: moment; ejecting it would move the queue to the next endpoint, which is
    #: then ejected as well.
    min_slow_seconds: float = 3
    #: Consecutive failures after which an endpoint is ejected. A single
    #: failure can be accidental.
    failure_threshold: int = 3
    #: Minimum number of endpoints with enough samples for a significant median.
    min_peers: int = 3
    #: No endpoint is ejected for slowness once this fraction is ejected. If
    #: more endpoints are slow, the cause is hardly a single endpoint, and the
    #: remaining ones would be overloaded by the traffic of the ejected ones.
    max_ejected_fraction: float = 0.5
    #: Seconds between probes of a failing endpoint. During a full outage the
    #: probes are the only load, and their interval limits how late its end is
    #: detected.
    failure_ejection_seconds: float = 1
    #: Seconds of the first ejection for slowness; doubled for each further one.
    first_slow_ejection_seconds: float = 5
    #: Maximum seconds of an ejection for slowness. An endpoint that is slow for
    #: hours then costs next to nothing, and a repaired endpoint returns within
    #: a minute.
    max_slow_ejection_seconds: float = 60
    #: Minimum seconds between evaluations, as each compares all endpoints.
    evaluation_interval_seconds: float = 0.25
    #: Maximum requests in flight at an endpoint on probation. They show whether
    #: it has recovered, and only they are lost if it has not.
    max_in_flight_on_probation: int = 1


class _EndpointRecord:
    """Samples and state of one endpoint."""

    __slots__ = (
        'slow_ejections',
        'consecutive_failures',
        'is_ejected',
        'is_on_probation',
        'samples',
        'min_seconds',
        'slow_since',
        'ejected_until',
        'was_ejected_for_failures',
    )

    def __init__(self, max_samples: int) -> None:
        #: Latest times to first token, in seconds.
        self.samples: collections.deque[float] = collections.deque(
            maxlen=max_samples,
        )
        #: Smallest sample, by which endpoints are compared. As the lengths of
        #: prompts differ widely, the mean or median of a few samples varies by
        #: more than any useful ratio, whereas a slow endpoint is also slow for
        #: short prompts.
        self.min_seconds: float = 0
        #: Number of failures since the last success.
        self.consecutive_failures = 0
        #: Number of ejections for slowness since the endpoint was last found
        #: healthy.
        self.slow_ejections = 0
        #: Time since which the endpoint has been slow without interruption.
        self.slow_since: float | None = None
        self.is_ejected = False
        self.is_on_probation = False
        #: Time at which the present ejection ends.
        self.ejected_until: float = 0
        #: Whether the last ejection was for failures and not for slowness.
        self.was_ejected_for_failures = False

    def add_sample(self, seconds: float) -> None:
        """Add a time to first token and reset the count of failures."""
        self.consecutive_failures = 0
        self.samples.append(seconds)

    def update_min_seconds(self) -> None:
        """Update the smallest sample."""
        if self.samples:
            self.min_seconds = min(self.samples)

    def update_slow_since(self, now: float, *, is_slow: bool) -> None:
        """Update the time since which the endpoint has been slow."""
        if not is_slow:
            self.slow_since = None
        elif self.slow_since is None:
            self.slow_since = now

    def eject(self, ejected_until: float) -> None:
        """Start an ejection."""
        self.is_ejected = True
        self.is_on_probation = False
        self.ejected_until = ejected_until

    def start_probation(self) -> None:
        """End the ejection and discard the samples taken before it."""
        self.is_ejected = False
        self.is_on_probation = True
        self.samples.clear()
        self.slow_since = None
        self.consecutive_failures = 0

    def end_probation(self) -> None:
        """Treat the endpoint as healthy again."""
        self.is_on_probation = False
        if not self.was_ejected_for_failures:
            self.slow_ejections = 0


class Detector(typing.Protocol):
    """Interface of the detection of unhealthy endpoints."""

    def observe(
        self,
        endpoint_id: str,
        first_token_seconds: float,
        now: float,
    ) -> None:
        """Record the time to first token of a request."""

    def observe_failure(self, endpoint_id: str, now: float) -> None:
        """Record a request that the endpoint failed or did not answer."""

    def ejected_endpoints(self, now: float) -> frozenset[str]:
        """Return the ids of the ejected endpoints."""


class NullEjector:
    """Baseline: no endpoint is ever ejected."""

    __slots__ = ()

    def observe(
        self,
        endpoint_id: str,
        first_token_seconds: float,
        now: float,
    ) -> None:
        """Ignore the sample."""

    def observe_failure(self, endpoint_id: str, now: float) -> None:
        """Ignore the failure."""

    def ejected_endpoints(self, now: float) -> frozenset[str]:
        """Return an empty set."""
        return frozenset()


class Ejector:
    """Ejects slow and failing endpoints, which return after a probation."""

    __slots__ = (
        '_ejected_endpoints',
        '_next_evaluation_at',
        '_limits',
        '_median_seconds',
        '_endpoints_on_probation',
        '_records_by_id',
    )

    def __init__(self, limits: Limits | None = None) -> None:
        self._limits = limits or Limits()
        self._records_by_id: dict[str, _EndpointRecord] = {}
        self._ejected_endpoints: frozenset[str] = frozenset()
        self._endpoints_on_probation: frozenset[str] = frozenset()
        self._next_evaluation_at: float = 0
        self._median_seconds: float = 0

    def retain(self, endpoint_ids: typing.Collection[str]) -> None:
        """Keep the records of exactly these endpoints.

        Endpoints without samples are included in the number to which
        :attr:`Limits.max_ejected_fraction` applies.
        """
        self._records_by_id = {
            endpoint_id: self._get_record(endpoint_id)
            for endpoint_id in endpoint_ids
        }
        self._refresh_endpoint_sets()

    def forget(self, endpoint_id: str) -> None:
        """Discard the record of an endpoint that has restarted."""
        self._records_by_id.pop(endpoint_id, None)
        self._refresh_endpoint_sets()

    def observe(
        self,
        endpoint_id: str,
        first_token_seconds: float,
        now: float,
    ) -> None:
        """Record the time to first token of a request."""
        self._get_record(endpoint_id).add_sample(first_token_seconds)

    def observe_overdue(
        self, endpoint_id: str, seconds: float, now: float
    ) -> bool:
        """Record that a first token has not arrived after ``seconds``.

        The slower an endpoint is, the later its samples arrive. The time
        waited so far is a lower bound of the sample that is available earlier.
        It is recorded only if it exceeds the threshold of slowness, as a
        shorter wait can still become a normal sample.

        :returns: whether the wait was recorded as a sample; if so, neither
            this method nor :meth:`observe` must be called for the request
            again.
        """
        if (
            not self._median_seconds
            or seconds <= self._slow_threshold_seconds()
        ):
            return False
        self._get_record(endpoint_id).add_sample(seconds)
        return True

    def observe_failure(self, endpoint_id: str, now: float) -> None:
        """Record a request that the endpoint failed or did not answer."""
        self._get_record(endpoint_id).consecutive_failures += 1

    def ejected_endpoints(self, now: float) -> frozenset[str]:
        """Return the ids of the ejected endpoints."""
        if now >= self._next_evaluation_at:
            self._next_evaluation_at = (
                now + self._limits.evaluation_interval_seconds
            )
            self._evaluate(now)
        return self._ejected_endpoints

    def usable_slots(self, endpoint_id: str, capacity: int, now: float) -> int:
        """Return how many requests may be in flight at the endpoint.

        This is the capacity of the endpoint as a candidate. Summed up it is
        the capacity of admission control, which during an outage is therefore
        limited to the probes.
        """
        if endpoint_id in self.ejected_endpoints(now):
            return 0
        if endpoint_id in self._endpoints_on_probation:
            return min(capacity, self._limits.max_in_flight_on_probation)
        return capacity

    def _get_record(self, endpoint_id: str) -> _EndpointRecord:
        record = self._records_by_id.get(endpoint_id)
        if record is None:
            record = _EndpointRecord(self._limits.max_samples)
            self._records_by_id[endpoint_id] = record
        return record

    def _evaluate(self, now: float) -> None:
        records = list(self._records_by_id.values())
        for record in records:
            record.update_min_seconds()
            if record.is_ejected and now >= record.ejected_until:
                record.start_probation()
        self._update_median(records)
        for record in records:
            if record.is_on_probation and self._has_recovered(record):
                record.end_probation()
        for record in records:
            record.update_slow_since(now, is_slow=self._is_slow(record))
        self._eject_failing(records, now)
        self._eject_slow(records, now)
        self._refresh_endpoint_sets()

    def _update_median(self, records: list[_EndpointRecord]) -> None:
        sampled_seconds = [
            record.min_seconds
            for record in records
            if self._has_enough_samples(record)
        ]
        if len(sampled_seconds) >= self._limits.min_peers:
            self._median_seconds = statistics.median_low(sampled_seconds)
        else:
            self._median_seconds = 0

    def _has_enough_samples(self, record: _EndpointRecord) -> bool:
        return len(record.samples) >= self._limits.min_samples

    def _has_recovered(self, record: _EndpointRecord) -> bool:
        if record.was_ejected_for_failures:
            return bool(record.samples)
        return self._has_enough_samples(record) and not self._is_slow(record)

    def _is_failing(self, record: _EndpointRecord) -> bool:
        # An endpoint on probation was ejected before, so that a single failure
        # is sufficient.
        if record.is_on_probation:
            return bool(record.consecutive_failures)
        return record.consecutive_failures >= self._limits.failure_threshold

    def _is_slow(self, record: _EndpointRecord) -> bool:
        # As with failures, a single slow answer is sufficient on probation.
        has_enough_samples = record.is_on_probation or self._has_enough_samples(
            record
        )
        if not (self._median_seconds and record.samples and has_enough_samples):
            return False
        return record.min_seconds > self._slow_threshold_seconds()

    def _is_slow_for_long(self, record: _EndpointRecord, now: float) -> bool:
        if record.slow_since is None:
            return False
        if record.is_on_probation:
            return True
        return now - record.slow_since >= self._limits.min_slow_seconds

    def _slow_threshold_seconds(self) -> float:
        return self._limits.slow_ratio * self._median_seconds

    def _eject_failing(
        self, records: list[_EndpointRecord], now: float
    ) -> None:
        for record in records:
            if not record.is_ejected and self._is_failing(record):
                record.eject(now + self._limits.failure_ejection_seconds)
                record.was_ejected_for_failures = True

    def _eject_slow(self, records: list[_EndpointRecord], now: float) -> None:
        # If many endpoints look slow at once, ejecting all of them would turn
        # a slow service into an unavailable one. Therefore the number of
        # ejected endpoints is limited, and the slowest are ejected first.
        max_ejected = int(len(records) * self._limits.max_ejected_fraction)
        remaining_ejections = max_ejected - sum(
            record.is_ejected for record in records
        )
        slow_records = [
            record
            for record in records
            if not record.is_ejected and self._is_slow_for_long(record, now)
        ]
        slow_records.sort(key=_min_first_token_seconds, reverse=True)
        for record in slow_records[: max(remaining_ejections, 0)]:
            ejection_seconds = (
                self._limits.first_slow_ejection_seconds
                * 2**record.slow_ejections
            )
            record.eject(
                now
                + min(ejection_seconds, self._limits.max_slow_ejection_seconds)
            )
            record.was_ejected_for_failures = False
            record.slow_ejections += 1

    def _refresh_endpoint_sets(self) -> None:
        self._ejected_endpoints = frozenset(
            endpoint_id
            for endpoint_id, record in self._records_by_id.items()
            if record.is_ejected
        )
        self._endpoints_on_probation = frozenset(
            endpoint_id
            for endpoint_id, record in self._records_by_id.items()
            if record.is_on_probation
        )


def _min_first_token_seconds(record: _EndpointRecord) -> float:
    return record.min_seconds
