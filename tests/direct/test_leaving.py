"""Tests of a draining entry, as its callers see it."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import time
import typing

import msgspec
import testtools

from clementinepass.direct import (
    cluster_state,
    departure,
    leaving,
    members,
    node,
    routing,
)
from clementinepass.http import channel, front, limits
from clementinepass.http import connection as server_connection
from standins import direct_endpoint
from tests.direct import path_harness

Fault = direct_endpoint.Fault
#: An entry with two seconds from SIGTERM to SIGKILL; routes of these tests allow
#: ten seconds.
SHORT_GRACE_NODE = msgspec.structs.replace(
    path_harness.NODE,
    duties=msgspec.structs.replace(path_harness.DUTIES, grace=2),
)
#: An entry with so long a grace period that it accepts the requests of these
#: tests, and ends after two seconds if it is idle.
EARLY_END_NODE = msgspec.structs.replace(
    path_harness.NODE,
    duties=msgspec.structs.replace(path_harness.DUTIES, grace=12),
)
#: An entry with five minutes from SIGTERM to SIGKILL.
LONG_GRACE_NODE = msgspec.structs.replace(
    path_harness.NODE,
    duties=msgspec.structs.replace(path_harness.DUTIES, grace=300),
)


class NoPeers:
    """A gossip stub without other entries."""

    def __init__(self) -> None:
        self.phase = members.Phase.READY
        #: The phases that were announced.
        self.announced_phases: list[members.Phase] = []

    def send_heartbeat(self) -> None:
        """Record the announced phase."""
        self.announced_phases.append(self.phase)


async def send_sigterm(
    harness: path_harness.PathHarness,
    peers: NoPeers | None = None,
) -> asyncio.Task[None]:
    """Send SIGTERM; return the task that drains the entry."""
    drainer = leaving.Drainer(
        harness.front,
        harness.request_handler,
        typing.cast('typing.Any', peers or NoPeers()),
        harness.drain_state,
    )

    async def drain_and_close() -> None:
        await drainer.wait_until_drained()
        await harness.front.close()

    task = asyncio.create_task(drain_and_close())
    await asyncio.sleep(0)
    signal.raise_signal(signal.SIGTERM)
    while harness.drain_state.plan is None:
        await asyncio.sleep(0)
    return task


def connected_pair() -> tuple[socket.socket, socket.socket]:
    """Return both ends of a connection on loopback, the caller's first."""
    with socket.create_server((path_harness.HOST, 0)) as listener:
        callers_side = socket.create_connection(listener.getsockname())
        entry_side, _ = listener.accept()
    for side in (callers_side, entry_side):
        side.setblocking(False)
    return callers_side, entry_side


def shrink_buffers(side: socket.socket) -> None:
    """Have the kernel buffer little of what one side of a connection sends."""
    side.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    side.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)


