"""Tests of client connections with faulty peers."""

from __future__ import annotations

import asyncio
import socket
import struct
import typing

import testtools

from clementinepass.http import channel, messages, pool
from tests import tables

HOST = '127.0.0.1'
REQUEST = messages.encode_request(b'GET', b'/', [(b'Host', b'h')], b'')
#: Larger than the receive buffer of a peer.
LONG_REQUEST = messages.encode_request(
    b'POST', b'/', [(b'Host', b'h')], bytes(2 * 1024 * 1024)
)
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
#: Bytes that are sent in place of those without end.
ENDLESS_BYTES = 32 << 20
#: Seconds for which a peer that is silent does not read.
SILENT_SECONDS = 5


class Peer:
    """Peer that answers each request with the next scripted bytes.

    :param resets: whether to reset the connection after the last answer.
    :param ends: whether to close the connection after each answer.
    """

    def __init__(
        self,
        *answers: bytes,
        resets: bool = False,
        ends: bool = False,
    ) -> None:
        self._answers = list(answers)
        self._resets = resets
        self._ends = ends
        self.connection_count = 0
        self.port = 0
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> typing.Self:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *raised: object) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connection_count += 1
        while self._answers:
            if not await reader.read(4096):
                break
            writer.write(self._answers.pop(0))
            await writer.drain()
            if self._ends:
                break
        if self._resets:
            sock = writer.get_extra_info('socket')
            linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        if self._ends or self._resets:
            writer.close()


def answer_with_length(body: bytes, name: bytes = b'') -> bytes:
    """Return an answer with a ``Content-Length``."""
    return b'HTTP/1.1 200 OK\r\nX-Name: %b\r\nContent-Length: %d\r\n\r\n%b' % (
        name,
        len(body),
        body,
    )


async def read_body(connection: channel.Channel) -> bytes:
    """Return the complete body."""
    parts = []
    while part := await connection.read():
        parts.append(part)
    return b''.join(parts)


def run(
    peer: Peer,
    exchange: typing.Callable[[pool.Pool], typing.Awaitable[None]],
) -> None:
    """Run a coroutine function with a pool of connections to a peer."""

    async def run_with_peer() -> None:
        async with peer, asyncio.timeout(20):
            await exchange(pool.Pool(HOST, peer.port))

    asyncio.run(run_with_peer())


