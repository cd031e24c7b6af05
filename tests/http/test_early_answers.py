"""Tests of peers that answer before they have read the whole request."""

from __future__ import annotations

import asyncio
import contextlib

import testtools

from clementinepass.http import messages, pool

HOST = '127.0.0.1'
#: Larger than the buffers of both sockets.
LONG_BODY = bytes(range(256)) * 64 * 1024
EARLY = b'HTTP/1.1 429 Early\r\nContent-Length: 0\r\n\r\n'
SECOND = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'


class EarlyAnswerTest(testtools.TestCase):
    """A connection with an incompletely sent request is not reused."""

    def test_unsent_body(self) -> None:
        """The next request uses another connection while a body is unsent.

        An endpoint may reject a long request before it has read all of it,
        keep the connection and read on later. A request sent on that
        connection would be read as the rest of the body.
        """
        long = messages.encode_request(b'POST', b'/a', [], LONG_BODY)
        short = messages.encode_request(b'GET', b'/b', [], b'')
        requests: list[bytearray] = []

        async def answer_early(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            request_bytes = bytearray(await reader.read(64))
            requests.append(request_bytes)
            writer.write(EARLY if len(requests) == 1 else SECOND)
            await asyncio.sleep(0.1)
            with contextlib.suppress(ConnectionError):
                while part := await reader.read(65536):
                    request_bytes.extend(part)

        async def send_requests() -> None:
            server = await asyncio.start_server(answer_early, HOST, 0)
            port = server.sockets[0].getsockname()[1]
            peers = pool.Pool(HOST, port)
            first = await pool.fetch(peers, long, 5)
            self.assertEqual(429, first.status)
            second = await pool.fetch(peers, short, 5)
            self.assertEqual(200, second.status)
            peers.close()
            await asyncio.sleep(0.3)
            server.close()

        asyncio.run(send_requests())
        first_bytes, second_bytes = requests
        self.assertLess(len(first_bytes), len(long))
        self.assertTrue(
            long.startswith(first_bytes), 'foreign bytes in the body'
        )
        self.assertEqual(short, bytes(second_bytes))
