"""Tests of entries and agents together, on loopback addresses of their own."""

from __future__ import annotations

import asyncio
import random
import signal
import typing

import msgspec
import testtools

from clementinepass.direct import (
    cluster_state,
    entry,
    intake,
    members,
    node,
    records,
)
from clementinepass.platform import store
from standins import machines, weights_origin

#: Seconds within which the last announcement of an agent must have arrived.
_ANNOUNCEMENT_SECONDS = 2
#: Some callers keep a list for this many times its lifetime.
_LIST_LIFETIME_FACTOR = 3


def run(
    scenario: typing.Callable[[machines.Machines], typing.Awaitable[None]],
    versions: tuple[int, ...] = (),
    config: dict[str, typing.Any] | None = None,
) -> None:
    """Run a scenario with machines whose engines have loaded some versions."""

    async def run_scenario() -> None:
        engines = [
            weights_origin.LoadingEngine(
                machines.LAYERS,
                machines.CHUNKS,
                version,
            )
            for version in versions
        ]
        test_world = machines.Machines(engines, config=config)
        async with asyncio.timeout(60), test_world as world:
            await machines.until(
                lambda: all(
                    running_entry.is_ready for running_entry in world.entries
                )
            )
            await scenario(world)

    asyncio.run(run_scenario())


def _announce_draining(world: machines.Machines) -> None:
    """Have all entries announce that they drain."""
    for running_entry in world.entries:
        running_entry.peers.phase = members.Phase.DRAINING
        running_entry.peers.send_heartbeat()


