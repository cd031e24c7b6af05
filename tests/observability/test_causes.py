"""Tests that the cause which is told of a request is the one that it had.

Each case brings one cause about at an entry between a caller and endpoints
that do as they are told, and holds what the entry's lines say against it.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import typing

import testtools
from loguru import logger

from clementinepass.direct import attempt, endpoints, routing, serving
from clementinepass.http import (
    channel,
    endings,
    front,
    limits,
    messages,
    pool,
    replies,
)
from clementinepass.observability import causes, stories
from standins import direct_endpoint
from tests.direct import path_harness
from tests.observability import test_stories

Cause = causes.Cause
Fault = direct_endpoint.Fault
World = path_harness.PathHarness
HOST = path_harness.HOST
#: An option with which the end of a socket is a reset.
RESET_AT_END = struct.pack('ii', 1, 0)
#: Together longer than what the buffers of a connection take.
LONG_EVENTS = 32
LONG_EVENT = b'x' * (1 << 19)
#: A stream whose callers leave after two seconds, the least of all.
HURRIED = path_harness.route('stream', latency_target=0.1, max_event_gap=0.1)


async def connected(
    world: World,
    target: str,
    **headers: str,
) -> channel.Channel:
    """Send a request and return when an endpoint runs it."""
    used = await channel.Channel.connect(HOST, world.port, 5)
    used.send(path_harness.request(target, **headers))
    while not world.executed_requests:
        await asyncio.sleep(0)
    return used


def hold(world: World) -> None:
    """Let no endpoint send an event."""
    for one in world.endpoints:
        one.going.clear()


async def asked(world: World, target: str, **headers: str) -> None:
    """Ask, whatever comes of it."""
    try:
        await world.send(target, **headers)
    except channel.ChannelBrokenError:
        """The caller sees that there is no answer, and no more."""


async def forgotten(world: World) -> None:
    """Return when the entry has no connection left."""
    while world.front.connections:
        await asyncio.sleep(0.005)


def failing(target: str, *faults: Fault, **headers: str) -> Play:
    """Return a play in which endpoints fail, one after the other."""

    async def play(world: World) -> None:
        world.set_shared_faults(*faults)
        await asked(world, target, **headers)

    return play


async def answered(world: World) -> None:
    world.set_shared_faults(Fault.CUT)
    await asked(world, '/stream/a')


async def caller_left(world: World) -> None:
    hold(world)
    used = await connected(world, '/stream/a')
    used.abort()
    await forgotten(world)


async def caller_gave_up(world: World) -> None:
    world.configure(2, [HURRIED])
    hold(world)
    used = await connected(world, '/stream/a')
    await asyncio.sleep(2.05)
    used.abort()
    await forgotten(world)


async def caller_deadline(world: World) -> None:
    hold(world)
    used = await connected(world, '/stream/a', X_Deadline_Ms='1000')
    await asyncio.sleep(0.8)
    used.abort()
    await forgotten(world)


async def reset(world: World) -> None:
    hold(world)
    with socket.create_connection((HOST, world.port)) as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_END)
        caller.sendall(path_harness.request('/stream/a'))
        while not world.executed_requests:
            await asyncio.sleep(0)
    await forgotten(world)


async def caller_unreachable(world: World) -> None:
    """What the event loop calls when the kernel gives a caller up."""
    hold(world)
    used = await connected(world, '/stream/a')
    (one,) = world.front.connections
    one.connection_lost(TimeoutError('110'))
    used.abort()
    await asyncio.sleep(0.01)


async def cut_at_end(world: World) -> None:
    hold(world)
    await connected(world, '/stream/a')
    await world.front.close()
    await asyncio.sleep(0.01)


async def ended_at_end(world: World) -> None:
    """The entry gives what it has in progress a final answer in time."""
    hold(world)
    await connected(world, '/stream/a')
    world.request_handler.finish_by(asyncio.get_running_loop().time())
    await asyncio.sleep(0.01)


async def leaving(world: World) -> None:
    world.drain_state.start(asyncio.get_running_loop().time())
    await asked(world, '/stream/a')


async def slow_reader(world: World) -> None:
    for one in world.endpoints:
        one.events, one.filling = LONG_EVENTS, LONG_EVENT
    with socket.create_connection((HOST, world.port)) as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        request = path_harness.request('/stream/a', X_Deadline_Ms='1000')
        caller.sendall(request)
        while not world.executed_requests:
            await asyncio.sleep(0)
        await forgotten(world)


async def key_withdrawn(world: World) -> None:
    await asked(world, '/plain/a', X_Attempt_Id='before')
    world.configure(2, path_harness.ROUTES, keys=(b'another',))
    world.configure(3, path_harness.ROUTES, keys=(b'another',))
    await asked(world, '/plain/a')


async def route_withdrawn(world: World) -> None:
    await asked(world, '/plain/a', X_Attempt_Id='before')
    world.configure(2, [path_harness.route('stream')])
    await asked(world, '/plain/a')


async def starting(world: World) -> None:
    world.cluster.routing = None
    await asked(world, '/plain/a')


async def no_service(world: World) -> None:
    backends = (routing.Backend('nobody', 1),)
    world.configure(2, [path_harness.route('plain', backends=backends)])
    await asked(world, '/plain/a')


async def no_endpoint(world: World) -> None:
    for one in world.endpoints:
        world.list_endpoint(one, heartbeat=99, draining=True)
    await asked(world, '/plain/a')


async def no_weights(world: World) -> None:
    for one in world.endpoints:
        weights = endpoints.Weights(1, 0, 1)
        world.list_endpoint(one, heartbeat=99, weights=weights)
    await asked(world, '/plain/a')


async def overload(world: World) -> None:
    for one in world.cluster.endpoints:
        one.in_flight = 500
    await asked(world, '/stream/a', X_Token_Usage='900,100')


async def unreachable(world: World) -> None:
    for one in world.endpoints:
        await one.__aexit__()
    await asked(world, '/once/a')


async def endpoint_lost(world: World) -> None:
    """A load balancer before the endpoint resets each connection."""

    async def serve(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.read(10)
        used = writer.get_extra_info('socket')
        used.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_END)
        writer.transport.abort()

    async with await asyncio.start_server(serve, HOST, 0) as server:
        port = server.sockets[0].getsockname()[1]
        for one in world.endpoints:
            world.list_endpoint(one, heartbeat=99, address=f'{HOST}:{port}')
        await asked(world, '/once/a')


async def budget(world: World) -> None:
    duties = path_harness.DUTIES
    before = duties.budget_share, duties.budget_surplus
    duties.budget_share, duties.budget_surplus = 0, 0
    try:
        await failing('/plain/a', Fault.LOST)(world)
    finally:
        duties.budget_share, duties.budget_surplus = before


async def weights_too_old(world: World) -> None:
    now = asyncio.get_running_loop().time()
    world.cluster.add_desired_version(
        'm', 2, now - path_harness.DUTIES.version + 0.9
    )
    await failing('/stream/a', Fault.MUTE, Fault.MUTE)(world)


async def took_up_weights(world: World) -> None:
    hold(world)
    task = asyncio.create_task(asked(world, '/stream/once/a'))
    while not world.executed_requests:
        await asyncio.sleep(0)
    for one in world.endpoints:
        weights = endpoints.Weights(2, 0, 0)
        world.list_endpoint(one, heartbeat=99, weights=weights)
        await one.__aexit__()
    await task


class FaultySender(attempt.Sender):
    """Fails as no code is meant to."""

    def __init__(self) -> None:
        """Need nothing."""

    async def send(self, *_: object) -> serving.AttemptResult:
        """Raise what nobody catches."""
        raise RuntimeError('nobody foresaw it')


async def own_fault(world: World) -> None:
    world.request_handler._sender = FaultySender()
    await asked(world, '/plain/a')


async def cancelled(world: World) -> None:
    hold(world)
    await connected(world, '/stream/a')
    (one,) = world.front.connections
    assert one._serve_task is not None
    one._serve_task.cancel()
    await asyncio.sleep(0.01)


Play = typing.Callable[[World], typing.Awaitable[None]]

#: What happens, the cause, and words of the sentence or of what led to it.
CASES: tuple[tuple[Play, Cause, str], ...] = (
    (answered, Cause.ANSWERED, 'gave no whole answer'),
    (caller_left, Cause.CALLER_LEFT, 'had been silent for'),
    (caller_gave_up, Cause.CALLER_GAVE_UP, 'callers wait 2.0 s'),
    (caller_deadline, Cause.CALLER_DEADLINE, 'its time was over'),
    (reset, Cause.CONNECTION_RESET, 'is not known'),
    (caller_unreachable, Cause.CONNECTION_LOST, 'not be reached'),
    (cut_at_end, Cause.CUT_AT_END, 'told to end'),
    (ended_at_end, Cause.CUT_AT_END, 'told to end'),
    (leaving, Cause.LEAVING, 'no time left'),
    (slow_reader, Cause.SLOW_READER, 'yet to read'),
    (
        failing('/plain/a', X_Deadline_Ms='soon'),
        Cause.MALFORMED,
        'says it wrongly',
    ),
    (failing('/plain/a', X_Api_Key='x'), Cause.UNKNOWN_KEY, '(1 was in force)'),
    (key_withdrawn, Cause.KEY_WITHDRAWN, '1 had it, 3 has not'),
    (failing('/none/a'), Cause.UNKNOWN_ROUTE, '(1 was in force)'),
    (route_withdrawn, Cause.ROUTE_WITHDRAWN, '1 had it, 2 has not'),
    (starting, Cause.STARTING, 'just started'),
    (no_service, Cause.NO_SERVICE, 'service nobody'),
    (no_endpoint, Cause.NO_ENDPOINT, 'service pool'),
    (no_weights, Cause.NO_WEIGHTS, 'service pool'),
    (overload, Cause.OVERLOAD, 'for 16 slots'),
    (
        failing('/once/a', Fault.FULL, Fault.FULL),
        Cause.TURNED_AWAY,
        'with 503',
    ),
    (
        failing('/once/a', Fault.ANOTHER, Fault.ANOTHER),
        Cause.MISDIRECTED,
        'was another',
    ),
    (unreachable, Cause.UNREACHABLE, 'no connection'),
    (endpoint_lost, Cause.ENDPOINT_LOST, 'may_have_run'),
    (
        failing('/once/a', Fault.LOST),
        Cause.ENDPOINT_ENDED,
        'not sent again: may_have_run',
    ),
    (
        failing('/once/twice/a', Fault.FULL, Fault.LOST),
        Cause.ENDPOINT_ENDED,
        'turned it away',
    ),
    (
        failing('/plain/a', Fault.MUTE, X_Deadline_Ms='110'),
        Cause.ENDPOINT_SILENT,
        'not sent again: no_time',
    ),
    (
        failing('/once/a', Fault.UNSTAMPED),
        Cause.ENDPOINT_SPOILT,
        'not a valid answer to this request',
    ),
    (
        failing('/stream/once/a', Fault.GAP),
        Cause.ENDPOINT_SPOILT,
        '2 is not the event after 0',
    ),
    (failing('/once/a', Fault.ERROR), Cause.ENDPOINT_FAILED, 'with 500'),
    (
        failing('/plain/a', Fault.ERROR, Fault.LOST),
        Cause.ENDPOINT_FAILED,
        'enough_runs',
    ),
    (
        failing('/once/a', Fault.MUTE, X_Deadline_Ms='80'),
        Cause.DEADLINE,
        'had been silent for',
    ),
    (
        failing('/short/a', Fault.MUTE),
        Cause.ROUTE_TIME,
        'had been silent for',
    ),
    (budget, Cause.BUDGET, 'gave no whole answer'),
    (weights_too_old, Cause.WEIGHTS_TOO_OLD, 'about to be too old'),
    (took_up_weights, Cause.TOOK_UP_WEIGHTS, 'took up new weights'),
    (own_fault, Cause.OWN_FAULT, 'nobody foresaw it'),
    (cancelled, Cause.NOT_KNOWN, 'nothing tells by whom'),
)


def written(play: Play) -> list[bytes]:
    """Return the lines that an entry writes during a play."""
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


def story_of(lines: list[bytes], request: str = 'r-1') -> stories.Story:
    """Return what is told of a request."""
    collected = stories.Collected()
    collected.add('entry-1', lines)
    story = collected.story(request)
    assert story is not None
    return story


class MatrixTest(testtools.TestCase):
    """An answer that an entry cut at its own end.

    The caller saw its connection end in the middle of a stream.  The log said
    'caller left', and whoever looked for the cause asked the caller's owners.
    """

    def test_causes(self) -> None:
        """What is told is what was brought about."""
        wrong = []
        for play, cause, words in CASES:
            verdict = story_of(written(play)).verdict
            told = ' | '.join((verdict.sentence, *verdict.led))
            if verdict.cause is not cause or words not in told:
                wrong.append((cause.value, verdict.cause.value, told))
        self.assertEqual([], wrong)

    def test_all_causes(self) -> None:
        """Each cause is brought about by a case, or by lines alone below."""
        covered = {cause for _, cause, _ in CASES}
        self.assertEqual(set(Cause), covered | {Cause.PROCESS_GONE})
        self.assertEqual(set(Cause), set(causes.SENTENCE_BY_CAUSE))


line = test_stories.line
SENT = line(2, 'sent', request='r', attempt=2, endpoint='i-1')


class LinesTest(testtools.TestCase):
    """Causes that are proved by what else was written, or by nothing."""

    def cause(self, *lines: bytes) -> Cause:
        """Return the cause of a request from one process's lines."""
        return story_of(list(lines), 'r').verdict.cause

    def test_process_gone(self) -> None:
        """An entry was killed: it began anew without having stopped."""
        started = line(4, 'entry started', node='entry-1')
        self.assertEqual(Cause.PROCESS_GONE, self.cause(SENT, started))
        first = line(4, 'configuration in force', version=3, before=0)
        self.assertEqual(Cause.PROCESS_GONE, self.cause(SENT, first))
        newer = line(4, 'configuration in force', version=4, before=3)
        self.assertEqual(Cause.NOT_KNOWN, self.cause(SENT, newer))
        stopped = line(3, 'stopped', node='entry-1')
        self.assertEqual(Cause.NOT_KNOWN, self.cause(SENT, stopped, started))
        dropped = line(2.5, 'lines dropped', lines=3)
        self.assertEqual(Cause.NOT_KNOWN, self.cause(SENT, dropped, started))
        self.assertEqual(Cause.NOT_KNOWN, self.cause(SENT))

    def test_each_reason(self) -> None:
        """No reason or outcome that an entry writes is unknown to explain."""
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
            self.assertNotEqual(Cause.NOT_KNOWN, self.cause(ended), ending)
        for outcome in serving.AttemptFailure:
            ended = line(
                3,
                'ended without an answer',
                request='r',
                reason='broken',
                outcomes=['spoilt', outcome.value],
            )
            self.assertNotEqual(Cause.NOT_KNOWN, self.cause(ended), outcome)

    def test_lines_of_an_earlier_version(self) -> None:
        """A line that blames the caller without evidence proves nothing."""
        left = line(3, 'caller left', request='r', attempts=1, seconds=1.0)
        self.assertEqual(Cause.NOT_KNOWN, self.cause(SENT, left))

    def test_foreign_values(self) -> None:
        """Fields of another type, and reasons that nobody knows."""
        for fields in (
            {'end': 'caller_closed', 'left': 'x', 'waited': 1},
            {'end': 'caller_closed', 'left': 5},
            {'left': 5, 'waited': 1, 'patience': None},
        ):
            left = line(3, 'caller left', request='r', **fields)
            self.assertEqual(Cause.NOT_KNOWN, self.cause(SENT, left))
        ended = line(3, 'ended without an answer', request='r', reason=['x'])
        self.assertEqual(Cause.NOT_KNOWN, self.cause(SENT, ended))

    def test_attempts_were_dropped(self) -> None:
        """The ending alone says what became of the attempts."""
        for reason, outcomes, cause in (
            ('broken', ['lost', 'turned_away'], Cause.ENDPOINT_LOST),
            ('turned_away', ['misdirected'], Cause.MISDIRECTED),
            ('broken', ['turned_away'], Cause.NOT_KNOWN),
            ('broken', ['of a later version'], Cause.NOT_KNOWN),
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
        """It doesn't say what became of the attempts."""
        for reason in ('broken', 'turned_away', 'endpoint_failed'):
            ended = line(
                3, 'ended without an answer', request='r', reason=reason
            )
            self.assertEqual(Cause.NOT_KNOWN, self.cause(ended))

    def test_cut_by_an_order_to_load(self) -> None:
        """The agent's log says that its engine was ordered to load.

        The entry had not heard of it yet when the engine cut the stream.
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
            ('h:1', 2, Cause.TOOK_UP_WEIGHTS),
            ('h:2', 2, Cause.ENDPOINT_ENDED),
            ('h:1', 3.05, Cause.ENDPOINT_ENDED),
        ):
            agent = [
                line(1, 'agent started', engine=engine),
                line(second, 'ordered to load', answer='accepted'),
            ]
            collected = stories.Collected()
            collected.add('entry-1', [SENT, failed, ended])
            collected.add('agent-1', agent)
            story = collected.story('r')
            assert story is not None
            self.assertEqual(cause, story.verdict.cause)


class EndTest(testtools.TestCase):
    """Whose doing the end of a connection is, by what the kernel says."""

    def test_errors(self) -> None:
        """Only a reset is said to come from the caller's side."""
        for error, end in (
            (ConnectionResetError(104, 'reset'), endings.End.CALLER_RESET),
            (BrokenPipeError(32, 'pipe'), endings.End.CALLER_RESET),
            (TimeoutError(110, 'timed out'), endings.End.CALLER_SILENT),
            (OSError(113, 'no route'), endings.End.TRANSPORT_FAULT),
            (None, endings.End.NOT_KNOWN),
        ):
            self.assertEqual(end, endings.classify_error(error))

    def test_own_ends(self) -> None:
        """An end of ours is known as ours, and why we ended it."""
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

        async def play() -> None:
            listener = front.Front(handle, lambda: bounds)
            port = await listener.listen(HOST, 0)
            for payload, end in table:
                reader, writer = await asyncio.open_connection(HOST, port)
                while not listener.connections:
                    await asyncio.sleep(0)
                (one,) = listener.connections
                writer.write(payload)
                async with asyncio.timeout(10):
                    await reader.read()
                    while listener.connections:
                        await asyncio.sleep(0)
                self.assertEqual(end, one.ending, payload)
                writer.close()
            await listener.close()

        asyncio.run(play())

    def test_refused_input(self) -> None:
        """Garbage is told of, and not more often than once a second."""

        async def play(world: World) -> None:
            for _ in range(5):
                used = await channel.Channel.connect(HOST, world.port, 5)
                used.send(b'\0\0\r\n\r\n')
                self.assertEqual(400, (await used.read_head()).status)
                used.abort()
            late = await pool.fetch(
                pool.Pool(HOST, world.port),
                path_harness.request('/plain/a'),
                5,
            )
            self.assertEqual(200, late.status)

        told = [one for one in written(play) if b'input refused' in one]
        self.assertEqual(1, len(told))
