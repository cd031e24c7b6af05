"""Tests of prompt parts that crash the endpoints that begin to answer them."""

from __future__ import annotations

import asyncio
import itertools
import typing

import testtools

from clementinepass.direct import part_evidence
from clementinepass.http import channel, messages, pool
from standins import direct_endpoint, machines
from tests import tables
from tests.direct import path_harness

Fault = direct_endpoint.Fault
World = path_harness.PathHarness
ROOT = b'5c1e'
PARENT = b'aa01'
SESSION = b'5e55'
CRASHING = b'bad0'
ALSO_CRASHING = b'bad1'
ENDPOINTS = 16
REPEATS = 16
#: Crashes under requests with a part after which the bound on later arrivals
#: begins to count.
MAX_CRASHES = 5
#: Requests with such a part that may reach endpoints later.
MAX_LATER_ARRIVALS = 3
ENTRIES = 3
#: Seconds between two requests.
PAUSE_SECONDS = 0.1
_ids = itertools.count(1)


def prompt(*parts: bytes) -> str:
    """Return the header of a prompt, with a last part of its own."""
    last = b'0%06d' % next(_ids)
    return ','.join(f'{part.decode()}:100' for part in (*parts, last))


def set_faults(world: World, fault: Fault = Fault.CRASH, *parts: bytes) -> None:
    """Let requests with some parts fail at all endpoints."""
    for endpoint in world.endpoints:
        for part in parts or (CRASHING,):
            endpoint.faults_by_prompt_part[part] = fault


def arrivals(
    requests: typing.Iterable[messages.Request], part: bytes = CRASHING
) -> int:
    """Return the number of requests with a part."""
    return sum(
        part in direct_endpoint.prompt_parts(request) for request in requests
    )


async def ask(world: World, target: str, *parts: bytes, **headers: str) -> int:
    """Send a request with a body of its own; 0 without an answer."""
    name = f'r-{next(_ids)}'
    try:
        answer = await world.send(
            target,
            name.encode(),
            X_Attempt_Id=name,
            X_Prompt_Prefix=prompt(*parts),
            **headers,
        )
    except channel.ChannelBrokenError:
        return 0
    await asyncio.sleep(PAUSE_SECONDS)
    remove_crashed(world)
    return answer.status


def remove_crashed(world: World) -> None:
    """Remove the records of endpoints that have crashed."""
    now = asyncio.get_running_loop().time()
    for endpoint in world.endpoints:
        if endpoint.crashed.is_set():
            world.cluster.endpoints.mark_removed(endpoint.id, now, 0)


@tables.expand
class CrashTest(testtools.TestCase):
    """A part that has crashed five endpoints reaches hardly another one."""

    @tables.cases(
        idempotent=('/plain/a', Fault.CRASH),
        at_most_once=('/once/a', Fault.CRASH),
        stream=('/stream/a', Fault.CRASH),
        stream_after_head=('/stream/a', Fault.CRASH_AFTER_HEAD),
        stream_that_may_not_resume=('/stream/once/a', Fault.CRASH_AFTER_HEAD),
        stream_unframed=('/stream/once/a', Fault.CRASH_UNFRAMED),
        stream_inside_event=('/stream/once/a', Fault.CRASH_INSIDE_EVENT),
        plain_unframed=('/once/a', Fault.CRASH_UNFRAMED),
        stream_after_event=('/stream/once/a', Fault.CRASH_MIDWAY),
        resumed_after_event=('/stream/a', Fault.CRASH_MIDWAY),
    )
    def test_new_requests(self, case: tuple[str, Fault]) -> None:
        """New requests with one part crash five endpoints at most."""
        target, fault = case

        async def scenario(harness: World) -> None:
            set_faults(harness, fault)
            statuses = []
            for _ in range(REPEATS):
                self.assertEqual(200, await ask(harness, target, ROOT))
                statuses.append(await ask(harness, target, ROOT, CRASHING))
            self.assertLessEqual(
                arrivals(harness.received_requests), MAX_CRASHES
            )
            self.assertNotIn(200, statuses)
            self.assertEqual(503, statuses[-1])

        path_harness.run(scenario, ENDPOINTS)

    def test_resumed_stream(self) -> None:
        """A caller that resumes after other events sends the same part."""

        async def scenario(harness: World) -> None:
            set_faults(harness)
            for number in range(REPEATS):
                self.assertEqual(200, await ask(harness, '/stream/a', ROOT))
                await ask(
                    harness,
                    '/stream/a',
                    ROOT,
                    CRASHING,
                    Last_Event_Id=str(number),
                )
            self.assertLessEqual(
                arrivals(harness.received_requests), MAX_CRASHES
            )

        path_harness.run(scenario, ENDPOINTS)

    def test_two_parts(self) -> None:
        """Two parts that crash endpoints by turns are both found."""

        async def scenario(harness: World) -> None:
            parts = (CRASHING, ALSO_CRASHING)
            set_faults(harness, Fault.CRASH, *parts)
            for _ in range(REPEATS):
                for part in parts:
                    self.assertEqual(200, await ask(harness, '/once/a', ROOT))
                    await ask(harness, '/once/a', ROOT, part)
            for part in parts:
                self.assertLessEqual(
                    arrivals(harness.received_requests, part), MAX_CRASHES
                )

        path_harness.run(scenario, ENDPOINTS)

    def test_refused_at_once(self) -> None:
        """The caller is told at once how long such requests are refused."""

        async def scenario(harness: World) -> None:
            set_faults(harness)
            for _ in range(REPEATS):
                self.assertEqual(200, await ask(harness, '/once/a', ROOT))
                await ask(harness, '/once/a', ROOT, CRASHING)
            loop = asyncio.get_running_loop()
            asked_at = loop.time()
            answer = await harness.send(
                '/once/a', X_Prompt_Prefix=prompt(CRASHING)
            )
            self.assertLess(loop.time() - asked_at, PAUSE_SECONDS)
            self.assertEqual(503, answer.status)
            retry_after = answer.headers.get(b'retry-after')
            self.assertGreater(float(retry_after or 0), 60)

        path_harness.run(scenario, ENDPOINTS)


