"""Bounds on the bytes that a process holds for callers and endpoints.

Bodies, copies of them on their way to endpoints, and answers that callers have
not read are in memory. A process over its memory is killed, and all of its
requests are lost with it, so that new requests are refused before that.
"""

from __future__ import annotations

import math
import typing

#: Fraction of the memory of a process that may be held. An entry itself takes
#: 25 MB. A partly sent answer may take twice its remaining size, and an answer
#: of up to 16 MB is copied when it is complete.
_HELD_FRACTION = 0.4
#: Fraction of that above which new requests are refused. The rest is for the
#: answers of the requests that run.
_ADMITTED_FRACTION = 0.75
#: Seconds without progress after which a caller that does not read is cut off
#: in favour of new requests. Endpoints cut off unread answers after seconds.
STALL_SECONDS = 5.0
#: The same in favour of requests that run. A caller that reads makes progress
#: in this time even with a lost packet.
SHORT_STALL_SECONDS = 1.0


class Limits(typing.NamedTuple):
    """Bounds in bytes; infinite if the memory of the process is not set.

    :param admission: most held bytes with which a new request is accepted.
    :param total: most held bytes with which answers are read on.
    """

    admission: float = math.inf
    total: float = math.inf

    @classmethod
    def from_memory(cls, memory_bytes: int) -> Limits:
        """Derive the bounds from the memory of the process; 0 if not set."""
        if not memory_bytes:
            return cls()
        total = memory_bytes * _HELD_FRACTION
        return cls(total * _ADMITTED_FRACTION, total)


#: The bounds of a process whose memory is not set.
UNBOUNDED = Limits()


class Backlog(typing.NamedTuple):
    """What a caller has not read.

    :param since: time of the last known progress.
    """

    size: int
    since: float


def choose_stalled(
    backlogs: typing.Sequence[Backlog], excess: float, latest: float
) -> list[int]:
    """Return the positions of the backlogs to drop, longest without progress.

    :param excess: bytes to free; not more callers are cut off than needed.
    :param latest: only backlogs without progress since then are dropped.
    """
    chosen = []
    by_age = sorted(
        range(len(backlogs)), key=lambda position: backlogs[position].since
    )
    for position in by_age:
        if excess <= 0 or backlogs[position].since > latest:
            break
        chosen.append(position)
        excess -= backlogs[position].size
    return chosen
