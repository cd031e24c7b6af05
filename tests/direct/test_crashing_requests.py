"""Tests of requests that crash the endpoints that run them."""

from __future__ import annotations

import asyncio
import itertools
import typing

import testtools

from clementinepass.http import channel, pool
from standins import direct_endpoint, machines, weights_origin
from tests.direct import path_harness

Fault = direct_endpoint.Fault
World = path_harness.PathHarness
CRASHING = b'crashes what runs it'
SOUND = b'sound'
#: Crashes by one request after which it may not reach endpoints any more.
MAX_CRASHES = 3
ENDPOINTS = 9
REPEATS = 12
#: Requests by one that has crashed three endpoints that may reach others later.
MAX_LATER_ARRIVALS = 3
ENTRIES = 3
_ids = itertools.count(1)


def set_faults(
    world: World, fault: Fault = Fault.CRASH, body: bytes = CRASHING
) -> None:
    """Let requests with a body fail at all endpoints."""
    for endpoint in world.endpoints:
        endpoint.faults_by_body[body] = fault


def arrivals(world: World, body: bytes = CRASHING) -> int:
    """Return how often requests with a body have reached endpoints."""
    return sum(request.body == body for request in world.received_requests)


def crashes(world: World) -> int:
    """Return the number of endpoints that have crashed."""
    return sum(endpoint.crashed.is_set() for endpoint in world.endpoints)


async def ask(
    world: World,
    target: str = '/plain/a',
    body: bytes = CRASHING,
    **headers: str,
) -> pool.Answer | None:
    """Send a request with an id of its own; ``None`` without an answer."""
    headers.setdefault('X_Attempt_Id', f'r-{next(_ids)}')
    try:
        return await world.send(target, body, **headers)
    except channel.ChannelBrokenError:
        return None


class CrashTest(testtools.TestCase):
    """A request that has crashed three endpoints reaches no other one."""

    def check_repeats(
        self, target: str, fault: Fault = Fault.CRASH, **headers: str
    ) -> None:
        """Repeat a request, each time under another id."""

        async def scenario(harness: World) -> None:
            set_faults(harness, fault)
            for _ in range(REPEATS):
                await ask(harness, target, **headers)
            self.assertLessEqual(arrivals(harness), MAX_CRASHES)
            self.assertLessEqual(crashes(harness), MAX_CRASHES)
            sound = await ask(harness, target, SOUND)
            assert sound is not None
            self.assertEqual(200, sound.status)

        path_harness.run(scenario, ENDPOINTS)

    def test_idempotent(self) -> None:
        """Repeats of an idempotent request crash three endpoints at most."""
        self.check_repeats('/plain/a')

    def test_at_most_once(self) -> None:
        """Repeats that are new requests crash three endpoints at most."""
        self.check_repeats('/once/a')

    def test_stream(self) -> None:
        """Repeats of a stream that never begins crash three at most."""
        self.check_repeats('/stream/a')

    def test_stream_midway(self) -> None:
        """Repeats of a stream that crashes midway crash three at most."""
        self.check_repeats('/stream/once/a', Fault.CRASH_MIDWAY)

    def test_resumed_stream(self) -> None:
        """A caller that resumes after each event crashes three at most."""

        async def scenario(harness: World) -> None:
            set_faults(harness, Fault.CRASH_MIDWAY)
            for endpoint in harness.endpoints:
                endpoint.events = 2 * REPEATS
            for number in range(REPEATS):
                await ask(harness, '/stream/a', Last_Event_Id=str(number))
            self.assertLessEqual(crashes(harness), MAX_CRASHES)

        path_harness.run(scenario, ENDPOINTS)

    def test_rejected_at_once(self) -> None:
        """The caller is told at once that the request was not run."""

        async def scenario(harness: World) -> None:
            set_faults(harness)
            for _ in range(REPEATS):
                answer = await ask(harness)
            assert answer is not None
            self.assertEqual(503, answer.status)
            retry_after = answer.headers.get(b'retry-after')
            self.assertGreater(float(retry_after or 0), 60)

        path_harness.run(scenario, ENDPOINTS)

    def test_other_requests(self) -> None:
        """Another path, team, body or method is another request."""

        async def scenario(harness: World) -> None:
            set_faults(harness)
            for _ in range(REPEATS):
                await ask(harness, '/plain/a')
            for endpoint in harness.endpoints:
                endpoint.faults_by_body.clear()
            for target, body in (
                ('/plain/b', CRASHING),
                ('/plain/a?x=1', CRASHING),
                ('/plain/a', SOUND),
            ):
                answer = await ask(harness, target, body)
                assert answer is not None
                self.assertEqual(200, answer.status)

        path_harness.run(scenario, ENDPOINTS)


