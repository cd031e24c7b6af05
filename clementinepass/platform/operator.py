"""Decode the operator's records: configurations and desired versions."""

from __future__ import annotations

import typing

import msgspec

from clementinepass.direct import evacuation, intake, routing
from clementinepass.http import limits
from clementinepass.platform import decoding

if typing.TYPE_CHECKING:
    from clementinepass.decisions import eligibility
    from clementinepass.direct import records

#: Key of the record that holds the complete configuration.
_CONFIG_KEY = 'config'
#: Prefix of the keys of desired versions; the model's name follows.
_VERSION_PREFIX = 'version/'
#: Prefix of the keys of evacuations; the failure domain follows.
_EVACUATION_PREFIX = 'evacuate/'
_MS_PER_SECOND = 1000
_STEP = 'decode'
_KINDS_BY_NAME = {
    'streaming': routing.RouteKind.STREAM,
    'idempotent': routing.RouteKind.IDEMPOTENT,
    'non_idempotent': routing.RouteKind.AT_MOST_ONCE,
}


class _CamelStruct(msgspec.Struct, rename='camel'):
    """A JSON body with camel-case names; unknown fields are ignored."""


class _Backend(_CamelStruct):
    service: str
    weight: float = 1


class _Route(_CamelStruct):
    name: str
    host: str
    path_prefix: str
    #: How often requests may run; those of an unknown kind run at most once.
    route_kind: str = ''
    timeout_ms: float = 30000
    #: Latency target in milliseconds; an answer within it has its full value.
    slo_ms: float = 1000
    priority: int = 0
    service: str = ''
    backends: list[_Backend] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    #: Longest time in milliseconds between two events of a stream that is
    #: on time.
    gap_target_ms: float = 0
    #: Regions in which requests may run. An empty list is no restriction: the
    #: operator writes one for each route that has none.
    allowed_regions: list[str] | None = None


class _EngineModel(_CamelStruct):
    name: str


class _Usual(_CamelStruct):
    #: Mean number of tokens of a prompt and of an answer.
    prompt: float = 0
    answer: float = 0


class _Engine(msgspec.Struct):
    """Engine of a service; names mix camel case and snake case."""

    slots: decoding.PositiveCount
    models: list[_EngineModel] = []
    layers: decoding.LayerNumber = 0
    chunks: decoding.Count = 0
    chunkBytes: decoding.Count = 0  # noqa: N815
    #: Milliseconds of a decoding step, which yields one token for each
    #: running request.
    step_ms: float = 0
    #: Prompt tokens processed per second.
    read_per_s: float = 0
    usual: _Usual | None = None


class _Service(_CamelStruct):
    name: str
    max_conns: decoding.PositiveCount = 64
    engine: _Engine | None = None
    origin: str = ''
    zone: str = ''
    link_mbps: float = 0
    #: Seconds for which an endpoint is cold after its start, and the requests a
    #: second that a cold one takes; 0 for no limit.
    cold_start_s: typing.Annotated[float, msgspec.Meta(ge=0)] = msgspec.field(
        default=0, name='coldStartS'
    )
    cold_per_s: typing.Annotated[float, msgspec.Meta(ge=0)] = msgspec.field(
        default=0, name='coldPerS'
    )


class _Limits(_CamelStruct):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Tenant(_CamelStruct):
    name: str
    api_keys: list[str] = []
    priority: int = 0
    allowed_regions: list[str] | None = None


class _Config(_CamelStruct):
    version: decoding.Counter
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits | None = None
    tenants: list[_Tenant] | None = None


class _Version(_CamelStruct):
    model: decoding.Name
    version: decoding.PositiveCount


def decode_record(record: records.Record) -> intake.OperatorRecord | None:
    """Decode an operator's record; ``None`` if its key is not relevant.

    A failure domain is evacuated for as long as its record exists, whatever
    the record contains.

    :raises MalformedMessageError: the record can't be decoded.
    """
    if record.key.startswith(_EVACUATION_PREFIX):
        return evacuation.Evacuation(
            record.key.removeprefix(_EVACUATION_PREFIX),
            record.payload is not None,
        )
    if record.payload is None:
        return None
    peer = f'operator record {record.key}'
    if record.key == _CONFIG_KEY:
        config = decoding.decode(record.payload, _Config, _STEP, peer)
        return _routing(config)
    if record.key.startswith(_VERSION_PREFIX):
        desired_version = decoding.decode(record.payload, _Version, _STEP, peer)
        return intake.DesiredVersion(
            desired_version.model, desired_version.version
        )
    return None


def _routing(config: _Config) -> routing.Routing:
    teams_by_key = None
    if config.tenants is not None:
        teams_by_key = {
            key.encode(): routing.Team(
                tenant.name,
                tenant.priority,
                _allowed_regions(tenant.allowed_regions),
            )
            for tenant in config.tenants
            for key in tenant.api_keys
        }
    return routing.Routing(
        config.version,
        map(_route, config.routes),
        map(_service, config.services),
        teams_by_key,
        _bounds(config.limits or _Limits()),
    )


def _route(route: _Route) -> routing.Route:
    backends = tuple(
        routing.Backend(backend.service, backend.weight)
        for backend in route.backends
        if backend.weight > 0
    )
    return routing.Route(
        name=route.name,
        host=route.host.lower().encode(),
        prefix=route.path_prefix.encode(),
        kind=_KINDS_BY_NAME.get(
            route.route_kind, routing.RouteKind.AT_MOST_ONCE
        ),
        backends=backends or (routing.Backend(route.service, 1),),
        timeout=route.timeout_ms / _MS_PER_SECOND,
        latency_target=route.slo_ms / _MS_PER_SECOND,
        max_event_gap=route.gap_target_ms / _MS_PER_SECOND,
        priority=route.priority,
        max_runs=max(route.max_attempts, 1),
        is_public=route.public,
        is_resumable=route.resumable,
        allowed_regions=_allowed_regions(route.allowed_regions),
    )


def _allowed_regions(names: list[str] | None) -> eligibility.Regions:
    return frozenset(names) if names else None


def _service(service: _Service) -> routing.Service:
    engine = service.engine
    if service.origin:
        decoding.check_address(service.origin, _STEP)
    return routing.Service(
        service.name,
        service.max_conns,
        engine=None if engine is None else _engine(engine),
        origin=service.origin,
        domain=service.zone,
        link_mbps=service.link_mbps,
        cold_seconds=service.cold_start_s,
        cold_rate=service.cold_per_s,
    )


def _engine(engine: _Engine) -> routing.Engine:
    usual = engine.usual or _Usual()
    return routing.Engine(
        model=engine.models[0].name if engine.models else '',
        slots=engine.slots,
        layers=engine.layers,
        chunks=engine.chunks,
        chunk_bytes=engine.chunkBytes,
        step_seconds=engine.step_ms / _MS_PER_SECOND,
        prompt_tokens_per_second=engine.read_per_s,
        mean_prompt_tokens=usual.prompt,
        mean_answer_tokens=usual.answer,
    )


def _bounds(config_limits: _Limits) -> limits.Bounds:
    return limits.Bounds(
        header_bytes=config_limits.max_header_bytes,
        body_bytes=config_limits.max_body_bytes,
        header_seconds=config_limits.header_timeout_ms / _MS_PER_SECOND,
        idle_seconds=config_limits.idle_timeout_ms / _MS_PER_SECOND,
    )
