"""Clients that send much, or odd input, and do not finish their requests."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import typing

_SEGMENT_BYTES = 65536
_SMALL_BYTES = 4096
_REPEAT_SECONDS = 0.2
_POLL_SECONDS = 0.1
#: Polls without progress after which a crowd has sent what it can.
_STALLED_POLLS = 20
#: Largest head that the limits of callers allow.
_HEAD_BYTES = 16384

_START = (
    b'POST /plain/a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: crowd\r\n'
    b'X-Deadline-Ms: %d\r\n'
)


class Kind(typing.NamedTuple):
    """What each client of a crowd sends.

    :param payload: sent once.
    :param repeated: sent again and again afterwards, if not empty.
    """

    payload: bytes
    repeated: bytes = b''


def head(
    framing: bytes,
    filler: typing.Iterable[bytes] = (),
    deadline_ms: int = 6000,
) -> bytes:
    """Return a head, filled with lines up to the limit.

    :param framing: a header line that frames the body.
    """
    start = _START % deadline_ms
    lines = [start, framing]
    room = _HEAD_BYTES - len(start) - len(framing) - 2
    for line in filler:
        if len(line) > room:
            break
        lines.append(line)
        room -= len(line)
    return b''.join((*lines, b'\r\n'))


def chunks(size: int, total: int) -> bytes:
    """Return a body of equal chunks without its end."""
    chunk = b'%x\r\n%b\r\n' % (size, b'x' * size)
    return chunk * (total // size)


class Client:
    """One client, which keeps its connection for as long as it can."""

    def __init__(self, host: str, port: int, kind: Kind) -> None:
        self._address = (host, port)
        self._kind = kind
        #: Bytes handed to the kernel.
        self.sent_bytes = 0
        #: What came back first, up to the size of a head.
        self.answer = b''
        #: Whether all of the payload is sent, or the connection has ended.
        self.is_placed = False

    async def run(self) -> None:
        """Send until cancelled or until the connection ends."""
        writer: asyncio.StreamWriter | None = None
        try:
            reader, writer = await self._connect()
            await self._send(reader, writer)
        except OSError:
            """The connection was refused or reset."""
        finally:
            self.is_placed = True
            if writer is not None:
                writer.transport.abort()

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self._address)

    async def _send(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sending = asyncio.create_task(self._write(writer))
        try:
            self.answer = await reader.read(_SEGMENT_BYTES)
            while await reader.read(_SEGMENT_BYTES):
                """Read to the end."""
        finally:
            sending.cancel()

    async def _write(self, writer: asyncio.StreamWriter) -> None:
        payload = self._kind.payload
        with contextlib.suppress(OSError):
            for start in range(0, len(payload), _SEGMENT_BYTES):
                await self._write_part(
                    writer, payload[start : start + _SEGMENT_BYTES]
                )
            self.is_placed = True
            while self._kind.repeated:
                await asyncio.sleep(_REPEAT_SECONDS)
                await self._write_part(writer, self._kind.repeated)

    async def _write_part(
        self, writer: asyncio.StreamWriter, part: bytes
    ) -> None:
        writer.write(part)
        await writer.drain()
        self.sent_bytes += len(part)


class UnreadingClient(Client):
    """A client that reads no answers."""

    async def _send(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await self._write(writer)
        await asyncio.Event().wait()


class SmallWindowClient(UnreadingClient):
    """The same, with a small buffer for what it does not read."""

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BYTES)
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, self._address)
        return await asyncio.open_connection(sock=client)


class Crowd:
    """Some clients at one address.

    :param clients: the clients.
    """

    def __init__(self, clients: typing.Iterable[Client]) -> None:
        self.clients = list(clients)
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> typing.Self:
        """Start all clients; wait until they have sent what they can."""
        self._tasks = [
            asyncio.create_task(client.run()) for client in self.clients
        ]
        sent_bytes, stalled_polls = -1, 0
        while not all(client.is_placed for client in self.clients):
            await asyncio.sleep(_POLL_SECONDS)
            before = sent_bytes
            sent_bytes = sum(client.sent_bytes for client in self.clients)
            stalled_polls = 0 if sent_bytes > before else stalled_polls + 1
            if stalled_polls >= _STALLED_POLLS:
                break
        return self

    async def wait_until_closed(self) -> None:
        """Wait until the connections of all clients have ended."""
        await asyncio.wait(self._tasks)

    async def __aexit__(self, *raised: object) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
