"""What an entry believes of endpoints, and from whom.

Endpoints list themselves in the platform's store.  Three things go wrong
there.  An older word of an endpoint may come after a newer one; a heartbeat
number keeps it from being believed.  Leaving is final, and true whenever the
word of it comes.  An entry of the list lapses while the store is away, though
its endpoint lives; it is kept until the endpoint has had time to write again.
And an address is given to another endpoint; a request names the one that it is
meant for, and one that answers otherwise is dropped.
"""

from __future__ import annotations

import typing

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
_LEAST_STREAMS = 2


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
    #: Grows with each word.
    heartbeat: int
    weights: Weights


class Endpoint:
    """An endpoint and what this entry knows of it."""

    __slots__ = (
        'gone_at',
        'heard',
        'in_flight',
        'listing',
        'misdirected',
        'removed_at',
        'strained_until',
        'streams',
        'weights',
    )

    def __init__(self, listing: Listing) -> None:
        self.listing = listing
        #: The newest word on its weights, of the list or of its agent.
        self.weights = listing.weights
        #: Requests of this entry at the endpoint.
        self.in_flight = 0
        #: Whether another answered at its address.
        self.misdirected = False
        #: When the list dropped it; ``None`` while it stands there.
        self.removed_at: float | None = None
        #: When a byte of a stream of it last came; monotonic seconds.
        self.heard: float = 0
        #: Streams of it that have begun and go on.
        self.streams = 0
        #: Until when its machine's link is taken for slow.
        self.strained_until = float('-inf')
        #: When it stops to be used after the list dropped it.
        self.gone_at: float | None = None

    def usable(self, now: float) -> bool:
        """Tell whether requests may be sent to it."""
        if self.listing.draining or self.misdirected:
            return False
        return self.gone_at is None or now < self.gone_at

    def stalled(self, now: float) -> bool:
        """Tell whether it says nothing though streams of it have begun.

        Failure: a machine stood still for four seconds. Its requests were
        given up one by one after more than a second each, and until three had
        been, it looked like the emptiest and drew more. Requests that haven't
        begun say nothing: they may wait for those of other entries.
        """
        silent = now - self.heard > _STALLED_SECONDS
        return silent and self.streams >= _LEAST_STREAMS

    @property
    def loading(self) -> bool:
        """Tell whether its engine takes up a version and runs nothing."""
        return bool(self.weights.version) and not self.weights.end

    def holds(self, engine: routing.Engine, version: int) -> bool:
        """Tell whether it holds all layers of a version, or a newer one."""
        held = self.weights
        if not held.version or held.version < version:
            return False
        return held.first == 0 and held.end >= engine.layers


class Endpoints:
    """All endpoints that an entry knows, by id and by service."""

    __slots__ = ('_by_id', '_by_service')

    def __init__(self) -> None:
        self._by_id: dict[str, Endpoint] = {}
        self._by_service: dict[str, dict[str, Endpoint]] = {}

    def __iter__(self) -> Iterator[Endpoint]:
        """Go through all endpoints."""
        return iter(self._by_id.values())

    def get(self, endpoint_id: str) -> Endpoint | None:
        """Return an endpoint by its id."""
        return self._by_id.get(endpoint_id)

    def listed(self, listing: Listing) -> bool:
        """Take an endpoint's word; tell whether it changed anything."""
        known = self._by_id.get(listing.id)
        if known is None:
            self._add(Endpoint(listing))
            return True
        returned = known.removed_at is not None
        is_old = listing.heartbeat < known.listing.heartbeat and not returned
        if is_old and not listing.draining:
            return False
        if known.listing.draining:
            # Each start has an id of its own, so no endpoint ever returns
            # from leaving; a word that says so was written before.
            listing = listing._replace(draining=True)
        changed = returned or listing != known.listing
        if listing.weights != known.listing.weights:
            known.weights = listing.weights
        known.listing = listing
        known.removed_at = None
        known.gone_at = None
        return changed

    def removed(self, endpoint_id: str, now: float, grace: float) -> bool:
        """Take it that the list dropped an endpoint.

        :param grace: seconds for which it is used all the same, since the
            entry may have lapsed while the store was away.
        """
        known = self._by_id.get(endpoint_id)
        if known is None or known.removed_at is not None:
            return False
        known.removed_at = now
        known.gone_at = now + grace
        return True

    def of_service(self, service: str, now: float) -> list[Endpoint]:
        """Return the endpoints of a service that may be used."""
        return [
            endpoint
            for endpoint in self._by_service.get(service, {}).values()
            if endpoint.usable(now)
        ]

    def forget(self, now: float) -> list[Endpoint]:
        """Drop endpoints that are gone and have no request left."""
        dropped = [
            endpoint
            for endpoint in self._by_id.values()
            if endpoint.gone_at is not None
            and endpoint.gone_at + RELIST_SECONDS < now
            and not endpoint.in_flight
        ]
        for endpoint in dropped:
            del self._by_id[endpoint.listing.id]
            del self._by_service[endpoint.listing.service][endpoint.listing.id]
        return dropped

    def _add(self, endpoint: Endpoint) -> None:
        listing = endpoint.listing
        self._by_id[listing.id] = endpoint
        self._by_service.setdefault(listing.service, {})[listing.id] = endpoint
