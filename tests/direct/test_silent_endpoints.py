"""Tests of endpoints that send nothing for a while and then go on."""

from __future__ import annotations

import asyncio
import contextlib
import random
import typing

import msgspec
import testtools
from loguru import logger

from clementinepass.direct import calls, endpoints, routing
from clementinepass.http import channel, messages
from clementinepass.platform import dialect
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
ONCE_ROUTE = path_harness.route(
    'once', kind=routing.RouteKind.AT_MOST_ONCE, latency_target=0.2
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


def run_together(
    plays: typing.Iterable[typing.Awaitable[typing.Any]],
) -> list[typing.Any]:
    """Run plays side by side; return their results and exceptions."""

    async def gather() -> list[typing.Any]:
        async with asyncio.timeout(30):
            return await asyncio.gather(*plays, return_exceptions=True)

    with asyncio.Runner(loop_factory=steady_loop.SteadyLoop) as runner:
        return runner.run(gather())


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

        outcomes = run_together(play(*case) for case in cases)
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


def run(
    scenario: typing.Callable[
        [path_harness.PathHarness], typing.Awaitable[None]
    ],
    count: int = 2,
    local_node: typing.Any = path_harness.NODE,
) -> None:
    """Run a scenario with the routes of this module."""

    async def configure_and_run(harness: path_harness.PathHarness) -> None:
        harness.configure(2, ROUTES)
        await scenario(harness)

    path_harness.run(configure_and_run, count, local_node)


def run_each(
    scenario: typing.Callable[..., typing.Awaitable[None]],
    cases: typing.Iterable[tuple[typing.Any, ...]],
    count: int = 2,
) -> None:
    """Run a scenario with each of several cases, side by side."""

    async def play_case(*case: typing.Any) -> None:
        async with path_harness.PathHarness(count) as harness:
            harness.configure(2, ROUTES)
            await scenario(harness, *case)

    cases = list(cases)
    outcomes = run_together(play_case(*case) for case in cases)
    for case, outcome in zip(cases, outcomes, strict=True):
        if outcome is not None:
            raise AssertionError(case) from outcome


async def wait_for_runs(harness: path_harness.PathHarness, count: int) -> None:
    """Wait until a number of attempts run."""
    while len(harness.executed_requests) < count:
        await asyncio.sleep(0.005)


async def wait_until_idle(harness: path_harness.PathHarness) -> None:
    """Wait until no request is in progress at any endpoint."""
    now = asyncio.get_running_loop().time
    while any(harness.cluster.in_flight_by_endpoint(now()).values()):
        await asyncio.sleep(0)


def capture_lines(test: testtools.TestCase) -> list[dict[str, typing.Any]]:
    """Return a list that gets the message and fields of each log line."""
    lines: list[dict[str, typing.Any]] = []

    def take(message: typing.Any) -> None:
        record = message.record
        lines.append({'message': record['message'], **record['extra']})

    test.addCleanup(logger.remove, logger.add(take, level='INFO'))
    return lines


class FailingDialect(dialect.HeaderDialect):
    """A dialect that fails with the answers of one endpoint."""

    def __init__(self, endpoint: direct_endpoint.DirectEndpoint) -> None:
        super().__init__()
        self._stamp = f'stamp-{endpoint.id}'.encode()

    def decode_head(
        self, call: calls.Call, head: messages.AnswerHead
    ) -> calls.DecodedHead:
        """Decode the head of an answer, unless it is of that endpoint."""
        if head.headers.get(b'x-server-stamp') == self._stamp:
            raise ZeroDivisionError
        return super().decode_head(call, head)


class ReplacementTest(testtools.TestCase):
    """Another endpoint is sought in the place of a silent one."""

    def test_other_delivers_first(self) -> None:
        """The silent attempt is aborted as the other one delivers."""

        async def scenario(
            harness: path_harness.PathHarness, target: str, silence: Fault
        ) -> None:
            harness.set_shared_faults(silence)
            answer = await harness.send(target, X_Deadline_Ms=TIMEOUT_MS)
            self.assertEqual(200, answer.status)
            if target.startswith('/stream'):
                self.assertEqual(EVENTS, answer.body)
            self.assertEqual(2, len(harness.executed_requests))
            await wait_until_idle(harness)
            while not any(endpoint.left for endpoint in harness.endpoints):
                await asyncio.sleep(0)

        run_each(scenario, SILENCES)

    def test_silent_one_goes_on_first(self) -> None:
        """The other attempt is aborted as the silent one goes on."""

        async def scenario(
            harness: path_harness.PathHarness, target: str, silence: Fault
        ) -> None:
            harness.set_shared_faults(silence, Fault.MUTE)
            pending_answer = asyncio.create_task(
                harness.send(target, X_Deadline_Ms=TIMEOUT_MS)
            )
            await wait_for_runs(harness, 2)
            let_go(harness)
            answer = await pending_answer
            self.assertEqual(200, answer.status)
            if target.startswith('/stream'):
                self.assertEqual(EVENTS, answer.body)
            await wait_until_idle(harness)
            while not any(endpoint.left for endpoint in harness.endpoints):
                await asyncio.sleep(0)

        run_each(scenario, SILENCES)

    def test_both_deliver_at_once(self) -> None:
        """Each event reaches the caller once, whichever endpoint is first."""

        async def scenario(
            harness: path_harness.PathHarness,
            target: str,
            silence: Fault,
            seed: int,
        ) -> None:
            rng = random.Random(seed)
            harness.set_shared_faults(silence, silence)
            pending_answer = asyncio.create_task(
                harness.send(target, X_Deadline_Ms=TIMEOUT_MS)
            )
            await wait_for_runs(harness, 2)
            for endpoint in rng.sample(harness.endpoints, 2):
                endpoint.let_go.set()
                for _ in range(rng.randrange(4)):
                    await asyncio.sleep(0)
            answer = await pending_answer
            self.assertEqual(200, answer.status)
            if target.startswith('/stream'):
                self.assertEqual(EVENTS, answer.body)
            await wait_until_idle(harness)

        cases = [(*case, seed) for case in SILENCES for seed in range(4)]
        run_each(scenario, cases)

    def test_never_more_runs_than_allowed(self) -> None:
        """Open attempts count as runs, and no request runs too often."""

        async def scenario(
            harness: path_harness.PathHarness,
            target: str,
            fault: Fault,
            runs: int,
        ) -> None:
            harness.configure(3, [*ROUTES, ONCE_ROUTE])
            harness.set_shared_faults(*[fault] * 5)
            with contextlib.suppress(channel.ChannelBrokenError):
                answer = await harness.send(target, X_Deadline_Ms='3000')
                self.assertEqual(504, answer.status)
            self.assertEqual(runs, len(harness.received_requests))

        cases = (
            ('/stream/single/a', Fault.MUTE, 1),
            ('/stream/a', Fault.MUTE, 2),
            ('/stream/a', Fault.SILENT_MIDWAY, 2),
            ('/stream/thrice/a', Fault.SILENT_MIDWAY, 3),
            ('/plain/a', Fault.MUTE, 2),
            ('/plain/single/a', Fault.MUTE, 1),
            ('/once/a', Fault.MUTE, 1),
        )
        run_each(scenario, cases, 5)

    def test_caller_disconnects(self) -> None:
        """All open attempts are aborted when the caller disconnects."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            harness.set_shared_faults(Fault.SILENT_MIDWAY, Fault.MUTE)
            connection = await channel.Channel.connect(
                path_harness.HOST, harness.port, 5
            )
            connection.send(path_harness.request('/stream/a'))
            await wait_for_runs(harness, 2)
            connection.abort()
            while not all(endpoint.left for endpoint in harness.endpoints):
                await asyncio.sleep(0)
            await wait_until_idle(harness)

        run(scenario)

    def test_deadline(self) -> None:
        """All open attempts are aborted at the deadline."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            harness.set_shared_faults(Fault.SILENT, Fault.SILENT)
            answer = await harness.send('/plain/a', X_Deadline_Ms='800')
            self.assertEqual(504, answer.status)
            self.assertEqual(2, len(harness.executed_requests))
            while not all(endpoint.left for endpoint in harness.endpoints):
                await asyncio.sleep(0)
            await wait_until_idle(harness)

        run(scenario)

    def test_abandoned_before_bound(self) -> None:
        """Silent attempts are aborted before their weights are too old."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            loop = asyncio.get_running_loop()
            bound = loop.time() + 2.2
            harness.cluster.add_desired_version(
                'm', 2, bound - path_harness.DUTIES.version
            )
            harness.set_shared_faults(Fault.SILENT, Fault.SILENT)
            answer = await harness.send('/stream/a')
            self.assertEqual(502, answer.status)
            self.assertEqual(2, len(harness.executed_requests))
            while not all(endpoint.left for endpoint in harness.endpoints):
                await asyncio.sleep(0)
            self.assertLess(loop.time(), bound)

        run(scenario)

    def test_budget_returns(self) -> None:
        """Another endpoint answers once the retry budget has a retry again."""
        duties = msgspec.structs.replace(
            path_harness.DUTIES,
            budget_share=0,
            budget_surplus=2,
            budget_window=1.2,
        )

        async def scenario(harness: path_harness.PathHarness) -> None:
            harness.set_shared_faults(Fault.FULL)
            await harness.send('/plain/a')
            harness.set_shared_faults(Fault.SILENT_MIDWAY)
            answer = await harness.send('/stream/a')
            self.assertEqual(EVENTS, answer.body)
            self.assertEqual(3, len(harness.executed_requests))

        run(
            scenario,
            2,
            msgspec.structs.replace(path_harness.NODE, duties=duties),
        )

    def test_endpoint_appears(self) -> None:
        """Another endpoint answers once there is one."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            unload(harness)
            harness.set_shared_faults(Fault.SILENT_MIDWAY)
            pending_answer = asyncio.create_task(harness.send('/stream/a'))
            await wait_for_runs(harness, 1)
            await asyncio.sleep(SILENCE_SECONDS)
            harness.list_endpoint(harness.endpoints[1], heartbeat=100)
            self.assertEqual(EVENTS, (await pending_answer).body)
            resumed_headers = harness.endpoints[1].ran[0].headers
            self.assertEqual(b'0', resumed_headers.get(b'last-event-id'))

        run(scenario)

    def test_error_beside_silent_attempt(self) -> None:
        """An error of the entry in another attempt ends no silent one."""

        async def scenario(
            harness: path_harness.PathHarness, target: str, silence: Fault
        ) -> None:
            harness.set_shared_faults(silence)
            pending_answer = asyncio.create_task(
                harness.send(target, X_Deadline_Ms=TIMEOUT_MS)
            )
            await wait_for_runs(harness, 1)
            (other,) = [
                endpoint for endpoint in harness.endpoints if not endpoint.came
            ]
            harness.sender._dialect = FailingDialect(other)
            await wait_for_runs(harness, 2)
            await asyncio.sleep(0.1)
            let_go(harness)
            answer = await pending_answer
            self.assertEqual(200, answer.status)
            if target.startswith('/stream'):
                self.assertEqual(EVENTS, answer.body)
            await wait_until_idle(harness)

        run_each(scenario, SILENCES)

    def test_slow_answer_is_not_silence(self) -> None:
        """An endpoint that sends a plain answer slowly is not silent.

        It counted as failed, and another endpoint ran the request as well.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            harness.set_shared_faults(Fault.TRICKLE)
            answer = await harness.send('/plain/a', X_Deadline_Ms='1000')
            self.assertEqual(200, answer.status)
            self.assertEqual(1, len(harness.executed_requests))

        run(scenario)

    def test_frozen_endpoint_is_ejected(self) -> None:
        """An endpoint is ejected that is silent on several requests.

        Its attempts stay open for as long as their requests, and the ejector
        would learn of it too late if it learnt of it only at their end.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            loop = asyncio.get_running_loop()
            (endpoint,) = harness.endpoints
            harness.set_shared_faults(*[Fault.SILENT_MIDWAY] * 3)
            pending_answers = [
                asyncio.create_task(
                    harness.send('/stream/a', X_Attempt_Id=f'r-{number}')
                )
                for number in range(3)
            ]
            ejector = harness.cluster.ejector
            while not ejector.ejected_endpoints(loop.time()):
                await asyncio.sleep(0.01)
            self.assertEqual(0, endpoint.left)
            let_go(harness)
            for answer in await asyncio.gather(*pending_answers):
                self.assertEqual(EVENTS, answer.body)

        run(scenario, 1)


class SilenceLogTest(testtools.TestCase):
    """Log lines tell what became of the attempts at silent endpoints."""

    def test_kept(self) -> None:
        """The lines tell of the silence, of the decision and of its end."""
        lines = capture_lines(self)

        async def scenario(harness: path_harness.PathHarness) -> None:
            harness.set_shared_faults(Fault.SILENT_MIDWAY)
            pending_answer = asyncio.create_task(harness.send('/stream/a'))
            await wait_for_runs(harness, 1)
            await asyncio.sleep(SILENCE_SECONDS)
            let_go(harness)
            await pending_answer

        run(scenario, local_node=NO_BUDGET_NODE)
        expected = (
            ('endpoint silent', 'attempt', 1),
            ('not sending once more', 'decision', 'budget_spent'),
            ('endpoint goes on', 'attempt', 1),
            ('answered', 'attempt', 1),
        )
        self.assertEqual(
            [(message, field) for message, _, field in expected],
            [
                (line['message'], line[name])
                for line in lines
                for message, name, _ in expected
                if line['message'] == message
            ],
        )

    def test_superseded(self) -> None:
        """The lines tell which attempt answered instead."""
        lines = capture_lines(self)

        async def scenario(harness: path_harness.PathHarness) -> None:
            harness.set_shared_faults(Fault.SILENT_MIDWAY)
            await harness.send('/stream/a')

        run(scenario)
        lines_by_message = {line['message']: line for line in lines}
        superseded = lines_by_message['attempt superseded']
        answered = lines_by_message['answered']
        self.assertEqual((1, 2), (superseded['attempt'], answered['attempt']))
        self.assertIn('sending once more', lines_by_message)
        self.assertNotEqual(superseded['endpoint'], superseded['answered_by'])
