"""HTTP client for plain services."""

from __future__ import annotations

from clementinepass import errors
from clementinepass.endpoints import answers, protocols, transport

_SERVER_ERROR = 500


class HttpService:
    """HTTP client of one plain service.

    :param address: the service's address, ``host:port``.
    :param limits: timeouts and size limits of calls.
    :param health_path: the path requested by health checks.
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
        """Send a request and return its answer once the head has arrived.

        :raises EndpointError: ``execution`` is ``NOT_RUN`` only if the call
            failed before anything was sent.
        """
        return self._transport.call(call, self._transport.plain_body_reader)

    def cancel(self, request_id: str) -> None:
        """Do nothing: plain services do not support cancellation."""

    def is_healthy(self) -> bool:
        """Return whether the service answers without a server error."""
        exchange = transport.Exchange('GET', self._health_path, step='health')
        try:
            reply = self._transport.fetch(exchange)
        except errors.EndpointError:
            return False
        return reply.status < _SERVER_ERROR

    def is_gone(self) -> bool:
        """Return whether no process accepts connections at the address."""
        exchange = transport.Exchange('GET', self._health_path, step='health')
        try:
            self._transport.fetch(exchange)
        except errors.EndpointError as error:
            return error.execution is errors.Execution.NOT_RUN
        return False
