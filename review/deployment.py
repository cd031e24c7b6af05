"""Stand-in for the platform: its store, and the starts of processes.

The store follows the page on the platform's metadata store as far as the
programs call it: keyed topics with ``log-append``, ``log-newest`` and
``log-read``.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time
import urllib.parse

import http11

ROOT = pathlib.Path(__file__).resolve().parents[1]
#: Seconds without a word of a worker after which its entry is removed.
_LAPSE_SECONDS = 3.6
#: Ports of entries, of workers, and of the metrics of the programs.
_FIXED_PORTS = (8001, 8002, 8005, 8009, 9464, *range(8100, 8106))


class Record:
    """What was sent, answered and run, as lines of ``record.txt``."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self._start = time.monotonic()

    def note(self, *words):
        """Write one line with the seconds since the start."""
        seconds = time.monotonic() - self._start
        print(f'{seconds:8.3f}', *words, file=self._file, flush=True)


class Store:
    """The platform's store."""

    def __init__(self):
        self._topics = {}
        self._changed = asyncio.Event()
        self._seen = {}
        self.address = ''

    async def listen(self, host):
        """Listen on a free port of an address."""
        server = await http11.serve(host, 0, self._handle)
        self.address = f'{host}:{server.sockets[0].getsockname()[1]}'
        asyncio.ensure_future(self._lapse())

    def put(self, topic, key, value):
        """Append a record; ``None`` removes the key."""
        payload = b'' if value is None else json.dumps(value).encode()
        name = key.encode()
        self._topic(topic).append(bytes((len(name),)) + name + payload)
        self._wake()

    def _topic(self, topic):
        return self._topics.setdefault(topic, [])

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _lapse(self):
        while True:
            await asyncio.sleep(0.2)
            for key, at in list(self._seen.items()):
                if time.monotonic() - at > _LAPSE_SECONDS:
                    del self._seen[key]
                    self.put('keyed.servers', key, None)

    def beat(self, key, value):
        """Take a liveness report of a worker; a record if it changed."""
        known = self._newest('keyed.servers').get(key)
        self._seen[key] = time.monotonic()
        if known is not None:
            before = json.loads(known[1])
            if {**before, 'sequence': 0} == {**value, 'sequence': 0}:
                return
        self.put('keyed.servers', key, value)

    def _newest(self, topic):
        newest = {}
        for offset, record in enumerate(self._topic(topic)):
            end = 1 + record[0]
            newest[record[1:end].decode()] = (offset, record[end:])
        return {key: pair for key, pair in newest.items() if pair[1]}

    async def _handle(self, request, writer):
        query = dict(urllib.parse.parse_qsl(request.query))
        if request.path == '/beat':
            beat = json.loads(request.body)
            self.beat(beat['id'], beat['entry'])
            return self._send(writer, b'{}')
        topic = self._topic(query['topic'])
        if request.path == '/api/log-append':
            position = 0
            first = len(topic)
            while position < len(request.body):
                end = position + 4
                length = int.from_bytes(request.body[position:end], 'big')
                topic.append(request.body[end : end + length])
                position = end + length
            self._wake()
            answer = {'offset': first, 'endOffset': len(topic)}
            return self._send(writer, json.dumps(answer).encode())
        if request.path == '/api/log-newest':
            after = query.get('after', '')
            entries = [
                {
                    'key': key,
                    'offset': offset,
                    'value': base64.b64encode(payload).decode(),
                }
                for key, (offset, payload) in sorted(
                    self._newest(query['topic']).items()
                )
                if key > after
            ]
            answer = {
                'entries': entries,
                'hasMore': False,
                'endOffset': len(topic),
            }
            return self._send(writer, json.dumps(answer).encode())
        return await self._read(topic, query, writer)

    async def _read(self, topic, query, writer):
        first = int(query['from'])
        deadline = time.monotonic() + int(query.get('waitMs', '0')) / 1000
        while len(topic) <= first and time.monotonic() < deadline:
            changed = self._changed
            try:
                async with asyncio.timeout(deadline - time.monotonic()):
                    await changed.wait()
            except TimeoutError:
                break
        parts = [len(topic).to_bytes(8, 'big'), bytes(8)]
        for record in topic[first:]:
            parts.append(len(record).to_bytes(4, 'big') + record)
        return self._send(writer, b''.join(parts))

    def _send(self, writer, body):
        pairs = [('Store-Era', '1'), ('Content-Type', 'application/json')]
        writer.write(http11.encode_answer(200, pairs, body))
        return True


