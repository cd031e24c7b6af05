"""Start the programs of the deploy file on loopback addresses."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import typing

from review import loopback_ports as ports
from standins import keyed_store

ROOT = pathlib.Path(__file__).resolve().parents[1]
#: Bounds of a small deployment, as the settings of the pages show them.
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'stableWindowMs': 3000,
    'ackMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configMs': 2000,
    'rollbackSlackMs': 250,
    'outerMs': 5000,
    'failClosed': False,
    'revokeMs': 5000,
    'budgetRatio': 0.2,
    'budgetWindowS': 10,
    'budgetSlack': 106,
    'recoveryS': 12,
    'passMs': 120,
    'retryAfterS': 0,
    'version_ms': 8000,
    'version_all_ms': 0,
    'ttl_max_s': 5,
}
STABLE_WINDOW_S = 3.0
#: Exit codes of a script.
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
HEARTBEAT_MS = 1200
KEY = 'k3y'
TENANT = 'acme'
HOST = 'h.example'
MODEL = 'm0'
LAYERS = 16
ZONE = 'zone-a'
REGION = 'region-a'


def commands() -> dict[str, str]:
    """Return the command of each role from the deploy file."""
    text = (ROOT / 'deploy' / 'system.toml').read_text()
    roles = tomllib.loads(text)['roles']
    return {name: role['run'] for name, role in roles.items()}


def play(
    folder: pathlib.Path,
    scenario: typing.Callable[[Record], typing.Awaitable[int]],
) -> int:
    """Run a scenario with a record in a folder; return the exit code."""
    record = Record(folder / 'record.txt')
    signal.signal(signal.SIGTERM, _stop)

    async def run() -> int:
        return await scenario(record)

    try:
        code = asyncio.run(run())
    except Exception as error:
        record.line(f'the case could not run: {error!r}')
        code = COULD_NOT_RUN
    record.line(f'exit code {code}')
    return code


def _stop(*signal_details: object) -> typing.NoReturn:
    # What the script has started is ended on the way out.
    raise SystemExit(COULD_NOT_RUN)


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w')
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._began

    def line(self, text: str) -> None:
        """Write a line with the time."""
        self._file.write(f'{self.now():8.3f}  {text}\n')
        self._file.flush()


class System:
    """A store and some entries, each a process with an address of its own."""

    def __init__(self, record: Record, entries: int = 3) -> None:
        self.record = record
        # The programs' port of metrics is fixed, so that two scripts at once
        # need different addresses.
        net, self._guard = ports.claim_net()
        #: The first half of the addresses of workers.
        self.worker_net = f'127.{net}.1'
        self.store = keyed_store.KeyedStore()
        self.ips = [f'127.{net}.0.{number + 1}' for number in range(entries)]
        self.callers: list[str] = []
        self.ready_addresses: list[str] = []
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._folder = tempfile.TemporaryDirectory(prefix='review-')
        self._internal = 0
        self._front = 0
        self._readiness = 0

    @property
    def folder(self) -> pathlib.Path:
        """Return the folder of settings and logs."""
        return pathlib.Path(self._folder.name)

    async def __aenter__(self) -> typing.Self:
        await self.store.__aenter__()
        self._internal, self._front, self._readiness = ports.free(self.ips, 3)
        self.callers = [f'{ip}:{self._front}' for ip in self.ips]
        self.ready_addresses = [f'{ip}:{self._readiness}' for ip in self.ips]
        return self

    async def __aexit__(self, *raised: object) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        await self.store.__aexit__()
        self._folder.cleanup()
        self._guard.close()

    def settings(self, ip: str, **changes: typing.Any) -> dict[str, typing.Any]:
        """Return the settings of an entry."""
        return {
            'nodeName': f'edge-{ip}',
            'role': 'entry',
            'machineClass': 'edge',
            'serves': ['edge', 'registry', 'controller'],
            'ip': ip,
            'zone': ZONE,
            'region': REGION,
            'zones': {ZONE: REGION},
            'listen': {
                'front': f'{ip}:{self._front}',
                'ready': f'{ip}:{self._readiness}',
                'directory': f'{ip}:{self._readiness}',
            },
            'internalPorts': [self._internal, self._internal + 15],
            'seeds': [f'{one}:8000' for one in self.ips[:3]],
            'bootstrap': True,
            'limits': {
                'cpuShare': 0.537,
                'cores': 2,
                'memoryMb': 300,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'registry',
            'heartbeatMs': HEARTBEAT_MS,
            'bounds': BOUNDS,
            'platform': {'address': self.store.address, 'form': 'log'},
            **changes,
        }

    def start(
        self, role: str, name: str, settings: dict[str, typing.Any]
    ) -> subprocess.Popen[bytes]:
        """Start a program of the deploy file."""
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': str(self.folder),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'CLEMENTINEPASS_SETTINGS': str(path),
        }
        command = commands()[role].split()
        if command[0] == 'python3':
            command[0] = sys.executable
        log = (self.folder / f'{name}.log').open('ab')
        process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.processes[name] = process
        self.record.line(f'started {role} {name}')
        return process

    def log_of(self, name: str) -> str:
        """Return the output of a process."""
        return (self.folder / f'{name}.log').read_text(errors='replace')

    async def start_entries(self, **changes: typing.Any) -> None:
        """Start all entries and wait until they are ready."""
        for ip in self.ips:
            self.start('entry', ip, self.settings(ip, **changes))
        for address in self.ready_addresses:
            await self.wait_ready(address)

    async def wait_ready(self, address: str, seconds: float = 30) -> None:
        """Wait until an entry answers that it is ready."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if await readiness(address) == 200:
                self.record.line(f'ready {address}')
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f'{address} does not get ready')

    def configure(self, version: int, routes: list[dict], services: list[dict]):
        """Write a configuration, as the operator does."""
        config = {
            'version': version,
            'routes': routes,
            'services': services,
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 4194304,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
            },
            'tenants': [{'name': TENANT, 'apiKeys': [KEY], 'priority': 0}],
        }
        self.store.put('keyed.op', 'config', config)
        self.record.line(f'configuration {version} acknowledged')


async def readiness(address: str) -> int:
    """Return the status of the readiness check; 0 without an answer."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b'GET /api/readyz HTTP/1.1\r\nHost: r\r\n\r\n')
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return 0
    return int(line.split()[1]) if line else 0
