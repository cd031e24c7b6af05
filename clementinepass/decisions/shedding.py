"""Which connections to give up when memory or descriptors run short.

Load: more clients than the process has room for, most of which send a part of
a request and stay.  Harm: whoever comes first holds the room, and ordinary
requests are refused for as long as the others stay.  Only connections without a
complete request are given up, and those whose callers have long not read:
nothing has run for the former, and a caller may send its request again.
"""

from __future__ import annotations

import enum
import math
import typing

from clementinepass.decisions import held_bytes

#: Seconds for which a connection is kept in any case. An ordinary request
#: arrives in this time even if a packet of it is lost.
GRACE_SECONDS = 1.0
#: Fraction of the limit of connections given up at once. The choice looks at
#: all connections, and a crowd opens many.
_BATCH_FRACTION = 1 / 32


class Waiting(enum.Enum):
    """What a connection waits for."""

    #: A request, or the rest of it.
    REQUEST = 'request'
    #: That its client reads an answer.
    READER = 'reader'
    #: The next request after an answer.
    NEXT_REQUEST = 'next_request'


class Occupant(typing.NamedTuple):
    """A connection that waits for its client.

    :param since: monotonic time at which the unfinished request began; without
        one, when the connection was opened or last used, or when its client
        last read.
    :param received_bytes: bytes received of the unfinished request.
    :param held_bytes: bytes of memory that giving it up would free.
    """

    since: float
    received_bytes: int = 0
    held_bytes: int = 0
    waits_for: Waiting = Waiting.REQUEST

    def rate(self, now: float) -> float:
        """Return the mean bytes per second of the unfinished request."""
        return self.received_bytes / (now - self.since)


def choose_for_memory(
    occupants: typing.Sequence[Occupant], excess: float, now: float
) -> list[int]:
    """Return the positions of the requests to give up, slowest first.

    A client that sends a byte now and then is as slow as one that has stopped.

    :param excess: bytes to free; not more requests are given up than needed.
    """
    chosen = []
    for position in _slowest(occupants, now):
        if excess <= 0:
            break
        if occupants[position].held_bytes:
            chosen.append(position)
            excess -= occupants[position].held_bytes
    return chosen


def choose_for_descriptors(
    occupants: typing.Sequence[Occupant], limit: float, now: float
) -> list[int]:
    """Return the positions of connections to close in favour of a new one.

    Connections that have brought least for their time go first, then those
    whose clients have read nothing for seconds, several at a time. One that is
    idle after an answer goes only if there is no other, since its caller may be
    about to use it again.

    :param limit: the limit of connections.
    """
    batch = max(1, int(limit * _BATCH_FRACTION))
    return (
        _slowest(occupants, now)[:batch]
        or _oldest(occupants, Waiting.READER, now - held_bytes.STALL_SECONDS)[
            :batch
        ]
        or _oldest(occupants, Waiting.NEXT_REQUEST, now - GRACE_SECONDS)[:1]
    )


def _slowest(occupants: typing.Sequence[Occupant], now: float) -> list[int]:
    """Return the positions of unfinished requests, slowest first.

    Of equally slow ones, such as silent connections, the oldest is first.
    """
    unfinished = _oldest(occupants, Waiting.REQUEST, now - GRACE_SECONDS)
    return sorted(
        unfinished, key=lambda position: occupants[position].rate(now)
    )


def _oldest(
    occupants: typing.Sequence[Occupant], waits_for: Waiting, latest: float
) -> list[int]:
    """Return the positions of connections that wait for something, by age.

    :param latest: only connections that have waited since before then.
    """
    positions = [
        position
        for position, occupant in enumerate(occupants)
        if occupant.waits_for is waits_for and occupant.since < latest
    ]
    return sorted(positions, key=lambda position: occupants[position].since)


class ConnectionLimits(typing.NamedTuple):
    """How many connections of clients a process accepts.

    :param total: most open connections; infinite if the descriptors of the
        process are not limited.
    """

    total: float = math.inf

    @classmethod
    def from_sockets(cls, sockets: int) -> ConnectionLimits:
        """Derive the limit from the sockets of the process; 0 for no limit.

        A quarter is kept for connections to endpoints, to the store and to
        other processes, without which no request could be served.
        """
        return cls(sockets * 3 // 4) if sockets else cls()
