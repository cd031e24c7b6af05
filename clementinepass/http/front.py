"""The HTTP/1.1 front: listens for callers and hands their requests on."""

from __future__ import annotations

import asyncio
import contextlib
import math
import typing

from loguru import logger

from clementinepass.http import connection, limits

if typing.TYPE_CHECKING:
    from collections.abc import Callable

#: Seconds between lines on input that was refused. Each connection can cause
#: one, and whoever sends garbage would crowd out the lines of requests.
_TOLD_EACH = 1.0


class Front:
    """Listen for callers and hand their requests to a handler.

    :param handler: serves one request.
    :param bounds: returns the bounds in force, asked anew at each use.
    """

    __slots__ = (
        '_refused',
        '_server',
        '_told_at',
        'bounds',
        'connections',
        'handler',
        'leaving',
    )

    def __init__(
        self,
        handler: connection.Handler,
        bounds: Callable[[], limits.Bounds] = limits.Bounds,
    ) -> None:
        self.handler = handler
        self.bounds = bounds
        #: The connections that are open.
        self.connections: set[connection.Connection] = set()
        #: Whether answers tell callers to use the connection no more.
        self.leaving = False
        self._server: asyncio.Server | None = None
        self._refused = 0
        self._told_at = -math.inf

    async def listen(self, host: str, port: int) -> int:
        """Listen and return the port that was bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: connection.Connection(self),
            host,
            port,
            backlog=512,
            reuse_address=True,
        )
        return int(self._server.sockets[0].getsockname()[1])

    def stop_listening(self) -> None:
        """Take no more connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> int:
        """End the connections without a request; return how many remain."""
        for one in list(self.connections):
            if one.idle:
                one.close()
        return len(self.connections)

    def busy(self) -> int:
        """Return how many connections have a request in progress."""
        return sum(not one.idle for one in self.connections)

    def refused_input(self, status: int) -> None:
        """Tell of input that is no request to serve, in bounded number."""
        self._refused += 1
        now = asyncio.get_running_loop().time()
        if now - self._told_at < _TOLD_EACH:
            return
        logger.bind(status=status, refused=self._refused).info('input refused')
        self._told_at = now
        self._refused = 0

    async def close(self) -> None:
        """End all connections at once."""
        self.stop_listening()
        for one in list(self.connections):
            one.cut()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(0)