class LateRequestTest(testtools.TestCase):
    """Requests that arrive at a draining entry.

    When all entries were replaced in turn, answers were cut off. Callers reached
    draining entries by a cached list, on an open connection, or as each entry
    listed itself while all others drained, too. The entries accepted requests
    until their last seconds, without comparing the time that a request may take
    with the time that they had left.
    """

    def test_stream_that_may_outlast_the_entry(self) -> None:
        """A stream that may outlast the entry is refused without a run."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            for endpoint in harness.endpoints:
                endpoint.going.clear()
            drain_task = await send_sigterm(harness)
            answer = await harness.send('/stream/a')
            self.assertEqual(503, answer.status)
            self.assertEqual([], harness.received_requests)
            await drain_task

        path_harness.run(scenario, local_node=SHORT_GRACE_NODE)

    def test_short_request_is_served(self) -> None:
        """A request that ends in time is served.

        The entry waits for it even after the last list that names it expired.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            drain_task = await send_sigterm(harness)
            for endpoint in harness.endpoints:
                endpoint.going.clear()
            pending_answer = asyncio.create_task(harness.send('/plain/brief/a'))
            while not harness.received_requests:
                await asyncio.sleep(0)
            for endpoint in harness.endpoints:
                endpoint.going.set()
            self.assertEqual(200, (await pending_answer).status)
            await drain_task

        path_harness.run(scenario, local_node=SHORT_GRACE_NODE)

    def test_final_answer_before_shutdown(self) -> None:
        """An unanswered request gets its final answer before the shutdown.

        It was cut off, and its caller could not tell whether it had run.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            for endpoint in harness.endpoints:
                endpoint.going.clear()
            pending_answer = asyncio.create_task(harness.send('/plain/a'))
            while not harness.received_requests:
                await asyncio.sleep(0)
            drain_task = await send_sigterm(harness)
            self.assertEqual(504, (await pending_answer).status)
            await drain_task

        path_harness.run(scenario, local_node=SHORT_GRACE_NODE)

    def test_idle_entry_ends_early(self) -> None:
        """An idle entry ends long before its grace period does.

        All entries stayed for nine tenths of the grace period, even if idle, so
        that no entry was ready when they were stopped one after another.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            drain_task = await send_sigterm(harness)
            await drain_task
            plan = harness.drain_state.plan
            assert plan is not None
            now = asyncio.get_running_loop().time()
            self.assertLess(now, plan.last_answer_at)

        path_harness.run(scenario, local_node=LONG_GRACE_NODE)

    def test_process_delayed_at_the_end(self) -> None:
        """Final answers are sent even if the process is delayed at their time.

        The process was delayed until its end, and cut off its callers before
        it sent the answers that were due just before.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            for endpoint in harness.endpoints:
                endpoint.going.clear()
            pending_answer = asyncio.create_task(harness.send('/plain/a'))
            while not harness.received_requests:
                await asyncio.sleep(0)
            drain_task = await send_sigterm(harness)
            plan = harness.drain_state.plan
            assert plan is not None
            loop = asyncio.get_running_loop()
            loop.call_at(plan.last_answer_at - 0.05, time.sleep, 0.6)
            self.assertEqual(504, (await pending_answer).status)
            await drain_task

        path_harness.run(scenario, local_node=SHORT_GRACE_NODE)

    def test_pipelined_request(self) -> None:
        """A pipelined request is answered before the connection closes.

        The first answer of a draining entry closed the connection, though a
        second request had been read before SIGTERM: each answer was taken for
        the last one, whatever waited behind it.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            for endpoint in harness.endpoints:
                endpoint.going.clear()
            reader, writer = await asyncio.open_connection(
                path_harness.HOST,
                harness.port,
            )
            writer.write(
                path_harness.request('/plain/brief/a')
                + path_harness.request('/plain/brief/b', X_Attempt_Id='r-2'),
            )
            while not harness.received_requests:
                await asyncio.sleep(0)
            drain_task = await send_sigterm(harness)
            for endpoint in harness.endpoints:
                endpoint.going.set()
            answers = await reader.read()
            writer.close()
            self.assertEqual(2, answers.count(b'HTTP/1.1 '))
            self.assertEqual(1, answers.count(b'Connection: close'))
            await drain_task

        path_harness.run(scenario, local_node=SHORT_GRACE_NODE)


class AfterFirstEvent(asyncio.Event):
    """An event that the first event of a stream doesn't wait for."""

    def __init__(self) -> None:
        super().__init__()
        self.has_passed = False

    async def wait(self) -> typing.Literal[True]:
        """Return at once when called first."""
        if self.has_passed:
            return await super().wait()
        self.has_passed = True
        return True


