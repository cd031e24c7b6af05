"""Stand-in for a worker, as a process of its own.

It speaks what the pages say of workers: it registers itself with liveness
reports, runs only requests that are meant for it, echoes each id and stamps
its answers. A model worker also has staged pieces, takes orders and reports.
What it does goes to its output, a line of JSON each.
"""

import asyncio
import hashlib
import json
import sys
import time
import urllib.parse

import http11

BEAT_SECONDS = 1.2


def piece(version, number, size):
    """Return the bytes of a piece of a version."""
    seed = hashlib.sha256(b'%d/%d' % (version, number)).digest()
    return (seed * (size // len(seed) + 1))[:size]


class Worker:
    """One worker.

    :param options: ``id``, ``service``, ``address``, ``store``, and for a
        model worker ``model``, ``chunks``, ``chunkBytes``, ``layers`` and the
        ``version`` that it holds at first; 0 for none.
    """

    def __init__(self, options):
        self.options = options
        self.id = options['id']
        self.born = int(time.time() * 1000)
        self.beats = 0
        self.is_draining = False
        self.orders = 0
        self.version = options.get('version', 0)
        self.loading = 0
        #: Staged pieces, and since when each has been spoilt.
        self.staged = {}
        self.spoilt_since = {}
        #: How the layers that are held were taken, in words; empty if whole.
        self.flaw = ''
        #: Seconds of silence before the next order is taken.
        self.silent_seconds = 0.0
        #: Whether a piece is to turn bad after it was read back.
        self.is_rot_due = False
        #: Whether the agent has begun to read all pieces back for an order.
        self.is_read_back = False
        #: Pieces staged since the last order.
        self.put = set()
        if self.version:
            self.staged = {
                number: piece(self.version, number, options['chunkBytes'])
                for number in range(options['chunks'])
            }

    def note(self, event, **fields):
        """Write what happened."""
        line = {'event': event, 'worker': self.id, **fields}
        print(json.dumps(line), flush=True)

    async def run(self):
        """Serve until killed."""
        host, _, port = self.options['address'].rpartition(':')
        await http11.serve(host, int(port), self.handle)
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_SECONDS)

    async def beat(self):
        """Write a liveness report to the store."""
        self.beats += 1
        entry = {
            'service': self.options['service'],
            'address': self.options['address'],
            'zone': 'hall-a',
            'version': 'v1',
            'slots': 16,
            'state': 'draining' if self.is_draining else 'ready',
            'coldLeftMs': 0,
            'phase': 'unified',
            'sequence': self.beats,
            'born': self.born,
            **self.weights(),
        }
        if 'model' not in self.options:
            del entry['phase']
        body = json.dumps({'id': self.id, 'entry': entry}).encode()
        try:
            await http11.exchange(
                self.options['store'], 'POST', '/beat', body=body
            )
        except (OSError, TimeoutError):
            self.note('beat lost')

    def weights(self):
        """Return what the worker says of its weights."""
        if 'model' not in self.options:
            return {}
        if not self.version:
            return {'models': []}
        name = self.options['model']
        return {
            'models': [{'name': name, 'version': self.version, 'adapters': []}],
            'layers': {
                'from': 0,
                'target': self.options['layers'],
                'version': self.version,
            },
        }

    async def handle(self, request, writer):
        """Answer one request."""
        if request.path.startswith('/api/'):
            return await self.handle_agent(request, writer)
        if request.path.startswith('/test/'):
            return await self.handle_test(request, writer)
        pairs = [('X-Attempt-Id', request.header('x-attempt-id'))]
        if self.is_draining:
            pairs.append(('Server-Leaving', '1'))
        version = request.header('x-expect-version')
        if request.header('x-expect-instance') not in ('', self.id) or (
            version and int(version) != self.version
        ):
            pairs.append(('X-Instance-Id', self.id))
            writer.write(http11.encode_answer(421, pairs, b''))
            return True
        if 'model' in self.options and not self.version:
            pairs.append(('X-Instance-Id', self.id))
            writer.write(http11.encode_answer(421, pairs, b''))
            return True
        if self.loading:
            pairs.append(('X-Not-Executed', '1'))
            writer.write(http11.encode_answer(503, pairs, b''))
            return True
        pairs.append(('X-Server-Stamp', f'stamp.{self.id}'))
        self.note(
            'runs',
            request=request.header('x-attempt-id'),
            target=request.target,
            version=self.version,
            flaw=self.flaw,
        )
        return await self.answer(request, writer, pairs)

    async def answer(self, request, writer, pairs):
        """Send a stream of events, or a plain answer in two parts."""
        query = dict(urllib.parse.parse_qsl(request.query))
        pause = float(query.get('pause', '0'))
        head = ['HTTP/1.1 200 OK']
        if 'model' in self.options or 'stream' in query:
            head.append('Content-Type: text/event-stream')
            parts = [
                b'id: %d\ndata: token %d\n\n' % (number, number)
                for number in range(int(query.get('events', '4')))
            ]
        else:
            text = hashlib.sha256(request.target.encode()).hexdigest()
            parts = [text.encode() * 6, b'|' + text.encode() * 6 + b'.']
        is_unframed = 'unframed' in query
        head += [f'{name}: {text}' for name, text in pairs]
        if not is_unframed:
            head.append('Transfer-Encoding: chunked')
        writer.write('\r\n'.join(head).encode() + b'\r\n\r\n')
        for number, part in enumerate(parts):
            if number:
                await asyncio.sleep(pause)
            if not is_unframed:
                part = b'%x\r\n%b\r\n' % (len(part), part)
            writer.write(part)
            await writer.drain()
        if not is_unframed:
            writer.write(b'0\r\n\r\n')
        self.note('ends', request=request.header('x-attempt-id'))
        return not is_unframed

    async def handle_agent(self, request, writer):
        """Answer a call of the agent on the worker's machine."""
        query = dict(urllib.parse.parse_qsl(request.query))
        pairs = [('Server-Leaving', '1')] if self.is_draining else []
        status, body = 200, b''
        if request.path == '/api/report':
            body = json.dumps(self.report()).encode()
        elif request.path == '/api/order':
            if self.is_read_back and self.silent_seconds:
                self.note('silent', seconds=self.silent_seconds)
                await asyncio.sleep(self.silent_seconds)
            status = self.take_order(json.loads(request.body))
        elif request.method == 'PUT':
            number = int(query['num'])
            self.staged[number] = request.body
            self.spoilt_since.pop(number, None)
            self.put.add(number)
        elif 'num' in query:
            number = int(query['num'])
            body = await self.read(number)
            status, body = (404, b'') if body is None else (200, body)
        else:
            body = json.dumps({'held': sorted(self.staged)}).encode()
        writer.write(http11.encode_answer(status, pairs, body))
        return True

    async def read(self, number):
        """Return a staged piece; it takes a while to read.

        Where the test asks for it, the first piece turns bad as soon as it was
        read back for an order, when all pieces are staged.
        """
        await asyncio.sleep(self.options.get('read_seconds', 0))
        if number == 0 and len(self.put) == self.options['chunks']:
            self.is_read_back = True
            if self.is_rot_due:
                self.is_rot_due = False
                asyncio.get_running_loop().call_later(0.005, self.spoil, 0)
        return self.staged.get(number)

    def spoil(self, number):
        """Let a staged piece turn bad."""
        self.staged[number] = bytes(len(self.staged[number]))
        self.spoilt_since[number] = time.monotonic()
        self.note('spoilt', piece=number)

    def report(self):
        """Return the state of the worker."""
        return {
            'phase': 'unified',
            'busy': bool(self.loading),
            'sequence': self.orders,
            'queued': 0,
            'active': 0,
            'kvUsed': 0,
            'kvTotal': 1640000,
            'handles': 0,
            'born': self.born,
            **self.weights(),
        }

    def take_order(self, order):
        """Take an order to load what is staged now; return the status."""
        if self.loading or order.get('expected', self.orders) != self.orders:
            self.note('order', order=order, status=409)
            return 409
        self.orders += 1
        self.put.clear()
        self.loading = order['version']
        self.flaw = self.find_flaw(order['version'])
        self.note('order', order=order, status=202, flaw=self.flaw)
        asyncio.get_running_loop().call_later(0.3, self.loaded)
        return 202

    def loaded(self):
        """Hold what was ordered."""
        self.version = self.loading
        self.loading = 0
        asyncio.ensure_future(self.beat())

    def find_flaw(self, version):
        """Say what is wrong with the staged pieces of a version."""
        now = time.monotonic()
        for number in range(self.options['chunks']):
            wanted = piece(version, number, self.options['chunkBytes'])
            if self.staged.get(number) == wanted:
                continue
            since = self.spoilt_since.get(number)
            if since is None:
                return f'piece {number} missing or of another version'
            if now - since > 3:
                return f'piece {number} spoilt for {now - since:.2f} s'
        return ''

    async def handle_test(self, request, writer):
        """Do what the test asks for."""
        query = dict(urllib.parse.parse_qsl(request.query))
        if request.path == '/test/drain':
            self.is_draining = True
            await self.beat()
        elif request.path == '/test/arm':
            self.silent_seconds = float(query['silent'])
            self.is_rot_due = query['rot'] == '1'
        writer.write(http11.encode_answer(200, [], b''))
        return True


if __name__ == '__main__':
    asyncio.run(Worker(json.loads(sys.argv[1])).run())