class EntriesTest(testtools.TestCase):
    """Entries find each other, serve requests and follow the store."""

    def test_served_and_offered(self) -> None:
        """Both entries serve requests, and each offers both to callers."""

        async def scenario(world: machines.Machines) -> None:
            self.assertEqual(200, await world.ask(0))
            self.assertEqual(200, await world.ask(1))
            await world.all_known()

        run(scenario)

    def test_offered_while_all_drain(self) -> None:
        """Callers are sent to the entry that began to drain last if all drain.

        When all entries were stopped in turn, each listed only itself, and
        callers were sent to entries that accepted no more requests.
        """

        async def scenario(world: machines.Machines) -> None:
            first, second = await world.all_known()
            loop = asyncio.get_running_loop()
            first._drain_state.start(loop.time() - 60)
            for running_entry in world.entries:
                running_entry.peers.phase = members.Phase.DRAINING
                running_entry.peers.send_heartbeat()
            # The second entry looks ready until its announcement arrives.
            await machines.until(
                lambda: not first.peers.members.ready(loop.time())
            )
            self.assertEqual(
                [second.callers_address], first.listed_addresses(loop.time())
            )

        run(scenario)

    def test_stays_while_it_is_offered(self) -> None:
        """A draining entry does not end while lists that name it are in use.

        An idle entry assumed half a second after SIGTERM that no list named it
        any more. The others listed it for as long as it would accept any
        request, and callers that kept those lists found that it was gone.
        """
        self.check_stays_while_offered(0)

    def test_stays_while_announcement_is_late(self) -> None:
        """A draining entry does not end while lists that name it are in use.

        The others list it for some time from the arrival of its announcement,
        and it counted that time from its SIGTERM.
        """
        self.check_stays_while_offered(0.4)

    def check_stays_while_offered(self, delay_seconds: float) -> None:
        """Check that lists expire before a draining entry ends.

        :param delay_seconds: how late messages reach the other entry.
        """
        route = {**machines.CONFIG['routes'][0], 'timeoutMs': 6000}
        config = {**machines.CONFIG, 'routes': [route]}

        async def scenario(world: machines.Machines) -> None:
            first, second = await world.all_known()
            loop = asyncio.get_running_loop()
            if delay_seconds:
                receive = second.peers.receive
                second.peers.receive = lambda payload, ip: loop.call_later(
                    delay_seconds, receive, payload, ip
                )
            plan = first._drain_state.start(loop.time())
            _announce_draining(world)
            await machines.until(
                lambda: not second.peers.members.ready(loop.time())
            )
            offered = [
                plan.started_at + step * 0.01
                for step in range(1000)
                if first.callers_address
                in second.listed_addresses(plan.started_at + step * 0.01)
            ]
            kept = max(
                offered
            ) + _LIST_LIFETIME_FACTOR * second.list_ttl_seconds(plan.started_at)
            self.assertGreaterEqual(
                plan.lists_expire_at, min(kept, plan.last_answer_at)
            )

        run(scenario, config=config)

    def test_offered_beside_a_long_route(self) -> None:
        """Entries drain while one route's timeout exceeds the grace period.

        That left no time in which a draining entry accepts requests of every
        route, so each entry listed only itself, although another that had begun
        to drain later still accepted requests of other routes.
        """
        long = {'name': 'long', 'pathPrefix': '/long/', 'timeoutMs': 30000}
        plain = machines.CONFIG['routes'][0]
        config = {**machines.CONFIG, 'routes': [plain, {**plain, **long}]}

        async def scenario(world: machines.Machines) -> None:
            first, second = await world.all_known()
            loop = asyncio.get_running_loop()
            now = loop.time()
            first._drain_state.start(now - 60)
            second._drain_state.start(now)
            _announce_draining(world)
            await machines.until(
                lambda: not first.peers.members.ready(loop.time())
            )
            self.assertEqual(200, await world.ask(1))
            self.assertEqual(
                [second.callers_address], first.listed_addresses(loop.time())
            )

        run(scenario, config=config)

    def test_change_in_force(self) -> None:
        """A removed route is unknown, and an added one is served."""

        async def scenario(world: machines.Machines) -> None:
            route = {**machines.CONFIG['routes'][0], 'pathPrefix': '/new/'}
            world.configure(
                {**machines.CONFIG, 'version': 2, 'routes': [route]}
            )
            for running_entry in world.entries:
                await machines.until(
                    lambda running_entry=running_entry: (
                        _version(running_entry) == 2
                    )
                )
            self.assertEqual(404, await world.ask(0))
            self.assertEqual(200, await world.ask(1, '/new/a'))

        run(scenario)

    def test_older_configuration(self) -> None:
        """A configuration that is not newer changes nothing."""

        async def scenario(world: machines.Machines) -> None:
            world.configure({**machines.CONFIG, 'version': 3})
            for running_entry in world.entries:
                await machines.until(
                    lambda running_entry=running_entry: (
                        _version(running_entry) == 3
                    )
                )
            world.configure({**machines.CONFIG, 'version': 2, 'routes': []})
            world.configure({**machines.CONFIG, 'version': 4})
            for running_entry in world.entries:
                await machines.until(
                    lambda running_entry=running_entry: (
                        _version(running_entry) == 4
                    )
                )
            self.assertEqual(200, await world.ask(0))

        run(scenario)

    def test_records_from_a_peer(self) -> None:
        """An entry that the store rejects gets a change from a peer.

        Without that it went on with the old configuration for nine seconds
        after a key had been withdrawn.
        """

        async def scenario(world: machines.Machines) -> None:
            first, second = world.entries
            rejecting_store = _RejectingStore()
            for topic_follower in second._followers.values():
                topic_follower._store = rejecting_store
            world.configure({**machines.CONFIG, 'version': 2})
            await machines.until(lambda: _version(first) == 2)
            await machines.until(lambda: _version(second) == 2)

        run(scenario)

    def test_draining_endpoint(self) -> None:
        """An endpoint that is listed as draining gets no more requests."""

        async def scenario(world: machines.Machines) -> None:
            world.list_desk(state='draining')
            for running_entry in world.entries:
                listed_desk = running_entry.cluster.endpoints.get('i-desk')
                assert listed_desk is not None
                await machines.until(
                    lambda listed_desk=listed_desk: listed_desk.listing.draining
                )
            self.assertEqual(503, await world.ask(0))

        run(scenario)

    def test_back_under_its_id(self) -> None:
        """An endpoint that drained and came back under its id is used again.

        Draining is final for an incarnation only. If it were final for the id,
        requests would be rejected for want of an endpoint although there is
        one.
        """

        async def scenario(world: machines.Machines) -> None:
            world.list_desk(state='draining')
            for running_entry in world.entries:
                listed_desk = running_entry.cluster.endpoints.get('i-desk')
                assert listed_desk is not None
                await machines.until(
                    lambda listed_desk=listed_desk: listed_desk.listing.draining
                )
            await world.desk.restart()
            world.list_desk()
            for running_entry in world.entries:
                await machines.until(
                    lambda running_entry=running_entry: _usable(
                        running_entry, 'i-desk'
                    )
                )
            self.assertEqual(200, await world.ask(0))
            # A late listing of the earlier incarnation changes nothing.
            world.list_desk(state='draining', born=1, sequence=99)
            world.configure({**machines.CONFIG, 'version': 2})
            for running_entry in world.entries:
                await machines.until(
                    lambda running_entry=running_entry: (
                        _version(running_entry) == 2
                    )
                )
            self.assertEqual(200, await world.ask(1))

        run(scenario)

    def test_other_writers(self) -> None:
        """Another writer's records under ids of its own and of an endpoint.

        A record was nested so deeply that its decoder raised an unexpected
        error, and another had a key that was not text. The reading of the list
        ended there, and later endpoints were never seen.
        """

        async def scenario(world: machines.Machines) -> None:
            nested = b'{"x":' + b'[' * 90000 + b']' * 90000 + b'}'
            for payload in (b'\xff\xfe', nested, b'{"address": 3}'):
                world.store.put_raw('keyed.servers', b'i-odd', payload)
            world.store.put_raw('keyed.servers', b'\xff\xfe', b'{}')
            world.store.put_raw('keyed.entries', b'no\0number', b'1')
            world.list_desk(state='paused')
            for running_entry in world.entries:
                await machines.until(
                    lambda running_entry=running_entry: (
                        not _usable(running_entry, 'i-desk')
                    )
                )
            self.assertEqual(503, await world.ask(0))
            world.list_desk()
            for running_entry in world.entries:
                await machines.until(
                    lambda running_entry=running_entry: _usable(
                        running_entry, 'i-desk'
                    )
                )
                self.assertIsNone(running_entry.cluster.endpoints.get('i-odd'))
            self.assertEqual(200, await world.ask(0))

        run(scenario)


