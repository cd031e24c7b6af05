"""Tests of serving requests with endpoints that fail in different ways."""

from __future__ import annotations

import asyncio
import typing

import testtools
from loguru import logger

from clementinepass.direct import endpoints, routing
from clementinepass.http import channel, pool
from standins import direct_endpoint
from tests.direct import path_harness

Fault = direct_endpoint.Fault
EVENTS = b''.join(
    b'id: %d\ndata: %d\n\n' % (number, number) for number in range(3)
)
HOST = path_harness.HOST

#: Target, faults of the endpoints, status for the caller, number of runs.
OUTCOMES = (
    ('/stream/a', (), 200, 1),
    ('/stream/a', (Fault.FULL,), 200, 1),
    ('/stream/a', (Fault.ANOTHER,), 200, 1),
    ('/stream/a', (Fault.LOST,), 200, 2),
    ('/stream/a', (Fault.HALF_HEAD,), 200, 2),
    ('/stream/once/a', (Fault.HALF_HEAD,), 502, 1),
    ('/plain/a', (Fault.HALF_HEAD,), 200, 2),
    ('/once/a', (Fault.HALF_HEAD,), 502, 1),
    ('/stream/a', (Fault.CUT,), 200, 2),
    ('/stream/a', (Fault.GAP,), 200, 2),
    ('/stream/a', (Fault.UNSTAMPED,), 200, 2),
    ('/stream/a', (Fault.ENDLESS_HEAD,), 200, 2),
    ('/stream/a', (Fault.ENDLESS_COMMENTS,), 200, 2),
    ('/stream/once/a', (Fault.ENDLESS_COMMENTS,), 502, 1),
    ('/plain/a', (Fault.ENDLESS_TRAILERS,), 200, 2),
    ('/once/a', (Fault.ENDLESS_HEAD,), 502, 1),
    ('/stream/a', (Fault.ERROR, Fault.ERROR), 500, 2),
    ('/stream/a', (Fault.LOST, Fault.LOST), 502, 2),
    ('/stream/a', (Fault.FULL, Fault.FULL), 503, 0),
    ('/stream/once/a', (Fault.LOST,), 502, 1),
    ('/stream/once/a', (Fault.FULL,), 200, 1),
    ('/plain/a', (Fault.ERROR,), 200, 2),
    ('/plain/a', (Fault.ENCODED,), 200, 2),
    ('/plain/a', (Fault.FULL, Fault.ERROR), 500, 1),
    ('/once/a', (), 200, 1),
    ('/once/a', (Fault.FULL,), 200, 1),
    ('/once/a', (Fault.FULL, Fault.FULL), 503, 0),
    ('/once/a', (Fault.ANOTHER, Fault.ANOTHER), 503, 0),
    ('/once/a', (Fault.LOST,), 502, 1),
    ('/once/a', (Fault.ERROR,), 500, 1),
    ('/once/a', (Fault.UNSTAMPED,), 502, 1),
    ('/once/twice/a', (Fault.LOST,), 502, 1),
    ('/once/a', (Fault.FULL, Fault.LOST), 502, 1),
)