class AnnouncedEndTest(testtools.TestCase):
    """Requests behind an answer that announced the end of its connection."""

    def test_request_during_last_stream(self) -> None:
        """A request that arrives during the last stream is refused.

        It was read, and the connection was closed after the stream without an
        answer. It is not run, as its caller may repeat it elsewhere.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            for endpoint in harness.endpoints:
                endpoint.going = AfterFirstEvent()
            drain_task = await send_sigterm(harness)
            reader, writer = await asyncio.open_connection(
                path_harness.HOST, harness.port
            )
            writer.write(path_harness.request('/stream/a'))
            head = await reader.readuntil(b'\r\n\r\n')
            self.assertIn(b'Connection: close', head)
            writer.write(path_harness.request('/once/a', X_Attempt_Id='r-2'))
            (connection,) = harness.front.connections
            while not connection._pending:
                await asyncio.sleep(0)
            for endpoint in harness.endpoints:
                endpoint.going.set()
            answers = await reader.read()
            self.assertIn(b'0\r\n\r\nHTTP/1.1 503 ', answers)
            self.assertIn(b'X-Attempt-Id: r-2', answers)
            self.assertIn(b'Retry-After: ', answers)
            self.assertEqual(1, len(harness.received_requests))
            writer.close()
            await drain_task

        path_harness.run(scenario, local_node=EARLY_END_NODE)


class EarlyEndTest(testtools.TestCase):
    """An entry that ends early, as no list names it and it seems idle."""

    def test_unread_answer(self) -> None:
        """An answer is written to a slow caller before the entry ends.

        A request no longer counted once its answer was complete. What its caller
        had not read was cut off when the entry ended early.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            for endpoint in harness.endpoints:
                endpoint.events = 1
                endpoint.filling = b'~' * 60_000
            callers_side = socket.socket()
            shrink_buffers(callers_side)
            callers_side.connect((path_harness.HOST, harness.port))
            reader, writer = await asyncio.open_connection(
                sock=callers_side, limit=1024
            )
            while not harness.front.connections:
                await asyncio.sleep(0)
            (connection,) = harness.front.connections
            shrink_buffers(connection._transport.get_extra_info('socket'))
            writer.write(path_harness.request('/stream/a'))
            while not harness.executed_requests:
                await asyncio.sleep(0)
            drain_task = await send_sigterm(harness)
            plan = harness.drain_state.plan
            assert plan is not None
            loop = asyncio.get_running_loop()
            while loop.time() < plan.lists_expire_at + 0.5:
                await asyncio.sleep(0.01)
            answer = await reader.read(-1)
            self.assertEqual(60_000, answer.count(b'~'))
            self.assertTrue(answer.endswith(b'0\r\n\r\n'))
            writer.close()
            await drain_task

        path_harness.run(scenario, local_node=EARLY_END_NODE)

    def test_accepted_at_the_last_moment(self) -> None:
        """A request on a connection that was just accepted is answered.

        The entry stopped to listen while the event loop was about to set up
        a connection that it had accepted. Its request was read and passed on,
        and cut off when the entry ended a fifth of a second later.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            for endpoint in harness.endpoints:
                endpoint.going.clear()
            loop = asyncio.get_running_loop()
            callers_side, entry_side = connected_pair()
            callers_side.sendall(path_harness.request('/plain/brief/a'))
            stop_listening = front.Front.stop_listening
            setups = []

            def stop_while_accepting(stopped: front.Front) -> None:
                if not setups:
                    setup = loop.connect_accepted_socket(
                        lambda: server_connection.Connection(stopped),
                        entry_side,
                    )
                    setups.append(asyncio.ensure_future(setup))
                stop_listening(stopped)

            self.patch(front.Front, 'stop_listening', stop_while_accepting)
            drain_task = await send_sigterm(harness)
            while not harness.received_requests:
                await asyncio.sleep(0)
            await asyncio.sleep(0.4)
            self.assertFalse(drain_task.done(), 'the process is gone')
            for endpoint in harness.endpoints:
                endpoint.going.set()
            reader, writer = await asyncio.open_connection(sock=callers_side)
            answer = await reader.read()
            self.assertEqual(b'HTTP/1.1 200 ', answer[:13])
            writer.close()
            await drain_task

        path_harness.run(scenario, local_node=EARLY_END_NODE)


class SignalTest(testtools.TestCase):
    """Signals that arrive more than once, or while the process is busy."""

    def test_handled_late(self) -> None:
        """The grace period counts from SIGTERM, not from its handling.

        An entry whose event loop was held up counted from the moment in which
        the loop went on, and planned its last answers after its SIGKILL.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            drainer = leaving.Drainer(
                harness.front,
                harness.request_handler,
                typing.cast('typing.Any', NoPeers()),
                harness.drain_state,
            )
            drain_task = asyncio.create_task(drainer.wait_until_drained())
            await asyncio.sleep(0)
            signal.raise_signal(signal.SIGTERM)
            signalled_at = asyncio.get_running_loop().time()
            time.sleep(0.1)
            while harness.drain_state.plan is None:
                await asyncio.sleep(0)
            self.assertLessEqual(
                harness.drain_state.plan.started_at, signalled_at
            )
            await drain_task

        path_harness.run(scenario, local_node=SHORT_GRACE_NODE)

    def test_grace_changed_while_draining(self) -> None:
        """A shorter grace period applies to a drain that has begun.

        The entry kept the schedule of its SIGTERM, and a request got no final
        answer before the shorter period ended.
        """
        duties = msgspec.structs.replace(path_harness.DUTIES, grace=12)
        local_node = msgspec.structs.replace(path_harness.NODE, duties=duties)

        async def scenario(harness: path_harness.PathHarness) -> None:
            for endpoint in harness.endpoints:
                endpoint.going.clear()
            pending_answer = asyncio.create_task(harness.send('/plain/a'))
            while not harness.received_requests:
                await asyncio.sleep(0)
            drain_task = await send_sigterm(harness)
            plan = harness.drain_state.plan
            assert plan is not None
            for grace in (60, 2):
                duties.update(msgspec.structs.replace(duties, grace=grace))
                await asyncio.sleep(0.1)
                assert harness.drain_state.plan is not None
                self.assertEqual(
                    grace == 2,
                    harness.drain_state.plan.end_at < plan.end_at,
                )
            self.assertEqual(504, (await pending_answer).status)
            await drain_task

        path_harness.run(scenario, local_node=local_node)

    def test_sigterm_twice(self) -> None:
        """A second SIGTERM neither ends the entry nor restarts its schedule."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            for endpoint in harness.endpoints:
                endpoint.going.clear()
            pending_answer = asyncio.create_task(harness.send('/plain/brief/a'))
            while not harness.received_requests:
                await asyncio.sleep(0)
            drain_task = await send_sigterm(harness)
            plan = harness.drain_state.plan
            for _ in range(3):
                signal.raise_signal(signal.SIGTERM)
                await asyncio.sleep(0.05)
            self.assertIs(plan, harness.drain_state.plan)
            for endpoint in harness.endpoints:
                endpoint.going.set()
            self.assertEqual(200, (await pending_answer).status)
            await drain_task

        path_harness.run(scenario, local_node=SHORT_GRACE_NODE)


class DrainAnnouncementTest(testtools.TestCase):
    """What a draining entry announces to other entries and to callers."""

    def test_peers_and_callers(self) -> None:
        """The drain is announced at once, and each answer closes its connection."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            peers = NoPeers()
            drain_task = await send_sigterm(harness, peers)
            self.assertEqual([members.Phase.DRAINING], peers.announced_phases)
            answer = await harness.send('/plain/brief/a')
            self.assertEqual(b'close', answer.headers.get(b'connection'))
            await drain_task
            self.assertRaises(
                OSError,
                socket.create_connection,
                (path_harness.HOST, harness.port),
                1,
            )

        path_harness.run(scenario, local_node=SHORT_GRACE_NODE)

    def test_retry_after(self) -> None:
        """The retry delay is shorter if another entry is ready."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            drain_task = await send_sigterm(harness)
            alone = await harness.send('/stream/a')
            harness.ready_peers = 1
            beside = await harness.send('/stream/a')
            waits = [
                float(answer.headers.get(b'retry-after') or b'-1')
                for answer in (beside, alone)
            ]
            self.assertEqual(sorted(waits), waits)
            self.assertLess(waits[0], waits[1])
            self.assertEqual((0, 2), self.request_counts(harness))
            await drain_task

        path_harness.run(scenario, local_node=SHORT_GRACE_NODE)

    def request_counts(
        self, harness: path_harness.PathHarness
    ) -> tuple[int, int]:
        """Return the requests accepted and refused since SIGTERM."""
        return (
            harness.drain_state.accepted_count,
            harness.drain_state.refused_count,
        )

    def test_answered_before_sigterm(self) -> None:
        """A request that was answered before SIGTERM is not ended again."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            self.assertEqual(200, (await harness.send('/plain/a')).status)
            await (await send_sigterm(harness))

        path_harness.run(scenario, local_node=SHORT_GRACE_NODE)


