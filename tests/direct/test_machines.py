"""Entries and agents together, on loopback addresses of their own."""

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

#: Seconds in which a word of an agent that ends is heard.
_HEARD_SECONDS = 2
#: Some callers keep a list for so many times as long as they are told.
_LONGEST_KEPT = 3


def run(
    play: typing.Callable[[machines.Machines], typing.Awaitable[None]],
    versions: tuple[int, ...] = (),
    config: dict[str, typing.Any] | None = None,
) -> None:
    """Play with machines whose engines hold some versions."""

    async def played() -> None:
        engines = [
            weights_origin.LoadingEngine(
                machines.LAYERS,
                machines.CHUNKS,
                version,
            )
            for version in versions
        ]
        there = machines.Machines(engines, config=config)
        async with asyncio.timeout(60), there as world:
            await machines.until(
                lambda: all(one.is_ready for one in world.entries)
            )
            await play(world)

    asyncio.run(played())


def _leave(world: machines.Machines) -> None:
    """Have all entries say that they leave."""
    for one in world.entries:
        one.peers.phase = members.Phase.LEAVING
        one.peers.speak()


class EntriesTest(testtools.TestCase):
    """Entries find one another, serve, and follow the store."""

    def test_served_and_offered(self) -> None:
        """Both entries serve, and each offers both."""

        async def play(world: machines.Machines) -> None:
            self.assertEqual(200, await world.ask(0))
            self.assertEqual(200, await world.ask(1))
            await world.all_known()

        run(play)

    def test_offered_while_all_leave(self) -> None:
        """All entries were stopped in turn, and each named itself alone.

        Callers who asked an entry that took nothing any more were sent to it.
        They are sent to the entry that was told last.
        """

        async def play(world: machines.Machines) -> None:
            first, second = await world.all_known()
            loop = asyncio.get_running_loop()
            first._drain_state.start(loop.time() - 60)
            for one in world.entries:
                one.peers.phase = members.Phase.LEAVING
                one.peers.speak()
            # Until the other's word has come it is named since it looks ready.
            await machines.until(
                lambda: not first.peers.members.ready(loop.time())
            )
            self.assertEqual(
                [second.callers_address], first.listed_addresses(loop.time())
            )

        run(play)

    def test_stays_while_it_is_offered(self) -> None:
        """All entries leave, and one that was idle ended while callers came.

        It reckoned that nobody names it half a second after SIGTERM. The
        others named it for as long as it takes any request, and callers kept
        those lists: they found nobody there.
        """
        route = {**machines.CONFIG['routes'][0], 'timeoutMs': 6000}
        config = {**machines.CONFIG, 'routes': [route]}

        async def play(world: machines.Machines) -> None:
            first, second = await world.all_known()
            loop = asyncio.get_running_loop()
            plan = first._drain_state.start(loop.time())
            _leave(world)
            await machines.until(
                lambda: not second.peers.members.ready(loop.time())
            )
            offered = [
                plan.started_at + step * 0.01
                for step in range(1000)
                if first.callers_address
                in second.listed_addresses(plan.started_at + step * 0.01)
            ]
            kept = max(offered) + _LONGEST_KEPT * second.list_ttl_seconds(
                plan.started_at
            )
            self.assertGreaterEqual(
                plan.lists_expire_at, min(kept, plan.last_answer_at)
            )

        run(play, config=config)

    def test_offered_beside_a_long_route(self) -> None:
        """All entries leave, and one route allows more than the grace.

        Each entry named itself alone, as no time was left in which any request
        is taken, though another, told later, still took those of other routes.
        """
        long = {'name': 'long', 'pathPrefix': '/long/', 'timeoutMs': 30000}
        plain = machines.CONFIG['routes'][0]
        config = {**machines.CONFIG, 'routes': [plain, {**plain, **long}]}

        async def play(world: machines.Machines) -> None:
            first, second = await world.all_known()
            loop = asyncio.get_running_loop()
            now = loop.time()
            first._drain_state.start(now - 60)
            second._drain_state.start(now)
            _leave(world)
            await machines.until(
                lambda: not first.peers.members.ready(loop.time())
            )
            self.assertEqual(200, await world.ask(1))
            self.assertEqual(
                [second.callers_address], first.listed_addresses(loop.time())
            )

        run(play, config=config)

    def test_change_in_force(self) -> None:
        """A route that is taken away is unknown, one that is added serves."""

        async def play(world: machines.Machines) -> None:
            route = {**machines.CONFIG['routes'][0], 'pathPrefix': '/new/'}
            world.configure(
                {**machines.CONFIG, 'version': 2, 'routes': [route]}
            )
            for one in world.entries:
                await machines.until(lambda one=one: _version(one) == 2)
            self.assertEqual(404, await world.ask(0))
            self.assertEqual(200, await world.ask(1, '/new/a'))

        run(play)

    def test_older_configuration(self) -> None:
        """A version that isn't newer changes nothing."""

        async def play(world: machines.Machines) -> None:
            world.configure({**machines.CONFIG, 'version': 3})
            for one in world.entries:
                await machines.until(lambda one=one: _version(one) == 3)
            world.configure({**machines.CONFIG, 'version': 2, 'routes': []})
            world.configure({**machines.CONFIG, 'version': 4})
            for one in world.entries:
                await machines.until(lambda one=one: _version(one) == 4)
            self.assertEqual(200, await world.ask(0))

        run(play)

    def test_told_by_a_peer(self) -> None:
        """The store turned one entry away while a key was taken.

        That entry went on with the old configuration for nine seconds. The
        others had the new one, and hand it to whoever has read less far.
        """

        async def play(world: machines.Machines) -> None:
            first, second = world.entries
            refused = _Refusing()
            for own in second._followers.values():
                own._store = refused
            world.configure({**machines.CONFIG, 'version': 2})
            await machines.until(lambda: _version(first) == 2)
            await machines.until(lambda: _version(second) == 2)

        run(play)

    def test_leaving_endpoint(self) -> None:
        """An endpoint that says that it leaves gets nothing more."""

        async def play(world: machines.Machines) -> None:
            world.list_desk(state='draining')
            for one in world.entries:
                known = one.cluster.endpoints.get('i-desk')
                assert known is not None
                await machines.until(lambda known=known: known.listing.draining)
            self.assertEqual(503, await world.ask(0))

        run(play)

    def test_back_under_its_id(self) -> None:
        """An endpoint left, and came back under its id; nothing was sent.

        Leaving was taken to be final for an id, so each request was refused
        for want of an endpoint though one was there.
        """

        async def play(world: machines.Machines) -> None:
            world.list_desk(state='draining')
            for one in world.entries:
                known = one.cluster.endpoints.get('i-desk')
                assert known is not None
                await machines.until(lambda known=known: known.listing.draining)
            await world.desk.restart()
            world.list_desk()
            for one in world.entries:
                await machines.until(lambda one=one: _usable(one, 'i-desk'))
            self.assertEqual(200, await world.ask(0))
            # A late word of the start before changes nothing.
            world.list_desk(state='draining', born=1, sequence=99)
            world.configure({**machines.CONFIG, 'version': 2})
            for one in world.entries:
                await machines.until(lambda one=one: _version(one) == 2)
            self.assertEqual(200, await world.ask(1))

        run(play)

    def test_other_writers(self) -> None:
        """Another writer's records under ids of its own and a known one.

        One had fields nested so deep that decoding gave up in a way that
        nobody expected, and one a key that isn't text. Reading the list ended
        there, and endpoints that came later were never seen.
        """

        async def play(world: machines.Machines) -> None:
            nested = b'{"x":' + b'[' * 90000 + b']' * 90000 + b'}'
            for payload in (b'\xff\xfe', nested, b'{"address": 3}'):
                world.store.put_raw('keyed.servers', b'i-odd', payload)
            world.store.put_raw('keyed.servers', b'\xff\xfe', b'{}')
            world.store.put_raw('keyed.entries', b'no\0number', b'1')
            world.list_desk(state='paused')
            for one in world.entries:
                await machines.until(lambda one=one: not _usable(one, 'i-desk'))
            self.assertEqual(503, await world.ask(0))
            world.list_desk()
            for one in world.entries:
                await machines.until(lambda one=one: _usable(one, 'i-desk'))
                self.assertIsNone(one.cluster.endpoints.get('i-odd'))
            self.assertEqual(200, await world.ask(0))

        run(play)