class FaultOutcomeTest(testtools.TestCase):
    """The status that callers get for faults of endpoints."""

    def test_status_and_runs(self) -> None:
        """No request runs more often than allowed; 503 means that it never ran."""
        for target, faults, status, runs in OUTCOMES:
            case = (target, faults)

            async def scenario(
                harness: path_harness.PathHarness,
                target: str = target,
                faults: tuple[Fault, ...] = faults,
                status: int = status,
                runs: int = runs,
            ) -> None:
                harness.set_shared_faults(*faults)
                answer = await harness.send(target)
                self.assertEqual(
                    (status, runs),
                    (answer.status, len(harness.executed_requests)),
                )
                if status == 200 and target.startswith('/stream'):
                    self.assertEqual(EVENTS, answer.body)

            try:
                path_harness.run(scenario)
            except Exception as error:
                raise AssertionError(case) from error

    def test_stamp_only_of_endpoints(self) -> None:
        """An endpoint's stamp is forwarded; answers of the entry have none."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            for fault, has_stamp in ((None, True), (Fault.LOST, False)):
                harness.set_shared_faults(*([fault] if fault else []))
                connection = await channel.Channel.connect(
                    HOST, harness.port, 5
                )
                connection.send(path_harness.request('/once/a'))
                head = await connection.read_head()
                stamp = head.headers.get(b'x-server-stamp')
                self.assertEqual(has_stamp, stamp is not None)
                self.assertEqual(b'r-1', head.headers.get(b'x-attempt-id'))
                connection.abort()

        path_harness.run(scenario)

    def test_resumed_stream_keeps_first_head(self) -> None:
        """A resumed stream keeps the head of its first endpoint."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            harness.set_shared_faults(Fault.CUT)
            connection = await channel.Channel.connect(HOST, harness.port, 5)
            connection.send(path_harness.request('/stream/a'))
            head = await connection.read_head()
            first = next(
                endpoint for endpoint in harness.endpoints if endpoint.ran
            )
            self.assertEqual(
                b'stamp-%b' % first.id.encode(),
                head.headers.get(b'x-server-stamp'),
            )
            while await connection.read():
                """Read to the end."""
            second = next(
                endpoint
                for endpoint in harness.endpoints
                if endpoint is not first
            )
            resumed_headers = second.ran[0].headers
            self.assertEqual(b'0', resumed_headers.get(b'last-event-id'))

        path_harness.run(scenario)

    def test_broken_stream_has_no_last_chunk(self) -> None:
        """A stream that can't be resumed ends without the final chunk."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            harness.set_shared_faults(Fault.CUT, Fault.CUT)
            with testtools.ExpectedException(channel.ChannelBrokenError):
                await harness.send('/stream/once/a')

        path_harness.run(scenario)


class RefusalTest(testtools.TestCase):
    """Requests that can't be served are refused without any attempt."""

    def test_invalid_requests(self) -> None:
        """Invalid ids, timeouts, hosts, routes and keys are refused."""
        table = (
            ('/plain/a', {'X_Attempt_Id': ''}, 400),
            ('/plain/a', {'X_Attempt_Id': 'a' * 300}, 400),
            ('/plain/a', {'X_Deadline_Ms': 'soon'}, 400),
            ('/plain/a', {'X_Deadline_Ms': '-5'}, 400),
            ('/plain/a', {'X_Deadline_Ms': 'nan'}, 400),
            ('/plain/a', {'Last_Event_Id': 'x'}, 400),
            ('/plain/a', {'Host': 'other'}, 404),
            ('/plainer/a', {}, 404),
            ('/plain', {}, 404),
            ('/plain/a', {'X_Api_Key': ''}, 401),
            ('/plain/a', {'X_Api_Key': 'wrong'}, 401),
            ('/public/a', {'X_Api_Key': ''}, 200),
            ('/plain/a?q=/once/', {}, 200),
            ('/plain/a', {'Host': 'H:80'}, 200),
        )

        async def scenario(harness: path_harness.PathHarness) -> None:
            for target, headers, status in table:
                answer = await harness.send(target, **headers)
                self.assertEqual(status, answer.status, (target, headers))
            self.assertEqual(3, len(harness.received_requests))

        path_harness.run(scenario)

    def test_without_configuration(self) -> None:
        """An entry without a configuration answers 503 instead of 404."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            harness.cluster.routing = None
            self.assertEqual(503, (await harness.send('/plain/a')).status)

        path_harness.run(scenario)

    def test_no_usable_endpoint(self) -> None:
        """No attempt is made if all endpoints drain or lack weights."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            harness.list_endpoint(
                harness.endpoints[0],
                heartbeat=99,
                weights=endpoints.Weights(1, 0, 1),
            )
            harness.list_endpoint(
                harness.endpoints[1], heartbeat=99, draining=True
            )
            self.assertEqual(503, (await harness.send('/plain/a')).status)
            self.assertEqual([], harness.received_requests)

        path_harness.run(scenario)


