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
_LOG_INTERVAL_SECONDS = 1.0


class Front:
    """Listen for callers and hand their requests to a handler.

    :param handler: serves one request.
    :param bounds: returns the bounds in force, asked anew at each use.
    """

    __slots__ = (
        '_refused_count',
        '_server',
        '_logged_at',
        'bounds',
        'connections',
        'handler',
        'is_draining',
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
        self.is_draining = False
        self._server: asyncio.Server | None = None
        self._refused_count = 0
        self._logged_at = -math.inf

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
        for open_connection in list(self.connections):
            if open_connection.is_idle:
                open_connection.close_for_shutdown()
        return len(self.connections)

    def busy_count(self) -> int:
        """Return how many connections have a request in progress."""
        return sum(
            not open_connection.is_idle for open_connection in self.connections
        )

    def report_refused_input(self, status: int) -> None:
        """Tell of input that is no request to serve, in bounded number."""
        self._refused_count += 1
        now = asyncio.get_running_loop().time()
        if now - self._logged_at < _LOG_INTERVAL_SECONDS:
            return
        logger.bind(status=status, refused=self._refused_count).info(
            'input refused'
        )
        self._logged_at = now
        self._refused_count = 0

    async def close(self) -> None:
        """End all connections at once."""
        self.stop_listening()
        for open_connection in list(self.connections):
            open_connection.abort_for_shutdown()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(0)