class Platform:
    """Starts and ends the processes of a deployment on loopback addresses."""

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        #: The first three numbers of all addresses, and the internal port.
        self.net, self.port = self._find_free()
        self.store = Store()
        self.processes = {}
        self._settings = {}

    def ip(self, number):
        """Return the address of a machine."""
        return f'{self.net}.{number}'

    def _find_free(self):
        """Return a network and a port where the deployment can listen.

        :raises OSError: there is none.
        """
        for _ in range(50):
            net = f'127.{random.randrange(20, 250)}.{random.randrange(250)}'
            port = random.randrange(12000, 28000)
            if all(
                _is_free(f'{net}.{number}', used)
                for number in range(1, 9)
                for used in (*_FIXED_PORTS, port)
            ):
                return net, port
        raise OSError('no port is free')

    def settings(self, number, role, **changes):
        """Write the settings file of a process of the system."""
        ip = self.ip(number)
        is_entry = role == 'entry'
        listen = {}
        if is_entry:
            listen = {
                'front': f'{ip}:8005',
                'ready': f'{ip}:8002',
                'control': f'{ip}:8000',
                'directory': f'{ip}:8009',
            }
        name = f'{role}-{number}'
        fields = {
            'nodeName': name,
            'role': role,
            'ip': ip,
            'zone': 'hall-a',
            'region': 'region-a',
            'zones': {'hall-a': 'region-a'},
            'listen': listen,
            'internalPorts': [self.port, self.port + 15],
            'seeds': [f'{self.ip(1)}:8000'],
            'limits': {
                'memoryMb': 300 if is_entry else 168,
                'linkMbps': 1000.0 if is_entry else 3.65,
            },
            'heartbeatMs': 1200,
            'bounds': {
                'stableWindowMs': 3000,
                'drainMs': 2000,
                'graceS': 8,
                'budgetRatio': 0.2,
                'budgetWindowS': 10,
                'budgetSlack': 106,
                'version_ms': 8000,
                'recoveryS': 12,
                'ttl_max_s': 5,
            },
            'platform': {'address': self.store.address, 'form': 'log'},
            **changes,
        }
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(fields))
        self._settings[name] = path
        return name

    async def start_role(self, name):
        """Start a process with the command of the deploy file."""
        role = name.partition('-')[0]
        await self.start(
            name,
            ['python3', '-m', 'clementinepass.machines', role],
            {
                'CLEMENTINEPASS_SETTINGS': str(self._settings[name]),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            },
        )

    async def start_standin(self, name, script, options):
        """Start a stand-in as a process of its own."""
        await self.start(
            name,
            ['python3', str(ROOT / 'review' / script)] + [json.dumps(options)],
            {'PYTHONPATH': str(ROOT / 'review')},
        )

    async def start(self, name, command, variables):
        """Start a process at the root of the repository."""
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME')
            if key in os.environ
        }
        log = (self.folder / f'{name}.log').open('ab')
        process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env={
                **environment,
                'PYTHONDONTWRITEBYTECODE': '1',
                **variables,
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.processes[name] = process
        self.record.note('started', name)

    def signal(self, name, number):
        """Send a signal to a process."""
        self.record.note('signal', signal.Signals(number).name, name)
        self.processes[name].send_signal(number)

    def log_lines(self, name, message):
        """Return the log lines of a process with a message."""
        found = []
        for raw in (self.folder / f'{name}.log').read_text().splitlines():
            try:
                line = json.loads(raw)
            except ValueError:
                continue
            if isinstance(line, dict) and line.get('message') == message:
                found.append(line)
        return found

    async def wait_ready(self, number, seconds=15):
        """Wait until an entry says that it is ready.

        :raises TimeoutError: it does not in time.
        """
        async with asyncio.timeout(seconds):
            while True:
                try:
                    status, _, _ = await http11.exchange(
                        f'{self.ip(number)}:8002',
                        'GET',
                        '/api/readyz',
                        seconds=1,
                    )
                    if status == 200:
                        return
                except (OSError, TimeoutError):
                    pass
                await asyncio.sleep(0.05)

    async def close(self):
        """End all processes and remove the temporary folder."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            await process.wait()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def _is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as one:
            try:
                one.bind((ip, port))
            except OSError:
                return False
    return True


def run(folder, scenario, trouble):
    """Run a scenario and exit: 1 broken, 0 held, 2 could not run.

    :param trouble: whether to play the disruption.
    :param scenario: ``scenario(platform, trouble)`` returns the words that say
        how the rule was broken; none if it held.
    """

    async def play():
        record = Record(folder)
        record.note('trouble' if trouble else 'no trouble')
        platform = Platform(record)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await platform.store.listen(platform.ip(9))
            async with asyncio.timeout(110):
                broken = await scenario(platform, trouble)
        finally:
            await platform.close()
        for line in broken:
            record.note('BROKEN', line)
            print('BROKEN', line)
        record.note('result', 'broken' if broken else 'held')
        print('broken' if broken else 'held')
        return 1 if broken else 0

    try:
        status = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:
        print('could not run:', repr(error))
        status = 2
    raise SystemExit(status)
