"""HTTP client for endpoints, shared by the adapters."""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import re
import typing
import urllib.parse

import urllib3
import urllib3.connection

from clementinepass import clock, errors, http_bodies
from clementinepass.endpoints import answers, protocols

if typing.TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

_STEP = 'call'
#: Characters that are left as they are in a path. ``%`` is one of them, since
#: the path is already quoted.
_SAFE_IN_PATH = "%/?:@!$&'()*+,;=~"
#: Errors of an open connection: it was lost, or the answer is malformed.
_CONNECTION_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
)
_METHOD = re.compile('[A-Z]+')
_PRINTABLE = re.compile('[!-~ ]*')


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of calls to one endpoint.

    :param connect_timeout: seconds within which a connection must be opened.
    :param read_timeout: seconds without a received byte until a call fails.
    :param control_timeout: seconds for status requests, health checks and
        cancellations, which a live endpoint answers at once.
    :param load_timeout: seconds for loading a version.
    :param answer_bytes: maximum length of an answer.
    """

    connect_timeout: float = 2
    read_timeout: float = 30
    control_timeout: float = 5
    load_timeout: float = 300
    answer_bytes: int = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """HTTP request to send.

    :param step: the step reported in errors, such as ``'status'``.
    :param read_timeout: seconds without a received byte until the request
        fails; 0 for ``Limits.control_timeout``. :meth:`Transport.fetch` allows
        as long for the complete answer.
    """

    method: str
    path: str
    step: str
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    body: bytes | Iterable[bytes] | None = None
    read_timeout: float = 0


class Transport:
    """HTTP client of one endpoint; never sends a request twice.

    Instances are thread-safe.

    :param address: the endpoint's address, ``host:port``.
    :param limits: timeouts and size limits of calls.
    :param timer: the clock for the deadlines of answers.
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
        #: Limits of the calls.
        self.limits = limits or Limits()
        self._clock = timer or clock.MonotonicClock()

    def call(
        self,
        call: protocols.Call,
        reader_factory: answers.ReaderFactory,
    ) -> answers.HttpAnswer:
        """Send a request and return its answer once the head has arrived.

        :param reader_factory: returns the reader that splits the body.
        :raises EndpointError: the call failed; see :meth:`_send`.
        """
        self._validate(call)
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
            read_timeout=self._silence_timeout(call),
        )
        return self._send(
            exchange,
            reader_factory,
            answers.AnswerDeadline(self._clock, deadline),
        )

    def fetch(self, exchange: Exchange) -> answers.Reply:
        """Send a request and return its complete answer.

        :raises EndpointError: no complete answer arrived.
        """
        timeout = exchange.read_timeout or self.limits.control_timeout
        answer = self._send(
            exchange,
            self.plain_body_reader,
            answers.AnswerDeadline(self._clock, self._clock.now() + timeout),
        )
        content = b''.join(answer.parts())
        return answers.Reply(answer.head.status, content)

    def plain_body_reader(
        self, head: protocols.AnswerHead
    ) -> answers.BodyReader:
        """Return a reader for a body that is not an event stream."""
        return answers.PlainBodyReader(self.limits.answer_bytes)

    def _send(
        self,
        exchange: Exchange,
        reader_factory: answers.ReaderFactory,
        deadline: answers.AnswerDeadline,
    ) -> answers.HttpAnswer:
        """Send a request over a new connection.

        Connections are not reused. If an endpoint closed an idle connection
        just as a request was written to it, the call would count as "may have
        run" although the endpoint never received it: a call that is not
        idempotent would be lost without a fault, and a status request would
        make the endpoint look dead.

        :raises EndpointError: no answer arrived; ``execution`` is ``NOT_RUN``
            only if no connection could be opened.
        """
        connection = self._connect(exchange)
        kept_socket = connection.sock
        try:
            response = self._request_head(connection, exchange)
        except _CONNECTION_ERRORS as error:
            # The request may have been sent, partly or completely, before the
            # connection was lost or timed out.
            connection.close()
            raise self._may_have_run_error(str(error), exchange) from error
        except BaseException:
            connection.close()
            raise
        if not http_bodies.has_detectable_end(response):
            response.close()
            connection.close()
            raise self._may_have_run_error(
                'answer has neither a length nor chunks', exchange
            )
        return answers.HttpAnswer(
            response,
            answers.AnswerConnection(connection, kept_socket),
            peer=self.peer,
            reader_factory=reader_factory,
            deadline=deadline,
            step=exchange.step,
        )

    def _connect(
        self,
        exchange: Exchange,
    ) -> urllib3.connection.HTTPConnection:
        """Open a connection; on failure, nothing has been sent."""
        host, _, port = self.peer.rpartition(':')
        connection = http_bodies.Connection(
            host.strip('[]'),
            int(port),
            timeout=self.limits.connect_timeout,
        )
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            connection.close()
            raise errors.EndpointError(
                str(error),
                step=exchange.step,
                peer=self.peer,
                execution=errors.Execution.NOT_RUN,
            ) from error
        silence_timeout = exchange.read_timeout or self.limits.control_timeout
        connection.timeout = silence_timeout
        # The timeout now limits silence, also while sending: an engine may
        # stop reading while it writes weights to its own memory.
        connection.sock.settimeout(silence_timeout)
        return connection

    def _request_head(
        self,
        connection: urllib3.connection.HTTPConnection,
        exchange: Exchange,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request and return the response once its head arrives."""
        # An endpoint that rejects a long body closes its side before the body
        # has been sent completely; its error answer may still be readable.
        with contextlib.suppress(BrokenPipeError):
            connection.request(
                exchange.method,
                urllib.parse.quote(exchange.path, safe=_SAFE_IN_PATH),
                body=exchange.body,
                headers={**exchange.headers, 'Connection': 'close'},
                preload_content=False,
                decode_content=False,
            )
        return connection.getresponse()

    def _validate(self, call: protocols.Call) -> None:
        """Reject a call that cannot be sent over HTTP before connecting.

        The HTTP library rejects it too, but its error does not tell whether
        anything was sent before.

        :raises EndpointError: the call is invalid and was not sent.
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

    def _silence_timeout(self, call: protocols.Call) -> float:
        """Return the seconds that a call may pass without receiving a byte.

        An answer that is not streamed sends nothing until its last token is
        generated; a stream is silent only while it is queued.
        """
        if call.stream:
            return min(self.limits.read_timeout, call.timeout)
        return call.timeout

    def _may_have_run_error(
        self,
        detail: str,
        exchange: Exchange,
    ) -> errors.EndpointError:
        return errors.EndpointError(
            detail,
            step=exchange.step,
            peer=self.peer,
            execution=errors.Execution.MAY_HAVE_RUN,
        )
