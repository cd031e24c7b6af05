"""Tests of endpoints whose answers say that they drain."""

from __future__ import annotations

import asyncio
import typing

import testtools
from loguru import logger

from clementinepass.direct import endpoints
from clementinepass.http import pool
from standins import direct_endpoint
from tests.direct import path_harness

Fault = direct_endpoint.Fault
HOST = path_harness.HOST
EVENTS = b''.join(
    b'id: %d\ndata: %d\n\n' % (number, number) for number in range(3)
)
INCOMPLETE = endpoints.Weights(1, 0, 1)
COMPLETE = endpoints.Weights(1, 0, 2)
#: Requests that are sent after an endpoint's answer.
LATER_REQUESTS = 8

#: Target and fault of the answer that says that the endpoint drains, and
#: status for the caller if no other endpoint is there.
ANSWERS = (
    ('/plain/a', (), 200),
    ('/once/a', (), 200),
    ('/stream/a', (), 200),
    ('/plain/a', (Fault.FULL,), 503),
    ('/plain/a', (Fault.ERROR,), 500),
    ('/plain/a', (Fault.OTHER_VERSION,), 503),
    ('/plain/a', (Fault.UNSTAMPED,), 502),
    ('/stream/a', (Fault.CUT,), None),
)


class _TwoAnswers:
    """An endpoint that sends an answer to another request before its own.

    Only the answer to the other request says that the endpoint drains.
    """

    def __init__(self) -> None:
        self.request_count = 0

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        await reader.readuntil(b'\r\n\r\n')
        await reader.readexactly(len(b'body'))
        self.request_count += 1
        writer.write(_encode_answer(b'other', b'Server-Leaving: 1\r\n'))
        await writer.drain()
        # The two answers must not arrive together.
        await asyncio.sleep(0.05)
        writer.write(_encode_answer(b'r-1', b''))
        writer.close()


def _encode_answer(request_id: bytes, header: bytes) -> bytes:
    return (
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Server-Stamp: s\r\n'
        b'X-Attempt-Id: %b\r\n%b\r\nok' % (request_id, header)
    )


async def _drain_first(
    harness: path_harness.PathHarness,
    target: str = '/plain/a',
    faults: tuple[Fault, ...] = (),
) -> int:
    """Let the first endpoint say in one answer that it drains.

    The second endpoint is usable from then on.

    :returns: the status for the caller; 0 for an answer that was cut off.
    """
    first, second = harness.endpoints
    harness.list_endpoint(first, started_ms=1)
    harness.list_endpoint(second, heartbeat=1, weights=INCOMPLETE)
    first.is_draining = True
    first.faults = list(faults)
    try:
        answer = await harness.send(target)
    except Exception:
        status = 0
    else:
        status = answer.status
    harness.list_endpoint(second, heartbeat=2, weights=COMPLETE)
    return status


def _endpoint(
    harness: path_harness.PathHarness, number: int
) -> endpoints.Endpoint:
    endpoint = harness.cluster.endpoints.get(harness.endpoints[number].id)
    assert endpoint is not None
    return endpoint


async def _until(condition: typing.Callable[[], object]) -> None:
    while not condition():
        await asyncio.sleep(0)


