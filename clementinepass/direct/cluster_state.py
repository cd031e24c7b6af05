"""A process's view of the cluster: configuration, versions and loads."""

from __future__ import annotations

import math
import time
import typing

from loguru import logger

from clementinepass.decisions import (
    desired_versions,
    ejection,
    eligibility,
    incarnations,
)
from clementinepass.direct import (
    cold_endpoints,
    crash_evidence,
    endpoint_limits,
    endpoint_loads,
    endpoints,
    evacuation,
    heartbeats,
    suspension,
    uptime,
)

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from clementinepass.direct import node, routing, serving

#: Seconds before the bound on older versions at which they stop getting new
#: requests: a request may wait that long in an engine's queue before it starts.
_VERSION_MARGIN_SECONDS = 0.6
#: Seconds from then until requests for the older version that have not started
#: are abandoned. This is well before the version's bound.
_START_SLACK_SECONDS = 0.35
#: Seconds for which an agent's report that its link is congested counts. The
#: agent repeats it each second while pieces arrive slowly.
_CONGESTION_LIFETIME_SECONDS = 2.5
#: Seconds subtracted from the settling time, in which the bound on older
#: versions does not apply to a process that has just started: the time counts
#: once its interpreter runs, and a request may wait at an engine.
_STARTUP_MARGIN_SECONDS = 1.0

#: Shift of a version's time from which on it is logged. Ages in heartbeats
#: differ by the milliseconds that these take.
_LOGGED_SHIFT_SECONDS = 0.05
#: Shortest suspension that is accounted for: two clocks are read one after the
#: other.
_MIN_SUSPENSION_SECONDS = 0.1
#: Where a version's time comes from, unless a peer's IP address: the store's
#: records, and the start of this process if they were written before it.
_STORE_SOURCE = 'store'
_START_SOURCE = 'start'

#: Pace from which on an engine counts as slow.
_SLOW_PACE = 1.2
#: Seconds after the last report of a slow engine in which the engines of its
#: service count as differing in speed.
_SLOW_MEMORY_SECONDS = 10.0


