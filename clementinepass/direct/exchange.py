"""Hand manifests and pieces to other agents."""

from __future__ import annotations

import asyncio
import typing

import msgspec

from clementinepass.direct import piece_words

if typing.TYPE_CHECKING:
    from clementinepass.direct import pieces, uplink
    from clementinepass.http import messages, replies

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


class Handout:
    """Answer other agents.

    :param holder: what there is to hand out.
    """

    __slots__ = ('_holder', '_uplink', 'sent')

    def __init__(self, holder: Holder, link: uplink.Uplink) -> None:
        self._holder = holder
        self._uplink = link
        #: Bytes sent.
        self.sent = 0

    async def serve(
        self,
        request: messages.Request,
        reply: replies.Reply,
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
        elif wish.kind == piece_words.PIECES:
            self.sent += len(found)
            await self._uplink.send(reply, found, pairs)
        else:
            reply.send(_OK, [], found)

    def _state(self, wish: _Wish) -> list[messages.Pair]:
        """Return the headers that say what there is here."""
        held = self._holder.pieces_of(wish.model, wish.version)
        if held is None:
            return []
        slow = (piece_words.SLOW, b'%d' % held.slow)
        if held.reads_staged:
            # A count now says nothing. Failure: after a loss of power whoever
            # had read what lay staged passed over one that was about to, and
            # both got pieces from the same agent: 6 s in place of 3.
            return [slow]
        count = len(self._numbers(wish, held))
        return [(piece_words.OTHERS, b'%d' % count), slow]

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
        if wish.kind == piece_words.PIECES:
            return await self._piece(wish, held)
        if held is None:
            return None
        if wish.kind == piece_words.MANIFESTS:
            return msgspec.json.encode(held.manifest.digests)
        await held.wait_for_more(wish.number, _WAIT_SECONDS)
        numbers = self._numbers(wish, held)
        return msgspec.json.encode(piece_words.State(tuple(numbers), held.slow))

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
        seconds = (
            _BEGIN_SECONDS
            if wish.kind == piece_words.MANIFESTS
            else _WAIT_SECONDS
        )
        for _ in range(_LOOKS):
            held = self._holder.pieces_of(wish.model, wish.version)
            if held is not None or self._holder.has_loaded(wish.version):
                return held
            await asyncio.sleep(seconds / _LOOKS)
        return None
