"""The endpoints that an entry knows, and what was reported about them.

Endpoints list themselves in the platform's store. The list has five faults:

* An older record may arrive after a newer one. Its heartbeat number is lower,
  and it is ignored.
* Draining is final for one start of an endpoint, so that a record that says so
  counts even if it arrives late. While the store is unavailable, only the
  answers of an endpoint say so.
* An endpoint restarts under its id with nothing loaded. All that was known of
  its earlier start is dropped.
* A record expires while the store is unavailable, though its endpoint is alive.
  The endpoint is kept until it has had time to list itself again.
* An address is reassigned to another endpoint. A request names the endpoint
  that it is meant for, and an endpoint is dropped if another answers at its
  address.
"""

from __future__ import annotations

import typing

from clementinepass.decisions import (
    endpoint_backoff,
    incarnations,
    rate_limit,
)

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

    from clementinepass.direct import routing

#: Seconds after the store's return within which the platform guarantees that
#: endpoints list themselves again. An endpoint still missing then is gone.
RELIST_SECONDS = 2.0


#: Seconds without a byte from an endpoint with active streams after which it
#: gets no more requests. A working engine sends events every 60 ms, and every
#: 300 ms while it reads the longest prompts.
_STALLED_SECONDS = 0.6
#: Active streams needed to call an endpoint stalled; the endpoint may have
#: abandoned a single one.
_MIN_STALLED_STREAMS = 2


#: Transit time of a load report. Requests sent within this time before the
#: report arrives may not be included in it.
_REPORT_TRANSIT_SECONDS = 0.03
#: Seconds for which an agent's report of its engine's load is valid: two of the
#: longest intervals between reports.
_REPORT_LIFETIME_SECONDS = 1.0


class Weights(typing.NamedTuple):
    """The layers of one version that an engine has loaded.

    :param version: 0 for none.
    :param first: the first loaded layer.
    :param end: the layer after the last loaded one.
    """

    version: int
    first: int
    end: int


class Listing(typing.NamedTuple):
    """An endpoint's record of itself in the list."""

    id: str
    service: str
    #: ``host:port``.
    address: str
    domain: str
    #: Requests that the endpoint runs at once.
    slots: int
    #: Whether the endpoint drains, by any record or answer of its start.
    draining: bool
    #: Increases with each record of one start.
    heartbeat: int
    weights: Weights
    #: Unix time in milliseconds at which the process started.
    started_ms: int = incarnations.UNKNOWN_START
    #: Offset of the record in the list; increases with each record of any
    #: endpoint.
    record_offset: int = 0
    #: Seconds for which the endpoint stays cold, as of the record's writing.
    cold_left: float = 0

    @property
    def ip(self) -> str:
        """Return the IP address of the endpoint."""
        return self.address.rpartition(':')[0]

    @property
    def stamp(self) -> incarnations.Stamp:
        """Return the stamp that orders the records of an id."""
        return incarnations.Stamp(self.started_ms, self.heartbeat)

    def is_newer_than(self, known: Listing) -> bool:
        """Tell whether this record was written after a known one of its id.

        Draining is final for one start, so that a record that says so counts.
        """
        order = incarnations.compare(known.stamp, self.stamp)
        if order is incarnations.Order.NEW_START:
            return True
        if order is incarnations.Order.OLDER_START:
            return False
        is_drain = self.draining and not known.draining
        return is_drain or self.heartbeat > known.heartbeat

    def has_moved_from(self, earlier: Listing) -> bool:
        """Tell whether service or address differ from an earlier record.

        A process keeps both for as long as it runs. A difference therefore
        shows a restart even if the record does not give its start.
        """
        return (self.service, self.address) != (
            earlier.service,
            earlier.address,
        )


