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
_LEAST_PATIENCE = 2.0
_AIMS_OF_PATIENCE = 4
_GAPS_OF_PATIENCE = 8


class BadCallError(errors.ClementinepassError):
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
        'patience',
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
        patience: float | None = None,
        prompt_tokens: int = 0,
        answer_tokens: int = 0,
        resume_after: int | None = None,
    ) -> None:
        self.id = id
        self.request = request
        self.host = host
        self.key = key
        self.patience = patience
        self.prompt_tokens = prompt_tokens
        self.answer_tokens = answer_tokens
        self.resume_after = resume_after


class Sending(typing.NamedTuple):
    """What one attempt adds to a call.

    :param endpoint_id: the only endpoint that may run it.
    :param seconds: what is left for the answer.
    :param version: the only version to run it on; 0 for any.
    :param resume_after: the last event that the caller has.
    :param urgency: 0 is served first, 9 last.
    """

    endpoint_id: str
    seconds: float
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
    FOREIGN = 'foreign'
    #: Not an answer that an endpoint gives: unmarked, or encoded.
    SPOILED = 'spoiled'
    #: The endpoint's answer: a success.
    SUCCESS = 'success'
    #: The endpoint's answer: it ran the request and failed.
    FAILURE = 'failure'


class AnswerFacts(typing.NamedTuple):
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

    def call(self, request: messages.Request) -> Call:
        """Decode a caller's request.

        :raises BadCallError: it can't be served as it is.
        """

    def attempt(self, call: Call, sending: Sending) -> bytes:
        """Return the request for an endpoint as it goes on the wire."""

    def answer(self, call: Call, head: messages.AnswerHead) -> AnswerFacts:
        """Decode the head of an endpoint's answer."""

    def refusal(self, call: Call | None) -> list[messages.Pair]:
        """Return the headers of an answer of the system's own."""


def first_event_by(call: Call, route: routing.Route) -> float:
    """Return the monotonic seconds until which a stream's caller waits."""
    return call.request.received_at + longest_silence(route)


def longest_silence(route: routing.Route) -> float:
    """Return the seconds after which a stream's caller gives it up.

    Callers do so, also before its first event, after the longest of two
    seconds, four aims and eight gaps.
    """
    return max(
        _LEAST_PATIENCE,
        _AIMS_OF_PATIENCE * route.aim,
        _GAPS_OF_PATIENCE * route.longest_gap,
    )


def final_at(call: Call, route: routing.Route) -> float:
    """Return the monotonic seconds by which the final answer is due."""
    seconds = route.timeout
    if call.patience is not None:
        seconds = min(seconds, call.patience)
    return call.request.received_at + seconds
