"""Decide whether a version that is being brought gives way to a newer one.

Load: versions named some seconds apart, each of which takes most of its time
over the link.  Dropping the first for the second loses what has come, and
until the second has come nothing may run any more on the version before the
first; finishing the first may make the second late.
"""

from __future__ import annotations

import typing


class Transfer(typing.NamedTuple):
    """A version on its way.

    :param seconds: that its missing pieces take.
    :param left: seconds until requests begin on no older version.
    """

    seconds: float
    left: float


def finish_first(current: Transfer, newer: Transfer) -> bool:
    """Tell whether to finish the current version before the newer one.

    Only where it is of use, that is in time for its own bound, and does not
    make the newer one late.
    """
    in_time = current.seconds <= current.left
    return in_time and current.seconds + newer.seconds <= newer.left
