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
    least_samples: int = 5
    #: Samples kept. Eight span one batch of a small engine.
    most_samples: int = 8
    #: Seconds for which it must be that slow without a break. A queue of
    #: long prompts makes a healthy endpoint slow for a moment; ejecting it
    #: moves the queue to the next one, which is then ejected in turn.
    least_slow_seconds: float = 3
    #: Failures in a row that take an endpoint out. One is an accident.
    most_failures: int = 3
    #: Peers with samples needed for a median worth comparing with.
    least_peers: int = 3
    #: The part that may be out for slowness. Beyond it the fault is hardly
    #: that of single endpoints, and the rest would be overloaded by what the
    #: others leave.
    most_ejected_part: float = 0.5
    #: Seconds between trials of a failing endpoint. In a full outage this is
    #: all the load there is, and it bounds how late its end is noticed.
    failing_seconds: float = 1
    #: Seconds of the first ejection for slowness; each further one doubles.
    first_seconds: float = 5
    #: Long enough that an endpoint that is slow for hours costs next to
    #: nothing, short enough that a repaired one is back within a minute.
    most_seconds: float = 60
    #: Judging compares all endpoints; it is done at most this often.
    judge_seconds: float = 0.25
    #: Requests that an endpoint on probation may have in flight. They show
    #: whether it has recovered and are all that is lost if it has not.
    probation_in_flight: int = 1


class _Record:
    """What is known of one endpoint."""

    __slots__ = (
        'ejections',
        'failures',
        'is_ejected',
        'is_on_probation',
        'samples',
        'seconds',
        'slow_since',
        'until',
        'was_failing',
    )

    def __init__(self, most_samples: int) -> None:
        #: The latest times to first token.
        self.samples: collections.deque[float] = collections.deque(
            maxlen=most_samples,
        )
        #: The smallest sample, by which the endpoint is judged. Prompts of
        #: very different length make a mean or median of few samples stray
        #: by more than any sensible ratio; a slow endpoint is slow for the
        #: short ones as well.
        self.seconds: float = 0
        #: Failures since the last success.
        self.failures = 0
        #: Ejections for slowness since it was last found healthy.
        self.ejections = 0
        #: Since when it has been slow without a break.
        self.slow_since: float | None = None
        self.is_ejected = False
        self.is_on_probation = False
        #: When the present ejection ends.
        self.until: float = 0
        #: Whether the last ejection was for failing, not for slowness.
        self.was_failing = False

    def note(self, seconds: float) -> None:
        """Add a sample."""
        self.failures = 0
        self.samples.append(seconds)

    def summarise(self) -> None:
        """Find the smallest sample."""
        if self.samples:
            self.seconds = min(self.samples)

    def note_slow(self, now: float, *, is_slow: bool) -> None:
        """Keep the time since which the endpoint has been slow."""
        if not is_slow:
            self.slow_since = None
        elif self.slow_since is None:
            self.slow_since = now

    def take_out(self, until: float) -> None:
        """Begin an ejection."""
        self.is_ejected = True
        self.is_on_probation = False
        self.until = until

    def start_probation(self) -> None:
        """End the ejection; samples from before it no longer count."""
        self.is_ejected = False
        self.is_on_probation = True
        self.samples.clear()
        self.slow_since = None
        self.failures = 0

    def end_probation(self) -> None:
        """Trust the endpoint again."""
        self.is_on_probation = False
        if not self.was_failing:
            self.ejections = 0


class Detector(typing.Protocol):
    """Tell which endpoints to avoid."""

    def observe(
        self,
        endpoint_id: str,
        first_token_seconds: float,
        now: float,
    ) -> None:
        """Note the time to first token of a request."""

    def failed(self, endpoint_id: str, now: float) -> None:
        """Note a request that the endpoint failed or left unanswered."""

    def ejected(self, now: float) -> frozenset[str]:
        """Return the endpoints to avoid."""


class NoEjector:
    """The baseline: nothing is ever taken out."""

    __slots__ = ()

    def observe(
        self,
        endpoint_id: str,
        first_token_seconds: float,
        now: float,
    ) -> None:
        """Ignore the sample."""

    def failed(self, endpoint_id: str, now: float) -> None:
        """Ignore the failure."""

    def ejected(self, now: float) -> frozenset[str]:
        """Return no endpoint."""
        return frozenset()


