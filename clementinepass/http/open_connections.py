"""The connections of clients to all listeners of a process."""

from __future__ import annotations

import asyncio
import math
import typing

from loguru import logger

from clementinepass.decisions import shedding
from clementinepass.http import reading_turns

#: Seconds after a choice that found nothing to close until the next one.
_CHOICE_INTERVAL_SECONDS = 0.1
#: Minimum number of seconds between log lines on refused connections.
_LOG_INTERVAL_SECONDS = 1.0
#: Bytes that are read at once.
_READ_BYTES = 65536


class ClientConnection(typing.Protocol):
    """A connection as the limit of connections sees it."""

    @property
    def occupant(self) -> shedding.Occupant | None:
        """Return what it waits for; ``None`` if it must not be closed."""

    def close_for_room(self) -> None:
        """Close the connection in favour of a new one."""


class OpenConnections:
    """The open connections of clients, and their limit.

    :param limits: the limit; infinite by default.
    """

    __slots__ = (
        '_connections',
        '_limits',
        '_logged_at',
        '_next_choice_at',
        '_refused_since_log',
        'closed_count',
        'read_buffer',
        'refused_count',
        'turns',
    )

    def __init__(self, limits: shedding.ConnectionLimits | None = None) -> None:
        self._limits = limits or shedding.ConnectionLimits()
        self._connections: set[ClientConnection] = set()
        self._next_choice_at = -math.inf
        self._logged_at = -math.inf
        self._refused_since_log = 0
        #: Number of connections closed in favour of new ones.
        self.closed_count = 0
        #: Number of connections refused.
        self.refused_count = 0
        #: Where input is received, one connection at a time.
        self.read_buffer = memoryview(bytearray(_READ_BYTES))
        #: The turns of connections whose input is costly.
        self.turns = reading_turns.ReadingTurns()

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def add(self, connection: ClientConnection) -> None:
        """Count an open connection."""
        self._connections.add(connection)

    def discard(self, connection: ClientConnection) -> None:
        """Stop counting a connection."""
        self._connections.discard(connection)

    def has_room(self, opening: int = 0) -> bool:
        """Tell whether one more connection may be accepted.

        At the limit, connections that wait for their clients are closed.

        :param opening: connections that are accepted and not counted yet.
        """
        if len(self._connections) + opening < self._limits.total:
            return True
        now = asyncio.get_running_loop().time()
        if now < self._next_choice_at:
            return False
        self._close_some(now)
        if len(self._connections) + opening < self._limits.total:
            return True
        self._next_choice_at = now + _CHOICE_INTERVAL_SECONDS
        return False

    def report_refused(self) -> None:
        """Record that a connection was refused for lack of descriptors."""
        self.refused_count += 1
        self._refused_since_log += 1
        now = asyncio.get_running_loop().time()
        if now - self._logged_at < _LOG_INTERVAL_SECONDS:
            return
        logger.bind(
            refused=self._refused_since_log,
            connections=len(self._connections),
            closed=self.closed_count,
        ).warning('connections refused at their limit')
        self._logged_at = now
        self._refused_since_log = 0

    def _close_some(self, now: float) -> None:
        occupant_by_connection = {
            connection: occupant
            for connection in self._connections
            if (occupant := connection.occupant) is not None
        }
        connections = list(occupant_by_connection)
        for position in shedding.choose_for_descriptors(
            list(occupant_by_connection.values()), self._limits.total, now
        ):
            self.closed_count += 1
            self.discard(connections[position])
            connections[position].close_for_room()
