"""All entries start again while a worker is cold."""

from __future__ import annotations

import asyncio
import pathlib
import random
import time
import typing

from review import consumer_channels as consumers
from review import small_system as system
from review import store_link as link

SERVICE = 'desk'
#: The service's limits, and the bounds of the site.
_COLD_SECONDS = 8.0
_COLD_RATE = 2.0
_OVERRUN = 1.5
_SLACK = 5
_BOUND = _COLD_RATE * _OVERRUN + _SLACK
#: Requests in a second at which a cold worker crashes, and how long it is down.
_CRASH_RATE = 2 * _BOUND
_DOWN_SECONDS = 3.0
_WORKERS = 3
_CONSUMERS = 24
#: Routes of the configuration that get no requests.
_IDLE_ROUTES = 1000
_ROUNDS = 5
#: The link between the region of the entries and that of the store.
_STORE_MBPS = 14.0
_STORE_DELAY = 0.001


class Worker:
    """A worker with plain answers that is cold after its start."""

    def __init__(self, name: str, ip: str, world: system.System) -> None:
        self.id = name
        self.ip = ip
        self._world = world
        self._port = 0
        self._server: asyncio.Server | None = None
        self._sequence = 0
        self._born = 0
        self.cold_until = 0.0
        #: Times and ids of the requests that came while it was cold.
        self.cold_arrivals: list[tuple[float, str]] = []
        self.crashes = 0
        self._channels: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, *, is_cold: bool) -> None:
        """Start; it is cold for a while if the service has traffic."""
        self._born = int(time.time() * 1000)
        self._sequence = 0
        if is_cold:
            self.cold_until = self._world.record.now() + _COLD_SECONDS
        self._server = await asyncio.start_server(
            self._serve, self.ip, self._port
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.report()

    async def _crash(self) -> None:
        if self._server is None:
            return
        self.crashes += 1
        self._world.record.line(f'cold worker {self.id} crashes')
        self._server.close()
        self._server = None
        for writer in list(self._channels):
            writer.transport.abort()
        await asyncio.sleep(_DOWN_SECONDS)
        await self.start(is_cold=True)

    def _take(self, attempt_id: str) -> None:
        now = self._world.record.now()
        if now >= self.cold_until:
            return
        self.cold_arrivals.append((now, attempt_id))
        self._world.record.line(f'cold worker {self.id} gets {attempt_id}')
        lately = sum(at > now - 1 for at, _ in self.cold_arrivals)
        if lately > _CRASH_RATE:
            self._tasks.add(asyncio.create_task(self._crash()))

    def report(self) -> None:
        """Report to the list of workers; a worker that is down doesn't."""
        if self._server is None:
            return
        self._sequence += 1
        left = max(self.cold_until - self._world.record.now(), 0)
        entry = {
            'service': SERVICE,
            'address': f'{self.ip}:{self._port}',
            'zone': system.ZONE,
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'coldLeftMs': round(left * 1000),
            'sequence': self._sequence,
            'born': self._born,
        }
        self._world.store.put('keyed.servers', self.id, entry)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._channels.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                headers = {}
                for line in head.decode('latin-1').split('\r\n')[1:]:
                    name, _, field = line.partition(':')
                    headers[name.lower()] = field.strip()
                attempt_id = headers.get('x-attempt-id', '')
                self._take(attempt_id)
                await asyncio.sleep(0.03)
                writer.write(
                    'HTTP/1.1 200 OK\r\n'
                    f'X-Attempt-Id: {attempt_id}\r\n'
                    f'X-Server-Stamp: stamp-{self.id}\r\n'
                    f'X-Instance-Id: {self.id}\r\n'
                    'Content-Length: 2\r\n\r\nok'.encode()
                )
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._channels.discard(writer)
            writer.close()


class _ConsumerLog:
    """What consumers sent, and the statuses that they got."""

    def __init__(self) -> None:
        self.sent_at: dict[str, float] = {}
        self.statuses: list[int] = []


def _routes() -> list[dict[str, typing.Any]]:
    def route(name: str, prefix: str) -> dict[str, typing.Any]:
        return {
            'name': name,
            'host': system.HOST,
            'pathPrefix': prefix,
            'routeKind': 'idempotent',
            'maxAttempts': 2,
            'timeoutMs': 1000,
            'sloMs': 300,
            'priority': 2,
            'service': SERVICE,
            'public': False,
        }

    idle = [
        route(f'idle-{one}', f'/idle-{one}/') for one in range(_IDLE_ROUTES)
    ]
    return [route('check', '/check/'), *idle]


async def _play(record: system.Record, *, is_troubled: bool) -> int:
    world = system.System(record, 2)
    bounds = {**system.BOUNDS, 'coldOverrun': _OVERRUN, 'coldSlack': _SLACK}
    workers = [
        Worker(f'w{one}', f'{world.worker_net}.{one + 1}', world)
        for one in range(_WORKERS)
    ]
    log = _ConsumerLog()
    async with world:
        store = link.Link(world.store.address, _STORE_MBPS, _STORE_DELAY)
        await store.start()
        for worker in workers:
            await worker.start(is_cold=False)
        changes = {
            'bounds': bounds,
            'platform': {'address': store.address, 'form': 'log'},
        }
        service = {
            'name': SERVICE,
            'maxConns': 110,
            'coldStartS': _COLD_SECONDS,
            'coldPerS': _COLD_RATE,
        }
        world.configure(1, _routes(), [service])
        await world.start_entries(**changes)
        beat = asyncio.create_task(_beat(workers))
        await asyncio.sleep(system.STABLE_WINDOW_S + 1)
        sending = [
            asyncio.create_task(_consume(number, world, log))
            for number in range(_CONSUMERS)
        ]
        await asyncio.sleep(3)
        for number in range(_ROUNDS):
            added = Worker(
                f'n{number}', f'{world.worker_net}.{number + 20}', world
            )
            await added.start(is_cold=True)
            workers.append(added)
            record.line(f'worker {added.id} is added, cold')
            await asyncio.sleep(3)
            if is_troubled:
                for ip in world.ips:
                    world.processes[ip].kill()
                for ip in world.ips:
                    world.processes[ip].wait()
                record.line('all entries are killed')
                await asyncio.sleep(0.3)
                await world.start_entries(**changes)
            await asyncio.sleep(_COLD_SECONDS - 2)
        await store.stop()
        for task in (*sending, beat):
            task.cancel()
    return _judge(record, workers, log)


async def _beat(workers: list[Worker]) -> None:
    while True:
        await asyncio.sleep(system.HEARTBEAT_MS / 1000)
        for worker in workers:
            worker.report()


async def _consume(
    number: int, world: system.System, log: _ConsumerLog
) -> None:
    """Send requests over a channel that is kept while it works."""
    rng = random.Random(number)
    channel = consumers.Channel(rng.choice(world.callers))
    while True:
        attempt_id = consumers.new_id('c')
        log.sent_at[attempt_id] = world.record.now()
        answer = await channel.send(
            '/check/a',
            attempt_id,
            method='GET',
            deadline_ms=1000,
        )
        if answer.status:
            log.statuses.append(answer.status)
        else:
            channel.close()
            channel = consumers.Channel(rng.choice(world.callers))
        await asyncio.sleep(rng.uniform(0.1, 0.3))


def _judge(
    record: system.Record, workers: list[Worker], log: _ConsumerLog
) -> int:
    good = sum(status == 200 for status in log.statuses)
    record.line(f'answered with 200: {good} of {len(log.statuses)}')
    worst = 0
    for worker in workers:
        most = _most_in_a_second(worker.cold_arrivals, log.sent_at)
        record.line(
            f'{worker.id}: most requests in a second while cold: {most} '
            f'(allowed: {_BOUND:g}), crashes: {worker.crashes}'
        )
        worst = max(worst, most)
    if not good:
        return system.COULD_NOT_RUN
    return system.BROKEN if worst > _BOUND else system.HELD


def _most_in_a_second(
    arrivals: list[tuple[float, str]], sent_at: dict[str, float]
) -> int:
    """Return the most requests that were sent and arrived in one second.

    They are taken as sent when the consumer sent them, which is earlier than
    the entry did, so that none is counted too often.
    """
    spans = [(sent_at.get(name, at), at) for at, name in arrivals]
    return max(
        (
            sum(begin <= sent and at < begin + 1 for sent, at in spans)
            for begin, _ in spans
        ),
        default=0,
    )


def play(folder: pathlib.Path, *, is_troubled: bool) -> int:
    """Play the case; return the exit code."""
    return system.play(
        folder, lambda record: _play(record, is_troubled=is_troubled)
    )
