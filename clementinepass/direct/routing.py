"""The operator's configuration as entries and agents use it."""

from __future__ import annotations

import enum
import typing

import msgspec

from clementinepass.decisions import first_event
from clementinepass.http import limits

if typing.TYPE_CHECKING:
    from collections.abc import Iterable


class RouteKind(enum.Enum):
    """What a route's requests are, and so what may be repeated."""

    #: Answered by events; a second run is allowed where it can be resumed.
    STREAM = 'stream'
    #: Running twice does no harm.
    IDEMPOTENT = 'idempotent'
    #: Runs once at most.
    AT_MOST_ONCE = 'once'


class Backend(msgspec.Struct, frozen=True):
    """A service that a route leads to, with its share of the requests."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Where requests of a host and a prefix go, and what they may cost."""

    name: str
    host: bytes
    prefix: bytes
    kind: RouteKind
    backends: tuple[Backend, ...]
    #: Seconds until the final answer.
    timeout: float
    #: Seconds to the answer, or to the first event of a stream.
    latency_target: float
    #: Seconds between events of a stream on time.
    max_event_gap: float = 0
    #: Its rank; 0 is served first.
    priority: int = 0
    #: How often a request may run.
    max_runs: int = 1
    #: Whether requests need no key.
    is_public: bool = False
    #: Whether a stream may be resumed after its last event.
    is_resumable: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT

    def service_for(self, fraction: float) -> str:
        """Return the service for a point from 0 to 1, by the weights."""
        total = sum(backend.weight for backend in self.backends)
        remaining = fraction * total
        for backend in self.backends:
            remaining -= backend.weight
            if remaining < 0:
                return backend.service
        return self.backends[-1].service


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """What the operator says of a service's engines."""

    model: str
    #: Requests that one runs at a time.
    slots: int
    #: Layers of the model.
    layers: int
    #: Pieces that make up a version's weights, and the bytes of each.
    chunks: int
    chunk_bytes: int
    #: Seconds for one token of each running request.
    step_seconds: float
    #: Prompt tokens read in a second.
    prompt_tokens_per_second: float
    #: Mean tokens of a prompt and of an answer.
    mean_prompt_tokens: float
    mean_answer_tokens: float

    @property
    def service_rate(self) -> first_event.ServiceRate:
        """Return how fast a full engine works."""
        return first_event.service_rate(
            self.prompt_tokens_per_second,
            self.mean_prompt_tokens,
            self.mean_answer_tokens,
            self.step_seconds,
            self.slots,
        )


class Service(msgspec.Struct, frozen=True):
    """A service of the operator."""

    name: str
    #: Connections that one endpoint allows to all callers together.
    max_connections: int
    engine: Engine | None = None
    #: ``host:port`` of the service that hands out weights; empty for others.
    origin: str = ''
    #: The failure domain of such a service.
    domain: str = ''
    #: Megabits a second that its link carries; 0 where it isn't told.
    link_mbps: float = 0


class Team(msgspec.Struct, frozen=True):
    """Whose requests a key admits."""

    name: str
    #: Its rank; 0 is served first.
    priority: int


class Routing:
    """One configuration of the operator, whole.

    :param version: grows from one configuration to the next.
    """

    __slots__ = (
        'bounds',
        'requires_key',
        'services_by_name',
        'teams_by_key',
        'timeouts',
        'version',
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
        #: Whether requests need a key.
        self.requires_key = teams_by_key is not None
        self.teams_by_key = teams_by_key or {}
        self.bounds = bounds
        self._routes_by_host: dict[bytes, list[Route]] = {}
        routes = tuple(routes)
        #: Seconds that requests may take, each figure once.
        self.timeouts = frozenset(item.timeout for item in routes)
        for route in sorted(routes, key=_prefix_length, reverse=True):
            self._routes_by_host.setdefault(route.host, []).append(route)

    def find_route(self, host: bytes, path: bytes) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        name = host.lower()
        if name not in self._routes_by_host:
            name = name.rpartition(b':')[0] or name
        for route in self._routes_by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    @property
    def origin(self) -> Service | None:
        """Return the service that hands out weights."""
        for service in self.services_by_name.values():
            if service.origin:
                return service
        return None


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