class ReportedLoad:
    """The load of an engine by its agent's report, and requests sent since."""

    __slots__ = ('_sent_at', 'active', 'pace', 'received_at', 'queued')

    def __init__(self) -> None:
        #: Monotonic time at which the report arrived.
        self.received_at = float('-inf')
        self.active = 0
        self.queued = 0
        #: Factor by which the engine is slower than usual.
        self.pace: float = 1
        #: Monotonic times at which this entry sent requests that the report
        #: does not include.
        self._sent_at: list[float] = []

    def update(
        self, active: int, queued: int, now: float, pace: float = 1
    ) -> None:
        """Replace the report by a newer one.

        :param pace: factor by which the engine is slower than usual.
        """
        self.pace = pace
        self.received_at = now
        self.active = active
        self.queued = queued
        self._sent_at = [
            sent_at
            for sent_at in self._sent_at
            if now - sent_at < _REPORT_TRANSIT_SECONDS
        ]

    def is_fresh(self, now: float) -> bool:
        """Tell whether the report is still valid."""
        return now - self.received_at < _REPORT_LIFETIME_SECONDS

    def pace_at(self, now: float) -> float:
        """Return the reported pace; 1 if the report is no longer valid."""
        return self.pace if self.is_fresh(now) else 1

    def record_sent(self, now: float) -> None:
        """Record that this entry sends a request to the engine."""
        self._sent_at.append(now)

    @property
    def sent_since_report(self) -> int:
        """Return the number of requests that the report does not include."""
        return len(self._sent_at)

    @property
    def unstarted(self) -> int:
        """Return the approximate number of requests without an event."""
        return self.queued + self.sent_since_report

    @property
    def total(self) -> int:
        """Return the number of requests at the engine."""
        return self.active + self.unstarted


class Endpoint:
    """One start of an endpoint and what this entry knows of it.

    A restart under the same id gets an object of its own, so that requests that
    end at the previous start do not affect it.
    """

    __slots__ = (
        'unusable_at',
        'last_received_at',
        'in_flight',
        'is_unreadable',
        'listing',
        'is_misdirected',
        'rate_limit',
        'removed_at',
        'replaced_by',
        'reported_load',
        'congested_until',
        'active_streams',
        'backoff',
        'cold_limit',
        'cold_until',
        'fresh_at',
        'said_cold_until',
        'weights',
        'weights_started_ms',
    )

    def __init__(self, listing: Listing) -> None:
        self.listing = listing
        #: The newest report of the loaded weights, from the list or from the
        #: agent, and the start of the engine to which it belongs.
        self.weights = listing.weights
        self.weights_started_ms = listing.started_ms
        #: Requests of this entry in flight at the endpoint.
        self.in_flight = 0
        #: Whether another endpoint answered at the address.
        self.is_misdirected = False
        #: Whether the newest record of the id could not be decoded.
        self.is_unreadable = False
        #: The other endpoint that listed itself at the address later, if any.
        self.replaced_by: Endpoint | None = None
        #: Monotonic time at which the record was removed from the list;
        #: ``None`` while it is listed.
        self.removed_at: float | None = None
        #: Monotonic time of the last byte received on a stream.
        self.last_received_at: float = 0
        #: Streams of this entry that have started and not ended.
        self.active_streams = 0
        #: The pause of the endpoint, if it has turned requests away.
        self.backoff = endpoint_backoff.Backoff()
        #: The limit of requests that the endpoint names, if it does.
        self.rate_limit = rate_limit.RateLimit()
        #: The limit of requests while the endpoint is cold. An entry saves up
        #: no more than one request, as all of them may send at once.
        self.cold_limit = rate_limit.RateLimit(burst_seconds=0)
        #: Monotonic time until which the endpoint is cold.
        self.cold_until = float('-inf')
        #: Monotonic time until which it is cold by its own record, and at which
        #: it was last as cold as after a start.
        self.said_cold_until = float('-inf')
        self.fresh_at = float('-inf')
        #: The last load report of the agent.
        self.reported_load = ReportedLoad()
        #: Monotonic time until which the link of the instance is considered
        #: congested.
        self.congested_until = float('-inf')
        #: Monotonic time at which the endpoint becomes unusable after its
        #: removal from the list.
        self.unusable_at: float | None = None

    def is_usable(self, now: float) -> bool:
        """Tell whether requests may be sent to the endpoint."""
        if self.listing.draining or self.is_misdirected or self.is_unreadable:
            return False
        if self.replaced_by is not None and self.replaced_by.is_listed:
            return False
        return self.unusable_at is None or now < self.unusable_at

    def admits(self, now: float) -> bool:
        """Tell whether its pause and its limits allow a request now."""
        return (
            self.backoff.admits(now)
            and self.rate_limit.admits(now)
            and self.cold_limit.admits(now)
        )

    def seconds_until_admission(self, now: float) -> float:
        """Return the seconds until its pause and its limits allow a request.

        Infinite if its named limit is shared by other entries only.
        """
        return max(
            self.backoff.seconds_left(now),
            self.rate_limit.seconds_left(now),
            min(
                self.cold_limit.seconds_left(now),
                max(self.cold_until - now, 0),
            ),
        )

    def has_closed_since(self, moment: float) -> bool:
        """Tell whether a pause or a limit has begun since a time."""
        return (
            self.backoff.has_paused_since(moment)
            or self.rate_limit.has_begun_since(moment)
            or self.cold_limit.has_begun_since(moment)
        )

    def start_request(self, now: float) -> None:
        """Record that this entry starts an attempt at the endpoint."""
        self.in_flight += 1
        self.backoff.record_sent(now)
        self.rate_limit.record_sent(now)
        self.cold_limit.record_sent(now)
        self.reported_load.record_sent(now)

    def end_request(self, started_at: float) -> None:
        """Record the end of an attempt."""
        self.in_flight -= 1
        self.backoff.record_end(started_at)

    def mark_draining(self) -> bool:
        """Record that an answer of this start says that it drains.

        :returns: whether that was unknown.
        """
        if self.listing.draining:
            return False
        self.listing = self.listing._replace(draining=True)
        return True

    @property
    def is_listed(self) -> bool:
        """Tell whether the endpoint is listed and its record not refuted.

        An answer of another endpoint at the address refutes the record, and so
        does a newer record that cannot be decoded.
        """
        is_refuted = self.is_misdirected or self.is_unreadable
        return self.removed_at is None and not is_refuted

    def is_stalled(self, now: float) -> bool:
        """Tell whether the endpoint sends nothing on its active streams.

        If an instance freezes for four seconds, its requests are abandoned one
        by one after more than a second each. Until three of them have been and
        the endpoint is ejected, it looks like the emptiest one and attracts
        more requests. Requests that have not started prove nothing, as they may
        wait behind those of other entries.
        """
        is_silent = now - self.last_received_at > _STALLED_SECONDS
        return is_silent and self.active_streams >= _MIN_STALLED_STREAMS

    @property
    def is_loading(self) -> bool:
        """Tell whether the engine is loading a version and runs nothing."""
        return bool(self.weights.version) and not self.weights.end

    def has_weights(self, engine: routing.Engine, version: int) -> bool:
        """Tell whether all layers of a version, or a newer one, are loaded."""
        loaded = self.weights
        if not loaded.version or loaded.version < version:
            return False
        return loaded.first == 0 and loaded.end >= engine.layers


