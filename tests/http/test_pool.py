"""Tests of fetching whole answers."""

from __future__ import annotations

import asyncio

import testtools

from clementinepass.http import channel, messages, pool
from standins import skipped_time

HOST = '127.0.0.1'
#: Longest time without a byte, and the time between two parts, in seconds.
MAX_SILENCE_SECONDS = 0.8
PART_SECONDS = 0.5
PARTS = 6
REQUEST = messages.encode_request(b'GET', b'/a', [(b'Host', b'h')], b'')


def fetch(part_seconds: float) -> bytes:
    """Return an answer of which a part arrives at a time.

    :raises ChannelBrokenError: the answer did not arrive.
    """

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % PARTS)
        for _ in range(PARTS):
            await asyncio.sleep(part_seconds)
            writer.write(b'a')

    async def scenario() -> bytes:
        async with await asyncio.start_server(answer, HOST, 0) as server:
            port = server.sockets[0].getsockname()[1]
            fetched = await pool.fetch(
                pool.Pool(HOST, port),
                REQUEST,
                10,
                max_silence_seconds=MAX_SILENCE_SECONDS,
            )
            return fetched.body

    return skipped_time.run(scenario())


class SilenceTest(testtools.TestCase):
    """A fetch ends when nothing arrives, not when it takes long.

    A long configuration on a narrow link would be fetched again and again, and
    each fetch would take as long.
    """

    def test_slow(self) -> None:
        """An answer that takes longer than the silence allowed is complete."""
        self.assertEqual(b'a' * PARTS, fetch(PART_SECONDS))

    def test_silent(self) -> None:
        """A pause between two parts that is too long ends the fetch."""
        error = self.assertRaises(
            channel.ChannelBrokenError, fetch, 2 * MAX_SILENCE_SECONDS
        )
        self.assertIs(channel.Fault.SILENT, error.fault)
