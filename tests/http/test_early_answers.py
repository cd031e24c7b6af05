"""Tests of peers that answer before they have read the request."""

from __future__ import annotations

import asyncio
import contextlib

import testtools

from clementinepass.http import messages, pool

HOST = '127.0.0.1'
#: More than the buffers of both sockets take.
LONG_BODY = bytes(range(256)) * 64 * 1024
EARLY = b'HTTP/1.1 429 Early\r\nContent-Length: 0\r\n\r\n'
SECOND = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'


class EarlyAnswerTest(testtools.TestCase):
    """What is left of a body is never followed by anything else."""

    def test_rest_of_a_body(self) -> None:
        """An endpoint got other bytes where the rest of a body was due.

        It turned a long request away before it had read it, kept the
        connection, and read on later. The next request must not come on that
        connection: the rest of the body is still to go out there.
        """
        long = messages.request_bytes(b'POST', b'/a', [], LONG_BODY)
        short = messages.request_bytes(b'GET', b'/b', [], b'')
        got: list[bytearray] = []

        async def talk(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            read = bytearray(await reader.read(64))
            got.append(read)
            writer.write(EARLY if len(got) == 1 else SECOND)
            await asyncio.sleep(0.1)
            with contextlib.suppress(ConnectionError):
                while part := await reader.read(65536):
                    read.extend(part)

        async def play() -> None:
            server = await asyncio.start_server(talk, HOST, 0)
            port = server.sockets[0].getsockname()[1]
            peers = pool.Pool(HOST, port)
            first = await pool.fetch(peers, long, 5)
            self.assertEqual(429, first.status)
            second = await pool.fetch(peers, short, 5)
            self.assertEqual(200, second.status)
            peers.close()
            await asyncio.sleep(0.3)
            server.close()

        asyncio.run(play())
        early, late = got
        self.assertLess(len(early), len(long))
        self.assertTrue(long.startswith(early), 'other bytes in the body')
        self.assertEqual(short, bytes(late))
