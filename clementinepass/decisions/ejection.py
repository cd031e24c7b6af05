"""Take slow and failing endpoints out of placing for a while.

Made for an endpoint that still answers, only far slower than its peers, or
that fails each request at once. Harm: a slow one holds its requests past
their deadlines; a failing one looks idle and draws all traffic.

The two are treated apart. Slow is a comparison, which can err, so a floor
bounds how many may be out for it. An endpoint that has failed several
requests in a row is known to serve nobody; any number of them may be out, and
each is tried with single requests until one succeeds.
"""

from __future__ import annotations

import collections
import dataclasses
import statistics
import typing


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """The bounds of ejection; the defaults carry their reasons."""

    #: An endpoint this many times slower than the median of its peers is
    #: out. Twice is within what a long prompt or a full batch does.
    slow_ratio: float = 3
    #: Samples before an endpoint is judged: one slow answer proves nothing.
    min_samples: int = 5
    #: Samples kept. Eight span one batch of a small engine.
    max_samples: int = 8
    #: Seconds for which it must be that slow without a break. A queue of
    #: long prompts makes a healthy endpoint slow for a moment; ejecting it
    #: moves the queue to the next one, which is then ejected in turn.
    min_slow_seconds: float = 3
    #: Failures in a row that take an endpoint out. One is an accident.
    failure_threshold: int = 3
    #: Peers with samples needed for a median worth comparing with.
    min_peers: int = 3
    #: The part that may be out for slowness. Beyond it the fault is hardly
    #: that of single endpoints, and the rest would be overloaded by what the
    #: others leave.
    max_ejected_fraction: float = 0.5
    #: Seconds between trials of a failing endpoint. In a full outage this is
    #: all the load there is, and it bounds how late its end is noticed.
    failure_ejection_seconds: float = 1
    #: Seconds of the first ejection for slowness; each further one doubles.
    first_slow_ejection_seconds: float = 5
    #: Long enough that an endpoint that is slow for hours costs next to
    #: nothing, short enough that a repaired one is back within a minute.
    max_slow_ejection_seconds: float = 60
    #: Judging compares all endpoints; it is done at most this often.
    evaluation_interval_seconds: float = 0.25
    #: Requests that an endpoint on probation may have in flight. They show
    #: whether it has recovered and are all that is lost if it has not.
    max_in_flight_on_probation: int = 1


class _EndpointRecord:
    """What is known of one endpoint."""

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
        #: The latest times to first token.
        self.samples: collections.deque[float] = collections.deque(
            maxlen=max_samples,
        )
        #: The smallest sample, by which the endpoint is judged. Prompts of
        #: very different length make a mean or median of few samples stray
        #: by more than any sensible ratio; a slow endpoint is slow for the
        #: short ones as well.
        self.min_seconds: float = 0
        #: Failures since the last success.
        self.consecutive_failures = 0
        #: Ejections for slowness since it was last found healthy.
        self.slow_ejections = 0
        #: Since when it has been slow without a break.
        self.slow_since: float | None = None
        self.is_ejected = False
        self.is_on_probation = False
        #: When the present ejection ends.
        self.ejected_until: float = 0
        #: Whether the last ejection was for failing, not for slowness.
        self.was_ejected_for_failures = False

    def add_sample(self, seconds: float) -> None:
        """Add a sample."""
        self.consecutive_failures = 0
        self.samples.append(seconds)

    def update_min_seconds(self) -> None:
        """Find the smallest sample."""
        if self.samples:
            self.min_seconds = min(self.samples)

    def update_slow_since(self, now: float, *, is_slow: bool) -> None:
        """Keep the time since which the endpoint has been slow."""
        if not is_slow:
            self.slow_since = None
        elif self.slow_since is None:
            self.slow_since = now

    def eject(self, ejected_until: float) -> None:
        """Begin an ejection."""
        self.is_ejected = True
        self.is_on_probation = False
        self.ejected_until = ejected_until

    def start_probation(self) -> None:
        """End the ejection; samples from before it no longer count."""
        self.is_ejected = False
        self.is_on_probation = True
        self.samples.clear()
        self.slow_since = None
        self.consecutive_failures = 0

    def end_probation(self) -> None:
        """Trust the endpoint again."""
        self.is_on_probation = False
        if not self.was_ejected_for_failures:
            self.slow_ejections = 0


class Detector(typing.Protocol):
    """Tell which endpoints to avoid."""

    def observe(
        self,
        endpoint_id: str,
        first_token_seconds: float,
        now: float,
    ) -> None:
        """Note the time to first token of a request."""

    def observe_failure(self, endpoint_id: str, now: float) -> None:
        """Note a request that the endpoint failed or left unanswered."""

    def ejected_endpoints(self, now: float) -> frozenset[str]:
        """Return the endpoints to avoid."""


class NullEjector:
    """The baseline: nothing is ever taken out."""

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
        """Return no endpoint."""
        return frozenset()


class Ejector:
    """Eject by comparison with peers, with probation before the return."""

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
        """Keep records of exactly these endpoints.

        Endpoints without samples count towards the floor as well.
        """
        self._records_by_id = {
            endpoint_id: self._get_record(endpoint_id)
            for endpoint_id in endpoint_ids
        }
        self._refresh_endpoint_sets()

    def forget(self, endpoint_id: str) -> None:
        """Drop what is known of an endpoint, which has started anew."""
        self._records_by_id.pop(endpoint_id, None)
        self._refresh_endpoint_sets()

    def observe(
        self,
        endpoint_id: str,
        first_token_seconds: float,
        now: float,
    ) -> None:
        """Note the time to first token of a request."""
        self._get_record(endpoint_id).add_sample(first_token_seconds)

    def observe_overdue(
        self, endpoint_id: str, seconds: float, now: float
    ) -> bool:
        """Note a first token that has not come after ``seconds``.

        A slow endpoint's samples arrive late by as much as it is slow; the
        wait so far is a lower bound that is known in time. Only a wait
        beyond the ratio counts, since any other may still end well.

        :returns: whether it counted; then neither this nor :meth:`observe`
            is to be called for that request again.
        """
        if (
            not self._median_seconds
            or seconds <= self._slow_threshold_seconds()
        ):
            return False
        self._get_record(endpoint_id).add_sample(seconds)
        return True

    def observe_failure(self, endpoint_id: str, now: float) -> None:
        """Note a request that the endpoint failed or left unanswered."""
        self._get_record(endpoint_id).consecutive_failures += 1

    def ejected_endpoints(self, now: float) -> frozenset[str]:
        """Return the endpoints to avoid."""
        if now >= self._next_evaluation_at:
            self._next_evaluation_at = (
                now + self._limits.evaluation_interval_seconds
            )
            self._evaluate(now)
        return self._ejected_endpoints

    def usable_slots(self, endpoint_id: str, capacity: int, now: float) -> int:
        """Return how many requests the endpoint may be given at a time.

        Used as the capacity of candidates and, summed up, of admission, so
        that an outage leaves admission with the trials alone.
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
        # On probation a single failure is enough: it was out for a reason.
        if record.is_on_probation:
            return bool(record.consecutive_failures)
        return record.consecutive_failures >= self._limits.failure_threshold

    def _is_slow(self, record: _EndpointRecord) -> bool:
        # On probation a single slow answer is enough, as with failures.
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
        # Load: many endpoints look slow at once. Harm: ejecting them all
        # turns a slow service into none. The floor keeps the better half,
        # and the slowest go first when not all may go.
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