class ServiceTest(testtools.TestCase):
    """Routes to services without endpoints."""

    def test_unknown_service(self) -> None:
        """A request for a service missing in the configuration is refused."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            backends = (routing.Backend('nobody', 1),)
            harness.configure(
                2, [path_harness.route('plain', backends=backends)]
            )
            self.assertEqual(503, (await harness.send('/plain/a')).status)

        path_harness.run(scenario)


class RestartTest(testtools.TestCase):
    """An endpoint crashes and restarts under its id."""

    def test_old_connections_are_not_reused(self) -> None:
        """A restarted endpoint gets no request on its old connections.

        A request that must not run twice was sent on a connection to the
        previous process, which was unreachable, and its caller got the answer
        that it may have run.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            (before,) = harness.endpoints
            harness.list_endpoint(before, started_ms=1)
            self.assertEqual(200, (await harness.send('/once/a')).status)
            before.faults = [Fault.MUTE]
            async with direct_endpoint.DirectEndpoint(before.id) as after:
                harness.list_endpoint(after, started_ms=2, heartbeat=0)
                answer = await harness.send('/once/a', X_Deadline_Ms='900')
                self.assertEqual(200, answer.status)
                self.assertEqual((1, 1), (len(before.ran), len(after.ran)))

        path_harness.run(scenario, 1)

    def test_stream_of_previous_start(self) -> None:
        """A stream of the previous start ends after the restart is known.

        Its connection is not reused, and it is not counted for the new start.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            (endpoint,) = harness.endpoints
            harness.list_endpoint(endpoint, started_ms=1)
            endpoint.going.clear()
            pending_answer = asyncio.create_task(harness.send('/stream/a'))
            while not endpoint.ran:
                await asyncio.sleep(0.01)
            before = harness.cluster.endpoints.get(endpoint.id)
            harness.list_endpoint(endpoint, started_ms=2, heartbeat=0)
            after = harness.cluster.endpoints.get(endpoint.id)
            assert before is not None
            assert after is not None
            self.assertEqual((1, 0), (before.in_flight, after.in_flight))
            endpoint.going.set()
            answer = await pending_answer
            self.assertEqual((200, EVENTS), (answer.status, answer.body))
            self.assertEqual((0, 0), (before.in_flight, after.in_flight))
            await harness.send('/plain/a')
            self.assertEqual(1, len(harness.idle_connections(endpoint.id)))

        path_harness.run(scenario, 1)


class ForwardedRequestTest(testtools.TestCase):
    """What an endpoint receives of a request."""

    def test_headers(self) -> None:
        """The key is removed; team, instance and timeout are set."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            await harness.send(
                '/plain/a?b=c',
                b'the body',
                X_Tenant='forged',
                X_Expect_Instance='forged',
                Path='forged',
                X_Model='m',
                Connection='X-Hop',
                X_Hop='1',
                X_Other='kept',
            )
            (request,) = harness.executed_requests
            headers = request.headers
            self.assertEqual(b'/plain/a?b=c', request.target)
            self.assertEqual(b'the body', request.body)
            self.assertEqual(b'team', headers.get(b'x-tenant'))
            self.assertEqual(1, headers.count(b'x-tenant'))
            self.assertEqual(1, headers.count(b'x-expect-instance'))
            for name in (b'x-api-key', b'path', b'x-hop'):
                self.assertIsNone(headers.get(name), name)
            self.assertEqual(b'kept', headers.get(b'x-other'))
            self.assertEqual(b'm', headers.get(b'x-model'))
            timeout_ms = int(headers.get(b'x-deadline-ms') or 0)
            self.assertLessEqual(timeout_ms, 9000)
            self.assertGreater(timeout_ms, 0)

        path_harness.run(scenario)

    def test_route_timeout_bounds_the_deadline(self) -> None:
        """The timeout sent to an endpoint is at most that of the route."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            await harness.send('/plain/a', X_Deadline_Ms='60000')
            timeout_ms = (
                harness.executed_requests[0].headers.get(b'x-deadline-ms')
                or b'0'
            )
            self.assertLessEqual(int(timeout_ms), 10000)

        path_harness.run(scenario)


class ConfigurationTest(testtools.TestCase):
    """A request keeps the configuration under which it was admitted."""

    def test_route_removed_during_stream(self) -> None:
        """A stream completes though its route and its key are removed.

        It was cut off when a new configuration dropped the route.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            for endpoint in harness.endpoints:
                endpoint.going.clear()
            pending_answer = asyncio.create_task(harness.send('/stream/a'))
            while not harness.executed_requests:
                await asyncio.sleep(0)
            harness.configure(2, path_harness.ROUTES[2:])
            harness.configure(3, ())
            for endpoint in harness.endpoints:
                endpoint.going.set()
            answer = await pending_answer
            self.assertEqual(200, answer.status)
            self.assertEqual(3, answer.body.count(b'data:'))
            self.assertEqual(404, (await harness.send('/stream/a')).status)

        path_harness.run(scenario)

    def test_route_added_later(self) -> None:
        """A new route is served as soon as its configuration is in force.

        Callers of a new route were refused as if the route did not exist.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            self.assertEqual(404, (await harness.send('/new/a')).status)
            routes = [*path_harness.ROUTES, path_harness.route('new')]
            harness.configure(2, routes)
            for _ in range(5):
                self.assertEqual(200, (await harness.send('/new/a')).status)

        path_harness.run(scenario)

    def test_route_removed_before_retry(self) -> None:
        """A stream is resumed even if its route was removed meanwhile."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            harness.set_shared_faults(Fault.CUT)
            for endpoint in harness.endpoints:
                endpoint.going.clear()
            pending_answer = asyncio.create_task(harness.send('/stream/a'))
            while not harness.executed_requests:
                await asyncio.sleep(0)
            harness.configure(2, ())
            for endpoint in harness.endpoints:
                endpoint.going.set()
            self.assertEqual(3, (await pending_answer).body.count(b'data:'))
            self.assertEqual(2, len(harness.executed_requests))

        path_harness.run(scenario)


