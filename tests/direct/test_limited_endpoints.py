"""Tests of endpoints that name a limit of requests in their answers."""

from __future__ import annotations

import asyncio
import itertools
import typing

import testtools

from clementinepass.direct import routing
from clementinepass.http import channel, pool
from standins import direct_endpoint, machines
from tests.direct import path_harness

Fault = direct_endpoint.Fault
World = path_harness.PathHarness
#: Seconds of a span in which the requests at a limited endpoint are counted.
SPAN_SECONDS = 4
#: Requests beyond one and a half times the limit that it may get in a span.
SLACK = 5
LIMIT = b'1'
REQUESTS = 60
ENTRIES = 9


def allowed(limit: bytes) -> float:
    """Return the number of requests that may arrive in a span."""
    return 1.5 * SPAN_SECONDS * float(limit) + SLACK


def most_in_span(endpoint: direct_endpoint.DirectEndpoint) -> int:
    """Return the most requests that reached an endpoint in a span."""
    times = [request.received_at for request in endpoint.came]
    return max(
        (
            sum(start <= time < start + SPAN_SECONDS for time in times)
            for start in times
        ),
        default=0,
    )


async def limit(
    world: World, index: int = 0, value: bytes = LIMIT
) -> direct_endpoint.DirectEndpoint:
    """Let an endpoint name a limit in an answer, and forget what came."""
    limited = world.endpoints[index]
    limited.named_limit = value
    limited.came.clear()
    while not limited.came:
        await world.send('/plain/a')
    limited.came.clear()
    return limited


async def send_for_head(
    world: World, target: str, **headers: str
) -> tuple[int, float]:
    """Send a request; return status and ``Retry-After`` of its answer."""
    connection = await channel.Channel.connect(path_harness.HOST, world.port, 5)
    connection.send(path_harness.request(target, **headers))
    head = await connection.read_head()
    connection.abort()
    return head.status, float(head.headers.get(b'retry-after') or 0)


class LimitTest(testtools.TestCase):
    """A limited endpoint gets no more than its limit, and others the rest."""

    def test_first_attempts(self) -> None:
        """Requests go to other endpoints while one is limited."""

        async def scenario(harness: World) -> None:
            limited = await limit(harness)
            for _ in range(REQUESTS):
                answer = await harness.send('/plain/a')
                self.assertEqual(200, answer.status)
            self.assertLessEqual(most_in_span(limited), allowed(LIMIT))

        path_harness.run(scenario, 3)

    def test_retries(self) -> None:
        """Retries count, and so do requests that are turned away."""

        async def scenario(harness: World) -> None:
            limited = await limit(harness)
            limited.faults = [Fault.FULL] * REQUESTS
            failing, other = harness.endpoints[1:]
            for _ in range(REQUESTS):
                failing.faults = [Fault.ERROR]
                other.faults = [Fault.ERROR]
                await harness.send('/plain/a')
            self.assertLessEqual(most_in_span(limited), allowed(LIMIT))

        path_harness.run(scenario, 3)

    def test_resumed_streams(self) -> None:
        """Streams that are resumed count."""

        async def scenario(harness: World) -> None:
            limited = await limit(harness)
            harness.endpoints[1].faults = [Fault.CUT] * REQUESTS
            pending = [
                harness.send(
                    '/stream/a',
                    X_Attempt_Id=f'r-{number}',
                    X_Deadline_Ms='3000',
                )
                for number in range(REQUESTS)
            ]
            await asyncio.gather(*pending, return_exceptions=True)
            self.assertLessEqual(most_in_span(limited), allowed(LIMIT))

        path_harness.run(scenario)

    def test_during_connection_setup(self) -> None:
        """Requests that wait for a connection as it is named count."""

        async def scenario(harness: World) -> None:
            (limited,) = harness.endpoints
            limited.named_limit = LIMIT
            gate = asyncio.Event()
            acquire = pool.Pool.acquire
            first = asyncio.Event()
            first.set()
            events = itertools.chain([first], itertools.repeat(gate))

            async def acquire_slowly(
                peers: pool.Pool, **limits: float
            ) -> object:
                connection = await acquire(peers, **limits)
                if limits:  # The caller's own connections have none.
                    await next(events).wait()
                return connection

            self.patch(pool.Pool, 'acquire', acquire_slowly)
            pending = [
                asyncio.create_task(harness.send('/once/a')) for _ in range(15)
            ]
            await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            gate.set()
            await asyncio.sleep(1)
            self.assertLessEqual(most_in_span(limited), allowed(LIMIT))
            for task in pending:
                task.cancel()
            await asyncio.gather(*pending, return_exceptions=True)

        path_harness.run(scenario, 1)

    def test_rejected_at_once(self) -> None:
        """If all are limited, what cannot start in time is refused at once."""

        async def scenario(harness: World) -> None:
            for index in range(2):
                await limit(harness, index, b'0.5')
            statuses = []
            for _ in range(12):
                status, retry_after = await send_for_head(
                    harness, '/plain/brief/a', X_Deadline_Ms='400'
                )
                statuses.append(status)
                if status == 503:
                    self.assertGreater(retry_after, 0)
            self.assertLessEqual(
                len(harness.received_requests) - statuses.count(200), 2
            )
            self.assertGreaterEqual(statuses.count(503), 6)

        path_harness.run(scenario)

    def test_in_use_while_limited(self) -> None:
        """Six tenths of the limit are used while callers wait for it."""

        async def scenario(harness: World) -> None:
            limited = await limit(harness, value=b'5')
            started = asyncio.get_running_loop().time()
            while asyncio.get_running_loop().time() < started + SPAN_SECONDS:
                await send_for_head(harness, '/plain/a', X_Deadline_Ms='300')
                await asyncio.sleep(0.02)
            self.assertGreaterEqual(
                len(limited.came), 0.6 * 5 * SPAN_SECONDS - 1
            )
            self.assertLessEqual(most_in_span(limited), allowed(b'5'))

        path_harness.run(scenario, 1)

    def test_urgent_first(self) -> None:
        """Of requests that wait for the limit the most urgent goes first."""

        async def scenario(harness: World) -> None:
            harness.configure(
                2,
                [
                    path_harness.route('late', priority=9, **_PLAIN),
                    path_harness.route('urgent', priority=0, **_PLAIN),
                    path_harness.route('plain', priority=5, **_PLAIN),
                ],
            )
            limited = await limit(harness)
            await harness.send('/plain/a')
            pending = []
            for target in ('/late/a', '/plain/a', '/urgent/a'):
                pending.append(asyncio.create_task(harness.send(target)))
                await asyncio.sleep(0.05)
            await asyncio.gather(*pending)
            order = [request.target for request in limited.came][-3:]
            self.assertEqual([b'/urgent/a', b'/plain/a', b'/late/a'], order)

        path_harness.run(scenario, 1)


