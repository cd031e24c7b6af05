"""Order what is told of a process that may start again under its id.

Each start of a process is an incarnation of it, told apart by when it was.
A newer incarnation knows nothing of the one before, and counts its heartbeats
anew, so heartbeats order words of one incarnation only.
"""

from __future__ import annotations

import enum
import typing

#: The start of a process that doesn't tell it.
UNKNOWN_START = 0


class Stamp(typing.NamedTuple):
    """When a word was spoken, by the speaker's own counts.

    :param started: when the process started; grows from one start to the
        next. :data:`UNTOLD` from writers that don't say it.
    :param heartbeat: grows with each word of one start.
    """

    started_at: int
    heartbeat: int


class Order(enum.Enum):
    """How a word stands to the newest one that was believed."""

    #: Of a start that is over; it changes nothing.
    OLDER_START = 'older start'
    #: Of the same start, spoken before.
    OLDER = 'older'
    #: Of the same start, spoken since, or the same word again.
    NEWER = 'newer'
    #: Of a newer start: nothing known of the one before holds any more.
    NEW_START = 'new start'


def compare(known: Stamp, received: Stamp) -> Order:
    """Compare a word with the newest one that was believed.

    A word that doesn't say its start is taken for one of the start that is
    known, so that writers that never say it are ordered by heartbeats alone.
    """
    if is_superseded(known.started_at, received.started_at):
        return Order.OLDER_START
    if received.started_at > known.started_at:
        return Order.NEW_START
    if received.heartbeat < known.heartbeat:
        return Order.OLDER
    return Order.NEWER


def is_superseded(known: int, received: int) -> bool:
    """Tell whether a start was followed by the one that is known."""
    return UNKNOWN_START < received < known
