"""A whole small system of the direct path in one process, on loopback.

A store, an origin of weights, entries, and engines with their agents; each has
an address of its own, as on machines.
"""

from __future__ import annotations

import asyncio
import functools
import itertools
import os
import random
import socket
import typing

import aioprometheus

from clementinepass.direct import agent, entry, intake, node
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
READERS = intake.Decoders(
    operator=operator.decode_record, endpoint=registry.decode_record
)
#: A route of streams that may be resumed; its service is to be named.
STREAM_ROUTE: dict[str, typing.Any] = {
    'name': 'stream',
    'host': 'h',
    'pathPrefix': '/stream/',
    'routeKind': 'streaming',
    'resumable': True,
    'maxAttempts': 2,
    'timeoutMs': 6000,
    'sloMs': 400,
    'gapTargetMs': 300,
}
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


#: Ports for tests: below those that outgoing connections get, a block for each
#: process, so that no other takes one between its draw and its use. The process
#: holds the first port of its block for as long as it lives.
_FIRST_PORT = 10_000
_BLOCK = 400
_BLOCKS = 56
_GUARD_IP = '127.0.0.1'
_drawn = itertools.count()


def free_port(ips: list[str]) -> int:
    """Return a port that is free at all addresses, for both protocols.

    It isn't returned again soon, though nobody listens there yet.

    :raises OSError: none is free.
    """
    start = _claim_block().getsockname()[1] + 1
    for _ in range(_BLOCK - 1):
        port = start + next(_drawn) % (_BLOCK - 1)
        if _is_free(ips, port):
            return port
    raise OSError('no port is free')


@functools.cache
def _claim_block() -> socket.socket:
    """Return the socket that holds the first port of this process's block.

    :raises OSError: other processes hold all blocks.
    """
    for offset in range(_BLOCKS):
        block = (os.getpid() + offset) % _BLOCKS
        guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            guard.bind((_GUARD_IP, _FIRST_PORT + block * _BLOCK))
        except OSError:
            guard.close()
        else:
            return guard
    raise OSError(f'all {_BLOCKS} blocks of ports are held')


def _is_free(ips: list[str], port: int) -> bool:
    for ip in ips:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as one:
                one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    one.bind((ip, port))
                except OSError:
                    return False
    return True


