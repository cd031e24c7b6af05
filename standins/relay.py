"""TCP relays that cut, silence, delay, slow down and corrupt connections."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
import math
import random
import time
import typing

import msgspec

from standins import limits

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

#: Pieces that wait in one direction of one connection.
_QUEUE = 64
_LAST_BYTE = 255
#: Shorter waits are not worth a timer, which would wake too late.
_SHORTEST_SLEEP = 0.0005


class Mode(enum.Enum):
    """What happens to connections."""

    #: Pass bytes on.
    PASS = 'pass'
    #: Close connections.
    CUT = 'cut'
    #: Swallow bytes and close nothing.
    SILENCE = 'silence'
    #: Close connections and stop listening.
    REFUSE = 'refuse'


class Scope(enum.Enum):
    """Which connections a mode is for."""

    #: Those that stand now; later ones pass.
    ESTABLISHED = 'established'
    #: Those that stand now, and later ones while the mode is in force.
    ALL = 'all'


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a relay does."""

    mode: Mode = Mode.PASS
    scope: Scope = Scope.ALL
    #: Milliseconds that bytes are under way, each way.
    delay_ms: float = 0
    #: Speed of each direction, shared by all connections; 0 for no limit.
    bytes_per_s: float = 0
    #: How likely each byte is to be changed.
    corrupt: float = 0
    #: What the changes follow from.
    seed: int = 0


class Counters(msgspec.Struct, frozen=True):
    """What went through a relay."""

    connections: int
    bytes_to_target: int
    bytes_from_target: int


@dataclasses.dataclass(slots=True)
class _Piece:
    """Bytes that have been read; none at the end of a direction."""

    content: bytes
    read_at: float


class _Corrupter:
    """Change bytes of one direction of one connection."""

    __slots__ = ('_gap', '_name', '_random', '_relay', '_rules')

    def __init__(self, relay: Relay, name: str) -> None:
        self._relay = relay
        self._name = name
        self._gap: float = 0
        self._follow(relay.rules)

    def change(self, content: bytes) -> bytes:
        """Return the bytes with some of them changed."""
        if self._rules is not self._relay.rules:
            self._follow(self._relay.rules)
        if self._gap >= len(content):
            self._gap -= len(content)
            return content
        changed = bytearray(content)
        place = int(self._gap)
        while place < len(changed):
            changed[place] ^= self._random.randint(1, _LAST_BYTE)
            place += int(self._next_gap()) + 1
        self._gap = place - len(changed)
        return bytes(changed)

    def _follow(self, rules: Rules) -> None:
        """Begin anew with other rules."""
        self._rules = rules
        self._random = random.Random(f'{rules.seed}-{self._name}')
        self._gap = self._next_gap()

    def _next_gap(self) -> float:
        """Return how many bytes stay as they are before the next change."""
        probability = self._rules.corrupt
        if probability <= 0:
            return math.inf
        if probability >= 1:
            return 0
        chance = 1 - self._random.random()
        return math.log(chance) // math.log(1 - probability)


class _Direction:
    """Bytes from all connections one way, on a link that they share."""

    __slots__ = ('_delay', '_link', 'passed')

    def __init__(self) -> None:
        #: How many bytes went through.
        self.passed = 0
        self.follow(Rules())

    def follow(self, rules: Rules) -> None:
        """Change speed and delay."""
        self._delay = rules.delay_ms / 1000
        self._link = limits.Link(rules.bytes_per_s)

    async def pace(self, piece: _Piece) -> None:
        """Wait until a piece has come through."""
        now = time.monotonic()
        await _sleep(piece.read_at + self._delay - now)
        size = len(piece.content)
        await _sleep(self._link.reserve(size, time.monotonic()))
        self.passed += size


