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

import collections
import itertools
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

#: Seconds within which crashes count as one. Endpoints that end for a common
#: reason, such as a loss of power, end at the same time.
_SIMULTANEOUS_SECONDS = 0.02


class Crash(typing.NamedTuple):
    """What had been sent to an endpoint that crashed, and not begun.

    :param at: monotonic time of the crash in seconds.
    :param parts_by_request: the parts of each request, by its fingerprint.
    """

    id: str
    at: float
    parts_by_request: Mapping[str, frozenset[str]]

    def parts(self) -> frozenset[str]:
        """Return the parts of all requests."""
        return frozenset().union(*self.parts_by_request.values())


class Threshold(typing.NamedTuple):
    """What makes a part the cause of crashes.

    :param crashes: crashes one after the other.
    :param requests: different requests in these crashes.  The crashes of a
        single one say nothing of its parts.
    :param counts_simultaneous: whether crashes at one moment count each.
    """

    crashes: int
    requests: int
    counts_simultaneous: bool = False

    def is_reached(self, times: list[float]) -> bool:
        """Tell whether there are enough crashes.

        :param times: monotonic times of the crashes in seconds.
        """
        if self.counts_simultaneous:
            return len(times) >= self.crashes
        return count_in_succession(times) >= self.crashes


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
    parts_by_crashes = _group_parts(remaining.values(), threshold.crashes)
    causes = []
    while cause := _find_main_cause(remaining, parts_by_crashes, threshold):
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
    unexplained = {
        crash.id: crash for crash in crashes if crash.id not in explained
    }
    last_at_by_part = {}
    parts_by_crashes = _group_parts(unexplained.values(), min_crashes)
    for crash_ids, parts in parts_by_crashes.items():
        times = [unexplained[crash_id].at for crash_id in crash_ids]
        if count_in_succession(times) >= min_crashes:
            last_at_by_part.update(dict.fromkeys(parts, max(times)))
    return last_at_by_part


def _group_parts(
    crashes: Iterable[Crash], min_crashes: int
) -> dict[frozenset[str], frozenset[str]]:
    """Return the parts in exactly the same crashes, by the crashes' ids.

    A prompt may have more than a thousand parts, most of which come together.

    :param min_crashes: crashes that a part has to be in.
    """
    parts_by_crash = {crash.id: crash.parts() for crash in crashes}
    counts = collections.Counter(
        itertools.chain.from_iterable(parts_by_crash.values())
    )
    frequent = {part for part, count in counts.items() if count >= min_crashes}
    ids_by_part: dict[str, list[str]] = {part: [] for part in frequent}
    for crash_id, parts in parts_by_crash.items():
        for part in frequent.intersection(parts):
            ids_by_part[part].append(crash_id)
    parts_by_ids: dict[tuple[str, ...], list[str]] = {}
    for part, ids in ids_by_part.items():
        parts_by_ids.setdefault(tuple(ids), []).append(part)
    return {
        frozenset(group_ids): frozenset(group)
        for group_ids, group in parts_by_ids.items()
    }


def _find_main_cause(
    crash_by_id: Mapping[str, Crash],
    parts_by_crashes: Mapping[frozenset[str], frozenset[str]],
    threshold: Threshold,
) -> Cause | None:
    """Return the cause of the most crashes; ``None`` if there is none.

    :param crash_by_id: the crashes that no other cause explains.
    :param parts_by_crashes: the parts in exactly the same crashes, by the ids
        of these.
    """
    parts_by_ids: dict[frozenset[str], frozenset[str]] = {}
    for all_ids, parts in parts_by_crashes.items():
        ids = all_ids.intersection(crash_by_id)
        parts_by_ids[ids] = parts_by_ids.get(ids, frozenset()) | parts
    # The ids make the choice the same in all processes.
    by_size = sorted(
        parts_by_ids, key=lambda ids: (len(ids), sorted(ids)), reverse=True
    )
    for crash_ids in by_size:
        crashes = [crash_by_id[crash_id] for crash_id in crash_ids]
        times = [crash.at for crash in crashes]
        if not threshold.is_reached(times):
            continue
        found = _parts_of_several_requests(
            parts_by_ids[crash_ids], crashes, threshold.requests
        )
        if found:
            return Cause(found, crash_ids, max(times))
    return None


def _parts_of_several_requests(
    parts: frozenset[str], crashes: Iterable[Crash], min_requests: int
) -> frozenset[str]:
    """Return the parts that different requests had."""
    parts_by_request: dict[str, frozenset[str]] = {}
    for crash in crashes:
        for request, own_parts in crash.parts_by_request.items():
            known = parts_by_request.get(request, frozenset())
            parts_by_request[request] = known | (parts & own_parts)
    counts = collections.Counter(
        itertools.chain.from_iterable(parts_by_request.values())
    )
    return frozenset(
        part for part, count in counts.items() if count >= min_requests
    )


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
