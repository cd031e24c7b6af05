"""Hand manifests and pieces to other agents."""

from __future__ import annotations

import asyncio
import typing

import msgspec

from clementinepass.direct import piece_protocol

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
_MANIFEST_WAIT_SECONDS = 1.0
#: Looks during that time whether the version has been begun.
_POLLS = 10


class _Query(typing.NamedTuple):
    """What another agent asks for.

    :param number: a piece's, or how many numbers are known.
    """

    kind: str
    model: str
    version: int
    number: int = 0


class PieceProvider(typing.Protocol):
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


class PieceServer:
    """Answer other agents.

    :param holder: what there is to hand out.
    """

    __slots__ = ('_provider', '_uplink', 'sent_bytes')

    def __init__(self, provider: PieceProvider, link: uplink.Uplink) -> None:
        self._provider = provider
        self._uplink = link
        #: Bytes sent.
        self.sent_bytes = 0

    async def serve(
        self,
        request: messages.Request,
        reply: replies.Reply,
    ) -> None:
        """Answer one request of another agent."""
        kind, *segments = request.target.decode('latin-1').strip('/').split('/')
        try:
            query = _Query(kind, segments[0], *map(int, segments[1:]))
        except (IndexError, TypeError, ValueError):
            reply.send(_BAD_REQUEST, [], b'')
            return
        content = await self._find_content(query)
        headers = self._availability_headers(query)
        if content is None:
            reply.send(_NOT_FOUND, headers, b'')
        elif query.kind == piece_protocol.PIECES:
            self.sent_bytes += len(content)
            await self._uplink.send(reply, content, headers)
        else:
            reply.send(_OK, [], content)

    def _availability_headers(self, query: _Query) -> list[messages.Pair]:
        """Return the headers that say what there is here."""
        version_pieces = self._provider.pieces_of(query.model, query.version)
        if version_pieces is None:
            return []
        slow_header = (
            piece_protocol.SLOW_HEADER,
            b'%d' % version_pieces.is_slow,
        )
        if version_pieces.is_reading_staged:
            # A count now says nothing. Failure: after a loss of power whoever
            # had read what lay staged passed over one that was about to, and
            # both got pieces from the same agent: 6 s in place of 3.
            return [slow_header]
        count = len(self._available_numbers(query, version_pieces))
        return [(piece_protocol.PIECE_COUNT_HEADER, b'%d' % count), slow_header]

    def _available_numbers(
        self, query: _Query, version_pieces: pieces.Pieces
    ) -> list[int]:
        """Return the numbers of the pieces that can be handed out.

        All that lie staged where the engine has loaded them, however few of
        them are in memory.
        """
        if self._provider.has_loaded(query.version):
            return list(range(len(version_pieces.manifest.digests)))
        return version_pieces.numbers

    async def _find_content(self, query: _Query) -> bytes | None:
        version_pieces = await self._wait_for_pieces(query)
        if query.kind == piece_protocol.PIECES:
            return await self._find_piece(query, version_pieces)
        if version_pieces is None:
            return None
        if query.kind == piece_protocol.MANIFESTS:
            return msgspec.json.encode(version_pieces.manifest.digests)
        await version_pieces.wait_for_more(query.number, _WAIT_SECONDS)
        numbers = self._available_numbers(query, version_pieces)
        return msgspec.json.encode(
            piece_protocol.AvailabilityReply(
                tuple(numbers), version_pieces.is_slow
            )
        )

    async def _find_piece(
        self,
        query: _Query,
        version_pieces: pieces.Pieces | None,
    ) -> bytes | None:
        """Return a piece from memory, or as it lies staged at the engine."""
        piece = (
            None if version_pieces is None else version_pieces.get(query.number)
        )
        if piece is not None:
            return piece
        if version_pieces is None or self._provider.has_loaded(query.version):
            return await self._provider.staged_piece(
                query.model,
                query.version,
                query.number,
            )
        # Whoever waits for an agent to which pieces come slowly does better
        # to ask the one before it.
        timeout_seconds = 0 if version_pieces.is_slow else _WAIT_SECONDS
        return await version_pieces.wait_for_piece(
            query.number, timeout_seconds
        )

    async def _wait_for_pieces(self, query: _Query) -> pieces.Pieces | None:
        """Return the pieces of a version, waiting a moment for them.

        Whoever asks for a version has heard of it; this agent may have heard
        of it just now.
        """
        timeout_seconds = (
            _MANIFEST_WAIT_SECONDS
            if query.kind == piece_protocol.MANIFESTS
            else _WAIT_SECONDS
        )
        for _ in range(_POLLS):
            version_pieces = self._provider.pieces_of(
                query.model, query.version
            )
            if version_pieces is not None or self._provider.has_loaded(
                query.version
            ):
                return version_pieces
            await asyncio.sleep(timeout_seconds / _POLLS)
        return None
