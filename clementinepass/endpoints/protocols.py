"""Interfaces of the endpoints that an agent forwards requests to."""

from __future__ import annotations

import typing

import msgspec


class EngineStatus(msgspec.Struct, frozen=True):
    """Status reported by a model engine."""

    #: The version being served; empty for none.
    version: str
    #: SHA-256 of the served weights, in hexadecimal.
    digest: str
    #: The largest fencing number seen; 0 if the engine ignores them.
    fencing: int
    #: Number of requests being run.
    running: int
    #: Number of requests in the engine's queue.
    waiting: int
    #: Maximum number of requests that run at once.
    capacity: int


class Call(msgspec.Struct, frozen=True):
    """Request to an endpoint."""

    request_id: str
    method: str
    path: str
    body: bytes
    content_type: str = 'application/json'
    #: Seconds left to receive the complete answer.
    timeout: float = 60
    #: Whether the answer is a stream of server-sent events.
    stream: bool = False
    #: Scheduling priority at the engine; lower numbers run first.
    priority: int = 0


class AnswerHead(msgspec.Struct, frozen=True):
    """Status and content type of an answer."""

    status: int
    content_type: str


class Answer(typing.Protocol):
    """Answer whose body is still being received."""

    head: AnswerHead

    def parts(self) -> typing.Iterator[bytes]:
        """Yield the body in parts as they arrive.

        Each part of an event stream is one or more complete events.

        :raises EndpointError: the endpoint failed or timed out.
        """

    def close(self) -> None:
        """Abort the answer; thread-safe."""


class Endpoint(typing.Protocol):
    """A model engine or a plain service."""

    def call(self, call: Call) -> Answer:
        """Send a request and return its answer once the head has arrived.

        :raises EndpointError: ``execution`` is ``NOT_RUN`` only if the call
            failed before anything was sent.
        """

    def cancel(self, request_id: str) -> None:
        """Cancel a request; unknown request ids are ignored."""

    def is_healthy(self) -> bool:
        """Return whether the endpoint answers health checks."""

    def is_gone(self) -> bool:
        """Return whether no process accepts connections at the address.

        A slow or frozen endpoint is not gone: its process has not died, so no
        request can have crashed it.
        """


class Engine(Endpoint, typing.Protocol):
    """Model engine: an endpoint that loads weights on request."""

    def status(self) -> EngineStatus:
        """Return the engine's current version and load.

        :raises EndpointError: the engine did not answer.
        """

    def load(
        self,
        version: str,
        digest: str,
        fencing: int,
        size: int,
        parts: typing.Iterable[bytes],
    ) -> None:
        """Send a version's weights and order the engine to serve them.

        Requests in progress finish on the version that they started with.

        :param digest: SHA-256 of the weights, in hexadecimal.
        :param fencing: the fencing number of the lease that allows the order.
        :param size: length of the weights in bytes.
        :param parts: the weights, in order.
        :raises StaleOrderError: the fencing number is too old.
        :raises EndpointError: the order may have taken effect.
        """
