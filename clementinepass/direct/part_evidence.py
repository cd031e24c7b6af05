"""What an entry knows of prompt parts under which endpoints crash.

The requests of an incident may have nothing in common but a part of their
prompts. A request with a part that crashes endpoints is never answered, not
even with a first event. Such requests and sound ones may come to different
entries: the one that saw a crash reports all parts that it has not seen
answered, and those that answer requests of the same target report which parts
they have. See :mod:`clementinepass.direct.part_crashes` for what follows.
"""

from __future__ import annotations

import typing

from clementinepass.decisions import crash_causes
from clementinepass.direct import evidence_reports, part_crashes

if typing.TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

#: What makes parts the cause of crashes. Sound parts, which many requests
#: have, are now and then in three crashes one after the other.
_THRESHOLD = crash_causes.Threshold(crashes=4, requests=2)
#: Crashes one after the other from which a part is suspicious.
_MIN_SUSPICIOUS_CRASHES = 2
#: What makes parts restricted: requests with them are tried one at a time.
#: Endpoints that end at one moment may do so for another reason, but if it was
#: the parts, the next requests that come together end as many.
_RESTRICTING_THRESHOLD = crash_causes.Threshold(
    crashes=4, requests=2, counts_simultaneous=True
)
#: Crashes of restricted parts, in all and one after the other, that make them a
#: cause: requests with them were tried alone after the first ones.
_MIN_RESTRICTED_CRASHES = 5
_MIN_RESTRICTED_IN_SUCCESSION = 3
#: Seconds for which an endpoint has to go on after the first event of an
#: answer. It may write one before it crashes under the request.
SURVIVAL_SECONDS = 0.5
#: Seconds for which crashes after an answer are not put down to its parts.
_ANSWER_SECONDS = 3.0
#: Seconds before a crash within which an answer shows that there are requests
#: that do not crash endpoints.
_COMPARISON_SECONDS = 30.0
#: Seconds for which answered parts are remembered, as other entries report
#: crashes with some delay.
_ANSWER_MEMORY_SECONDS = _COMPARISON_SECONDS + 7
#: Maximum number of parts of answered requests that are remembered.
_MAX_ANSWERED_PARTS = 65536
#: Seconds for which requests with the parts of a cause are refused.
_LIFETIME_SECONDS = 600.0
_NO_PARTS: frozenset[str] = frozenset()


class PromptParts(typing.NamedTuple):
    """Parts of a request's prompt that other requests may have.

    :param target: the model or service that reads the prompt.
    :param digests: digests of the parts.
    """

    target: str
    digests: frozenset[str]


#: The parts of a request without a prompt.
NO_PARTS = PromptParts('', frozenset())


