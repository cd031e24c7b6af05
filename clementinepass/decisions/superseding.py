"""Decide whether a version that is being fetched gives way to a newer one.

The operator may change the desired version again after a few seconds, while the
transfer of each version takes most of the time until its deadline. Dropping the
first version for the second discards the pieces fetched so far. From the
deadline of the first until the second is complete there is then no usable
version, as requests may no longer start on the version before the first.
Finishing the first may make the second late.
"""

from __future__ import annotations

import typing


#: Seconds until an agent has all of a version that it starts to fetch, per
#: second that its own link needs: pieces pass through the agents before it.
_SPREAD_FACTOR = 1.25


class Transfer(typing.NamedTuple):
    """A version that is being fetched, or is to be.

    :param remaining_seconds: time that its missing pieces take.
    :param deadline_seconds: time until requests may not start on older
        versions.
    """

    remaining_seconds: float
    deadline_seconds: float


def should_finish_first(
    current: Transfer,
    newer: Transfer,
    *,
    is_decided: bool = False,
) -> bool:
    """Return whether to finish the current version before the newer one.

    The option with the shorter time without a usable version is chosen. If both
    are equal the current version is finished: other agents have its pieces
    already, while the origin, which the newer version needs, may be
    unreachable.

    A decision to finish stands until the current version could no longer be
    used. Without this, agents that pieces reached late dropped what they had
    for a version whose origin had been unreachable for two seconds.

    :param is_decided: whether finishing was decided before.
    """
    if is_decided:
        return current.remaining_seconds < newer.deadline_seconds
    current_gap = max(current.remaining_seconds - current.deadline_seconds, 0)
    newer_seconds = newer.remaining_seconds * _SPREAD_FACTOR
    newer_gap = max(
        current.remaining_seconds + newer_seconds - newer.deadline_seconds, 0
    )
    dropped_gap = max(newer_seconds - current.deadline_seconds, 0)
    return current_gap + newer_gap <= dropped_gap
