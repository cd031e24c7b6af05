"""An entry's path between a caller and scripted endpoints, on loopback."""

from __future__ import annotations

import asyncio
import random
import typing

import aioprometheus

from clementinepass.direct import (
    attempt,
    cluster_state,
    departure,
    endpoints,
    node,
    path,
    request_log,
    routing,
)
from clementinepass.http import channel, front, limits, messages, pool
from clementinepass.platform import dialect
from standins import direct_endpoint

HOST = direct_endpoint.HOST
DUTIES = node.SystemLimits(budget_surplus=1000)
NODE = node.Node(
    name='entry-1',
    ip=HOST,
    domain='north-1',
    region='north',
    regions_by_domain={'north-1': 'north'},
    first_port=0,
    store='',
    duties=DUTIES,
)
ENGINE = routing.Engine(
    model='m',
    slots=16,
    layers=2,
    chunks=4,
    chunk_bytes=8,
    step_seconds=0.007,
    prompt_tokens_per_second=30000,
    mean_prompt_tokens=900,
    mean_answer_tokens=100,
)


def route(name: str, **changes: typing.Any) -> routing.Route:
    """Return a route for a prefix of the same name."""
    usual: dict[str, typing.Any] = {
        'name': name,
        'host': b'h',
        'prefix': f'/{name}/'.encode(),
        'kind': routing.RouteKind.STREAM,
        'backends': (routing.Backend('pool', 1),),
        'timeout': 10,
        'latency_target': 5,
        'max_event_gap': 5,
        'max_runs': 2,
        'is_resumable': True,
    }
    return routing.Route(**{**usual, **changes})


ROUTES = (
    route('stream'),
    route('stream/once', is_resumable=False),
    route('plain', kind=routing.RouteKind.IDEMPOTENT),
    route('plain/brief', kind=routing.RouteKind.IDEMPOTENT, timeout=1),
    route('once', kind=routing.RouteKind.AT_MOST_ONCE, max_runs=1),
    route('once/twice', kind=routing.RouteKind.AT_MOST_ONCE),
    route('public', kind=routing.RouteKind.IDEMPOTENT, is_public=True),
    route('short', kind=routing.RouteKind.AT_MOST_ONCE, timeout=0.05),
)


class PathWorld:
    """A path, its front and some endpoints."""

    def __init__(self, count: int = 2, own: node.Node = NODE) -> None:
        self.endpoints = [
            direct_endpoint.DirectEndpoint(f'i-{number}')
            for number in range(count)
        ]
        self.cluster = cluster_state.ClusterState(own)
        self.departure = departure.DrainState(own, self.cluster)
        #: Other entries that callers may be sent to.
        self.others_ready = 0
        log = request_log.RequestLog(aioprometheus.Registry())
        spelling = dialect.HeaderDialect()
        self.sender = attempt.Sender(self.cluster, spelling, log)
        self.path = path.RequestHandler(
            own,
            self.cluster,
            spelling,
            self.sender,
            log,
            lambda: 1,
            self.departure,
            lambda: self.others_ready,
            random.Random(3),
        )
        self.front = front.Front(self.path.serve)
        self.port = 0
        self._callers: pool.Pool | None = None

    async def __aenter__(self) -> typing.Self:
        """Listen and believe in all endpoints."""
        for one in self.endpoints:
            await one.__aenter__()
            self.listed(one)
        self.configure(1, ROUTES)
        self.port = await self.front.listen(HOST, 0)
        self._callers = pool.Pool(HOST, self.port)
        return self

    async def __aexit__(self, *raised: object) -> None:
        """Close everything."""
        await self.front.close()
        for one in self.endpoints:
            await one.__aexit__()

    def configure(
        self,
        version: int,
        routes: typing.Iterable[routing.Route],
        keys: tuple[bytes, ...] = (b'key',),
    ) -> None:
        """Put a configuration in force."""
        self.cluster.apply_configuration(
            routing.Routing(
                version,
                routes,
                [routing.Service('pool', 64, ENGINE)],
                {key: routing.Team('team', 0) for key in keys},
                limits.Bounds(),
            ),
        )

    def listed(
        self,
        one: direct_endpoint.DirectEndpoint,
        **changes: typing.Any,
    ) -> None:
        """Believe what an endpoint says of itself."""
        usual = endpoints.Listing(
            one.id,
            'pool',
            one.address,
            'north-1',
            16,
            draining=False,
            heartbeat=len(one.came),
            weights=endpoints.Weights(1, 0, 2),
        )
        self.cluster.update_listing(usual._replace(**changes))

    def kept(self, endpoint_id: str) -> list[channel.Channel]:
        """Return the idle connections that are kept to an endpoint."""
        kept = self.sender._pools_by_id[endpoint_id]
        return list(kept.connections._idle)

    def fail_first(self, *faults: direct_endpoint.Fault) -> None:
        """Let the first endpoints that are asked fail, whichever they are."""
        shared = list(faults)
        for one in self.endpoints:
            one.faults = shared

    async def ask(
        self,
        target: str,
        body: bytes = b'body',
        **headers: str,
    ) -> pool.Answer:
        """Send a request as a caller and return the whole answer."""
        assert self._callers is not None
        return await pool.fetch(
            self._callers,
            request(target, body, **headers),
            10,
        )

    @property
    def ran(self) -> list[messages.Request]:
        """Return the requests that ran, at any endpoint."""
        return [request for one in self.endpoints for request in one.ran]

    @property
    def came(self) -> list[messages.Request]:
        """Return the requests that reached any endpoint."""
        return [request for one in self.endpoints for request in one.came]


def request(target: str, body: bytes = b'body', **headers: str) -> bytes:
    """Return a caller's request; a header of no text is left out."""
    usual = {
        'Host': 'h',
        'X_Attempt_Id': 'r-1',
        'X_Deadline_Ms': '9000',
        'X_Api_Key': 'key',
    }
    pairs = [
        (name.replace('_', '-').encode(), field.encode())
        for name, field in {**usual, **headers}.items()
        if field
    ]
    return messages.encode_request(b'POST', target.encode(), pairs, body)


def run(
    play: typing.Callable[[PathWorld], typing.Awaitable[None]],
    count: int = 2,
    own: node.Node = NODE,
) -> None:
    """Play in a world of some endpoints."""

    async def played() -> None:
        async with PathWorld(count, own) as world, asyncio.timeout(30):
            await play(world)

    asyncio.run(played())