class SoundPartTest(testtools.TestCase):
    """Parts that requests share with crashing ones are served on."""

    def test_shared_parts(self) -> None:
        """Requests with the other parts of crashing ones are not refused."""

        async def scenario(harness: World) -> None:
            set_faults(harness)
            for _ in range(REPEATS):
                for parts in ((ROOT,), (ROOT, SESSION)):
                    self.assertEqual(200, await ask(harness, '/once/a', *parts))
                await ask(harness, '/once/a', ROOT, SESSION, CRASHING)
            self.assertLessEqual(
                arrivals(harness.received_requests), MAX_CRASHES
            )

        path_harness.run(scenario, ENDPOINTS)

    def test_only_under_a_parent(self) -> None:
        """A parent that sound requests use later is not refused for its part.

        Until then nothing tells the two apart.
        """

        async def scenario(harness: World) -> None:
            set_faults(harness)
            for _ in range(REPEATS):
                self.assertEqual(200, await ask(harness, '/once/a', ROOT))
                await ask(harness, '/once/a', ROOT, PARENT, CRASHING)
            for _ in range(REPEATS):
                self.assertEqual(200, await ask(harness, '/once/a', PARENT))
                await ask(harness, '/once/a', ROOT, CRASHING)
            self.assertLessEqual(
                arrivals(harness.received_requests),
                MAX_CRASHES + MAX_LATER_ARRIVALS,
            )

        path_harness.run(scenario, ENDPOINTS)

    def test_last_part(self) -> None:
        """A request whose own, last part is a crashing one is served."""

        async def scenario(harness: World) -> None:
            set_faults(harness)
            for _ in range(REPEATS):
                self.assertEqual(200, await ask(harness, '/once/a', ROOT))
                await ask(harness, '/once/a', ROOT, CRASHING)
            answer = await harness.send(
                '/once/a', X_Prompt_Prefix='5c1e:100,bad0:100'
            )
            self.assertEqual(200, answer.status)

        path_harness.run(scenario, ENDPOINTS)

    def test_one_request_that_crashes(self) -> None:
        """Crashes by repeats of one request do not bar the parts it has."""

        async def scenario(harness: World) -> None:
            crashing = b'the same each time'
            for endpoint in harness.endpoints:
                endpoint.faults_by_body[crashing] = Fault.CRASH
            self.assertEqual(200, await ask(harness, '/once/a', ROOT))
            for number in range(REPEATS):
                await harness.send(
                    '/once/a',
                    crashing,
                    X_Attempt_Id=f'same-{number}',
                    X_Prompt_Prefix='5c1e:1,5e55:1,01:1',
                )
                await asyncio.sleep(PAUSE_SECONDS)
            for parts in ((ROOT,), (ROOT, SESSION)):
                self.assertEqual(200, await ask(harness, '/once/a', *parts))

        path_harness.run(scenario, ENDPOINTS)

    def test_nothing_else_is_answered(self) -> None:
        """If all requests crash endpoints, their common parts are not barred.

        A faulty release crashes under any request, and the one after it serves
        them again.
        """

        async def scenario(harness: World) -> None:
            set_faults(harness, Fault.CRASH, ROOT)
            for _ in range(ENDPOINTS - 3):
                await ask(harness, '/once/a', ROOT, SESSION)
            for endpoint in harness.endpoints:
                endpoint.faults_by_prompt_part.clear()
            self.assertEqual(200, await ask(harness, '/once/a', ROOT))

        path_harness.run(scenario, ENDPOINTS)


