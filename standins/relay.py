"""A TCP relay that can fall silent, cut or refuse connections."""

from __future__ import annotations

import socket
import threading

_PIECE = 65536
_BACKLOG = 64


class _Pair:
    """One connection and its continuation to the target."""

    __slots__ = ('_silent', 'near', 'remote')

    def __init__(self, near: socket.socket, remote: socket.socket) -> None:
        self.near = near
        self.remote = remote
        self._silent = threading.Event()

    def start(self) -> None:
        """Begin to carry bytes in both directions."""
        for source, sink in (
            (self.near, self.remote),
            (self.remote, self.near),
        ):
            threading.Thread(
                target=self._carry,
                args=(source, sink),
                daemon=True,
            ).start()

    def silence(self) -> None:
        """Carry nothing any more; both ends see an open connection."""
        self._silent.set()

    def cut(self) -> None:
        """Close both ends."""
        for end in (self.near, self.remote):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                """The end was closed already."""
            end.close()

    def _carry(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while piece := source.recv(_PIECE):
                # A middle box that has lost track swallows what comes,
                # without a reset; so does this.
                if not self._silent.is_set():
                    sink.sendall(piece)
        except OSError:
            """The other direction has closed the pair."""
        if not self._silent.is_set():
            self.cut()


class Relay:
    """Listen on a port of its own and carry connections to a target.

    :param target: where connections go, ``host:port``.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(':')
        self._target = (host, int(port))
        self._lock = threading.Lock()
        self._pairs: list[_Pair] = []
        self._refusing = False
        self._listener = socket.create_server(
            ('127.0.0.1', 0),
            backlog=_BACKLOG,
        )
        #: Where the relay listens, ``host:port``.
        self.address = '{0}:{1}'.format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self) -> int:
        """Let all present connections fall silent; new ones work.

        :return: how many there were.
        """
        with self._lock:
            pairs = tuple(self._pairs)
            self._pairs.clear()
        for pair in pairs:
            pair.silence()
        return len(pairs)

    def cut(self) -> None:
        """Close all present connections."""
        with self._lock:
            pairs = tuple(self._pairs)
            self._pairs.clear()
        for pair in pairs:
            pair.cut()

    def refuse(self, *, refusing: bool) -> None:
        """Close new connections at once, or take them again."""
        self._refusing = refusing

    def close(self) -> None:
        """Stop listening and close everything."""
        self._listener.close()
        self.cut()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            self._connect(near)

    def _connect(self, near: socket.socket) -> None:
        if self._refusing:
            near.close()
            return
        try:
            remote = socket.create_connection(self._target)
        except OSError:
            near.close()
            return
        for end in (near, remote):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = _Pair(near, remote)
        with self._lock:
            self._pairs.append(pair)
        pair.start()
