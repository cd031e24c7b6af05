"""The typed JSON problem: the only source of the words in a refusal."""

from __future__ import annotations

import enum
import math
import typing

import msgspec

from clementinepass import errors

if typing.TYPE_CHECKING:
    from clementinepass.requests import outcome

#: The content type of a problem (RFC 9457).
CONTENT_TYPE = 'application/problem+json'


class Reason(enum.Enum):
    """Why a request was refused or failed."""

    MALFORMED = 'malformed'
    UNAUTHORIZED = 'unauthorized'
    FORBIDDEN = 'forbidden'
    UNKNOWN_TARGET = 'unknown_target'
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    BODY_TOO_LARGE = 'body_too_large'
    WRONG_CONTENT_TYPE = 'wrong_content_type'
    KEY_MISUSED = 'idempotency_key_misused'
    KEY_IN_PROGRESS = 'idempotency_key_in_progress'
    ANSWER_NOT_KEPT = 'answer_not_kept'
    CLAIM_UNAVAILABLE = 'claim_unavailable'
    QUARANTINED = 'quarantined'
    OVERLOADED = 'overloaded'
    NO_ENDPOINT = 'no_endpoint'
    LEAVING = 'leaving'
    STARTING = 'starting'
    DEADLINE = 'deadline_exceeded'
    ENDPOINT_FAILED = 'endpoint_failed'
    ENDPOINT_DIED = 'endpoint_died'
    CONNECTION_LOST = 'connection_lost'
    TRUNCATED = 'truncated'
    INTERNAL = 'internal'


class _Wording(msgspec.Struct, frozen=True):
    """What is always said for one reason."""

    status: int
    title: str


_WORDINGS_BY_REASON: typing.Final = {
    Reason.MALFORMED: _Wording(400, 'The request is malformed.'),
    Reason.UNAUTHORIZED: _Wording(401, 'The key of a team is needed.'),
    Reason.FORBIDDEN: _Wording(403, 'The team may not use this target.'),
    Reason.UNKNOWN_TARGET: _Wording(404, 'There is no such target.'),
    Reason.METHOD_NOT_ALLOWED: _Wording(405, 'The method is not allowed.'),
    Reason.BODY_TOO_LARGE: _Wording(413, 'The body is too large.'),
    Reason.WRONG_CONTENT_TYPE: _Wording(415, 'The content type is wrong.'),
    Reason.KEY_MISUSED: _Wording(
        422,
        'The idempotency key belongs to another request.',
    ),
    Reason.KEY_IN_PROGRESS: _Wording(
        409,
        'A request with this idempotency key was begun and its answer is '
        'not known.',
    ),
    Reason.ANSWER_NOT_KEPT: _Wording(
        409,
        'The request ran; its answer was too large to be kept.',
    ),
    Reason.CLAIM_UNAVAILABLE: _Wording(
        503,
        'The idempotency key could not be claimed.',
    ),
    Reason.QUARANTINED: _Wording(
        503,
        'The request is quarantined: endpoints died while running it.',
    ),
    Reason.OVERLOADED: _Wording(503, 'There is no capacity now.'),
    Reason.NO_ENDPOINT: _Wording(503, 'No endpoint serves the target now.'),
    Reason.LEAVING: _Wording(503, 'The instance is leaving.'),
    Reason.STARTING: _Wording(503, 'The entry has only just started.'),
    Reason.DEADLINE: _Wording(504, 'The deadline has passed.'),
    Reason.ENDPOINT_FAILED: _Wording(502, 'The endpoint failed.'),
    Reason.ENDPOINT_DIED: _Wording(502, 'The endpoint died.'),
    Reason.CONNECTION_LOST: _Wording(
        502,
        'The connection to the endpoint was lost.',
    ),
    Reason.TRUNCATED: _Wording(502, 'The answer is truncated.'),
    Reason.INTERNAL: _Wording(500, 'The system failed.'),
}


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """One refusal or failure, as its caller reads it."""

    reason: Reason
    #: Whether the request was not run, ran, or may have run.
    execution: errors.Execution
    #: The step at which it arose.
    step: str
    #: The peer with which it arose.
    peer: str
    request_id: str
    status: int
    title: str
    detail: str = ''
    #: The header or the field of the body at fault.
    field: str = ''
    #: Seconds after which asking again makes sense.
    retry_after: float | None = None
    #: The number of the last attempt; 0 where there was none.
    attempt: int = 0

    @property
    def is_failure(self) -> bool:
        """Tell a failure after a dispatch, or within, from a refusal."""
        return self.attempt > 0 or self.reason is Reason.INTERNAL

    @classmethod
    def of(
        cls,
        reason: Reason,
        execution: errors.Execution,
        *,
        step: str,
        peer: str,
        request_id: str,
        detail: str = '',
        field: str = '',
        retry_after: float | None = None,
        attempt: int = 0,
    ) -> typing.Self:
        """Return the problem with the reason's status and title."""
        wording = _WORDINGS_BY_REASON[reason]
        return cls(
            reason=reason,
            execution=execution,
            step=step,
            peer=peer,
            request_id=request_id,
            status=wording.status,
            title=wording.title,
            detail=detail,
            field=field,
            retry_after=retry_after,
            attempt=attempt,
        )

    @classmethod
    def not_run(
        cls,
        reason: Reason,
        *,
        step: str,
        peer: str,
        request_id: str,
        detail: str = '',
        field: str = '',
        retry_after: float | None = None,
    ) -> typing.Self:
        """Return the problem of a request that was never dispatched."""
        return cls.of(
            reason,
            errors.Execution.NOT_RUN,
            step=step,
            peer=peer,
            request_id=request_id,
            detail=detail,
            field=field,
            retry_after=retry_after,
        )

    @classmethod
    def of_attempt(
        cls,
        reason: Reason,
        attempt: outcome.Attempt,
        *,
        step: str,
        detail: str = '',
        retry_after: float | None = None,
    ) -> typing.Self:
        """Return the problem of a dispatched request."""
        return cls.of(
            reason,
            attempt.execution,
            step=step,
            peer=attempt.peer,
            request_id=attempt.request_id,
            detail=detail,
            retry_after=retry_after,
            attempt=attempt.number,
        )

    def body(self) -> bytes:
        """Return the problem as JSON."""
        return msgspec.json.encode(self)

    def event(self) -> bytes:
        """Return the problem as the last event of a truncated stream."""
        return b'event: error\ndata: %b\n\n' % self.body()

    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers that go with the body."""
        content = ('Content-Type', CONTENT_TYPE)
        if self.retry_after is None:
            return (content,)
        seconds = max(1, math.ceil(self.retry_after))
        return content, ('Retry-After', str(seconds))
