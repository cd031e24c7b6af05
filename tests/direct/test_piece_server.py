"""Tests of serving pieces to other agents."""

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

#: Rate of the link in megabits a second; high to keep the test short.
LINK_MBPS = 1000.0
PIECE = bytes(range(256)) * 96


class _Reply:
    """Reply that records its writes in a list shared by all replies."""

    def __init__(self, writes: list[tuple[str, bytes]], name: str) -> None:
        self._writes = writes
        self._name = name
        self.is_ended = False

    def start(self, status: int, pairs: list[typing.Any]) -> None:
        """Ignore the head."""

    def write(self, payload: bytes) -> None:
        """Record a part."""
        self._writes.append((self._name, payload))

    def end(self) -> None:
        """Record the end."""
        self.is_ended = True


class UplinkTest(testtools.TestCase):
    """Pieces leave capacity on the link for the engine's events."""

    def setUp(self) -> None:
        super().setUp()
        self.writes: list[tuple[str, bytes]] = []
        self.replies = [
            _Reply(self.writes, name) for name in ('first', 'second')
        ]

    def send(self) -> None:
        """Send a piece to two agents at once."""

        async def main() -> None:
            link = uplink.Uplink(LINK_MBPS, lambda: 16)
            await asyncio.gather(
                *(
                    link.send(typing.cast('typing.Any', reply), PIECE, [])
                    for reply in self.replies
                ),
            )

        asyncio.run(main())

    def test_in_parts(self) -> None:
        """Pieces are sent in parts of at most a quarter.

        An event that queues behind whole pieces is late: a piece takes 54 ms on
        the link, and two of them made an event late.
        """
        self.send()
        for reply, name in zip(self.replies, ('first', 'second'), strict=True):
            parts = [part for sender, part in self.writes if sender == name]
            self.assertEqual(PIECE, b''.join(parts))
            self.assertLessEqual(max(map(len, parts)), len(PIECE) // 4)
            self.assertTrue(reply.is_ended)

    def test_one_at_a_time(self) -> None:
        """Pieces that are requested at the same time are sent in turn."""
        self.send()
        names = [sender for sender, _ in self.writes]
        self.assertEqual(sorted(names), names)


class _Provider:
    """Provider whose engine serves version 1, with one piece in memory."""

    def __init__(self) -> None:
        digests = tuple(
            hashlib.sha256(b'%d' % number).hexdigest() for number in range(9)
        )
        self.version_pieces = pieces.Pieces(weights.Manifest('m', 1, digests))
        self.version_pieces.add(3, b'3')

    def pieces_of(self, model: str, version: int) -> pieces.Pieces:
        """Return the pieces in memory."""
        return self.version_pieces

    def has_loaded(self, version: int) -> bool:
        """Return whether the engine serves a version."""
        return version == 1

    async def staged_piece(
        self,
        model: str,
        version: int,
        number: int,
    ) -> bytes:
        """Return a staged piece."""
        return b'%d' % number


class PieceServerTest(testtools.TestCase):
    """An agent reports the pieces that others can fetch from it."""

    def test_loaded_but_not_in_memory(self) -> None:
        """All pieces of a loaded version are available.

        Both agents of a region had loaded the version but had few of its pieces
        in memory. They reported only those, so that the agent of a newly added
        engine skipped them and fetched from another region. The engine was
        ready after eleven seconds.
        """

        async def main() -> weights.Availability:
            link = uplink.Uplink(LINK_MBPS, lambda: 0)
            server = piece_server.PieceServer(_Provider(), link)
            listener = front.Front(server.serve)
            port = await listener.listen('127.0.0.1', 0)
            source = peer_source.PeerSource('127.0.0.1', port)
            piece = await source.piece('m', 1, 5)
            self.assertEqual(
                (b'5', 9), (piece.payload, piece.source_piece_count)
            )
            availability = await source.available_pieces('m', 1, 0)
            await listener.close()
            return availability

        self.assertEqual(frozenset(range(9)), asyncio.run(main()).numbers)

    def test_staged_not_read_yet(self) -> None:
        """No count is reported while staged pieces are being read.

        After a loss of power, an agent's source in the chain started a moment
        later and had not read its staged pieces yet. It reported that it had
        none and was skipped as far behind. Both then fetched from the same
        agent at half the rate, and an engine was ready three seconds late.
        """

        async def main() -> int | None:
            provider = _Provider()
            provider.version_pieces.is_reading_staged = True
            link = uplink.Uplink(LINK_MBPS, lambda: 0)
            server = piece_server.PieceServer(provider, link)
            listener = front.Front(server.serve)
            port = await listener.listen('127.0.0.1', 0)
            source = peer_source.PeerSource('127.0.0.1', port)
            piece = await source.piece('m', 2, 3)
            await listener.close()
            self.assertEqual(b'3', piece.payload)
            return piece.source_piece_count

        self.assertIsNone(asyncio.run(main()))
