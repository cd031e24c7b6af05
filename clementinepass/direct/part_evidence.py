"""What an entry knows of prompt parts under which endpoints crash.

The requests of an incident may have nothing in common but a part of their
prompts. Each entry knows which parts it has seen answered: a request with a
part that crashes endpoints is never answered, not even with a first event. A
part is suspected of a crash only if

- a request with it had been sent to the endpoint, and no event had arrived,
- no request with it was answered shortly before the crash or has been since, at
  any entry, and
- requests without it were answered at that entry. If all requests crash
  endpoints, for example after a faulty release, their parts are not the cause.
"""

from __future__ import annotations

import collections
import typing

from clementinepass.decisions import crash_causes

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

#: What makes parts the cause of crashes. Sound parts, which many requests
#: have, are now and then in three crashes one after the other.
_THRESHOLD = crash_causes.Threshold(crashes=4, requests=2)
#: Crashes one after the other from which a part is suspicious.
_MIN_SUSPICIOUS_CRASHES = 2
#: Seconds for which crashes after an answer are not put down to its parts.
_ANSWER_SECONDS = 3.0
#: Seconds for which answered parts are remembered, as other entries report
#: crashes with some delay.
_ANSWER_MEMORY_SECONDS = 10.0
#: Maximum number of parts of answered requests that are remembered.
_MAX_ANSWERED_PARTS = 4096
#: Seconds within which another request was answered that lacks a part.
_COMPARISON_SECONDS = 30.0
#: Maximum number of answered requests of a service that are compared with.
_MAX_COMPARED = 32
#: Seconds for which requests with the parts of a cause are refused.
_LIFETIME_SECONDS = 600.0


class PromptParts(typing.NamedTuple):
    """Parts of a request's prompt that other requests may have.

    :param target: the model or service that reads the prompt.
    :param digests: digests of the parts.
    """

    target: str
    digests: frozenset[str]


#: The parts of a request without a prompt.
NO_PARTS = PromptParts('', frozenset())


class _Answer(typing.NamedTuple):
    """The beginning of an answer."""

    at: float
    parts: frozenset[str]


class PartEvidence:
    """Which parts of prompts were answered, and which crash endpoints."""

    __slots__ = (
        '_answered_at_by_part',
        '_answers_by_target',
        '_last_at_by_suspicious_part',
        'causes',
    )

    def __init__(self) -> None:
        #: When a request with each part was last answered, in this order.
        self._answered_at_by_part: dict[str, float] = {}
        #: The latest answers of each model or service.
        self._answers_by_target: dict[str, collections.deque[_Answer]] = {}
        #: The last crash of parts that are suspicious, but no cause yet.
        self._last_at_by_suspicious_part: dict[str, float] = {}
        #: Parts that crash endpoints.
        self.causes: tuple[crash_causes.Cause, ...] = ()

    def record_answer(self, parts: PromptParts, now: float) -> None:
        """Record the first event, or the whole answer, of a request."""
        answers = self._answers_by_target.setdefault(
            parts.target, collections.deque(maxlen=_MAX_COMPARED)
        )
        answers.append(_Answer(now, parts.digests))
        for part in parts.digests:
            self._answered_at_by_part.pop(part, None)
            self._answered_at_by_part[part] = now
        self._forget_answers(now)

    def suspected_parts(
        self, parts: PromptParts, now: float
    ) -> tuple[str, ...]:
        """Return the parts of a request that may have crashed an endpoint now.

        :param parts: the parts of a request of which no event had arrived.
        """
        answers = [
            answer
            for answer in self._answers_by_target.get(parts.target, ())
            if answer.at > now - _COMPARISON_SECONDS
        ]
        known = frozenset[str]().union(*(cause.parts for cause in self.causes))
        return tuple(
            part
            for part in sorted(parts.digests)
            if not self.is_cleared(part, now)
            and (
                part in known
                or any(part not in answer.parts for answer in answers)
            )
        )

    def is_cleared(self, part: str, crashed_at: float) -> bool:
        """Tell whether an answer shows that a part did not cause a crash."""
        answered_at = self._answered_at_by_part.get(part, float('-inf'))
        return answered_at > crashed_at - _ANSWER_SECONDS

    def update(self, crashes: list[crash_causes.Crash]) -> None:
        """Find the causes of the crashes that are known."""
        self.causes = crash_causes.find_causes(crashes, _THRESHOLD)
        self._last_at_by_suspicious_part = crash_causes.find_suspicious_parts(
            crashes, self.causes, _MIN_SUSPICIOUS_CRASHES
        )

    def suspicious_parts(self) -> frozenset[str]:
        """Return the parts that have met several crashes, causes included."""
        return frozenset(self._last_at_by_suspicious_part).union(
            *(cause.parts for cause in self.causes)
        )

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

    def causes_in(
        self, parts: frozenset[str]
    ) -> typing.Iterator[crash_causes.Cause]:
        """Return the causes all parts of which a request has."""
        return (cause for cause in self.causes if cause.parts <= parts)

    def partial_causes_in(
        self, parts: frozenset[str]
    ) -> typing.Iterator[crash_causes.Cause]:
        """Return the causes some parts of which a request has, but not all.

        It shows which of the parts crash endpoints: it is answered, or crashes
        one more.
        """
        return (
            cause
            for cause in self.causes
            if not cause.parts.isdisjoint(parts) and not cause.parts <= parts
        )

    def _forget_answers(self, now: float) -> None:
        answered = self._answered_at_by_part
        while answered:
            oldest = next(iter(answered))
            is_old = answered[oldest] < now - _ANSWER_MEMORY_SECONDS
            if not is_old and len(answered) <= _MAX_ANSWERED_PARTS:
                return
            del answered[oldest]


def seconds_refused(cause: crash_causes.Cause, now: float) -> float:
    """Return the seconds for which requests with a cause are refused.

    After them they are tried, one at a time.
    """
    return max(cause.last_at + _LIFETIME_SECONDS - now, 0)
