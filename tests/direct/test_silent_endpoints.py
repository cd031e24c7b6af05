"""Tests of endpoints that send nothing for a while and then go on."""

from __future__ import annotations

import asyncio
import typing

import msgspec
import testtools

from clementinepass.direct import endpoints, routing
from standins import direct_endpoint
from tests.direct import path_harness, steady_loop

Fault = direct_endpoint.Fault
EVENTS = b''.join(
    b'id: %d\ndata: %d\n\n' % (number, number) for number in range(3)
)
#: Routes at which an endpoint counts as silent after 0.9 to 1.3 seconds.
ROUTES = tuple(
    path_harness.route(
        name, kind=kind, latency_target=0.2, max_event_gap=0.1, max_runs=runs
    )
    for name, kind, runs in (
        ('stream', routing.RouteKind.STREAM, 2),
        ('stream/thrice', routing.RouteKind.STREAM, 3),
        ('stream/single', routing.RouteKind.STREAM, 1),
        ('plain', routing.RouteKind.IDEMPOTENT, 2),
        ('plain/single', routing.RouteKind.IDEMPOTENT, 1),
    )
)
#: Milliseconds for which callers wait.
TIMEOUT_MS = '2600'
#: Seconds after which silent endpoints are let go.
SILENCE_SECONDS = 1.5
#: An entry that may not send any request again.
NO_BUDGET_NODE = msgspec.structs.replace(
    path_harness.NODE,
    duties=msgspec.structs.replace(
        path_harness.DUTIES, budget_share=0, budget_surplus=0
    ),
)
#: Target of a request and the silence that it meets.
SILENCES = (
    ('/stream/a', Fault.SILENT),
    ('/stream/a', Fault.SILENT_AFTER_HEAD),
    ('/stream/a', Fault.SILENT_MIDWAY),
    ('/plain/a', Fault.SILENT),
)


def do_nothing(harness: path_harness.PathHarness) -> None:
    """Leave the endpoints as they are."""


def unload(harness: path_harness.PathHarness) -> None:
    """List the second endpoint without all layers of the model."""
    weights = endpoints.Weights(1, 0, 1)
    harness.list_endpoint(harness.endpoints[1], heartbeat=99, weights=weights)


def drain(harness: path_harness.PathHarness) -> None:
    """List the second endpoint as draining."""
    harness.list_endpoint(harness.endpoints[1], heartbeat=99, draining=True)


def hide_idle(harness: path_harness.PathHarness) -> None:
    """List the endpoints without requests at an address without listener."""
    for number, endpoint in enumerate(harness.endpoints):
        if not endpoint.came:
            harness.list_endpoint(
                endpoint, heartbeat=99, address=f'{path_harness.HOST}:{number}'
            )


class Obstacle(typing.NamedTuple):
    """Why no other endpoint answers in the place of a silent one."""

    name: str
    faults_before: tuple[Fault, ...] = ()
    faults_after: tuple[Fault, ...] = ()
    count: int = 2
    local_node: typing.Any = path_harness.NODE
    target_infix: str = ''
    silences: tuple[tuple[str, Fault], ...] = SILENCES
    #: Called before the request is sent, and once it runs.
    prepare: typing.Callable[[path_harness.PathHarness], None] = do_nothing
    intervene: typing.Callable[[path_harness.PathHarness], None] = do_nothing


OBSTACLES = (
    Obstacle('retry budget spent', local_node=NO_BUDGET_NODE),
    Obstacle('no other endpoint', count=1),
    Obstacle('the other one has no weights', prepare=unload),
    Obstacle('the other one drains', prepare=drain),
    Obstacle('enough attempts', faults_before=(Fault.FULL,) * 3, count=5),
    Obstacle('the other one rejects', faults_after=(Fault.FULL,)),
    Obstacle('the other one is misdirected', faults_after=(Fault.ANOTHER,)),
    Obstacle('the other one resets', faults_after=(Fault.LOST,)),
    Obstacle(
        'the other one breaks off before a whole event',
        faults_after=(Fault.CUT,),
        silences=(('/stream/a', Fault.SILENT_MIDWAY),),
    ),
    Obstacle('the other one fails', faults_after=(Fault.ERROR,)),
    Obstacle('the other one is silent', faults_after=(Fault.MUTE,)),
    Obstacle('the other one is unreachable', intervene=hide_idle),
    Obstacle('enough runs', target_infix='/single'),
)


def let_go(harness: path_harness.PathHarness) -> None:
    """Let all silent endpoints go on."""
    for endpoint in harness.endpoints:
        endpoint.let_go.set()


async def play(
    obstacle: Obstacle, target: str, silence: Fault
) -> tuple[int, bytes, int]:
    """Return status, body and number of runs of a request."""
    async with path_harness.PathHarness(
        obstacle.count, obstacle.local_node
    ) as harness:
        harness.configure(2, ROUTES)
        harness.set_shared_faults(
            *obstacle.faults_before, silence, *obstacle.faults_after
        )
        obstacle.prepare(harness)
        _, route, name = target.split('/')
        pending_answer = asyncio.create_task(
            harness.send(
                f'/{route}{obstacle.target_infix}/{name}',
                X_Deadline_Ms=TIMEOUT_MS,
            )
        )
        while not harness.executed_requests:
            await asyncio.sleep(0)
        obstacle.intervene(harness)
        await asyncio.sleep(SILENCE_SECONDS)
        let_go(harness)
        answer = await pending_answer
        return answer.status, answer.body, len(harness.executed_requests)


class KeptAnswerTest(testtools.TestCase):
    """A silent endpoint goes on, and nothing else can answer in its place."""

    def test_whole_answer(self) -> None:
        """Silence alone never ends an answer.

        The connection to a silent endpoint was aborted before it was known
        whether the request could be sent again, and whether that one would
        answer. Streams were cut off in the middle, other callers got 502.
        """
        cases = [
            (obstacle, target, silence)
            for obstacle in OBSTACLES
            for target, silence in obstacle.silences
        ]

        async def play_all() -> list[typing.Any]:
            return await asyncio.gather(
                *(play(*case) for case in cases), return_exceptions=True
            )

        with asyncio.Runner(loop_factory=steady_loop.SteadyLoop) as runner:
            outcomes = runner.run(play_all())
        failures = [
            (obstacle.name, target, silence.name, outcome)
            for (obstacle, target, silence), outcome in zip(
                cases, outcomes, strict=True
            )
            if not _is_whole(target, outcome)
        ]
        self.assertEqual([], failures, '\n'.join(map(str, failures)))


def _is_whole(target: str, outcome: typing.Any) -> bool:
    """Tell whether an answer is complete and ran twice at most."""
    if isinstance(outcome, BaseException):
        return False
    status, body, runs = outcome
    if status != 200 or runs > 2:
        return False
    if target.startswith('/stream'):
        return bool(body == EVENTS)
    return bool(body.startswith(b'by '))
