"""Pieces of a stream, written to the caller's socket by the event loop.

A thread for each stream that wakes for each token costs more than the write
itself: with 400 streams the threads queue for the interpreter. So the thread
that serves a request begins its answer and ends it, and sleeps in between;
the loop writes the pieces, without ever blocking. A socket that takes no more
is handed back to the thread, which may wait.
"""

from __future__ import annotations

import os
import typing

from cheroot import wsgi

#: Where the gateway leaves the connection for the application.
ENVIRON_KEY = 'clementinepass.socket'


class DirectWriter:
    """Write pieces of one answer to a socket, as chunks where need be.

    :param request: the server's request object, whose socket it is.
    """

    def __init__(self, request: typing.Any) -> None:
        self._request = request
        self._socket = request.conn.socket

    @property
    def usable(self) -> bool:
        """Tell whether the head has been sent, so that pieces may follow."""
        return bool(self._request.sent_headers)

    def write(self, payload: bytes) -> bytes:
        """Write as much as the socket takes and return the rest.

        Cheroot's sockets have a timeout, so their descriptors don't block.

        :raises OSError: the caller has gone away.
        """
        framed = self._framed(payload)
        try:
            written = os.write(self._socket.fileno(), framed)
        except BlockingIOError:
            return framed
        return framed[written:]

    def write_rest(self, rest: bytes) -> None:
        """Write bytes that a socket did not take; blocks.

        :raises OSError: the caller has gone away, or takes too long.
        """
        self._socket.sendall(rest)

    def _framed(self, payload: bytes) -> bytes:
        if self._request.chunked_write:
            return b'%x\r\n%b\r\n' % (len(payload), payload)
        return payload


class Gateway(wsgi.Gateway_10):
    """Cheroot's gateway, with a writer for the application."""

    def get_environ(self) -> typing.Any:
        """Return the WSGI environment of one request, writer included."""
        environ = super().get_environ()
        environ[ENVIRON_KEY] = DirectWriter(self.req)
        return environ
