"""Decision when another endpoint is sought in the place of a silent one.

An endpoint may send nothing for a second or more and then go on. Its silence
alone is therefore no reason to abort an attempt. It is a reason to let another
endpoint answer as well, if the request may run once more. The attempt at the
silent endpoint is aborted only when the other one delivers.
"""

from __future__ import annotations

import math
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

#: Seconds beyond the latency target without a first event after which another
#: endpoint is sought. Callers abandon a stream after two seconds without an
#: event.
_FIRST_EVENT_GRACE_SECONDS = 0.9
#: Seconds without an event, beyond the longest allowed gap, after which another
#: endpoint is sought. Callers wait two seconds for an event; the rest of them
#: is left for the other endpoint.
_EVENT_GAP_GRACE_SECONDS = 0.7
#: Share of the remaining time after which another endpoint is sought for a
#: plain request. Answers usually take a ninth of that time, and the slowest
#: ones a half.
_PLAIN_ANSWER_TIME_SHARE = 0.5


class Expectation(typing.NamedTuple):
    """When the next part of an answer is expected.

    :param is_stream: whether the route answers with events.
    :param is_started: whether the caller has received an event.
    :param latency_target: seconds within which the first event is expected.
    :param max_event_gap: seconds within which the next event is expected.
    """

    is_stream: bool
    is_started: bool
    latency_target: float
    max_event_gap: float


class Wait(typing.NamedTuple):
    """How long an open attempt has been waiting for its endpoint.

    :param waited_seconds: seconds since the endpoint last sent something, or
        was sent the request.
    :param seconds_left: seconds from now until the final answer is due.
    """

    waited_seconds: float
    seconds_left: float


def tolerance(expectation: Expectation, wait: Wait) -> float:
    """Return the seconds without a byte after which an endpoint is silent."""
    if expectation.is_started:
        return expectation.max_event_gap + _EVENT_GAP_GRACE_SECONDS
    if expectation.is_stream:
        return expectation.latency_target + _FIRST_EVENT_GRACE_SECONDS
    seconds_left_at_start = wait.waited_seconds + wait.seconds_left
    return _PLAIN_ANSWER_TIME_SHARE * seconds_left_at_start


def seconds_until_search(
    expectation: Expectation,
    waits: Iterable[Wait],
    *,
    may_run_again: bool,
) -> float:
    """Return the seconds until another endpoint is sought.

    It is sought once all open attempts wait for silent endpoints, and at once
    if none is open.

    :param may_run_again: whether the request may run once more beside its open
        attempts. If not, its answer can only come from one of them.
    """
    remaining = [
        tolerance(expectation, wait) - wait.waited_seconds for wait in waits
    ]
    if not remaining:
        return 0
    return max(0, *remaining) if may_run_again else math.inf
