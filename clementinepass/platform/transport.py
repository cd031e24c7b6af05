"""HTTP client for the platform's services, shared by the adapters."""

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
_DEFAULT_RETRY_AFTER_SECONDS = 1.0
_MAX_RETRY_AFTER_SECONDS = 3600.0
_JSON_HEADERS = {'Content-Type': 'application/json'}


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one exchange.

    :param connect_timeout: seconds within which a connection must be opened.
    :param read_timeout: seconds without a received byte until the exchange
        fails.
    :param total_timeout: seconds after which an unfinished answer must have
        arrived at the least rate on average, so that a service that sends a
        byte now and then cannot block a caller forever.
    :param least_rate: bytes per second; slower answers are aborted. Transfers
        over a scarce shared link are slow but complete; aborting one would
        only load the link with the same bytes again.
    :param answer_bytes: maximum length of an answer.
    :param connections: maximum number of idle connections kept.
    """

    connect_timeout: float = 2
    read_timeout: float = 10
    total_timeout: float = 60
    least_rate: float = 4096
    answer_bytes: int = 64 * 1024 * 1024
    connections: int = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete answer."""

    status: int
    body: bytes


class _SlownessGuard:
    """Detector of answers that keep arriving, but too slowly."""

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
        """Return whether an answer is too slow, given its bytes so far."""
        elapsed = self._clock.now() - self._started_at - self._wait
        if elapsed <= self._limits.total_timeout:
            return False
        return received_bytes < elapsed * self._limits.least_rate


class Transport:
    """HTTP client of one service; never sends a request twice.

    Instances are thread-safe.

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
        """Send a request and return the complete answer.

        :param step: the caller's current step, for error messages.
        :param wait: seconds that the service may delay the answer.
        :param expected: the statuses to return; others raise an error.
        :raises PlatformUnavailableError: no complete answer arrived, or the
            service reported a failure.
        :raises ContentMissingError: the service answered 404.
        :raises ThrottledError: the rate limit is exceeded.
        :raises MessageTooLongError: the answer is too long.
        :raises MalformedMessageError: the answer has neither a length nor
            chunks, so a truncated one could not be detected.
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
        """Return the error for an answer that violates the protocol."""
        return errors.MalformedMessageError(detail, step=step, peer=self.peer)

    def decode(self, reply: Reply, answer_type: type[_T], step: str) -> _T:
        """Decode an answer's JSON body into ``answer_type``.

        :raises MalformedMessageError: the body is not JSON of that type.
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
            # A retry could silently append a record twice. Only the caller
            # can find out, by reading, whether the first request took effect.
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
        """Read a complete body within the limits of size and time."""
        if not http_bodies.has_detectable_end(response):
            raise self.malformed_error(
                step, 'answer has neither a length nor chunks'
            )
        # Without a limit, a faulty service could exhaust the memory of the
        # instance, which is small, and all its processes would be killed.
        limit = self._limits.answer_bytes
        if (response.length_remaining or 0) > limit:
            raise self._too_long_error(step)
        content = bytearray()
        for part in http_bodies.iter_body(response):
            content += part
            if len(content) > limit:
                raise self._too_long_error(step)
            if slowness_guard.is_too_slow(len(content)):
                raise self._unavailable_error('answer took too long', step)
        return bytes(content)

    def _too_long_error(self, step: str) -> errors.MessageTooLongError:
        return errors.MessageTooLongError(
            f'answer exceeds {self._limits.answer_bytes} bytes',
            step=step,
            peer=self.peer,
        )

    def _status_error(
        self,
        response: urllib3.BaseHTTPResponse,
        step: str,
    ) -> errors.ClementinepassError:
        """Return the error for an unexpected status."""
        if response.status == _TOO_MANY_REQUESTS:
            return errors.ThrottledError(
                step=step,
                peer=self.peer,
                retry_after=parse_retry_after(
                    response.headers.get('Retry-After')
                ),
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


def parse_retry_after(header: str | None) -> float:
    """Return a ``Retry-After`` header's seconds; a default if malformed."""
    try:
        seconds = float(header or '')
    except ValueError:
        return _DEFAULT_RETRY_AFTER_SECONDS
    if not 0 <= seconds <= _MAX_RETRY_AFTER_SECONDS:
        return _DEFAULT_RETRY_AFTER_SECONDS
    return seconds
