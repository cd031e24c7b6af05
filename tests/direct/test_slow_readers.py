"""Tests of the bound on what an entry holds for slow callers and endpoints."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import typing
from unittest import mock

import aioprometheus
import msgspec
import testtools

from clementinepass.decisions import held_bytes
from clementinepass.direct import gauges
from clementinepass.http import channel
from standins import direct_endpoint
from tests.direct import path_harness

Fault = direct_endpoint.Fault
Harness = path_harness.PathHarness
HOST = path_harness.HOST
MEGABYTE = 1_000_000
#: More than the kernel buffers for a connection.
LONG = 8 * MEGABYTE
#: 20 MB may be held, and 15 MB when a request is admitted.
SMALL_NODE = msgspec.structs.replace(
    path_harness.NODE, memory_bytes=50 * MEGABYTE
)
SMALL_LIMITS = held_bytes.Limits.from_memory(SMALL_NODE.memory_bytes)


async def until(condition: typing.Callable[[], object]) -> None:
    """Wait until a condition holds."""
    while not condition():
        await asyncio.sleep(0.005)


async def open_unread(harness: Harness, payload: bytes) -> socket.socket:
    """Send requests as a caller that does not read."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(caller, (HOST, harness.port))
    await loop.sock_sendall(caller, payload)
    return caller


def answer_at_length(harness: Harness, filling: bytes = b'x' * LONG) -> None:
    """Let the endpoints answer at length."""
    for endpoint in harness.endpoints:
        endpoint.filling = filling


@contextlib.asynccontextmanager
async def unread_endpoint(harness: Harness) -> typing.AsyncIterator[None]:
    """Replace the endpoints with one that reads nothing."""
    with socket.create_server((HOST, 0)) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        address = f'{HOST}:{listener.getsockname()[1]}'
        for endpoint in harness.endpoints:
            harness.list_endpoint(endpoint, address=address, heartbeat=9)
        yield


class CallerTest(testtools.TestCase):
    """Guards against answers for callers that do not read."""

    def test_many_unread_answers(self) -> None:
        """Unread answers stay within the bound; a caller that reads is served.

        Each answer was kept until its caller had read it.
        """

        self.patch(held_bytes, 'STALL_SECONDS', 0.2)

        async def scenario(harness: Harness) -> None:
            answer_at_length(harness)
            callers = []
            for number in range(6):
                payload = path_harness.request('/plain/a')
                callers.append(await open_unread(harness, payload))
                await asyncio.sleep(0.3)
                self.assertLessEqual(
                    harness.memory.held, SMALL_LIMITS.total, number
                )
            self.assertEqual(6, len(harness.executed_requests))
            self.assertGreater(harness.memory.cut_off_count, 0)
            answer_at_length(harness, b'')
            answer = await harness.send('/plain/a')
            self.assertEqual(200, answer.status)
            for caller in callers:
                caller.close()
            await until(lambda: not harness.memory.held)

        path_harness.run(scenario, local_node=SMALL_NODE)

    def test_running_requests(self) -> None:
        """Answers beyond the bound cut off callers that have long not read.

        Answers of running requests would wait until those callers leave.
        """
        self.patch(held_bytes, 'SHORT_STALL_SECONDS', 0.2)

        async def scenario(harness: Harness) -> None:
            answer_at_length(harness)
            total = 10 * MEGABYTE
            harness.memory._limits = held_bytes.Limits(total=total)
            callers = []
            for _ in range(6):
                payload = path_harness.request('/plain/a')
                callers.append(await open_unread(harness, payload))
                await asyncio.sleep(0.3)
                self.assertLess(harness.memory.held, total + LONG)
            self.assertGreater(harness.memory.cut_off_count, 0)
            self.assertEqual(6, len(harness.executed_requests))
            for caller in callers:
                caller.close()
            await until(lambda: not harness.memory.held)

        path_harness.run(scenario, local_node=SMALL_NODE)

    def test_pipelined_requests(self) -> None:
        """A caller's next request waits until it has read the last answer.

        One caller could collect any number of answers without reading them.
        """

        async def scenario(harness: Harness) -> None:
            answer_at_length(harness)
            payload = path_harness.request('/plain/a')
            caller = await open_unread(harness, payload * 4)
            await asyncio.sleep(0.5)
            self.assertEqual(1, len(harness.executed_requests))
            reader, writer = await asyncio.open_connection(sock=caller)
            body = await reader.readexactly(4 * LONG)
            self.assertEqual(4, len(harness.executed_requests))
            self.assertEqual(4, body.count(b'HTTP/1.1 200'))
            writer.close()

        path_harness.run(scenario)

    def test_blocked_streams(self) -> None:
        """What streams hold counts, and is released with their callers."""

        async def scenario(harness: Harness) -> None:
            for endpoint in harness.endpoints:
                endpoint.events, endpoint.filling = 64, b'x' * 500_000
            payload = path_harness.request('/stream/a')
            callers = [await open_unread(harness, payload) for _ in range(4)]
            await until(
                lambda: (
                    all(
                        connection.is_blocked
                        for connection in harness.front.connections
                    )
                    and len(harness.memory.readers) == len(callers)
                )
            )
            self.assertGreater(harness.memory.held, 4 * 500_000)
            self.assertLess(harness.memory.held, 4 * 2 * MEGABYTE)
            for caller in callers:
                caller.close()
            await until(lambda: not harness.memory.held)

        path_harness.run(scenario, local_node=SMALL_NODE)

    def test_paused_stream(self) -> None:
        """A stream that is not read ahead goes on when its caller reads.

        The connection to the endpoint would stay paused.
        """

        async def scenario(harness: Harness) -> None:
            for endpoint in harness.endpoints:
                endpoint.events, endpoint.filling = 64, b'x' * 500_000
            harness.memory._limits = held_bytes.Limits(admission=MEGABYTE / 2)
            pauses = []
            pause = channel.Channel.pause_reading

            def count_pause(paused: channel.Channel) -> None:
                pauses.append(paused)
                pause(paused)

            self.patch(channel.Channel, 'pause_reading', count_pause)
            payload = path_harness.request('/stream/a')
            caller = await open_unread(harness, payload)
            await until(lambda: pauses)
            reader, writer = await asyncio.open_connection(
                sock=caller, limit=64 * MEGABYTE
            )
            body = await reader.readuntil(b'\r\n0\r\n\r\n')
            self.assertEqual(64, body.count(b'data: '))
            writer.close()
            await until(lambda: not harness.memory.held)

        path_harness.run(scenario)


