"""Agents hand manifests and pieces to one another."""

from __future__ import annotations

import asyncio
import typing

import msgspec

from clementinepass import errors
from clementinepass.direct import weights
from clementinepass.http import channel, messages, pool

if typing.TYPE_CHECKING:
    from clementinepass.direct import pieces
    from clementinepass.http import front

#: What agents ask one another for; the model and the version follow in the
#: path, then a piece's number or how many numbers are known.
_MANIFESTS = 'manifests'
_NUMBERS = 'numbers'
_PIECES = 'pieces'
#: How many pieces of the version the answering agent has, and whether they
#: come slowly to it.
_OTHERS = b'Clementinepass-Pieces'
_SLOW = b'Clementinepass-Slow'
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
#: Seconds that an agent which is getting pieces lets another wait for more.
#: Whoever waits knows by the answer that it lives, so not for long.
_WAIT_SECONDS = 0.3
#: Seconds that one waits for a manifest: the one before has to get it first.
_BEGIN_SECONDS = 1.0
#: Looks during that time whether the version has been begun.
_LOOKS = 10
_NUMBERS_SECONDS = 3.0
#: Seconds for a piece from another agent: those before it are sent first, and
#: on a link narrowed to a tenth five of them take as long.
_PIECE_SECONDS = 4.0
_MANIFEST_SECONDS = 2.5
#: Connections to one agent.
_MOST_CONNECTIONS = 8
_BITS = 8
_MEGA = 1_000_000
#: The part of the link that carries bytes of pieces and events; their heads
#: and acknowledgements take the rest.
_LINK_PART = 0.95
#: Bits a second of one stream: an event of 70 bytes with 120 of framing, each
#: 42 milliseconds, which is the time that an engine takes for six tokens.
_STREAM_BITS = 36_000
#: The part of the link that pieces take however many streams there are.
_LEAST_PART = 0.5
#: Seconds that a part may take on a link, whatever its settings say.
_LONGEST_TURN = 0.5
#: Seconds by which timers fire late, made up for by the next one.
_LATEST_TIMER = 0.02
#: Bytes sent at a time: 14 ms on a link of 3.65 Mbit/s.
_PART_BYTES = 6144


class _State(msgspec.Struct):
    """What an agent that gets pieces says of them."""

    numbers: tuple[int, ...]
    slow: bool


class _Wish(typing.NamedTuple):
    """What another agent asks for.

    :param number: a piece's, or how many numbers are known.
    """

    kind: str
    model: str
    version: int
    number: int = 0


class Holder(typing.Protocol):
    """What an agent can hand out."""

    def pieces_of(self, model: str, version: int) -> pieces.Pieces | None:
        """Return the pieces of a version that it has or is getting."""

    def has_loaded(self, version: int) -> bool:
        """Tell whether its engine serves that version."""

    async def staged_piece(
        self,
        model: str,
        version: int,
        number: int,
    ) -> bytes | None:
        """Return a piece that lies staged at its engine, unchecked."""


class Uplink:
    """Send one piece at a time, in parts, no faster than the link takes them.

    Failure: pieces that are handed to the kernel whole lie on the link before
    the engine's events, 54 ms each, and events that come 120 ms after they
    were made are late. Between parts events find the link free.

    :param link_mbps: megabits a second that the machine's link carries.
    :param streams: returns how many streams the engine sends.
    """

    __slots__ = ('_free_at', '_link', '_streams', '_turn')

    def __init__(
        self,
        link_mbps: float,
        streams: typing.Callable[[], int],
    ) -> None:
        self._link = link_mbps * _MEGA
        self._streams = streams
        self._turn = asyncio.Lock()
        #: Monotonic seconds at which what was sent is out.
        self._free_at: float = 0

    async def send(
        self,
        reply: front.Reply,
        piece: bytes,
        pairs: list[messages.Pair],
    ) -> None:
        """Send a piece when those before it are out.

        :param pairs: headers that say what else there is here.
        """
        async with self._turn:
            reply.begin(_OK, pairs)
            for start in range(0, len(piece), _PART_BYTES):
                part = piece[start : start + _PART_BYTES]
                reply.write(part)
                await self._until_out(len(part))
            reply.end()

    async def _until_out(self, length: int) -> None:
        """Wait until the link has taken bytes that were just sent.

        By the time at which they should be out, not by their duration, since
        timers fire late and four for each piece would add up.
        """
        now = asyncio.get_running_loop().time()
        seconds = min(length * _BITS / self._left_for_pieces(), _LONGEST_TURN)
        self._free_at = max(self._free_at, now - _LATEST_TIMER) + seconds
        await asyncio.sleep(max(self._free_at - now, 0))

    def _left_for_pieces(self) -> float:
        """Return the bits a second that the engine's streams leave."""
        left = self._link * _LINK_PART - self._streams() * _STREAM_BITS
        return max(left, self._link * _LEAST_PART)