class ClusterState:
    """The cluster as this process knows it at present.

    :param local_node: the local node.
    :param clock: returns monotonic seconds, the same as the event loop's.
    :param started_at: monotonic seconds at which the process started; now if
        absent.
    """

    __slots__ = (
        '_clock',
        '_desired_by_model',
        '_local_node',
        '_slow_seen_at_by_service',
        '_started_at',
        'cold',
        'crash_evidence',
        'ejector',
        'evacuated',
        'on_desired_version',
        'endpoints',
        'limits',
        'loads',
        'routing',
        'suspension',
        'last_store_contact',
    )

    def __init__(
        self,
        local_node: node.Node,
        clock: Callable[[], float] = time.monotonic,
        started_at: float | None = None,
    ) -> None:
        self._local_node = local_node
        self._clock = clock
        self._started_at = clock() if started_at is None else started_at
        #: Called when a newer desired version is known, to announce it at once.
        self.on_desired_version: Callable[[], None] | None = None
        #: Returns the monotonic seconds of the last contact for the operator's
        #: records: an answer of the store, or a heartbeat of an entry that
        #: reads the store for this one. 0 before the first.
        self.last_store_contact: Callable[[], float] = float
        #: Measures the time for which this machine is suspended.
        self.suspension = suspension.SuspensionMeter()
        #: The configuration in force; ``None`` until the first one arrives.
        self.routing: routing.Routing | None = None
        self.endpoints = endpoints.Endpoints()
        self.limits = endpoint_limits.EndpointLimits(
            local_node.ip, self.endpoints
        )
        self.cold = cold_endpoints.ColdEndpoints(
            local_node.ip, local_node.duties
        )
        self.loads = endpoint_loads.EndpointLoads()
        #: The failure domains that the operator evacuates.
        self.evacuated = evacuation.EvacuatedDomains()
        self.evacuated.on_end = self._restore_domain
        self.ejector = ejection.Ejector()
        self.crash_evidence = crash_evidence.CrashEvidence(local_node.ip)
        self._desired_by_model: dict[str, desired_versions.DesiredVersions] = {}
        #: Monotonic time at which an engine of a service last reported that it
        #: is slow.
        self._slow_seen_at_by_service: dict[str, float] = {}

    def apply_configuration(self, newer: routing.Routing) -> bool:
        """Put a configuration in force if it is newer than the current one.

        :returns: whether it was newer.
        """
        current = self.routing
        if current is not None and newer.version <= current.version:
            return False
        self.routing = newer
        logger.bind(
            version=newer.version,
            before=0 if current is None else current.version,
        ).info('configuration in force')
        # The endpoints are often known before the limits of their services.
        for endpoint in self.endpoints:
            self._update_cold(endpoint)
        return True

    @property
    def configuration_version(self) -> int:
        """Return the version of the configuration in force; 0 for none."""
        return 0 if self.routing is None else self.routing.version

    @property
    def store_age(self) -> float | None:
        """Return the seconds since the last contact for the operator's records.

        ``None`` before the first.
        """
        contact = self.last_store_contact()
        return round(self._clock() - contact, 3) if contact else None

    def add_desired_version(
        self,
        model: str,
        version: int,
        since: float,
        *,
        guessed: bool = False,
        source: str = _STORE_SOURCE,
    ) -> bool:
        """Record that the operator wants a version of a model.

        :param since: monotonic seconds at which it was written.
        :param guessed: whether that time is an estimate, because its source
            started after the version was written.
        :param source: the origin of the time, for log lines.
        :returns: whether it was unknown and is the newest desired version.
        """
        versions = self._desired_by_model.get(model)
        if versions is None:
            bound = self._local_node.duties.version - _VERSION_MARGIN_SECONDS
            versions = desired_versions.DesiredVersions(bound)
            self._desired_by_model[model] = versions
        before = versions.naming(version)
        is_newest = versions.record(
            version, since, is_guess=guessed, heard_at=self._clock()
        )
        after = versions.naming(version)
        if before is not None and after is not None:
            self._log_time_change(model, version, before, after, source)
        if not is_newest:
            return False
        logger.bind(
            model=model,
            version=version,
            ago=round(self._clock() - versions.since_by_version[version], 3),
            guessed=guessed,
            source=source,
            seconds=uptime.seconds(),
        ).info('version named')
        if self.on_desired_version is not None:
            self.on_desired_version()
        return True

    def add_earlier_desired_version(self, model: str, version: int) -> None:
        """Record a desired version that was written before this process began.

        Its time is unknown unless peers report it. The estimate allows older
        versions for as long as the bound does not apply to a process that has
        just started, and no longer, however late it reads the record.
        """
        duties = self._local_node.duties
        grace = max(duties.settling - _STARTUP_MARGIN_SECONDS, 0)
        usable_until = self._started_at + grace
        since = usable_until + _VERSION_MARGIN_SECONDS - duties.version
        self.add_desired_version(
            model, version, since, guessed=True, source=_START_SOURCE
        )

    def _log_time_change(
        self,
        model: str,
        version: int,
        before: desired_versions.Naming,
        after: desired_versions.Naming,
        source: str,
    ) -> None:
        """Log that the time at which a version was named has changed."""
        moved = after.since - before.since
        if (
            before.is_guess == after.is_guess
            and abs(moved) < _LOGGED_SHIFT_SECONDS
        ):
            return
        now = self._clock()
        ages = {
            'from': round(now - before.since, 3),
            'to': round(now - after.since, 3),
        }
        logger.bind(
            model=model,
            version=version,
            **ages,
            moved=round(moved, 3),
            was_guessed=before.is_guess,
            guessed=after.is_guess,
            source=source,
        ).info('version time changed')

    def desired_versions(
        self, now: float
    ) -> tuple[heartbeats.DesiredVersion, ...]:
        """Return the desired versions as heartbeats carry them."""
        return tuple(
            heartbeats.DesiredVersion(
                model,
                version,
                max(now - since, 0),
                version in versions.guessed_versions,
            )
            for model, versions in self._desired_by_model.items()
            for version, since in versions.since_by_version.items()
        )

    def newest_desired_version(self, model: str) -> int:
        """Return the newest desired version of a model; 0 for none."""
        versions = self._desired_by_model.get(model)
        return 0 if versions is None else versions.newest

    def seconds_until_required(self, model: str, version: int) -> float | None:
        """Return the seconds until no request may start on an older version.

        ``None`` for a version that is not a desired one.
        """
        versions = self._desired_by_model.get(model)
        if versions is None or version not in versions.since_by_version:
            return None
        age = self._clock() - versions.since_by_version[version]
        return self._local_node.duties.version - age

    def required_version(self, engine: routing.Engine, now: float) -> int:
        """Return the oldest version on which requests may start."""
        versions = self._desired_by_model.get(engine.model)
        return 0 if versions is None else versions.oldest_allowed(now)

    def start_deadline(self, engine: routing.Engine, version: int) -> float:
        """Return the time by which requests on a version have to start.

        Those that have not started by then are abandoned.
        """
        return self._usable_until(engine, version) + _START_SLACK_SECONDS

    def version_bound(self, engine: routing.Engine, version: int) -> float:
        """Return the time from which no request may start on a version."""
        return self._usable_until(engine, version) + _VERSION_MARGIN_SECONDS

    def _usable_until(self, engine: routing.Engine, version: int) -> float:
        """Return the time until which requests are sent to a version."""
        versions = self._desired_by_model.get(engine.model)
        return math.inf if versions is None else versions.usable_until(version)

    def update_listing(
        self, listing: endpoints.Listing, *, is_initial: bool = False
    ) -> bool:
        """Apply an endpoint's listing; return whether it changed anything.

        Failures and loads of an earlier incarnation are dropped. Otherwise an
        endpoint that crashed and came back under its id would stay ejected
        for its old failures, and requests that other entries had lost there
        would count as its load.

        :param is_initial: whether it belongs to the first records that this
            process gets, so that the endpoint may have started long before.
        """
        before = self.endpoints.get(listing.id)
        changed = self.endpoints.apply_listing(listing)
        if before is not None and before is not self.endpoints.get(listing.id):
            self.ejector.forget(listing.id)
            self.loads.forget_endpoint(listing.id)
        endpoint = self.endpoints.get(listing.id)
        if endpoint is not None and changed:
            is_new_start = before is not endpoint and not is_initial
            self._mark_cold(endpoint, listing.cold_left, is_fresh=is_new_start)
        return changed

    def _mark_cold(
        self,
        endpoint: endpoints.Endpoint,
        seconds: float,
        *,
        is_fresh: bool,
    ) -> None:
        """Limit the requests to an endpoint while it is cold.

        :param seconds: for which it says that it stays cold.
        :param is_fresh: whether it may be as cold as after a start.
        """
        now = self._clock()
        if seconds > 0:
            endpoint.said_cold_until = now + seconds
        if is_fresh:
            endpoint.fresh_at = now
        self._update_cold(endpoint)

    def _update_cold(self, endpoint: endpoints.Endpoint) -> None:
        """Limit the requests to an endpoint by the configuration in force."""
        services = {} if self.routing is None else self.routing.services_by_name
        service = services.get(endpoint.listing.service)
        if service is None:
            return
        cold_until = max(
            endpoint.said_cold_until, endpoint.fresh_at + service.cold_seconds
        )
        now = self._clock()
        self.cold.mark(endpoint, service.cold_rate, cold_until - now, now)

    def record_failure(self, endpoint: endpoints.Endpoint, now: float) -> None:
        """Count a failure of an endpoint if its incarnation is current."""
        if self.endpoints.get(endpoint.listing.id) is endpoint:
            self.ejector.observe_failure(endpoint.listing.id, now)

    def update_engine_status(
        self, status: heartbeats.EngineStatus, now: float
    ) -> None:
        """Apply an agent's report on the weights of its engine and its link."""
        host = status.address.rpartition(':')[0]
        for endpoint in self.endpoints.at_ip(host):
            if endpoint.listing.address != status.address:
                continue
            self._update_congestion(endpoint, status, now)
            if _is_current(endpoint, status.started_ms):
                self._update_weights(endpoint, status)

    def update_engine_load(
        self, ip: str, load: heartbeats.EngineLoad, now: float
    ) -> None:
        """Apply an agent's report on the load of its engine."""
        for endpoint in self.endpoints.at_ip(ip):
            if endpoint.weights.version and _is_current(
                endpoint, load.started_ms
            ):
                endpoint.reported_load.update(
                    load.active, load.queued, now, load.pace
                )
                if load.pace >= _SLOW_PACE:
                    service = endpoint.listing.service
                    self._slow_seen_at_by_service[service] = now

    def _update_weights(
        self,
        endpoint: endpoints.Endpoint,
        status: heartbeats.EngineStatus,
    ) -> None:
        endpoint.weights_started_ms = (
            status.started_ms or endpoint.weights_started_ms
        )
        weights = endpoints.Weights(status.version, status.first, status.end)
        if weights == endpoint.weights:
            return
        endpoint.weights = weights
        logger.bind(
            endpoint=endpoint.listing.id,
            version=status.version,
            layers=status.end - status.first,
        ).info('engine holds weights')

    def _update_congestion(
        self,
        endpoint: endpoints.Endpoint,
        status: heartbeats.EngineStatus,
        now: float,
    ) -> None:
        was_congested = endpoint.congested_until > now
        endpoint.congested_until = (
            now + _CONGESTION_LIFETIME_SECONDS if status.congested else now
        )
        if status.congested != was_congested:
            logger.bind(
                endpoint=endpoint.listing.id,
                congested=status.congested,
            ).info('link of an endpoint')

    def in_flight_by_endpoint(self, now: float) -> dict[str, int]:
        """Return this entry's requests at endpoints, for its heartbeats.

        Endpoints whose agents report their total load are left out.
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
        allowed_regions: eligibility.Regions = None,
    ) -> list[endpoints.Endpoint]:
        """Return the endpoints that may run a request to a service now.

        :param allowed_regions: the regions in which the request may run.
        """
        self.limits.update_shares(now)
        self.cold.update_shares(now)
        usable = [
            endpoint
            for endpoint in self.usable_endpoints(service, now)
            if self.is_eligible(endpoint, allowed_regions)
        ]
        engine = service.engine
        if engine is None:
            return usable
        version = self.required_version(engine, now)
        return [
            endpoint
            for endpoint in usable
            if endpoint.has_weights(engine, version)
        ]

    def is_eligible(
        self,
        endpoint: endpoints.Endpoint,
        allowed_regions: eligibility.Regions,
    ) -> bool:
        """Tell whether the operator lets a request run at an endpoint."""
        return eligibility.is_eligible(
            self._location(endpoint), allowed_regions, self.evacuated.domains
        )

    def is_contended(self, service: routing.Service, now: float) -> bool:
        """Tell whether requests to a service wait for slots of its engines.

        They do if the configuration lets some go before others, or if engines
        differ in speed. Otherwise all requests are alike, and they are sent to
        the engines at once.
        """
        if service.engine is None or self.routing is None:
            return False
        slow_seen_at = self._slow_seen_at_by_service.get(
            service.name, float('-inf')
        )
        return (
            self.routing.is_ordered(service.name)
            or now - slow_seen_at < _SLOW_MEMORY_SECONDS
        )

    def exclusion(
        self, admitted: serving.AdmittedRequest, now: float
    ) -> eligibility.Exclusion | None:
        """Return why the operator lets a request run at no usable endpoint.

        ``None`` if it may run at one, or if the service has none.
        """
        return eligibility.exclusion(
            map(self._location, self.usable_endpoints(admitted.service, now)),
            admitted.allowed_regions,
            self.evacuated.domains,
        )

    def _location(self, endpoint: endpoints.Endpoint) -> eligibility.Location:
        domain = endpoint.listing.domain
        return eligibility.Location(domain, self._local_node.region_of(domain))

    def _restore_domain(self, domain: str) -> None:
        """Let the endpoints of a domain return slowly after its evacuation.

        They are empty, and all entries would send to them at the same moment.
        They may also have become cold shortly before or during the evacuation.
        """
        for endpoint in self.endpoints:
            if endpoint.listing.domain == domain:
                endpoint.backoff.start_recovery()
                self._mark_cold(endpoint, 0, is_fresh=True)

    def seconds_barred(
        self, admitted: serving.AdmittedRequest, now: float
    ) -> float:
        """Return the seconds for which a request must not run; 0 if it may.

        Requests that have crashed endpoints, or parts of whose prompts have,
        are barred.
        """
        if self.crash_evidence.is_empty:
            return 0
        candidates = self.candidates(
            admitted.service, now, admitted.allowed_regions
        )
        return self.crash_evidence.seconds_barred(
            admitted.fingerprint,
            now,
            has_spare_endpoint=len(candidates) > 1,
            parts=admitted.prompt_parts,
        )

    def is_loading(self, service: routing.Service, now: float) -> bool:
        """Return whether some engine of a service is loading weights."""
        return any(
            endpoint.is_loading
            for endpoint in self.usable_endpoints(service, now)
        )

    def usable_endpoints(
        self,
        service: routing.Service,
        now: float,
    ) -> list[endpoints.Endpoint]:
        """Return the usable endpoints of a service.

        None if the configuration in force does not name the service:
        endpoints may list themselves under any service name. Those are kept,
        since a newer configuration may name their service.
        """
        current = self.routing
        if current is None or service.name not in current.services_by_name:
            return []
        return self.endpoints.usable_for_service(service.name, now)

    def account_for_suspension(self) -> None:
        """Let the ages of versions include the time of a suspension."""
        seconds = self.suspension.take()
        if seconds < _MIN_SUSPENSION_SECONDS:
            return
        self._started_at -= seconds
        for versions in self._desired_by_model.values():
            versions.shift(seconds)
        logger.bind(seconds=round(seconds, 3)).warning('machine was suspended')

    def remove_expired(self, now: float) -> list[endpoints.Endpoint]:
        """Remove expired state; return the endpoints removed."""
        self.loads.remove_expired(now)
        removed = self.endpoints.remove_expired(now)
        if removed:
            self.ejector.retain(
                [endpoint.listing.id for endpoint in self.endpoints]
            )
        return removed


def _is_current(endpoint: endpoints.Endpoint, started_ms: int) -> bool:
    """Return whether an agent's report is of the current incarnation.

    An engine may crash and come back empty while an older report of its agent
    is still on its way. Applying that report would send requests for weights
    that the engine no longer holds.
    """
    is_superseded = incarnations.is_superseded(
        endpoint.weights_started_ms, started_ms
    )
    return not is_superseded and endpoint.unusable_at is None
