"""Choose how long a read of the store waits, so that the reads end in turns.

Failure: all entries began to read on at the same moment, that of a change,
and waited for the next equally long.  Then all these reads fell silent, without
a reset, and none of them was overdue before 9 s had passed.  No entry knew of a
change meanwhile, so none could tell another: callers got 404 on a route that
had been added five seconds before.

A read that ends in time, with or without a record, shows that the store is
heard on its connection.  So of all entries' reads one ends every step.  Silence
is noticed by the entry whose turn is next, which reads anew on a new connection
and tells the others.  The more entries there are, the later each has its turn;
the reads of all together stay as many.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

#: Seconds between the ends of two reads, over all entries. With the time until
#: a read is overdue, one new read and two heartbeat messages this stays within
#: the 3 s after a disturbance in which no bound holds, also where the entry
#: whose turn it was is gone.
STEP_SECONDS = 0.7
#: Seconds that a read waits at most. An entry that hears of no change by others
#: notices a silent read after that.
MAX_WAIT_SECONDS = 8.0
#: Steps without an end from which a turn is taken that nobody has.
_FREE_TURN_STEPS = 1.5


class Turn(typing.NamedTuple):
    """Where an entry stands among those that read.

    :param before: how many entries come before it in the order of all.
    :param entries: how many there are, itself included.
    """

    position: int
    entry_count: int

    @property
    def step_seconds(self) -> float:
        """Return the seconds between the ends of two reads."""
        return min(STEP_SECONDS, MAX_WAIT_SECONDS / self.entry_count)


def wait_after_change(turn: Turn) -> float:
    """Return the seconds that a read waits which begins with a change.

    All entries hear of it and begin at the same moment, so what they said of
    their reads holds no more.
    """
    return turn.step_seconds * (turn.position + 1)


def wait_after_empty_read(
    turn: Turn, remaining_waits: Iterable[float]
) -> float:
    """Return the seconds that a read waits after one without a record.

    It takes the first turn that nobody has: that of an entry that is gone or
    began anew, else the one after all others.

    :param ends: seconds until reads of the others end.
    """
    step_seconds = turn.step_seconds
    last_taken: float = 0
    for remaining in sorted(remaining_waits):
        if remaining - last_taken > _FREE_TURN_STEPS * step_seconds:
            break
        last_taken = max(last_taken, remaining)
    return min(last_taken + step_seconds, MAX_WAIT_SECONDS)