class EndTest(testtools.TestCase):
    """A limit ends with an answer that names none, and with a restart."""

    def test_end(self) -> None:
        """An endpoint that names no limit any more gets its full share."""

        async def scenario(harness: World) -> None:
            limited = await limit(harness, value=b'5')
            limited.named_limit = None
            while not limited.came:
                await harness.send('/plain/a')
                await asyncio.sleep(0.05)
            await asyncio.sleep(1)
            limited.came.clear()
            for _ in range(REQUESTS):
                await harness.send('/plain/a')
            self.assertGreaterEqual(len(limited.came), REQUESTS / 5)

        path_harness.run(scenario, 3)

    def test_restart(self) -> None:
        """An endpoint that has restarted is not limited."""

        async def scenario(harness: World) -> None:
            limited = await limit(harness)
            await limited.restart()
            harness.list_endpoint(limited, started_ms=7)
            for _ in range(REQUESTS):
                await harness.send('/plain/a')
            self.assertGreaterEqual(len(limited.came), REQUESTS / 5)

        path_harness.run(scenario, 3)

    def test_invalid(self) -> None:
        """A limit that cannot be read is none, and ends none."""

        async def scenario(harness: World) -> None:
            first, second = harness.endpoints
            await limit(harness, 0, b'many')
            await limit(harness, 1)
            second.named_limit = b'many'
            for _ in range(REQUESTS):
                await harness.send('/plain/a')
            self.assertGreaterEqual(len(first.came), REQUESTS / 2)
            self.assertLessEqual(most_in_span(second), allowed(LIMIT))

        path_harness.run(scenario)


class EntriesTest(testtools.TestCase):
    """The limit is that of all entries together."""

    def check(
        self, value: bytes, is_limited: typing.Callable[[int], bool]
    ) -> None:
        """Send many requests to all entries while some endpoints are limited."""

        async def scenario(system: machines.Machines) -> None:
            endpoints = await system.replace_desk(3)
            await system.all_known()
            limited = [
                endpoint
                for number, endpoint in enumerate(endpoints)
                if is_limited(number)
            ]
            for endpoint in limited:
                endpoint.named_limit = value
            # The bound applies from three seconds after it was first named on.
            await send_all(system, 3)
            for endpoint in limited:
                endpoint.came.clear()
            await send_all(system, 6)
            for endpoint in limited:
                self.assertLessEqual(most_in_span(endpoint), allowed(value))
                self.assertGreater(len(endpoint.came), 0)

        asyncio.run(run_entries(scenario))

    def test_one_limited(self) -> None:
        """One of three endpoints takes little more than one a second."""
        self.check(b'1.2', lambda number: number == 0)

    def test_all_limited(self) -> None:
        """All endpoints take two a second, and callers send far more."""
        self.check(b'2', lambda number: True)


_PLAIN: dict[str, typing.Any] = {'kind': routing.RouteKind.IDEMPOTENT}


async def run_entries(
    scenario: typing.Callable[[machines.Machines], typing.Awaitable[None]],
) -> None:
    """Run a scenario with many entries."""
    system = machines.Machines([], entries=ENTRIES)
    async with asyncio.timeout(100), system:
        await scenario(system)


async def send_all(system: machines.Machines, seconds: float) -> None:
    """Send some sixty requests a second, to entries in turn."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    pending = []
    while loop.time() < started + seconds:
        name = b'r-%d' % len(pending)
        asked = system.ask(len(pending) % ENTRIES, name=name)
        pending.append(asyncio.create_task(asked))
        await asyncio.sleep(1 / 60)
    await asyncio.gather(*pending)
