"""A worker ends while streams without a length are running there."""

from __future__ import annotations

import asyncio
import itertools
import os
import pathlib
import re
import signal
import subprocess
import sys
import typing

from review.harness2 import consumers, deadly, system

EVENTS = 40
GAP = 0.1
_WORKERS = 6
#: How many crashes there are, or workers that leave, one after the other, and
#: the seconds between.
_CRASHES = 20
_LEAVERS = 4
_GAP_OF_ENDS = 1.0
#: Seconds for which a crashed worker is down.
_DOWN_SECONDS = 2.0
#: Seconds from the report that a worker leaves to its end: ``drainMs`` and a
#: little longer.
_LEAVES_AFTER = 2.3
_SEND_GAP = 0.075


class Remote:
    """A worker in a process of its own."""

    def __init__(self, name: str, ip: str, world: system.System) -> None:
        self.id = name
        self.ip = ip
        self._world = world
        self._starts = 0
        self._sequence = 0
        self.is_draining = False
        self.process: subprocess.Popen[bytes] | None = None
        self._address = ''
        self._born = 0

    async def start(self) -> None:
        """Start the process and wait for its port."""
        self._starts += 1
        path = self._world.folder / f'{self.id}-{self._starts}.out'
        output = path.open('wb')
        self.process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'review.harness2.worker_process',
                self.id,
                self.ip,
                str(EVENTS),
                str(GAP),
            ],
            cwd=system.ROOT,
            stdout=output,
        )
        output.close()
        self._world.processes[path.name] = self.process
        for _ in range(100):
            first = path.read_text().split('\n')[0].split()
            if len(first) == 2:
                self._address = f'{self.ip}:{first[0]}'
                self._born = int(first[1])
                self._sequence = 0
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f'{self.id} does not start')

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        """End the process; the system closes its channels."""
        if self.process is not None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def report(self) -> None:
        """Report to the list of workers."""
        self._sequence += 1
        entry: dict[str, typing.Any] = {
            'service': deadly.SERVICE,
            'address': self._address,
            'zone': system.ZONE,
            'version': 'v1',
            'slots': 16,
            'state': 'draining' if self.is_draining else 'ready',
            'coldLeftMs': 0,
            'sequence': self._sequence,
            'born': self._born,
            'phase': 'unified',
            'models': [{'name': system.MODEL, 'version': 1, 'adapters': []}],
            'layers': [{'from': 0, 'target': system.LAYERS, 'version': 1}],
        }
        self._world.store.put('keyed.servers', self.id, entry)


async def _play(record: system.Record, *, announces: bool) -> int:
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    world = system.System(record, 3)
    async with world:
        remotes = [
            Remote(f'w{number}', f'{world.worker_net}.{number + 1}', world)
            for number in range(_WORKERS)
        ]
        for remote in remotes:
            await remote.start()
            remote.report()
        beat = asyncio.create_task(_beat(remotes))
        world.configure(1, deadly.routes(), deadly.services())
        await world.start_entries()
        await asyncio.sleep(system.STABLE_WINDOW_S + 1)
        streams: list[asyncio.Task[consumers.Answer]] = []
        sending = asyncio.create_task(_send_all(record, world, streams))
        trouble = _leave if announces else _crash
        for number in range(_LEAVERS if announces else _CRASHES):
            await asyncio.sleep(_GAP_OF_ENDS)
            if is_troubled:
                await trouble(record, world, remotes[number % _WORKERS])
            else:
                await asyncio.sleep(_DOWN_SECONDS)
        sending.cancel()
        answers = await asyncio.gather(*streams)
        beat.cancel()
        for name in sorted(path.name for path in world.folder.glob('*.out')):
            for line in (world.folder / name).read_text().splitlines():
                record.line(f'{name}: {line}')
    return _judge(record, answers)


async def _crash(
    record: system.Record, world: system.System, remote: Remote
) -> None:
    """End a worker without notice; it is back after some seconds."""
    remote.end()
    record.line(f'{remote.id} crashes')
    await asyncio.sleep(_DOWN_SECONDS)
    await remote.start()
    remote.report()
    record.line(f'{remote.id} is back')


async def _leave(
    record: system.Record, world: system.System, remote: Remote
) -> None:
    """Let a worker report that it leaves, and end after its time."""
    remote.is_draining = True
    remote.report()
    record.line(f'{remote.id} reports draining')
    await asyncio.sleep(_LEAVES_AFTER)
    remote.end()
    world.store.put('keyed.servers', remote.id, None)
    record.line(f'{remote.id} is gone')


async def _send_all(
    record: system.Record,
    world: system.System,
    streams: list[asyncio.Task[consumers.Answer]],
) -> None:
    for number in itertools.count():
        address = world.callers[number % len(world.callers)]
        streams.append(asyncio.create_task(_send(record, address)))
        await asyncio.sleep(_SEND_GAP)


async def _beat(remotes: list[Remote]) -> None:
    while True:
        await asyncio.sleep(system.HEARTBEAT_MS / 1000)
        for remote in remotes:
            if remote.is_running:
                remote.report()


async def _send(record: system.Record, address: str) -> consumers.Answer:
    attempt_id = consumers.new_id('s')
    answer = await consumers.send(
        address,
        '/chat/a',
        attempt_id,
        headers={
            'X-Model': system.MODEL,
            'X-Token-Usage': '60,240',
            'X-Prompt-Prefix': f'0000aaaa:40,{attempt_id[1:]}:20',
        },
        body=attempt_id.encode(),
    )
    record.line(
        f'consumer {attempt_id}: {answer.status} '
        f'complete={answer.is_complete} events={_ids(answer)[-1:]} of {EVENTS}'
    )
    return answer


def _ids(answer: consumers.Answer) -> list[int]:
    return [
        int(one)
        for one in re.findall(rb'^id: (\d+)$', answer.body, re.MULTILINE)
    ]


def _judge(record: system.Record, answers: list[consumers.Answer]) -> int:
    whole = list(range(1, EVENTS + 1))
    served = [one for one in answers if one.status == 200]
    short = [one.id for one in served if one.is_complete and _ids(one) != whole]
    record.line(f'answered with 200: {len(served)} of {len(answers)}')
    record.line(f'ended as complete with pieces missing: {short}')
    if not served:
        return 2
    return system.BROKEN if short else 0


def play(folder: pathlib.Path, *, announces: bool = True) -> int:
    """Play the case; return the exit code."""
    record = system.Record(folder / 'record.txt')
    try:
        code = asyncio.run(_play(record, announces=announces))
    except Exception as error:
        record.line(f'the case could not run: {error!r}')
        code = 2
    record.line(f'exit code {code}')
    return code