class DeadlineTest(testtools.TestCase):
    """Deadlines, and callers that disconnect."""

    def test_timeout(self) -> None:
        """A request that ran gets its final answer at the deadline."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            harness.set_shared_faults(Fault.MUTE)
            self.assertEqual(504, (await harness.send('/short/a')).status)
            while not any(endpoint.left for endpoint in harness.endpoints):
                await asyncio.sleep(0)

        path_harness.run(scenario)

    def test_caller_disconnects(self) -> None:
        """The attempt is aborted when the caller closes its connection.

        Endpoints continued to work for callers that had disconnected, as the
        end of a connection was noticed only when the next event was written.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            for endpoint in harness.endpoints:
                endpoint.going.clear()
            connection = await channel.Channel.connect(HOST, harness.port, 5)
            connection.send(path_harness.request('/stream/a'))
            while not harness.executed_requests:
                await asyncio.sleep(0)
            connection.abort()
            while not any(endpoint.left for endpoint in harness.endpoints):
                await asyncio.sleep(0)
            self.assertEqual(1, len(harness.received_requests))

        path_harness.run(scenario)


class RetryDeadlineTest(testtools.TestCase):
    """A retry is sent with the remaining time."""

    def test_retry_gets_remaining_time(self) -> None:
        """The second attempt gets only the time that the first one left.

        The first endpoint was silent for half of the caller's timeout of one
        second. The second was sent the full timeout and worked for a caller that
        had disconnected.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            harness.set_shared_faults(Fault.MUTE)
            await harness.send('/plain/a', X_Deadline_Ms='1000')
            first, second = sorted(
                int(request.headers.get(b'x-deadline-ms') or 0)
                for request in harness.executed_requests
            )[::-1]
            self.assertLessEqual(first, 1000)
            self.assertLessEqual(second, 500)
            self.assertGreater(second, 300)

        path_harness.run(scenario)


class DrainingEndpointTest(testtools.TestCase):
    """A draining endpoint gets no more requests."""

    def test_drains_during_connection_setup(self) -> None:
        """An endpoint that starts to drain during connection setup is skipped.

        A request reached a draining endpoint: the endpoint was selected before,
        and connecting took half a second as the first packet was lost.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            first = harness.endpoints[0]
            second = harness.endpoints[1]
            harness.list_endpoint(second, draining=True)
            connected = asyncio.Event()
            acquire = pool.Pool.acquire

            async def acquire_slowly(
                peers: pool.Pool, **limits: float
            ) -> object:
                connection = await acquire(peers, **limits)
                if limits:  # The caller's own connections have none.
                    await connected.wait()
                return connection

            self.patch(pool.Pool, 'acquire', acquire_slowly)
            pending_answer = asyncio.create_task(harness.send('/once/a'))
            now = asyncio.get_running_loop().time
            while not harness.cluster.in_flight_by_endpoint(now()):
                await asyncio.sleep(0)
            harness.list_endpoint(first, draining=True)
            connected.set()
            self.assertEqual(503, (await pending_answer).status)
            self.assertEqual([], harness.received_requests)

        path_harness.run(scenario)


