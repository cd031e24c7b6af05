"""What the agent asks of the endpoint that it stands before."""

from __future__ import annotations

import typing

import msgspec


class EngineStatus(msgspec.Struct, frozen=True):
    """What a model engine says of itself."""

    #: The version that it serves; empty for none.
    version: str
    #: The SHA-256 of the weights that it serves, in hexadecimal.
    digest: str
    #: The largest fencing number seen, 0 where the engine ignores them.
    fencing: int
    running: int
    waiting: int
    capacity: int


class Call(msgspec.Struct, frozen=True):
    """One request to an endpoint."""

    request_id: str
    method: str
    path: str
    body: bytes
    content_type: str = 'application/json'
    #: Seconds that remain for the whole answer.
    timeout: float = 60
    #: Whether the answer is a stream of server-sent events.
    stream: bool = False
    #: The engine's priority; a lower number goes first.
    priority: int = 0


class AnswerHead(msgspec.Struct, frozen=True):
    """Status and type of an answer, before its body."""

    status: int
    content_type: str


class Answer(typing.Protocol):
    """An answer under way."""

    head: AnswerHead

    def parts(self) -> typing.Iterator[bytes]:
        """Yield the body piece by piece as it arrives.

        For a stream of events each piece is one or more whole events.

        :raises EndpointError: the endpoint failed or fell silent.
        """

    def close(self) -> None:
        """Give the connection up; safe from another thread."""


class Endpoint(typing.Protocol):
    """A model engine or a plain service."""

    def call(self, call: Call) -> Answer:
        """Send a request and return its answer once the head is there.

        :raises EndpointError: with ``execution`` set to not run only where
            the connection was refused before anything was sent.
        """

    def cancel(self, request_id: str) -> None:
        """Ask the endpoint to stop a request; unknown ones are ignored."""

    def is_healthy(self) -> bool:
        """Tell whether the endpoint answers at all."""

    def is_gone(self) -> bool:
        """Tell whether nobody listens there any more.

        A slow or frozen endpoint is not gone: it is neither dead, nor did a
        request kill it.
        """


class Engine(Endpoint, typing.Protocol):
    """A model engine: an endpoint that takes orders about weights."""

    def status(self) -> EngineStatus:
        """Read back what the engine serves now.

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
        """Send a whole version's weights and order the engine to serve it.

        Requests in progress end on the version they began with.

        :param digest: the SHA-256 of the whole, in hexadecimal.
        :param size: the length of the whole in bytes.
        :raises StaleOrderError: the fencing number is too old.
        :raises EndpointError: the order may have taken effect.
        """
