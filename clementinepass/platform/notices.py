"""Headers in which an endpoint says something of itself, in any answer."""

from __future__ import annotations

import math
import re
import typing

from clementinepass.direct import calls
from clementinepass.platform import draining

if typing.TYPE_CHECKING:
    from clementinepass.http import messages

_RETRY_AFTER_NAME = b'retry-after'
_LIMIT_NAME = b'server-limit'
#: A number without sign and exponent, such as ``1.2``. ``Retry-After`` may also
#: hold a date, which is ignored.
_DECIMAL = re.compile(rb'[0-9]+(?:\.[0-9]+)?')
#: Longest number of requests a second that is read, in bytes.
_MAX_LIMIT_LENGTH = 24
_UNAVAILABLE = 503


def read_notice(
    verdict: calls.Verdict, head: messages.AnswerHead
) -> calls.EndpointNotice:
    """Return what an endpoint says of itself in an answer."""
    limits = head.headers.tokens(_LIMIT_NAME)
    # Repeated headers are a list (RFC 9110, section 5.3); the strictest counts.
    rates = [float(field) for field in limits if _is_rate(field)]
    return calls.EndpointNotice(
        pause_seconds=_pause_seconds(verdict, head),
        is_draining=draining.is_draining(head.headers),
        request_rate=min(rates, default=None),
        has_invalid_rate=bool(limits) and not rates,
    )


def _is_rate(field: bytes) -> bool:
    is_short = len(field) <= _MAX_LIMIT_LENGTH
    return is_short and _DECIMAL.fullmatch(field) is not None


def _pause_seconds(
    verdict: calls.Verdict, head: messages.AnswerHead
) -> float | None:
    """Return for how long the endpoint wants no requests of this instance."""
    if verdict is not calls.Verdict.NOT_RUN or head.status != _UNAVAILABLE:
        return None
    field = head.headers.get(_RETRY_AFTER_NAME) or b''
    if not _DECIMAL.fullmatch(field):
        return None
    seconds = float(field)
    return seconds if math.isfinite(seconds) else None
