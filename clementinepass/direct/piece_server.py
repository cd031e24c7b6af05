"""Serve manifests and pieces to other agents."""

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
#: Seconds for which a request waits for more pieces while this agent fetches
#: them. The time is short because the response also shows the other agent that
#: this one is alive.
_WAIT_SECONDS = 0.3
#: Seconds for which a request waits for a manifest, which this agent may first
#: have to receive from the agent before it in the chain.
_MANIFEST_WAIT_SECONDS = 1.0
#: How many times during a wait it is checked whether this agent has the
#: version.
_POLLS = 10


class _Query(typing.NamedTuple):
    """Request of another agent.

    :param kind: the first segment of the path, as in ``piece_protocol``.
    :param number: the number of a piece, or how many pieces are known.
    """

    kind: str
    model: str
    version: int
    number: int = 0


class PieceProvider(typing.Protocol):
    """Gives access to an agent's manifests and pieces."""

    def pieces_of(self, model: str, version: int) -> pieces.Pieces | None:
        """Return the pieces of a version that are here or being fetched."""

    def has_loaded(self, version: int) -> bool:
        """Return whether the agent's engine serves a version."""

    async def staged_piece(
        self,
        model: str,
        version: int,
        number: int,
    ) -> bytes | None:
        """Return a piece staged at the engine, without checking its digest."""


class PieceServer:
    """Answers requests of other agents for manifests and pieces.

    :param provider: gives access to the local manifests and pieces.
    :param link: sends pieces at the rate that the link allows.
    """

    __slots__ = ('_provider', '_uplink', 'sent_bytes')

    def __init__(self, provider: PieceProvider, link: uplink.Uplink) -> None:
        self._provider = provider
        self._uplink = link
        #: Bytes of pieces sent.
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
        """Return the headers that describe the pieces here."""
        version_pieces = self._provider.pieces_of(query.model, query.version)
        if version_pieces is None:
            return []
        slow_header = (
            piece_protocol.SLOW_HEADER,
            b'%d' % version_pieces.is_slow,
        )
        if version_pieces.is_reading_staged:
            # The count isn't complete yet. When an agent reported it after a
            # loss of power, agents that had read their staged pieces skipped it
            # as far behind and shared another source with it, so that both took
            # 6 s instead of 3 s.
            return [slow_header]
        count = len(self._available_numbers(query, version_pieces))
        return [(piece_protocol.PIECE_COUNT_HEADER, b'%d' % count), slow_header]

    def _available_numbers(
        self, query: _Query, version_pieces: pieces.Pieces
    ) -> list[int]:
        """Return the numbers of the pieces that can be served.

        If the engine has loaded the version, all its pieces are staged,
        regardless of how many are in memory.
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
        """Return a piece from memory, or as it is staged at the engine."""
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
        # If pieces arrive here slowly, the other agent should request them from
        # the agent before this one instead of waiting.
        timeout_seconds = 0 if version_pieces.is_slow else _WAIT_SECONDS
        return await version_pieces.wait_for_piece(
            query.number, timeout_seconds
        )

    async def _wait_for_pieces(self, query: _Query) -> pieces.Pieces | None:
        """Return the pieces of a version, waiting a short time for them.

        The other agent knows of the version already, while this one may only be
        about to learn of it.
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
