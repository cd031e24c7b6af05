"""The service from which weights come, and engines that load them."""

from __future__ import annotations

import hashlib
import time
import typing
import urllib.parse

import msgspec

from clementinepass.http import front, replies
from review.harness2 import system

if typing.TYPE_CHECKING:
    from clementinepass.http import messages

CHUNKS = 96
CHUNK_BYTES = 24576


def piece(version: int, number: int) -> bytes:
    """Return the bytes of a piece."""
    text = b'%d-%d.' % (version, number)
    return (text * (CHUNK_BYTES // len(text) + 1))[:CHUNK_BYTES]


def digests(version: int) -> list[str]:
    """Return the digests of a version."""
    return [
        hashlib.sha256(piece(version, number)).hexdigest()
        for number in range(CHUNKS)
    ]


class Origin:
    """Hands out manifests and pieces of the versions that were named.

    :param corrupted_manifests: how many of the first manifests of version 2
        are sent with one wrong digit.
    """

    def __init__(self, record: system.Record, corrupted_manifests: int) -> None:
        self._record = record
        self._corrupted_left = corrupted_manifests
        self._front = front.Front(self._handle)
        self.newest = 1
        self.address = ''
        self.manifests = 0
        self.pieces = 0

    async def start(self, ip: str) -> None:
        """Listen."""
        self.address = f'{ip}:{await self._front.listen(ip, 0)}'

    async def stop(self) -> None:
        """Stop listening."""
        await self._front.close()

    async def _handle(
        self, request: messages.Request, reply: replies.Reply
    ) -> None:
        path, _, text = request.target.decode().partition('?')
        query = dict(urllib.parse.parse_qsl(text))
        version = int(query.get('version', self.newest))
        if version > self.newest:
            reply.send(404, [], b'')
        elif '/manifest/' in path:
            self._manifest(path.rpartition('/')[2], version, reply)
        else:
            self.pieces += 1
            reply.send(200, [], piece(version, int(query['num'])))

    def _manifest(self, model: str, version: int, reply: replies.Reply) -> None:
        self.manifests += 1
        sent = digests(version)
        is_corrupted = version > 1 and self._corrupted_left > 0
        if is_corrupted:
            self._corrupted_left -= 1
            first = '0' if sent[40][0] != '0' else '1'
            sent[40] = first + sent[40][1:]
        self._record.line(
            f'origin sends the manifest of version {version}'
            + (', one digit of it corrupted' if is_corrupted else '')
        )
        manifest = {
            'model': model,
            'version': version,
            'chunkBytes': CHUNK_BYTES,
            'layers': system.LAYERS,
            'digests': sent,
        }
        pairs = [(b'Content-Type', b'application/json')]
        reply.send(200, pairs, msgspec.json.encode(manifest))


class Engine:
    """A model worker beside an agent.

    It streams answers, stages pieces and loads what is staged.
    """

    def __init__(self, name: str, world: system.System) -> None:
        self.id = name
        self._world = world
        self._front = front.Front(self._handle)
        self.address = ''
        self.version = 1
        self.staged = {number: piece(1, number) for number in range(CHUNKS)}
        self._orders = 0
        self._sequence = 0
        self._born = int(time.time() * 1000)
        #: Versions on which requests ran, with times.
        self.runs: list[tuple[float, int]] = []

    async def start(self, ip: str) -> None:
        """Listen."""
        self.address = f'{ip}:{await self._front.listen(ip, 0)}'

    async def stop(self) -> None:
        """Stop listening."""
        await self._front.close()

    def report(self) -> None:
        """Report to the list of workers."""
        self._sequence += 1
        entry = {
            'service': 'pool',
            'address': self.address,
            'zone': system.ZONE,
            'version': 'v1',
            'slots': 16,
            'state': 'ready',
            'coldLeftMs': 0,
            'sequence': self._sequence,
            'phase': 'unified',
            **self._state(),
        }
        self._world.store.put('keyed.servers', self.id, entry)

    def _state(self) -> dict[str, typing.Any]:
        return {
            'born': self._born,
            'models': [
                {'name': system.MODEL, 'version': self.version, 'adapters': []}
            ],
            'layers': [
                {'from': 0, 'target': system.LAYERS, 'version': self.version}
            ],
        }

    async def _handle(
        self, request: messages.Request, reply: replies.Reply
    ) -> None:
        path, _, text = request.target.decode().partition('?')
        query = dict(urllib.parse.parse_qsl(text))
        if path == '/api/report':
            state = {
                'phase': 'unified',
                'busy': False,
                'sequence': self._orders,
                'queued': 0,
                'active': 0,
                'kvUsed': 0,
                'kvTotal': 90000,
                'handles': 0,
                **self._state(),
            }
            reply.send(200, [], msgspec.json.encode(state))
        elif path == '/api/order':
            self._order(msgspec.json.decode(request.body), reply)
        elif path.startswith('/api/stage-put/'):
            self.staged[int(query['num'])] = request.body
            reply.send(200, [], b'')
        elif path.startswith('/api/stage-get/') and 'num' in query:
            found = self.staged.get(int(query['num']))
            reply.send(404 if found is None else 200, [], found or b'')
        elif path.startswith('/api/stage-get/'):
            held = {'held': sorted(self.staged)}
            reply.send(200, [], msgspec.json.encode(held))
        else:
            self._run(request, reply)

    def _order(
        self, order: dict[str, typing.Any], reply: replies.Reply
    ) -> None:
        if order.get('expected', self._orders) != self._orders:
            reply.send(409, [], b'')
            return
        self._orders += 1
        self.version = order['version']
        self._world.record.line(f'engine {self.id} loads {self.version}')
        reply.send(202, [], b'')
        self.report()

    def _run(self, request: messages.Request, reply: replies.Reply) -> None:
        headers = request.headers
        pairs = [
            (b'X-Attempt-Id', headers.get(b'x-attempt-id') or b''),
            (b'X-Server-Stamp', b'stamp-' + self.id.encode()),
            (b'X-Instance-Id', self.id.encode()),
        ]
        wanted = headers.get(b'x-expect-version')
        if headers.get(b'x-expect-instance') != self.id.encode() or (
            wanted is not None and int(wanted) != self.version
        ):
            reply.send(421, pairs, b'')
            return
        self.runs.append((self._world.record.now(), self.version))
        reply.start(200, [*pairs, (b'Content-Type', b'text/event-stream')])
        for number in range(1, 4):
            reply.write(b'id: %d\ndata: %d\n\n' % (number, number))
        reply.end()