class _RejectingStore:
    """A store that never answers a process."""

    async def newest(self, topic: object) -> typing.Any:
        """Wait without an answer."""
        await asyncio.Event().wait()

    async def changes(
        self,
        topic: object,
        offset: int,
        wait: float,
    ) -> typing.Any:
        """Wait without an answer."""
        await asyncio.Event().wait()

    async def put(self, topic: object, key: str, payload: bytes) -> None:
        """Do nothing."""


class RestartTest(testtools.TestCase):
    """State that was written before a process started."""

    def test_desired_version_from_before_the_start(self) -> None:
        """The bound of an earlier desired version counts from before the start.

        All entries were killed four seconds after a version was written. When
        they were back they took it for newly written, and sent requests to
        older weights for eight seconds more. The actual time is unknown.
        """

        async def scenario(world: machines.Machines) -> None:
            desired = {'model': 'm', 'version': 2}
            world.store.put('keyed.op', 'version/m', desired)
            local_node = msgspec.structs.replace(
                world.entries[0]._local_node,
                duties=node.SystemLimits(version=8, settling=3),
            )
            cluster = cluster_state.ClusterState(local_node)
            topic_follower = intake.Intake(
                cluster, machines.READERS
            ).create_followers(
                store.HttpStore(local_node.store),
                random.Random(1),
            )[records.Topic.OPERATOR]
            task = asyncio.create_task(topic_follower.run())
            await machines.until(
                lambda: cluster.newest_desired_version('m') == 2
            )
            task.cancel()
            now = asyncio.get_running_loop().time()
            engine = cluster.routing.services_by_name['pool'].engine
            settling = local_node.duties.settling
            self.assertLess(cluster.start_deadline(engine, 1), now + settling)
            (announced,) = cluster.desired_versions(now)
            self.assertTrue(announced.guessed)

        run(scenario)