class _Refusing:
    """A store that turns a process away."""

    async def newest(self, topic: object) -> typing.Any:
        """Answer nothing."""
        await asyncio.Event().wait()

    async def changes(
        self,
        topic: object,
        offset: int,
        wait: float,
    ) -> typing.Any:
        """Answer nothing."""
        await asyncio.Event().wait()

    async def put(self, topic: object, key: str, payload: bytes) -> None:
        """Do nothing."""


class RestartTest(testtools.TestCase):
    """What a process can't know that began after it happened."""

    def test_version_named_before_start(self) -> None:
        """All entries were killed four seconds after a version was named.

        Back again they held that it had been named just then, and sent
        requests to older weights for eight seconds more. When it was is not
        to be known; the bound counts from before the start.
        """

        async def play(world: machines.Machines) -> None:
            named = {'model': 'm', 'version': 2}
            world.store.put('keyed.op', 'version/m', named)
            own = msgspec.structs.replace(
                world.entries[0]._local_node,
                duties=node.SystemLimits(version=8, settling=3),
            )
            known = cluster_state.ClusterState(own)
            follow = intake.Intake(known, machines.READERS).followers(
                store.HttpStore(own.store),
                random.Random(1),
            )[records.Topic.OPERATOR]
            task = asyncio.create_task(follow.run())
            await machines.until(lambda: known.wanted_version('m') == 2)
            task.cancel()
            now = asyncio.get_running_loop().time()
            engine = known.routing.services_by_name['pool'].engine
            settling = own.duties.settling
            self.assertLess(known.begin_by(engine, 1), now + settling)
            (told,) = known.versions(now)
            self.assertTrue(told.guessed)

        run(play)


