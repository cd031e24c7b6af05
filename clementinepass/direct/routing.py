"""The operator's configuration: routes, services, engines and teams."""

from __future__ import annotations

import enum
import typing

import msgspec

from clementinepass.decisions import eligibility, first_event
from clementinepass.http import limits

if typing.TYPE_CHECKING:
    from collections.abc import Iterable


class RouteKind(enum.Enum):
    """How a route's requests are answered and whether they may run twice."""

    #: Answered by a stream of events; may run again if it can be resumed.
    STREAM = 'stream'
    #: Has a plain answer; running the request twice does no harm.
    IDEMPOTENT = 'idempotent'
    #: Must not run twice.
    AT_MOST_ONCE = 'once'


class Backend(msgspec.Struct, frozen=True):
    """A service of a route and its weight among the route's services."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Target and limits of the requests for a host and a path prefix."""

    name: str
    host: bytes
    prefix: bytes
    kind: RouteKind
    backends: tuple[Backend, ...]
    #: Seconds from the request to its final answer.
    timeout: float
    #: Target in seconds for the answer, or for the first event of a stream.
    latency_target: float
    #: Longest time in seconds between events of a stream.
    max_event_gap: float = 0
    #: 0 is served first.
    priority: int = 0
    #: Maximum number of attempts that run a request.
    max_runs: int = 1
    #: Whether requests are admitted without a key.
    is_public: bool = False
    #: Whether a stream may be resumed after its last event.
    is_resumable: bool = False
    #: Regions in which requests may run; ``None`` for any.
    allowed_regions: eligibility.Regions = None

    @property
    def is_repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT

    def service_for(self, fraction: float) -> str:
        """Return the service at a fraction, from 0 to 1, of all weights."""
        total = sum(backend.weight for backend in self.backends)
        remaining = fraction * total
        for backend in self.backends:
            remaining -= backend.weight
            if remaining < 0:
                return backend.service
        return self.backends[-1].service


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """The model and the speed of a service's engines."""

    model: str
    #: Requests that an engine runs at once.
    slots: int
    #: Layers of the model.
    layers: int
    #: Number of pieces of a version's weights, and the size of each.
    chunks: int
    chunk_bytes: int
    #: Seconds in which each running request produces one token.
    step_seconds: float
    #: Prompt tokens that an engine reads per second.
    prompt_tokens_per_second: float
    #: Mean number of tokens of a prompt and of an answer.
    mean_prompt_tokens: float
    mean_answer_tokens: float

    @property
    def service_rate(self) -> first_event.ServiceRate:
        """Return the service rate of an engine that is fully loaded."""
        return first_event.service_rate(
            self.prompt_tokens_per_second,
            self.mean_prompt_tokens,
            self.mean_answer_tokens,
            self.step_seconds,
            self.slots,
        )


class Service(msgspec.Struct, frozen=True):
    """A service, which runs requests or hands out weights."""

    name: str
    #: Connections that an endpoint accepts in total.
    max_connections: int
    engine: Engine | None = None
    #: ``host:port`` of the weights' origin; empty for other services.
    origin: str = ''
    #: The failure domain of the origin.
    domain: str = ''
    #: Bandwidth of the origin's link in Mbit/s; 0 if unknown.
    link_mbps: float = 0
    #: Seconds for which an endpoint is cold after its start.
    cold_seconds: float = 0
    #: Requests a second that a cold endpoint takes; 0 for no limit.
    cold_rate: float = 0


class Team(msgspec.Struct, frozen=True):
    """The owner of a key."""

    name: str
    #: 0 is served first.
    priority: int
    #: Regions in which requests may run; ``None`` for any.
    allowed_regions: eligibility.Regions = None


class Routing:
    """A complete configuration of the operator.

    :param version: increases with each configuration.
    """

    __slots__ = (
        'bounds',
        'requires_key',
        'services_by_name',
        'teams_by_key',
        'timeouts',
        'version',
        '_ordered_services',
        '_restricted_teams',
        '_routes_by_host',
    )

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        teams_by_key: dict[bytes, Team] | None,
        bounds: limits.Bounds,
    ) -> None:
        self.version = version
        self.services_by_name = {service.name: service for service in services}
        #: Whether requests for routes that are not public need a key.
        self.requires_key = teams_by_key is not None
        self.teams_by_key = teams_by_key or {}
        self._restricted_teams = {
            team
            for team in self.teams_by_key.values()
            if team.allowed_regions is not None
        }
        self.bounds = bounds
        self._routes_by_host: dict[bytes, list[Route]] = {}
        routes = tuple(routes)
        self._ordered_services = _ordered_services(routes)
        #: The distinct timeouts of all routes.
        self.timeouts = frozenset(item.timeout for item in routes)
        for route in sorted(routes, key=_prefix_length, reverse=True):
            self._routes_by_host.setdefault(route.host, []).append(route)

    def find_route(self, host: bytes, path: bytes) -> Route | None:
        """Return the route with the longest prefix that matches the path."""
        name = host.lower()
        if name not in self._routes_by_host:
            name = name.rpartition(b':')[0] or name
        for route in self._routes_by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def restricted_regions(self, host: bytes) -> eligibility.Regions:
        """Return the regions in which any request for a host may run.

        ``None`` if none of them is restricted. The team of a caller is not
        known before its first request, so that all teams count.
        """
        restricted = [
            owner.allowed_regions
            for owner in (
                *self._routes_by_host.get(host.lower(), ()),
                *self._restricted_teams,
            )
            if owner.allowed_regions is not None
        ]
        return frozenset.intersection(*restricted) if restricted else None

    @property
    def has_region_rules(self) -> bool:
        """Tell whether some request may not run in every region."""
        return bool(self._restricted_teams) or any(
            route.allowed_regions is not None
            for routes in self._routes_by_host.values()
            for route in routes
        )

    def is_ordered(self, service: str) -> bool:
        """Tell whether routes of a service differ in priority."""
        return service in self._ordered_services

    @property
    def origin(self) -> Service | None:
        """Return the service from which weights originate."""
        for service in self.services_by_name.values():
            if service.origin:
                return service
        return None


def _ordered_services(routes: Iterable[Route]) -> frozenset[str]:
    """Return the services with routes of different priorities."""
    priorities_by_service: dict[str, set[int]] = {}
    for route in routes:
        for backend in route.backends:
            priorities = priorities_by_service.setdefault(
                backend.service, set()
            )
            priorities.add(route.priority)
    return frozenset(
        service
        for service, priorities in priorities_by_service.items()
        if len(priorities) > 1
    )


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