class WaitingTest(testtools.TestCase):
    """Requests that wait when a part is found to crash endpoints."""

    def test_waiting_for_a_connection(self) -> None:
        """They are not sent once the connection is there."""

        async def scenario(harness: World) -> None:
            running = await self._start_last(harness)
            may_connect = self._delay_connections(harness)
            waiting = [
                asyncio.create_task(ask(harness, '/once/a', ROOT, CRASHING))
                for _ in range(MAX_CRASHES)
            ]
            await asyncio.sleep(PAUSE_SECONDS)
            await self._crash_one(harness)
            self.assertEqual(502, await running)
            may_connect.set()
            self.assertEqual(
                [503] * MAX_CRASHES, await asyncio.gather(*waiting)
            )
            self.assertEqual(
                MAX_CRASHES - 1, arrivals(harness.received_requests)
            )

        path_harness.run(scenario, ENDPOINTS)

    def test_waiting_at_endpoints(self) -> None:
        """They are taken back from endpoints that have not begun to answer."""

        async def scenario(harness: World) -> None:
            running = [await self._start_last(harness)]
            for _ in range(MAX_CRASHES):
                running.append(await self._start(harness))
            await self._crash_one(harness)
            loop = asyncio.get_running_loop()
            crashed_at = loop.time()
            statuses = await asyncio.gather(*running)
            self.assertEqual([502] * (MAX_CRASHES + 1), statuses)
            self.assertLess(loop.time() - crashed_at, 1)
            self.assertEqual(
                1, count_crashes(harness.endpoints) - (MAX_CRASHES - 2)
            )

        path_harness.run(scenario, ENDPOINTS)

    async def _start_last(self, harness: World) -> asyncio.Task[int]:
        """Start the request under which the last of four endpoints crashes."""
        set_faults(harness)
        for _ in range(MAX_CRASHES - 2):
            self.assertEqual(200, await ask(harness, '/once/a', ROOT))
            await ask(harness, '/once/a', ROOT, CRASHING)
        set_faults(harness, Fault.SILENT)
        return await self._start(harness)

    async def _start(self, harness: World) -> asyncio.Task[int]:
        """Start a request that waits at an endpoint."""
        before = len(harness.executed_requests)
        running = asyncio.create_task(ask(harness, '/once/a', ROOT, CRASHING))
        while len(harness.executed_requests) == before:
            await asyncio.sleep(0.001)
        return running

    async def _crash_one(self, harness: World) -> None:
        crashing = next(
            endpoint
            for endpoint in harness.endpoints
            if arrivals(endpoint.ran) and not endpoint.crashed.is_set()
        )
        await crashing.crash()

    def _delay_connections(self, harness: World) -> asyncio.Event:
        """Let attempts wait for connections until an event is set."""
        acquire = pool.Pool.acquire
        may_connect = asyncio.Event()

        async def acquire_late(
            connections: pool.Pool, **options: typing.Any
        ) -> channel.Channel:
            if connections is not harness._callers:
                await may_connect.wait()
            return await acquire(connections, **options)

        self.patch(pool.Pool, 'acquire', acquire_late)
        return may_connect


class TrialTest(testtools.TestCase):
    """After a quarantine, one request is sent to find out whether it ends."""

    def test_answered(self) -> None:
        """The request that is sent is not held back by itself."""
        self.patch(part_evidence, '_LIFETIME_SECONDS', PAUSE_SECONDS)

        async def scenario(harness: World) -> None:
            set_faults(harness)
            for _ in range(MAX_CRASHES - 1):
                self.assertEqual(200, await ask(harness, '/once/a', ROOT))
                await ask(harness, '/once/a', ROOT, CRASHING)
            for endpoint in harness.endpoints:
                endpoint.faults_by_prompt_part.clear()
            await asyncio.sleep(2 * PAUSE_SECONDS)
            for _ in range(REPEATS):
                self.assertEqual(
                    200, await ask(harness, '/once/a', ROOT, CRASHING)
                )

        path_harness.run(scenario, ENDPOINTS)