class Endpoints:
    """All endpoints that an entry knows, by id and by service."""

    __slots__ = ('_by_ip', '_by_id', '_by_service')

    def __init__(self) -> None:
        self._by_id: dict[str, Endpoint] = {}
        #: Endpoints by IP address and id; an address may be reassigned.
        self._by_ip: dict[str, dict[str, Endpoint]] = {}
        self._by_service: dict[str, dict[str, Endpoint]] = {}

    def __iter__(self) -> Iterator[Endpoint]:
        """Iterate over all endpoints."""
        return iter(self._by_id.values())

    def get(self, endpoint_id: str) -> Endpoint | None:
        """Return the endpoint with an id, or ``None``."""
        return self._by_id.get(endpoint_id)

    def at_ip(self, ip: str) -> list[Endpoint]:
        """Return the endpoints that list themselves at an IP address."""
        return list(self._by_ip.get(ip, {}).values())

    def apply_listing(self, listing: Listing) -> bool:
        """Apply an endpoint's record; return whether it changed anything."""
        endpoint = self._by_id.get(listing.id)
        if endpoint is None:
            self._add(Endpoint(listing))
            return True
        order = incarnations.compare(endpoint.listing.stamp, listing.stamp)
        if order is incarnations.Order.OLDER_START:
            return False
        has_moved = listing.has_moved_from(endpoint.listing)
        if order is incarnations.Order.OLDER:
            is_late_drain = listing.draining and not has_moved
            # If the record does not give its start, a heartbeat number that
            # restarts after a removal is the only sign of a restart.
            may_have_restarted = (
                endpoint.removed_at is not None
                and listing.started_ms == incarnations.UNKNOWN_START
            )
            if not (is_late_drain or may_have_restarted):
                return False
        if order is incarnations.Order.NEW_START or has_moved:
            self._replace_endpoint(endpoint, listing)
            return True
        return self._update(endpoint, listing)

    def mark_unreadable(self, endpoint_id: str) -> bool:
        """Stop using an endpoint whose newest record cannot be decoded.

        A record may have a state that this release of the software does not
        know. Without the mark, the endpoint gets requests by its previous
        record. Everything else known of the endpoint is kept, as its next
        record replaces it. All entries come to the same result, as the store
        keeps only the newest record of a key.
        """
        endpoint = self._by_id.get(endpoint_id)
        if endpoint is None or endpoint.is_unreadable:
            return False
        endpoint.is_unreadable = True
        return True

    def mark_removed(self, endpoint_id: str, now: float, grace: float) -> bool:
        """Apply the removal of an endpoint's record from the list.

        :param grace: seconds for which the endpoint remains usable, as its
            record may have expired while the store was unavailable.
        """
        endpoint = self._by_id.get(endpoint_id)
        if endpoint is None or endpoint.removed_at is not None:
            return False
        endpoint.removed_at = now
        endpoint.unusable_at = now + grace
        return True

    def usable_for_service(self, service: str, now: float) -> list[Endpoint]:
        """Return the usable endpoints of a service."""
        return [
            endpoint
            for endpoint in self._by_service.get(service, {}).values()
            if endpoint.is_usable(now)
        ]

    def remove_expired(self, now: float) -> list[Endpoint]:
        """Remove and return endpoints that are gone and have no requests."""
        expired = [
            endpoint
            for endpoint in self._by_id.values()
            if endpoint.unusable_at is not None
            and endpoint.unusable_at + RELIST_SECONDS < now
            and not endpoint.in_flight
        ]
        for endpoint in expired:
            self._remove(endpoint)
        return expired

    def _update(self, endpoint: Endpoint, listing: Listing) -> bool:
        """Apply a later record of the known start."""
        if endpoint.listing.draining:
            # Draining is final: a record without it was written before.
            listing = listing._replace(draining=True)
        if not listing.started_ms:
            listing = listing._replace(started_ms=endpoint.listing.started_ms)
        is_relisted = endpoint.removed_at is not None
        is_same = listing == endpoint.listing._replace(
            record_offset=listing.record_offset
        )
        has_changed = is_relisted or endpoint.is_unreadable or not is_same
        is_current = not incarnations.is_superseded(
            endpoint.weights_started_ms, listing.started_ms
        )
        if listing.weights != endpoint.listing.weights and is_current:
            endpoint.weights = listing.weights
        endpoint.listing = listing
        endpoint.is_unreadable = False
        endpoint.removed_at = None
        endpoint.unusable_at = None
        self._resolve_address(endpoint)
        return has_changed

    def _replace_endpoint(self, previous: Endpoint, listing: Listing) -> None:
        """Replace an endpoint by its newer start.

        Were the state of the earlier start kept, an endpoint that had drained
        or was misdirected would never be used again after its restart, and one
        that restarts without weights would get requests for its former ones.
        """
        is_same_start = listing.started_ms and (
            listing.started_ms == previous.listing.started_ms
        )
        if is_same_start and previous.listing.draining:
            # The endpoint has moved, yet draining is final for one start.
            listing = listing._replace(draining=True)
        replacement = Endpoint(listing)
        if (
            listing.started_ms
            and previous.weights_started_ms == listing.started_ms
        ):
            # The report of the agent arrived before the record.
            replacement.weights = previous.weights
        self._remove(previous)
        self._add(replacement)

    def _remove(self, endpoint: Endpoint) -> None:
        listing = endpoint.listing
        del self._by_id[listing.id]
        del self._by_service[listing.service][listing.id]
        at_ip_address = self._by_ip[listing.ip]
        del at_ip_address[listing.id]
        for other in at_ip_address.values():
            if other.replaced_by is endpoint:
                other.replaced_by = None
        if not at_ip_address:
            del self._by_ip[listing.ip]

    def _add(self, endpoint: Endpoint) -> None:
        listing = endpoint.listing
        self._by_id[listing.id] = endpoint
        self._by_service.setdefault(listing.service, {})[listing.id] = endpoint
        self._by_ip.setdefault(listing.ip, {})[listing.id] = endpoint
        self._resolve_address(endpoint)

    def _resolve_address(self, endpoint: Endpoint) -> None:
        """Let the newest record at an address replace the older ones there.

        This applies within one service only. A wrong record is refuted by the
        first request that is sent according to it, but a request must never be
        sent to another service.

        After a power loss of all instances, the list still names the previous
        endpoints beside those that have just started. Without this rule an
        entry sends a request to each previous endpoint in turn, until it has no
        attempts left.
        """
        listing = endpoint.listing
        endpoint.replaced_by = None
        for other in self._by_ip[listing.ip].values():
            if other is endpoint or listing.has_moved_from(other.listing):
                continue
            if other.listing.record_offset < listing.record_offset:
                other.replaced_by = endpoint
            elif other.listing.record_offset > listing.record_offset:
                endpoint.replaced_by = other