class Handout:
    """Answer other agents.

    :param holder: what there is to hand out.
    """

    __slots__ = ('_holder', '_uplink', 'sent')

    def __init__(self, holder: Holder, uplink: Uplink) -> None:
        self._holder = holder
        self._uplink = uplink
        #: Bytes sent.
        self.sent = 0

    async def serve(
        self,
        request: messages.Request,
        reply: front.Reply,
    ) -> None:
        """Answer one request of another agent."""
        kind, *words = request.target.decode('latin-1').strip('/').split('/')
        try:
            wish = _Wish(kind, words[0], *map(int, words[1:]))
        except (IndexError, TypeError, ValueError):
            reply.send(_BAD_REQUEST, [], b'')
            return
        found = await self._find(wish)
        pairs = self._state(wish)
        if found is None:
            reply.send(_NOT_FOUND, pairs, b'')
        elif wish.kind == _PIECES:
            self.sent += len(found)
            await self._uplink.send(reply, found, pairs)
        else:
            reply.send(_OK, [], found)

    def _state(self, wish: _Wish) -> list[messages.Pair]:
        """Return the headers that say what there is here."""
        held = self._holder.pieces_of(wish.model, wish.version)
        if held is None:
            return []
        return [
            (_OTHERS, b'%d' % len(self._numbers(wish, held))),
            (_SLOW, b'%d' % held.slow),
        ]

    def _numbers(self, wish: _Wish, held: pieces.Pieces) -> list[int]:
        """Return the numbers of the pieces that can be handed out.

        All that lie staged where the engine has loaded them, however few of
        them are in memory.
        """
        if self._holder.has_loaded(wish.version):
            return list(range(len(held.manifest.digests)))
        return held.numbers

    async def _find(self, wish: _Wish) -> bytes | None:
        held = await self._pieces(wish)
        if wish.kind == _PIECES:
            return await self._piece(wish, held)
        if held is None:
            return None
        if wish.kind == _MANIFESTS:
            return msgspec.json.encode(held.manifest.digests)
        await held.wait_for_more(wish.number, _WAIT_SECONDS)
        numbers = self._numbers(wish, held)
        return msgspec.json.encode(_State(tuple(numbers), held.slow))

    async def _piece(
        self,
        wish: _Wish,
        held: pieces.Pieces | None,
    ) -> bytes | None:
        """Return a piece from memory, or as it lies staged at the engine."""
        known = None if held is None else held.get(wish.number)
        if known is not None:
            return known
        if held is None or self._holder.has_loaded(wish.version):
            return await self._holder.staged_piece(
                wish.model,
                wish.version,
                wish.number,
            )
        # Whoever waits for an agent to which pieces come slowly does better
        # to ask the one before it.
        seconds = 0 if held.slow else _WAIT_SECONDS
        return await held.wait_for(wish.number, seconds)

    async def _pieces(self, wish: _Wish) -> pieces.Pieces | None:
        """Return the pieces of a version, waiting a moment for them.

        Whoever asks for a version has heard of it; this agent may have heard
        of it just now.
        """
        seconds = _BEGIN_SECONDS if wish.kind == _MANIFESTS else _WAIT_SECONDS
        for _ in range(_LOOKS):
            held = self._holder.pieces_of(wish.model, wish.version)
            if held is not None or self._holder.has_loaded(wish.version):
                return held
            await asyncio.sleep(seconds / _LOOKS)
        return None


class PeerSource:
    """Get manifests and pieces from another agent.

    :param ip: its IP number.
    :param port: the system's own port.
    """

    __slots__ = ('_ip', '_pool')

    def __init__(self, ip: str, port: int) -> None:
        self._ip = ip
        self._pool = pool.Pool(ip, port, _MOST_CONNECTIONS)

    @property
    def heard(self) -> float:
        """Return the monotonic seconds at which a byte of it last came."""
        return self._pool.heard

    async def manifest(
        self,
        model: str,
        version: int,
    ) -> weights.Manifest | None:
        """Return the manifest of a version; ``None`` if it has none.

        :raises PeerUnavailableError: the agent doesn't answer.
        :raises MalformedMessageError: it answers with something else.
        """
        target = f'/{_MANIFESTS}/{model}/{version}'
        found = await self._get(target, _MANIFEST_SECONDS)
        if found is None:
            return None
        digests = self._decode(found, tuple[str, ...])
        return weights.Manifest(model, version, digests)

    async def numbers(
        self,
        model: str,
        version: int,
        known: int,
    ) -> weights.Holding:
        """Return what it has, soon after there is more than known.

        :raises PeerUnavailableError: the agent doesn't answer.
        :raises MalformedMessageError: it answers with something else.
        """
        target = f'/{_NUMBERS}/{model}/{version}/{known}'
        found = await self._get(target, _NUMBERS_SECONDS)
        if found is None:
            return weights.Holding()
        state = self._decode(found, _State)
        return weights.Holding(
            frozenset(state.numbers),
            state.slow,
            len(state.numbers),
        )

    async def piece(
        self,
        model: str,
        version: int,
        number: int,
    ) -> weights.Piece:
        """Return a piece, unchecked, waiting a moment until it is there.

        :raises PeerUnavailableError: the agent doesn't answer.
        """
        target = f'/{_PIECES}/{model}/{version}/{number}'
        fetched = await self._fetch(target, _PIECE_SECONDS)
        headers = fetched.headers
        return weights.Piece(
            fetched.body if fetched.status == _OK else None,
            others=_count(headers.get(_OTHERS.lower())),
            seconds=fetched.seconds,
            slow=headers.get(_SLOW.lower()) == b'1',
        )

    def _decode(self, found: bytes, kind: typing.Any) -> typing.Any:
        try:
            return msgspec.json.decode(found, type=kind)
        except msgspec.MsgspecError as error:
            raise errors.MalformedMessageError(
                str(error),
                step='decode',
                peer=self._ip,
            ) from error

    async def _get(self, target: str, seconds: float) -> bytes | None:
        fetched = await self._fetch(target, seconds)
        return fetched.body if fetched.status == _OK else None

    async def _fetch(self, target: str, seconds: float) -> pool.Fetched:
        request = messages.request_bytes(
            b'GET',
            target.encode(),
            [(b'Host', self._ip.encode())],
            b'',
        )
        try:
            return await pool.fetch(self._pool, request, seconds)
        except channel.ChannelBrokenError as error:
            raise errors.PeerUnavailableError(
                error.detail,
                step=target,
                peer=self._ip,
            ) from error


def _count(told: bytes | None) -> int | None:
    return int(told) if told is not None and told.isdigit() else None