class ListTtlTest(testtools.TestCase):
    """How long callers may keep a list, and the effect on the drain."""

    def setUp(self) -> None:
        """Create an empty cluster state and a drain state."""
        super().setUp()
        self.cluster = cluster_state.ClusterState(path_harness.NODE)
        self.drain_state = departure.DrainState(path_harness.NODE, self.cluster)

    def configure(self, version: int, timeout: float) -> None:
        """Put a configuration with one route in force."""
        self.cluster.apply_configuration(
            routing.Routing(
                version,
                [path_harness.route('s', timeout=timeout)],
                [],
                {},
                limits.Bounds(),
            ),
        )

    def test_ttl_by_route_timeouts(self) -> None:
        """Longer route timeouts make the lists expire sooner."""
        self.configure(1, 6)
        short = self.drain_state.list_ttl_seconds(0)
        self.configure(2, 1)
        self.assertLess(short, self.drain_state.list_ttl_seconds(0))

    def test_lists_sent_before(self) -> None:
        """The drain outlasts lists that were sent under older routes.

        An entry ended too early: it computed the expiry of lists by its newest
        routes alone, though it had sent longer-lived lists before.
        """
        self.configure(1, 1)
        ttl_seconds = self.drain_state.list_ttl_seconds(100)
        self.configure(2, 6)
        plan = self.drain_state.start(100)
        self.assertGreaterEqual(plan.lists_expire_at, 100 + 3 * ttl_seconds)

    def test_without_configuration(self) -> None:
        """Before a configuration is known, lists expire as for long requests."""
        unknown = self.drain_state.list_ttl_seconds(0)
        self.configure(1, 6)
        self.assertLessEqual(unknown, self.drain_state.list_ttl_seconds(0))


