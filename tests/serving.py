"""Servers that tests talk to over loopback."""

from __future__ import annotations

import contextlib
import socket
import threading
import typing

import msgspec
import urllib3

from standins import faults, http

_FEW_THREADS = 8


def serve(
    case: typing.Any,
    application: http.Application,
    threads: int = _FEW_THREADS,
) -> str:
    """Serve an application until the test ends; return its address."""
    server = http.Server(application, threads=threads)
    server.__enter__()
    case.addCleanup(server.__exit__, None, None, None)
    return server.address


def order(address: str, **changes: object) -> None:
    """Change the faults that a stand-in shows."""
    body = msgspec.json.encode(faults.FaultOrder(**changes))
    control(address, '/control/faults', body)


def control(
    address: str,
    path: str,
    body: bytes,
    method: str = 'POST',
) -> bytes:
    """Make a call that must succeed."""
    answer = urllib3.request(method, f'http://{address}{path}', body=body)
    assert answer.status == 200, answer.data
    return answer.data


def fault(kind: str, **details: object) -> faults.Fault:
    """Return one fault of a kind."""
    return faults.Fault(faults.Kind(kind), **details)


def closed_address() -> str:
    """Return an address at which nothing listens."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return '127.0.0.1:{0}'.format(probe.getsockname()[1])


class RawServer:
    """Answer each connection with the bytes set, then close it."""

    def __init__(self, answer: bytes = b'') -> None:
        self.answer = answer
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def address(self) -> str:
        """Where it listens."""
        return '127.0.0.1:{0}'.format(self._listener.getsockname()[1])

    def close(self) -> None:
        """Stop listening."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join()

    def _run(self) -> None:
        while True:
            try:
                connection = self._listener.accept()[0]
            except OSError:
                return
            with connection, contextlib.suppress(OSError):
                connection.settimeout(5)
                self._serve(connection)

    def _serve(self, connection: socket.socket) -> None:
        received = b''
        while b'\r\n\r\n' not in received:
            piece = connection.recv(65536)
            if not piece:
                return
            received += piece
        connection.sendall(self.answer)
        connection.shutdown(socket.SHUT_WR)
        # Unread bytes would turn the end into a reset that could overtake
        # the answer.
        while connection.recv(65536):
            pass
