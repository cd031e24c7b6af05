"""What is known of endpoints, and from whom.

Endpoints list themselves in the platform's store.  Five things go wrong
there.  An older word of an endpoint may come after a newer one; a heartbeat
number keeps it from being believed.  Leaving is final for one start of an
endpoint, and true whenever the word of it comes.  An endpoint starts again
under its id and holds nothing of before; all that was known of its earlier
start is dropped.  An entry of the list lapses while the store is away, though
its endpoint lives; it is kept until the endpoint has had time to write again.
And an address is given to another endpoint; a request names the one that it is
meant for, and one that answers otherwise is dropped.
"""

from __future__ import annotations

import typing

from clementinepass.decisions import incarnations

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

    from clementinepass.direct import routing

#: Seconds after the store's return within which endpoints list themselves
#: again; one that is still missing then is gone. The platform's promise.
RELIST_SECONDS = 2.0


#: Seconds without a byte of an endpoint, though streams of it have begun, after
#: which it gets no more. An engine that works sends events each 60 ms, and one
#: that reads the longest prompts each 300.
_STALLED_SECONDS = 0.6
#: Streams that say so; a single one may have been given up there.
_MIN_STALLED_STREAMS = 2


#: Seconds that a report is on its way: what was sent there since then may have
#: come after it was made.
_REPORT_TRANSIT_SECONDS = 0.03
#: Seconds for which an agent's report of its engine's load is gone by: two of
#: the longest intervals between reports.
_REPORT_LIFETIME_SECONDS = 1.0


class Weights(typing.NamedTuple):
    """The layers of one version that an engine has loaded.

    :param version: 0 for none.
    :param end: the first layer that it doesn't hold.
    """

    version: int
    first: int
    end: int


class Listing(typing.NamedTuple):
    """An endpoint's own word in the list."""

    id: str
    service: str
    #: ``host:port``.
    address: str
    domain: str
    #: Requests that it runs at a time.
    slots: int
    draining: bool
    #: Grows with each word of one start.
    heartbeat: int
    weights: Weights
    #: When its process started, in milliseconds of Unix time.
    started_ms: int = incarnations.UNKNOWN_START
    #: Grows with each word in the list, whosever it is.
    record_offset: int = 0

    @property
    def host(self) -> str:
        """Return the IP number of its address."""
        return self.address.rpartition(':')[0]

    @property
    def stamp(self) -> incarnations.Stamp:
        """Return what orders it among the words of its id."""
        return incarnations.Stamp(self.started_ms, self.heartbeat)

    def has_moved_from(self, earlier: Listing) -> bool:
        """Tell whether it names another place than a word before.

        A process keeps its service and address for as long as it runs, so
        this too is another start, also where none is told.
        """
        return (self.service, self.address) != (
            earlier.service,
            earlier.address,
        )


class ReportedLoad:
    """The load of an engine as its agent told it, and what was sent since."""

    __slots__ = ('_sent_at', 'active', 'received_at', 'queued')

    def __init__(self) -> None:
        #: When it was told; monotonic seconds.
        self.received_at = float('-inf')
        self.active = 0
        self.queued = 0
        #: When this entry sent what it doesn't know of; monotonic seconds.
        self._sent_at: list[float] = []

    def update(self, active: int, queued: int, now: float) -> None:
        """Take a newer report."""
        self.received_at = now
        self.active = active
        self.queued = queued
        self._sent_at = [
            sent_at
            for sent_at in self._sent_at
            if now - sent_at < _REPORT_TRANSIT_SECONDS
        ]

    def is_fresh(self, now: float) -> bool:
        """Tell whether it still says something."""
        return now - self.received_at < _REPORT_LIFETIME_SECONDS

    def record_sent(self, now: float) -> None:
        """Note that this entry sends a request there."""
        self._sent_at.append(now)

    @property
    def sent_since_report(self) -> int:
        """Return how many requests the report can't know of."""
        return len(self._sent_at)

    @property
    def unstarted(self) -> int:
        """Return how many requests there have no event yet, about."""
        return self.queued + self.sent_since_report

    @property
    def total(self) -> int:
        """Return how many requests are there."""
        return self.active + self.unstarted


