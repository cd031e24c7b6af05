"""Callers' requests and endpoints' answers, decoded."""

from __future__ import annotations

import enum
import typing

from clementinepass import errors

if typing.TYPE_CHECKING:
    from clementinepass.direct import routing
    from clementinepass.http import messages


#: Time for which callers wait for an event of a stream: the longest of this
#: many seconds, latency targets of the route, and event gaps of the route.
_MIN_EVENT_WAIT_SECONDS = 2.0
_LATENCY_TARGETS_WAITED = 4
_EVENT_GAPS_WAITED = 8
_NO_PARTS: frozenset[bytes] = frozenset()


class InvalidRequestError(errors.ClementinepassError):
    """A request lacks a required header, or one of its headers is invalid."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail, step='receive', peer='caller')
        #: The id of the request; empty if it could not be decoded.
        self.request_id = ''


class Call:
    """A decoded request of a caller.

    :param id: id that the caller chose; endpoints echo it.
    :param key: the caller's key; empty for none.
    :param timeout_seconds: how long the caller waits; ``None`` if unspecified.
    :param prompt_tokens: tokens of the prompt; 0 if unspecified.
    :param answer_tokens: maximum tokens of the answer; 0 if unspecified.
    :param resume_after: id of the last event that the caller has received;
        ``None`` for a request that is not resumed.
    :param prompt_part_ids: ids of the parts of the prompt that other requests
        may have, too.
    """

    __slots__ = (
        'answer_tokens',
        'host',
        'id',
        'key',
        'timeout_seconds',
        'prompt_part_ids',
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
        prompt_part_ids: frozenset[bytes] = _NO_PARTS,
    ) -> None:
        self.id = id
        self.request = request
        self.host = host
        self.key = key
        self.timeout_seconds = timeout_seconds
        self.prompt_tokens = prompt_tokens
        self.answer_tokens = answer_tokens
        self.resume_after = resume_after
        self.prompt_part_ids = prompt_part_ids


class AttemptParameters(typing.NamedTuple):
    """Parameters of one attempt, sent along with the request.

    :param endpoint_id: the only endpoint that may run the request.
    :param timeout_seconds: time left for the answer.
    :param version: the only version to run the request on; 0 for any.
    :param resume_after: id of the last event that the caller has received.
    :param urgency: priority at the engine, from 0 (first) to 9 (last).
    """

    endpoint_id: str
    timeout_seconds: float
    team: str
    version: int
    resume_after: int | None
    urgency: int


class Verdict(enum.Enum):
    """Classification of an answer by its head."""

    #: The endpoint did not run the request, as it is full or draining.
    NOT_RUN = 'not_run'
    #: As ``NOT_RUN``, as another endpoint or another version is at the address.
    MISDIRECTED = 'misdirected'
    #: The answer belongs to another request.
    OTHER_REQUEST = 'foreign'
    #: Not an answer of an endpoint: the id of the request or the stamp of the
    #: endpoint is missing, or the content is encoded.
    INVALID = 'spoiled'
    #: The request succeeded.
    SUCCESS = 'success'
    #: The endpoint ran the request and failed.
    FAILURE = 'failure'


class EndpointNotice(typing.NamedTuple):
    """What an endpoint says of itself in an answer.

    It applies to the endpoint, beyond the request that was answered.

    :param pause_seconds: time for which it wants no requests of this instance;
        ``None`` if it asked for no pause.
    :param is_draining: whether it drains.
    :param request_rate: requests a second that it takes of all entries
        together; ``None`` if it names no limit.
    :param has_invalid_rate: whether it names a limit that cannot be read.
    """

    pause_seconds: float | None = None
    is_draining: bool = False
    request_rate: float | None = None
    has_invalid_rate: bool = False


class DecodedHead(typing.NamedTuple):
    """The decoded head of an endpoint's answer."""

    verdict: Verdict
    #: Whether the body is a stream of events.
    is_stream: bool
    #: Headers to forward to the caller.
    pairs: list[messages.Pair]
    #: Id of the instance that answered; empty if the answer has none.
    instance: str = ''
    #: What the instance says of itself.
    notice: EndpointNotice = EndpointNotice()
    #: The version of the weights that answer; 0 if the answer names none.
    weights_version: int = 0


class Dialect(typing.Protocol):
    """Encoding of requests and answers in the headers of the platform."""

    def decode_request(self, request: messages.Request) -> Call:
        """Decode a caller's request.

        :raises InvalidRequestError: a header is missing or invalid.
        """

    def encode_attempt(
        self, call: Call, parameters: AttemptParameters
    ) -> bytes:
        """Encode the request for an endpoint."""

    def decode_head(self, call: Call, head: messages.AnswerHead) -> DecodedHead:
        """Decode the head of an endpoint's answer."""

    def refusal_headers(self, call: Call | None) -> list[messages.Pair]:
        """Return the headers of an answer that the entry itself gives."""


def first_event_deadline(call: Call, route: routing.Route) -> float:
    """Return the monotonic time until which a caller waits for an event."""
    return call.request.received_at + max_event_wait(route)


def max_event_wait(route: routing.Route) -> float:
    """Return the seconds without an event after which callers disconnect.

    Callers of streams do so, also before the first event, after the longest of
    two seconds, four latency targets and eight event gaps.
    """
    return max(
        _MIN_EVENT_WAIT_SECONDS,
        _LATENCY_TARGETS_WAITED * route.latency_target,
        _EVENT_GAPS_WAITED * route.max_event_gap,
    )


def deadline(call: Call, route: routing.Route) -> float:
    """Return the monotonic time by which the final answer is due."""
    seconds = route.timeout
    if call.timeout_seconds is not None:
        seconds = min(seconds, call.timeout_seconds)
    return call.request.received_at + seconds