class LoadingTest(testtools.TestCase):
    """All engines load a version at once.

    For a second no engine was usable, and each request was refused with a retry
    after two seconds. The retries arrived when the engines were full.
    """

    def test_waits_for_an_engine(self) -> None:
        """A request waits for an engine that is loading."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            for endpoint in harness.endpoints:
                harness.list_endpoint(
                    endpoint,
                    heartbeat=98,
                    weights=endpoints.Weights(2, 0, 0),
                )
            pending_answer = asyncio.create_task(harness.send('/plain/a'))
            while not harness.front.busy_count():
                await asyncio.sleep(0)
            self.assertEqual([], harness.received_requests)
            harness.list_endpoint(
                harness.endpoints[0],
                heartbeat=99,
                weights=endpoints.Weights(2, 0, 2),
            )
            self.assertEqual(200, (await pending_answer).status)

        path_harness.run(scenario)

    def test_wait_is_limited(self) -> None:
        """A request is refused without a run if the engines keep loading."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            for endpoint in harness.endpoints:
                harness.list_endpoint(
                    endpoint,
                    heartbeat=98,
                    weights=endpoints.Weights(2, 0, 0),
                )
            self.assertEqual(503, (await harness.send('/plain/a')).status)
            self.assertEqual([], harness.received_requests)

        path_harness.run(scenario)


