"""Metrics and health of a daemon over HTTP, on a port of their own."""

from __future__ import annotations

import threading
import typing

import aioprometheus
from cheroot import wsgi

if typing.TYPE_CHECKING:
    from collections.abc import Callable, Iterable

_THREADS = 2
_PLAIN = 'text/plain; charset=utf-8'


class Exposition:
    """Serve ``/metrics``, ``/healthz`` and ``/readyz``.

    :param ready: tells whether the daemon does its work.
    """

    def __init__(
        self,
        host: str,
        port: int,
        registry: aioprometheus.Registry,
        ready: Callable[[], bool],
    ) -> None:
        self._registry = registry
        self._ready = ready
        self._server = wsgi.Server(
            (host, port),
            self._respond,
            numthreads=_THREADS,
        )
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve,
            name='exposition',
            daemon=True,
        )
        self._thread.start()

    @property
    def port(self) -> int:
        """Return the port that was bound."""
        return int(self._server.bind_addr[1])

    def close(self) -> None:
        """Stop serving."""
        self._server.stop()

    def _respond(
        self,
        environ: dict[str, typing.Any],
        start_response: Callable[..., typing.Any],
    ) -> Iterable[bytes]:
        path = environ['PATH_INFO']
        if path == '/metrics':
            body, headers = aioprometheus.render(self._registry, [])
            start_response('200 OK', list(headers.items()))
            return [body]
        if path == '/healthz':
            start_response('200 OK', [('Content-Type', _PLAIN)])
            return [b'ok\n']
        if path == '/readyz':
            ready = self._ready()
            status = '200 OK' if ready else '503 Service Unavailable'
            start_response(status, [('Content-Type', _PLAIN)])
            return [b'ready\n' if ready else b'not ready\n']
        start_response('404 Not Found', [('Content-Type', _PLAIN)])
        return [b'not found\n']
