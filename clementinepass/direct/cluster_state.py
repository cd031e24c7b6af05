"""The cluster as a process knows it: configuration, versions and loads."""

from __future__ import annotations

import math
import time
import typing

from loguru import logger

from clementinepass.decisions import desired_versions, ejection, incarnations
from clementinepass.direct import endpoint_loads, endpoints, heartbeats

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from clementinepass.direct import node, routing

#: Seconds before the bound on older versions from which only the newest gets
#: requests: one sent may wait that long at an engine before it begins.
_VERSION_MARGIN = 0.6
#: Seconds after the time from which an older version gets no more requests,
#: and well before its bound, at which those that have not begun are given up.
_BEGIN_SLACK = 0.35
#: Seconds for which an agent's word counts that its link is slow. It says so
#: each second while pieces come slowly.
_CONGESTION_LIFETIME = 2.5
#: Seconds of the time for which a process counts as just started that are not
#: used: its own start, and a request that waits at an engine.
_START_MARGIN = 1.0


class ClusterState:
    """The cluster as a process knows it now.

    :param own: who the entry is.
    :param clock: monotonic seconds, the same as the event loop's.
    """

    __slots__ = (
        '_clock',
        '_named_by_model',
        '_own',
        'ejector',
        'on_named',
        'endpoints',
        'loads',
        'routing',
        'store_contact',
    )

    def __init__(
        self,
        own: node.Node,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._own = own
        self._clock = clock
        #: Called when a version was named, to tell others at once.
        self.on_named: Callable[[], None] | None = None
        #: Returns the monotonic seconds at which the store last answered a
        #: read of what the operator wrote; 0 before the first.
        self.store_contact: Callable[[], float] = float
        #: The configuration in force; ``None`` until one is known.
        self.routing: routing.Routing | None = None
        self.endpoints = endpoints.Endpoints()
        self.loads = endpoint_loads.EndpointLoads()
        self.ejector = ejection.Ejector()
        self._named_by_model: dict[str, desired_versions.DesiredVersions] = {}

    def configured(self, newer: routing.Routing) -> bool:
        """Take a configuration, unless a newer one is in force."""
        current = self.routing
        if current is not None and newer.version <= current.version:
            return False
        self.routing = newer
        logger.bind(
            version=newer.version,
            before=0 if current is None else current.version,
        ).info('configuration in force')
        return True

    @property
    def configuration(self) -> int:
        """Return the version of the configuration in force; 0 for none."""
        return 0 if self.routing is None else self.routing.version

    @property
    def store_age(self) -> float | None:
        """Return how old the store's last word on the operator is, in s."""
        contact = self.store_contact()
        return round(self._clock() - contact, 3) if contact else None

    def named(
        self,
        model: str,
        version: int,
        since: float,
        *,
        guessed: bool = False,
    ) -> bool:
        """Take it that a version was named; tell whether it is news.

        :param guessed: whether the time is a guess, since whoever tells it
            began after the naming.
        """
        known = self._named_by_model.get(model)
        if known is None:
            bound = self._own.duties.version - _VERSION_MARGIN
            known = desired_versions.DesiredVersions(bound)
            self._named_by_model[model] = known
        if not known.record(version, since, is_guess=guessed):
            return False
        logger.bind(
            model=model,
            version=version,
            ago=round(self._clock() - since, 3),
            guessed=guessed,
        ).info('version named')
        if self.on_named is not None:
            self.on_named()
        return True

    def found_named(self, model: str, version: int, now: float) -> None:
        """Take it that a version was named before this process began.

        When isn't known, unless peers tell it. Engines that work on older
        versions are used for as long as a process that has just started
        isn't held to the bound, and no longer.
        """
        duties = self._own.duties
        grace = max(duties.settling - _START_MARGIN, 0)
        since = now + grace + _VERSION_MARGIN - duties.version
        self.named(model, version, since, guessed=True)

    def versions(self, now: float) -> tuple[heartbeats.NamedVersion, ...]:
        """Return the named versions, to tell others."""
        return tuple(
            heartbeats.NamedVersion(
                model,
                version,
                max(now - since, 0),
                version in named.guessed_versions,
            )
            for model, named in self._named_by_model.items()
            for version, since in named.since_by_version.items()
        )

    def wanted_version(self, model: str) -> int:
        """Return the newest version named of a model; 0 for none."""
        named = self._named_by_model.get(model)
        return 0 if named is None else named.newest

    def seconds_left(self, model: str, version: int) -> float | None:
        """Return the time until requests begin on no older version.

        ``None`` for a version that was not named.
        """
        named = self._named_by_model.get(model)
        if named is None or version not in named.since_by_version:
            return None
        passed = self._clock() - named.since_by_version[version]
        return self._own.duties.version - passed

    def required_version(self, engine: routing.Engine, now: float) -> int:
        """Return the oldest version on which requests may begin."""
        named = self._named_by_model.get(engine.model)
        return 0 if named is None else named.oldest_allowed(now)

    def begin_by(self, engine: routing.Engine, version: int) -> float:
        """Return the time by which a request must begin on a version."""
        return self._usable_until(engine, version) + _BEGIN_SLACK

    def begin_bound(self, engine: routing.Engine, version: int) -> float:
        """Return the time of the bound from which none begins on a version."""
        return self._usable_until(engine, version) + _VERSION_MARGIN

    def _usable_until(self, engine: routing.Engine, version: int) -> float:
        """Return the time until which a version gets requests."""
        named = self._named_by_model.get(engine.model)
        return math.inf if named is None else named.usable_until(version)

    def listed(self, listing: endpoints.Listing) -> bool:
        """Take an endpoint's word; tell whether it changed anything.

        Failure: an endpoint crashed and came back under its id. What had
        failed at its earlier start kept it out of placing, and requests that
        others had lost there counted as its load.
        """
        before = self.endpoints.get(listing.id)
        changed = self.endpoints.apply_listing(listing)
        if before is not None and before is not self.endpoints.get(listing.id):
            self.ejector.forget(listing.id)
            self.loads.forget_endpoint(listing.id)
        return changed

    def failed(self, endpoint: endpoints.Endpoint, now: float) -> None:
        """Note a failure, unless it is of a start that is over."""
        if self.endpoints.get(endpoint.listing.id) is endpoint:
            self.ejector.observe_failure(endpoint.listing.id, now)

    def heard_held(self, held: heartbeats.Held, now: float) -> None:
        """Take an agent's word on its engine and its link."""
        host = held.address.rpartition(':')[0]
        for endpoint in self.endpoints.at_ip(host):
            if endpoint.listing.address != held.address:
                continue
            self._note_congestion(endpoint, held, now)
            if _is_current(endpoint, held.started):
                self._note_weights(endpoint, held)

    def heard_load(self, ip: str, load: heartbeats.Load, now: float) -> None:
        """Take an agent's word on the load of the engine beside it."""
        for endpoint in self.endpoints.at_ip(ip):
            if endpoint.weights.version and _is_current(endpoint, load.started):
                endpoint.reported_load.update(load.active, load.queued, now)

    def _note_weights(
        self,
        endpoint: endpoints.Endpoint,
        held: heartbeats.Held,
    ) -> None:
        """Take what an engine holds."""
        endpoint.weights_started_ms = (
            held.started or endpoint.weights_started_ms
        )
        weights = endpoints.Weights(held.version, held.first, held.end)
        if weights == endpoint.weights:
            return
        endpoint.weights = weights
        logger.bind(
            endpoint=endpoint.listing.id,
            version=held.version,
            layers=held.end - held.first,
        ).info('engine holds weights')

    def _note_congestion(
        self,
        endpoint: endpoints.Endpoint,
        held: heartbeats.Held,
        now: float,
    ) -> None:
        was_congested = endpoint.congested_until > now
        endpoint.congested_until = (
            now + _CONGESTION_LIFETIME if held.congested else now
        )
        if held.congested != was_congested:
            logger.bind(
                endpoint=endpoint.listing.id,
                congested=held.congested,
            ).info('link of an endpoint')

    def in_flight_by_endpoint(self, now: float) -> dict[str, int]:
        """Return this entry's requests at endpoints, to tell others.

        Without those whose agents tell the load of all.
        """
        return {
            endpoint.listing.id: endpoint.in_flight
            for endpoint in self.endpoints
            if endpoint.in_flight and not endpoint.reported_load.is_fresh(now)
        }

    def candidates(
        self,
        service: routing.Service,
        now: float,
    ) -> list[endpoints.Endpoint]:
        """Return the endpoints that could run a request of a service."""
        found = self._of_service(service, now)
        engine = service.engine
        if engine is None:
            return found
        version = self.required_version(engine, now)
        return [each for each in found if each.has_weights(engine, version)]

    def loading(self, service: routing.Service, now: float) -> bool:
        """Tell whether some engine of a service takes up weights now."""
        return any(one.is_loading for one in self._of_service(service, now))

    def _of_service(
        self,
        service: routing.Service,
        now: float,
    ) -> list[endpoints.Endpoint]:
        """Return the endpoints of a service that the configuration names.

        Others may list themselves under any name. They are kept, since a
        newer configuration may name it.
        """
        current = self.routing
        if current is None or service.name not in current.services_by_name:
            return []
        return self.endpoints.usable_for_service(service.name, now)

    def forget(self, now: float) -> list[endpoints.Endpoint]:
        """Drop what is long gone; return the endpoints dropped."""
        self.loads.remove_expired(now)
        dropped = self.endpoints.remove_expired(now)
        if dropped:
            self.ejector.retain([one.listing.id for one in self.endpoints])
        return dropped


def _is_current(endpoint: endpoints.Endpoint, started: int) -> bool:
    """Tell whether an agent's word is of the start that is known.

    Failure: an engine crashed and came back empty; a word of its agent from
    before came after that, and requests went to weights that the engine no
    longer held.
    """
    is_over = incarnations.is_superseded(endpoint.weights_started_ms, started)
    return not is_over and endpoint.unusable_at is None
