"""A model engine of the direct path that works in passes.

Serves callers' requests as the users' engines do: a number of requests at once
and a short queue, prompts read in chunks between the tokens of others, several
tokens an event.  What takes time there takes time here.
"""

from __future__ import annotations

import asyncio
import collections
import time
import typing

from standins import cold_start, weights_origin

if typing.TYPE_CHECKING:
    from clementinepass.http import messages, replies

_OK = 200
_MISDIRECTED = 421
_UNAVAILABLE = 503
#: Tokens of an event, and of each pass for each request that is writing.
STRIDE = 6
#: Requests that run at once, and that wait for that.
SLOTS = 16
QUEUE = 32
#: Seconds for a token of each running request, and what each of them adds.
STEP_SECONDS = 0.00673
_STEP_EACH = 0.0000219
#: Prompt tokens read in a second, and in one pass at most.
READ_PER_SECOND = 30600
_CHUNK = 2048
#: Seconds that loading takes.
_LOAD_SECONDS = 0.3


class Run(typing.NamedTuple):
    """A request that began to run."""

    id: str
    version: int
    #: Monotonic seconds.
    at: float


class Arrival(typing.NamedTuple):
    """A request that reached the engine it was meant for."""

    target: bytes
    #: Monotonic seconds.
    at: float


class _Job:
    """One request in the engine."""

    def __init__(
        self,
        request_id: str,
        rank: int,
        prompt: int,
        events: int,
    ) -> None:
        self.id = request_id
        #: 0 is admitted first.
        self.rank = rank
        self.unread = prompt
        self.left = events
        #: Grows by one with each event; ends with ``None``.
        self.events: asyncio.Queue[bool | None] = asyncio.Queue()


