"""Choose how long reads of the store wait, so that they end in turn.

Entries that start their reads at the same moment, that of a change, and wait
equally long for the next one all notice a stalled store at the same late
moment. When the store stalled without resetting connections, no read was
overdue before 9 s had passed. No entry knew of a change meanwhile that it could
announce to the others, and callers got 404 on a route that had been added five
seconds before.

A read that ends in time, with or without a record, shows that the store still
reaches the entry on that connection. So of the reads of all entries one ends
per step. A stall is noticed by the entry whose turn is next, which reads again
on a new connection and informs the others. The more entries there are, the
later each has its turn; the rate of all reads together stays the same.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

#: Seconds between the ends of two reads, over all entries. Together with the
#: time until a read is overdue, one new read and two heartbeats this stays
#: within the 3 s after a disturbance in which no time limit applies, even if
#: the entry whose turn it was is gone.
STEP_SECONDS = 0.7
#: Longest time in seconds for which a read waits. An entry that receives no
#: changes from others notices a stalled read only after this time.
MAX_WAIT_SECONDS = 8.0
#: Steps without the end of a read after which a turn counts as free.
_FREE_TURN_STEPS = 1.5


class Turn(typing.NamedTuple):
    """The position of an entry among those that read.

    :param position: number of entries before it in the order of all.
    :param entry_count: number of entries, this one included.
    """

    position: int
    entry_count: int

    @property
    def step_seconds(self) -> float:
        """Return the seconds between the ends of two reads."""
        return min(STEP_SECONDS, MAX_WAIT_SECONDS / self.entry_count)


def wait_after_change(turn: Turn) -> float:
    """Return the seconds for which a read waits that starts at a change.

    All entries receive the change and start reads at the same moment, so the
    ends that they announced for their earlier reads no longer hold.
    """
    return turn.step_seconds * (turn.position + 1)


def wait_after_empty_read(
    turn: Turn, remaining_waits: Iterable[float]
) -> float:
    """Return the seconds for which a read waits after one without a record.

    The read takes the first free turn: that of an entry that is gone or has
    started again, or else the one after all others.

    :param remaining_waits: seconds until the reads of the other entries end.
    """
    step_seconds = turn.step_seconds
    last_taken: float = 0
    for remaining in sorted(remaining_waits):
        if remaining - last_taken > _FREE_TURN_STEPS * step_seconds:
            break
        last_taken = max(last_taken, remaining)
    return min(last_taken + step_seconds, MAX_WAIT_SECONDS)
