"""Tests of endpoints that ask, in ``Retry-After``, for no requests for a time."""

from __future__ import annotations

import asyncio

import msgspec
import testtools

from clementinepass.decisions import endpoint_backoff
from clementinepass.direct import node
from clementinepass.http import channel, pool
from standins import direct_endpoint
from tests.direct import path_harness

Fault = direct_endpoint.Fault
World = path_harness.PathHarness
#: A pause that lasts until after the deadlines of all requests.
LONG_PAUSE = b'20'
SHORT_PAUSE = b'0.4'
SHORT_PAUSE_SECONDS = 0.4


def now() -> float:
    """Return the time of the event loop."""
    return asyncio.get_running_loop().time()


async def pause(
    world: World, index: int = 0, retry_after: bytes = LONG_PAUSE
) -> float:
    """Let an endpoint ask for a pause; return its earliest start.

    The other endpoints are not listed meanwhile, so that it gets the request.
    """
    paused = world.endpoints[index]
    paused.retry_after = retry_after
    paused.faults = [Fault.PAUSE]
    others = [other for other in world.endpoints if other is not paused]
    for other in others:
        world.cluster.endpoints.mark_removed(other.id, now(), 0)
    await world.send('/plain/a')
    for other in others:
        world.list_endpoint(other, heartbeat=len(other.came) + 1)
    assert len(paused.came) == 1
    return paused.came[0].received_at


async def send_for_head(world: World, target: str) -> tuple[int, float]:
    """Send a request; return status and ``Retry-After`` of its answer."""
    connection = await channel.Channel.connect(path_harness.HOST, world.port, 5)
    connection.send(path_harness.request(target))
    head = await connection.read_head()
    connection.abort()
    return head.status, float(head.headers.get(b'retry-after') or 0)


