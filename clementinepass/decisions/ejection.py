"""Take slow and failing endpoints out of placing for a while.

Made for an endpoint that still answers, only far slower than its peers, or
that fails each request at once. Harm: a slow one holds its requests past
their deadlines; a failing one looks idle and draws all traffic.
"""

from __future__ import annotations

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
    #: Failures in a row that take an endpoint out. One is an accident.
    most_failures: int = 3
    #: Peers with samples needed for a median worth comparing with.
    least_peers: int = 3
    #: The part that may be out. Beyond it the fault is hardly that of single
    #: endpoints, and the rest would be overloaded by what the others leave.
    most_ejected_part: float = 0.5
    #: Seconds of the first ejection; each further one doubles it.
    first_seconds: float = 5
    #: Long enough that an endpoint that is slow for hours costs next to
    #: nothing, short enough that a repaired one is back within a minute.
    most_seconds: float = 60
    #: Judging compares all endpoints; it is done at most this often.
    judge_seconds: float = 0.25
    #: Requests that an endpoint on probation may have in flight. They show
    #: whether it has recovered and are all that is lost if it has not.
    probation_in_flight: int = 1


#: Weight of a new sample: a tenfold slowdown shows after two samples.
_GAIN = 0.3


class _Record:
    """What is known of one endpoint."""

    __slots__ = (
        'ejections',
        'failures',
        'is_ejected',
        'is_on_probation',
        'samples',
        'seconds',
        'until',
    )

    def __init__(self) -> None:
        #: Smoothed time to first token.
        self.seconds: float = 0
        self.samples = 0
        #: Failures since the last success.
        self.failures = 0
        #: Ejections since it was last found healthy.
        self.ejections = 0
        self.is_ejected = False
        self.is_on_probation = False
        #: When the present ejection ends.
        self.until: float = 0

    def note(self, seconds: float) -> None:
        """Add a sample."""
        self.failures = 0
        self.samples += 1
        if self.samples == 1:
            self.seconds = seconds
        else:
            self.seconds += _GAIN * (seconds - self.seconds)

    def reset(self) -> None:
        """Forget samples and failures, not the number of ejections."""
        self.samples = 0
        self.failures = 0


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
            endpoint_id: self._records_by_id.get(endpoint_id) or _Record()
            for endpoint_id in endpoint_ids
        }
        self._publish()

    def observe(
        self,
        endpoint_id: str,
        first_token_seconds: float,
        now: float,
    ) -> None:
        """Note the time to first token of a request."""
        self._record(endpoint_id).note(first_token_seconds)

    def overdue(self, endpoint_id: str, seconds: float, now: float) -> None:
        """Note a first token that has not come after ``seconds``.

        A slow endpoint's samples arrive late by as much as it is slow; the
        wait so far is a lower bound that is known in time. Only a wait
        beyond the ratio counts, since any other may still end well.
        """
        if self._median and seconds > self._limits.slow_ratio * self._median:
            self._record(endpoint_id).note(seconds)

    def failed(self, endpoint_id: str, now: float) -> None:
        """Note a request that the endpoint failed or left unanswered."""
        self._record(endpoint_id).failures += 1

    def ejected(self, now: float) -> frozenset[str]:
        """Return the endpoints to avoid."""
        if now >= self._judge_at:
            self._judge_at = now + self._limits.judge_seconds
            self._judge(now)
        return self._ejected

    def on_probation(self, now: float) -> frozenset[str]:
        """Return the endpoints that may have few requests in flight.

        See :attr:`Limits.probation_in_flight`.
        """
        self.ejected(now)
        return self._probation

    def slowness(self, endpoint_id: str) -> float:
        """Return the time to first token relative to the peers' median."""
        record = self._records_by_id.get(endpoint_id)
        if record is None or not record.samples or not self._median:
            return 1
        return record.seconds / self._median

    def _record(self, endpoint_id: str) -> _Record:
        record = self._records_by_id.get(endpoint_id)
        if record is None:
            record = _Record()
            self._records_by_id[endpoint_id] = record
        return record

    def _judge(self, now: float) -> None:
        records = list(self._records_by_id.values())
        self._release(records, now)
        seconds = [one.seconds for one in records if self._is_sampled(one)]
        if len(seconds) >= self._limits.least_peers:
            self._median = statistics.median_low(seconds)
        else:
            self._median = 0
        self._end_probations(records)
        self._eject(records, now)
        self._publish()

    def _is_sampled(self, record: _Record) -> bool:
        return record.samples >= self._limits.least_samples

    def _release(self, records: list[_Record], now: float) -> None:
        for record in records:
            if record.is_ejected and now >= record.until:
                record.is_ejected = False
                record.is_on_probation = True
                record.reset()

    def _end_probations(self, records: list[_Record]) -> None:
        for record in records:
            is_judged = record.is_on_probation and self._is_sampled(record)
            if is_judged and not self._badness(record):
                record.is_on_probation = False
                record.ejections = 0

    def _badness(self, record: _Record) -> float:
        """Return 0 for a healthy endpoint, and more the worse it is."""
        # On probation a single failure is enough: it was out for a reason.
        most = 1 if record.is_on_probation else self._limits.most_failures
        if record.failures >= most:
            return float('inf')
        if not (self._median and self._is_sampled(record)):
            return 0
        ratio = record.seconds / self._median
        return ratio if ratio > self._limits.slow_ratio else 0

    def _eject(self, records: list[_Record], now: float) -> None:
        # Load: many endpoints look bad at once. Harm: ejecting them all
        # turns a slow service into none. The floor keeps the better half,
        # and the worst go first when not all may go.
        most = int(len(records) * self._limits.most_ejected_part)
        room = most - sum(record.is_ejected for record in records)
        bad = [
            record
            for record in records
            if not record.is_ejected and self._badness(record)
        ]
        bad.sort(key=self._badness, reverse=True)
        for record in bad[: max(room, 0)]:
            self._take_out(record, now)

    def _take_out(self, record: _Record, now: float) -> None:
        seconds = self._limits.first_seconds * 2**record.ejections
        record.until = now + min(seconds, self._limits.most_seconds)
        record.ejections += 1
        record.is_ejected = True
        record.is_on_probation = False

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
