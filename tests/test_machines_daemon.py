"""Tests of the daemon on the users' machines, as a process."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile
import typing

import testtools

from clementinepass.direct import exposition
from clementinepass.http import messages, pool
from standins import direct_endpoint, keyed_store, machines

IP = '127.3.0.1'
ROOT = pathlib.Path(__file__).parent.parent
#: Signals that come in series, a request under way at each.
_SIGNALS = 9


class Daemon:
    """One entry as a process."""

    def __init__(self, store: str) -> None:
        folder = tempfile.mkdtemp()
        self.path = pathlib.Path(folder) / 'settings.json'
        self.ports = [machines.free_port([IP]) for _ in range(3)]
        self.settings: dict[str, typing.Any] = {
            'nodeName': 'e',
            'ip': IP,
            'zone': 'a',
            'region': 'a',
            'listen': {
                'front': f'{IP}:{self.ports[0]}',
                'ready': f'{IP}:{self.ports[1]}',
            },
            'internalPorts': [self.ports[2]],
            'platform': {'address': store},
            'bounds': {'graceS': 0.5},
        }
        self.path.write_text(json.dumps(self.settings))
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start it."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'clementinepass.machines',
            'entry',
            stdout=asyncio.subprocess.PIPE,
            env={
                **os.environ,
                'CLEMENTINEPASS_SETTINGS': str(self.path),
                'PYTHONPATH': str(ROOT),
            },
        )

    async def end(self) -> None:
        """End it, whatever it does."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    async def line(self, message: str) -> dict[str, typing.Any]:
        """Return its next line with a message."""
        assert self.process is not None
        assert self.process.stdout is not None
        while True:
            raw = await self.process.stdout.readline()
            assert raw, 'the process has ended'
            found: dict[str, typing.Any] = json.loads(raw)
            if found['message'] == message:
                return found


async def get(port: int, target: bytes) -> pool.Answer:
    """Ask the daemon."""
    request = messages.request_bytes(b'GET', target, [(b'Host', b'h')], b'')
    return await pool.fetch(pool.Pool(IP, port), request, 10)


class DaemonTest(testtools.TestCase):
    """Signals, settings and metrics of a process."""

    def test_life(self) -> None:
        """It starts, takes new settings, shows metrics and leaves.

        SIGHUP says that the settings have changed. Without a handler it ends
        the process, and all callers' requests with it.
        """

        async def play() -> None:
            async with keyed_store.KeyedStore() as store:
                store.put('keyed.op', 'config', machines.CONFIG)
                daemon = Daemon(store.address)
                try:
                    await self._live(daemon)
                finally:
                    await daemon.end()

        async def bounded() -> None:
            async with asyncio.timeout(60):
                await play()

        asyncio.run(bounded())

    async def _live(self, daemon: Daemon) -> None:
        await daemon.start()
        await daemon.line('entry ready')
        self.assertEqual(
            200,
            (await get(daemon.ports[1], b'/api/readyz')).status,
        )
        daemon.signal(signal.SIGHUP)
        read = await daemon.line('settings read')
        self.assertFalse(read['changed'])
        changed = {**daemon.settings, 'bounds': {'graceS': 0.4}}
        daemon.path.write_text(json.dumps(changed))
        daemon.signal(signal.SIGHUP)
        read = await daemon.line('settings read')
        self.assertTrue(read['changed'])
        daemon.path.write_text('{')
        daemon.signal(signal.SIGHUP)
        await daemon.line(await self._stays(daemon))
        metrics = await get(exposition.PORT, b'/metrics')
        self.assertIn(
            b'clementinepass_configuration_version 1',
            metrics.body,
        )
        daemon.signal(signal.SIGTERM)
        await daemon.line('stopped')
        assert daemon.process is not None
        self.assertEqual(0, await daemon.process.wait())

    async def _stays(self, daemon: Daemon) -> str:
        """Wait until bad settings were refused; return the next message."""
        assert daemon.process is not None
        assert daemon.process.stdout is not None
        while True:
            found = json.loads(await daemon.process.stdout.readline())
            if found['message'].startswith('settings stay'):
                daemon.path.write_text(json.dumps(daemon.settings))
                daemon.signal(signal.SIGHUP)
                return 'settings read'

    def test_signals_under_requests(self) -> None:
        """A caller's answer was cut when the settings were read anew.

        Signals come in series, with other settings and with none that can be
        read, while requests are under way on kept connections and new ones
        come. All are answered, by the same process.
        """

        async def play() -> None:
            async with keyed_store.KeyedStore() as store:
                desk = direct_endpoint.DirectEndpoint('i-desk')
                async with desk:
                    store.put('keyed.op', 'config', machines.CONFIG)
                    listing = {
                        'service': 'desk',
                        'address': desk.address,
                        'zone': 'a',
                        'slots': 16,
                        'state': 'ready',
                        'sequence': 1,
                    }
                    store.put('keyed.servers', 'i-desk', listing)
                    daemon = Daemon(store.address)
                    try:
                        await self._signalled(daemon, desk)
                    finally:
                        await daemon.end()

        async def bounded() -> None:
            async with asyncio.timeout(60):
                await play()

        asyncio.run(bounded())

    async def _signalled(
        self,
        daemon: Daemon,
        desk: direct_endpoint.DirectEndpoint,
    ) -> None:
        await daemon.start()
        await daemon.line('entry ready')
        request = messages.request_bytes(
            b'GET',
            b'/plain/a',
            [(b'Host', b'h'), (b'X-Attempt-Id', b'r')],
            b'',
        )
        callers = pool.Pool(IP, daemon.ports[0])
        async with asyncio.TaskGroup() as tasks:
            asked = []
            for number in range(_SIGNALS):
                desk.going.clear()
                one = pool.fetch(callers, request, 10)
                asked.append(tasks.create_task(one))
                while len(desk.ran) <= number:
                    await asyncio.sleep(0.01)
                grace = {'graceS': 0.5 + number / 10}
                changed = {**daemon.settings, 'bounds': grace}
                is_bad = number % 3 == 2
                text = '{' if is_bad else json.dumps(changed)
                daemon.path.write_text(text)
                daemon.signal(signal.SIGHUP)
                await asyncio.sleep(0.05)
                if number % 2:
                    desk.going.set()
            desk.going.set()
        statuses = {task.result().status for task in asked}
        self.assertEqual({200}, statuses)
        self.assertEqual(_SIGNALS, len(desk.ran))
        assert daemon.process is not None
        self.assertIsNone(daemon.process.returncode)

    def test_bad_settings(self) -> None:
        """Settings that can't be read end it with one line that says why."""

        async def play() -> None:
            daemon = Daemon('127.0.0.1:1')
            daemon.path.write_text('{}')
            await daemon.start()
            assert daemon.process is not None
            output, _ = await daemon.process.communicate()
            self.assertEqual(2, daemon.process.returncode)
            line = json.loads(output)
            self.assertIn('no settings', line['message'])

        asyncio.run(play())