class Machines:
    """A store, an origin, two entries and some engines with agents.

    :param engines: the engines, which hold what they hold.
    :param duties: bounds for all processes.
    :param config: the operator's first configuration, without the origin.
    :param entries: how many; the first is the others' seed.
    :param regions: how many they are in, by turns.
    """

    def __init__(
        self,
        engines: typing.Sequence[weights_origin.LoadingEngine],
        duties: node.SystemLimits | None = None,
        config: dict[str, typing.Any] | None = None,
        entries: int = 2,
        regions: int = 1,
    ) -> None:
        self.store = keyed_store.KeyedStore()
        self.origin = weights_origin.WeightsOrigin(CHUNKS)
        self.engines = list(engines)
        self._duties = duties or node.SystemLimits(version=1.5)
        self._config = config or CONFIG
        #: The first configuration, with the origin.
        self.config = self._config
        self.desk = direct_endpoint.DirectEndpoint('i-desk')
        self._added_desks: list[direct_endpoint.DirectEndpoint] = []
        self.entries: list[entry.Entry] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._entry_task_by_ip: dict[str, asyncio.Task[None]] = {}
        self._agent_task_by_ip: dict[str, asyncio.Task[None]] = {}
        #: The live entries and agents.
        self.entry_by_ip: dict[str, entry.Entry] = {}
        self.agent_by_ip: dict[str, agent.Agent] = {}
        self._regions = regions
        #: Entries at 127.1.0.x, engines at 127.2.0.x.
        self.entry_ips = [f'127.1.0.{one + 1}' for one in range(entries)]
        self.engine_ips = [
            f'127.2.0.{one + 1}' for one in range(len(self.engines))
        ]
        self.port = free_port(self.entry_ips + self.engine_ips)

    async def __aenter__(self) -> typing.Self:
        await self.store.__aenter__()
        await self.desk.__aenter__()
        await self.origin.listen('127.0.0.1')
        origin = {'name': 'o', 'origin': self.origin.address, 'zone': 'a'}
        services = [*self._config['services'], origin]
        self.config = {**self._config, 'services': services}
        self.configure(self.config)
        self.list_desk()
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
        for desk in (self.desk, *self._added_desks):
            await desk.__aexit__()
        await self.origin.close()
        for one in self.engines:
            await one.close()

    def configure(self, config: dict[str, typing.Any]) -> None:
        """Write a configuration."""
        self.store.put('keyed.op', 'config', config)

    def evacuate(self, domain: str, *, is_active: bool = True) -> None:
        """Begin or end the evacuation of a failure domain."""
        self.store.put(
            'keyed.op', f'evacuate/{domain}', {} if is_active else None
        )

    async def all_known(self) -> list[entry.Entry]:
        """Return the entries once each offers all.

        :raises OSError: one of them could not listen.
        """
        await until(self._all_offer_all)
        return self.entries

    def _all_offer_all(self) -> bool:
        for task in self._entry_task_by_ip.values():
            if task.done() and not task.cancelled():
                task.result()
        now = asyncio.get_running_loop().time()
        whole = len(self.entries)
        return all(
            len(one.listed_addresses(now)) == whole for one in self.entries
        )

    def kill_entry(self, ip: str) -> None:
        """End an entry without a word to anybody."""
        self._entry_task_by_ip[ip].cancel()

    async def kill(self, ips: typing.Collection[str]) -> None:
        """End entries and agents, so that others can start in their place."""
        killed = []
        for ip in ips:
            self.entry_by_ip.pop(ip, None)
            self.agent_by_ip.pop(ip, None)
            tasks = (self._entry_task_by_ip, self._agent_task_by_ip)
            killed += [task for one in tasks if (task := one.pop(ip, None))]
        for task in killed:
            task.cancel()
        await asyncio.gather(*killed, return_exceptions=True)

    def start(self, ips: typing.Collection[str]) -> None:
        """Start entries and agents at addresses where some were killed."""
        for ip in ips:
            if ip in self.engine_ips:
                self._start_agent(ip, self.engines[self.engine_ips.index(ip)])
            else:
                self._start_entry(ip)

    def list_desk(self, **changes: typing.Any) -> None:
        """Have the plain endpoint write of itself."""
        entry_of_desk = self.desk.entry('desk', 'a')
        self.store.put('keyed.servers', 'i-desk', {**entry_of_desk, **changes})

    def list_engines(self) -> None:
        """Have all engines write what they hold."""
        for number, one in enumerate(self.engines):
            self.store.put(
                'keyed.servers',
                f'i-{number}',
                one.entry('pool', engine_domain(number)),
            )

    def _node(self, ip: str, **changes: typing.Any) -> node.Node:
        return node.Node(
            name=ip,
            ip=ip,
            domain='a',
            region=self._region(ip),
            regions_by_domain={'a': 'a', 'b': 'b'},
            first_port=self.port,
            store=self.store.address,
            duties=self._duties,
            seeds=(self.entry_ips[0],),
            **changes,
        )

    def _region(self, ip: str) -> str:
        """Return the region of an entry; that of agents is the first."""
        if ip not in self.entry_ips:
            return 'a'
        return 'abcdef'[self.entry_ips.index(ip) % self._regions]

    def add_entry(self) -> entry.Entry:
        """Start one more entry."""
        ip = f'127.1.0.{len(self.entry_ips) + 1}'
        self.entry_ips.append(ip)
        self._start_entry(ip)
        return self.entries[-1]

    def _start_entry(self, ip: str) -> None:
        ports = [free_port([ip]) for _ in range(2)]
        own = self._node(
            ip,
            callers=f'{ip}:{ports[0]}',
            readiness=f'{ip}:{ports[1]}',
        )
        boundary = entry.PlatformAdapters(
            store=store.HttpStore(own.store),
            dialect=dialect.HeaderDialect(),
            directory_handlers=directory.HttpDirectory(),
            decoders=READERS,
        )
        one = entry.Entry(
            own,
            boundary,
            aioprometheus.Registry(),
            random.Random(ip),
        )
        self.entries.append(one)
        self.entry_by_ip[ip] = one
        task = asyncio.create_task(one.run())
        self._entry_task_by_ip[ip] = task
        self._tasks.append(task)

    def _start_agent(
        self,
        ip: str,
        one: weights_origin.LoadingEngine,
    ) -> None:
        own = self._node(ip, endpoint=one.address, service='pool')
        boundary = agent.PlatformAdapters(
            store=store.HttpStore(own.store),
            engine=engine.HttpEngine(own.endpoint),
            make_origin_source=engine.HttpOrigin,
            decoders=READERS,
        )
        process = agent.Agent(
            own,
            boundary,
            aioprometheus.Registry(),
            random.Random(ip),
        )
        self.agent_by_ip[ip] = process
        task = asyncio.create_task(process.run())
        self._agent_task_by_ip[ip] = task
        self._tasks.append(task)

    async def replace_desk(
        self, count: int
    ) -> list[direct_endpoint.DirectEndpoint]:
        """List plain endpoints in the place of the only one.

        That one stays in use for a moment after its removal.
        """
        added = []
        for number in range(count):
            one = direct_endpoint.DirectEndpoint(f'i-desk-{number}')
            await one.__aenter__()
            self.store.put('keyed.servers', one.id, one.entry('desk', 'a'))
            added.append(one)
        self.store.put('keyed.servers', self.desk.id, None)
        self._added_desks.extend(added)
        return added

    async def ask(
        self,
        number: int,
        target: str = '/plain/a',
        *,
        name: bytes = b'r',
        body: bytes = b'',
    ) -> int:
        """Ask an entry as a caller and return the status.

        :param name: the id of the request.
        """
        address = self.entries[number].callers_address
        request = messages.encode_request(
            b'POST' if body else b'GET',
            target.encode(),
            [(b'Host', b'h'), (b'X-Attempt-Id', name)],
            body,
        )
        fetched = await pool.fetch(
            pool.Pool.from_address(address),
            request,
            10,
        )
        return fetched.status


def engine_domain(number: int) -> str:
    """Return the failure domain of an engine."""
    return 'ab'[number % 2]


async def until(condition: typing.Callable[[], bool]) -> None:
    """Wait until something is so."""
    while not condition():
        await asyncio.sleep(0.01)
