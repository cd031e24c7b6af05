"""The answer to one request of a caller, sent whole or piece by piece."""

from __future__ import annotations

import asyncio
import typing

if typing.TYPE_CHECKING:
    from clementinepass.http import endings, messages


class ReplyConnection(typing.Protocol):
    """What a reply needs of its connection."""

    def write_head(self, status: int, pairs: list[messages.Pair]) -> None:
        """Write the head of an answer."""

    def write(self, payload: bytes) -> None:
        """Write bytes, unless the caller has left."""

    def abort(self) -> None:
        """End the connection at once."""

    @property
    def ending(self) -> endings.End:
        """Return why the connection ended."""

    @property
    def is_blocked(self) -> bool:
        """Tell whether the caller has yet to read what was written."""

    async def wait_writable(self) -> None:
        """Wait until there is room for more."""


class Reply:
    """The answer to one request, sent whole or piece by piece."""

    __slots__ = (
        '_connection',
        'is_started',
        'is_done',
        'written_chunks',
        'status',
        'last_written_at',
    )

    def __init__(self, connection: ReplyConnection) -> None:
        self._connection = connection
        #: Whether the head went out.
        self.is_started = False
        #: Whether the answer is whole, or broken off for good.
        self.is_done = False
        #: The status sent; 0 before that.
        self.status = 0
        #: Pieces of the body that went out.
        self.written_chunks = 0
        #: Monotonic seconds at which the last of them did.
        self.last_written_at: float | None = None

    def send(
        self,
        status: int,
        pairs: list[messages.Pair],
        body: bytes,
    ) -> None:
        """Send a whole answer."""
        self.is_started = True
        self.is_done = True
        self.status = status
        framed = [*pairs, (b'Content-Length', b'%d' % len(body))]
        self._connection.write_head(status, framed)
        if body:
            self._connection.write(body)

    def start(self, status: int, pairs: list[messages.Pair]) -> None:
        """Send the head of an answer whose length isn't known yet."""
        self.is_started = True
        self.status = status
        framed = [*pairs, (b'Transfer-Encoding', b'chunked')]
        self._connection.write_head(status, framed)

    def write(self, payload: bytes) -> None:
        """Send one piece of the body."""
        self.written_chunks += 1
        self.last_written_at = asyncio.get_running_loop().time()
        self._connection.write(b'%x\r\n%b\r\n' % (len(payload), payload))

    def end(self) -> None:
        """Send the mark by which the caller knows the answer to be whole."""
        self.is_done = True
        self._connection.write(b'0\r\n\r\n')

    @property
    def ending(self) -> endings.End:
        """Return why the connection ended."""
        return self._connection.ending

    @property
    def is_blocked(self) -> bool:
        """Tell whether the caller reads too slowly for more to be sent."""
        return self._connection.is_blocked

    def abort(self) -> None:
        """End the connection, so that the answer can't be taken for whole."""
        self.is_done = True
        self._connection.abort()

    async def wait_writable(self) -> None:
        """Wait until the caller has read most of what was sent."""
        await self._connection.wait_writable()