class WaitingTest(testtools.TestCase):
    """Repeats that are at other endpoints when the request is quarantined."""

    def test_waiting_at_endpoints(self) -> None:
        """They are taken back from endpoints that have not begun to answer."""

        async def scenario(harness: World) -> None:
            set_faults(harness)
            for _ in range(MAX_CRASHES - 1):
                await ask(harness, '/once/a')
            set_faults(harness, Fault.SILENT)
            running = [
                asyncio.create_task(ask(harness, '/once/a'))
                for _ in range(2 * ENDPOINTS)
            ]
            while arrivals(harness) < MAX_CRASHES - 1 + 2 * ENDPOINTS:
                await asyncio.sleep(0.001)
            crashing = next(
                endpoint
                for endpoint in harness.endpoints
                if endpoint.ran and not endpoint.crashed.is_set()
            )
            await crashing.crash()
            loop = asyncio.get_running_loop()
            crashed_at = loop.time()
            for answer in await asyncio.gather(*running):
                assert answer is not None
                self.assertEqual(502, answer.status)
            self.assertLess(loop.time() - crashed_at, 1)

        path_harness.run(scenario, ENDPOINTS)


class RemovalTest(testtools.TestCase):
    """Crashes that only the list tells, as the address is in use again."""

    def test_records_removed(self) -> None:
        """Connections are accepted, and the record is removed a second later."""

        async def scenario(harness: World) -> None:
            for _ in range(MAX_CRASHES):
                harness.set_shared_faults(Fault.LOST)
                before = {
                    endpoint.id: len(endpoint.ran)
                    for endpoint in harness.endpoints
                }
                await ask(harness, '/once/a')
                (lost,) = (
                    endpoint.id
                    for endpoint in harness.endpoints
                    if len(endpoint.ran) > before[endpoint.id]
                )
                now = asyncio.get_running_loop().time()
                harness.cluster.endpoints.mark_removed(lost, now + 1, 0)
                harness.sender.crash_detector.check_removals(now + 1)
            answer = await ask(harness, '/once/a')
            assert answer is not None
            self.assertEqual(503, answer.status)
            self.assertEqual(MAX_CRASHES, arrivals(harness))

        path_harness.run(scenario, ENDPOINTS)


class SoundTest(testtools.TestCase):
    """Requests that are at endpoints by chance as they crash are served."""

    def check_served_after(
        self, disturb: typing.Callable[[World], typing.Awaitable[None]]
    ) -> None:
        """Repeat a disturbance, after which the request must be served."""

        async def scenario(harness: World) -> None:
            for _ in range(ENDPOINTS - 2):
                await disturb(harness)
            answer = await ask(harness, body=SOUND)
            assert answer is not None
            self.assertEqual(200, answer.status)

        path_harness.run(scenario, ENDPOINTS)

    def test_answered_between_crashes(self) -> None:
        """A request that is answered between crashes goes on to be served."""

        async def crash(harness: World) -> None:
            harness.set_shared_faults(Fault.CRASH)
            answer = await ask(harness, body=SOUND)
            assert answer is not None
            self.assertEqual(200, answer.status)
            now = asyncio.get_running_loop().time()
            for endpoint in harness.endpoints:
                if endpoint.crashed.is_set():
                    harness.cluster.endpoints.mark_removed(endpoint.id, now, 0)

        self.check_served_after(crash)

    def test_lost_connections(self) -> None:
        """Connections that are lost while endpoints go on are no crashes."""

        async def lose(harness: World) -> None:
            harness.set_shared_faults(Fault.LOST)
            await ask(harness, '/once/a', SOUND)

        self.check_served_after(lose)

    def test_failures(self) -> None:
        """Endpoints that answer with an error have not crashed."""

        async def fail(harness: World) -> None:
            harness.set_shared_faults(Fault.ERROR)
            await ask(harness, '/once/a', SOUND)

        self.check_served_after(fail)

    def test_draining(self) -> None:
        """Endpoints that end after they began to drain have not crashed."""

        async def end(harness: World) -> None:
            (pending,) = await start(harness, 1)
            (running,) = (
                endpoint
                for endpoint in harness.endpoints
                if endpoint.ran and not endpoint.crashed.is_set()
            )
            known = harness.cluster.endpoints.get(running.id)
            assert known is not None
            known.mark_draining()
            await running.crash()
            await pending

        self.check_served_after(end)

    def test_crashes_at_once(self) -> None:
        """A request that runs at many endpoints as they crash is served."""

        async def scenario(harness: World) -> None:
            pending = await start(harness, 6 * ENDPOINTS)
            *crashing, last = harness.endpoints
            for endpoint in crashing:
                self.assertNotEqual([], endpoint.ran)
                await endpoint.crash()
            last.going.set()
            await asyncio.gather(*pending)
            answer = await ask(harness, body=SOUND)
            assert answer is not None
            self.assertEqual(200, answer.status)

        path_harness.run(scenario, ENDPOINTS)


