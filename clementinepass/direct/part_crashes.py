"""Crashes of endpoints with the prompt parts that may have caused them.

What is known of a crash only grows, and merging two findings in any order gives
the same whole, so that all processes come to the same conclusion:

- the parts of requests that had been sent to the endpoint and not begun,
- the parts of requests that were answered shortly before the crash or later,
  anywhere: they did not cause it, and
- the parts of requests that were answered some time before. They count only if
  no request at all has been answered since. Then all requests may crash
  endpoints, for example after a faulty release, and parts that all requests
  have are not the cause.

Without any answer to compare with, no part is suspected.
"""

from __future__ import annotations

import collections
import itertools
import typing

from clementinepass.decisions import crash_causes
from clementinepass.direct import evidence_reports

if typing.TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

#: Seconds for which a crash is kept.
_MEMORY_SECONDS = 3600.0
#: Maximum number of crashes that are kept, and the number that is left when
#: there are more.
_MAX_CRASHES = 512
_CRASHES_LEFT = 448
#: Maximum number of parts of all requests at all crashes.
_MAX_PARTS = 65536
#: Crashes that were dropped and are not taken in again.
_MAX_DROPPED = 1024
#: Latest crashes that rank with those under suspicious parts.
_NEWEST_KEPT = 64


class Dropped(typing.NamedTuple):
    """Evidence that is not kept any longer.

    :param crash_ids: crashes that were dropped, or that lost parts.
    :param is_expired: whether they were too old; otherwise there was too much.
    """

    crash_ids: tuple[str, ...]
    is_expired: bool


class _Case:
    """One crash."""

    __slots__ = (
        '_known',
        '_suspected',
        'answered',
        'answered_before',
        'at',
        'has_answer',
        'has_answer_before',
        'is_trimmed',
        'parts_by_request',
        'target',
    )

    def __init__(self, at: float, target: str) -> None:
        self.at = at
        self.target = target
        #: Parts that no recent answer has cleared, by fingerprint.
        self.parts_by_request: dict[str, set[str]] = {}
        #: Parts of recent answers, and whether there was any such answer.
        self.answered: set[str] = set()
        self.has_answer = False
        #: The same for answers some time before the crash.
        self.answered_before: set[str] = set()
        self.has_answer_before = False
        #: Whether parts were dropped that were in no other crash.
        self.is_trimmed = False
        #: The suspected parts by request, with some parts known; ``None`` if
        #: they have to be found anew.
        self._suspected: dict[str, frozenset[str]] | None = None
        self._known: frozenset[str] = frozenset()

    @property
    def part_count(self) -> int:
        """Return the number of parts of all requests."""
        return sum(map(len, self.parts_by_request.values()))

    def parts(self) -> set[str]:
        """Return the parts of all requests."""
        return set().union(*self.parts_by_request.values())

    def suspected(self, known: frozenset[str]) -> dict[str, frozenset[str]]:
        """Return the suspected parts by request, of those that have any.

        :param known: parts that crash endpoints, as other crashes show.
        """
        if self._suspected is None or known != self._known:
            self._known = known
            by_request = {
                request: self._select_suspected(parts)
                for request, parts in self.parts_by_request.items()
            }
            self._suspected = {
                request: parts for request, parts in by_request.items() if parts
            }
        return self._suspected

    def add_prompt(self, fingerprint: str, parts: frozenset[str]) -> bool:
        """Add the parts of a request; return whether any was new."""
        known = self.parts_by_request.get(fingerprint, set())
        new = parts.difference(known, self.answered)
        if new:
            self.parts_by_request[fingerprint] = known | new
            self._suspected = None
        return bool(new)

    def add_answer(self, parts: frozenset[str], *, is_recent: bool) -> bool:
        """Add the parts of answered requests; return whether it was news."""
        self._suspected = None
        if not is_recent:
            is_new = not self.has_answer_before or not (
                parts <= self.answered_before
            )
            self.has_answer_before = True
            self.answered_before |= parts
            return is_new
        is_new = not self.has_answer or not parts <= self.answered
        self.has_answer = True
        self.answered |= parts
        for own_parts in self.parts_by_request.values():
            own_parts -= parts
        return is_new

    def trim(self, parts: set[str]) -> int:
        """Keep only some parts; return the number of those that were dropped.

        Of those that are reported later, too, only such are taken in.
        """
        before = self.part_count
        for own_parts in self.parts_by_request.values():
            own_parts &= parts
        self.is_trimmed = True
        self._suspected = None
        return before - self.part_count

    def _select_suspected(self, parts: set[str]) -> frozenset[str]:
        if self.has_answer:
            return frozenset(parts)
        if self.has_answer_before:
            return frozenset(parts) - (self.answered_before - self._known)
        return self._known.intersection(parts)