class AnswerTest(testtools.TestCase):
    """After such an answer, the endpoint gets no more requests.

    Endpoints that drained got requests for as long as their records said that
    they were ready, which lasted while the store was unavailable.
    """

    def test_any_answer(self) -> None:
        """Streams, failures and refusals count like other answers."""
        for target, faults, status in ANSWERS:

            async def scenario(
                harness: path_harness.PathHarness,
                target: str = target,
                faults: tuple[Fault, ...] = faults,
                status: int | None = status,
            ) -> None:
                received = await _drain_first(harness, target, faults)
                if status is not None:
                    self.assertEqual(status, received)
                for _ in range(LATER_REQUESTS):
                    self.assertEqual(
                        200, (await harness.send('/plain/a')).status
                    )
                first, second = harness.endpoints
                self.assertEqual(
                    (1, LATER_REQUESTS), (len(first.came), len(second.came))
                )

            try:
                path_harness.run(scenario)
            except Exception as error:
                raise AssertionError((target, faults)) from error

    def test_answer_to_another_request(self) -> None:
        """An answer to another request counts as well."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            peer = _TwoAnswers()
            server = await asyncio.start_server(peer.handle, HOST, 0)
            port = server.sockets[0].getsockname()[1]
            (endpoint,) = harness.endpoints
            harness.list_endpoint(
                endpoint, address=f'{HOST}:{port}', heartbeat=1
            )
            self.assertEqual(200, (await harness.send('/plain/a')).status)
            self.assertEqual(503, (await harness.send('/plain/a')).status)
            self.assertEqual(1, peer.request_count)
            server.close()

        path_harness.run(scenario, 1)

    def test_answer_is_forwarded_unchanged(self) -> None:
        """Callers get status, body and headers as the endpoint sent them."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            (endpoint,) = harness.endpoints
            endpoint.is_draining = True
            answer = await harness.send('/plain/a')
            self.assertEqual((200, b'by i-0'), (answer.status, answer.body))
            self.assertEqual(
                (b'stamp-i-0', b'1'),
                (
                    answer.headers.get(b'x-server-stamp'),
                    answer.headers.get(b'server-leaving'),
                ),
            )

        path_harness.run(scenario, 1)

    def test_other_instance(self) -> None:
        """An answer of another instance says nothing about the endpoint."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            await _drain_first(harness, faults=(Fault.ANOTHER,))
            endpoint = _endpoint(harness, 0)
            self.assertTrue(endpoint.is_misdirected)
            self.assertFalse(endpoint.listing.draining)

        path_harness.run(scenario)

    def test_logged_once(self) -> None:
        """The first answer is logged, with the request and the endpoint."""
        lines: list[dict[str, object]] = []

        def take(message: typing.Any) -> None:
            if message.record['message'] == 'endpoint drains by its answer':
                lines.append(message.record['extra'])

        handle = logger.add(take, level='INFO')
        self.addCleanup(logger.remove, handle)

        async def scenario(harness: path_harness.PathHarness) -> None:
            (endpoint,) = harness.endpoints
            endpoint.is_draining = True
            endpoint.going.clear()
            pending = [
                asyncio.create_task(
                    harness.send('/plain/a', X_Attempt_Id=f'r-{number}')
                )
                for number in range(3)
            ]
            await _until(lambda: len(endpoint.came) == 3)
            endpoint.going.set()
            await asyncio.gather(*pending)

        path_harness.run(scenario, 1)
        self.assertEqual(['i-0'], [line['endpoint'] for line in lines])


class FinalTest(testtools.TestCase):
    """Draining is final for one start of an endpoint."""

    def test_later_record(self) -> None:
        """A record of the same start that says ready changes nothing."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            await _drain_first(harness)
            first, _ = harness.endpoints
            for heartbeat in (90, 91):
                harness.list_endpoint(first, started_ms=1, heartbeat=heartbeat)
                for _ in range(LATER_REQUESTS):
                    await harness.send('/plain/a')
            self.assertEqual(1, len(first.came))

        path_harness.run(scenario)

    def test_record_lapses_and_returns(self) -> None:
        """A record that returns after an outage of the store changes nothing."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            await _drain_first(harness)
            first, _ = harness.endpoints
            now = asyncio.get_running_loop().time()
            harness.cluster.endpoints.mark_removed(first.id, now, 1)
            harness.list_endpoint(first, started_ms=1, heartbeat=90)
            for _ in range(LATER_REQUESTS):
                await harness.send('/plain/a')
            self.assertEqual(1, len(first.came))

        path_harness.run(scenario)

    def test_restart(self) -> None:
        """An endpoint that restarts under its id gets requests again."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            await _drain_first(harness)
            first, second = harness.endpoints
            await first.restart()
            harness.list_endpoint(first, started_ms=2, heartbeat=0)
            harness.list_endpoint(second, heartbeat=99, draining=True)
            self.assertEqual(200, (await harness.send('/plain/a')).status)
            self.assertEqual(2, len(first.came))

        path_harness.run(scenario)

    def test_late_answer_of_previous_start(self) -> None:
        """An answer of the previous start does not drain the new one."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            (before,) = harness.endpoints
            harness.list_endpoint(before, started_ms=1)
            before.is_draining = True
            before.going.clear()
            pending_answer = asyncio.create_task(harness.send('/plain/a'))
            await _until(lambda: before.came)
            async with direct_endpoint.DirectEndpoint(before.id) as after:
                harness.list_endpoint(after, started_ms=2, heartbeat=0)
                before.going.set()
                self.assertEqual(200, (await pending_answer).status)
                self.assertEqual(200, (await harness.send('/once/a')).status)
                self.assertEqual((1, 1), (len(before.came), len(after.came)))

        path_harness.run(scenario, 1)


class InProgressTest(testtools.TestCase):
    """Requests that are in progress when the endpoint says that it drains."""

    def test_connection_setup(self) -> None:
        """A request whose connection is in setup meanwhile is not sent."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            (endpoint,) = harness.endpoints
            endpoint.is_draining = True
            endpoint.going.clear()
            first_answer = asyncio.create_task(harness.send('/plain/a'))
            await _until(lambda: endpoint.came)
            connected = asyncio.Event()
            is_connecting = asyncio.Event()
            acquire = pool.Pool.acquire

            async def acquire_slowly(
                peers: pool.Pool, **limits: float
            ) -> object:
                connection = await acquire(peers, **limits)
                if limits:  # The caller's own connections have none.
                    is_connecting.set()
                    await connected.wait()
                return connection

            self.patch(pool.Pool, 'acquire', acquire_slowly)
            second_answer = asyncio.create_task(harness.send('/once/a'))
            await is_connecting.wait()
            endpoint.going.set()
            self.assertEqual(200, (await first_answer).status)
            connected.set()
            self.assertEqual(503, (await second_answer).status)
            self.assertEqual(1, len(endpoint.came))

        path_harness.run(scenario, 1)

    def test_waiting_for_weights(self) -> None:
        """A request that waits until an engine has loaded is not sent."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            (endpoint,) = harness.endpoints
            endpoint.is_draining = True
            endpoint.going.clear()
            first_answer = asyncio.create_task(harness.send('/plain/a'))
            await _until(lambda: endpoint.came)
            harness.list_endpoint(
                endpoint, heartbeat=98, weights=endpoints.Weights(2, 0, 0)
            )
            second_answer = asyncio.create_task(harness.send('/plain/b'))
            await _until(lambda: harness.front.busy_count() == 2)
            endpoint.going.set()
            self.assertEqual(200, (await first_answer).status)
            harness.list_endpoint(
                endpoint, heartbeat=99, weights=endpoints.Weights(2, 0, 2)
            )
            self.assertEqual(503, (await second_answer).status)
            self.assertEqual(1, len(endpoint.came))

        path_harness.run(scenario, 1)

    def test_retry(self) -> None:
        """Neither a retry nor a resumed stream is sent to the endpoint."""
        for target, fault in (
            ('/plain/a', Fault.LOST),
            ('/plain/a', Fault.ERROR),
            ('/once/a', Fault.FULL),
            ('/stream/a', Fault.CUT),
        ):

            async def scenario(
                harness: path_harness.PathHarness,
                target: str = target,
                fault: Fault = fault,
            ) -> None:
                await _drain_first(harness)
                first, second = harness.endpoints
                second.faults = [fault]
                pending_answer = asyncio.create_task(harness.send(target))
                await asyncio.wait([pending_answer])
                pending_answer.exception()
                self.assertEqual([], second.faults)
                self.assertEqual(1, len(first.came))

            try:
                path_harness.run(scenario)
            except Exception as error:
                raise AssertionError((target, fault)) from error

    def test_stream_goes_on(self) -> None:
        """A stream that runs at the endpoint goes on to its end."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            (endpoint,) = harness.endpoints
            endpoint.going.clear()
            pending_stream = asyncio.create_task(harness.send('/stream/a'))
            await _until(lambda: _endpoint(harness, 0).active_streams)
            endpoint.is_draining = True
            endpoint.faults = [Fault.FULL]
            self.assertEqual(503, (await harness.send('/plain/a')).status)
            endpoint.going.set()
            answer = await pending_stream
            self.assertEqual((200, EVENTS), (answer.status, answer.body))
            self.assertEqual(503, (await harness.send('/plain/a')).status)
            self.assertEqual(2, len(endpoint.came))

        path_harness.run(scenario, 1)
