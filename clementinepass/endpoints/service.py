"""Adapter for plain services."""

from __future__ import annotations

from clementinepass import errors
from clementinepass.endpoints import answers, protocols, transport

_SERVER_ERROR = 500


class HttpService:
    """Call a plain service over HTTP.

    :param address: the service's address, ``host:port``.
    :param health_path: what is asked for to see whether it answers at all.
    """

    __slots__ = ('_health_path', '_transport')

    def __init__(
        self,
        address: str,
        limits: transport.Limits | None = None,
        *,
        health_path: str = '/healthz',
    ) -> None:
        self._transport = transport.Transport(address, limits)
        self._health_path = health_path

    def call(self, call: protocols.Call) -> answers.HttpAnswer:
        """Send a request and return its answer once the head is there.

        :raises EndpointError: with ``execution`` set to not run only where
            the connection was refused before anything was sent.
        """
        return self._transport.call(call, self._transport.plain_body_reader)

    def cancel(self, request_id: str) -> None:
        """Leave the request alone: plain services have no such order."""

    def is_healthy(self) -> bool:
        """Tell whether the service answers at all."""
        exchange = transport.Exchange('GET', self._health_path, step='health')
        try:
            reply = self._transport.fetch(exchange)
        except errors.EndpointError:
            return False
        return reply.status < _SERVER_ERROR

    def is_gone(self) -> bool:
        """Tell whether nobody listens there any more."""
        exchange = transport.Exchange('GET', self._health_path, step='health')
        try:
            self._transport.fetch(exchange)
        except errors.EndpointError as error:
            return error.execution is errors.Execution.NOT_RUN
        return False