class VersionTest(testtools.TestCase):
    """Requests start on a version only while it may be used."""

    def test_only_newest_version_after_bound(self) -> None:
        """After the bound, engines with older weights get no requests."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            now = asyncio.get_running_loop().time()
            harness.list_endpoint(
                harness.endpoints[1],
                heartbeat=99,
                weights=endpoints.Weights(2, 0, 2),
            )
            harness.cluster.add_desired_version('m', 2, now - 60)
            for _ in range(8):
                await harness.send('/plain/a')
            self.assertEqual([], harness.endpoints[0].came)
            expected = harness.endpoints[1].ran[0].headers
            self.assertEqual(b'2', expected.get(b'x-expect-version'))

        path_harness.run(scenario)

    def test_answer_on_outdated_weights_is_logged(self) -> None:
        """An answer that begins on weights past their bound leaves a line."""
        lines: list[dict[str, typing.Any]] = []
        sink = logger.add(
            lambda line: lines.append(line.record['extra']),
            filter=lambda record: (
                record['message'] == 'answer on outdated weights'
            ),
        )
        self.addCleanup(logger.remove, sink)

        async def scenario(harness: path_harness.PathHarness) -> None:
            now = asyncio.get_running_loop().time()
            versions = (b'1', b'2')
            for endpoint, version in zip(
                harness.endpoints, versions, strict=True
            ):
                endpoint.weights_version = version
                harness.list_endpoint(
                    endpoint, heartbeat=99, weights=endpoints.Weights(2, 0, 2)
                )
            harness.cluster.add_desired_version('m', 2, now - 60)
            for _ in range(8):
                await harness.send('/plain/a')
            ran = len(harness.endpoints[0].ran)
            self.assertGreater(ran, 0)
            self.assertEqual(
                ['i-0'] * ran, [line['endpoint'] for line in lines]
            )
            bound = path_harness.DUTIES.version
            self.assertAlmostEqual(60 - bound, lines[0]['late'], delta=1)

        path_harness.run(scenario)

    def test_abandoned_before_bound(self) -> None:
        """A request that has not started is abandoned before the bound.

        A request was sent to an engine with old weights 1.2 seconds before the
        bound. Its queue took longer than estimated, and the first token was
        produced on the old weights after the bound.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            now = asyncio.get_running_loop().time()
            harness.set_shared_faults(Fault.MUTE, Fault.MUTE)
            harness.cluster.add_desired_version(
                'm', 2, now - path_harness.DUTIES.version + 0.9
            )
            answer = await harness.send('/stream/a')
            self.assertEqual(502, answer.status)
            while not any(endpoint.left for endpoint in harness.endpoints):
                await asyncio.sleep(0)

        path_harness.run(scenario)

    def test_not_sent_after_late_connection(self) -> None:
        """A request is not sent if its connection is open after its time."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            now = asyncio.get_running_loop().time()
            harness.cluster.add_desired_version(
                'm', 2, now - path_harness.DUTIES.version + 0.9
            )
            acquire = pool.Pool.acquire

            async def acquire_slowly(
                peers: pool.Pool, **limits: float
            ) -> object:
                connection = await acquire(peers, **limits)
                if limits:  # The caller's own connections have none.
                    await asyncio.sleep(1)
                return connection

            self.patch(pool.Pool, 'acquire', acquire_slowly)
            answer = await harness.send('/stream/a')
            await asyncio.sleep(0.1)
            self.assertEqual([], harness.received_requests)
            self.assertEqual(503, answer.status)

        path_harness.run(scenario)

    def test_resumed_stream_abandoned_before_bound(self) -> None:
        """A resumed stream that has not started is abandoned, too.

        The first engine crashed shortly before the bound. The second also had
        old weights, and a queue. The stream started there after the bound, as
        the start deadline applied only until the caller had an event.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            loop = asyncio.get_running_loop()
            now = loop.time()
            harness.set_shared_faults(Fault.CUT, Fault.MUTE)
            harness.cluster.add_desired_version(
                'm', 2, now - path_harness.DUTIES.version + 0.9
            )
            with self.assertRaises(channel.ChannelBrokenError):
                await harness.send('/stream/a')
            self.assertEqual(2, len(harness.executed_requests))
            self.assertLess(loop.time() - now, 0.9)

        path_harness.run(scenario)

    def test_not_queued_beyond_bound(self) -> None:
        """No request is queued where the bound would pass while it waits.

        Requests were sent to engines with old weights behind 25 waiting
        requests shortly before the bound, and were abandoned there or started
        after it.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            now = asyncio.get_running_loop().time()
            harness.cluster.add_desired_version(
                'm', 2, now - path_harness.DUTIES.version + 0.9
            )
            harness.cluster.loads.update_peer_counts(
                'entry-2', {'i-0': 40, 'i-1': 40}, now
            )
            answer = await harness.send('/stream/a')
            self.assertEqual(503, answer.status)
            self.assertEqual([], harness.received_requests)

        path_harness.run(scenario)

    def test_retry_not_queued_beyond_bound(self) -> None:
        """A stream of a crashed engine is not resumed in such a queue."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            now = asyncio.get_running_loop().time()
            harness.set_shared_faults(Fault.CUT)
            harness.cluster.add_desired_version(
                'm', 2, now - path_harness.DUTIES.version + 0.9
            )
            harness.cluster.loads.update_peer_counts(
                'entry-2', {'i-1': 40}, now
            )
            with self.assertRaises(channel.ChannelBrokenError):
                await harness.send('/stream/a')
            self.assertEqual([], harness.endpoints[1].came)

        path_harness.run(scenario)
