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
    :param control_timeout: seconds for a status or a cancellation, which an
        endpoint that lives answers at once.
    :param load_timeout: seconds for an order to load a version.
    :param answer_bytes: the longest answer that is accepted.
    """

    connect_timeout: float = 2
    read_timeout: float = 30
    control_timeout: float = 5
    load_timeout: float = 300
    answer_bytes: int = 64 * 1024 * 1024


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

    __slots__ = ('_clock', 'limits', 'peer')

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
        exchange = Exchange(
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
        )
        return self._begin(
            exchange,
            reader_for,
            answers.Expiry(self._clock, deadline),
        )

    def fetch(self, exchange: Exchange) -> answers.WholeReply:
        """Send a request and return its whole answer."""
        timeout = exchange.read_timeout or self.limits.control_timeout
        deadline = self._clock.now() + exchange.connect_timeout + timeout
        answer = self._begin(
            exchange,
            self.whole_reader,
            answers.Expiry(self._clock, deadline),
        )
        content = b''.join(answer.parts())
        return answers.WholeReply(answer.head.status, content)

    def whole_reader(self, head: protocols.AnswerHead) -> answers.BodyReader:
        """Return what reads a body that ends with its length."""
        return answers.WholeReader(self.limits.answer_bytes)

    def _begin(
        self,
        exchange: Exchange,
        reader_for: answers.ReaderFor,
        expiry: answers.Expiry,
    ) -> answers.HttpAnswer:
        """Send a request on a connection of its own.

        An endpoint that closes an idle connection at the moment at which a
        request is written to it would leave us with "may have run" for a call
        that it never saw, and a call that isn't idempotent would be lost for
        no fault; or it would be taken for dead because of its status. So each
        connection comes from a pool that is closed with the answer: not all
        servers say in their answer that they are going to close the
        connection, as they were asked to.
        """
        own = urllib3.connection_from_url(f'http://{self.peer}', maxsize=1)
        try:
            response = self._send(exchange, own)
        except errors.EndpointError:
            own.close()
            raise
        return answers.HttpAnswer(
            response,
            peer=self.peer,
            reader_for=reader_for,
            expiry=expiry,
            step=exchange.step,
            release=own.close,
        )

    def _send(
        self,
        exchange: Exchange,
        pool: urllib3.HTTPConnectionPool,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request and return its answer, with the body to be read.

        :raises EndpointError: there was no answer; not run only where no
            connection came to stand.
        """
        limits = self.limits
        try:
            response = pool.request(
                exchange.method,
                exchange.path,
                body=exchange.body,
                headers={**exchange.headers, 'Connection': 'close'},
                # The gate alone may decide on a second run: a retry here
                # could file a dispatch twice and nobody would know.
                retries=False,
                redirect=False,
                preload_content=False,
                decode_content=False,
                timeout=urllib3.Timeout(
                    connect=exchange.connect_timeout or limits.connect_timeout,
                    read=exchange.read_timeout or limits.control_timeout,
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
