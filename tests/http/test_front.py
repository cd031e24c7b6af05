"""Tests of the front with raw bytes of faulty and malicious callers."""

from __future__ import annotations

import asyncio
import socket
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

#: A description, the bytes sent, and the status of the answer.
BAD_INPUT = (
    ('not a request', b'nonsense\r\n\r\n', 400),
    ('no host', b'GET /a HTTP/1.1\r\n\r\n', 400),
    ('two hosts', HEAD + b'Host: other\r\n\r\n', 400),
    (
        'target is not a path',
        b'GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n',
        400,
    ),
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
    ('length is not a number', HEAD + b'Content-Length: x\r\n\r\n', 400),
    ('negative length', HEAD + b'Content-Length: -1\r\n\r\n', 400),
    (
        'chunk size is not a number',
        HEAD + b'Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n',
        400,
    ),
    (
        'chunked is not the last encoding',
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
    ('unfinished long header', HEAD + b'A: ' + b'a' * 3000, 431),
    ('many headers', HEAD + b'A: aaaaaaaaaa\r\n' * 200 + b'\r\n', 431),
    ('unfinished header', HEAD + b'A: b', 408),
)


class EchoFront:
    """Front on loopback whose handler echoes each request."""

    def __init__(self) -> None:
        self.requests: list[messages.Request] = []
        self.cancelled_count = 0
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.front = front.Front(self._handle, lambda: BOUNDS)
        self.port = 0

    async def __aenter__(self) -> typing.Self:
        self.port = await self.front.listen(HOST, 0)
        return self

    async def __aexit__(self, *raised: object) -> None:
        await self.front.close()

    async def exchange(self, payload: bytes) -> bytes:
        """Send bytes and return all bytes received until the end of stream."""
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
            await self.may_answer.wait()
        except asyncio.CancelledError:
            self.cancelled_count += 1
            raise
        reply.send(200, [], request.method + request.target + request.body)


def run(
    exchange_bytes: typing.Callable[[EchoFront], typing.Awaitable[None]],
) -> None:
    """Run a coroutine function with a front."""

    async def run_with_front() -> None:
        async with EchoFront() as echo_front, asyncio.timeout(20):
            await exchange_bytes(echo_front)

    asyncio.run(run_with_front())


class BadInputTest(testtools.TestCase):
    """Bad input is answered with one error and closes the connection."""

    def test_table(self) -> None:
        """Each kind of bad input yields its status and reaches no handler."""

        async def exchange_bytes(echo_front: EchoFront) -> None:
            for description, payload, status in BAD_INPUT:
                answer = await echo_front.exchange(payload)
                self.assertEqual(
                    b'HTTP/1.1 %d ' % status,
                    answer[:13],
                    f'{description}: {answer!r}',
                )
                self.assertIn(b'Connection: close', answer, description)
                self.assertEqual(1, answer.count(b'HTTP/1.1'), description)
            self.assertEqual([], echo_front.requests)

        run(exchange_bytes)

    def test_smuggled(self) -> None:
        """Bytes after a request with ambiguous framing are not a request."""

        async def exchange_bytes(echo_front: EchoFront) -> None:
            await echo_front.exchange(
                HEAD
                + b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n'
                + b'0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n',
            )
            self.assertEqual([], echo_front.requests)

        run(exchange_bytes)


class FramingTest(testtools.TestCase):
    """Framing of bodies and pipelined requests."""

    def test_chunks(self) -> None:
        """Chunks are joined to one body."""

        async def exchange_bytes(echo_front: EchoFront) -> None:
            answer = await echo_front.exchange(
                b'POST /a?b=c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n'
                b'0\r\n\r\n',
            )
            self.assertTrue(answer.endswith(b'POST/a?b=cabc'), answer)

        run(exchange_bytes)

    def test_pipelined(self) -> None:
        """Pipelined requests are answered in order."""

        async def exchange_bytes(echo_front: EchoFront) -> None:
            answer = await echo_front.exchange(
                HEAD
                + b'\r\n'
                + b'GET /second HTTP/1.1\r\nHost: h\r\n\r\n'
                + b'GET /third HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n',
            )
            positions = [
                answer.find(b'GET/' + name) for name in (b'a', b's', b't')
            ]
            self.assertEqual(sorted(positions), positions)
            self.assertNotIn(-1, positions)

        run(exchange_bytes)

    def test_byte_by_byte(self) -> None:
        """A request is parsed independently of how its bytes are split."""

        async def exchange_bytes(echo_front: EchoFront) -> None:
            reader, writer = await asyncio.open_connection(
                HOST, echo_front.port
            )
            request = HEAD + b'Content-Length: 2\r\nConnection: close\r\n\r\nab'
            for position in range(len(request)):
                writer.write(request[position : position + 1])
                await writer.drain()
            answer = await reader.read()
            self.assertTrue(answer.endswith(b'GET/aab'), answer)
            writer.close()

        run(exchange_bytes)

    def test_truncated_body(self) -> None:
        """A request with a truncated body is not served."""

        async def exchange_bytes(echo_front: EchoFront) -> None:
            _, writer = await asyncio.open_connection(HOST, echo_front.port)
            writer.write(HEAD + b'Content-Length: 9\r\n\r\nab')
            await writer.drain()
            writer.close()
            await writer.wait_closed()
            while echo_front.front.connections:
                await asyncio.sleep(0)
            self.assertEqual([], echo_front.requests)

        run(exchange_bytes)


class ClosingTest(testtools.TestCase):
    """Callers that disconnect, and draining fronts."""

    def test_caller_disconnects(self) -> None:
        """A request is cancelled when its caller closes the connection.

        If the disconnect were noticed only when the answer is written, the
        endpoint would work in vain until then.
        """

        async def exchange_bytes(echo_front: EchoFront) -> None:
            echo_front.may_answer.clear()
            _, writer = await asyncio.open_connection(HOST, echo_front.port)
            writer.write(HEAD + b'\r\n')
            while not echo_front.requests:
                await asyncio.sleep(0)
            writer.close()
            while not echo_front.cancelled_count:
                await asyncio.sleep(0)

        run(exchange_bytes)

    def test_caller_has_left_before(self) -> None:
        """A request is not handled if its caller closed before it was read.

        It may have waited in a busy process or on a full link for so long that
        its caller gave up.
        """

        async def exchange_bytes(echo_front: EchoFront) -> None:
            # Blocking calls: both are there before the front reads either.
            with socket.create_connection((HOST, echo_front.port)) as caller:
                caller.sendall(HEAD + b'\r\n')
            answer = await echo_front.exchange(
                HEAD + b'Connection: close\r\n\r\n'
            )
            self.assertTrue(answer.endswith(b'GET/a'))
            self.assertEqual(1, len(echo_front.requests))

        run(exchange_bytes)

    def test_draining(self) -> None:
        """A draining front closes each connection after its next answer."""

        async def exchange_bytes(echo_front: EchoFront) -> None:
            echo_front.front.is_draining = True
            answer = await echo_front.exchange(HEAD + b'\r\n')
            self.assertIn(b'Connection: close', answer)
            self.assertTrue(answer.endswith(b'GET/a'))

        run(exchange_bytes)

    def test_close_idle(self) -> None:
        """A busy connection stays open when idle ones are closed."""

        async def exchange_bytes(echo_front: EchoFront) -> None:
            echo_front.may_answer.clear()
            idle, idle_writer = await asyncio.open_connection(
                HOST, echo_front.port
            )
            busy, writer = await asyncio.open_connection(HOST, echo_front.port)
            writer.write(HEAD + b'Connection: close\r\n\r\n')
            while not echo_front.requests:
                await asyncio.sleep(0)
            echo_front.front.close_idle()
            self.assertEqual(b'', await idle.read())
            echo_front.may_answer.set()
            self.assertTrue((await busy.read()).endswith(b'GET/a'))
            idle_writer.close()
            writer.close()

        run(exchange_bytes)
