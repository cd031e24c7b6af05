"""The number of requests at each endpoint, by the newest reports.

An agent reports the load of its engine to the entries that use the engine. For
endpoints without reports, such as plain services, entries announce their own
counts to one another.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from clementinepass.direct import endpoints

#: Seconds for which the last report of a silent agent remains a lower bound.
#: Other entries may still receive its reports, and then do not announce their
#: requests there.
_STALE_REPORT_SECONDS = 5.0
#: Seconds for which another entry's counts of its requests are valid.
_PEER_COUNT_LIFETIME_SECONDS = 2.5


class _PeerCounts:
    """The requests of another entry, as it last announced them."""

    __slots__ = ('received_at', 'in_flight_by_endpoint')

    def __init__(
        self,
        in_flight_by_endpoint: dict[str, int],
        received_at: float,
    ) -> None:
        self.in_flight_by_endpoint = in_flight_by_endpoint
        self.received_at = received_at


class EndpointLoads:
    """The requests of all entries at endpoints."""

    __slots__ = ('_counts_by_peer',)

    def __init__(self) -> None:
        self._counts_by_peer: dict[str, _PeerCounts] = {}

    def update_peer_counts(
        self,
        peer: str,
        in_flight_by_endpoint: dict[str, int],
        now: float,
    ) -> None:
        """Replace another entry's counts of its requests at endpoints."""
        self._counts_by_peer[peer] = _PeerCounts(in_flight_by_endpoint, now)

    def total(self, endpoint: endpoints.Endpoint, now: float) -> int:
        """Return the number of requests at an endpoint."""
        reported_load = endpoint.reported_load
        if reported_load.is_fresh(now):
            return max(reported_load.total, endpoint.in_flight)
        endpoint_id = endpoint.listing.id
        in_flight_of_peers = sum(
            peer_counts.in_flight_by_endpoint.get(endpoint_id, 0)
            for peer_counts in self._counts_by_peer.values()
            if now - peer_counts.received_at < _PEER_COUNT_LIFETIME_SECONDS
        )
        counted = endpoint.in_flight + in_flight_of_peers
        if now - reported_load.received_at < _STALE_REPORT_SECONDS:
            return max(counted, reported_load.active + reported_load.queued)
        return counted

    def unstarted(self, endpoint: endpoints.Endpoint, now: float) -> float:
        """Return the number of requests at an endpoint without an event.

        Entries announce only how many requests they have there. The share that
        has started is assumed to be the same as for this entry.
        """
        if endpoint.reported_load.is_fresh(now):
            return endpoint.reported_load.unstarted
        if not endpoint.in_flight:
            return 0
        unstarted_here = max(endpoint.in_flight - endpoint.active_streams, 0)
        return unstarted_here / endpoint.in_flight * self.total(endpoint, now)

    def forget_endpoint(self, endpoint_id: str) -> None:
        """Drop the counts for the previous start of an endpoint."""
        for peer_counts in self._counts_by_peer.values():
            peer_counts.in_flight_by_endpoint.pop(endpoint_id, None)

    def remove_expired(self, now: float) -> None:
        """Drop counts that are no longer valid."""
        for peer in list(self._counts_by_peer):
            if (
                now - self._counts_by_peer[peer].received_at
                > _PEER_COUNT_LIFETIME_SECONDS
            ):
                del self._counts_by_peer[peer]