class Endpoint:
    """One start of an endpoint and what this entry knows of it.

    A newer start under the same id is another object, so that requests that
    still end at the one before leave no trace on it.
    """

    __slots__ = (
        'unusable_at',
        'last_received_at',
        'in_flight',
        'is_unreadable',
        'listing',
        'is_misdirected',
        'removed_at',
        'replaced_by',
        'reported_load',
        'congested_until',
        'active_streams',
        'weights',
        'weights_started_ms',
    )

    def __init__(self, listing: Listing) -> None:
        self.listing = listing
        #: The newest word on its weights, of the list or of its agent, and
        #: the start of the engine that it is of.
        self.weights = listing.weights
        self.weights_started_ms = listing.started_ms
        #: Requests of this entry at the endpoint.
        self.in_flight = 0
        #: Whether another answered at its address.
        self.is_misdirected = False
        #: Whether the newest record under its id names no endpoint.
        self.is_unreadable = False
        #: The endpoint that last listed itself at its address, if another.
        self.replaced_by: Endpoint | None = None
        #: When the list dropped it; ``None`` while it stands there.
        self.removed_at: float | None = None
        #: When a byte of a stream of it last came; monotonic seconds.
        self.last_received_at: float = 0
        #: Streams of it that have begun and go on.
        self.active_streams = 0
        #: What its agent last told of its load.
        self.reported_load = ReportedLoad()
        #: Until when its machine's link is taken for slow.
        self.congested_until = float('-inf')
        #: When it stops to be used after the list dropped it.
        self.unusable_at: float | None = None

    def is_usable(self, now: float) -> bool:
        """Tell whether requests may be sent to it."""
        if self.listing.draining or self.is_misdirected or self.is_unreadable:
            return False
        if self.replaced_by is not None and self.replaced_by.is_listed:
            return False
        return self.unusable_at is None or now < self.unusable_at

    @property
    def is_listed(self) -> bool:
        """Tell whether nothing speaks against its word in the list."""
        is_refuted = self.is_misdirected or self.is_unreadable
        return self.removed_at is None and not is_refuted

    def is_stalled(self, now: float) -> bool:
        """Tell whether it says nothing though streams of it have begun.

        Failure: a machine stood still for four seconds. Its requests were
        given up one by one after more than a second each, and until three had
        been, it looked like the emptiest and drew more. Requests that haven't
        begun say nothing: they may wait for those of other entries.
        """
        is_silent = now - self.last_received_at > _STALLED_SECONDS
        return is_silent and self.active_streams >= _MIN_STALLED_STREAMS

    @property
    def is_loading(self) -> bool:
        """Tell whether its engine takes up a version and runs nothing."""
        return bool(self.weights.version) and not self.weights.end

    def has_weights(self, engine: routing.Engine, version: int) -> bool:
        """Tell whether it holds all layers of a version, or a newer one."""
        loaded = self.weights
        if not loaded.version or loaded.version < version:
            return False
        return loaded.first == 0 and loaded.end >= engine.layers


