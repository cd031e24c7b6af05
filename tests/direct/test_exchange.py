"""Tests of handing pieces to other agents."""

from __future__ import annotations

import asyncio
import typing

import testtools

from clementinepass.direct import exchange

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
            uplink = exchange.Uplink(LINK, lambda: 16)
            await asyncio.gather(
                *(
                    uplink.send(typing.cast('typing.Any', reply), PIECE, [])
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
