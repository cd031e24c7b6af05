"""Translation of the callers' and endpoints' HTTP headers."""

from __future__ import annotations

import math
import typing

from clementinepass.direct import calls
from clementinepass.http import messages
from clementinepass.platform import notices

if typing.TYPE_CHECKING:
    from collections.abc import Callable

_MS_PER_SECOND = 1000
_ID = b'X-Attempt-Id'
_ID_NAME = b'x-attempt-id'
_KEY_NAME = b'x-api-key'
#: Milliseconds that the caller waits; forwarded with the remaining time.
_DEADLINE = b'X-Deadline-Ms'
_DEADLINE_NAME = b'x-deadline-ms'
#: Tokens of the prompt and of the longest answer, separated by a comma.
_USAGE_NAME = b'x-token-usage'
#: The parts of the prompt in order, as ID:TOKENS, separated by commas.
_PROMPT_NAME = b'x-prompt-prefix'
_RESUME = b'Last-Event-Id'
_RESUME_NAME = b'last-event-id'
_EXPECT_INSTANCE = b'X-Expect-Instance'
_EXPECT_VERSION = b'X-Expect-Version'
#: The name of the team that the caller's key belongs to.
_TEAM = b'X-Tenant'
_URGENCY = b'X-Request-Priority'
#: Present on each answer that an endpoint itself wrote.
_STAMP_NAME = b'x-server-stamp'
#: Present if the endpoint did not run the request, whatever the status.
_NOT_RUN_NAME = b'x-not-executed'
_INSTANCE_NAME = b'x-instance-id'
_WEIGHTS_VERSION_NAME = b'x-weight-versions'
#: Longest version of weights in digits.
_MAX_VERSION_DIGITS = 10
_MISDIRECTED = 421
_SUCCESS = range(200, 300)
_EVENT_STREAM = b'text/event-stream'
_MAX_ID_LENGTH = 200
#: Longest number of tokens in digits. Longer ones don't fit into a float, with
#: which loads are estimated, or can't be converted at all.
_MAX_USAGE_DIGITS = 18
_PRIVATE_HEADERS = frozenset((_KEY_NAME,))
#: Headers of a caller that are dropped, since the system sets its own.
_OVERWRITTEN_HEADERS = frozenset(
    (
        _KEY_NAME,
        _DEADLINE_NAME,
        _RESUME_NAME,
        b'x-expect-instance',
        b'x-expect-version',
        b'x-tenant',
        b'x-request-priority',
        b'path',
    ),
)
_T = typing.TypeVar('_T')


class HeaderDialect:
    """Decode and encode the headers of callers and endpoints."""

    __slots__ = ()

    def decode_request(self, request: messages.Request) -> calls.Call:
        """Decode a caller's request.

        :raises InvalidRequestError: the request does not have exactly one
            valid id, or a header that should hold a number does not.
        """
        headers = request.headers
        call_id = headers.get(_ID_NAME) or b''
        if (
            not 0 < len(call_id) <= _MAX_ID_LENGTH
            or headers.count(_ID_NAME) != 1
        ):
            raise calls.InvalidRequestError(
                'a request needs exactly one id header'
            )
        try:
            return self._decode_call(call_id.decode('latin-1'), request)
        except calls.InvalidRequestError as error:
            error.request_id = call_id.decode('latin-1')
            raise

    def _decode_call(
        self, call_id: str, request: messages.Request
    ) -> calls.Call:
        headers = request.headers
        prompt, answer = _parse_usage(headers.get(_USAGE_NAME))
        return calls.Call(
            id=call_id,
            request=request,
            host=headers.get(b'host') or b'',
            key=headers.get(_KEY_NAME) or b'',
            timeout_seconds=_parse_number(
                headers.get(_DEADLINE_NAME), _parse_seconds
            ),
            prompt_tokens=prompt,
            answer_tokens=answer,
            resume_after=_parse_number(
                headers.get(_RESUME_NAME), _parse_event_id
            ),
            prompt_part_ids=_parse_shared_parts(headers.get(_PROMPT_NAME)),
        )

    def encode_attempt(
        self, call: calls.Call, parameters: calls.AttemptParameters
    ) -> bytes:
        """Return one attempt's request to an endpoint, encoded for the wire."""
        request = call.request
        pairs = request.headers.end_to_end(_OVERWRITTEN_HEADERS)
        remaining_ms = max(int(parameters.timeout_seconds * _MS_PER_SECOND), 1)
        pairs.append((_DEADLINE, b'%d' % remaining_ms))
        pairs.append((_EXPECT_INSTANCE, parameters.endpoint_id.encode()))
        pairs.append((_URGENCY, b'%d' % parameters.urgency))
        if parameters.team:
            pairs.append((_TEAM, parameters.team.encode()))
        if parameters.version:
            pairs.append((_EXPECT_VERSION, b'%d' % parameters.version))
        if parameters.resume_after is not None:
            pairs.append((_RESUME, b'%d' % parameters.resume_after))
        return messages.encode_request(
            request.method,
            request.target,
            pairs,
            request.body,
        )

    def decode_head(
        self,
        call: calls.Call,
        head: messages.AnswerHead,
    ) -> calls.DecodedHead:
        """Decode the head of an endpoint's answer."""
        headers = head.headers
        content_type = headers.get(b'content-type') or b''
        verdict = _verdict(call, head)
        return calls.DecodedHead(
            verdict=verdict,
            is_stream=content_type.lower().startswith(_EVENT_STREAM),
            pairs=headers.end_to_end(_PRIVATE_HEADERS),
            instance=(headers.get(_INSTANCE_NAME) or b'').decode('latin-1'),
            notice=notices.read_notice(verdict, head),
            weights_version=_parse_version(headers.get(_WEIGHTS_VERSION_NAME)),
        )

    def refusal_headers(self, call: calls.Call | None) -> list[messages.Pair]:
        """Return the headers of an answer that the system itself gives."""
        if call is None:
            return []
        return [(_ID, call.id.encode('latin-1'))]