class EntriesTest(testtools.TestCase):
    """What entries have seen of a part, all of them act on."""

    def test_known_at_all_entries(self) -> None:
        """A part that comes to all entries in turn crashes few endpoints.

        One that starts after the crashes knows of them, too, and none of them
        needs the store.
        """

        async def scenario(system: machines.Machines) -> None:
            endpoints = await start_endpoints(system)
            system.store.down = True
            for number in range(REPEATS):
                for parts in ((ROOT,), (ROOT, CRASHING)):
                    await ask_entry(system, number % ENTRIES, *parts)
                    await asyncio.sleep(PAUSE_SECONDS)
            self.check_crashes(endpoints)
            system.store.down = False
            late = system.add_entry()
            await machines.until(lambda: late.is_ready)
            before = count_crashes(endpoints)
            self.assertEqual(503, await ask_entry(system, ENTRIES, CRASHING))
            self.assertEqual(before, count_crashes(endpoints))

        asyncio.run(run_entries(scenario))

    def test_apart_from_sound_requests(self) -> None:
        """Two entries get requests with the part alone, the third others."""
        self.check_apart([ROOT])

    def test_long_prompts(self) -> None:
        """The part stands behind 1,299 others that all requests have."""
        self.check_apart([b'c%x' % number for number in range(1299)])

    def check_apart(self, common: list[bytes]) -> None:
        """Check that all entries refuse the part, and none of the others."""

        async def scenario(system: machines.Machines) -> None:
            endpoints = await start_endpoints(system)
            for number in range(REPEATS):
                await ask_entry(system, 0, *common, SESSION)
                await asyncio.sleep(PAUSE_SECONDS)
                await ask_entry(system, 1 + number % 2, *common, CRASHING)
                await asyncio.sleep(PAUSE_SECONDS)
            self.check_crashes(endpoints)
            for number in range(ENTRIES):
                for parts, status in (
                    ((*common, CRASHING), 503),
                    ((*common, SESSION), 200),
                    ((*common, PARENT), 200),
                ):
                    self.assertEqual(
                        status, await ask_entry(system, number, *parts)
                    )

        asyncio.run(run_entries(scenario))

    def check_crashes(
        self, endpoints: typing.Sequence[direct_endpoint.DirectEndpoint]
    ) -> None:
        """Check that few endpoints have crashed."""
        self.assertLessEqual(
            count_crashes(endpoints), MAX_CRASHES + MAX_LATER_ARRIVALS
        )


def count_crashes(
    endpoints: typing.Iterable[direct_endpoint.DirectEndpoint],
) -> int:
    """Return the number of endpoints that have crashed."""
    return sum(endpoint.crashed.is_set() for endpoint in endpoints)


async def start_endpoints(
    system: machines.Machines,
) -> list[direct_endpoint.DirectEndpoint]:
    """Start endpoints that crash under a part, and let all entries know."""
    endpoints = await system.replace_desk(ENDPOINTS)
    for endpoint in (system.desk, *endpoints):
        endpoint.faults_by_prompt_part[CRASHING] = Fault.CRASH
    await system.all_known()
    await machines.until(
        lambda: all(
            len(list(entry.cluster.endpoints)) >= len(endpoints)
            for entry in system.entries
        )
    )
    return endpoints


async def run_entries(
    scenario: typing.Callable[[machines.Machines], typing.Awaitable[None]],
) -> None:
    """Run a scenario with some entries."""
    plain = {**machines.CONFIG['routes'][0], 'maxAttempts': 2}
    config = {**machines.CONFIG, 'routes': [plain]}
    async with (
        asyncio.timeout(60),
        machines.Machines([], config=config, entries=ENTRIES) as system,
    ):
        await scenario(system)


async def ask_entry(
    system: machines.Machines, number: int, *parts: bytes
) -> int:
    """Send a request with some prompt parts to one entry."""
    name = b'r-%d' % next(_ids)
    request = messages.encode_request(
        b'POST',
        b'/plain/a',
        [
            (b'Host', b'h'),
            (b'X-Attempt-Id', name),
            (b'X-Prompt-Prefix', prompt(*parts).encode()),
        ],
        name,
    )
    address = system.entries[number].callers_address
    answer = await pool.fetch(pool.Pool.from_address(address), request, 10)
    return answer.status
