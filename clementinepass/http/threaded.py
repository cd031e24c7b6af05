"""A WSGI server on threads that stops within a bounded time."""

from __future__ import annotations

import contextlib
import functools
import socket
import threading
import time
import typing

from cheroot import server, wsgi
from loguru import logger

#: Seconds in which requests that have just been answered may finish writing.
_FINISH_SECONDS = 0.5
#: Seconds in which threads have to end after their connections were shut down.
_ABORT_SECONDS = 1.0
_POLL_SECONDS = 0.05


class Server:
    """Serve a WSGI application on threads of its own.

    :param name: name of the accepting thread, and of the server in the log.
    :param options: further options of :class:`cheroot.wsgi.Server`.
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        app: typing.Any,
        **options: typing.Any,
    ) -> None:
        self._name = name
        self._connections = _Connections()
        self._server = wsgi.Server(address, app, **options)
        self._server.ConnectionClass = functools.partial(
            _Connection, self._connections
        )
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name=name, daemon=True
        )

    @property
    def port(self) -> int:
        """Return the port that was bound."""
        return int(self._server.bind_addr[1])

    def set_gateway(self, gateway: type) -> None:
        """Set the class that calls the application."""
        self._server.gateway = gateway

    def start(self) -> None:
        """Begin to serve."""
        self._thread.start()

    def close(self) -> None:
        """Stop serving within a bounded time; blocks.

        The library waits for its threads without a limit. A client that sends
        half a request or reads no response would keep the process from ending,
        so connections that are still open after a short time are shut down.
        """
        began = time.monotonic()
        stopping = threading.Thread(
            target=self._server.stop, name=f'{self._name}-stop', daemon=True
        )
        stopping.start()
        stopping.join(_FINISH_SECONDS)
        aborted = 0
        deadline = time.monotonic() + _ABORT_SECONDS
        while stopping.is_alive() and time.monotonic() < deadline:
            aborted += self._connections.shut_down()
            stopping.join(_POLL_SECONDS)
        event = logger.bind(
            step='close',
            server=self._name,
            seconds=round(time.monotonic() - began, 3),
            connections=aborted,
        )
        if stopping.is_alive():
            event.error('server closed, but some of its threads still run')
        else:
            event.info('server closed')


class _Connections:
    """The open connections of a server; used by all of its threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._connections: set[_Connection] = set()

    def add(self, connection: _Connection) -> None:
        with self._lock:
            self._connections.add(connection)

    def discard(self, connection: _Connection) -> None:
        with self._lock:
            self._connections.discard(connection)

    def shut_down(self) -> int:
        """Shut down all connections, and return how many were open."""
        with self._lock:
            connections = tuple(self._connections)
            self._connections.clear()
        for connection in connections:
            # The client may have closed the connection just before.
            with contextlib.suppress(OSError):
                connection.socket.shutdown(socket.SHUT_RDWR)
        return len(connections)


class _Connection(server.HTTPConnection):
    """A connection that is known from its beginning to its end."""

    def __init__(
        self,
        connections: _Connections,
        *arguments: typing.Any,
    ) -> None:
        super().__init__(*arguments)
        self._connections = connections
        connections.add(self)

    def close(self) -> None:
        """Close the connection."""
        self._connections.discard(self)
        super().close()
