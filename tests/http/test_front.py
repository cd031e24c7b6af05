"""Tests of the front with raw bytes, as careless and hostile callers send."""

from __future__ import annotations

import asyncio
import typing

import testtools

from clementinepass.http import front, limits, messages, replies

HOST = '127.0.0.1'
HEAD = b'GET /a HTTP/1.1\r\nHost: h\r\n'
BOUNDS = limits.Bounds(
    header_bytes=2000,
    body_bytes=5000,
    header_seconds=0.2,
    idle_seconds=5,
)

#: What is sent, the status of the answer, and whether the connection ends.
BAD_INPUT = (
    ('no request', b'nonsense\r\n\r\n', 400),
    ('no host', b'GET /a HTTP/1.1\r\n\r\n', 400),
    ('two hosts', HEAD + b'Host: other\r\n\r\n', 400),
    ('target is no path', b'GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n', 400),
    (
        'two lengths',
        HEAD + b'Content-Length: 1\r\nContent-Length: 2\r\n\r\nab',
        400,
    ),
    (
        'length and chunks',
        HEAD + b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'0\r\n\r\n',
        400,
    ),
    ('length is no number', HEAD + b'Content-Length: x\r\n\r\n', 400),
    ('length below nothing', HEAD + b'Content-Length: -1\r\n\r\n', 400),
    (
        'chunk size is no number',
        HEAD + b'Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n',
        400,
    ),
    (
        'chunks are not last',
        HEAD + b'Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n',
        400,
    ),
    ('space before the colon', HEAD + b'A : b\r\n\r\n', 400),
    ('upgrade', HEAD + b'Connection: upgrade\r\nUpgrade: x\r\n\r\n', 400),
    ('long body by length', HEAD + b'Content-Length: 5001\r\n\r\n', 413),
    (
        'long body in chunks',
        HEAD
        + b'Transfer-Encoding: chunked\r\n\r\n1400\r\n'
        + b'a' * 5120
        + b'\r\n0\r\n\r\n',
        413,
    ),
    ('long header', HEAD + b'A: ' + b'a' * 3000 + b'\r\n\r\n', 431),
    ('header without end', HEAD + b'A: ' + b'a' * 3000, 431),
    ('many headers', HEAD + b'A: aaaaaaaaaa\r\n' * 200 + b'\r\n', 431),
    ('header that never ends', HEAD + b'A: b', 408),
)