class SteppingEngine(weights_origin.LoadingEngine):
    """One engine.

    :param endpoint_id: the id that requests must name.
    """

    def __init__(
        self,
        endpoint_id: str,
        layers: int,
        chunks: int,
        version: int = 0,
    ) -> None:
        super().__init__(layers, chunks, version)
        self.id = endpoint_id
        #: Requests that began to run, in order.
        self.runs: list[Run] = []
        #: Requests that came, in order.
        self.arrivals: list[Arrival] = []
        #: What it takes while it is cold.
        self.cold = cold_start.ColdLimit()
        self._waiting: collections.deque[_Job] = collections.deque()
        self._running: list[_Job] = []
        self._work = asyncio.Event()
        #: Nothing goes on while it isn't set.
        self.going = asyncio.Event()
        self.going.set()
        self._passes: asyncio.Task[None] | None = None
        self._loading_until: float = 0
        #: Until this time everything is turned away, with a ``Retry-After`` of
        #: so many seconds.
        self.shed_until: float = 0
        self.retry_after: float = 0
        #: Monotonic seconds at which requests were turned away so, with their
        #: ``Retry-After``.
        self.shed: list[tuple[float, float]] = []

    async def listen(self, ip: str) -> None:
        """Listen on a port of its own, and work."""
        await super().listen(ip)
        self._passes = asyncio.create_task(self._keep_passing())

    async def close(self) -> None:
        """Stop."""
        if self._passes is not None:
            self._passes.cancel()
        await super().close()

    async def _handle(
        self,
        request: messages.Request,
        reply: replies.Reply,
    ) -> None:
        await self.going.wait()
        if request.target.startswith(b'/api/'):
            await super()._handle(request, reply)
        elif self._is_meant(request):
            await self._serve(request, reply)
        else:
            reply.send(_MISDIRECTED, self._marked(request), b'')

    def _order(
        self,
        order: dict[str, typing.Any],
        reply: replies.Reply,
    ) -> None:
        before = len(self.orders)
        super()._order(order, reply)
        if len(self.orders) == before:
            return
        self._loading_until = time.monotonic() + _LOAD_SECONDS
        self._cut()

    def restart(self, *, keep_staged: bool = True) -> None:
        """Crash and start again, cutting all that runs or waits."""
        super().restart(keep_staged=keep_staged)
        self.cold.begin(time.monotonic())
        self._cut()

    def entry(self, service: str, domain: str) -> dict[str, typing.Any]:
        """Return what the engine writes of itself into the list."""
        cold_left = self.cold.left_ms(time.monotonic())
        return {**super().entry(service, domain), 'coldLeftMs': cold_left}

    def _cut(self) -> None:
        for job in (*self._running, *self._waiting):
            job.events.put_nowait(False)
        self._running.clear()
        self._waiting.clear()

    def _is_meant(self, request: messages.Request) -> bool:
        expected = request.headers.get(b'x-expect-instance')
        version = request.headers.get(b'x-expect-version')
        if version is not None and int(version) != self.version:
            return False
        return expected == self.id.encode() and self.version > 0

    async def _serve(
        self,
        request: messages.Request,
        reply: replies.Reply,
    ) -> None:
        now = time.monotonic()
        self.arrivals.append(Arrival(request.target, now))
        if self.cold.record(now):
            self.restart(keep_staged=False)
            reply.abort()
            return
        if now < self.shed_until:
            self.shed.append((now, self.retry_after))
            pairs = [
                (b'X-Not-Executed', b'1'),
                (b'Retry-After', b'%g' % self.retry_after),
            ]
            reply.send(_UNAVAILABLE, self._marked(request) + pairs, b'')
            return
        is_full = len(self._running) + len(self._waiting) >= SLOTS + QUEUE
        if is_full or now < self._loading_until:
            pairs = [(b'X-Not-Executed', b'1')]
            reply.send(_UNAVAILABLE, self._marked(request) + pairs, b'')
            return
        usage = (request.headers.get(b'x-token-usage') or b'0,0').split(b',')
        after = request.headers.get(b'last-event-id')
        first = 0 if after is None else int(after) + 1
        events = max(int(usage[1]) // STRIDE, 1) - first
        name = (request.headers.get(b'x-attempt-id') or b'').decode()
        rank = int(request.headers.get(b'x-request-priority') or b'5')
        job = _Job(name, rank, int(usage[0]), events)
        self._waiting.append(job)
        self._work.set()
        try:
            await self._relay(job, first, request, reply)
        finally:
            self._drop(job)

    async def _relay(
        self,
        job: _Job,
        first: int,
        request: messages.Request,
        reply: replies.Reply,
    ) -> None:
        number = first
        while True:
            event = await job.events.get()
            if event is None:
                break
            if not event:
                reply.abort()
                return
            if not reply.is_started:
                pairs = [(b'Content-Type', b'text/event-stream')]
                reply.start(_OK, self._marked(request) + pairs)
            reply.write(b'id: %d\ndata: %d\n\n' % (number, number))
            number += 1
        reply.end()

    def _drop(self, job: _Job) -> None:
        if job in self._waiting:
            self._waiting.remove(job)
        if job in self._running:
            self._running.remove(job)

    def _marked(self, request: messages.Request) -> list[messages.Pair]:
        name = request.headers.get(b'x-attempt-id') or b''
        stamp = b'stamp-%b' % self.id.encode()
        return [(b'X-Attempt-Id', name), (b'X-Server-Stamp', stamp)]

    # Passes.

    async def _keep_passing(self) -> None:
        while True:
            while not (self._waiting or self._running):
                self._work.clear()
                await self._work.wait()
            self._admit()
            await asyncio.sleep(self._read())
            await self.going.wait()
            self._write()

    def _admit(self) -> None:
        while self._waiting and len(self._running) < SLOTS:
            job = min(self._waiting, key=_rank)
            self._waiting.remove(job)
            self._running.append(job)
            self.runs.append(Run(job.id, self.version, time.monotonic()))

    def _read(self) -> float:
        """Read prompts; return the seconds that the pass takes."""
        room = _CHUNK
        writers = 0
        for job in self._running:
            if not job.unread:
                writers += 1
            read = min(job.unread, room)
            job.unread -= read
            room -= read
        step = STEP_SECONDS + _STEP_EACH * writers
        steps = STRIDE if writers else 1
        return (_CHUNK - room) / READ_PER_SECOND + steps * step

    def _write(self) -> None:
        """Have those whose prompt is read write an event."""
        for job in list(self._running):
            if job.unread:
                continue
            job.events.put_nowait(True)
            job.left -= 1
            if job.left <= 0:
                job.events.put_nowait(None)
                self._running.remove(job)


def _rank(job: _Job) -> int:
    return job.rank
