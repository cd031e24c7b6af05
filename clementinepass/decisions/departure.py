"""Decide which requests a draining entry accepts, and when it exits.

In a rolling replacement entries may be replaced faster than each of them
drains. An entry that exits with requests in progress cuts off their answers. An
entry that uses its whole grace period although it is idle leaves callers
without any ready entry once the others drain as well.

A draining entry therefore accepts a request, whichever way it arrives, only if
its final answer is due before the end of the entry. Callers keep a list of
entries for so short a time that few requests arrive later than that. The entry
exits as soon as no list names it any more and nothing is in progress.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

#: Fraction of the time from SIGTERM to SIGKILL that is used. The rest, 0.64 s
#: of 8 s, is left for the process to end, also on an instance that stalls.
_USABLE_GRACE_FRACTION = 0.92
#: Minimum of that rest in seconds. Closing the last connections takes up to a
#: quarter of a second, however short the grace period is.
_MIN_END_SECONDS = 0.5
#: Fraction of a short grace period that is used in spite of that minimum.
_MIN_USABLE_FRACTION = 0.5
#: Some callers keep a list for up to this multiple of its time to live.
_MAX_KEPT_FACTOR = 3
#: Seconds after SIGTERM in which other entries may still list this one: the
#: time until the second heartbeat, as the first one that announces the drain
#: may be lost, plus the time of an answer that was already on its way.
_ANNOUNCE_SECONDS = 0.5
#: Time to live, in seconds, of a list that callers are given. Below the minimum
#: nearly every request would fetch a list, as callers send two or three
#: requests a second. Above the maximum a list names lost entries for too long.
_MIN_TTL_SECONDS = 0.25
_MAX_TTL_SECONDS = 1.5
#: Longest time in seconds for which a draining entry is listed while no entry
#: is ready. By then an entry that began to drain earlier is back.
_MAX_LISTED_SECONDS = 2.0
#: Seconds from the time of the last answers to the exit, for sending them.
_FLUSH_SECONDS = 0.1
#: Seconds after which an entry that exited is back, for callers that find no
#: other: 0.7 s from the end of a process until it is ready again, plus part of
#: the time that its requests in progress take to finish.
_RESTART_SECONDS = 1.0
#: Seconds after which a caller may retry at another entry: the time that it
#: takes to fetch the list of entries.
_LOOKUP_SECONDS = 0.02


class ListPolicy(typing.NamedTuple):
    """How entries are listed for callers.

    :param ttl_seconds: how long callers are told to keep a list.
    :param listed_seconds: how long after SIGTERM a draining entry is listed
        while no entry is ready.
    """

    ttl_seconds: float
    listed_seconds: float


class DrainPlan(typing.NamedTuple):
    """The times of a drain, in monotonic seconds.

    :param started_at: when SIGTERM arrived.
    :param lists_expire_at: when the last list that names the entry expires.
    :param last_answer_at: by when every request in progress has its final
        answer.
    """

    started_at: float
    lists_expire_at: float
    last_answer_at: float

    @property
    def end_at(self) -> float:
        """Return when the process exits, whatever is in progress."""
        return self.last_answer_at + _FLUSH_SECONDS

    def accepts(self, due_at: float) -> bool:
        """Return whether to accept a request.

        Without this check streams that were accepted 3.4 to 5.5 s after SIGTERM
        were cut off after 7.4 s, 40 of them on a day of three rolling
        replacements. A request whose final answer is due before the end cannot
        be cut off by it.

        :param due_at: when the final answer of the request is due.
        """
        return due_at <= self.last_answer_at

    def may_end(self, now: float, in_progress: int) -> bool:
        """Return whether the entry may exit.

        Entries that stayed for 7.4 s, most of them idle, left no entry ready
        for three seconds when they were stopped 0.73 s apart.

        :param in_progress: number of requests in progress.
        """
        if now >= self.end_at:
            return True
        return now >= self.lists_expire_at and not in_progress


def plan_drain(
    started_at: float,
    grace_seconds: float,
    policy: ListPolicy,
    list_expires_at: float,
) -> DrainPlan:
    """Return the times of a drain.

    :param started_at: when SIGTERM arrived, in monotonic seconds.
    :param grace_seconds: time from SIGTERM to SIGKILL.
    :param policy: how the entry is listed from now on.
    :param list_expires_at: when the last list expires that this entry gave out.
    """
    last_answer_at = started_at + _usable_seconds(grace_seconds)
    # The other entries count the time for which they list this one from the
    # arrival of its announcement.
    listed_until = started_at + policy.listed_seconds + _ANNOUNCE_SECONDS
    lists_expire_at = max(
        listed_until + max_kept_seconds(policy.ttl_seconds), list_expires_at
    )
    return DrainPlan(
        started_at, min(lists_expire_at, last_answer_at), last_answer_at
    )


def accepting_seconds(grace_seconds: float, timeouts: Iterable[float]) -> float:
    """Return for how long after SIGTERM requests are accepted.

    The slowest route whose timeout fits into the grace period decides. When a
    route with a longer timeout decided, the result was 0, so that entries did
    not list other draining entries: while all entries drained, each of them
    listed only itself, even if it accepted nothing any more.

    :param grace_seconds: time from SIGTERM to SIGKILL.
    :param timeouts: seconds until the final answer, by route.
    """
    usable_seconds = _usable_seconds(grace_seconds)
    longest_timeout = max(
        (timeout for timeout in timeouts if timeout <= usable_seconds),
        default=usable_seconds,
    )
    return usable_seconds - longest_timeout


def list_policy(
    acceptance_seconds: float, max_ttl_seconds: float
) -> ListPolicy:
    """Return how entries are listed for callers.

    The time to live is so short that the callers that keep a list longest still
    arrive while requests are accepted. If no entry is ready, a draining entry
    is listed for as long as callers that discard the list in time still arrive
    while requests are accepted.

    :param acceptance_seconds: how long after SIGTERM requests are accepted.
    :param max_ttl_seconds: longest time to live that the platform allows.
    """
    preferred_ttl = min(
        (acceptance_seconds - _ANNOUNCE_SECONDS) / _MAX_KEPT_FACTOR,
        _MAX_TTL_SECONDS,
    )
    ttl_seconds = min(max(preferred_ttl, _MIN_TTL_SECONDS), max_ttl_seconds)
    listed_seconds = min(
        max(acceptance_seconds - ttl_seconds, 0), _MAX_LISTED_SECONDS
    )
    return ListPolicy(ttl_seconds, listed_seconds)


def max_kept_seconds(ttl_seconds: float) -> float:
    """Return how long some callers keep a list that has a time to live."""
    return _MAX_KEPT_FACTOR * ttl_seconds


def retry_after(ready_entries: int) -> float:
    """Return the seconds after which a rejected caller may retry.

    :param ready_entries: number of other entries that callers may be sent to.
    """
    return _LOOKUP_SECONDS if ready_entries else _RESTART_SECONDS


def _usable_seconds(grace_seconds: float) -> float:
    usable_seconds = max(
        min(
            grace_seconds * _USABLE_GRACE_FRACTION,
            grace_seconds - _MIN_END_SECONDS,
        ),
        grace_seconds * _MIN_USABLE_FRACTION,
    )
    return usable_seconds - _FLUSH_SECONDS
