"""Responses to callers: begun once, ended whole or visibly truncated."""

from __future__ import annotations

import http
import typing

import msgspec
from loguru import logger

from clementinepass.entry import instruments
from clementinepass.entry import outbox as outboxes

if typing.TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from clementinepass.entry import direct
    from clementinepass.requests import identity, problem

Headers = list[tuple[str, str]]
StartResponse = typing.Callable[[str, Headers], typing.Any]


class Responder:
    """Write one response; status and headers go out once.

    Each problem that a caller is told passes here, whatever found it, so it
    is counted here and nowhere else.

    :param on_told: told each problem that goes to the caller.
    """

    def __init__(
        self,
        start_response: StartResponse,
        writer: direct.DirectWriter,
        on_told: Callable[[instruments.Sender, problem.Problem], None],
    ) -> None:
        #: Whom the request came from, as far as it is known.
        self.sender = instruments.Sender()
        self._start_response = start_response
        self._writer = writer
        self._on_told = on_told
        self._started = False

    def refuse(self, refusal: problem.Problem) -> list[bytes]:
        """Answer with a problem."""
        self._event(refusal).info(
            'failed: {} {}' if refusal.is_failure else 'refused: {} {}',
            refusal.reason.value,
            refusal.detail,
        )
        self._on_told(self.sender, refusal)
        body = refusal.body()
        self._start(refusal.status, [*refusal.headers(), _length(body)])
        return [body]

    def json(
        self, answer: typing.Any, *headers: tuple[str, str]
    ) -> list[bytes]:
        """Answer with a JSON document."""
        body = msgspec.json.encode(answer)
        content = ('Content-Type', 'application/json')
        self._start(http.HTTPStatus.OK, [content, _length(body), *headers])
        return [body]

    def whole(
        self,
        request: identity.Request,
        head: outboxes.Head,
        body: bytes,
    ) -> bytes:
        """Begin an answer that is known whole, and return its body."""
        self._start(
            head.status,
            [*_answer_headers(request, head), _length(body)],
        )
        return body

    def part(
        self,
        request: identity.Request,
        head: outboxes.Head | None,
        payload: bytes,
    ) -> bytes:
        """Return a piece of an answer, which it begins if need be."""
        if self._started or head is None:
            return payload
        if not request.stream:
            return self.whole(request, head, payload)
        self._start(head.status, _answer_headers(request, head))
        return payload

    def hand_over(
        self,
        request: identity.Request,
        outbox: outboxes.Outbox,
    ) -> None:
        """Let the loop write the next pieces of a stream."""
        if request.stream and self._writer.usable:
            outbox.write_directly(self._writer)

    def write_rest(self, rest: bytes) -> None:
        """Write what the socket did not take from the loop; blocks."""
        self._writer.write_rest(rest)

    def end(
        self,
        request: identity.Request,
        head: outboxes.Head | None,
        failure: problem.Problem | None,
        relayed: int,
    ) -> list[bytes]:
        """Return what ends an answer.

        :param relayed: bytes that the caller was sent already.
        """
        if failure is not None and not self._started:
            return self.refuse(failure)
        if failure is not None:
            # The caller sees that its answer is truncated: an error event in
            # place of the end mark.
            self._event(failure).warning(
                'truncated after {} bytes: {}',
                relayed,
                failure.detail,
            )
            self._on_told(self.sender, failure)
            return [failure.event()]
        if not self._started and head is not None:
            return [self.whole(request, head, b'')]
        return []

    def _event(self, final: problem.Problem) -> typing.Any:
        event = logger.bind(
            request_id=final.request_id,
            team=self.sender.team,
            step=final.step,
            peer=final.peer,
        )
        return event.bind(attempt=final.attempt) if final.attempt else event

    def _start(self, status: int, headers: Headers) -> None:
        self._started = True
        phrase = http.HTTPStatus(status).phrase
        self._start_response(f'{int(status)} {phrase}', headers)


class Body:
    """An answer's body that frees its place when it ends or is dropped."""

    def __init__(
        self,
        first: bytes,
        rest: Iterator[bytes],
        on_close: Callable[[], None],
    ) -> None:
        self._first = first
        self._rest = rest
        self._on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        yield self._first
        yield from self._rest

    def close(self) -> None:
        """Free the place; cheroot calls this whatever happened."""
        closing = getattr(self._rest, 'close', None)
        try:
            if closing is not None:
                closing()
        finally:
            self._on_close()


def _answer_headers(
    request: identity.Request,
    head: outboxes.Head,
) -> Headers:
    return [
        ('Content-Type', head.content_type),
        ('X-Request-Id', request.id),
    ]


def _length(body: bytes) -> tuple[str, str]:
    return 'Content-Length', str(len(body))