class _Connection:
    """One connection through a relay."""

    __slots__ = ('_writers', 'silent')

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writers = [writer]
        #: Whether its bytes are swallowed; for good, once they are.
        self.silent = False

    def cut(self) -> None:
        """Close both ends at once."""
        for writer in self._writers:
            writer.transport.abort()

    def close(self) -> None:
        """Close both ends once what was written has been sent."""
        for writer in self._writers:
            writer.close()

    async def join(
        self,
        reader: asyncio.StreamReader,
        relay: Relay,
        number: int,
    ) -> None:
        """Connect to the target and pass bytes both ways until both end."""
        host, _, port = relay.target.rpartition(':')
        target_reader, target = await asyncio.open_connection(host, int(port))
        client = self._writers[0]
        self._writers.append(target)
        async with asyncio.TaskGroup() as group:
            group.create_task(
                self._pump(
                    reader,
                    target,
                    relay.to_target,
                    _Corrupter(relay, f'{number}-to'),
                ),
            )
            group.create_task(
                self._pump(
                    target_reader,
                    client,
                    relay.from_target,
                    _Corrupter(relay, f'{number}-from'),
                ),
            )

    async def swallow(self, reader: asyncio.StreamReader) -> None:
        """Read for as long as the other end sends, and keep nothing."""
        while await reader.read(limits.PIECE):
            """Silence: the sender must not notice that nobody listens."""

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: _Direction,
        corrupter: _Corrupter,
    ) -> None:
        """Pass one direction on: one task reads while another sends."""
        pieces: asyncio.Queue[_Piece] = asyncio.Queue(_QUEUE)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._receive(reader, pieces))
            group.create_task(
                self._send(pieces, writer, direction, corrupter),
            )

    async def _receive(
        self,
        reader: asyncio.StreamReader,
        pieces: asyncio.Queue[_Piece],
    ) -> None:
        content = b'.'
        while content:
            content = await self._read(reader)
            if not (self.silent and content):
                await pieces.put(_Piece(content, time.monotonic()))

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        """Read a piece; a silent connection may be lost like any other."""
        try:
            return await reader.read(limits.PIECE)
        except ConnectionError:
            if self.silent:
                return b''
            raise

    async def _send(
        self,
        pieces: asyncio.Queue[_Piece],
        writer: asyncio.StreamWriter,
        direction: _Direction,
        corrupter: _Corrupter,
    ) -> None:
        while True:
            piece = await pieces.get()
            if not piece.content:
                break
            await direction.pace(piece)
            # Asked only now: what was under way when the connection fell
            # silent is lost as well.
            if not self.silent:
                writer.write(corrupter.change(piece.content))
                await writer.drain()
        if not self.silent:
            writer.write_eof()


class Relay:
    """Pass connections on to a target, and do to them what rules say.

    Lives on one asyncio loop; its methods are called there.

    :param target: where connections go, ``host:port``.
    :param listen: where to listen; port 0 takes a free one.
    """

    __slots__ = (
        '_accepted',
        '_connections',
        '_listen',
        '_server',
        'from_target',
        'rules',
        'target',
        'to_target',
    )

    def __init__(
        self,
        target: str,
        listen: str = '127.0.0.1:0',
        rules: Rules | None = None,
    ) -> None:
        #: Where connections go.
        self.target = target
        #: What it does.
        self.rules = rules or Rules()
        #: Bytes towards the target.
        self.to_target = _Direction()
        #: Bytes back from the target.
        self.from_target = _Direction()
        self._listen = listen
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._accepted = 0

    @property
    def address(self) -> str:
        """Where it listens, ``host:port``."""
        return self._listen

    async def start(self) -> None:
        """Listen, and follow the rules."""
        await self._open()
        await self.follow(self.rules)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self._shut()
        self._cut()

    async def follow(self, rules: Rules) -> None:
        """Follow other rules from now on."""
        self.rules = rules
        self.to_target.follow(rules)
        self.from_target.follow(rules)
        if rules.mode is Mode.SILENCE:
            for connection in self._connections:
                connection.silent = True
        if rules.mode in {Mode.CUT, Mode.REFUSE}:
            self._cut()
        if rules.mode is Mode.REFUSE:
            await self._shut()
        elif self._server is None:
            await self._open()

    def counters(self) -> Counters:
        """Return what went through so far."""
        return Counters(
            connections=self._accepted,
            bytes_to_target=self.to_target.passed,
            bytes_from_target=self.from_target.passed,
        )

    async def _open(self) -> None:
        host, _, port = self._listen.rpartition(':')
        self._server = await asyncio.start_server(
            self._accept,
            host,
            int(port),
            backlog=512,
        )
        taken = self._server.sockets[0].getsockname()[1]
        self._listen = f'{host}:{taken}'

    async def _shut(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def _cut(self) -> None:
        for connection in tuple(self._connections):
            connection.cut()

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection for as long as it stands."""
        connection = _Connection(writer)
        self._accepted += 1
        with self._kept(connection), _until_lost():
            await self._serve(connection, reader, self._accepted)

    async def _serve(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        number: int,
    ) -> None:
        later = self.rules.scope is Scope.ALL
        if later and self.rules.mode is Mode.CUT:
            return
        if later and self.rules.mode is Mode.SILENCE:
            connection.silent = True
            await connection.swallow(reader)
            return
        await connection.join(reader, self, number)

    @contextlib.contextmanager
    def _kept(self, connection: _Connection) -> Iterator[None]:
        """Keep a connection in view until it has ended."""
        self._connections.add(connection)
        try:
            yield
        finally:
            connection.close()
            self._connections.discard(connection)


@contextlib.contextmanager
def _until_lost() -> Iterator[None]:
    """End quietly where a connection is lost: that is what relays are for."""
    try:
        yield
    except* OSError:
        """Either end may go at any moment."""


async def _sleep(seconds: float) -> None:
    if seconds > _SHORTEST_SLEEP:
        await asyncio.sleep(seconds)
