"""Tests of what is told of pieces that the origin hands out."""

from __future__ import annotations

import asyncio

import testtools

from clementinepass.direct import weights
from clementinepass.http import front, messages, replies
from clementinepass.platform import engine

#: Seconds between the two halves of a piece.
PAUSE = 0.05


async def _in_halves(
    request: messages.Request,
    reply: replies.Reply,
) -> None:
    reply.start(200, [])
    reply.write(b'half')
    await asyncio.sleep(PAUSE)
    reply.write(b'half')
    reply.end()


class OriginPieceTest(testtools.TestCase):
    """The origin's pieces are timed like those of other agents.

    They counted as taking no time at all, so that an agent whose link was
    narrowed took it for the fastest, and asked for more at once.
    """

    def test_seconds(self) -> None:
        """What lies between its head and its end is told."""

        async def played() -> weights.Piece:
            listener = front.Front(_in_halves)
            port = await listener.listen('127.0.0.1', 0)
            origin = engine.HttpOrigin(f'127.0.0.1:{port}')
            piece = await origin.piece('m', 1, 0)
            await listener.close()
            return piece

        piece = asyncio.run(played())
        self.assertEqual(b'halfhalf', piece.payload)
        self.assertGreaterEqual(piece.seconds, PAUSE / 2)
