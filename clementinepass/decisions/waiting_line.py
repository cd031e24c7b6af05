"""The order of requests that wait for the limits of a service's endpoints."""

from __future__ import annotations

import itertools
import typing


class Ticket(typing.NamedTuple):
    """The place of a waiting request: by urgency, then by arrival.

    :param urgency: 0 is served first.
    """

    urgency: int
    number: int


class WaitingLine:
    """Requests to one service that wait."""

    __slots__ = ('_numbers', '_tickets')

    def __init__(self) -> None:
        self._tickets: set[Ticket] = set()
        self._numbers = itertools.count()

    def join(self, urgency: int) -> Ticket:
        """Add a request and return its ticket."""
        ticket = Ticket(urgency, next(self._numbers))
        self._tickets.add(ticket)
        return ticket

    def leave(self, ticket: Ticket) -> None:
        """Remove a request that waits no longer."""
        self._tickets.discard(ticket)

    def count_ahead(self, ticket: Ticket) -> int:
        """Return the number of requests that are served before."""
        return sum(other < ticket for other in self._tickets)
