"""Entries and agents together, on loopback addresses of their own."""

from __future__ import annotations

import asyncio
import random
import socket
import typing

import aioprometheus
import msgspec
import testtools

from clementinepass.direct import (
    agent,
    beliefs,
    entry,
    intake,
    node,
    records,
)
from clementinepass.http import messages, pool
from clementinepass.platform import (
    dialect,
    directory,
    engine,
    operator,
    registry,
    store,
)
from standins import direct_endpoint, keyed_store, weights_origin

CHUNKS = 12
LAYERS = 4
READERS = intake.Readers(operator=operator.read, endpoint=registry.read)
CONFIG: dict[str, typing.Any] = {
    'version': 1,
    'routes': [
        {
            'name': 'plain',
            'host': 'h',
            'pathPrefix': '/plain/',
            'routeKind': 'idempotent',
            'timeoutMs': 5000,
            'sloMs': 1000,
            'service': 'desk',
        },
    ],
    'services': [
        {'name': 'desk'},
        {
            'name': 'pool',
            'engine': {
                'slots': 16,
                'models': [{'name': 'm'}],
                'layers': LAYERS,
                'chunks': CHUNKS,
                'chunkBytes': 30,
            },
        },
    ],
}


def free_port(ips: list[str]) -> int:
    """Return a port that is free at all addresses, for both protocols."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as first:
            first.bind((ips[0], 0))
            port = first.getsockname()[1]
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as one:
                        one.bind((ip, port))
        except OSError:
            continue
        return int(port)


class Machines:
    """A store, an origin, two entries and some engines with agents."""

    def __init__(self, versions: tuple[int, ...]) -> None:
        self.store = keyed_store.KeyedStore()
        self.origin = weights_origin.WeightsOrigin(CHUNKS)
        self.engines = [
            weights_origin.LoadingEngine(LAYERS, CHUNKS, version)
            for version in versions
        ]
        self.desk = direct_endpoint.DirectEndpoint('i-desk')
        self.entries: list[entry.Entry] = []
        self._tasks: list[asyncio.Task[None]] = []
        #: Entries at 127.1.0.x, engines at 127.2.0.x.
        self.entry_ips = ['127.1.0.1', '127.1.0.2']
        self.engine_ips = [f'127.2.0.{one + 1}' for one in range(len(versions))]
        self.port = free_port(self.entry_ips + self.engine_ips)

    async def __aenter__(self) -> typing.Self:
        await self.store.__aenter__()
        await self.desk.__aenter__()
        await self.origin.listen('127.0.0.1')
        origin = {'name': 'o', 'origin': self.origin.address, 'zone': 'a'}
        services = [*CONFIG['services'], origin]
        self.configure({**CONFIG, 'services': services})
        self.store.put(
            'keyed.servers',
            'i-desk',
            {'service': 'desk', 'address': self.desk.address, 'zone': 'a'},
        )
        for ip in self.entry_ips:
            self._start_entry(ip)
        for ip, one in zip(self.engine_ips, self.engines, strict=True):
            await one.listen(ip)
            one.on_loaded = self.list_engines
            self._start_agent(ip, one)
        self.list_engines()
        return self

    async def __aexit__(self, *raised: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.store.__aexit__()
        await self.desk.__aexit__()
        await self.origin.close()
        for one in self.engines:
            await one.close()

    def configure(self, config: dict[str, typing.Any]) -> None:
        """Write a configuration."""
        self.store.put('keyed.op', 'config', config)

    def list_engines(self) -> None:
        """Have all engines write what they hold."""
        for number, one in enumerate(self.engines):
            domain = 'ab'[number % 2]
            self.store.put(
                'keyed.servers',
                f'i-{number}',
                one.entry('pool', domain),
            )

    def _node(self, ip: str, **changes: typing.Any) -> node.Node:
        return node.Node(
            name=ip,
            ip=ip,
            domain='a',
            region='a',
            regions_by_domain={'a': 'a', 'b': 'b'},
            first_port=self.port,
            store=self.store.address,
            duties=node.Duties(version=1.5),
            seeds=(self.entry_ips[0],),
            **changes,
        )

    def _start_entry(self, ip: str) -> None:
        ports = [free_port([ip]) for _ in range(2)]
        own = self._node(
            ip,
            callers=f'{ip}:{ports[0]}',
            readiness=f'{ip}:{ports[1]}',
        )
        boundary = entry.Boundary(
            store=store.HttpStore(own.store),
            dialect=dialect.HeaderDialect(),
            spelling=directory.DirectorySpelling(1),
            readers=READERS,
        )
        one = entry.Entry(
            own,
            boundary,
            aioprometheus.Registry(),
            random.Random(ip),
        )
        self.entries.append(one)
        self._tasks.append(asyncio.create_task(one.run()))

    def _start_agent(
        self,
        ip: str,
        one: weights_origin.LoadingEngine,
    ) -> None:
        own = self._node(ip, endpoint=one.address, service='pool')
        boundary = agent.Boundary(
            store=store.HttpStore(own.store),
            engine=engine.HttpEngine(own.endpoint),
            origin=engine.HttpOrigin,
            readers=READERS,
        )
        process = agent.Agent(
            own,
            boundary,
            aioprometheus.Registry(),
            random.Random(ip),
        )
        self._tasks.append(asyncio.create_task(process.run()))

    async def ask(self, number: int, target: str = '/plain/a') -> int:
        """Ask an entry as a caller and return the status."""
        address = self.entries[number]._own.callers
        request = messages.request_bytes(
            b'GET',
            target.encode(),
            [(b'Host', b'h'), (b'X-Attempt-Id', b'r')],
            b'',
        )
        fetched = await pool.fetch(
            pool.Pool.from_address(address),
            request,
            10,
        )
        return fetched.status


async def until(condition: typing.Callable[[], bool]) -> None:
    """Wait until something is so."""
    while not condition():
        await asyncio.sleep(0.01)


def run(
    play: typing.Callable[[Machines], typing.Awaitable[None]],
    versions: tuple[int, ...] = (),
) -> None:
    """Play with machines whose engines hold some versions."""

    async def played() -> None:
        async with asyncio.timeout(60), Machines(versions) as world:
            await until(lambda: all(one.ready for one in world.entries))
            await play(world)

    asyncio.run(played())


class EntriesTest(testtools.TestCase):
    """Entries find one another, serve, and follow the store."""

    def test_served_and_offered(self) -> None:
        """Both entries serve, and each offers both."""

        async def play(world: Machines) -> None:
            self.assertEqual(200, await world.ask(0))
            self.assertEqual(200, await world.ask(1))
            loop = asyncio.get_running_loop()
            for one in world.entries:
                await until(lambda one=one: len(one.offered(loop.time())) == 2)

        run(play)

    def test_change_in_force(self) -> None:
        """A route that is taken away is unknown, one that is added serves."""

        async def play(world: Machines) -> None:
            route = {**CONFIG['routes'][0], 'pathPrefix': '/new/'}
            world.configure({**CONFIG, 'version': 2, 'routes': [route]})
            for one in world.entries:
                await until(lambda one=one: _version(one) == 2)
            self.assertEqual(404, await world.ask(0))
            self.assertEqual(200, await world.ask(1, '/new/a'))

        run(play)

    def test_older_configuration(self) -> None:
        """A version that isn't newer changes nothing."""

        async def play(world: Machines) -> None:
            world.configure({**CONFIG, 'version': 3})
            for one in world.entries:
                await until(lambda one=one: _version(one) == 3)
            world.configure({**CONFIG, 'version': 2, 'routes': []})
            world.configure({**CONFIG, 'version': 4})
            for one in world.entries:
                await until(lambda one=one: _version(one) == 4)
            self.assertEqual(200, await world.ask(0))

        run(play)

    def test_told_by_a_peer(self) -> None:
        """The store turned one entry away while a key was taken.

        That entry went on with the old configuration for nine seconds. The
        others had the new one, and hand it to whoever has read less far.
        """

        async def play(world: Machines) -> None:
            first, second = world.entries
            refused = _Refusing()
            for own in second._followers.values():
                own._store = refused
            world.configure({**CONFIG, 'version': 2})
            await until(lambda: _version(first) == 2)
            await until(lambda: _version(second) == 2)

        run(play)

    def test_leaving_endpoint(self) -> None:
        """An endpoint that says that it leaves gets nothing more."""

        async def play(world: Machines) -> None:
            gone = {
                'service': 'desk',
                'address': world.desk.address,
                'state': 'draining',
                'sequence': 9,
            }
            world.store.put('keyed.servers', 'i-desk', gone)
            for one in world.entries:
                known = one.beliefs.endpoints.get('i-desk')
                assert known is not None
                await until(lambda known=known: known.listing.draining)
            self.assertEqual(503, await world.ask(0))

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

        async def play(world: Machines) -> None:
            named = {'model': 'm', 'version': 2}
            world.store.put('keyed.op', 'version/m', named)
            own = msgspec.structs.replace(
                world.entries[0]._own,
                duties=node.Duties(version=8, settling=3),
            )
            known = beliefs.Beliefs(own)
            follow = intake.Intake(known, READERS).followers(
                store.HttpStore(own.store),
                random.Random(1),
            )[records.Topic.OPERATOR]
            task = asyncio.create_task(follow.run())
            await until(lambda: known.wanted_version('m') == 2)
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

        async def play(world: Machines) -> None:
            await until(lambda: world.engines[2].version == 1)
            self.assertEqual([(1, True)], world.engines[2].orders)
            self.assertEqual(0, world.origin.sent)

        run(play, (1, 1, 0))

    def test_named_version(self) -> None:
        """All engines load a named version whole, once."""

        async def play(world: Machines) -> None:
            world.store.put(
                'keyed.op',
                'version/m',
                {'model': 'm', 'version': 2},
            )
            await until(lambda: all(one.version == 2 for one in world.engines))
            for one in world.engines:
                self.assertEqual([(2, True)], one.orders)
            self.assertLessEqual(world.origin.sent, 2 * CHUNKS + 4)

        run(play, (1, 1, 1, 1))

    def test_spoilt_pieces(self) -> None:
        """Pieces that come spoilt are got again, and never loaded."""

        async def play(world: Machines) -> None:
            world.origin.spoilt.update((0, 5, CHUNKS - 1))
            world.store.put(
                'keyed.op',
                'version/m',
                {'model': 'm', 'version': 2},
            )
            await until(lambda: all(one.version == 2 for one in world.engines))
            for one in world.engines:
                self.assertEqual([(2, True)], one.orders)

        run(play, (1, 1))

    def test_newer_version_at_once(self) -> None:
        """Two versions right after one another: the newer is loaded."""

        async def play(world: Machines) -> None:
            for version in (2, 3):
                world.store.put(
                    'keyed.op',
                    'version/m',
                    {'model': 'm', 'version': version},
                )
            await until(lambda: all(one.version == 3 for one in world.engines))
            for one in world.engines:
                self.assertTrue(all(whole for _, whole in one.orders))

        run(play, (1, 1, 1))


def _version(one: entry.Entry) -> int:
    current = one.beliefs.routing
    return 0 if current is None else current.version
