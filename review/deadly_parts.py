"""A part of a prompt crashes the workers that begin to answer it."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import random
import typing

from review import consumer_channels as consumers
from review import part_workers as workers
from review import small_system as system

SERVICE = 'pool'
DEADLY = 'dead0001'
#: The rule allows so many requests with the part after the fifth crash.
_ALLOWED = 3
_CRASHES = 5


@dataclasses.dataclass
class Plan:
    """What consumers send.

    :param parts: parts of each prompt before the request's own.
    :param position: where the deadly part stands among them, from 1.
    :param seconds: how long requests are sent.
    :param gap: seconds between two times at which deadly requests are sent.
    :param burst: how many of them are sent at once.
    """

    parts: int
    position: int
    seconds: float
    gap: float
    burst: int
    workers: int = 5
    entries: int = 3
    sound_gap: float = 0.1
    down_seconds: float = 3.0
    #: Whether workers write the first event before they crash.
    writes_first: bool = False
    #: Whether sound requests come over one kept channel to the first entry, and
    #: deadly ones over one to each of the others.
    is_apart: bool = False


def routes() -> list[dict[str, typing.Any]]:
    """Return the routes of the configuration."""
    return [
        {
            'name': 'chat',
            'host': system.HOST,
            'pathPrefix': '/chat/',
            'routeKind': 'streaming',
            'resumable': True,
            'sticky': True,
            'maxAttempts': 2,
            'timeoutMs': 6000,
            'sloMs': 400,
            'gapTargetMs': 300,
            'priority': 1,
            'service': SERVICE,
            'public': False,
        }
    ]


def services() -> list[dict[str, typing.Any]]:
    """Return the services of the configuration."""
    engine = {
        'slots': 16,
        'models': [{'name': system.MODEL}],
        'layers': system.LAYERS,
        'chunks': 96,
        'chunkBytes': 24576,
        'step_ms': 6.73,
        'read_per_s': 30600.0,
        'usual': {'prompt': 900.0, 'answer': 120.0},
    }
    return [{'name': SERVICE, 'maxConns': 274, 'engine': engine}]


class Play:
    """One play of a plan.

    :param is_troubled: whether the part crashes workers.
    """

    def __init__(
        self, plan: Plan, record: system.Record, *, is_troubled: bool
    ) -> None:
        self.plan = plan
        self.record = record
        self.world = system.System(record, plan.entries)
        self.workers = [
            workers.Worker(
                f'w{number}',
                SERVICE,
                f'{self.world.worker_net}.{number + 1}',
                self.world,
                deadly=DEADLY if is_troubled else '',
                writes_first=plan.writes_first,
                down_seconds=plan.down_seconds,
            )
            for number in range(plan.workers)
        ]
        self._rng = random.Random(7)
        self._tasks: set[asyncio.Task[None]] = set()
        self._end: float = 0
        self.statuses: dict[str, int] = {}

    async def run(self) -> int:
        """Return the exit code."""
        async with self.world:
            try:
                for worker in self.workers:
                    await worker.start()
                self.world.configure(1, routes(), services())
                await self.world.start_entries()
                # Machines are in touch so long after their start.
                await asyncio.sleep(system.STABLE_WINDOW_S + 1)
                await self._send_all()
                return self._judge()
            finally:
                for worker in self.workers:
                    await worker.stop()

    async def _send_all(self) -> None:
        loop = asyncio.get_running_loop()
        self._end = loop.time() + self.plan.seconds
        if self.plan.is_apart:
            first, *others = self.world.callers
            senders = [self._keep_sending(first, 'ok')]
            senders += [self._keep_sending(one, 'bad') for one in others]
            await asyncio.gather(*senders)
            return
        sound = asyncio.create_task(self._send_sound())
        await asyncio.sleep(2)
        while loop.time() < self._end:
            for number in range(self.plan.burst):
                address = self.world.callers[number % len(self.world.callers)]
                if self.plan.burst == 1:
                    address = self._rng.choice(self.world.callers)
                self._start(address, 'bad')
            await asyncio.sleep(self.plan.gap)
        sound.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=8)

    async def _send_sound(self) -> None:
        while True:
            self._start(self._rng.choice(self.world.callers), 'ok')
            await asyncio.sleep(self.plan.sound_gap)

    async def _keep_sending(self, address: str, prefix: str) -> None:
        """Send one request after the other over a kept channel."""
        channel = consumers.Channel(address)
        gap = self.plan.sound_gap
        if prefix == 'bad':
            gap = self.plan.gap
            await asyncio.sleep(2)
        while asyncio.get_running_loop().time() < self._end:
            await self._send(channel, prefix, is_last=False)
            await asyncio.sleep(gap)
        channel.close()

    def _start(self, address: str, prefix: str) -> None:
        channel = consumers.Channel(address)
        task = asyncio.create_task(self._send(channel, prefix, is_last=True))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(
        self, channel: consumers.Channel, prefix: str, *, is_last: bool
    ) -> None:
        attempt_id = consumers.new_id(prefix)
        shared = [f'{number:08x}' for number in range(1, self.plan.parts + 1)]
        shared[self.plan.position - 1] = (
            DEADLY if prefix == 'bad' else 'a5afe001'
        )
        own = f'{self._rng.getrandbits(32):08x}'
        prompt = ','.join(f'{one}:20' for one in [*shared, own])
        answer = await channel.send(
            '/chat/a',
            attempt_id,
            headers={
                'X-Model': system.MODEL,
                'X-Token-Usage': f'{20 * (self.plan.parts + 1)},40',
                'X-Prompt-Prefix': prompt,
            },
            body=own.encode() * 8,
            is_last=is_last,
        )
        self.statuses[attempt_id] = answer.status
        self.record.line(
            f'consumer {attempt_id} via {channel.address}: {answer.status} '
            f'complete={answer.is_complete} in {answer.seconds:.3f} s'
        )

    def _judge(self) -> int:
        deaths = sorted(at for one in self.workers for at in one.deaths)
        arrivals = sorted(
            (at, request.headers['x-attempt-id'])
            for one in self.workers
            for at, request in one.arrivals
            if f'{DEADLY}:' in request.headers.get('x-prompt-prefix', '')
        )
        served = [
            status
            for name, status in self.statuses.items()
            if name.startswith('ok')
        ]
        good = sum(status == 200 for status in served)
        self.record.line(f'sound requests with 200: {good} of {len(served)}')
        self.record.line(f'crashes: {len(deaths)}')
        if not good:
            self.record.line('nothing was served: the case could not run')
            return system.COULD_NOT_RUN
        if len(deaths) < _CRASHES:
            self.record.line('fewer than five crashes: the rule held')
            return system.HELD
        since = deaths[_CRASHES - 1] + system.STABLE_WINDOW_S
        late = [name for at, name in arrivals if at > since]
        self.record.line(
            f'fifth crash at {deaths[_CRASHES - 1]:.3f}; requests with the '
            f'part that reached workers after {since:.3f}: {len(late)} '
            f'(allowed: {_ALLOWED})'
        )
        return system.BROKEN if len(late) > _ALLOWED else system.HELD


def play(plan: Plan, folder: pathlib.Path, *, is_troubled: bool) -> int:
    """Play a plan; return the exit code."""
    return system.play(
        folder,
        lambda record: Play(plan, record, is_troubled=is_troubled).run(),
    )
