"""HTTP calls to endpoints, shared by the adapters."""

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
#: What a path may hold besides letters and digits; it is already quoted.
_SAFE_IN_PATH = "%/?:@!$&'()*+,;=~"
#: How a connection is lost, or an answer garbled, after it came to stand.
_LOST = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
)
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
        answer = self._begin(
            exchange,
            self.whole_reader,
            answers.Expiry(self._clock, self._clock.now() + timeout),
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
        no fault; or it would be taken for dead because of its status. So no
        connection is used twice.

        :raises EndpointError: there was no answer; not run only where no
            connection came to stand.
        """
        connection = self._connect(exchange)
        kept_socket = connection.sock
        try:
            response = self._ask(connection, exchange)
        except _LOST as error:
            # The request may have left, in part or whole, before the
            # connection was lost or fell silent.
            connection.close()
            raise self._may_have_run(str(error), exchange) from error
        except BaseException:
            connection.close()
            raise
        if not http_bodies.has_detectable_end(response):
            response.close()
            connection.close()
            raise self._may_have_run('answer has no end mark', exchange)
        return answers.HttpAnswer(
            response,
            answers.Line(connection, kept_socket),
            peer=self.peer,
            reader_for=reader_for,
            expiry=expiry,
            step=exchange.step,
        )

    def _connect(
        self,
        exchange: Exchange,
    ) -> urllib3.connection.HTTPConnection:
        """Open a connection; a failure is certain to have run nothing."""
        host, _, port = self.peer.rpartition(':')
        connection = urllib3.connection.HTTPConnection(
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
        silence = exchange.read_timeout or self.limits.control_timeout
        connection.timeout = silence
        # From here on the limit is on silence, also while we send: an engine
        # may pause its reading while it writes weights to its own memory.
        connection.sock.settimeout(silence)
        return connection

    def _ask(
        self,
        connection: urllib3.connection.HTTPConnection,
        exchange: Exchange,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request and return its answer's head."""
        # An endpoint that refuses a long body closes its end before all of it
        # was sent; the refusal may still be there to be read.
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

    def _may_have_run(
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
