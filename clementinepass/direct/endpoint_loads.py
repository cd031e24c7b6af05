"""How many requests are at each endpoint, by the newest word on it.

An agent tells the load of its engine to the entries that use it.  Where none
does, as with plain services, entries go by what they tell one another.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from clementinepass.direct import endpoints

#: Seconds for which the last report of an agent that fell silent is the least
#: that is assumed. Some entries may still hear it; these count to others no
#: requests there.
_LAST_REPORT_SECONDS = 5.0
#: Seconds after which another entry's count of its requests says nothing.
_COUNT_SECONDS = 2.5


class _PeerCounts:
    """Another entry's requests at endpoints, as it last told."""

    __slots__ = ('at', 'in_flight_by_endpoint')

    def __init__(
        self,
        in_flight_by_endpoint: dict[str, int],
        at: float,
    ) -> None:
        self.in_flight_by_endpoint = in_flight_by_endpoint
        self.at = at


class EndpointLoads:
    """The requests at endpoints, of this entry and all others."""

    __slots__ = ('_counts_by_peer',)

    def __init__(self) -> None:
        self._counts_by_peer: dict[str, _PeerCounts] = {}

    def heard(
        self,
        peer: str,
        in_flight_by_endpoint: dict[str, int],
        now: float,
    ) -> None:
        """Take another entry's counts of its requests at endpoints."""
        self._counts_by_peer[peer] = _PeerCounts(in_flight_by_endpoint, now)

    def total(self, endpoint: endpoints.Endpoint, now: float) -> int:
        """Return the requests at an endpoint."""
        reported = endpoint.reported
        if reported.is_fresh(now):
            return max(reported.total, endpoint.in_flight)
        name = endpoint.listing.id
        others = sum(
            peer.in_flight_by_endpoint.get(name, 0)
            for peer in self._counts_by_peer.values()
            if now - peer.at < _COUNT_SECONDS
        )
        counted = endpoint.in_flight + others
        if now - reported.at < _LAST_REPORT_SECONDS:
            return max(counted, reported.active + reported.queued)
        return counted

    def unbegun(self, endpoint: endpoints.Endpoint, now: float) -> float:
        """Return how many requests there have no event yet.

        Entries tell only how many they have there; those of others are taken
        to have begun as often as this entry's.
        """
        if endpoint.reported.is_fresh(now):
            return endpoint.reported.unbegun
        if not endpoint.in_flight:
            return 0
        waiting = max(endpoint.in_flight - endpoint.streams, 0)
        return waiting / endpoint.in_flight * self.total(endpoint, now)

    def forget_endpoint(self, endpoint_id: str) -> None:
        """Drop what is known of the start before of an endpoint."""
        for peer in self._counts_by_peer.values():
            peer.in_flight_by_endpoint.pop(endpoint_id, None)

    def forget(self, now: float) -> None:
        """Drop counts that say nothing any more."""
        for peer in list(self._counts_by_peer):
            if now - self._counts_by_peer[peer].at > _COUNT_SECONDS:
                del self._counts_by_peer[peer]
