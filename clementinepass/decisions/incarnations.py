"""Order of announcements of a process that may restart under the same id.

Each start of a process is an incarnation, identified by its start time. A newer
incarnation has no state of the previous one and restarts its heartbeat counter,
so heartbeats only order the announcements of the same incarnation.
"""

from __future__ import annotations

import enum
import typing

#: Start time of a process that does not announce it.
UNKNOWN_START = 0


class Stamp(typing.NamedTuple):
    """Position of an announcement in the order of its sender.

    :param started_at: start time of the process, which grows with each start;
        :data:`UNKNOWN_START` from a sender that does not announce it.
    :param heartbeat: counter that grows with each announcement of one
        incarnation.
    """

    started_at: int
    heartbeat: int


class Order(enum.Enum):
    """Order of an announcement relative to the newest accepted one."""

    #: From a previous incarnation, to be ignored.
    OLDER_START = 'older start'
    #: From the same incarnation, sent earlier.
    OLDER = 'older'
    #: From the same incarnation, sent later, or the same announcement again.
    NEWER = 'newer'
    #: From a newer incarnation: the state of the previous one is obsolete.
    NEW_START = 'new start'


def compare(known: Stamp, received: Stamp) -> Order:
    """Compare an announcement with the newest accepted one.

    An announcement without a start time is taken as one of the known
    incarnation, so that the announcements of senders that never announce a
    start time are ordered by their heartbeats alone.

    :param known: stamp of the newest accepted announcement.
    :param received: stamp of the received announcement.
    """
    if is_superseded(known.started_at, received.started_at):
        return Order.OLDER_START
    if received.started_at > known.started_at:
        return Order.NEW_START
    if received.heartbeat < known.heartbeat:
        return Order.OLDER
    return Order.NEWER


def is_superseded(known: int, received: int) -> bool:
    """Return whether the received start time is that of an old incarnation.

    :param known: newest known start time.
    :param received: start time of the received announcement.
    """
    return UNKNOWN_START < received < known