class PauseTest(testtools.TestCase):
    """No request reaches an endpoint during its pause."""

    def test_first_attempts_during_pause(self) -> None:
        """Requests go to other endpoints while one has asked for a pause.

        Endpoints that had asked for three seconds without requests got up to
        17 from one entry in that time.
        """

        async def scenario(harness: World) -> None:
            paused, other = harness.endpoints
            paused.retry_after = LONG_PAUSE
            paused.faults = [Fault.PAUSE] * 40
            for _ in range(40):
                answer = await harness.send('/plain/a')
                self.assertEqual(200, answer.status)
            self.assertEqual((1, 40), (len(paused.came), len(other.ran)))

        path_harness.run(scenario)

    def test_retries_during_pause(self) -> None:
        """Retries are not sent to an endpoint that has asked for a pause."""

        async def scenario(harness: World) -> None:
            await pause(harness)
            paused, failing, other = harness.endpoints
            failing.faults = [Fault.ERROR, Fault.LOST, Fault.FULL] * 5
            for _ in range(15):
                answer = await harness.send('/plain/a')
                self.assertEqual(200, answer.status)
            self.assertEqual((1, 15), (len(paused.came), len(other.ran)))

        path_harness.run(scenario, 3)

    def test_resumed_stream_during_pause(self) -> None:
        """A stream is resumed at an endpoint only after its pause."""

        async def scenario(harness: World) -> None:
            paused, failing = harness.endpoints
            paused_at = await pause(harness, retry_after=SHORT_PAUSE)
            failing.faults = [Fault.CUT]
            answer = await harness.send('/stream/a')
            self.assertEqual(3, answer.body.count(b'data:'))
            self.assertEqual(2, len(paused.came))
            self.assertGreaterEqual(
                paused.came[1].received_at, paused_at + SHORT_PAUSE_SECONDS
            )

        path_harness.run(scenario)

    def test_pause_during_connection_setup(self) -> None:
        """A request does not reach an endpoint that asks for a pause meanwhile.

        The endpoint had been selected before, and the connection was being set
        up.
        """

        async def scenario(harness: World) -> None:
            (paused,) = harness.endpoints
            paused.retry_after = LONG_PAUSE
            paused.faults = [Fault.PAUSE] * 2
            gates = [asyncio.Event(), asyncio.Event()]
            waiting = iter(gates)
            acquire = pool.Pool.acquire

            async def acquire_slowly(
                peers: pool.Pool, **limits: float
            ) -> object:
                connection = await acquire(peers, **limits)
                if limits:  # The caller's own connections have none.
                    await next(waiting).wait()
                return connection

            self.patch(pool.Pool, 'acquire', acquire_slowly)
            pending = [
                asyncio.create_task(harness.send('/once/a')) for _ in gates
            ]
            while not sum(
                harness.cluster.in_flight_by_endpoint(now()).values()
            ) == len(gates):
                await asyncio.sleep(0)
            gates[0].set()
            await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            gates[1].set()
            for answer in await asyncio.gather(*pending):
                self.assertEqual(503, answer.status)
            self.assertEqual(1, len(paused.came))

        path_harness.run(scenario, 1)

    def test_withdrawn_request_is_no_retry(self) -> None:
        """A request that was not sent goes elsewhere without a retry budget.

        It is no failure of the endpoint either.
        """

        async def scenario(harness: World) -> None:
            paused, other = harness.endpoints
            harness.cluster.endpoints.mark_removed(other.id, now(), 0)
            paused.retry_after = LONG_PAUSE
            paused.faults = [Fault.PAUSE]
            gates = [asyncio.Event() for _ in range(6)]
            waiting = iter(gates)
            acquire = pool.Pool.acquire

            async def acquire_slowly(
                peers: pool.Pool, **limits: float
            ) -> object:
                connection = await acquire(peers, **limits)
                if limits:  # The caller's own connections have none.
                    await next(waiting, opened).wait()
                return connection

            opened = asyncio.Event()
            opened.set()
            self.patch(pool.Pool, 'acquire', acquire_slowly)
            pending = [
                asyncio.create_task(harness.send('/once/a')) for _ in gates
            ]
            while not sum(
                harness.cluster.in_flight_by_endpoint(now()).values()
            ) == len(gates):
                await asyncio.sleep(0)
            gates[0].set()
            await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            harness.list_endpoint(other, heartbeat=1)
            for gate in gates:
                gate.set()
            answers = await asyncio.gather(*pending)
            self.assertEqual(
                [200] * 5 + [503], sorted(answer.status for answer in answers)
            )
            self.assertEqual((1, 5), (len(paused.came), len(other.ran)))
            ejected = harness.cluster.ejector.ejected_endpoints(now() + 1)
            self.assertEqual(frozenset(), ejected)

        limits = node.SystemLimits(budget_share=0, budget_surplus=0)
        local_node = msgspec.structs.replace(path_harness.NODE, duties=limits)
        path_harness.run(scenario, local_node=local_node)

    def test_restart_ends_pause(self) -> None:
        """A pause belongs to one start of an endpoint."""

        async def scenario(harness: World) -> None:
            (paused,) = harness.endpoints
            harness.list_endpoint(paused, started_ms=1)
            await pause(harness)
            status, _ = await send_for_head(harness, '/plain/a')
            self.assertEqual(503, status)
            harness.list_endpoint(paused, started_ms=2, heartbeat=0)
            answer = await harness.send('/plain/a')
            self.assertEqual(200, answer.status)

        path_harness.run(scenario, 1)


