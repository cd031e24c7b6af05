"""HTTP server for a daemon's metrics and health checks, on its own port."""

from __future__ import annotations

import typing

import aioprometheus

from clementinepass.http import threaded

if typing.TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from clementinepass.wire import bridge as bridges

_THREADS = 2
#: Seconds to wait for the event loop to render the metrics.
_RENDER_TIMEOUT_SECONDS = 5.0
_PLAIN_TEXT = 'text/plain; charset=utf-8'


class MetricsServer:
    """Serve ``/metrics``, ``/healthz`` and ``/readyz``.

    :param is_ready: returns whether the daemon is ready to serve.
    """

    def __init__(
        self,
        host: str,
        port: int,
        registry: aioprometheus.Registry,
        is_ready: Callable[[], bool],
        bridge: bridges.Bridge,
    ) -> None:
        self._registry = registry
        self._is_ready = is_ready
        self._bridge = bridge
        self._server = threaded.Server(
            'exposition',
            (host, port),
            self._respond,
            numthreads=_THREADS,
        )
        self._server.start()

    @property
    def port(self) -> int:
        """Return the port to which the server is bound."""
        return self._server.port

    def close(self) -> None:
        """Stop the server; blocks, so not to be called on the event loop."""
        self._server.close()

    def _render(
        self,
        start_response: Callable[..., typing.Any],
    ) -> list[bytes]:
        # Metrics change on the event loop, so they are rendered there: read
        # from this thread, they could change while they are being read.
        rendering = self._bridge.submit(_render_registry(self._registry))
        body, headers = rendering.result(_RENDER_TIMEOUT_SECONDS)
        start_response('200 OK', list(headers.items()))
        return [body]

    def _respond(
        self,
        environ: dict[str, typing.Any],
        start_response: Callable[..., typing.Any],
    ) -> Iterable[bytes]:
        path = environ['PATH_INFO']
        if path == '/metrics':
            return self._render(start_response)
        if path == '/healthz':
            start_response('200 OK', [('Content-Type', _PLAIN_TEXT)])
            return [b'ok\n']
        if path == '/readyz':
            ready = self._is_ready()
            status = '200 OK' if ready else '503 Service Unavailable'
            start_response(status, [('Content-Type', _PLAIN_TEXT)])
            return [b'ready\n' if ready else b'not ready\n']
        start_response('404 Not Found', [('Content-Type', _PLAIN_TEXT)])
        return [b'not found\n']


async def _render_registry(
    registry: aioprometheus.Registry,
) -> tuple[bytes, dict[str, str]]:
    body, headers = aioprometheus.render(registry, [])
    return body, headers
