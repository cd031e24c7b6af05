"""Accept connections within the limit of a process."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
import typing

from loguru import logger

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from clementinepass.http import open_connections

#: Connections that the kernel queues until they are accepted.
_BACKLOG = 512
#: Connections accepted at once.
_BATCH = 32
#: Seconds until the next try after the descriptors have run out.
_PAUSE_SECONDS = 0.1
_NO_DESCRIPTOR = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS))


class Listener:
    """Listens on one address.

    The server of :mod:`asyncio` accepts all connections that wait before it
    reports one of them, so that a crowd takes all descriptors.

    :param connections: the open connections; asked before one is accepted.
    """

    __slots__ = ('_connections', '_factory', '_loop', '_opening', '_socket')

    def __init__(
        self,
        connections: open_connections.OpenConnections,
        factory: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        self._connections = connections
        self._factory = factory
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = None
        self._opening: set[asyncio.Task[None]] = set()

    def listen(self, host: str, port: int) -> int:
        """Start listening; return the bound port."""
        listening = socket.create_server((host, port), backlog=_BACKLOG)
        listening.setblocking(False)
        self._socket = listening
        self._loop.add_reader(listening, self._accept)
        return int(listening.getsockname()[1])

    def close(self) -> None:
        """Accept no more connections."""
        if self._socket is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def _accept(self) -> None:
        for _ in range(_BATCH):
            if self._socket is None:
                return
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self._pause(error)
                return
            self._open(accepted)

    def _open(self, accepted: socket.socket) -> None:
        if not self._connections.has_room(opening=len(self._opening)):
            self._connections.report_refused()
            accepted.close()
            return
        accepted.setblocking(False)
        # The event loop sets this only for sockets that name their protocol.
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = self._loop.create_task(self._connect(accepted))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _connect(self, accepted: socket.socket) -> None:
        with contextlib.suppress(OSError):
            await self._loop.connect_accepted_socket(self._factory, accepted)

    def _pause(self, error: OSError) -> None:
        """Stop accepting for a moment, as there is no descriptor."""
        if error.errno not in _NO_DESCRIPTOR:
            raise error
        logger.bind(step='accept', error=repr(error)).error(
            'no descriptor for a connection'
        )
        listening = typing.cast(socket.socket, self._socket)
        self._loop.remove_reader(listening)
        self._loop.call_later(_PAUSE_SECONDS, self._resume)

    def _resume(self) -> None:
        if self._socket is not None:
            self._loop.add_reader(self._socket, self._accept)
