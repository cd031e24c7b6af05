"""The processes of the weights bench: stand-ins, engines and agents."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import time
import typing

import msgspec
import urllib3

from benchmarks import weights_messages
from clementinepass.weights import manifest as manifests
from clementinepass.weights import protocols
from standins import http as standin_http

_START_SECONDS = 60
_LIMIT = 1024 * 1024


class Program:
    """One process, ended by its own id."""

    #: All that were started and have not been ended.
    _running: typing.ClassVar[set[Program]] = set()

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process
        self._running.add(self)

    @classmethod
    async def start(cls, module: str, *arguments: str) -> Program:
        """Start ``python -m module``."""
        return cls(
            await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                module,
                *arguments,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                limit=_LIMIT,
            )
        )

    async def readline(self) -> bytes:
        """Return the next line of its output; empty at the end."""
        output = typing.cast(asyncio.StreamReader, self._process.stdout)
        return await output.readline()

    def send(self, message: msgspec.Struct) -> None:
        """Write a message to its input."""
        into = typing.cast(asyncio.StreamWriter, self._process.stdin)
        into.write(weights_messages.line(message))

    def pause(self, *, paused: bool) -> None:
        """Stop the process as it is, or let it go on."""
        self._process.send_signal(signal.SIGSTOP if paused else signal.SIGCONT)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()
        await self._process.wait()
        self._running.discard(self)

    @classmethod
    async def end_all(cls) -> None:
        """Kill all that were started here, each by its own id."""
        for program in tuple(cls._running):
            await program.end()


class Standin:
    """A stand-in of the platform or an engine."""

    def __init__(self, program: Program, address: str) -> None:
        self.program = program
        self.address = address
        self._pool = urllib3.PoolManager()

    @classmethod
    async def start(cls, name: str, *arguments: str) -> Standin:
        """Start a stand-in and wait until it listens."""
        program = await Program.start(f'standins.{name}', *arguments)
        async with asyncio.timeout(_START_SECONDS):
            line = await program.readline()
        listening = msgspec.json.decode(line, type=standin_http.Listening)
        return cls(program, listening.listening)

    def put(self, path: str, body: bytes) -> None:
        """Store something in it."""
        url = f'http://{self.address}{path}'
        response = self._pool.request('PUT', url, body=body)
        if response.status != 200:
            raise RuntimeError(f'{path} answered {response.status}')

    def get(self, path: str) -> bytes:
        """Read something from it."""
        return self._pool.request('GET', f'http://{self.address}{path}').data


class Agent:
    """One agent process and what it has told."""

    def __init__(
        self,
        program: Program,
        start: weights_messages.Start,
        engine: Standin,
    ) -> None:
        self.program = program
        self.id = start.id
        self.engine = engine
        self._start = start
        self._figures: asyncio.Queue[weights_messages.Figures] = asyncio.Queue()
        #: Every opening of its gate.
        self.openings: list[weights_messages.Opened] = []
        self.opened = asyncio.Event()
        self.member: protocols.Member | None = None
        self.reader: asyncio.Task[None] | None = None

    @classmethod
    async def start(
        cls,
        start: weights_messages.Start,
        engine: Standin,
    ) -> Agent:
        """Start an agent and wait until it listens."""
        program = await Program.start('benchmarks.weights_agent')
        program.send(start)
        agent = cls(program, start, engine)
        async with asyncio.timeout(_START_SECONDS):
            event = weights_messages.decode_event(await program.readline())
        assert isinstance(event, weights_messages.Listening)  # noqa: S101
        agent.member = protocols.Member(
            start.id, '127.0.0.1', event.port, 'region', start.failure_domain
        )
        agent.reader = asyncio.create_task(agent.read())
        return agent

    async def read(self) -> None:
        """Take in what the agent tells until it ends."""
        while line := await self.program.readline():
            event = weights_messages.decode_event(line)
            if isinstance(event, weights_messages.Opened):
                self.openings.append(event)
                self.opened.set()
            elif isinstance(event, weights_messages.Figures):
                self._figures.put_nowait(event)

    async def serves(self, version: str) -> float:
        """Return when it first served ``version``."""
        while True:
            for opening in self.openings:
                if opening.version == version:
                    return opening.at
            self.opened.clear()
            await self.opened.wait()

    async def report(self) -> weights_messages.Figures:
        """Return the figures since the last report."""
        self.program.send(weights_messages.Report())
        return await self._figures.get()

    async def end(self) -> None:
        """End the agent with its engine, as a dying instance does."""
        if self.reader is not None:
            self.reader.cancel()
        await self.program.end()
        await self.engine.program.end()


class Platform:
    """Origin and weight store."""

    def __init__(self, origin: Standin, store: Standin) -> None:
        self.origin = origin
        self.store = store

    @classmethod
    async def start(cls, origin_rate: float) -> Platform:
        """Start both."""
        return cls(
            await Standin.start(
                'origin', '--link-bytes-per-s', str(origin_rate)
            ),
            await Standin.start('weight_store', '--rate', '10'),
        )

    def publish(self, manifest: manifests.Manifest, whole: bytes) -> str:
        """Store a version and return its manifest's digest."""
        start = 0
        for chunk in manifest.chunks:
            content = whole[start : start + chunk.size]
            self.origin.put(f'/v1/chunks/{chunk.digest}', content)
            start += chunk.size
        digest = manifests.manifest_digest(manifest)
        self.store.put(f'/v1/manifests/{digest}', manifest.encode())
        return digest

    def origin_bytes(self) -> int:
        """Return the bytes read from the origin so far."""
        counters = msgspec.json.decode(self.origin.get('/v1/counters'))
        return int(counters['bytes'])


def monotonic() -> float:
    """Return the seconds that agents stamp their openings with."""
    return time.monotonic()
