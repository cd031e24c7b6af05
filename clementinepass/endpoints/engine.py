"""HTTP client for model engines."""

from __future__ import annotations

import contextlib
import typing
import urllib.parse

import msgspec

from clementinepass import errors
from clementinepass.endpoints import answers, protocols, transport

if typing.TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

_OK = 200
_CONFLICT = 409
_EVENT_STREAM_TYPE = 'text/event-stream'


class StatusAnswer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """JSON body of an engine's status answer."""

    version: str
    digest: str
    fencing: int
    running: int
    waiting: int
    capacity: int


class HttpEngine:
    """HTTP client of one model engine.

    :param address: the engine's address, ``host:port``.
    :param limits: timeouts and size limits of calls.
    """

    __slots__ = ('_transport',)

    def __init__(
        self,
        address: str,
        limits: transport.Limits | None = None,
    ) -> None:
        self._transport = transport.Transport(address, limits)

    def call(self, call: protocols.Call) -> answers.HttpAnswer:
        """Send a request and return its answer once the head has arrived.

        :raises EndpointError: ``execution`` is ``NOT_RUN`` only if the call
            failed before anything was sent.
        """
        answer = self._transport.call(call, self._select_reader)
        if call.stream and answer.head.status == _OK:
            if not _is_stream(answer.head):
                answer.close()
                raise self._endpoint_error(
                    'answer is not an event stream', 'call'
                )
        return answer

    def cancel(self, request_id: str) -> None:
        """Cancel a request; the engine ignores unknown request ids."""
        name = urllib.parse.quote(request_id, safe='')
        path = f'/v1/requests/{name}'
        exchange = transport.Exchange('DELETE', path, step='cancel')
        # If the engine is unreachable, the request runs on, but its answer is
        # discarded anyway, so the caller has nothing to handle.
        with contextlib.suppress(errors.EndpointError):
            self._transport.fetch(exchange)

    def is_healthy(self) -> bool:
        """Return whether the engine answers status requests."""
        try:
            self.status()
        except errors.EndpointError:
            return False
        return True

    def is_gone(self) -> bool:
        """Return whether no process accepts connections at the address."""
        try:
            self.status()
        except errors.EndpointError as error:
            return error.execution is errors.Execution.NOT_RUN
        return False

    def status(self) -> protocols.EngineStatus:
        """Return the engine's current version and load.

        :raises EndpointError: the engine did not answer, or its answer is
            malformed.
        """
        exchange = transport.Exchange('GET', '/v1/status', step='status')
        reply = self._transport.fetch(exchange)
        if reply.status != _OK:
            raise self._endpoint_error(f'answered {reply.status}', 'status')
        try:
            answer = msgspec.json.decode(reply.body, type=StatusAnswer)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise self._endpoint_error(str(error), 'status') from error
        return msgspec.convert(
            answer,
            protocols.EngineStatus,
            from_attributes=True,
        )

    def load(
        self,
        version: str,
        digest: str,
        fencing: int,
        size: int,
        parts: Iterable[bytes],
    ) -> None:
        """Send a version's weights and order the engine to serve them.

        Requests in progress finish on the version that they started with.

        :param digest: SHA-256 of the weights, in hexadecimal.
        :param fencing: the fencing number of the lease that allows the order.
        :param size: length of the weights in bytes.
        :param parts: the weights, in order.
        :raises StaleOrderError: the fencing number is too old.
        :raises EndpointError: the order may have taken effect.
        :raises ManifestError: the parts are not ``size`` bytes long.
        """
        query = urllib.parse.urlencode(
            {'version': version, 'digest': digest, 'fencing': fencing},
        )
        timeout = self._transport.limits.load_timeout
        reply = self._transport.fetch(
            transport.Exchange(
                method='PUT',
                path=f'/v1/weights?{query}',
                step='load',
                headers={
                    'Content-Type': 'application/octet-stream',
                    'Content-Length': str(size),
                },
                body=self._sized(parts, size),
                read_timeout=timeout,
            ),
        )
        if reply.status == _CONFLICT:
            raise errors.StaleOrderError(
                'fencing number too old',
                step='load',
                peer=self._transport.peer,
            )
        if reply.status != _OK:
            raise self._endpoint_error(f'answered {reply.status}', 'load')

    def _select_reader(self, head: protocols.AnswerHead) -> answers.BodyReader:
        """Return the reader for the body's content type.

        Error answers to streaming requests are not event streams.
        """
        if _is_stream(head):
            return answers.EventReader(self._transport.limits.answer_bytes)
        return self._transport.plain_body_reader(head)

    def _sized(self, parts: Iterable[bytes], size: int) -> Iterator[bytes]:
        """Yield the parts, checking that they add up to ``size`` bytes.

        A body shorter than its ``Content-Length`` would leave the engine
        waiting; the excess of a longer one would be parsed as the next
        request.

        :raises ManifestError: the parts are longer or shorter.
        """
        remaining = size
        for part in parts:
            remaining -= len(part)
            if remaining < 0:
                raise self._size_error(size)
            yield part
        if remaining:
            raise self._size_error(size)

    def _size_error(self, size: int) -> errors.ManifestError:
        return errors.ManifestError(
            f'the weights are not {size} bytes long',
            step='load',
            peer=self._transport.peer,
        )

    def _endpoint_error(self, detail: str, step: str) -> errors.EndpointError:
        return errors.EndpointError(
            detail,
            step=step,
            peer=self._transport.peer,
            execution=errors.Execution.MAY_HAVE_RUN,
        )


def _is_stream(head: protocols.AnswerHead) -> bool:
    return head.content_type.startswith(_EVENT_STREAM_TYPE)