class WeightsTest(testtools.TestCase):
    """Agents bring engines to the version that is wanted."""

    def test_added_engine(self) -> None:
        """An engine without weights gets what the others have."""

        async def play(world: machines.Machines) -> None:
            await machines.until(lambda: world.engines[2].version == 1)
            self.assertEqual([(1, True)], world.engines[2].orders)
            self.assertEqual(0, world.origin.sent)

        run(play, (1, 1, 0))

    def test_named_version(self) -> None:
        """All engines load a named version whole, once."""

        async def play(world: machines.Machines) -> None:
            world.store.put(
                'keyed.op',
                'version/m',
                {'model': 'm', 'version': 2},
            )
            await machines.until(
                lambda: all(one.version == 2 for one in world.engines)
            )
            for one in world.engines:
                self.assertEqual([(2, True)], one.orders)
            self.assertLessEqual(world.origin.sent, 2 * machines.CHUNKS + 4)

        run(play, (1, 1, 1, 1))

    def test_spoilt_pieces(self) -> None:
        """Pieces that come spoilt are got again, and never loaded."""

        async def play(world: machines.Machines) -> None:
            world.origin.spoilt.update((0, 5, machines.CHUNKS - 1))
            world.store.put(
                'keyed.op',
                'version/m',
                {'model': 'm', 'version': 2},
            )
            await machines.until(
                lambda: all(one.version == 2 for one in world.engines)
            )
            for one in world.engines:
                self.assertEqual([(2, True)], one.orders)

        run(play, (1, 1))

    def test_engine_back_empty(self) -> None:
        """An engine crashed and came back under its id, holding nothing.

        Entries went on believing that it held the named version, sent it
        requests that it turned away, and were never told otherwise: its agent
        tells only what has changed, and what it told last was right again.
        """

        async def play(world: machines.Machines) -> None:
            world.store.put(
                'keyed.op',
                'version/m',
                {'model': 'm', 'version': 2},
            )
            await machines.until(
                lambda: all(one.version == 2 for one in world.engines)
            )
            before = _held(world, 'i-0')
            await machines.until(lambda: _held(world, 'i-0') == [2, 2])
            loaded = len(world.engines[0].orders)
            world.engines[0].restart(keep_staged=False)
            world.list_engines()
            await machines.until(lambda: world.engines[0].version == 2)
            self.assertEqual(loaded + 1, len(world.engines[0].orders))
            self.assertEqual((2, True), world.engines[0].orders[-1])
            await machines.until(lambda: _held(world, 'i-0') == [2, 2])
            self.assertEqual(2, len(before))
            # The list may be later than the agent.
            await machines.until(
                lambda: all(
                    one.cluster.endpoints.get('i-0').listing.started_ms == 2
                    for one in world.entries
                )
            )
            self.assertEqual([2, 2], _held(world, 'i-0'))

        run(play, (1, 1))

    def test_newer_version_at_once(self) -> None:
        """Two versions right after one another: the newer is loaded."""

        async def play(world: machines.Machines) -> None:
            for version in (2, 3):
                world.store.put(
                    'keyed.op',
                    'version/m',
                    {'model': 'm', 'version': version},
                )
            await machines.until(
                lambda: all(one.version == 3 for one in world.engines)
            )
            for one in world.engines:
                self.assertTrue(all(whole for _, whole in one.orders))

        run(play, (1, 1, 1))