class WeightsTest(testtools.TestCase):
    """Agents have their engines load the desired version."""

    def test_added_engine(self) -> None:
        """An engine without weights loads the version of the others."""

        async def scenario(world: machines.Machines) -> None:
            await machines.until(lambda: world.engines[2].version == 1)
            self.assertEqual([(1, True)], world.engines[2].orders)
            self.assertEqual(0, world.origin.sent)

        run(scenario, (1, 1, 0))

    def test_desired_version(self) -> None:
        """All engines load all layers of a desired version, once."""

        async def scenario(world: machines.Machines) -> None:
            world.store.put(
                'keyed.op',
                'version/m',
                {'model': 'm', 'version': 2},
            )
            await machines.until(
                lambda: all(engine.version == 2 for engine in world.engines)
            )
            for engine in world.engines:
                self.assertEqual([(2, True)], engine.orders)
            self.assertLessEqual(world.origin.sent, 2 * machines.CHUNKS + 4)

        run(scenario, (1, 1, 1, 1))

    def test_corrupt_pieces(self) -> None:
        """Corrupt pieces are fetched again and never loaded."""

        async def scenario(world: machines.Machines) -> None:
            world.origin.spoilt.update((0, 5, machines.CHUNKS - 1))
            world.store.put(
                'keyed.op',
                'version/m',
                {'model': 'm', 'version': 2},
            )
            await machines.until(
                lambda: all(engine.version == 2 for engine in world.engines)
            )
            for engine in world.engines:
                self.assertEqual([(2, True)], engine.orders)

        run(scenario, (1, 1))

    def test_engine_back_empty(self) -> None:
        """An engine that comes back without weights loads them again.

        An agent announces only changes. Entries went on sending requests that
        the engine rejected, because the agent's last announcement named the
        weights that the engine was about to load again.
        """

        async def scenario(world: machines.Machines) -> None:
            world.store.put(
                'keyed.op',
                'version/m',
                {'model': 'm', 'version': 2},
            )
            await machines.until(
                lambda: all(engine.version == 2 for engine in world.engines)
            )
            before = _loaded_versions(world, 'i-0')
            await machines.until(
                lambda: _loaded_versions(world, 'i-0') == [2, 2]
            )
            order_count = len(world.engines[0].orders)
            world.engines[0].restart(keep_staged=False)
            world.list_engines()
            await machines.until(lambda: world.engines[0].version == 2)
            self.assertEqual(order_count + 1, len(world.engines[0].orders))
            self.assertEqual((2, True), world.engines[0].orders[-1])
            await machines.until(
                lambda: _loaded_versions(world, 'i-0') == [2, 2]
            )
            self.assertEqual(2, len(before))
            # The listing may arrive after the agent's announcement.
            await machines.until(
                lambda: all(
                    running_entry.cluster.endpoints.get(
                        'i-0'
                    ).listing.started_ms
                    == 2
                    for running_entry in world.entries
                )
            )
            self.assertEqual([2, 2], _loaded_versions(world, 'i-0'))

        run(scenario, (1, 1))

    def test_draining_engine(self) -> None:
        """An engine that drains is not ordered to load until it restarts.

        Loading cut off the streams that still ran there.
        """

        async def scenario(world: machines.Machines) -> None:
            (engine,) = world.engines
            engine.is_draining = True
            world.store.put(
                'keyed.op',
                'version/m',
                {'model': 'm', 'version': 2},
            )
            await machines.until(lambda: world.origin.sent >= machines.CHUNKS)
            report_count = engine.reports
            await machines.until(
                lambda: engine.orders or engine.reports > report_count + 60
            )
            self.assertEqual([], engine.orders)
            self.assertEqual([1, 1], _loaded_versions(world, 'i-0'))
            engine.restart()
            world.list_engines()
            await machines.until(lambda: engine.version == 2)
            self.assertEqual([(2, True)], engine.orders)

        run(scenario, (1,))

    def test_newer_version_at_once(self) -> None:
        """Of two desired versions in quick succession the newer is loaded."""

        async def scenario(world: machines.Machines) -> None:
            for version in (2, 3):
                world.store.put(
                    'keyed.op',
                    'version/m',
                    {'model': 'm', 'version': version},
                )
            await machines.until(
                lambda: all(engine.version == 3 for engine in world.engines)
            )
            for engine in world.engines:
                self.assertTrue(all(whole for _, whole in engine.orders))

        run(scenario, (1, 1, 1))


