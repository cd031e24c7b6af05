"""A WSGI server on threads that stops within a bounded time."""

from __future__ import annotations

import contextlib
import functools
import socket
import threading
import time
import typing

from cheroot import makefile, server, wsgi
from loguru import logger

from clementinepass.http import receiving

#: Seconds in which requests that have just been answered may finish writing.
_FINISH_SECONDS = 0.5
#: Seconds in which threads have to end after their connections were shut down.
_ABORT_SECONDS = 1.0
_POLL_SECONDS = 0.05
#: Longest body of servers that take none.
_DEFAULT_BODY_BYTES = 1 << 20


class Server:
    """Serve a WSGI application on threads of its own.

    :param name: name of the accepting thread, and of the server in the log.
    :param max_body_bytes: bytes of a body above which the application gets the
        request before it is complete.
    :param options: further options of :class:`cheroot.wsgi.Server`.
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        app: typing.Any,
        max_body_bytes: int = _DEFAULT_BODY_BYTES,
        **options: typing.Any,
    ) -> None:
        self._name = name
        self._connections = _Connections()
        self._server = _WsgiServer(address, app, **options)
        self._receiver = receiving.Receiver(
            name,
            self._server.hand_over,
            self._server.timeout,
            max_body_bytes=max_body_bytes,
        )
        self._server.receiver = self._receiver
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
        self._receiver.start()
        self._thread.start()

    def close(self) -> None:
        """Stop serving within a bounded time; blocks.

        The library waits for its threads without a limit. A client that sends
        half a request or reads no response would keep the process from ending,
        so connections that are still open after a short time are shut down.
        """
        began = time.monotonic()
        self._receiver.stop()
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
        # Those that were accepted as the server stopped.
        aborted += self._connections.shut_down()
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


class _WsgiServer(wsgi.Server):
    """A server whose threads get connections with a whole request."""

    receiver: receiving.Receiver

    def process_conn(self, connection: _Connection) -> None:
        """Handle a connection that is new, or has more to read."""
        self.receiver.add(connection)

    def hand_over(self, connection: _Connection) -> None:
        """Serve a connection whose request is complete."""
        wsgi.Server.process_conn(self, connection)


class _ReceivedIO(socket.SocketIO):
    """Reads what was received of a socket, then the socket itself."""

    def __init__(self, connected: socket.socket) -> None:
        super().__init__(connected, 'rb')
        #: Bytes that were received and not read.
        self.received = bytearray()

    def readinto(self, buffer: typing.Any) -> int | None:
        """Read into a buffer; return the number of bytes."""
        if not self.received:
            return super().readinto(buffer)
        count = min(len(buffer), len(self.received))
        buffer[:count] = self.received[:count]  # noqa: WPS362
        del self.received[:count]
        return count


class _Reader(makefile.StreamReader):
    """The buffered input of a connection."""

    def __init__(self, connected: socket.socket, buffer_bytes: int) -> None:
        # The library's own input is the socket alone.
        self.input = _ReceivedIO(connected)
        makefile.io.BufferedReader.__init__(  # type: ignore[attr-defined]
            self, self.input, buffer_bytes
        )
        self.bytes_read = 0

    def has_data(self) -> bool:
        """Return whether there is input that needs no waiting."""
        return bool(self.input.received) or self._has_buffered()

    def take_back(self) -> None:
        """Put the buffered bytes back to the received ones."""
        if self._has_buffered():
            buffered = self.read1(len(self.peek()))
            self.input.received = bytearray(buffered) + self.input.received

    def _has_buffered(self) -> bool:
        return bool(makefile.StreamReader.has_data(self))


def _make_file(
    connected: socket.socket, mode: str, buffer_bytes: int
) -> _Reader | makefile.StreamWriter:
    """Return the buffered input or output of a connection."""
    if 'r' in mode:
        return _Reader(connected, buffer_bytes)
    return makefile.StreamWriter(connected, mode, buffer_bytes)


class _Connection(server.HTTPConnection):
    """A connection that is known from its beginning to its end."""

    def __init__(
        self,
        connections: _Connections,
        http_server: _WsgiServer,
        connected: socket.socket,
        *arguments: typing.Any,
    ) -> None:
        super().__init__(http_server, connected, _make_file)
        self._connections = connections
        connections.add(self)

    @property
    def received(self) -> bytearray:
        """Return the bytes that were received and not read by a thread."""
        return self.rfile.input.received

    def take_back_buffered(self) -> None:
        """Put bytes that a thread has read ahead back to the received ones."""
        self.rfile.take_back()

    def close(self) -> None:
        """Close the connection."""
        self._connections.discard(self)
        super().close()