#: What endpoints do with each attempt of a request, and whether a stream that
#: has started can end in no other way than by a cut.
BEHAVIOURS = (
    (None, False),
    (Fault.FULL, False),
    (Fault.ANOTHER, False),
    (Fault.ERROR, False),
    (Fault.LOST, False),
    (Fault.UNSTAMPED, False),
    (Fault.ENCODED, False),
    (Fault.CUT, True),
    (Fault.GAP, True),
    (Fault.MUTE, False),
    (Fault.SILENT, False),
    (Fault.SILENT_AFTER_HEAD, False),
    (Fault.SILENT_MIDWAY, True),
)
SILENCES = frozenset(
    (Fault.SILENT, Fault.SILENT_AFTER_HEAD, Fault.SILENT_MIDWAY)
)
#: Routes at which an endpoint counts as silent before the entry ends.
HASTY_ROUTES = tuple(
    msgspec.structs.replace(route, latency_target=0.2, max_event_gap=0.1)
    for route in path_harness.ROUTES
)
#: An entry with two seconds from SIGTERM to SIGKILL that may not send any
#: request again.
NO_BUDGET_NODE = msgspec.structs.replace(
    SHORT_GRACE_NODE,
    duties=msgspec.structs.replace(
        SHORT_GRACE_NODE.duties, budget_share=0, budget_surplus=0
    ),
)
TARGETS = ('/stream/a', '/stream/once/a', '/plain/a', '/once/a')


class FinalAnswer(typing.NamedTuple):
    """How the answer to a request ended for its caller.

    :param status: 0 if the connection ended before any answer.
    :param is_whole: whether the answer is complete.
    :param ended_at: time at which the answer or the connection ended.
    """

    status: int
    is_whole: bool
    ended_at: float


async def read_answer(
    harness: path_harness.PathHarness, target: str, request_id: str
) -> FinalAnswer:
    """Send a request on a connection of its own and read its answer."""
    connection = await channel.Channel.connect(
        path_harness.HOST, harness.port, 5
    )
    connection.send(path_harness.request(target, X_Attempt_Id=request_id))
    is_whole = False
    status = 0
    with contextlib.suppress(channel.ChannelBrokenError):
        status = (await connection.read_head()).status
        while await connection.read():
            """Read to the end."""
        is_whole = True
    connection.abort()
    now = asyncio.get_running_loop().time()
    return FinalAnswer(status, is_whole, now)