class Endpoints:
    """All endpoints that an entry knows, by id and by service."""

    __slots__ = ('_by_host', '_by_id', '_by_service')

    def __init__(self) -> None:
        self._by_id: dict[str, Endpoint] = {}
        #: Those at an IP number by id: it may be used again.
        self._by_host: dict[str, dict[str, Endpoint]] = {}
        self._by_service: dict[str, dict[str, Endpoint]] = {}

    def __iter__(self) -> Iterator[Endpoint]:
        """Go through all endpoints."""
        return iter(self._by_id.values())

    def get(self, endpoint_id: str) -> Endpoint | None:
        """Return an endpoint by its id."""
        return self._by_id.get(endpoint_id)

    def at_ip(self, ip: str) -> list[Endpoint]:
        """Return the endpoints that list themselves at an IP number."""
        return list(self._by_host.get(ip, {}).values())

    def apply_listing(self, listing: Listing) -> bool:
        """Take an endpoint's word; tell whether it changed anything."""
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
            # Where no start is told, counts that begin anew after the list
            # dropped it are all that a restart shows.
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
        """Take it that the newest record of an id names no endpoint.

        Failure: an endpoint's state was one that this version doesn't know,
        and it went on getting requests by the record before. Nothing else
        known of it is touched: its next record tells it all. It holds in all
        entries alike, since only the newest record of a key is kept.
        """
        endpoint = self._by_id.get(endpoint_id)
        if endpoint is None or endpoint.is_unreadable:
            return False
        endpoint.is_unreadable = True
        return True

    def mark_removed(self, endpoint_id: str, now: float, grace: float) -> bool:
        """Take it that the list dropped an endpoint.

        :param grace: seconds for which it is used all the same, since the
            entry may have lapsed while the store was away.
        """
        endpoint = self._by_id.get(endpoint_id)
        if endpoint is None or endpoint.removed_at is not None:
            return False
        endpoint.removed_at = now
        endpoint.unusable_at = now + grace
        return True

    def usable_for_service(self, service: str, now: float) -> list[Endpoint]:
        """Return the endpoints of a service that may be used."""
        return [
            endpoint
            for endpoint in self._by_service.get(service, {}).values()
            if endpoint.is_usable(now)
        ]

    def remove_expired(self, now: float) -> list[Endpoint]:
        """Drop endpoints that are gone and have no request left."""
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
        """Take a later word of the start that is known."""
        if endpoint.listing.draining:
            # A process that leaves never stays; a word that says so was
            # written before.
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
        """Put a newer start in the place of the one that is known.

        Failure: an endpoint that had left, or that another had answered for,
        was never used again after it came back under its id; one that came
        back empty was sent requests for the weights that it had held.
        """
        is_same_start = listing.started_ms and (
            listing.started_ms == previous.listing.started_ms
        )
        if is_same_start and previous.listing.draining:
            # Moved, by its word; leaving is final for one start all the same.
            listing = listing._replace(draining=True)
        replacement = Endpoint(listing)
        if (
            listing.started_ms
            and previous.weights_started_ms == listing.started_ms
        ):
            # Its agent was faster than the list.
            replacement.weights = previous.weights
        self._remove(previous)
        self._add(replacement)

    def _remove(self, endpoint: Endpoint) -> None:
        listing = endpoint.listing
        del self._by_id[listing.id]
        del self._by_service[listing.service][listing.id]
        at_host = self._by_host[listing.host]
        del at_host[listing.id]
        for other in at_host.values():
            if other.replaced_by is endpoint:
                other.replaced_by = None
        if not at_host:
            del self._by_host[listing.host]

    def _add(self, endpoint: Endpoint) -> None:
        listing = endpoint.listing
        self._by_id[listing.id] = endpoint
        self._by_service.setdefault(listing.service, {})[listing.id] = endpoint
        self._by_host.setdefault(listing.host, {})[listing.id] = endpoint
        self._resolve_address(endpoint)

    def _resolve_address(self, endpoint: Endpoint) -> None:
        """Have the newest word at an address replace the others there.

        Only of the same service: a word that is wrong is refuted as soon as a
        request is sent by it, and to another service none may ever be.

        Failure: all machines lost their power and came back. The list still
        named the endpoints of before beside those that had just started; each
        entry sent to each of them once, and had no attempts left for others.
        """
        listing = endpoint.listing
        endpoint.replaced_by = None
        for other in self._by_host[listing.host].values():
            if other is endpoint or listing.has_moved_from(other.listing):
                continue
            if other.listing.record_offset < listing.record_offset:
                other.replaced_by = endpoint
            elif other.listing.record_offset > listing.record_offset:
                endpoint.replaced_by = other
