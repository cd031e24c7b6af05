"""Adapter for model engines."""

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
    """What an engine sends of itself."""

    version: str
    digest: str
    fencing: int
    running: int
    waiting: int
    capacity: int


class HttpEngine:
    """Speak a model engine's HTTP protocol.

    :param address: the engine's address, ``host:port``.
    """

    __slots__ = ('_transport',)

    def __init__(
        self,
        address: str,
        limits: transport.Limits | None = None,
    ) -> None:
        self._transport = transport.Transport(address, limits)

    def call(self, call: protocols.Call) -> answers.HttpAnswer:
        """Send a request and return its answer once the head is there.

        :raises EndpointError: with ``execution`` set to not run only where
            the connection was refused before anything was sent.
        """
        answer = self._transport.call(call, self._select_reader)
        if call.stream and answer.head.status == _OK:
            if not _is_stream(answer.head):
                answer.close()
                raise self._endpoint_error('answered no stream', 'call')
        return answer

    def cancel(self, request_id: str) -> None:
        """Ask the engine to stop a request; unknown ones are ignored."""
        name = urllib.parse.quote(request_id, safe='')
        path = f'/v1/requests/{name}'
        exchange = transport.Exchange('DELETE', path, step='cancel')
        # An engine that cannot be asked runs on; the answer is dropped all
        # the same, so that there is nothing that a caller could do about it.
        with contextlib.suppress(errors.EndpointError):
            self._transport.fetch(exchange)

    def is_healthy(self) -> bool:
        """Tell whether the engine answers at all."""
        try:
            self.status()
        except errors.EndpointError:
            return False
        return True

    def is_gone(self) -> bool:
        """Tell whether nobody listens there any more."""
        try:
            self.status()
        except errors.EndpointError as error:
            return error.execution is errors.Execution.NOT_RUN
        return False

    def status(self) -> protocols.EngineStatus:
        """Read back what the engine serves now.

        :raises EndpointError: the engine did not answer.
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
        """Send a whole version's weights and order the engine to serve it.

        Requests in progress end on the version they began with.

        :param digest: the SHA-256 of the whole, in hexadecimal.
        :param size: the length of the whole in bytes.
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
        """Choose by its type how a body is read; refusals are no streams."""
        if _is_stream(head):
            return answers.EventReader(self._transport.limits.answer_bytes)
        return self._transport.plain_body_reader(head)

    def _sized(self, parts: Iterable[bytes], size: int) -> Iterator[bytes]:
        """Yield parts, and fail where they are longer or shorter than told.

        A body shorter than its announced length would leave the engine
        waiting; a longer one would be taken for the next request.
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
