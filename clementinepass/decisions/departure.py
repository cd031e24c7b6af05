"""Decide what an entry that was told to end still takes, and when it ends.

Load: all entries are replaced in turn, faster than each needs to leave.
Harm: whatever is in progress when an entry ends is cut off in the middle of
its answer; an entry that stays for all of its grace, though it has nothing
left to do, leaves callers with none at all when the others leave, too.

So an entry that leaves takes a request only if its final answer is due before
the entry's own end, whatever way it came; callers keep a list of entries for so
short a time that few come later than that; and the entry ends as soon as no
list names it any more and nothing is in progress.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

#: The part of the time from SIGTERM to SIGKILL that is used. The rest, 0.64 s
#: of 8 s, is for the end of the process, also on a machine that is held up.
_USABLE_GRACE_FRACTION = 0.92
#: Some callers keep a list for so many times as long as they are told.
_MAX_KEPT_FACTOR = 3
#: Seconds after SIGTERM in which others may still name the entry: two
#: heartbeats, as the word that it leaves may be lost once, and an answer that
#: was on its way.
_ANNOUNCE_SECONDS = 0.5
#: Seconds for which callers are told to keep a list. Below the first nearly
#: each request would ask for one: callers send two or three a second. Above the
#: second the list says little about an entry that was lost.
_MIN_TTL_SECONDS = 0.25
_MAX_TTL_SECONDS = 1.5
#: Seconds in which an entry that leaves is named at most, where none is ready:
#: by then one that was told before it is back.
_MAX_LISTED_SECONDS = 2.0
#: Seconds after the last answers for them to go out.
_FLUSH_SECONDS = 0.1
#: Seconds in which an entry that ended is back, for the callers who find no
#: other: 0.7 s from the end of a process until it is ready again, and some of
#: the time that the ones in progress take to end.
_RESTART_SECONDS = 1.0
#: Seconds after which a caller may come back to another entry: as long as it
#: takes to ask which there are.
_LOOKUP_SECONDS = 0.02


class ListPolicy(typing.NamedTuple):
    """How entries are named to callers.

    :param seconds: for which callers are told to keep a list.
    :param named_seconds: after SIGTERM in which an entry is named where none
        is ready.
    """

    ttl_seconds: float
    listed_seconds: float


class DrainPlan(typing.NamedTuple):
    """The times of leaving; all in monotonic seconds.

    :param begun: of SIGTERM.
    :param lists_end: from which no caller's list names the entry.
    :param last: by which all that is in progress has its final answer.
    """

    started_at: float
    lists_expire_at: float
    last_answer_at: float

    @property
    def end_at(self) -> float:
        """Return when the process ends, whatever is in progress."""
        return self.last_answer_at + _FLUSH_SECONDS

    def accepts(self, due_at: float) -> bool:
        """Tell whether to take a request.

        Failure: streams that were taken 3.4 to 5.5 s after SIGTERM were cut
        off after 7.4 s, 40 on a day of three rounds of replacements. A request
        whose final answer is due before the end can't be cut off by it.

        :param final_at: when its final answer is due.
        """
        return due_at <= self.last_answer_at

    def may_end(self, now: float, in_progress: int) -> bool:
        """Tell whether the entry may end.

        Failure: entries that stayed for 7.4 s, most of them idle, left nobody
        ready for three seconds when they were stopped 0.73 s apart.
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
    """Return the times of leaving.

    :param grace: seconds from SIGTERM to SIGKILL.
    :param lists: how others name the entry from now on.
    :param told_until: until which a list is kept that the entry told itself.
    """
    last_answer_at = started_at + _usable_seconds(grace_seconds)
    listed_until = started_at + max(policy.listed_seconds, _ANNOUNCE_SECONDS)
    lists_expire_at = max(
        listed_until + max_kept_seconds(policy.ttl_seconds), list_expires_at
    )
    return DrainPlan(
        started_at, min(lists_expire_at, last_answer_at), last_answer_at
    )


def accepting_seconds(grace_seconds: float, timeouts: Iterable[float]) -> float:
    """Return for how long after SIGTERM requests are taken.

    By the slowest route that has time at all.  Failure: one route that allows
    more than the grace had it that no request is ever taken, so that while all
    left each entry named itself alone, also those that took nothing any more.

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
    """Return how entries are named to callers.

    A list is so short that those who keep it longest come while requests are
    taken.  Where no entry is ready, one that leaves is named for as long as
    those who keep the list as told still come in time.

    :param taking: seconds after SIGTERM for which that is so.
    :param most: seconds that the platform allows.
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
    """Return for how long some callers keep a list, as told for how long."""
    return _MAX_KEPT_FACTOR * ttl_seconds


def retry_after(ready_entries: int) -> float:
    """Return the seconds after which a caller that is refused may come back.

    :param others_ready: entries that callers may be sent to.
    """
    return _LOOKUP_SECONDS if ready_entries else _RESTART_SECONDS


def _usable_seconds(grace_seconds: float) -> float:
    return grace_seconds * _USABLE_GRACE_FRACTION - _FLUSH_SECONDS
