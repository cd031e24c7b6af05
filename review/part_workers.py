"""Workers of a service, as the pages describe them.

A worker serves one request at a time on a channel, names itself in the list of
workers, and dies of a part of a prompt if it is told to. While it is dead its
address refuses channels; it comes back under the same id with a new ``born``.
"""

from __future__ import annotations

import asyncio
import time
import typing

from review import small_system as system

_READ_SECONDS = 0.02
#: Seconds from the first event of an answer to the worker's end.
_FIRST_SECONDS = 0.03


class Request(typing.NamedTuple):
    """A request as a worker gets it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Worker:
    """A worker in this process.

    :param deadly: part of a prompt that ends the worker; empty for none.
    :param writes_first: whether it writes its first event before it ends.
    """

    def __init__(
        self,
        name: str,
        service: str,
        ip: str,
        world: system.System,
        *,
        deadly: str = '',
        writes_first: bool = False,
        events: int = 6,
        gap: float = 0.06,
        down_seconds: float = 3.0,
    ) -> None:
        self.id = name
        self.service = service
        self.ip = ip
        self.port = 0
        self.deadly = deadly
        self.writes_first = writes_first
        self.events = events
        self.gap = gap
        self.down_seconds = down_seconds
        self.is_draining = False
        #: Time and request of each arrival.
        self.arrivals: list[tuple[float, Request]] = []
        #: Time of each death.
        self.deaths: list[float] = []
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self._world = world
        self._server: asyncio.Server | None = None
        self._channels: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._serving: set[asyncio.Task[None]] = set()
        self._beat: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f'{self.ip}:{self.port}'

    async def start(self) -> None:
        """Listen, and report to the list."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._beat = asyncio.create_task(self._report())

    async def stop(self) -> None:
        """End for good."""
        await self._end()
        for task in list(self._tasks):
            task.cancel()

    async def _end(self) -> None:
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._channels):
            writer.transport.abort()
        for serving in list(self._serving):
            serving.cancel()
        if self._serving:
            await asyncio.wait(self._serving)

    async def _report(self) -> None:
        while True:
            self._sequence += 1
            self._world.store.put('keyed.servers', self.id, self.entry())
            await asyncio.sleep(system.HEARTBEAT_MS / 1000)

    def entry(self) -> dict[str, typing.Any]:
        """Return the worker's entry in the list."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': system.ZONE,
            'version': 'v1',
            'slots': 16,
            'state': 'draining' if self.is_draining else 'ready',
            'coldLeftMs': 0,
            'sequence': self._sequence,
            'born': self.born,
            'phase': 'unified',
            'models': [{'name': system.MODEL, 'version': 1, 'adapters': []}],
            'layers': [{'from': 0, 'target': system.LAYERS, 'version': 1}],
        }

    async def _die(self, why: str) -> None:
        if self._server is None:
            return
        self.deaths.append(self._world.record.now())
        self._world.record.line(f'worker {self.id} crashes: {why}')
        await self._end()
        await asyncio.sleep(self.down_seconds)
        self.born = int(time.time() * 1000)
        self._sequence = 0
        await self.start()
        self._world.record.line(f'worker {self.id} is back')

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._channels.add(writer)
        self._serving.add(typing.cast('typing.Any', asyncio.current_task()))
        try:
            while True:
                request = await _read(reader)
                await self._answer(request, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # Raised again, it would be reported as an error of the channel.
            pass
        finally:
            self._channels.discard(writer)
            self._serving.discard(
                typing.cast('typing.Any', asyncio.current_task())
            )
            writer.close()

    async def _answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        attempt_id = request.headers.get('x-attempt-id', '')
        marked = [
            f'X-Attempt-Id: {attempt_id}',
            f'X-Server-Stamp: stamp-{self.id}-{attempt_id}',
            f'X-Instance-Id: {self.id}',
        ]
        if request.headers.get('x-expect-instance') != self.id:
            _write(writer, 421, marked, b'')
            return
        self.arrivals.append((self._world.record.now(), request))
        parts = [
            part.partition(':')[0]
            for part in request.headers.get('x-prompt-prefix', '').split(',')
        ]
        self._world.record.line(f'worker {self.id} gets {attempt_id}')
        await asyncio.sleep(_READ_SECONDS)
        if self.deadly and self.deadly in parts[:-1]:
            if self.writes_first:
                _write_head(writer, marked)
                _write_event(writer, 1)
                await writer.drain()
                await asyncio.sleep(_FIRST_SECONDS)
            task = asyncio.create_task(self._die(f'began {attempt_id}'))
            self._tasks.add(task)
            await asyncio.Event().wait()
        await self._stream(request, marked, writer)

    async def _stream(
        self, request: Request, marked: list[str], writer: asyncio.StreamWriter
    ) -> None:
        _write_head(writer, marked)
        first = int(request.headers.get('last-event-id', '0')) + 1
        for number in range(first, self.events + 1):
            _write_event(writer, number)
            await writer.drain()
            await asyncio.sleep(self.gap)
        writer.write(b'0\r\n\r\n')
        await writer.drain()


def _write_head(writer: asyncio.StreamWriter, marked: list[str]) -> None:
    lines = [
        'HTTP/1.1 200 OK',
        *marked,
        'Content-Type: text/event-stream',
        'Transfer-Encoding: chunked',
    ]
    writer.write('\r\n'.join([*lines, '', '']).encode())


def _write_event(writer: asyncio.StreamWriter, number: int) -> None:
    event = b'id: %d\ndata: %d\n\n' % (number, number)
    writer.write(b'%x\r\n%b\r\n' % (len(event), event))


def _write(
    writer: asyncio.StreamWriter, status: int, marked: list[str], body: bytes
) -> None:
    lines = [
        f'HTTP/1.1 {status} Status',
        *marked,
        f'Content-Length: {len(body)}',
    ]
    writer.write('\r\n'.join([*lines, '', '']).encode() + body)


async def _read(reader: asyncio.StreamReader) -> Request:
    head = await reader.readuntil(b'\r\n\r\n')
    first, *rest = head.decode('latin-1').split('\r\n')
    method, path, _ = first.split(' ')
    headers = {}
    for line in rest:
        name, _, field = line.partition(':')
        if name:
            headers[name.lower()] = field.strip()
    length = int(headers.get('content-length', '0'))
    return Request(method, path, headers, await reader.readexactly(length))
