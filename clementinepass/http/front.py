"""HTTP/1.1 server that passes callers' requests to a handler."""

from __future__ import annotations

import asyncio
import contextlib
import math
import typing

from loguru import logger

from clementinepass.decisions import shedding
from clementinepass.http import (
    connection,
    held_memory,
    limits,
    listener,
    open_connections,
)

if typing.TYPE_CHECKING:
    from collections.abc import Callable

#: Minimum number of seconds between log lines on refused input. Each connection
#: can cause one, and a client that sends garbage would otherwise crowd out the
#: log lines of requests.
_LOG_INTERVAL_SECONDS = 1.0


class FrontFactory:
    """Creates the fronts of a process, which share its memory and descriptors.

    :param memory: counts the bytes held for clients.
    :param connections: the open connections of clients.
    """

    __slots__ = ('connections', 'memory')

    def __init__(
        self,
        memory: held_memory.HeldMemory,
        connections: open_connections.OpenConnections,
    ) -> None:
        self.memory = memory
        self.connections = connections

    @classmethod
    def from_limits(cls, memory_bytes: int, sockets: int) -> FrontFactory:
        """Create the factory of a process.

        :param memory_bytes: memory of the process; 0 if not limited.
        :param sockets: most sockets of the process; 0 if not limited.
        """
        return cls(
            held_memory.HeldMemory.from_memory(memory_bytes),
            open_connections.OpenConnections(
                shedding.ConnectionLimits.from_sockets(sockets)
            ),
        )

    def create(
        self,
        handler: connection.Handler,
        bounds: Callable[[], limits.Bounds] = limits.Bounds,
    ) -> Front:
        """Create a front."""
        return Front(handler, bounds, self.memory, self.connections)


class Front:
    """HTTP/1.1 server for callers.

    :param handler: serves one request.
    :param bounds: returns the current limits; called at each use, as they
        change with the configuration.
    :param memory: counts the bytes held for callers; without a bound if absent.
    :param shared_connections: the connections of all fronts of the process;
        those of this front alone, without a limit, if absent.
    """

    __slots__ = (
        '_refused_count',
        '_listener',
        '_logged_at',
        'bounds',
        'connections',
        'handler',
        'is_draining',
        'memory',
        'shared_connections',
    )

    def __init__(
        self,
        handler: connection.Handler,
        bounds: Callable[[], limits.Bounds] = limits.Bounds,
        memory: held_memory.HeldMemory | None = None,
        shared_connections: open_connections.OpenConnections | None = None,
    ) -> None:
        self.handler = handler
        self.bounds = bounds
        self.memory = memory or held_memory.HeldMemory()
        self.shared_connections = (
            open_connections.OpenConnections()
            if shared_connections is None
            else shared_connections
        )
        #: The open connections.
        self.connections: set[connection.Connection] = set()
        #: Whether answers close their connections, since the process drains.
        self.is_draining = False
        self._listener: listener.Listener | None = None
        self._refused_count = 0
        self._logged_at = -math.inf

    async def listen(self, host: str, port: int) -> int:
        """Start listening; return the bound port."""
        self._listener = listener.Listener(
            self.shared_connections, lambda: connection.Connection(self)
        )
        return self._listener.listen(host, port)

    def stop_listening(self) -> None:
        """Accept no more connections."""
        if self._listener is not None:
            self._listener.close()

    def close_idle(self) -> int:
        """Close the idle connections; return the number of open ones.

        A closed connection counts until the event loop reports its end.
        """
        for open_connection in list(self.connections):
            if open_connection.is_idle:
                open_connection.close_for_shutdown()
        return len(self.connections)

    def busy_count(self) -> int:
        """Return the number of connections with a request in progress.

        A request is in progress until its answer has been handed to the kernel,
        which sends it even if the process ends.
        """
        return sum(
            not open_connection.is_idle or open_connection.has_unsent_bytes
            for open_connection in self.connections
        )

    def report_refused_input(self, status: int) -> None:
        """Log input that was refused before it became a request.

        Refusals between two log lines are counted in the next one.
        """
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
        """Stop listening and close all connections immediately."""
        self.stop_listening()
        for open_connection in list(self.connections):
            open_connection.abort_for_shutdown()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(0)
