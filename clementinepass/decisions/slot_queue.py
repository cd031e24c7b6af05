"""Requests that wait for a free slot of one engine, in the order of urgency.

At nine tenths of their capacity, engines have queues that change by two or
three requests between two load reports, and each of these delays a first event
by an eighth of a second. Entries that choose an engine by its last report
therefore send to engines that are already full, while others have free slots.

When no engine is known to have room, an entry instead asks the agents of a few
engines for a slot. An agent offers a slot when its engine has one, to the most
urgent request that asked. So requests wait at the entries until a slot is free
at any of several engines, and less urgent ones and those that will be late
anyway do not delay the others.
"""

from __future__ import annotations

import heapq
import typing

#: Seconds for which an offered slot is counted as taken beside a newer report
#: of the engine. The offer and the request cross the network in that time.
_TRANSIT_SECONDS = 0.02
#: Most requests that wait for one engine. An engine serves fewer in the longest
#: time for which callers wait.
_MAX_REQUESTS = 512


class SlotRequest(typing.NamedTuple):
    """A request that waits at an entry.

    :param entry: the IP address of the entry.
    :param number: the entry's number of the request.
    :param urgency: 0 is served first.
    :param late_at: monotonic seconds from which on its answer will be late.
    :param expires_at: monotonic seconds until which it waits.
    """

    entry: str
    number: int
    urgency: int
    late_at: float
    expires_at: float


class SlotQueue:
    """The requests that wait for the slots of one engine."""

    __slots__ = ('_free_slots', '_offered_at', '_waiting')

    def __init__(self) -> None:
        #: Slots that were free at the engine's last report.
        self._free_slots = 0
        #: Monotonic seconds of the offers that the report does not include, by
        #: entry and number of the request.
        self._offered_at: dict[tuple[str, int], float] = {}
        #: The waiting requests, in the order of their arrival.
        self._waiting: list[SlotRequest] = []

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def add(self, request: SlotRequest) -> bool:
        """Add a request; return whether there was room for it."""
        if len(self._waiting) >= _MAX_REQUESTS:
            return False
        self._waiting.append(request)
        return True

    def update(self, free_slots: int, now: float) -> None:
        """Apply a report of the engine.

        :param free_slots: slots that are free; 0 if it takes no requests.
        """
        self._free_slots = free_slots
        self._offered_at = {
            key: offered_at
            for key, offered_at in self._offered_at.items()
            if now - offered_at < _TRANSIT_SECONDS
        }
        self._drop_expired(now)

    def give_back(self, entry: str, number: int) -> None:
        """Record that the slot offered to a request is not used."""
        self._offered_at.pop((entry, number), None)

    def take_offers(self, now: float) -> list[SlotRequest]:
        """Return the requests to which a slot is offered now."""
        self._drop_expired(now)
        count = self._free_slots - len(self._offered_at)
        if count <= 0 or not self._waiting:
            return []
        offers = heapq.nsmallest(
            count,
            self._waiting,
            key=lambda waiting: (waiting.late_at <= now, waiting.urgency),
        )
        taken = set(map(id, offers))
        self._waiting = [
            waiting for waiting in self._waiting if id(waiting) not in taken
        ]
        self._offered_at.update(
            ((request.entry, request.number), now) for request in offers
        )
        return offers

    def _drop_expired(self, now: float) -> None:
        self._waiting = [
            waiting for waiting in self._waiting if waiting.expires_at > now
        ]
