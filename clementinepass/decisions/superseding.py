"""Decide whether a version that is being brought gives way to a newer one.

Load: versions named some seconds apart, each of which takes most of its time
over the link.  Dropping the first for the second loses what has come, and
until the second has come nothing may run any more on the version before the
first; finishing the first may make the second late.
"""

from __future__ import annotations

import typing


#: Seconds for an engine to load what lies ready.
_LOADING = 0.5
#: The time that pieces take whoever begins late with them, against the usual:
#: those that could send them are busy with the others.
_LATE_PART = 1.4
#: Seconds for which a version must be of use to be worth a load.
_LEAST_USE = 1.0


class Transfer(typing.NamedTuple):
    """A version on its way.

    :param seconds: that its missing pieces take.
    :param left: seconds until requests begin on no older version.
    """

    seconds: float
    left: float


def finish_first(current: Transfer, newer: Transfer) -> bool:
    """Tell whether to finish the current version before the newer one.

    Whichever leaves the shorter time in which no version may be used; where
    both leave none the first is dropped, since each load takes the engine
    out for a second.
    """
    late_first = max(current.seconds - current.left, 0)
    late_second = max(current.seconds + newer.seconds - newer.left, 0)
    dropped = max(newer.seconds - current.left, 0)
    return late_first + late_second < dropped


def finish_older(missing: float, whole: float, left: float) -> bool:
    """Tell whether an empty engine gets an older version first.

    Load: engines that were added or replaced just before a version is named,
    with most pieces of the one in use. Harm: six of thirteen engines served
    nothing for eight seconds, though each lacked a few seconds' pieces of what
    all others served until then.

    :param missing: seconds that the older version's missing pieces take.
    :param whole: seconds that all of the newer version's pieces take.
    :param left: seconds until requests begin on no older version.
    """
    used = left - missing - _LOADING
    late = max(missing + whole * _LATE_PART - left, 0)
    return used > max(late, _LEAST_USE)
