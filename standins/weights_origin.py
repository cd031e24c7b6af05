"""The users' origin of weights, and the engines that load them."""

from __future__ import annotations

import hashlib
import typing
import urllib.parse

import msgspec

from clementinepass.http import front, replies

if typing.TYPE_CHECKING:
    from clementinepass.http import messages

_OK = 200
_ACCEPTED = 202
_NOT_FOUND = 404
_CONFLICT = 409


def piece(version: int, number: int) -> bytes:
    """Return the bytes of a piece."""
    return b'%d-%d' % (version, number) * 10


class WeightsOrigin:
    """Hands out manifests and pieces.

    :param chunks: pieces of each version.
    """

    def __init__(self, chunks: int) -> None:
        self.chunks = chunks
        self._front = front.Front(self._handle)
        self.address = ''
        #: Pieces sent.
        self.sent = 0
        #: Pieces that it sends before it is gone; ``None`` for all.
        self.left: int | None = None
        #: Numbers of pieces that are spoilt once.
        self.spoilt: set[int] = set()

    async def listen(self, ip: str) -> None:
        """Listen on a port of its own."""
        self.address = f'{ip}:{await self._front.listen(ip, 0)}'

    async def close(self) -> None:
        """Stop listening."""
        await self._front.close()

    async def _handle(
        self,
        request: messages.Request,
        reply: replies.Reply,
    ) -> None:
        path, _, text = request.target.decode().partition('?')
        query = dict(urllib.parse.parse_qsl(text))
        version = int(query['version'])
        if '/manifest/' in path:
            manifest = {
                'model': path.rpartition('/')[2],
                'version': version,
                'digests': [
                    hashlib.sha256(piece(version, number)).hexdigest()
                    for number in range(self.chunks)
                ],
            }
            reply.send(_OK, [], msgspec.json.encode(manifest))
            return
        number = int(query['num'])
        if self.left is not None:
            if self.left <= 0:
                reply.abort()
                return
            self.left -= 1
        self.sent += 1
        payload = piece(version, number)
        if number in self.spoilt:
            self.spoilt.discard(number)
            payload = bytes(reversed(payload))
        reply.send(_OK, [], payload)


class LoadingEngine:
    """An engine's side towards its agent: what is staged and loaded.

    :param layers: layers of the model.
    :param version: the version that it holds at first; 0 for none.
    """

    def __init__(self, layers: int, chunks: int, version: int = 0) -> None:
        self._layers = layers
        self._chunks = chunks
        self.version = version
        #: Staged pieces by number.
        self.staged: dict[int, bytes] = {}
        if version:
            self.staged = {
                number: piece(version, number) for number in range(chunks)
            }
        #: Versions ordered, in order, and whether what was loaded was whole.
        self.orders: list[tuple[int, bool]] = []
        #: Of these, how many an earlier start took.
        self._orders_before = 0
        #: Milliseconds of Unix time of its start; ``None`` to not tell it.
        self.born: int | None = 1
        #: Whether all answers say that the engine drains.
        self.is_draining = False
        #: How often the agent asked for a report.
        self.reports = 0
        #: Called after each order.
        self.on_loaded: typing.Callable[[], None] | None = None
        self._front = front.Front(self._handle)
        self.address = ''

    async def listen(self, ip: str) -> None:
        """Listen on a port of its own."""
        self.address = f'{ip}:{await self._front.listen(ip, 0)}'

    async def close(self) -> None:
        """Stop listening."""
        await self._front.close()

    def restart(self, *, keep_staged: bool = True) -> None:
        """Crash and start again under the same id, holding nothing.

        :param keep_staged: whether staged pieces outlast it, as they do
            unless power was lost.
        """
        if self.born is not None:
            self.born += 1
        self.version = 0
        self.is_draining = False
        self._orders_before = len(self.orders)
        if not keep_staged:
            self.staged.clear()

    @property
    def begun(self) -> int:
        """Return how many orders this start has begun."""
        return len(self.orders) - self._orders_before

    def entry(self, service: str, domain: str) -> dict[str, typing.Any]:
        """Return what the engine writes of itself into the list."""
        return {
            'service': service,
            'address': self.address,
            'zone': domain,
            'version': 'v1',
            'slots': 16,
            'state': 'ready',
            'coldLeftMs': 0,
            'sequence': self.begun + 1,
            **self._start(),
            **self._weights(),
        }

    async def _handle(
        self,
        request: messages.Request,
        reply: replies.Reply,
    ) -> None:
        pairs = [(b'Server-Leaving', b'1')] if self.is_draining else []
        path, _, text = request.target.decode().partition('?')
        number = dict(urllib.parse.parse_qsl(text)).get('num')
        if path == '/api/report':
            self.reports += 1
            reply.send(_OK, pairs, msgspec.json.encode(self._report()))
        elif path == '/api/order':
            self._order(msgspec.json.decode(request.body), reply)
        elif number is None:
            held = {'held': sorted(self.staged)}
            reply.send(_OK, pairs, msgspec.json.encode(held))
        elif request.method == b'PUT':
            self.staged[int(number)] = request.body
            reply.send(_OK, pairs, b'')
        else:
            found = self.staged.get(int(number))
            status = _NOT_FOUND if found is None else _OK
            reply.send(status, pairs, found or b'')

    def _order(
        self,
        order: dict[str, typing.Any],
        reply: replies.Reply,
    ) -> None:
        if order['expected'] != self.begun:
            reply.send(_CONFLICT, [], b'')
            return
        wanted = {
            number: piece(order['version'], number)
            for number in range(self._chunks)
        }
        self.orders.append((order['version'], self.staged == wanted))
        self.version = order['version']
        reply.send(_ACCEPTED, [], b'')
        if self.on_loaded is not None:
            self.on_loaded()

    def _report(self) -> dict[str, typing.Any]:
        return {
            'busy': False,
            'sequence': self.begun,
            'active': 0,
            'queued': 0,
            **self._start(),
            **self._weights(),
        }

    def _start(self) -> dict[str, typing.Any]:
        return {} if self.born is None else {'born': self.born}

    def _weights(self) -> dict[str, typing.Any]:
        if not self.version:
            return {'models': []}
        return {
            'models': [{'name': 'm', 'version': self.version}],
            'layers': {
                'from': 0,
                'target': self._layers,
                'version': self.version,
            },
        }
