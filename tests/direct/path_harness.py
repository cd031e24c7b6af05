"""A request handler between a caller and scripted endpoints, on loopback."""

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
from clementinepass.http import (
    channel,
    front,
    held_memory,
    limits,
    messages,
    pool,
)
from clementinepass.platform import dialect
from standins import direct_endpoint
from tests.direct import steady_loop

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
    """Return a route whose prefix is its name."""
    defaults: dict[str, typing.Any] = {
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
    return routing.Route(**{**defaults, **changes})


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


class PathHarness:
    """A request handler with its front and some endpoints."""

    def __init__(self, count: int = 2, local_node: node.Node = NODE) -> None:
        self.endpoints = [
            direct_endpoint.DirectEndpoint(f'i-{number}')
            for number in range(count)
        ]
        self.cluster = cluster_state.ClusterState(
            local_node, clock=asyncio.get_running_loop().time
        )
        self.drain_state = departure.DrainState(local_node, self.cluster)
        #: Number of other entries that callers may be sent to.
        self.ready_peers = 0
        self.memory = held_memory.HeldMemory.from_memory(
            local_node.memory_bytes
        )
        log = request_log.RequestLog(aioprometheus.Registry())
        header_dialect = dialect.HeaderDialect()
        self.sender = attempt.Sender(
            self.cluster, header_dialect, log, self.memory
        )
        self.request_handler = path.RequestHandler(
            local_node,
            self.cluster,
            header_dialect,
            self.sender,
            log,
            lambda: 1,
            self.drain_state,
            lambda: self.ready_peers,
            random.Random(3),
        )
        self.front = front.Front(self.request_handler.serve, memory=self.memory)
        self.port = 0
        self._callers: pool.Pool | None = None

    async def __aenter__(self) -> typing.Self:
        """Start to listen, list all endpoints and apply a configuration."""
        for endpoint in self.endpoints:
            await endpoint.__aenter__()
            self.list_endpoint(endpoint)
        self.configure(1, ROUTES)
        self.port = await self.front.listen(HOST, 0)
        self._callers = pool.Pool(HOST, self.port)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the front and the endpoints."""
        await self.front.close()
        for endpoint in self.endpoints:
            await endpoint.__aexit__()

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

    def list_endpoint(
        self,
        endpoint: direct_endpoint.DirectEndpoint,
        **changes: typing.Any,
    ) -> None:
        """Apply the record of an endpoint."""
        listing = endpoints.Listing(
            endpoint.id,
            'pool',
            endpoint.address,
            'north-1',
            16,
            draining=False,
            heartbeat=len(endpoint.came),
            weights=endpoints.Weights(1, 0, 2),
        )
        self.cluster.update_listing(listing._replace(**changes))

    def idle_connections(self, endpoint_id: str) -> list[channel.Channel]:
        """Return the idle connections to an endpoint."""
        endpoint_pool = self.sender._pools_by_id[endpoint_id]
        return list(endpoint_pool.connections._idle)

    def set_shared_faults(self, *faults: direct_endpoint.Fault) -> None:
        """Let the first attempts fail, at whichever endpoints they arrive."""
        shared = list(faults)
        for endpoint in self.endpoints:
            endpoint.faults = shared

    async def send(
        self,
        target: str,
        body: bytes = b'body',
        **headers: str,
    ) -> pool.Answer:
        """Send a request as a caller and return the complete answer."""
        assert self._callers is not None
        return await pool.fetch(
            self._callers,
            request(target, body, **headers),
            10,
        )

    @property
    def executed_requests(self) -> list[messages.Request]:
        """Return the requests that ran at any endpoint."""
        return [
            request for endpoint in self.endpoints for request in endpoint.ran
        ]

    @property
    def received_requests(self) -> list[messages.Request]:
        """Return the requests that reached any endpoint."""
        return [
            request for endpoint in self.endpoints for request in endpoint.came
        ]


def request(target: str, body: bytes = b'body', **headers: str) -> bytes:
    """Return a caller's request; headers with empty values are left out."""
    defaults = {
        'Host': 'h',
        'X_Attempt_Id': 'r-1',
        'X_Deadline_Ms': '9000',
        'X_Api_Key': 'key',
    }
    pairs = [
        (name.replace('_', '-').encode(), field.encode())
        for name, field in {**defaults, **headers}.items()
        if field
    ]
    return messages.encode_request(b'POST', target.encode(), pairs, body)


def run(
    scenario: typing.Callable[[PathHarness], typing.Awaitable[None]],
    count: int = 2,
    local_node: node.Node = NODE,
) -> None:
    """Run a scenario in a harness with some endpoints.

    Its timers don't depend on how busy the machine is.
    """

    async def run_scenario() -> None:
        async with (
            PathHarness(count, local_node) as harness,
            asyncio.timeout(30),
        ):
            await scenario(harness)

    with asyncio.Runner(loop_factory=steady_loop.SteadyLoop) as runner:
        runner.run(run_scenario())
