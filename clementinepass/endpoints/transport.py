"""HTTP calls to endpoints, shared by the adapters."""

from __future__ import annotations

import dataclasses
import re
import typing

import urllib3

from clementinepass import clock, errors, http_bodies
from clementinepass.endpoints import answers, protocols

if typing.TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

_STEP = 'call'
_METHOD = re.compile('[A-Z]+')
_PRINTABLE = re.compile('[!-~ ]*')


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on calls to one endpoint.

    :param connect_timeout: seconds until a connection must stand.
    :param read_timeout: seconds of silence until a call is given up.
    :param load_timeout: seconds for an order to load a version.
    :param answer_bytes: the longest answer that is accepted.
    :param connections: how many idle connections are kept.
    """

    connect_timeout: float = 2
    read_timeout: float = 30
    load_timeout: float = 300
    answer_bytes: int = 64 * 1024 * 1024
    connections: int = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """One request as it is sent."""

    method: str
    path: str
    step: str
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes | Iterable[bytes] | None = None
    connect_timeout: float = 0
    read_timeout: float = 0


class Transport:
    """Send each call once, and hand back its answer as it arrives.

    Safe to use from many threads.

    :param address: the endpoint's address, ``host:port``.
    """

    __slots__ = ('_clock', '_pool', 'limits', 'peer')

    def __init__(
        self,
        address: str,
        limits: Limits | None = None,
        timer: clock.Clock | None = None,
    ) -> None:
        #: The endpoint's address, ``host:port``.
        self.peer = address
        #: Bounds on the calls.
        self.limits = limits or Limits()
        self._clock = timer or clock.MonotonicClock()
        self._pool = urllib3.connection_from_url(
            f'http://{address}',
            maxsize=self.limits.connections,
        )

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    def call(
        self,
        call: protocols.Call,
        reader_for: answers.ReaderFor,
    ) -> answers.HttpAnswer:
        """Send a request and return its answer once the head is there.

        :param reader_for: chooses what cuts the body into parts.
        """
        self._check(call)
        deadline = self._clock.now() + call.timeout
        response = self.send(
            Exchange(
                method=call.method,
                path=call.path,
                step=_STEP,
                headers={
                    'Content-Type': call.content_type,
                    'X-Request-Id': call.request_id,
                    'X-Priority': str(call.priority),
                },
                body=call.body,
                read_timeout=self._silence(call),
            ),
        )
        return answers.HttpAnswer(
            response,
            peer=self.peer,
            reader_for=reader_for,
            expiry=answers.Expiry(self._clock, deadline),
        )

    def fetch(self, exchange: Exchange) -> answers.WholeReply:
        """Send a request and return its whole answer."""
        response = self.send(exchange)
        timeout = exchange.read_timeout or self.limits.read_timeout
        answer = answers.HttpAnswer(
            response,
            peer=self.peer,
            reader_for=self.whole_reader,
            expiry=answers.Expiry(self._clock, self._clock.now() + timeout),
            step=exchange.step,
        )
        content = b''.join(answer.parts())
        return answers.WholeReply(answer.head.status, content)

    def send(self, exchange: Exchange) -> urllib3.BaseHTTPResponse:
        """Send a request and return its answer, with the body to be read.

        :raises EndpointError: there was no answer; not run only where no
            connection came to stand.
        """
        limits = self.limits
        try:
            response = self._pool.request(
                exchange.method,
                exchange.path,
                body=exchange.body,
                headers=dict(exchange.headers),
                # The gate alone may decide on a second run: a retry here
                # could file a dispatch twice and nobody would know.
                retries=False,
                redirect=False,
                preload_content=False,
                decode_content=False,
                timeout=urllib3.Timeout(
                    connect=exchange.connect_timeout or limits.connect_timeout,
                    read=exchange.read_timeout or limits.read_timeout,
                ),
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise self._failed(
                error,
                exchange,
                errors.Execution.NOT_RUN,
            ) from error
        except urllib3.exceptions.HTTPError as error:
            # The request may have left, in part or whole, before the
            # connection was lost or fell silent.
            raise self._failed(
                error,
                exchange,
                errors.Execution.MAY_HAVE_RUN,
            ) from error
        if not http_bodies.has_end(response):
            response.close()
            raise self._failed(
                'answer has no end mark',
                exchange,
                errors.Execution.MAY_HAVE_RUN,
            )
        return response

    def whole_reader(self, head: protocols.AnswerHead) -> answers.BodyReader:
        """Return what reads a body that ends with its length."""
        return answers.WholeReader(self.limits.answer_bytes)

    def _check(self, call: protocols.Call) -> None:
        """Refuse what cannot be sent, while it is certain that it wasn't.

        The HTTP library refuses it too, but in a way that doesn't tell
        whether anything was sent before.
        """
        texts = (call.method, call.path, call.request_id, call.content_type)
        if _METHOD.fullmatch(call.method) and call.path.startswith('/'):
            if all(_PRINTABLE.fullmatch(text) for text in texts):
                return
        raise errors.EndpointError(
            'call cannot be sent over HTTP',
            step=_STEP,
            peer=self.peer,
            execution=errors.Execution.NOT_RUN,
        )

    def _silence(self, call: protocols.Call) -> float:
        """Return how long a call may be silent.

        A whole answer is silent until its last token is made; a stream is
        not, but for the time that it waits for its turn.
        """
        if call.stream:
            return min(self.limits.read_timeout, call.timeout)
        return call.timeout

    def _failed(
        self,
        cause: object,
        exchange: Exchange,
        execution: errors.Execution,
    ) -> errors.EndpointError:
        return errors.EndpointError(
            str(cause),
            step=exchange.step,
            peer=self.peer,
            execution=execution,
        )