class FinalAnswerTest(testtools.TestCase):
    """Each request that was read gets a final answer before the process ends."""

    def check_answers(
        self,
        seconds_to_sigterm: float,
        *,
        goes_on: bool,
        local_node: node.Node = SHORT_GRACE_NODE,
    ) -> None:
        """Let requests meet each behaviour of endpoints around a SIGTERM.

        :param goes_on: whether silent endpoints go on before the shutdown.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            harness.configure(2, HASTY_ROUTES)
            cases = [
                (target, fault, has_cut)
                for target in TARGETS
                for fault, has_cut in BEHAVIOURS
            ]
            pending = []
            for number, (target, fault, _) in enumerate(cases):
                request_id = f'r-{number}'
                faults = [] if fault is None else [fault] * 9
                for endpoint in harness.endpoints:
                    endpoint.faults_by_request[request_id] = faults
                pending.append(
                    asyncio.create_task(
                        read_answer(harness, target, request_id)
                    )
                )
            while len(harness.received_requests) < len(cases):
                await asyncio.sleep(0.005)
            await asyncio.sleep(seconds_to_sigterm)
            drain_task = await send_sigterm(harness)
            plan = harness.drain_state.plan
            assert plan is not None
            if goes_on:
                await asyncio.sleep((plan.last_answer_at - plan.started_at) / 2)
                for endpoint in harness.endpoints:
                    endpoint.let_go.set()
            await drain_task
            answers = await asyncio.gather(*pending)
            failures = [
                (target, fault, answer, plan.last_answer_at)
                for (target, fault, has_cut), answer in zip(
                    cases, answers, strict=True
                )
                if not self.is_final(
                    answer,
                    has_cut=has_cut and target.startswith('/stream'),
                    is_whole=fault is None or (fault in SILENCES and goes_on),
                    silent_until=plan.last_answer_at
                    if fault in SILENCES
                    else 0,
                )
            ]
            self.assertEqual([], failures, '\n'.join(map(str, failures)))

        path_harness.run(scenario, 4, local_node=local_node)

    def is_final(
        self,
        answer: FinalAnswer,
        *,
        has_cut: bool,
        is_whole: bool,
        silent_until: float,
    ) -> bool:
        """Tell whether an answer is the best that the endpoint allows."""
        if is_whole:
            return answer.is_whole and answer.status == 200
        if answer.is_whole:
            return True
        return (
            has_cut and answer.status == 200 and answer.ended_at >= silent_until
        )

    def test_silent_to_the_end(self) -> None:
        """Silent endpoints are waited for until the last moment."""
        for seconds in (0, 0.3, 1):
            self.check_answers(seconds, goes_on=False)

    def test_silent_for_a_while(self) -> None:
        """Silent endpoints that go on in time answer completely."""
        for seconds in (0, 0.3, 1):
            self.check_answers(seconds, goes_on=True)

    def test_silent_without_retries(self) -> None:
        """That holds as well if no request may be sent again."""
        for seconds in (0, 1):
            for goes_on in (False, True):
                self.check_answers(
                    seconds, goes_on=goes_on, local_node=NO_BUDGET_NODE
                )

    def test_late_requests(self) -> None:
        """Requests that are read after SIGTERM get a final answer, too."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            drain_task = await send_sigterm(harness)
            pending = []
            for number, (fault, _) in enumerate(BEHAVIOURS):
                for target in (*TARGETS, '/plain/brief/a', '/short/a'):
                    request_id = f'{target[1:]}-{number}'
                    faults = [] if fault is None else [fault] * 9
                    for endpoint in harness.endpoints:
                        endpoint.faults_by_request[request_id] = faults
                    pending.append(
                        asyncio.create_task(
                            read_answer(harness, target, request_id)
                        )
                    )
            answers = await asyncio.gather(*pending)
            self.assertEqual(
                [], [answer for answer in answers if not answer.is_whole]
            )
            self.assertNotEqual(0, harness.drain_state.accepted_count)
            await drain_task

        path_harness.run(scenario, 4, local_node=SHORT_GRACE_NODE)

    def test_unreachable_endpoints(self) -> None:
        """Requests get a final answer if no endpoint can be reached."""
        for seconds in (0, 0.02, 0.3):

            async def scenario(
                harness: path_harness.PathHarness, seconds: float = seconds
            ) -> None:
                for number, endpoint in enumerate(harness.endpoints):
                    address = f'{path_harness.HOST}:{number + 1}'
                    harness.list_endpoint(
                        endpoint, heartbeat=99, address=address
                    )
                pending = [
                    asyncio.create_task(read_answer(harness, target, target))
                    for target in TARGETS
                ]
                await asyncio.sleep(seconds)
                drain_task = await send_sigterm(harness)
                answers = await asyncio.gather(*pending)
                self.assertEqual(
                    [(503, True)] * len(TARGETS),
                    [(answer.status, answer.is_whole) for answer in answers],
                )
                await drain_task

            path_harness.run(scenario, local_node=SHORT_GRACE_NODE)
