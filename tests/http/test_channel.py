"""Tests of outgoing connections with peers that answer badly."""

from __future__ import annotations

import asyncio
import socket
import struct
import typing

import testtools

from clementinepass.http import channel, messages, pool

HOST = '127.0.0.1'
REQUEST = messages.request_bytes(b'GET', b'/', [(b'Host', b'h')], b'')


class Peer:
    """A peer that answers each request with the next bytes of a script.

    :param resets: whether it resets the connection after the last answer.
    :param ends: whether it ends the connection after each answer.
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
        self.connections = 0
        self.port = 0
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> typing.Self:
        self._server = await asyncio.start_server(self._talk, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *raised: object) -> None:
        assert self._server is not None
        self._server.close()

    async def _talk(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections += 1
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


def whole(answer: bytes, name: bytes = b'') -> bytes:
    """Return an answer with a length."""
    return b'HTTP/1.1 200 OK\r\nX-Name: %b\r\nContent-Length: %d\r\n\r\n%b' % (
        name,
        len(answer),
        answer,
    )


async def body_of(used: channel.Channel) -> bytes:
    """Return the whole body."""
    parts = []
    while part := await used.read():
        parts.append(part)
    return b''.join(parts)


def run(
    peer: Peer,
    play: typing.Callable[[pool.Pool], typing.Awaitable[None]],
) -> None:
    """Play against a peer."""

    async def served() -> None:
        async with peer, asyncio.timeout(20):
            await play(pool.Pool(HOST, peer.port))

    asyncio.run(served())


class ChannelTest(testtools.TestCase):
    """Only a whole answer is whole."""

    def test_kept(self) -> None:
        """Answers with an end leave the connection for the next."""
        peer = Peer(whole(b'a'), whole(b'b'))

        async def play(peers: pool.Pool) -> None:
            for expected in (b'a', b'b'):
                fetched = await pool.fetch(peers, REQUEST, 5)
                self.assertEqual(expected, fetched.body)

        run(peer, play)
        self.assertEqual(1, peer.connections)

    def test_no_length(self) -> None:
        """An answer without a length ends with its connection."""
        peer = Peer(b'HTTP/1.1 200 OK\r\n\r\nall of it', ends=True)

        async def play(peers: pool.Pool) -> None:
            fetched = await pool.fetch(peers, REQUEST, 5)
            self.assertEqual(b'all of it', fetched.body)

        run(peer, play)

    def test_no_length_and_reset(self) -> None:
        """An answer without a length was cut by a reset.

        The caller got a part of the body as if it were the whole: the end of
        the connection was taken for the end of the answer.
        """
        peer = Peer(b'HTTP/1.1 200 OK\r\n\r\npart', resets=True)

        async def play(peers: pool.Pool) -> None:
            used = await peers.acquire()
            used.send(REQUEST)
            with testtools.ExpectedException(channel.ChannelBrokenError):
                await used.read_head()
                await body_of(used)

        run(peer, play)

    def test_cut_short(self) -> None:
        """An answer that is shorter than its length breaks off."""
        peer = Peer(whole(b'abc')[:-1], ends=True)

        async def play(peers: pool.Pool) -> None:
            used = await peers.acquire()
            used.send(REQUEST)
            with testtools.ExpectedException(channel.ChannelBrokenError):
                await body_of(used)

        run(peer, play)

    def test_no_answer(self) -> None:
        """Bytes that are no answer break the connection."""
        peer = Peer(b'\x00\x01garbage\r\n\r\n')

        async def play(peers: pool.Pool) -> None:
            used = await peers.acquire()
            used.send(REQUEST)
            with testtools.ExpectedException(channel.ChannelBrokenError):
                await used.read_head()

        run(peer, play)

    def test_surplus(self) -> None:
        """An endpoint sent a second answer after the first.

        The next caller on that connection got an answer that belonged to the
        one before. A connection with a byte too many isn't used again.
        """
        for extra in (whole(b'late'), b'garbage'):
            peer = Peer(whole(b'a') + extra, whole(b'b'))

            async def play(peers: pool.Pool) -> None:
                for expected in (b'a', b'b'):
                    fetched = await pool.fetch(peers, REQUEST, 5)
                    self.assertEqual(expected, fetched.body)

            run(peer, play)
            self.assertEqual(2, peer.connections)

    def test_foreign_answer_first(self) -> None:
        """The answer to an earlier request stands before the own one."""
        peer = Peer(whole(b'theirs', b'other'), whole(b'ours', b'own'))

        async def play(peers: pool.Pool) -> None:
            used = await peers.acquire()
            used.send(REQUEST)
            head = await used.read_head()
            self.assertEqual(b'other', head.headers.get(b'x-name'))
            following = asyncio.create_task(used.skip_to_next_answer())
            await asyncio.sleep(0)
            used._transport.write(REQUEST)  # The peer's script goes on.
            head = await following
            self.assertEqual(b'own', head.headers.get(b'x-name'))
            self.assertEqual(b'ours', await body_of(used))
            self.assertFalse(used.finish())

        run(peer, play)

    def test_interim(self) -> None:
        """An interim answer is passed over."""
        peer = Peer(b'HTTP/1.1 100 Continue\r\n\r\n' + whole(b'a'))

        async def play(peers: pool.Pool) -> None:
            fetched = await pool.fetch(peers, REQUEST, 5)
            self.assertEqual((200, b'a'), fetched[:2])

        run(peer, play)

    def test_connection_close(self) -> None:
        """A peer that says so isn't sent another request there."""
        answer = whole(b'a').replace(b'X-Name: ', b'Connection: close')
        peer = Peer(answer, whole(b'b'))

        async def play(peers: pool.Pool) -> None:
            for _ in range(2):
                await pool.fetch(peers, REQUEST, 5)

        run(peer, play)
        self.assertEqual(2, peer.connections)

    def test_refused(self) -> None:
        """No listener: nothing was sent."""

        async def play() -> None:
            with testtools.ExpectedException(channel.ChannelBrokenError):
                await channel.Channel.connect(HOST, 1, 5)

        asyncio.run(play())


class PoolTest(testtools.TestCase):
    """Connections that may be about to end aren't used."""

    def test_idle_too_long(self) -> None:
        """One that was idle longer than allowed is replaced."""
        peer = Peer(whole(b'a'), whole(b'b'))

        async def play(peers: pool.Pool) -> None:
            await pool.fetch(peers, REQUEST, 5)
            used = await peers.acquire(max_idle_seconds=-1)
            used.send(REQUEST)
            await used.read_head()

        run(peer, play)
        self.assertEqual(2, peer.connections)

    def test_keep_alive_heeded(self) -> None:
        """A peer that keeps connections for no time gets a new one."""
        answer = whole(b'a').replace(b'X-Name: ', b'Keep-Alive: timeout=5')

        async def play(peers: pool.Pool) -> None:
            await pool.fetch(peers, REQUEST, 5)
            used = await peers.acquire()
            self.assertEqual(5, used.keep_alive_seconds)
            used.abort()
            peers.release(used)

        run(Peer(answer), play)
