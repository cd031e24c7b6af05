"""Decide whether a version that is being brought gives way to a newer one.

Load: versions named some seconds apart, each of which takes most of its time
over the link.  Dropping the first for the second loses what has come, and
until the second has come nothing may run any more on the version before the
first; finishing the first may make the second late.
"""

from __future__ import annotations

import typing


#: Seconds until an agent has all of a version that it begins with, for each
#: second that its own link needs: pieces come through those before it.
_SPREAD_FACTOR = 1.25


class Transfer(typing.NamedTuple):
    """A version on its way.

    :param seconds: that its missing pieces take.
    :param left: seconds until requests begin on no older version.
    """

    remaining_seconds: float
    deadline_seconds: float


def should_finish_first(
    current: Transfer,
    newer: Transfer,
    *,
    is_decided: bool = False,
) -> bool:
    """Tell whether to finish the current version before the newer one.

    Whichever leaves the shorter time in which no version may be used. Where
    that is the same the first is finished: its pieces are at other agents
    already, while the origin, which the newer one needs, may be gone.

    A decision to finish stands until the current version could no longer be
    used. Failure: agents that pieces reached late dropped what they had for a
    version whose origin had been gone for two seconds.

    :param is_decided: whether that was decided before.
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