class EndpointTest(testtools.TestCase):
    """Guards against copies of bodies for endpoints that do not read."""

    def send_bodies(self, memory_node: path_harness.node.Node) -> list[int]:
        """Send long bodies to an endpoint that reads nothing."""
        statuses = []

        async def scenario(harness: Harness) -> None:
            async with unread_endpoint(harness):
                bodies = (
                    harness.send('/once/a', b'x' * 4_000_000, X_Deadline_Ms=ms)
                    for ms in ('1000',) * 5
                )
                answers = await asyncio.gather(*bodies)
            for answer in answers:
                has_retry_after = answer.headers.get(b'retry-after') is not None
                self.assertEqual(answer.status == 503, has_retry_after)
                statuses.append(answer.status)
            await until(lambda: not harness.memory.held)

        path_harness.run(scenario, local_node=memory_node)
        return statuses

    def test_bounded(self) -> None:
        """Requests beyond the bound are refused; others run as before."""
        statuses = self.send_bodies(SMALL_NODE)
        self.assertEqual({503, 504}, set(statuses))

    def test_no_memory_setting(self) -> None:
        """Without the memory of the process, nothing is refused."""
        self.assertEqual([504] * 5, self.send_bodies(path_harness.NODE))


class ReleaseTest(testtools.TestCase):
    """Guards against bytes that stay counted, until all requests are refused."""

    def test_endings(self) -> None:
        """Nothing is held after requests of any ending."""

        async def scenario(harness: Harness) -> None:
            for target in ('/plain/a', '/stream/a', '/once/a'):
                for fault in (
                    None,
                    Fault.FULL,
                    Fault.ERROR,
                    Fault.LOST,
                    Fault.CUT,
                    Fault.UNSTAMPED,
                ):
                    if fault is not None:
                        harness.set_shared_faults(fault, fault)
                    with contextlib.suppress(channel.ChannelBrokenError):
                        await harness.send(target, b'x' * 100_000)
            await until(lambda: not harness.memory.held)

        path_harness.run(scenario, local_node=SMALL_NODE)

    def test_metric(self) -> None:
        """The metric shows what is held when it is read."""

        async def scenario(harness: Harness) -> None:
            peers: typing.Any = mock.MagicMock()
            peers.members.alive.return_value = []
            entry_gauges = gauges.Gauges(
                aioprometheus.Registry(),
                harness.cluster,
                {},
                peers,
                harness.memory,
            )
            answer_at_length(harness)
            payload = path_harness.request('/plain/a')
            caller = await open_unread(harness, payload)
            await until(lambda: harness.memory.readers)
            await asyncio.sleep(0.1)
            entry_gauges.update()
            (connection,) = harness.front.connections
            self.assertLess(MEGABYTE, connection.backlog.size)
            self.assertEqual(
                connection.backlog.size, entry_gauges._held_bytes.get({})
            )
            caller.close()

        path_harness.run(scenario)

    def test_dropped_body(self) -> None:
        """A request whose body does not fit is refused, the next one served."""

        async def scenario(harness: Harness) -> None:
            harness.memory.hold(15 * MEGABYTE - 200_000)
            refused = await harness.send('/once/a', b'x' * MEGABYTE)
            self.assertEqual(503, refused.status)
            self.assertIsNotNone(refused.headers.get(b'retry-after'))
            self.assertEqual([], harness.received_requests)
            answer = await harness.send('/once/a', b'x' * 10_000)
            self.assertEqual(200, answer.status)
            await until(lambda: harness.memory.held == 15 * MEGABYTE - 200_000)

        path_harness.run(scenario, local_node=SMALL_NODE)


class BufferingTest(testtools.TestCase):
    """Guards against plain answers that together exceed the bound."""

    def test_answers_wait(self) -> None:
        """Over the bound, answers are read one after another, and all arrive."""

        async def scenario(harness: Harness) -> None:
            answer_at_length(harness)
            harness.memory._limits = held_bytes.Limits(MEGABYTE, MEGABYTE)
            most = 0

            async def watch() -> None:
                nonlocal most
                while True:
                    most = max(most, harness.memory.held)
                    await asyncio.sleep(0)

            watching = asyncio.create_task(watch())
            answers = await asyncio.gather(
                *(harness.send('/plain/a') for _ in range(5))
            )
            watching.cancel()
            self.assertEqual([200] * 5, [answer.status for answer in answers])
            self.assertLess(most, 2 * LONG + 5 * MEGABYTE)

        path_harness.run(scenario, local_node=SMALL_NODE)
