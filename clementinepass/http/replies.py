"""Answer to one request of a caller, sent at once or in chunks."""

from __future__ import annotations

import asyncio
import typing

if typing.TYPE_CHECKING:
    from clementinepass.http import endings, messages


class ReplyConnection(typing.Protocol):
    """The part of a connection that replies use."""

    def write_head(self, status: int, pairs: list[messages.Pair]) -> None:
        """Write the head of an answer."""

    def write(self, payload: bytes) -> None:
        """Write bytes, unless the connection is closing."""

    def abort(self) -> None:
        """Close the connection immediately."""

    @property
    def ending(self) -> endings.End:
        """Why the connection ended; ``OPEN`` while it has not."""

    @property
    def is_blocked(self) -> bool:
        """Return whether the write buffer is full."""

    async def wait_writable(self) -> None:
        """Wait until the write buffer has free space."""


class Reply:
    """Answer to one request, sent at once or in chunks."""

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
        #: Whether the head was sent.
        self.is_started = False
        #: Whether the answer is complete or aborted.
        self.is_done = False
        #: The status sent; 0 before the head was sent.
        self.status = 0
        #: Number of chunks of the body that were sent.
        self.written_chunks = 0
        #: Monotonic time in seconds at which the last chunk was sent.
        self.last_written_at: float | None = None

    def send(
        self,
        status: int,
        pairs: list[messages.Pair],
        body: bytes,
    ) -> None:
        """Send a complete answer with a ``Content-Length``."""
        self.is_started = True
        self.is_done = True
        self.status = status
        framed_pairs = [*pairs, (b'Content-Length', b'%d' % len(body))]
        self._connection.write_head(status, framed_pairs)
        if body:
            self._connection.write(body)

    def start(self, status: int, pairs: list[messages.Pair]) -> None:
        """Send the head of a chunked answer, whose length is unknown."""
        self.is_started = True
        self.status = status
        framed_pairs = [*pairs, (b'Transfer-Encoding', b'chunked')]
        self._connection.write_head(status, framed_pairs)

    def write(self, payload: bytes) -> None:
        """Send one chunk of the body."""
        self.written_chunks += 1
        self.last_written_at = asyncio.get_running_loop().time()
        self._connection.write(b'%x\r\n%b\r\n' % (len(payload), payload))

    def end(self) -> None:
        """Send the last chunk, which marks the answer as complete."""
        self.is_done = True
        self._connection.write(b'0\r\n\r\n')

    @property
    def ending(self) -> endings.End:
        """Why the connection ended; ``OPEN`` while it has not."""
        return self._connection.ending

    @property
    def is_blocked(self) -> bool:
        """Return whether the caller reads too slowly to send more."""
        return self._connection.is_blocked

    def abort(self) -> None:
        """Close the connection, so that the answer is seen as incomplete."""
        self.is_done = True
        self._connection.abort()

    async def wait_writable(self) -> None:
        """Wait until the caller has read most of what was sent."""
        await self._connection.wait_writable()
