"""A caller's request as the direct path understands it."""

from __future__ import annotations

import enum
import typing

from clementinepass import errors

if typing.TYPE_CHECKING:
    from clementinepass.direct import routing
    from clementinepass.http import messages


#: What callers wait for an event of a stream: seconds, aims of the route, and
#: gaps of the route; the longest counts.
_MIN_EVENT_WAIT_SECONDS = 2.0
_LATENCY_TARGETS_WAITED = 4
_EVENT_GAPS_WAITED = 8


class InvalidRequestError(errors.ClementinepassError):
    """A request lacks what each request must say, or says it wrongly."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail, step='receive', peer='caller')
        #: The request's id, where that much could be read.
        self.request_id = ''


class Call:
    """One request of a caller.

    :param id: what the caller named it; endpoints echo it.
    :param key: the caller's key; empty for none.
    :param patience: seconds for which the caller waits; ``None`` if untold.
    :param prompt_tokens: tokens to read; 0 if untold.
    :param answer_tokens: tokens to write at most; 0 if untold.
    :param resume_after: the last event that the caller has; ``None`` for a
        request that begins at the start.
    """

    __slots__ = (
        'answer_tokens',
        'host',
        'id',
        'key',
        'timeout_seconds',
        'prompt_tokens',
        'request',
        'resume_after',
    )

    def __init__(
        self,
        *,
        id: str,  # noqa: A002
        request: messages.Request,
        host: bytes,
        key: bytes = b'',
        timeout_seconds: float | None = None,
        prompt_tokens: int = 0,
        answer_tokens: int = 0,
        resume_after: int | None = None,
    ) -> None:
        self.id = id
        self.request = request
        self.host = host
        self.key = key
        self.timeout_seconds = timeout_seconds
        self.prompt_tokens = prompt_tokens
        self.answer_tokens = answer_tokens
        self.resume_after = resume_after


class AttemptParameters(typing.NamedTuple):
    """What one attempt adds to a call.

    :param endpoint_id: the only endpoint that may run it.
    :param seconds: what is left for the answer.
    :param version: the only version to run it on; 0 for any.
    :param resume_after: the last event that the caller has.
    :param urgency: 0 is served first, 9 last.
    """

    endpoint_id: str
    timeout_seconds: float
    team: str
    version: int
    resume_after: int | None
    urgency: int


class Verdict(enum.Enum):
    """What the head of an answer says."""

    #: The endpoint did not run the request: it is full or leaving.
    NOT_RUN = 'not_run'
    #: As ``NOT_RUN``, since the endpoint there is another, or its weights are.
    MISDIRECTED = 'misdirected'
    #: Another request's answer.
    OTHER_REQUEST = 'foreign'
    #: Not an answer that an endpoint gives: unmarked, or encoded.
    INVALID = 'spoiled'
    #: The endpoint's answer: a success.
    SUCCESS = 'success'
    #: The endpoint's answer: it ran the request and failed.
    FAILURE = 'failure'


class DecodedHead(typing.NamedTuple):
    """The head of an endpoint's answer, decoded."""

    verdict: Verdict
    #: Whether the body is a stream of events.
    is_stream: bool
    #: The headers to pass on.
    pairs: list[messages.Pair]
    #: Who answered, where it says so.
    instance: str = ''


class Dialect(typing.Protocol):
    """How callers and endpoints spell what the path must know."""

    def decode_request(self, request: messages.Request) -> Call:
        """Decode a caller's request.

        :raises BadCallError: it can't be served as it is.
        """

    def encode_attempt(
        self, call: Call, parameters: AttemptParameters
    ) -> bytes:
        """Return the request for an endpoint as it goes on the wire."""

    def decode_head(self, call: Call, head: messages.AnswerHead) -> DecodedHead:
        """Decode the head of an endpoint's answer."""

    def refusal_headers(self, call: Call | None) -> list[messages.Pair]:
        """Return the headers of an answer of the system's own."""


def first_event_deadline(call: Call, route: routing.Route) -> float:
    """Return the monotonic seconds until which a stream's caller waits."""
    return call.request.received_at + max_event_wait(route)


def max_event_wait(route: routing.Route) -> float:
    """Return the seconds after which a stream's caller gives it up.

    Callers do so, also before its first event, after the longest of two
    seconds, four aims and eight gaps.
    """
    return max(
        _MIN_EVENT_WAIT_SECONDS,
        _LATENCY_TARGETS_WAITED * route.latency_target,
        _EVENT_GAPS_WAITED * route.max_event_gap,
    )


def deadline(call: Call, route: routing.Route) -> float:
    """Return the monotonic seconds by which the final answer is due."""
    seconds = route.timeout
    if call.timeout_seconds is not None:
        seconds = min(seconds, call.timeout_seconds)
    return call.request.received_at + seconds