def _verdict(call: calls.Call, head: messages.AnswerHead) -> calls.Verdict:
    headers = head.headers
    echoed_id = headers.get(_ID_NAME)
    if echoed_id is not None and echoed_id != call.id.encode('latin-1'):
        return calls.Verdict.OTHER_REQUEST
    if head.status == _MISDIRECTED:
        return calls.Verdict.MISDIRECTED
    if headers.get(_NOT_RUN_NAME) is not None:
        return calls.Verdict.NOT_RUN
    is_encoded = headers.get(b'content-encoding') not in {None, b'identity'}
    if echoed_id is None or is_encoded or headers.get(_STAMP_NAME) is None:
        return calls.Verdict.INVALID
    if head.status in _SUCCESS:
        return calls.Verdict.SUCCESS
    return calls.Verdict.FAILURE


def _parse_number(
    field: bytes | None, parse: Callable[[bytes], _T]
) -> _T | None:
    """Return a header's number; ``None`` if the header is absent.

    :raises InvalidRequestError: the header does not hold a number.
    """
    if field is None:
        return None
    try:
        return parse(field)
    except ValueError as error:
        raise calls.InvalidRequestError(
            'a header does not hold a number'
        ) from error


def _parse_seconds(field: bytes) -> float:
    seconds = float(field) / _MS_PER_SECOND
    if not math.isfinite(seconds) or seconds < 0:
        raise ValueError(field)
    return seconds


def _parse_event_id(field: bytes) -> int:
    if not field.isdigit():
        raise ValueError(field)
    return int(field)


def _parse_version(field: bytes | None) -> int:
    """Return the version of the weights; 0 if it is absent or malformed.

    It is used for log lines only, so that a malformed one spoils no answer.
    """
    if field is None or not field.isdigit():
        return 0
    return int(field) if len(field) <= _MAX_VERSION_DIGITS else 0


def _parse_usage(field: bytes | None) -> tuple[int, int]:
    """Return the number of tokens of the prompt and of the longest answer.

    Zeros if the header is absent or malformed: the figures only estimate the
    load, so a malformed header does not reject the request.
    """
    parts = [part.strip() for part in (field or b'').split(b',')]
    if len(parts) != 2 or not all(map(_is_token_count, parts)):
        return 0, 0
    return int(parts[0]), int(parts[1])


def _parse_shared_parts(field: bytes | None) -> frozenset[bytes]:
    """Return the ids of the parts of a prompt that other prompts may have.

    The last part belongs to the request itself. Malformed parts don't reject
    the request, which is passed on as it came.
    """
    entries = (field or b'').lower().split(b',')
    ids = {entry.partition(b':')[0].strip() for entry in entries[:-1]}
    return frozenset(ids.difference((b'',)))


def _is_token_count(field: bytes) -> bool:
    return field.isdigit() and len(field) <= _MAX_USAGE_DIGITS
