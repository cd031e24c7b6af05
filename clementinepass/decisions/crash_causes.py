"""Find the prompt parts under which endpoints crash.

A part explains a crash if a request with it had been sent to the endpoint and
had not begun to be answered.  Parts that only come along are in some crashes of
the cause; the cause is in all of them.  So the part with the most crashes is
found first, and the others keep only the crashes without it.

Parts in exactly the same crashes cannot be told apart.  They are one cause, and
only requests with all of them are refused, until one of them occurs in a crash
or in an answer without the others.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

#: Seconds within which crashes count as one. Endpoints that end for a common
#: reason, such as a loss of power, end at the same time.
_SIMULTANEOUS_SECONDS = 0.02


class Crash(typing.NamedTuple):
    """What had been sent to an endpoint that crashed, and not begun.

    :param at: monotonic time of the crash in seconds.
    :param requests_by_part: fingerprints of the requests with each part.
    """

    id: str
    at: float
    requests_by_part: Mapping[str, frozenset[str]]


class Threshold(typing.NamedTuple):
    """What makes a part the cause of crashes.

    :param crashes: crashes one after the other.
    :param requests: different requests in these crashes.  The crashes of a
        single one say nothing of its parts.
    """

    crashes: int
    requests: int


class Cause(typing.NamedTuple):
    """Prompt parts that crash endpoints if they come together.

    :param crash_ids: the crashes that they explain.
    :param last_at: monotonic time of the last of them in seconds.
    """

    parts: frozenset[str]
    crash_ids: frozenset[str]
    last_at: float


def find_causes(
    crashes: Iterable[Crash], threshold: Threshold
) -> tuple[Cause, ...]:
    """Return the causes of some crashes, those of most crashes first."""
    remaining = {crash.id: crash for crash in crashes}
    causes = []
    while cause := _find_main_cause(remaining, threshold):
        causes.append(cause)
        for crash_id in cause.crash_ids:
            del remaining[crash_id]
    return tuple(causes)


def find_suspicious_parts(
    crashes: Iterable[Crash], causes: Iterable[Cause], min_crashes: int
) -> dict[str, float]:
    """Return parts that may turn out to be causes.

    :param min_crashes: crashes one after the other that no cause explains.
    :returns: the monotonic time of the last such crash by part.
    """
    explained: frozenset[str] = frozenset().union(
        *(cause.crash_ids for cause in causes)
    )
    unexplained = [crash for crash in crashes if crash.id not in explained]
    last_at_by_part = {}
    for part, found in _crashes_by_part(unexplained).items():
        times = [met.at for met in found]
        if count_in_succession(times) >= min_crashes:
            last_at_by_part[part] = max(times)
    return last_at_by_part


def _find_main_cause(
    crash_by_id: Mapping[str, Crash], threshold: Threshold
) -> Cause | None:
    """Return the cause of the most crashes; ``None`` if there is none."""
    ids_by_part = {
        part: frozenset(crash.id for crash in found)
        for part, found in _crashes_by_part(crash_by_id.values()).items()
        if _reaches(threshold, part, found)
    }
    if not ids_by_part:
        return None
    # The ids make the choice the same in all processes.
    crash_ids = max(
        ids_by_part.values(), key=lambda ids: (len(ids), sorted(ids))
    )
    return Cause(
        frozenset(
            part for part, ids in ids_by_part.items() if ids == crash_ids
        ),
        crash_ids,
        max(crash_by_id[crash_id].at for crash_id in crash_ids),
    )


def _reaches(threshold: Threshold, part: str, crashes: list[Crash]) -> bool:
    requests = frozenset[str]().union(
        *(crash.requests_by_part[part] for crash in crashes)
    )
    count = count_in_succession([crash.at for crash in crashes])
    return len(requests) >= threshold.requests and count >= threshold.crashes


def _crashes_by_part(crashes: Iterable[Crash]) -> dict[str, list[Crash]]:
    crashes_by_part: dict[str, list[Crash]] = {}
    for crash in crashes:
        for part in crash.requests_by_part:
            crashes_by_part.setdefault(part, []).append(crash)
    return crashes_by_part


def count_in_succession(times: Iterable[float]) -> int:
    """Return the number of crashes, of which simultaneous ones count as one.

    :param times: monotonic times of the crashes in seconds.
    """
    count = 0
    last_at = float('-inf')
    for at in sorted(times):
        if at - last_at > _SIMULTANEOUS_SECONDS:
            last_at = at
            count += 1
    return count