@tables.expand
class ChannelTest(testtools.TestCase):
    """Detection of the end of answers."""

    def test_reuse(self) -> None:
        """A connection is reused after a complete answer."""
        peer = Peer(answer_with_length(b'a'), answer_with_length(b'b'))

        async def exchange(peer_pool: pool.Pool) -> None:
            for expected in (b'a', b'b'):
                answer = await pool.fetch(peer_pool, REQUEST, 5)
                self.assertEqual(expected, answer.body)

        run(peer, exchange)
        self.assertEqual(1, peer.connection_count)

    def test_no_length(self) -> None:
        """An answer without a length ends with its connection."""
        peer = Peer(b'HTTP/1.1 200 OK\r\n\r\nall of it', ends=True)

        async def exchange(peer_pool: pool.Pool) -> None:
            answer = await pool.fetch(peer_pool, REQUEST, 5)
            self.assertEqual(b'all of it', answer.body)

        run(peer, exchange)

    def test_no_length_and_reset(self) -> None:
        """A reset does not end an answer without a length.

        If it did, the caller would receive a part of the body as a complete
        answer.
        """
        peer = Peer(b'HTTP/1.1 200 OK\r\n\r\npart', resets=True)

        async def exchange(peer_pool: pool.Pool) -> None:
            connection = await peer_pool.acquire()
            connection.send(REQUEST)
            with testtools.ExpectedException(channel.ChannelBrokenError):
                await connection.read_head()
                await read_body(connection)

        run(peer, exchange)

    def test_truncated(self) -> None:
        """An answer that is shorter than its length raises an error."""
        peer = Peer(answer_with_length(b'abc')[:-1], ends=True)

        async def exchange(peer_pool: pool.Pool) -> None:
            connection = await peer_pool.acquire()
            connection.send(REQUEST)
            with testtools.ExpectedException(channel.ChannelBrokenError):
                await read_body(connection)

        run(peer, exchange)

    @tables.cases(ends=True, resets=False)
    def test_half_head(self, ends: bool) -> None:
        """An answer whose connection ends inside its head is no answer."""
        heads = (
            b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Late: 1\r\n\r\n',
            b'HTTP/1.1 200 OK\r\nX-Late: 1\r\n\r\n',
            b'HTTP/1.1 204 No Content\r\nX-Late: 1\r\n\r\n',
            CHUNKED + b'1\r\na\r\n0\r\nX-Late: 1\r\n\r\n',
        )
        for head in heads:
            for size in range(1, len(head)):
                peer = Peer(head[:size], ends=ends, resets=not ends)

                async def exchange(peer_pool: pool.Pool) -> None:
                    with testtools.ExpectedException(
                        channel.ChannelBrokenError
                    ):
                        await pool.fetch(peer_pool, REQUEST, 5)

                run(peer, exchange)

    def test_invalid_answer(self) -> None:
        """Bytes that are not an HTTP answer raise an error."""
        peer = Peer(b'\x00\x01garbage\r\n\r\n')

        async def exchange(peer_pool: pool.Pool) -> None:
            connection = await peer_pool.acquire()
            connection.send(REQUEST)
            with testtools.ExpectedException(channel.ChannelBrokenError):
                await connection.read_head()

        run(peer, exchange)

    @tables.cases(
        headers=(b'', b'X-Filler: aaaaaaaa\r\n'),
        header_value=(b'X-Filler: ', b'a' * 20),
        interim=(None, b'HTTP/1.1 100 Continue\r\n\r\n'),
        status_line=(None, b'HTTP/1.1 200 ' + b'a' * 20),
        trailers=(CHUNKED + b'1\r\na\r\n0\r\n', b'X-Filler: aaaaaaaa\r\n'),
        chunk_extension=(CHUNKED + b'5;', b'a' * 20),
    )
    def test_no_end(self, case: tuple[bytes | None, bytes]) -> None:
        """Bytes without end that are no body filled the memory."""
        start, filler = case
        head = b'' if start is None else b'HTTP/1.1 200 OK\r\n' + start
        peer = Peer(head + filler * (ENDLESS_BYTES // len(filler)))

        async def exchange(peer_pool: pool.Pool) -> None:
            connection = await peer_pool.acquire()
            connection.send(REQUEST)
            with testtools.ExpectedException(channel.ChannelBrokenError):
                await connection.read_head()
                await read_body(connection)
            self.assertLess(connection.received_bytes, ENDLESS_BYTES / 4)

        run(peer, exchange)

    def test_small_chunks(self) -> None:
        """A body in chunks of one byte, most of which is framing, is read."""
        peer = Peer(
            b'HTTP/1.1 200 OK\r\n'
            + CHUNKED
            + b'0001\r\na\r\n' * 100_000
            + b'0\r\n\r\n'
        )

        async def exchange(peer_pool: pool.Pool) -> None:
            answer = await pool.fetch(peer_pool, REQUEST, 5)
            self.assertEqual(100_000, len(answer.body))

        run(peer, exchange)

    def test_endless_body(self) -> None:
        """The body of a whole answer filled the memory until its timeout."""
        peer = Peer(b'HTTP/1.1 200 OK\r\n\r\n' + b'a' * 2 * ENDLESS_BYTES)

        async def exchange(peer_pool: pool.Pool) -> None:
            with testtools.ExpectedException(
                channel.ChannelBrokenError, '.*longer than the limit.*'
            ):
                await pool.fetch(peer_pool, REQUEST, 10)

        run(peer, exchange)

    def test_surplus(self) -> None:
        """A connection with bytes after the answer is not reused.

        If an endpoint sent a second answer after the first, the next request
        on that connection would receive it.
        """
        for extra in (answer_with_length(b'late'), b'garbage'):
            peer = Peer(
                answer_with_length(b'a') + extra, answer_with_length(b'b')
            )

            async def exchange(peer_pool: pool.Pool) -> None:
                for expected in (b'a', b'b'):
                    answer = await pool.fetch(peer_pool, REQUEST, 5)
                    self.assertEqual(expected, answer.body)

            run(peer, exchange)
            self.assertEqual(2, peer.connection_count)

    def test_foreign_answer_first(self) -> None:
        """A late answer to an earlier request can be skipped."""
        peer = Peer(
            answer_with_length(b'theirs', b'other'),
            answer_with_length(b'ours', b'own'),
        )

        async def exchange(peer_pool: pool.Pool) -> None:
            connection = await peer_pool.acquire()
            connection.send(REQUEST)
            head = await connection.read_head()
            self.assertEqual(b'other', head.headers.get(b'x-name'))
            skipping = asyncio.create_task(connection.skip_to_next_answer())
            await asyncio.sleep(0)
            connection._transport.write(REQUEST)  # The peer's script goes on.
            head = await skipping
            self.assertEqual(b'own', head.headers.get(b'x-name'))
            self.assertEqual(b'ours', await read_body(connection))
            self.assertFalse(connection.finish())

        run(peer, exchange)

    def test_interim(self) -> None:
        """An interim answer is ignored."""
        peer = Peer(b'HTTP/1.1 100 Continue\r\n\r\n' + answer_with_length(b'a'))

        async def exchange(peer_pool: pool.Pool) -> None:
            answer = await pool.fetch(peer_pool, REQUEST, 5)
            self.assertEqual((200, b'a'), answer[:2])

        run(peer, exchange)

    def test_connection_close(self) -> None:
        """A connection is not reused after ``Connection: close``."""
        answer = answer_with_length(b'a').replace(
            b'X-Name: ', b'Connection: close'
        )
        peer = Peer(answer, answer_with_length(b'b'))

        async def exchange(peer_pool: pool.Pool) -> None:
            for _ in range(2):
                await pool.fetch(peer_pool, REQUEST, 5)

        run(peer, exchange)
        self.assertEqual(2, peer.connection_count)

    def test_refused(self) -> None:
        """A refused connection raises an error."""

        async def exchange() -> None:
            with testtools.ExpectedException(channel.ChannelBrokenError):
                await channel.Channel.connect(HOST, 1, 5)

        asyncio.run(exchange())

    def test_long_request_is_read_late(self) -> None:
        """A peer that stops reading a long request for a while is waited for.

        The kernel ended the connection after three seconds, though the peer's
        kernel acknowledged its probes and the peer would have gone on.
        """

        async def read_late(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(SILENT_SECONDS)
            await reader.readexactly(len(LONG_REQUEST))
            writer.write(answer_with_length(b'late'))

        async def exchange() -> None:
            server = await asyncio.start_server(read_late, HOST, 0)
            port = server.sockets[0].getsockname()[1]
            async with server:
                answer = await pool.fetch(
                    pool.Pool(HOST, port), LONG_REQUEST, 20
                )
            self.assertEqual(b'late', answer.body)

        asyncio.run(exchange())

    def test_user_timeout(self) -> None:
        """A peer that has lost its power is noticed after each short request.

        A reused connection would keep the setting of a long request.
        """
        timeouts = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            for request in (REQUEST, LONG_REQUEST, REQUEST):
                await reader.readexactly(len(request))
                writer.write(answer_with_length(b''))

        async def exchange() -> None:
            server = await asyncio.start_server(serve, HOST, 0)
            port = server.sockets[0].getsockname()[1]
            async with server:
                connection = await channel.Channel.connect(HOST, port, 5)
                sock = connection._transport.get_extra_info('socket')
                for request in (REQUEST, LONG_REQUEST, REQUEST):
                    connection.send(request)
                    await connection.read_head()
                    await read_body(connection)
                    timeouts.append(
                        sock.getsockopt(
                            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
                        )
                    )
                    self.assertTrue(connection.finish())
                connection.abort()

        asyncio.run(exchange())
        self.assertEqual([3000, 0, 3000], timeouts)


class PoolTest(testtools.TestCase):
    """Idle connections that the peer may be closing are not reused."""

    def test_idle_too_long(self) -> None:
        """A connection that was idle for too long is replaced."""
        peer = Peer(answer_with_length(b'a'), answer_with_length(b'b'))

        async def exchange(peer_pool: pool.Pool) -> None:
            await pool.fetch(peer_pool, REQUEST, 5)
            connection = await peer_pool.acquire(max_idle_seconds=-1)
            connection.send(REQUEST)
            await connection.read_head()

        run(peer, exchange)
        self.assertEqual(2, peer.connection_count)

    def test_keep_alive_timeout(self) -> None:
        """The peer's keep-alive timeout is read from its answer."""
        answer = answer_with_length(b'a').replace(
            b'X-Name: ', b'Keep-Alive: timeout=5'
        )

        async def exchange(peer_pool: pool.Pool) -> None:
            await pool.fetch(peer_pool, REQUEST, 5)
            connection = await peer_pool.acquire()
            self.assertEqual(5, connection.keep_alive_seconds)
            connection.abort()
            peer_pool.release(connection)

        run(Peer(answer), exchange)