class Served:
    """A front on loopback whose handler answers with what it was sent."""

    def __init__(self) -> None:
        self.requests: list[messages.Request] = []
        self.cancelled = 0
        self.hold = asyncio.Event()
        self.hold.set()
        self.front = front.Front(self._handle, lambda: BOUNDS)
        self.port = 0

    async def __aenter__(self) -> typing.Self:
        self.port = await self.front.listen(HOST, 0)
        return self

    async def __aexit__(self, *raised: object) -> None:
        await self.front.close()

    async def exchange(self, payload: bytes) -> bytes:
        """Send bytes and read until the connection ends."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(payload)
        answer = await reader.read()
        writer.close()
        return answer

    async def _handle(
        self,
        request: messages.Request,
        reply: replies.Reply,
    ) -> None:
        self.requests.append(request)
        try:
            await self.hold.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        reply.send(200, [], request.method + request.target + request.body)


def run(play: typing.Callable[[Served], typing.Awaitable[None]]) -> None:
    """Play against a front."""

    async def served() -> None:
        async with Served() as world, asyncio.timeout(20):
            await play(world)

    asyncio.run(served())


class BadInputTest(testtools.TestCase):
    """One right status at once, the connection ends, nothing is served."""

    def test_table(self) -> None:
        """Each kind of bad input."""

        async def play(world: Served) -> None:
            for story, payload, status in BAD_INPUT:
                answer = await world.exchange(payload)
                self.assertEqual(
                    b'HTTP/1.1 %d ' % status,
                    answer[:13],
                    f'{story}: {answer!r}',
                )
                self.assertIn(b'Connection: close', answer, story)
                self.assertEqual(1, answer.count(b'HTTP/1.1'), story)
            self.assertEqual([], world.requests)

        run(play)

    def test_smuggled(self) -> None:
        """What follows a request of doubtful framing is never a request."""

        async def play(world: Served) -> None:
            await world.exchange(
                HEAD
                + b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n'
                + b'0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n',
            )
            self.assertEqual([], world.requests)

        run(play)


class FramingTest(testtools.TestCase):
    """Bodies with lengths and chunks, and several requests at once."""

    def test_chunks(self) -> None:
        """Chunks make up one body."""

        async def play(world: Served) -> None:
            answer = await world.exchange(
                b'POST /a?b=c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n'
                b'0\r\n\r\n',
            )
            self.assertTrue(answer.endswith(b'POST/a?b=cabc'), answer)

        run(play)

    def test_pipelined(self) -> None:
        """Answers come in the order of requests, one at a time."""

        async def play(world: Served) -> None:
            answer = await world.exchange(
                HEAD
                + b'\r\n'
                + b'GET /second HTTP/1.1\r\nHost: h\r\n\r\n'
                + b'GET /third HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n',
            )
            places = [
                answer.find(b'GET/' + name) for name in (b'a', b's', b't')
            ]
            self.assertEqual(sorted(places), places)
            self.assertNotIn(-1, places)

        run(play)

    def test_byte_by_byte(self) -> None:
        """Requests that come slowly are the same requests."""

        async def play(world: Served) -> None:
            reader, writer = await asyncio.open_connection(HOST, world.port)
            request = HEAD + b'Content-Length: 2\r\nConnection: close\r\n\r\nab'
            for place in range(len(request)):
                writer.write(request[place : place + 1])
                await writer.drain()
            answer = await reader.read()
            self.assertTrue(answer.endswith(b'GET/aab'), answer)
            writer.close()

        run(play)

    def test_body_cut_short(self) -> None:
        """A body that isn't whole is no request."""

        async def play(world: Served) -> None:
            _, writer = await asyncio.open_connection(HOST, world.port)
            writer.write(HEAD + b'Content-Length: 9\r\n\r\nab')
            await writer.drain()
            writer.close()
            await writer.wait_closed()
            while world.front.connections:
                await asyncio.sleep(0)
            self.assertEqual([], world.requests)

        run(play)


class LeavingTest(testtools.TestCase):
    """Callers that leave, and a front that does."""

    def test_caller_left(self) -> None:
        """A caller closed its connection while its request ran.

        The endpoint worked on for nobody: the end of the connection was seen
        only when the answer was written.
        """

        async def play(world: Served) -> None:
            world.hold.clear()
            _, writer = await asyncio.open_connection(HOST, world.port)
            writer.write(HEAD + b'\r\n')
            while not world.requests:
                await asyncio.sleep(0)
            writer.close()
            while not world.cancelled:
                await asyncio.sleep(0)

        run(play)

    def test_leaving(self) -> None:
        """A leaving front ends each connection with its next answer."""

        async def play(world: Served) -> None:
            world.front.is_draining = True
            answer = await world.exchange(HEAD + b'\r\n')
            self.assertIn(b'Connection: close', answer)
            self.assertTrue(answer.endswith(b'GET/a'))

        run(play)

    def test_idle_connections_end_last(self) -> None:
        """One with a request is kept when idle ones are closed."""

        async def play(world: Served) -> None:
            world.hold.clear()
            idle, idle_writer = await asyncio.open_connection(HOST, world.port)
            busy, writer = await asyncio.open_connection(HOST, world.port)
            writer.write(HEAD + b'Connection: close\r\n\r\n')
            while not world.requests:
                await asyncio.sleep(0)
            world.front.close_idle()
            self.assertEqual(b'', await idle.read())
            world.hold.set()
            self.assertTrue((await busy.read()).endswith(b'GET/a'))
            idle_writer.close()
            writer.close()

        run(play)
