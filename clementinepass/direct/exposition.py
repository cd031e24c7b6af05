"""Serve the metrics of a process on a port of their own."""

from __future__ import annotations

import typing

import aioprometheus

from clementinepass.http import front, replies

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from clementinepass.http import messages

#: The port and the path are also given in the deployment file.
PORT = 9464
_PATH = b'/metrics'
_OK = 200
_NOT_FOUND = 404


class MetricsServer:
    """Serve the metrics of a registry.

    :param registry: the metrics to serve.
    :param refresh: updates the metrics; called before each answer.
    :param fronts: creates the front.
    """

    __slots__ = ('_front', '_refresh', '_registry')

    def __init__(
        self,
        registry: aioprometheus.Registry,
        refresh: Callable[[], None],
        fronts: front.FrontFactory,
    ) -> None:
        self._registry = registry
        self._refresh = refresh
        self._front = fronts.create(self._handle)

    async def listen(self, ip: str, port: int = PORT) -> int:
        """Start to listen and return the bound port."""
        return await self._front.listen(ip, port)

    async def close(self) -> None:
        """Stop serving."""
        await self._front.close()

    async def _handle(
        self,
        request: messages.Request,
        reply: replies.Reply,
    ) -> None:
        if request.path != _PATH:
            reply.send(_NOT_FOUND, [], b'')
            return
        self._refresh()
        body, headers = aioprometheus.render(self._registry, [])
        pairs = [
            (name.encode(), value.encode()) for name, value in headers.items()
        ]
        reply.send(_OK, pairs, body)
