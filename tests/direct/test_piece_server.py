"""Tests of handing pieces to other agents."""

from __future__ import annotations

import asyncio
import hashlib
import typing

import testtools

from clementinepass.direct import (
    peer_source,
    piece_server,
    pieces,
    uplink,
    weights,
)
from clementinepass.http import front

#: Megabits a second; fast, so that the test is.
LINK = 1000.0
PIECE = bytes(range(256)) * 96


class _Reply:
    """Keeps what is written, by all replies in order."""

    def __init__(self, log: list[tuple[str, bytes]], name: str) -> None:
        self._log = log
        self._name = name
        self.done = False

    def begin(self, status: int, pairs: list[typing.Any]) -> None:
        """Send the head."""

    def write(self, payload: bytes) -> None:
        """Send a part."""
        self._log.append((self._name, payload))

    def end(self) -> None:
        """Send the mark of the end."""
        self.done = True


class UplinkTest(testtools.TestCase):
    """Pieces leave room for the events of the engine beside."""

    def setUp(self) -> None:
        super().setUp()
        self.log: list[tuple[str, bytes]] = []
        self.replies = [_Reply(self.log, name) for name in ('first', 'second')]

    def send(self) -> None:
        """Send a piece to two agents at once."""

        async def played() -> None:
            link = uplink.Uplink(LINK, lambda: 16)
            await asyncio.gather(
                *(
                    link.send(typing.cast('typing.Any', reply), PIECE, [])
                    for reply in self.replies
                ),
            )

        asyncio.run(played())

    def test_in_parts(self) -> None:
        """Events of a stream came late behind whole pieces on the link.

        A piece takes 54 ms there; with two before it an event was late. No
        part is longer than a quarter of a piece, and together they are whole.
        """
        self.send()
        for reply, name in zip(self.replies, ('first', 'second'), strict=True):
            parts = [part for who, part in self.log if who == name]
            self.assertEqual(PIECE, b''.join(parts))
            self.assertLessEqual(max(map(len, parts)), len(PIECE) // 4)
            self.assertTrue(reply.done)

    def test_one_at_a_time(self) -> None:
        """Two that ask at once get their pieces one after the other."""
        self.send()
        names = [who for who, _ in self.log]
        self.assertEqual(sorted(names), names)


class _Holder:
    """An agent whose engine serves version 1, with one piece in memory."""

    def __init__(self) -> None:
        digests = tuple(
            hashlib.sha256(b'%d' % number).hexdigest() for number in range(9)
        )
        self.held = pieces.Pieces(weights.Manifest('m', 1, digests))
        self.held.add(3, b'3')

    def pieces_of(self, model: str, version: int) -> pieces.Pieces:
        """Return what is in memory."""
        return self.held

    def has_loaded(self, version: int) -> bool:
        """Tell whether the engine serves a version."""
        return version == 1

    async def staged_piece(
        self,
        model: str,
        version: int,
        number: int,
    ) -> bytes:
        """Return what lies staged."""
        return b'%d' % number


class HandoutTest(testtools.TestCase):
    """An agent says what others can get of it."""

    def test_loaded_but_not_in_memory(self) -> None:
        """An engine was added, and was ready after eleven seconds.

        Both agents of its region had the version loaded, and a few pieces of
        it in memory. They said that they had those few, so that the new agent
        passed them over and got pieces over the border.
        """

        async def played() -> weights.Availability:
            link = uplink.Uplink(LINK, lambda: 0)
            handout = piece_server.PieceServer(_Holder(), link)
            listener = front.Front(handout.serve)
            port = await listener.listen('127.0.0.1', 0)
            source = peer_source.PeerSource('127.0.0.1', port)
            piece = await source.piece('m', 1, 5)
            self.assertEqual(
                (b'5', 9), (piece.payload, piece.source_piece_count)
            )
            holding = await source.available_pieces('m', 1, 0)
            await listener.close()
            return holding

        self.assertEqual(frozenset(range(9)), asyncio.run(played()).numbers)

    def test_staged_not_read_yet(self) -> None:
        """After a loss of power an engine was ready three seconds late.

        Its agent's source in the chain had started a moment later and hadn't
        read yet what lay staged at its engine. It said that it had no pieces,
        was passed over as far behind, and both got theirs from the same
        agent at half the rate.
        """

        async def played() -> int | None:
            holder = _Holder()
            holder.held.is_reading_staged = True
            link = uplink.Uplink(LINK, lambda: 0)
            handout = piece_server.PieceServer(holder, link)
            listener = front.Front(handout.serve)
            port = await listener.listen('127.0.0.1', 0)
            source = peer_source.PeerSource('127.0.0.1', port)
            piece = await source.piece('m', 2, 3)
            await listener.close()
            self.assertEqual(b'3', piece.payload)
            return piece.source_piece_count

        self.assertIsNone(asyncio.run(played()))