class AgentEndsTest(testtools.TestCase):
    """An agent was stopped when it had said that its engine loads.

    It says so before it lets the engine finish what runs, and orders after
    that. Told to end in between it ordered nothing and said nothing, and
    entries sent the engine no request until its agent was back.
    """

    def test_word_of_loading(self) -> None:
        """An engine that got no order is not taken to load."""

        async def played() -> None:
            told_by_task = _signals(asyncio.get_running_loop())
            engines = [
                _Working(machines.LAYERS, machines.CHUNKS, 1) for _ in range(2)
            ]
            there = machines.Machines(engines)
            async with asyncio.timeout(30), there as world:
                await machines.until(
                    lambda: all(one.is_ready for one in world.entries)
                )
                world.store.put(
                    'keyed.op',
                    'version/m',
                    {'model': 'm', 'version': 2},
                )
                known = world.entries[0].cluster.endpoints
                await machines.until(
                    lambda: any(one.is_loading for one in known)
                )
                (loading,) = (one for one in known if one.is_loading)
                number = int(loading.listing.id.removeprefix('i-'))
                agent = world._tasks[len(world.entries) + number]
                told_by_task[agent]()
                await agent
                self.assertEqual([], world.engines[number].orders)
                async with asyncio.timeout(_HEARD_SECONDS):
                    await machines.until(lambda: not loading.is_loading)

        asyncio.run(played())


class _Working(weights_origin.LoadingEngine):
    """An engine that always runs something."""

    def _report(self) -> dict[str, typing.Any]:
        return {**super()._report(), 'active': 1}


def _signals(
    loop: asyncio.AbstractEventLoop,
) -> dict[asyncio.Task[typing.Any] | None, typing.Callable[[], object]]:
    """Return what each process does at SIGTERM, by its task.

    All processes of the test are one to the system, which keeps only the last
    handler of a signal.
    """
    told_by_task: dict[
        asyncio.Task[typing.Any] | None,
        typing.Callable[[], object],
    ] = {}

    def handle(number: int, act: typing.Callable[[], object]) -> None:
        if number == signal.SIGTERM:
            told_by_task[asyncio.current_task()] = act

    vars(loop)['add_signal_handler'] = handle
    return told_by_task


def _version(one: entry.Entry) -> int:
    current = one.cluster.routing
    return 0 if current is None else current.version


def _usable(one: entry.Entry, endpoint_id: str) -> bool:
    known = one.cluster.endpoints.get(endpoint_id)
    now = asyncio.get_running_loop().time()
    return known is not None and known.is_usable(now)


def _held(world: machines.Machines, endpoint_id: str) -> list[int]:
    """Return the version that each entry believes an engine to hold."""
    known = [one.cluster.endpoints.get(endpoint_id) for one in world.entries]
    return [0 if one is None else one.weights.version for one in known]