class AllPausedTest(testtools.TestCase):
    """All endpoints have asked for a pause."""

    def test_rejected_without_attempts(self) -> None:
        """A request that cannot wait for the pause is rejected at once.

        Each request was sent to one endpoint after the other, which spent the
        retry budget of the service.
        """

        async def scenario(harness: World) -> None:
            for endpoint in harness.endpoints:
                endpoint.retry_after = LONG_PAUSE
                endpoint.faults = [Fault.PAUSE] * 200
            for _ in range(10):
                for target in ('/plain/a', '/stream/a', '/once/a'):
                    answer = await harness.send(target)
                    self.assertEqual(503, answer.status)
            self.assertEqual(
                [1, 1], [len(endpoint.came) for endpoint in harness.endpoints]
            )

        path_harness.run(scenario)

    def test_retry_after_is_the_end_of_the_pause(self) -> None:
        """The answer asks for a retry when an endpoint is available again."""

        async def scenario(harness: World) -> None:
            paused_at = await pause(harness, retry_after=b'1.2')
            for target in ('/plain/brief/a', '/short/a'):
                status, seconds = await send_for_head(harness, target)
                self.assertEqual(503, status)
                self.assertAlmostEqual(
                    paused_at + 1.2 - now(), seconds, delta=0.2
                )
            self.assertEqual(1, len(harness.received_requests))

        path_harness.run(scenario, 1)

    def test_waits_for_the_end_of_the_pause(self) -> None:
        """A request that can start after the pause waits for it."""

        async def scenario(harness: World) -> None:
            paused_at = await pause(harness, retry_after=SHORT_PAUSE)
            for target in ('/plain/a', '/stream/a', '/once/a'):
                answer = await harness.send(target)
                self.assertEqual(200, answer.status)
            first = harness.executed_requests[0]
            self.assertGreaterEqual(
                first.received_at, paused_at + SHORT_PAUSE_SECONDS
            )

        path_harness.run(scenario, 1)

    def test_pause_that_ends_during_selection(self) -> None:
        """A request is sent if the pause ends while its endpoint is selected.

        It was refused: the endpoint was paused when one was selected, and not
        any longer when it was asked how long to wait.
        """

        async def scenario(harness: World) -> None:
            await pause(harness)
            admits = endpoint_backoff.Backoff.admits

            def admits_next_time(
                backoff: endpoint_backoff.Backoff, moment: float
            ) -> bool:
                is_admitted = admits(backoff, moment)
                backoff._paused_until = moment
                return is_admitted

            self.patch(endpoint_backoff.Backoff, 'admits', admits_next_time)
            answer = await harness.send('/plain/a')
            self.assertEqual(200, answer.status)

        path_harness.run(scenario, 1)

    def test_waiting_requests_are_not_sent_at_once(self) -> None:
        """Few of the requests that have waited are sent when a pause ends."""

        async def scenario(harness: World) -> None:
            (paused,) = harness.endpoints
            await pause(harness, retry_after=SHORT_PAUSE)
            paused.retry_after = SHORT_PAUSE
            paused.faults = [Fault.PAUSE] * 3
            answers = await asyncio.gather(
                *(
                    harness.send('/plain/a', X_Attempt_Id=f'r-{number}')
                    for number in range(12)
                )
            )
            # Each of three pauses ends with the rejection of one request.
            self.assertEqual(
                [200] * 9 + [503] * 3,
                sorted(answer.status for answer in answers),
            )
            arrivals = [one.received_at for one in paused.came[:5]]
            for earlier, later in zip(arrivals[:4], arrivals[1:], strict=False):
                self.assertGreaterEqual(later - earlier, SHORT_PAUSE_SECONDS)

        path_harness.run(scenario, 1)

    def test_one_request_first_after_pause(self) -> None:
        """Until a request is accepted after the pause, others wait."""

        async def scenario(harness: World) -> None:
            (paused,) = harness.endpoints
            await pause(harness, retry_after=SHORT_PAUSE)
            paused.going.clear()
            pending = [
                asyncio.create_task(
                    harness.send('/plain/a', X_Attempt_Id=f'r-{number}')
                )
                for number in range(12)
            ]
            while not paused.ran:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            self.assertEqual(1, len(paused.ran))
            paused.going.set()
            for answer in await asyncio.gather(*pending):
                self.assertEqual(200, answer.status)

        path_harness.run(scenario, 1)


class RejectingEndpointTest(testtools.TestCase):
    """An endpoint turns all requests away and asks for no pause."""

    def test_does_not_attract_requests(self) -> None:
        """An endpoint that turns everything away gets few of the requests.

        It runs nothing and looks empty, so that it was preferred to the
        endpoints that did the work, and each of its rejections cost a retry.
        """

        async def scenario(harness: World) -> None:
            rejecting, *others = harness.endpoints
            rejecting.faults = [Fault.FULL] * 1000
            for _ in range(100):
                harness.cluster.loads.update_peer_counts(
                    'entry-2', {other.id: 8 for other in others}, now()
                )
                answer = await harness.send('/plain/a')
                self.assertEqual(200, answer.status)
            self.assertLess(len(rejecting.came), 100 / len(harness.endpoints))

        path_harness.run(scenario, 3)

    def test_is_used_again(self) -> None:
        """It is used again soon after it accepts requests."""

        async def scenario(harness: World) -> None:
            rejecting, *others = harness.endpoints
            rejecting.faults = [Fault.FULL] * 5
            ended_at = now() + 3
            while not rejecting.ran and now() < ended_at:
                harness.cluster.loads.update_peer_counts(
                    'entry-2', {other.id: 8 for other in others}, now()
                )
                await harness.send('/plain/a')
                await asyncio.sleep(0.01)
            self.assertEqual(1, len(rejecting.ran))

        path_harness.run(scenario, 3)