class PartCrashes:
    """The crashes that are known, from this process and from others."""

    __slots__ = (
        '_cases_by_crash',
        '_dropped',
        '_dropped_ids',
        '_known',
        '_unanswered',
        '_unanswered_targets',
    )

    def __init__(self) -> None:
        self._cases_by_crash: dict[str, _Case] = {}
        #: Parts that no recent answer has cleared, and targets of crashes
        #: without a recent answer; ``None`` if they have to be found anew.
        self._unanswered: set[str] | None = None
        self._unanswered_targets: set[str] = set()
        #: Parts that crash endpoints.
        self._known: frozenset[str] = frozenset()
        self._dropped: list[Dropped] = []
        self._dropped_ids: collections.deque[str] = collections.deque(
            maxlen=_MAX_DROPPED
        )

    @property
    def is_empty(self) -> bool:
        """Tell whether no crash is known."""
        return not self._cases_by_crash

    def merge(
        self, report: evidence_reports.Report, now: float
    ) -> evidence_reports.Report:
        """Take in evidence without sets; return the part that was new."""
        self._unanswered = None
        new_crashes = tuple(
            crash
            for crash in report.part_crashes
            if crash.id not in self._dropped_ids and self._add(crash, now)
        )
        new_answers = tuple(
            answer for answer in report.part_answers if self._add_answer(answer)
        )
        if new_crashes:
            self._forget(now)
        return evidence_reports.Report(
            part_crashes=new_crashes, part_answers=new_answers
        )

    def crashes(self, known: Iterable[str] = ()) -> list[crash_causes.Crash]:
        """Return the crashes with the parts that are suspected of them.

        :param known: parts that crash endpoints. They are suspected also if
            there is nothing to compare with.
        """
        self._known = frozenset(known)
        crashes = [
            crash_causes.Crash(crash_id, case.at, case.suspected(self._known))
            for crash_id, case in self._cases_by_crash.items()
        ]
        return [crash for crash in crashes if crash.parts_by_request]

    def find_answered(
        self, target: str, parts: frozenset[str]
    ) -> Iterator[evidence_reports.PartAnswer]:
        """Return what an answer says of the crashes before it.

        :param parts: the parts of the answered request.
        """
        if not self._needs_answer(target, parts):
            return
        for crash_id, case in self._cases_by_crash.items():
            if case.target != target:
                continue
            cleared = parts.intersection(case.parts())
            if cleared or not case.has_answer:
                yield evidence_reports.PartAnswer(
                    crash_id, is_recent=True, parts=tuple(sorted(cleared))
                )

    def requests_with(self, cause: crash_causes.Cause) -> dict[str, set[str]]:
        """Return the requests with all parts of a cause by crash."""
        return {
            crash_id: {
                request
                for request, parts in case.suspected(self._known).items()
                if cause.parts <= parts
            }
            for crash_id, case in self._cases_by_crash.items()
            if crash_id in cause.crash_ids
        }

    def select(self, parts: frozenset[str]) -> evidence_reports.Report:
        """Return what is known of some parts, for processes that start later.

        What answers have cleared is left out.
        """
        crashes = []
        answers = []
        for crash_id, case in self._cases_by_crash.items():
            prompts = tuple(
                evidence_reports.Prompt(request, tuple(sorted(own & parts)))
                for request, own in case.suspected(self._known).items()
                if not own.isdisjoint(parts)
            )
            if not prompts:
                continue
            crashes.append(
                evidence_reports.PartCrash(
                    crash_id, case.at, case.target, prompts
                )
            )
            if case.has_answer or case.has_answer_before:
                answers.append(
                    evidence_reports.PartAnswer(crash_id, case.has_answer)
                )
        return evidence_reports.Report(
            part_crashes=tuple(crashes), part_answers=tuple(answers)
        )

    def take_dropped(self) -> tuple[Dropped, ...]:
        """Return what was dropped since the last call."""
        dropped = tuple(self._dropped)
        self._dropped.clear()
        return dropped

    def _needs_answer(self, target: str, parts: frozenset[str]) -> bool:
        if self._unanswered is None:
            cases = self._cases_by_crash.values()
            self._unanswered = set().union(*(case.parts() for case in cases))
            self._unanswered_targets = {
                case.target for case in cases if not case.has_answer
            }
        return target in self._unanswered_targets or not (
            self._unanswered.isdisjoint(parts)
        )

    def _add(self, crash: evidence_reports.PartCrash, now: float) -> bool:
        at = min(crash.at, now)
        case = self._cases_by_crash.get(crash.id)
        if case is None:
            if at < now - _MEMORY_SECONDS:
                return False
            case = _Case(at, crash.target)
            self._cases_by_crash[crash.id] = case
        # Processes see the same crash at different times.
        case.at = min(case.at, at)
        case.target = case.target or crash.target
        is_new = False
        for prompt in crash.prompts:
            parts = frozenset(prompt.parts)
            if case.is_trimmed:
                parts &= self._parts_of_others(case)
            is_new = case.add_prompt(prompt.fingerprint, parts) or is_new
        return is_new

    def _add_answer(self, answer: evidence_reports.PartAnswer) -> bool:
        # An answer to a crash that is not known yet comes again.
        case = self._cases_by_crash.get(answer.crash_id)
        return case is not None and case.add_answer(
            frozenset(answer.parts), is_recent=answer.is_recent
        )

    def _parts_of_others(self, case: _Case) -> set[str]:
        others = (
            other for other in self._cases_by_crash.values() if other != case
        )
        return set().union(*(other.parts() for other in others))

    def _forget(self, now: float) -> None:
        """Drop what is too old, and what is too much."""
        oldest = now - _MEMORY_SECONDS
        expired = [
            crash_id
            for crash_id, case in self._cases_by_crash.items()
            if case.at < oldest
        ]
        self._drop(expired, is_expired=True)
        if len(self._cases_by_crash) > _MAX_CRASHES:
            ranked = self._ranked_ids()
            self._drop(ranked[: len(ranked) - _CRASHES_LEFT], is_expired=False)
        self._trim()

    def _ranked_ids(self) -> list[str]:
        """Return the ids of all crashes; those to be dropped come first.

        Crashes under parts that have met several are kept longest: many
        endpoints that end for other reasons must not hide what is about to be
        found.
        """
        parts_by_crash = {
            crash_id: case.parts()
            for crash_id, case in self._cases_by_crash.items()
        }
        frequent = _frequent_parts(parts_by_crash.values())
        by_time = sorted(
            self._cases_by_crash,
            key=lambda crash_id: (self._cases_by_crash[crash_id].at, crash_id),
        )
        newest = frozenset(by_time[-_NEWEST_KEPT:])
        return sorted(
            by_time,
            key=lambda crash_id: (
                crash_id in newest
                or not frequent.isdisjoint(parts_by_crash[crash_id])
            ),
        )

    def _trim(self) -> None:
        """Drop parts if there are too many.

        A part that is in one crash only says least, and so does one of an old
        crash.
        """
        by_time = sorted(
            self._cases_by_crash.items(), key=lambda item: item[1].at
        )
        excess = sum(case.part_count for _, case in by_time) - _MAX_PARTS
        if excess <= 0:
            return
        frequent = _frequent_parts(case.parts() for _, case in by_time)
        for crash_id, case in by_time:
            if excess <= 0:
                return
            excess -= case.trim(frequent)
            self._dropped.append(Dropped((crash_id,), is_expired=False))
        self._drop_parts_of_oldest(excess)

    def _drop_parts_of_oldest(self, excess: int) -> None:
        by_time = sorted(
            self._cases_by_crash,
            key=lambda crash_id: self._cases_by_crash[crash_id].at,
        )
        counts = (self._cases_by_crash[each].part_count for each in by_time)
        totals = itertools.accumulate(counts, initial=0)
        self._drop(
            [
                crash_id
                for crash_id, dropped in zip(by_time, totals, strict=False)
                if dropped < excess
            ],
            is_expired=False,
        )

    def _drop(self, crash_ids: list[str], *, is_expired: bool) -> None:
        for crash_id in crash_ids:
            del self._cases_by_crash[crash_id]
        if crash_ids:
            self._dropped_ids.extend(crash_ids)
            self._dropped.append(Dropped(tuple(crash_ids), is_expired))


def _frequent_parts(parts_of_crashes: Iterable[set[str]]) -> set[str]:
    """Return the parts that are in several crashes."""
    counts = collections.Counter(
        itertools.chain.from_iterable(parts_of_crashes)
    )
    return {part for part, count in counts.items() if count > 1}
