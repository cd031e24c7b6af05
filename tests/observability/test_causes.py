"""Tests that the reported cause of a request's outcome is the real one.

Each case provokes one cause at an entry between a caller and simulated
endpoints, and compares it with the cause derived from the entry's log lines.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import typing

import testtools
from loguru import logger

from clementinepass.decisions import held_bytes
from clementinepass.direct import (
    attempt,
    endpoints,
    evacuation,
    routing,
    serving,
)
from clementinepass.http import (
    channel,
    endings,
    front,
    limits,
    messages,
    pool,
    replies,
)
from clementinepass.observability import causes, request_history
from standins import direct_endpoint
from tests.direct import path_harness
from tests.observability import test_request_history

Cause = causes.Cause
Fault = direct_endpoint.Fault
World = path_harness.PathHarness
HOST = path_harness.HOST
#: Value of ``SO_LINGER`` with which closing a socket sends a reset.
LINGER_RESET = struct.pack('ii', 1, 0)
#: Together these events exceed the buffers of a connection.
LONG_EVENT_COUNT = 32
LONG_EVENT = b'x' * (1 << 19)
#: A stream whose callers give up after two seconds, the minimum.
IMPATIENT_ROUTE = path_harness.route(
    'stream', latency_target=0.1, max_event_gap=0.1
)


async def open_running_request(
    world: World,
    target: str,
    **headers: str,
) -> channel.Channel:
    """Send a request and return its connection once an endpoint runs it."""
    caller_channel = await channel.Channel.connect(HOST, world.port, 5)
    caller_channel.send(path_harness.request(target, **headers))
    while not world.executed_requests:
        await asyncio.sleep(0)
    return caller_channel


def block_endpoints(world: World) -> None:
    """Keep all endpoints from sending events."""
    for endpoint in world.endpoints:
        endpoint.going.clear()


async def send_ignoring_failure(
    world: World, target: str, **headers: str
) -> None:
    """Send a request and ignore a broken connection."""
    try:
        await world.send(target, **headers)
    except channel.ChannelBrokenError:
        """The connection of the caller ends without an answer."""


async def wait_until_disconnected(world: World) -> None:
    """Return once the entry has no connections left."""
    while world.front.connections:
        await asyncio.sleep(0.005)


def failing_endpoints(target: str, *faults: Fault, **headers: str) -> Play:
    """Return a play whose attempts meet the given faults in order."""

    async def play(world: World) -> None:
        world.set_shared_faults(*faults)
        await send_ignoring_failure(world, target, **headers)

    return play


def draining_endpoints(target: str, *faults: Fault) -> Play:
    """Return a play whose endpoints say in their answers that they drain."""
    fail = failing_endpoints(target, *faults)

    async def play(world: World) -> None:
        for endpoint in world.endpoints:
            endpoint.is_draining = True
        await fail(world)

    return play


async def answered(world: World) -> None:
    world.set_shared_faults(Fault.CUT)
    await send_ignoring_failure(world, '/stream/a')


async def caller_left(world: World) -> None:
    block_endpoints(world)
    caller_channel = await open_running_request(world, '/stream/a')
    caller_channel.abort()
    await wait_until_disconnected(world)


async def caller_gave_up(world: World) -> None:
    world.configure(2, [IMPATIENT_ROUTE])
    block_endpoints(world)
    caller_channel = await open_running_request(world, '/stream/a')
    await asyncio.sleep(2.05)
    caller_channel.abort()
    await wait_until_disconnected(world)


async def caller_deadline(world: World) -> None:
    block_endpoints(world)
    caller_channel = await open_running_request(
        world, '/stream/a', X_Deadline_Ms='1000'
    )
    await asyncio.sleep(0.8)
    caller_channel.abort()
    await wait_until_disconnected(world)


async def caller_reset(world: World) -> None:
    block_endpoints(world)
    with socket.create_connection((HOST, world.port)) as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        caller.sendall(path_harness.request('/stream/a'))
        while not world.executed_requests:
            await asyncio.sleep(0)
    await wait_until_disconnected(world)


async def caller_unreachable(world: World) -> None:
    """Report a caller as lost, as the event loop does on a kernel timeout."""
    block_endpoints(world)
    caller_channel = await open_running_request(world, '/stream/a')
    (connection,) = world.front.connections
    connection.connection_lost(TimeoutError('110'))
    caller_channel.abort()
    await asyncio.sleep(0.01)


async def cut_at_shutdown(world: World) -> None:
    block_endpoints(world)
    await open_running_request(world, '/stream/a')
    await world.front.close()
    await asyncio.sleep(0.01)


async def answered_at_shutdown(world: World) -> None:
    """The entry gives requests in progress a final answer before it exits."""
    block_endpoints(world)
    await open_running_request(world, '/stream/a')
    world.request_handler.finish_by(asyncio.get_running_loop().time())
    await asyncio.sleep(0.01)


async def draining(world: World) -> None:
    world.drain_state.start(asyncio.get_running_loop().time())
    await send_ignoring_failure(world, '/stream/a')


async def slow_reader(world: World) -> None:
    for endpoint in world.endpoints:
        endpoint.events, endpoint.filling = LONG_EVENT_COUNT, LONG_EVENT
    with socket.create_connection((HOST, world.port)) as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        request = path_harness.request('/stream/a', X_Deadline_Ms='1000')
        caller.sendall(request)
        while not world.executed_requests:
            await asyncio.sleep(0)
        await wait_until_disconnected(world)


async def key_withdrawn(world: World) -> None:
    await send_ignoring_failure(world, '/plain/a', X_Attempt_Id='before')
    world.configure(2, path_harness.ROUTES, keys=(b'another',))
    world.configure(3, path_harness.ROUTES, keys=(b'another',))
    await send_ignoring_failure(world, '/plain/a')


async def route_withdrawn(world: World) -> None:
    await send_ignoring_failure(world, '/plain/a', X_Attempt_Id='before')
    world.configure(2, [path_harness.route('stream')])
    await send_ignoring_failure(world, '/plain/a')


async def starting(world: World) -> None:
    world.cluster.routing = None
    await send_ignoring_failure(world, '/plain/a')


async def no_service(world: World) -> None:
    backends = (routing.Backend('nobody', 1),)
    world.configure(2, [path_harness.route('plain', backends=backends)])
    await send_ignoring_failure(world, '/plain/a')


async def no_endpoint(world: World) -> None:
    for endpoint in world.endpoints:
        world.list_endpoint(endpoint, heartbeat=99, draining=True)
    await send_ignoring_failure(world, '/plain/a')


async def no_weights(world: World) -> None:
    for endpoint in world.endpoints:
        weights = endpoints.Weights(1, 0, 1)
        world.list_endpoint(endpoint, heartbeat=99, weights=weights)
    await send_ignoring_failure(world, '/plain/a')


async def region_not_allowed(world: World) -> None:
    world.configure(
        2, [path_harness.route('plain', allowed_regions=frozenset(('south',)))]
    )
    await send_ignoring_failure(world, '/plain/a')


async def evacuated(world: World) -> None:
    world.cluster.evacuated.apply(evacuation.Evacuation('north-1', True))
    await send_ignoring_failure(world, '/plain/a')


async def memory_full(world: World) -> None:
    world.memory._limits = held_bytes.Limits(0, 0)
    await send_ignoring_failure(world, '/plain/a')


async def overload(world: World) -> None:
    for endpoint in world.cluster.endpoints:
        endpoint.in_flight = 500
    await send_ignoring_failure(world, '/stream/a', X_Token_Usage='900,100')


async def all_paused(world: World) -> None:
    world.set_shared_faults(Fault.PAUSE, Fault.PAUSE)
    for endpoint in world.endpoints:
        endpoint.retry_after = b'20'
    await send_ignoring_failure(world, '/plain/a')


async def all_limited(world: World) -> None:
    """Both endpoints name a limit, and the request cannot wait for it."""
    for endpoint in world.endpoints:
        endpoint.named_limit = b'0.1'
    while not all(endpoint.came for endpoint in world.endpoints):
        await world.send('/plain/a', X_Attempt_Id='before')
    await send_ignoring_failure(world, '/plain/a', X_Deadline_Ms='200')


async def quarantined(world: World) -> None:
    """Three endpoints crash under earlier requests of the same kind."""
    while len(world.endpoints) < 5:
        added = direct_endpoint.DirectEndpoint(f'i-{len(world.endpoints)}')
        await added.__aenter__()
        world.endpoints.append(added)
        world.list_endpoint(added)
    for endpoint in world.endpoints:
        endpoint.faults_by_body[b'body'] = Fault.CRASH
    for number in range(3):
        await world.send('/once/a', X_Attempt_Id=f'before-{number}')
    await send_ignoring_failure(world, '/once/a')


async def quarantined_part(world: World) -> None:
    """Four endpoints crash under other requests with a part of its prompt."""
    while len(world.endpoints) < 6:
        added = direct_endpoint.DirectEndpoint(f'i-{len(world.endpoints)}')
        await added.__aenter__()
        world.endpoints.append(added)
        world.list_endpoint(added)
    for endpoint in world.endpoints:
        endpoint.faults_by_prompt_part[b'bad0'] = Fault.CRASH
    for number in range(4):
        for parts in ('5c1e:1,1:1', '5c1e:1,bad0:1,2:1'):
            await world.send(
                '/once/a',
                b'%d' % number,
                X_Attempt_Id=f'before-{number}',
                X_Prompt_Prefix=parts,
            )
            await asyncio.sleep(0.1)
        now = asyncio.get_running_loop().time()
        for endpoint in world.endpoints:
            if endpoint.crashed.is_set():
                world.cluster.endpoints.mark_removed(endpoint.id, now, 0)
    await send_ignoring_failure(world, '/once/a', X_Prompt_Prefix='bad0:1,3:1')


async def drains_during_setup(world: World) -> None:
    pending = asyncio.create_task(send_ignoring_failure(world, '/once/a'))
    loop = asyncio.get_running_loop()
    while not world.cluster.in_flight_by_endpoint(loop.time()):
        await asyncio.sleep(0)
    for endpoint in world.endpoints:
        world.list_endpoint(endpoint, heartbeat=9, draining=True)
    await pending


async def unreachable(world: World) -> None:
    for endpoint in world.endpoints:
        await endpoint.__aexit__()
    await send_ignoring_failure(world, '/once/a')


async def endpoint_connection_lost(world: World) -> None:
    """A load balancer in front of the endpoint resets each connection."""

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.read(10)
        peer_socket = writer.get_extra_info('socket')
        peer_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
        )
        writer.transport.abort()

    async with await asyncio.start_server(serve, HOST, 0) as server:
        port = server.sockets[0].getsockname()[1]
        for endpoint in world.endpoints:
            world.list_endpoint(
                endpoint, heartbeat=99, address=f'{HOST}:{port}'
            )
        await send_ignoring_failure(world, '/once/a')


async def retry_budget_spent(world: World) -> None:
    duties = path_harness.DUTIES
    before = duties.budget_share, duties.budget_surplus
    duties.budget_share, duties.budget_surplus = 0, 0
    try:
        await failing_endpoints('/plain/a', Fault.LOST)(world)
    finally:
        duties.budget_share, duties.budget_surplus = before


async def weights_too_old(world: World) -> None:
    now = asyncio.get_running_loop().time()
    world.cluster.add_desired_version(
        'm', 2, now - path_harness.DUTIES.version + 0.9
    )
    await failing_endpoints('/stream/a', Fault.MUTE, Fault.MUTE)(world)


async def engine_loading(world: World) -> None:
    block_endpoints(world)
    task = asyncio.create_task(send_ignoring_failure(world, '/stream/once/a'))
    while not world.executed_requests:
        await asyncio.sleep(0)
    for endpoint in world.endpoints:
        weights = endpoints.Weights(2, 0, 0)
        world.list_endpoint(endpoint, heartbeat=99, weights=weights)
        await endpoint.__aexit__()
    await task


class FaultySender(attempt.Sender):
    """A sender that raises an unexpected error."""

    async def _exchange(self, *_: object) -> serving.AttemptResult:
        """Raise an error that no caller handles."""
        raise RuntimeError('nobody foresaw it')


async def internal_error(world: World) -> None:
    sender = world.sender
    world.request_handler._sender = FaultySender(
        sender._cluster, sender._dialect, sender._log
    )
    await send_ignoring_failure(world, '/plain/a')


async def cancelled(world: World) -> None:
    block_endpoints(world)
    await open_running_request(world, '/stream/a')
    (connection,) = world.front.connections
    assert connection._serve_task is not None
    connection._serve_task.cancel()
    await asyncio.sleep(0.01)


Play = typing.Callable[[World], typing.Awaitable[None]]

#: The play, its cause, and a fragment of the sentences that explain it.
CASES: tuple[tuple[Play, Cause, str], ...] = (
    (answered, Cause.ANSWERED, 'gave no whole answer'),
    (caller_left, Cause.CALLER_LEFT, 'had been silent for'),
    (caller_gave_up, Cause.CALLER_GAVE_UP, 'callers wait 2.0 s'),
    (caller_deadline, Cause.CALLER_DEADLINE, 'its time was over'),
    (caller_reset, Cause.CONNECTION_RESET, 'is not known'),
    (caller_unreachable, Cause.CONNECTION_LOST, 'not be reached'),
    (cut_at_shutdown, Cause.CUT_AT_SHUTDOWN, 'told to end'),
    (answered_at_shutdown, Cause.CUT_AT_SHUTDOWN, 'told to end'),
    (draining, Cause.DRAINING, 'no time left'),
    (slow_reader, Cause.SLOW_READER, 'yet to read'),
    (
        failing_endpoints('/plain/a', X_Deadline_Ms='soon'),
        Cause.MALFORMED,
        'says it wrongly',
    ),
    (
        failing_endpoints('/plain/a', X_Api_Key='x'),
        Cause.UNKNOWN_KEY,
        '(1 was in force)',
    ),
    (key_withdrawn, Cause.KEY_WITHDRAWN, '1 had it, 3 has not'),
    (failing_endpoints('/none/a'), Cause.UNKNOWN_ROUTE, '(1 was in force)'),
    (route_withdrawn, Cause.ROUTE_WITHDRAWN, '1 had it, 2 has not'),
    (starting, Cause.STARTING, 'just started'),
    (no_service, Cause.NO_SERVICE, 'service nobody'),
    (no_endpoint, Cause.NO_ENDPOINT, 'service pool'),
    (no_weights, Cause.NO_WEIGHTS, 'service pool'),
    (region_not_allowed, Cause.REGION_NOT_ALLOWED, 'service pool'),
    (evacuated, Cause.EVACUATED, 'service pool'),
    (memory_full, Cause.MEMORY_FULL, 'too many bytes'),
    (overload, Cause.OVERLOAD, 'for 16 slots'),
    (all_paused, Cause.ALL_PAUSED, 'service pool'),
    (all_limited, Cause.ALL_LIMITED, 'service pool'),
    (quarantined, Cause.QUARANTINED, 'one after the other'),
    (quarantined_part, Cause.QUARANTINED, 'in their prompts crashed'),
    (
        failing_endpoints('/once/a', Fault.FULL, Fault.FULL),
        Cause.REJECTED,
        'with 503',
    ),
    (
        failing_endpoints('/once/a', Fault.ANOTHER, Fault.ANOTHER),
        Cause.MISDIRECTED,
        'was another',
    ),
    (
        draining_endpoints('/once/a', Fault.FULL, Fault.FULL),
        Cause.REJECTED,
        'said for the first time that it drains',
    ),
    (
        drains_during_setup,
        Cause.NO_ENDPOINT,
        'stopped being available while a connection to it was opened',
    ),
    (unreachable, Cause.UNREACHABLE, 'no connection'),
    (endpoint_connection_lost, Cause.ENDPOINT_CONNECTION_LOST, 'may_have_run'),
    (
        failing_endpoints('/once/a', Fault.LOST),
        Cause.ENDPOINT_CLOSED,
        'not sent again: may_have_run',
    ),
    (
        failing_endpoints('/once/twice/a', Fault.FULL, Fault.LOST),
        Cause.ENDPOINT_CLOSED,
        'turned it away',
    ),
    (
        failing_endpoints('/plain/a', Fault.MUTE, X_Deadline_Ms='110'),
        Cause.ENDPOINT_SILENT,
        'not sent again: no_time',
    ),
    (
        failing_endpoints('/once/a', Fault.UNSTAMPED),
        Cause.ENDPOINT_MALFORMED,
        'not a valid answer to this request',
    ),
    (
        failing_endpoints('/stream/once/a', Fault.GAP),
        Cause.ENDPOINT_MALFORMED,
        '2 is not the event after 0',
    ),
    (
        failing_endpoints('/once/a', Fault.ERROR),
        Cause.ENDPOINT_FAILED,
        'with 500',
    ),
    (
        failing_endpoints('/plain/a', Fault.ERROR, Fault.LOST),
        Cause.ENDPOINT_FAILED,
        'enough_runs',
    ),
    (
        failing_endpoints('/once/a', Fault.MUTE, X_Deadline_Ms='80'),
        Cause.DEADLINE,
        'had been silent for',
    ),
    (
        failing_endpoints('/short/a', Fault.MUTE),
        Cause.ROUTE_TIMEOUT,
        'had been silent for',
    ),
    (retry_budget_spent, Cause.RETRY_BUDGET_SPENT, 'gave no whole answer'),
    (weights_too_old, Cause.WEIGHTS_TOO_OLD, 'about to be too old'),
    (engine_loading, Cause.ENGINE_LOADING, 'took up new weights'),
    (internal_error, Cause.INTERNAL_ERROR, 'nobody foresaw it'),
    (cancelled, Cause.UNKNOWN, 'nothing tells by whom'),
)


def capture_lines(play: Play) -> list[bytes]:
    """Return the log lines that an entry writes during a play."""
    payload: list[bytes] = []

    def take(message: typing.Any) -> None:
        record = message.record
        line = {
            'time': record['time'].isoformat(),
            'message': record['message'],
            **record['extra'],
        }
        payload.append(json.dumps(line, default=str).encode())

    handle = logger.add(take, level='INFO', format='{message}')
    try:
        path_harness.run(play)
    finally:
        logger.remove(handle)
    return payload


def explain_request(
    lines: list[bytes], request: str = 'r-1'
) -> request_history.RequestHistory:
    """Return the history of a request from log lines."""
    collection = request_history.LogCollection()
    collection.add('entry-1', lines)
    history = collection.build_history(request)
    assert history is not None
    return history


class MatrixTest(testtools.TestCase):
    """Every cause is reported as such.

    An entry that exited cut off a stream, but its log blamed the caller with
    'caller left', so that the fault was looked for at the caller.
    """

    def test_causes(self) -> None:
        """The reported cause is the one that was provoked."""
        wrong = []
        for play, cause, fragment in CASES:
            verdict = explain_request(capture_lines(play)).verdict
            explanation = ' | '.join((verdict.sentence, *verdict.contributions))
            if verdict.cause is not cause or fragment not in explanation:
                wrong.append((cause.value, verdict.cause.value, explanation))
        self.assertEqual([], wrong)

    def test_every_cause_is_covered(self) -> None:
        """Each cause has a case here or a test of log lines below."""
        covered = {cause for _, cause, _ in CASES}
        self.assertEqual(set(Cause), covered | {Cause.PROCESS_KILLED})
        self.assertEqual(set(Cause), set(causes.SENTENCE_BY_CAUSE))


line = test_request_history.line
SENT = line(2, 'sent', request='r', attempt=2, endpoint='i-1')


class LinesTest(testtools.TestCase):
    """Causes proved by lines of other events, and missing proof."""

    def cause(self, *lines: bytes) -> Cause:
        """Return the cause of the request ``r`` from the lines of one process."""
        return explain_request(list(lines), 'r').verdict.cause

    def test_process_killed(self) -> None:
        """An entry that starts again without a stop was killed."""
        started = line(4, 'entry started', node='entry-1')
        self.assertEqual(Cause.PROCESS_KILLED, self.cause(SENT, started))
        first = line(4, 'configuration in force', version=3, before=0)
        self.assertEqual(Cause.PROCESS_KILLED, self.cause(SENT, first))
        newer = line(4, 'configuration in force', version=4, before=3)
        self.assertEqual(Cause.UNKNOWN, self.cause(SENT, newer))
        stopped = line(3, 'stopped', node='entry-1')
        self.assertEqual(Cause.UNKNOWN, self.cause(SENT, stopped, started))
        dropped = line(2.5, 'lines dropped', lines=3)
        self.assertEqual(Cause.UNKNOWN, self.cause(SENT, dropped, started))
        self.assertEqual(Cause.UNKNOWN, self.cause(SENT))

    def test_every_reason_has_a_cause(self) -> None:
        """Every reason and outcome that an entry logs has a known cause."""
        for ending in serving.Ending:
            if ending in {serving.Ending.BROKEN, serving.Ending.INTERNAL_ERROR}:
                continue
            ended = line(
                3,
                'ended without an answer',
                request='r',
                reason=ending.value,
                outcomes=['failed', 'turned_away'],
                last_in=0,
            )
            self.assertNotEqual(Cause.UNKNOWN, self.cause(ended), ending)
        for outcome in serving.AttemptFailure:
            ended = line(
                3,
                'ended without an answer',
                request='r',
                reason='broken',
                outcomes=['spoilt', outcome.value],
            )
            self.assertNotEqual(Cause.UNKNOWN, self.cause(ended), outcome)

    def test_line_of_an_earlier_version(self) -> None:
        """A line 'caller left' without evidence proves no cause."""
        left = line(3, 'caller left', request='r', attempts=1, seconds=1.0)
        self.assertEqual(Cause.UNKNOWN, self.cause(SENT, left))

    def test_unexpected_values(self) -> None:
        """Fields of unexpected types and unknown reasons prove no cause."""
        for fields in (
            {'end': 'caller_closed', 'left': 'x', 'waited': 1},
            {'end': 'caller_closed', 'left': 5},
            {'left': 5, 'waited': 1, 'patience': None},
        ):
            left = line(3, 'caller left', request='r', **fields)
            self.assertEqual(Cause.UNKNOWN, self.cause(SENT, left))
        ended = line(3, 'ended without an answer', request='r', reason=['x'])
        self.assertEqual(Cause.UNKNOWN, self.cause(SENT, ended))

    def test_attempt_lines_missing(self) -> None:
        """Without lines on the attempts, the final line gives their outcomes."""
        for reason, outcomes, cause in (
            ('broken', ['lost', 'turned_away'], Cause.ENDPOINT_CONNECTION_LOST),
            ('turned_away', ['misdirected'], Cause.MISDIRECTED),
            ('broken', ['turned_away'], Cause.UNKNOWN),
            ('broken', ['of a later version'], Cause.UNKNOWN),
        ):
            ended = line(
                3,
                'ended without an answer',
                request='r',
                reason=reason,
                outcomes=outcomes,
            )
            self.assertEqual(cause, self.cause(ended))

    def test_ending_of_an_earlier_version(self) -> None:
        """A final line without outcomes of the attempts proves no cause."""
        for reason in ('broken', 'turned_away', 'endpoint_failed'):
            ended = line(
                3, 'ended without an answer', request='r', reason=reason
            )
            self.assertEqual(Cause.UNKNOWN, self.cause(ended))

    def test_cut_by_load_order(self) -> None:
        """An order to load in the agent's log explains an aborted stream.

        The entry does not know of the order yet when the engine aborts.
        """
        failed = line(
            3,
            'attempt failed',
            request='r',
            endpoint='i-1',
            engine='h:1',
            attempt=1,
            execution='may_have_run',
            fault='ended',
        )
        ended = line(
            3.1,
            'ended without an answer',
            request='r',
            reason='broken',
            outcomes=['ended'],
        )
        for engine, second, cause in (
            ('h:1', 2, Cause.ENGINE_LOADING),
            ('h:2', 2, Cause.ENDPOINT_CLOSED),
            ('h:1', 3.05, Cause.ENDPOINT_CLOSED),
        ):
            agent = [
                line(1, 'agent started', engine=engine),
                line(second, 'ordered to load', answer='accepted'),
            ]
            collection = request_history.LogCollection()
            collection.add('entry-1', [SENT, failed, ended])
            collection.add('agent-1', agent)
            history = collection.build_history('r')
            assert history is not None
            self.assertEqual(cause, history.verdict.cause)


class EndTest(testtools.TestCase):
    """The end of a connection is attributed to the side that caused it."""

    def test_errors(self) -> None:
        """Errors of the kernel are mapped to ends; only a reset blames the caller."""
        for error, end in (
            (ConnectionResetError(104, 'reset'), endings.End.CALLER_RESET),
            (BrokenPipeError(32, 'pipe'), endings.End.CALLER_RESET),
            (TimeoutError(110, 'timed out'), endings.End.CALLER_SILENT),
            (OSError(113, 'no route'), endings.End.TRANSPORT_FAULT),
            (None, endings.End.NOT_KNOWN),
        ):
            self.assertEqual(end, endings.classify_error(error))

    def test_ends_by_this_process(self) -> None:
        """A connection closed by the entry has the reason as its end."""
        head = b'GET /a HTTP/1.1\r\nHost: h\r\n'
        bounds = limits.Bounds(header_seconds=0.05, idle_seconds=0.1)
        table = (
            (b'', endings.End.IDLE),
            (head, endings.End.HEAD_LATE),
            (b'nonsense\r\n\r\n', endings.End.INPUT_REFUSED),
            (head + b'Connection: close\r\n\r\n', endings.End.LAST_ANSWER),
            (head + b'A: broken-off\r\n\r\n', endings.End.BROKEN_OFF),
        )

        async def handle(
            request: messages.Request,
            reply: replies.Reply,
        ) -> None:
            if request.headers.get(b'a') is None:
                reply.send(200, [], b'')
            else:
                reply.start(200, [])

        async def play() -> None:
            listener = front.Front(handle, lambda: bounds)
            port = await listener.listen(HOST, 0)
            for payload, end in table:
                reader, writer = await asyncio.open_connection(HOST, port)
                while not listener.connections:
                    await asyncio.sleep(0)
                (connection,) = listener.connections
                writer.write(payload)
                async with asyncio.timeout(10):
                    await reader.read()
                    while listener.connections:
                        await asyncio.sleep(0)
                self.assertEqual(end, connection.ending, payload)
                writer.close()
            await listener.close()

        asyncio.run(play())

    def test_refused_input(self) -> None:
        """Malformed input is logged at most once a second."""

        async def play(world: World) -> None:
            for _ in range(5):
                caller_channel = await channel.Channel.connect(
                    HOST, world.port, 5
                )
                caller_channel.send(b'\0\0\r\n\r\n')
                self.assertEqual(400, (await caller_channel.read_head()).status)
                caller_channel.abort()
            late = await pool.fetch(
                pool.Pool(HOST, world.port),
                path_harness.request('/plain/a'),
                5,
            )
            self.assertEqual(200, late.status)

        refused_lines = [
            log_line
            for log_line in capture_lines(play)
            if b'input refused' in log_line
        ]
        self.assertEqual(1, len(refused_lines))
