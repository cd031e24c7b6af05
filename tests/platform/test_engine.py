"""Tests of the adapters for the engine and for the origin."""

from __future__ import annotations

import asyncio

import msgspec
import testtools

from clementinepass.direct import weights
from clementinepass.http import front, messages, replies
from clementinepass.platform import engine

#: Seconds between the two halves of a piece.
PAUSE_SECONDS = 0.05
REPORT = msgspec.json.encode(
    {'models': [], 'busy': False, 'sequence': 0, 'active': 0, 'queued': 0}
)


async def _send_in_halves(
    request: messages.Request,
    reply: replies.Reply,
) -> None:
    reply.start(200, [])
    reply.write(b'half')
    await asyncio.sleep(PAUSE_SECONDS)
    reply.write(b'half')
    reply.end()


class EngineReportTest(testtools.TestCase):
    """Reports of an engine to its agent."""

    def test_draining(self) -> None:
        """The header of a report says whether the engine drains."""
        for fields, is_draining in (((), False), ((b'1',), True)):

            async def answer(
                request: messages.Request,
                reply: replies.Reply,
                fields: tuple[bytes, ...] = fields,
            ) -> None:
                pairs = [(b'Server-Leaving', field) for field in fields]
                reply.send(200, pairs, REPORT)

            async def fetch_report() -> weights.EngineReport:
                listener = front.Front(answer)
                port = await listener.listen('127.0.0.1', 0)
                report = await engine.HttpEngine(f'127.0.0.1:{port}').report()
                await listener.close()
                return report

            report = asyncio.run(fetch_report())
            self.assertIs(is_draining, report.is_draining)


class OriginPieceTest(testtools.TestCase):
    """The transfer time of the origin's pieces is measured.

    If it were zero, an agent on a narrow link would take the origin for the
    fastest source and request more pieces from it at once.
    """

    def test_seconds(self) -> None:
        """The time is measured from the head to the end of the answer."""

        async def fetch_piece() -> weights.Piece:
            listener = front.Front(_send_in_halves)
            port = await listener.listen('127.0.0.1', 0)
            origin = engine.HttpOrigin(f'127.0.0.1:{port}')
            piece = await origin.piece('m', 1, 0)
            await listener.close()
            return piece

        piece = asyncio.run(fetch_piece())
        self.assertEqual(b'halfhalf', piece.payload)
        self.assertGreaterEqual(piece.seconds, PAUSE_SECONDS / 2)
