"""HTTP exchanges with the platform's services, shared by the adapters."""

from __future__ import annotations

import dataclasses
import typing

import msgspec
import urllib3

from clementinepass import clock, errors, http_bodies

_T = typing.TypeVar('_T')

_OK = 200
_SUCCESS = frozenset((_OK,))
_NOT_FOUND = 404
_TOO_MANY_REQUESTS = 429
_DEFAULT_RETRY_AFTER = 1.0
_MAX_RETRY_AFTER = 3600.0
_JSON_HEADERS = {'Content-Type': 'application/json'}


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on one exchange.

    :param connect_timeout: seconds until a connection must stand.
    :param read_timeout: seconds of silence until the service is given up.
    :param total_timeout: seconds after which an answer that still comes in
        must come at the least rate, so that a service that sends a byte now
        and then cannot hold a caller for ever.
    :param least_rate: bytes a second; slower answers are given up. A scarce
        link that many share is slow and gets there: to give it up would read
        the same bytes from it again.
    :param answer_bytes: the longest answer that is accepted.
    :param connections: how many idle connections are kept.
    """

    connect_timeout: float = 2
    read_timeout: float = 10
    total_timeout: float = 60
    least_rate: float = 4096
    answer_bytes: int = 64 * 1024 * 1024
    connections: int = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer."""

    status: int
    body: bytes


class _SlownessGuard:
    """Tell when an answer that is not silent has become too slow."""

    __slots__ = ('_started_at', '_clock', '_limits', '_wait')

    def __init__(
        self,
        limits: Limits,
        timer: clock.Clock,
        wait: float,
    ) -> None:
        self._limits = limits
        self._clock = timer
        self._wait = wait
        self._started_at = timer.now()

    def is_too_slow(self, received_bytes: int) -> bool:
        """Tell whether to give an answer up after so many bytes."""
        elapsed = self._clock.now() - self._started_at - self._wait
        if elapsed <= self._limits.total_timeout:
            return False
        return received_bytes < elapsed * self._limits.least_rate


class Transport:
    """Exchange one request for one whole answer; never sends one twice.

    Safe to use from many threads.

    :param address: the service's address, ``host:port``.
    """

    __slots__ = ('_clock', '_limits', '_pool', 'peer')

    def __init__(
        self,
        address: str,
        limits: Limits | None = None,
        timer: clock.Clock | None = None,
    ) -> None:
        #: The service's address, ``host:port``.
        self.peer = address
        self._limits = limits or Limits()
        self._clock = timer or clock.MonotonicClock()
        self._pool = urllib3.connection_from_url(
            f'http://{address}',
            maxsize=self._limits.connections,
        )

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    def exchange(
        self,
        method: str,
        path: str,
        *,
        step: str,
        body: bytes | None = None,
        wait: float = 0,
        expected: frozenset[int] = _SUCCESS,
    ) -> Reply:
        """Send a request and return the whole answer.

        :param step: what the caller is doing, for the errors.
        :param wait: seconds that the service may hold the answer back.
        :param expected: the statuses to return; others are errors.
        :raises PlatformUnavailableError: there was no whole answer, or one
            that says that the service failed.
        :raises ThrottledError: the service asks for fewer calls.
        :raises MessageTooLongError: the answer is too long.
        :raises MalformedMessageError: the answer has no end by which it could
            be told to be whole.
        """
        slowness_guard = _SlownessGuard(self._limits, self._clock, wait)
        try:
            response = self._send(method, path, body, wait)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise self._unavailable_error(error, step, sent=False) from error
        except urllib3.exceptions.HTTPError as error:
            raise self._unavailable_error(error, step) from error
        try:
            content = self._read(response, step, slowness_guard)
        except urllib3.exceptions.HTTPError as error:
            raise self._unavailable_error(error, step) from error
        finally:
            response.close()
        if response.status not in expected:
            raise self._status_error(response, step)
        return Reply(response.status, content)

    def malformed_error(
        self, step: str, detail: str
    ) -> errors.ClementinepassError:
        """Return the error for an answer that contradicts the protocol."""
        return errors.MalformedMessageError(detail, step=step, peer=self.peer)

    def decode(self, reply: Reply, answer_type: type[_T], step: str) -> _T:
        """Decode an answer strictly.

        :raises MalformedMessageError: it is not JSON, or of another shape.
        """
        try:
            return msgspec.json.decode(reply.body, type=answer_type)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise self.malformed_error(step, str(error)) from error

    def _send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        wait: float,
    ) -> urllib3.BaseHTTPResponse:
        return self._pool.request(
            method,
            path,
            body=body,
            headers=None if body is None else _JSON_HEADERS,
            # A retry here could append a record twice without a word to the
            # caller, who alone can tell by reading whether the first one
            # took effect.
            retries=False,
            redirect=False,
            preload_content=False,
            decode_content=False,
            timeout=urllib3.Timeout(
                connect=self._limits.connect_timeout,
                read=wait + self._limits.read_timeout,
            ),
        )

    def _read(
        self,
        response: urllib3.BaseHTTPResponse,
        step: str,
        slowness_guard: _SlownessGuard,
    ) -> bytes:
        """Read a whole body within the limits of size and time."""
        if not http_bodies.has_end(response):
            raise self.malformed_error(step, 'answer has no end mark')
        # Without a limit a broken service could fill our memory: an instance
        # has little of it, and all that it runs would die with us.
        limit = self._limits.answer_bytes
        if (response.length_remaining or 0) > limit:
            raise self._too_long_error(step)
        content = bytearray()
        for piece in http_bodies.iter_body(response):
            content += piece
            if len(content) > limit:
                raise self._too_long_error(step)
            if slowness_guard.is_too_slow(len(content)):
                raise self._unavailable_error('answer took too long', step)
        return bytes(content)

    def _too_long_error(self, step: str) -> errors.MessageTooLongError:
        return errors.MessageTooLongError(
            f'answer over {self._limits.answer_bytes} bytes',
            step=step,
            peer=self.peer,
        )

    def _status_error(
        self,
        response: urllib3.BaseHTTPResponse,
        step: str,
    ) -> errors.ClementinepassError:
        """Return the error that a status stands for."""
        if response.status == _TOO_MANY_REQUESTS:
            return errors.ThrottledError(
                step=step,
                peer=self.peer,
                retry_after=retry_after(response.headers.get('Retry-After')),
            )
        detail = f'answered {response.status}'
        if response.status == _NOT_FOUND:
            return errors.ContentMissingError(
                detail,
                step=step,
                peer=self.peer,
            )
        return self._unavailable_error(detail, step)

    def _unavailable_error(
        self,
        cause: object,
        step: str,
        *,
        sent: bool = True,
    ) -> errors.PlatformUnavailableError:
        return errors.PlatformUnavailableError(
            str(cause),
            step=step,
            peer=self.peer,
            sent=sent,
        )


def retry_after(header: str | None) -> float:
    """Return the seconds that a ``Retry-After`` header asks for."""
    try:
        seconds = float(header or '')
    except ValueError:
        return _DEFAULT_RETRY_AFTER
    if not 0 <= seconds <= _MAX_RETRY_AFTER:
        return _DEFAULT_RETRY_AFTER
    return seconds
