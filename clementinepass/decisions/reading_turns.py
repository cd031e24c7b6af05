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
STEP = 0.7
#: Seconds that a read waits at most. An entry that hears of no change by others
#: notices a silent read after that.
LONGEST = 8.0
#: Steps without an end from which a turn is taken that nobody has.
_FREE = 1.5


class Turn(typing.NamedTuple):
    """Where an entry stands among those that read.

    :param before: how many entries come before it in the order of all.
    :param entries: how many there are, itself included.
    """

    before: int
    entries: int

    @property
    def step(self) -> float:
        """Return the seconds between the ends of two reads."""
        return min(STEP, LONGEST / self.entries)


def after_news(turn: Turn) -> float:
    """Return the seconds that a read waits which begins with a change.

    All entries hear of it and begin at the same moment, so what they said of
    their reads holds no more.
    """
    return turn.step * (turn.before + 1)


def after_silence(turn: Turn, ends: Iterable[float]) -> float:
    """Return the seconds that a read waits after one without a record.

    It takes the first turn that nobody has: that of an entry that is gone or
    began anew, else the one after all others.

    :param ends: seconds until reads of the others end.
    """
    step = turn.step
    last: float = 0
    for end in sorted(ends):
        if end - last > _FREE * step:
            break
        last = max(last, end)
    return min(last + step, LONGEST)