class Ejector:
    """Eject by comparison with peers, with probation before the return."""

    __slots__ = (
        '_ejected',
        '_judge_at',
        '_limits',
        '_median',
        '_probation',
        '_records_by_id',
    )

    def __init__(self, limits: Limits | None = None) -> None:
        self._limits = limits or Limits()
        self._records_by_id: dict[str, _Record] = {}
        self._ejected: frozenset[str] = frozenset()
        self._probation: frozenset[str] = frozenset()
        self._judge_at: float = 0
        self._median: float = 0

    def retain(self, endpoint_ids: typing.Collection[str]) -> None:
        """Keep records of exactly these endpoints.

        Endpoints without samples count towards the floor as well.
        """
        self._records_by_id = {
            endpoint_id: self._record(endpoint_id)
            for endpoint_id in endpoint_ids
        }
        self._publish()

    def forget(self, endpoint_id: str) -> None:
        """Drop what is known of an endpoint, which has started anew."""
        self._records_by_id.pop(endpoint_id, None)
        self._publish()

    def observe(
        self,
        endpoint_id: str,
        first_token_seconds: float,
        now: float,
    ) -> None:
        """Note the time to first token of a request."""
        self._record(endpoint_id).note(first_token_seconds)

    def overdue(self, endpoint_id: str, seconds: float, now: float) -> bool:
        """Note a first token that has not come after ``seconds``.

        A slow endpoint's samples arrive late by as much as it is slow; the
        wait so far is a lower bound that is known in time. Only a wait
        beyond the ratio counts, since any other may still end well.

        :returns: whether it counted; then neither this nor :meth:`observe`
            is to be called for that request again.
        """
        if not self._median or seconds <= self._slow_seconds():
            return False
        self._record(endpoint_id).note(seconds)
        return True

    def failed(self, endpoint_id: str, now: float) -> None:
        """Note a request that the endpoint failed or left unanswered."""
        self._record(endpoint_id).failures += 1

    def ejected(self, now: float) -> frozenset[str]:
        """Return the endpoints to avoid."""
        if now >= self._judge_at:
            self._judge_at = now + self._limits.judge_seconds
            self._judge(now)
        return self._ejected

    def slots(self, endpoint_id: str, capacity: int, now: float) -> int:
        """Return how many requests the endpoint may be given at a time.

        Used as the capacity of candidates and, summed up, of admission, so
        that an outage leaves admission with the trials alone.
        """
        if endpoint_id in self.ejected(now):
            return 0
        if endpoint_id in self._probation:
            return min(capacity, self._limits.probation_in_flight)
        return capacity

    def _record(self, endpoint_id: str) -> _Record:
        record = self._records_by_id.get(endpoint_id)
        if record is None:
            record = _Record(self._limits.most_samples)
            self._records_by_id[endpoint_id] = record
        return record

    def _judge(self, now: float) -> None:
        records = list(self._records_by_id.values())
        for record in records:
            record.summarise()
            if record.is_ejected and now >= record.until:
                record.start_probation()
        self._update_median(records)
        for record in records:
            if record.is_on_probation and self._has_recovered(record):
                record.end_probation()
        for record in records:
            record.note_slow(now, is_slow=self._is_slow(record))
        self._eject_failing(records, now)
        self._eject_slow(records, now)
        self._publish()

    def _update_median(self, records: list[_Record]) -> None:
        seconds = [one.seconds for one in records if self._is_sampled(one)]
        if len(seconds) >= self._limits.least_peers:
            self._median = statistics.median_low(seconds)
        else:
            self._median = 0

    def _is_sampled(self, record: _Record) -> bool:
        return len(record.samples) >= self._limits.least_samples

    def _has_recovered(self, record: _Record) -> bool:
        if record.was_failing:
            return bool(record.samples)
        return self._is_sampled(record) and not self._is_slow(record)

    def _is_failing(self, record: _Record) -> bool:
        # On probation a single failure is enough: it was out for a reason.
        if record.is_on_probation:
            return bool(record.failures)
        return record.failures >= self._limits.most_failures

    def _is_slow(self, record: _Record) -> bool:
        # On probation a single slow answer is enough, as with failures.
        is_sampled = record.is_on_probation or self._is_sampled(record)
        if not (self._median and record.samples and is_sampled):
            return False
        return record.seconds > self._slow_seconds()

    def _is_slow_for_long(self, record: _Record, now: float) -> bool:
        if record.slow_since is None:
            return False
        if record.is_on_probation:
            return True
        return now - record.slow_since >= self._limits.least_slow_seconds

    def _slow_seconds(self) -> float:
        return self._limits.slow_ratio * self._median

    def _eject_failing(self, records: list[_Record], now: float) -> None:
        for record in records:
            if not record.is_ejected and self._is_failing(record):
                record.take_out(now + self._limits.failing_seconds)
                record.was_failing = True

    def _eject_slow(self, records: list[_Record], now: float) -> None:
        # Load: many endpoints look slow at once. Harm: ejecting them all
        # turns a slow service into none. The floor keeps the better half,
        # and the slowest go first when not all may go.
        most = int(len(records) * self._limits.most_ejected_part)
        room = most - sum(record.is_ejected for record in records)
        slow = [
            record
            for record in records
            if not record.is_ejected and self._is_slow_for_long(record, now)
        ]
        slow.sort(key=_first_token_seconds, reverse=True)
        for record in slow[: max(room, 0)]:
            seconds = self._limits.first_seconds * 2**record.ejections
            record.take_out(now + min(seconds, self._limits.most_seconds))
            record.was_failing = False
            record.ejections += 1

    def _publish(self) -> None:
        self._ejected = frozenset(
            endpoint_id
            for endpoint_id, record in self._records_by_id.items()
            if record.is_ejected
        )
        self._probation = frozenset(
            endpoint_id
            for endpoint_id, record in self._records_by_id.items()
            if record.is_on_probation
        )


def _first_token_seconds(record: _Record) -> float:
    return record.seconds