class AgentEndsTest(testtools.TestCase):
    """An agent is stopped after it announced that its engine loads.

    It announces that, lets the engine finish its requests and then orders the
    load. If it is stopped in between without withdrawing the announcement,
    entries send the engine no requests until its agent is back.
    """

    def test_loading_is_withdrawn(self) -> None:
        """An engine without an order to load does not count as loading."""

        async def scenario() -> None:
            handler_by_task = _capture_handlers(asyncio.get_running_loop())
            engines = [
                _BusyEngine(machines.LAYERS, machines.CHUNKS, 1)
                for _ in range(2)
            ]
            test_world = machines.Machines(engines)
            async with asyncio.timeout(30), test_world as world:
                await machines.until(
                    lambda: all(
                        running_entry.is_ready
                        for running_entry in world.entries
                    )
                )
                world.store.put(
                    'keyed.op',
                    'version/m',
                    {'model': 'm', 'version': 2},
                )
                known_endpoints = world.entries[0].cluster.endpoints
                await machines.until(
                    lambda: any(
                        endpoint.is_loading for endpoint in known_endpoints
                    )
                )
                (loading,) = (
                    endpoint
                    for endpoint in known_endpoints
                    if endpoint.is_loading
                )
                number = int(loading.listing.id.removeprefix('i-'))
                agent = world._tasks[len(world.entries) + number]
                handler_by_task[agent]()
                await agent
                self.assertEqual([], world.engines[number].orders)
                async with asyncio.timeout(_ANNOUNCEMENT_SECONDS):
                    await machines.until(lambda: not loading.is_loading)

        asyncio.run(scenario())


class _BusyEngine(weights_origin.LoadingEngine):
    """An engine that always runs a request."""

    def _report(self) -> dict[str, typing.Any]:
        return {**super()._report(), 'active': 1}


def _capture_handlers(
    loop: asyncio.AbstractEventLoop,
) -> dict[asyncio.Task[typing.Any] | None, typing.Callable[[], object]]:
    """Return the SIGTERM handlers of the entries and agents, by their tasks.

    They run in one operating system process, which keeps only the last handler
    of a signal.
    """
    handler_by_task: dict[
        asyncio.Task[typing.Any] | None,
        typing.Callable[[], object],
    ] = {}

    def handle(number: int, act: typing.Callable[[], object]) -> None:
        if number == signal.SIGTERM:
            handler_by_task[asyncio.current_task()] = act

    vars(loop)['add_signal_handler'] = handle
    return handler_by_task


def _version(running_entry: entry.Entry) -> int:
    current = running_entry.cluster.routing
    return 0 if current is None else current.version


def _usable(running_entry: entry.Entry, endpoint_id: str) -> bool:
    endpoint = running_entry.cluster.endpoints.get(endpoint_id)
    now = asyncio.get_running_loop().time()
    return endpoint is not None and endpoint.is_usable(now)


def _loaded_versions(world: machines.Machines, endpoint_id: str) -> list[int]:
    """Return the loaded version of an engine according to each entry."""
    known_endpoints = [
        running_entry.cluster.endpoints.get(endpoint_id)
        for running_entry in world.entries
    ]
    return [
        0 if endpoint is None else endpoint.weights.version
        for endpoint in known_endpoints
    ]