async def start(
    world: World, count: int
) -> list[asyncio.Task[pool.Answer | None]]:
    """Start requests, and wait until all of them run."""
    for endpoint in world.endpoints:
        endpoint.going.clear()
    before = len(world.executed_requests)
    pending = [
        asyncio.create_task(ask(world, '/once/a', SOUND)) for _ in range(count)
    ]
    while len(world.executed_requests) < before + count:
        await asyncio.sleep(0.001)
    for endpoint in world.endpoints:
        if not endpoint.ran:
            endpoint.going.set()
    return pending


class EntriesTest(testtools.TestCase):
    """What one entry has seen of a request, all entries act on."""

    def test_known_at_all_entries(self) -> None:
        """A request that comes to all entries in turn crashes few endpoints.

        One that starts after the crashes knows of them, too, and none of them
        needs the store.
        """

        async def scenario(system: machines.Machines) -> None:
            endpoints = await list_endpoints(system, 4 * ENDPOINTS)
            await system.all_known()
            await machines.until(
                lambda: all(
                    len(list(entry.cluster.endpoints)) >= len(endpoints)
                    for entry in system.entries
                )
            )
            system.store.down = True
            for number in range(REPEATS):
                await ask_entry(system, number % ENTRIES)
                await asyncio.sleep(0.3)
            crashed = sum(one.crashed.is_set() for one in endpoints)
            self.assertLessEqual(crashed, MAX_CRASHES + MAX_LATER_ARRIVALS)
            system.store.down = False
            late = system.add_entry()
            await machines.until(lambda: late.is_ready)
            self.assertEqual(503, await ask_entry(system, ENTRIES))
            self.assertEqual(
                crashed, sum(one.crashed.is_set() for one in endpoints)
            )

        asyncio.run(run_entries(scenario))

    def test_known_after_loss_of_all_entries(self) -> None:
        """Agents tell entries that start after all entries were killed."""

        async def scenario(system: machines.Machines) -> None:
            endpoints = await list_endpoints(system, ENDPOINTS)
            await system.all_known()
            while await ask_entry(system, 0) != 503:
                await asyncio.sleep(0.1)
            crashed = sum(one.crashed.is_set() for one in endpoints)
            # Agents get full heartbeats only.
            await asyncio.sleep(5)
            for ip in list(system.entry_ips):
                system.kill_entry(ip)
            await asyncio.sleep(0.5)
            late = system.add_entry()
            await machines.until(
                lambda: (
                    late.is_ready and not late.cluster.crash_evidence.is_empty
                )
            )
            self.assertEqual(503, await ask_entry(system, ENTRIES))
            self.assertEqual(
                crashed, sum(one.crashed.is_set() for one in endpoints)
            )

        asyncio.run(run_entries(scenario, engines=2))


async def run_entries(
    scenario: typing.Callable[[machines.Machines], typing.Awaitable[None]],
    engines: int = 0,
) -> None:
    """Run a scenario with some entries, and engines with agents."""
    plain = {**machines.CONFIG['routes'][0], 'maxAttempts': 2}
    config = {**machines.CONFIG, 'routes': [plain]}
    system = machines.Machines(
        [
            weights_origin.LoadingEngine(machines.LAYERS, machines.CHUNKS, 1)
            for _ in range(engines)
        ],
        config=config,
        entries=ENTRIES,
    )
    async with asyncio.timeout(60), system:
        await scenario(system)


async def list_endpoints(
    system: machines.Machines, count: int
) -> list[direct_endpoint.DirectEndpoint]:
    """List endpoints that a request with some body crashes."""
    endpoints = await system.replace_desk(count)
    for endpoint in (system.desk, *endpoints):
        endpoint.faults_by_body[CRASHING] = Fault.CRASH
    return endpoints


async def ask_entry(system: machines.Machines, number: int) -> int:
    """Send the request that crashes endpoints to one entry."""
    name = b'r-%d' % next(_ids)
    return await system.ask(number, name=name, body=CRASHING)