class PartEvidence:
    """Which parts of prompts were answered, and which crash endpoints."""

    __slots__ = (
        '_answered_at_by_part',
        '_answered_at_by_target',
        '_crashes',
        '_findings',
        '_last_at_by_suspicious_part',
        '_suspicious_parts',
        'causes',
        'forgotten_answers',
        'restricted',
    )

    def __init__(self) -> None:
        #: When a request with each part was last answered, in this order.
        self._answered_at_by_part: dict[str, float] = {}
        #: When a request of each model or service was last answered.
        self._answered_at_by_target: dict[str, float] = {}
        self._crashes = part_crashes.PartCrashes()
        #: What this entry found since it was last taken.
        self._findings: list[evidence_reports.Report] = []
        #: The last crash of parts that are suspicious, but no cause yet.
        self._last_at_by_suspicious_part: dict[str, float] = {}
        #: The same parts, and those of causes.
        self._suspicious_parts = _NO_PARTS
        #: Parts that crash endpoints.
        self.causes: tuple[crash_causes.Cause, ...] = ()
        #: Parts that may crash endpoints, as several ended under them at once.
        self.restricted: tuple[crash_causes.Cause, ...] = ()
        #: Number of answered parts that were forgotten too early, as there were
        #: too many.
        self.forgotten_answers = 0

    @property
    def is_empty(self) -> bool:
        """Tell whether no crash is known."""
        return self._crashes.is_empty

    def record_crash(
        self, crash_id: str, fingerprint: str, parts: PromptParts, now: float
    ) -> None:
        """Record a request at an endpoint that crashed, and had not begun.

        :param now: the time of the crash.
        """
        since = now - _ANSWER_SECONDS
        suspected = parts.digests.difference(
            self._answered_since(parts.digests, since)
        )
        if not suspected:
            return
        prompt = evidence_reports.Prompt(fingerprint, tuple(sorted(suspected)))
        crash = evidence_reports.PartCrash(
            crash_id, now, parts.target, (prompt,)
        )
        new = self.merge(evidence_reports.Report(part_crashes=(crash,)), now)
        self._findings.append(new)

    def record_answer(
        self, parts: PromptParts, now: float
    ) -> evidence_reports.Report:
        """Record a request that did not crash its endpoint.

        :returns: what it says of earlier crashes.
        """
        self._answered_at_by_target[parts.target] = now
        answered = self._answered_at_by_part
        for part in parts.digests:
            answered.pop(part, None)
            answered[part] = now
        self._forget_answers(now)
        found = evidence_reports.Report(
            part_answers=tuple(
                self._crashes.find_answered(parts.target, parts.digests)
            )
        )
        if found:
            self._crashes.merge(found, now)
            self._findings.append(found)
        return found

    def merge(
        self, report: evidence_reports.Report, now: float
    ) -> evidence_reports.Report:
        """Take in evidence, and add what the answers of this entry say of it.

        :returns: the part of the evidence that was new.
        """
        new = self._crashes.merge(report, now)
        answers = tuple(self._answers_to(new.part_crashes))
        found = self._crashes.merge(
            evidence_reports.Report(part_answers=answers), now
        )
        if found:
            self._findings.append(found)
        return new

    def take_findings(self) -> evidence_reports.Report:
        """Return what this entry found since the last call."""
        findings = evidence_reports.join(self._findings)
        self._findings.clear()
        return findings

    def take_dropped(self) -> tuple[part_crashes.Dropped, ...]:
        """Return the evidence that was dropped since the last call."""
        return self._crashes.take_dropped()

    def select_suspicious(self) -> evidence_reports.Report:
        """Return what is known of suspicious parts, causes included."""
        return self._crashes.select(self._suspicious_parts)

    def update(self) -> None:
        """Find the causes of the crashes that are known."""
        known = _NO_PARTS.union(*(cause.parts for cause in self.causes))
        crashes = self._crashes.crashes(known)
        self.causes = crash_causes.find_causes(crashes, _THRESHOLD)
        explained = _NO_PARTS.union(*(cause.crash_ids for cause in self.causes))
        restricted = crash_causes.find_causes(
            (crash for crash in crashes if crash.id not in explained),
            _RESTRICTING_THRESHOLD,
        )
        at_by_crash = {crash.id: crash.at for crash in crashes}
        confirmed = tuple(
            cause for cause in restricted if _is_confirmed(cause, at_by_crash)
        )
        self.causes += confirmed
        self.restricted = tuple(
            cause for cause in restricted if cause not in confirmed
        )
        self._last_at_by_suspicious_part = crash_causes.find_suspicious_parts(
            crashes, self.causes, _MIN_SUSPICIOUS_CRASHES
        )
        self._suspicious_parts = frozenset(
            self._last_at_by_suspicious_part
        ).union(*(cause.parts for cause in (*self.causes, *self.restricted)))

    def requests_by_crash(self) -> dict[str, set[str]]:
        """Return the requests that caused the crashes that causes explain."""
        requests_by_crash: dict[str, set[str]] = {}
        for cause in self.causes:
            requests_by_crash.update(self._crashes.requests_with(cause))
        return requests_by_crash

    def is_suspicious(self, parts: frozenset[str]) -> bool:
        """Tell whether some part has met several crashes, causes included."""
        return not self._suspicious_parts.isdisjoint(parts)

    def last_suspicious_crash(self, parts: Iterable[str]) -> float:
        """Return the time of the last crash of suspicious parts.

        :returns: monotonic seconds; minus infinity if no part is suspicious.
        """
        return max(
            (
                self._last_at_by_suspicious_part.get(part, float('-inf'))
                for part in parts
            ),
            default=float('-inf'),
        )

    def causes_in(self, parts: frozenset[str]) -> Iterator[crash_causes.Cause]:
        """Return the causes all parts of which a request has."""
        return (cause for cause in self.causes if cause.parts <= parts)

    def restricted_in(
        self, parts: frozenset[str]
    ) -> Iterator[crash_causes.Cause]:
        """Return the restricted combinations of parts that a request has."""
        return (cause for cause in self.restricted if cause.parts <= parts)

    def partial_causes_in(
        self, parts: frozenset[str]
    ) -> Iterator[crash_causes.Cause]:
        """Return the causes some parts of which a request has, but not all.

        It shows which of the parts crash endpoints: it is answered, or crashes
        one more.
        """
        return (
            cause
            for cause in self.causes
            if not cause.parts.isdisjoint(parts) and not cause.parts <= parts
        )

    def _answers_to(
        self, crashes: Iterable[evidence_reports.PartCrash]
    ) -> Iterator[evidence_reports.PartAnswer]:
        """Return what the answers of this entry say of some crashes."""
        for crash in crashes:
            answered_at = self._answered_at_by_target.get(
                crash.target, float('-inf')
            )
            is_recent = answered_at > crash.at - _ANSWER_SECONDS
            seconds = _ANSWER_SECONDS if is_recent else _COMPARISON_SECONDS
            if answered_at <= crash.at - seconds:
                continue
            parts = _NO_PARTS.union(*(each.parts for each in crash.prompts))
            answered = self._answered_since(parts, crash.at - seconds)
            yield evidence_reports.PartAnswer(
                crash.id, is_recent, tuple(sorted(answered))
            )

    def _answered_since(
        self, parts: Iterable[str], since: float
    ) -> Iterator[str]:
        answered = self._answered_at_by_part
        return (
            part for part in parts if answered.get(part, float('-inf')) > since
        )

    def _forget_answers(self, now: float) -> None:
        answered = self._answered_at_by_part
        while answered:
            oldest = next(iter(answered))
            is_old = answered[oldest] < now - _ANSWER_MEMORY_SECONDS
            if not is_old and len(answered) <= _MAX_ANSWERED_PARTS:
                return
            self.forgotten_answers += not is_old
            del answered[oldest]


def _is_confirmed(
    cause: crash_causes.Cause, at_by_crash: Mapping[str, float]
) -> bool:
    """Tell whether trials have shown that restricted parts are a cause."""
    times = [at_by_crash[crash_id] for crash_id in cause.crash_ids]
    return (
        len(times) >= _MIN_RESTRICTED_CRASHES
        and crash_causes.count_in_succession(times)
        >= _MIN_RESTRICTED_IN_SUCCESSION
    )


def seconds_refused(cause: crash_causes.Cause, now: float) -> float:
    """Return the seconds for which requests with a cause are refused.

    After them they are tried, one at a time.
    """
    return max(cause.last_at + _LIFETIME_SECONDS - now, 0)
