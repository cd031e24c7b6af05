"""Agents hand manifests and pieces to one another."""

from __future__ import annotations

import asyncio
import heapq
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
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
#: Seconds that an agent which is getting pieces lets another wait for more.
_WAIT_SECONDS = 1.0
#: Looks during that time whether the version has been begun.
_LOOKS = 10
_NUMBERS_SECONDS = 3.0
#: Seconds for a piece from another agent: those before it are sent first.
_PIECE_SECONDS = 3.0
_MANIFEST_SECONDS = 2.5
#: Connections to one agent.
_MOST_CONNECTIONS = 8
_BITS = 8
_MEGA = 1_000_000
#: The part of the link that pieces take; the engine's events take the rest.
_LINK_PART = 0.95
#: Seconds that one piece may take on a link, whatever its settings say.
_LONGEST_TURN = 1.0


class _Wish(typing.NamedTuple):
    """What another agent asks for.

    :param number: a piece's, or how many numbers are known.
    """

    kind: str
    model: str
    version: int
    number: int = 0
    #: Whether others wait for the asking agent to have the piece.
    first: int = 0


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


class _Turn(typing.NamedTuple):
    """One that waits for its turn; ordered by the first two fields."""

    later: bool
    number: int
    given: asyncio.Future[None]


class Uplink:
    """Send one piece at a time, no faster than the link takes them.

    Failure: pieces that are handed to the kernel together queue on the link
    before the engine's events, which then come in bursts a second apart.

    :param link_mbps: megabits a second that the machine's link carries.
    """

    __slots__ = ('_bits_per_second', '_busy', '_number', '_waiting')

    def __init__(self, link_mbps: float) -> None:
        self._bits_per_second = link_mbps * _MEGA * _LINK_PART
        self._busy = False
        self._number = 0
        #: Who waits, by urgency and order of arrival.
        self._waiting: list[_Turn] = []

    async def send(
        self,
        reply: front.Reply,
        piece: bytes,
        *,
        first: bool,
    ) -> None:
        """Send a piece when those before it are out.

        :param first: whether it goes before those that only one agent needs.
        """
        await self._turn(first=first)
        try:
            reply.send(_OK, [], piece)
            seconds = len(piece) * _BITS / self._bits_per_second
            await asyncio.sleep(min(seconds, _LONGEST_TURN))
        finally:
            self._pass_on()

    async def _turn(self, *, first: bool) -> None:
        if not self._busy:
            self._busy = True
            return
        turn = asyncio.get_running_loop().create_future()
        self._number += 1
        heapq.heappush(self._waiting, _Turn(not first, self._number, turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._pass_on()
            raise

    def _pass_on(self) -> None:
        while self._waiting:
            turn = heapq.heappop(self._waiting).given
            if not turn.done():
                turn.set_result(None)
                return
        self._busy = False


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
        if found is None:
            reply.send(_NOT_FOUND, [], b'')
        elif wish.kind == _PIECES:
            self.sent += len(found)
            await self._uplink.send(reply, found, first=bool(wish.first))
        else:
            reply.send(_OK, [], found)

    async def _find(self, wish: _Wish) -> bytes | None:
        held = await self._pieces(wish)
        if held is None:
            if wish.kind != _PIECES:
                return None
            return await self._holder.staged_piece(
                wish.model,
                wish.version,
                wish.number,
            )
        if wish.kind == _MANIFESTS:
            return msgspec.json.encode(held.manifest.digests)
        if wish.kind == _NUMBERS:
            await held.wait_for_more(wish.number, _WAIT_SECONDS)
            return msgspec.json.encode(held.numbers)
        return held.get(wish.number)

    async def _pieces(self, wish: _Wish) -> pieces.Pieces | None:
        """Return the pieces of a version, waiting a moment for them.

        Whoever asks for a version has heard of it; this agent may have heard
        of it just now.
        """
        for _ in range(_LOOKS):
            held = self._holder.pieces_of(wish.model, wish.version)
            if held is not None or self._holder.has_loaded(wish.version):
                return held
            await asyncio.sleep(_WAIT_SECONDS / _LOOKS)
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
    ) -> frozenset[int]:
        """Return the numbers of its pieces, once there are more than known.

        :raises PeerUnavailableError: the agent doesn't answer.
        :raises MalformedMessageError: it answers with something else.
        """
        target = f'/{_NUMBERS}/{model}/{version}/{known}'
        found = await self._get(target, _NUMBERS_SECONDS)
        if found is None:
            return frozenset()
        return frozenset(self._decode(found, tuple[int, ...]))

    async def piece(
        self,
        model: str,
        version: int,
        number: int,
        *,
        first: bool,
    ) -> bytes | None:
        """Return a piece, unchecked; ``None`` if it has none.

        :raises PeerUnavailableError: the agent doesn't answer.
        """
        target = f'/{_PIECES}/{model}/{version}/{number}/{first:d}'
        return await self._get(target, _PIECE_SECONDS)

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
        request = messages.request_bytes(
            b'GET',
            target.encode(),
            [(b'Host', self._ip.encode())],
            b'',
        )
        try:
            fetched = await pool.fetch(self._pool, request, seconds)
        except channel.ChannelBrokenError as error:
            raise errors.PeerUnavailableError(
                error.detail,
                step=target,
                peer=self._ip,
            ) from error
        return fetched.body if fetched.status == _OK else None
