"""Foresee when an endpoint answers, and refuse what would come too late.

Load: a third more requests than the engines can run, for seconds, until added
ones have their weights.  Harm: queues grow to half a second everywhere, and
instead of two thirds being served in time nobody is; those who wait hold up
those who come after them.  What would start too late is refused at once, so
that the caller may come back when the queue is shorter.
"""

from __future__ import annotations

import typing

#: The part of the aim that a request may be expected to take and still be
#: sent. The estimate is of means, and other entries send there until the next
#: report; with all of the aim, half of those sent are late.
_TARGET_FRACTION = 0.85
#: Seconds to an endpoint and back, and to the first event of an empty engine
#: beside reading the prompt.
BASE_LATENCY_SECONDS = 0.06
#: Requests that may wait at an endpoint of unknown speed, for each slot.
_UNKNOWN_RATE_QUEUE_FRACTION = 0.35
#: Seconds after which a refused caller may come back: the shortest, in which
#: an engine ends three answers.
_MIN_RETRY_AFTER = 0.25
#: The longest. Callers heed a third of the six seconds that they have, and
#: what keeps all endpoints from serving, such as new weights, takes seconds.
MAX_RETRY_AFTER = 2.0


class ServiceRate(typing.NamedTuple):
    """How fast an endpoint works.

    :param read_per_second: prompt tokens read in a second.
    :param ended_per_second: requests that a full endpoint ends in a second;
        0 where it isn't known.
    """

    prompt_tokens_per_second: float
    requests_per_second: float


class PendingRequest(typing.NamedTuple):
    """A request that looks for a place.

    :param waiting: requests that would wait at the best endpoint, this one
        included.
    :param slots: requests that it runs at once.
    :param aim: seconds in which the answer is of full value.
    :param passed: seconds that have passed already.
    """

    queue_depth: float
    slots: int
    prompt_tokens: int
    latency_target: float
    elapsed_seconds: float


def service_rate(
    prompt_tokens_per_second: float,
    mean_prompt_tokens: float,
    mean_answer_tokens: float,
    step_seconds: float,
    slots: int,
) -> ServiceRate:
    """Work out an engine's pace from what the operator says of it.

    A full engine spends on a request the time to read its prompt, in which
    nothing else is written, and its share of the steps for its answer.
    """
    if not prompt_tokens_per_second or not slots:
        return ServiceRate(0, 0)
    seconds = mean_prompt_tokens / prompt_tokens_per_second
    seconds += mean_answer_tokens * step_seconds / slots
    return ServiceRate(prompt_tokens_per_second, 1 / seconds if seconds else 0)


def meets_target(request: PendingRequest, rate: ServiceRate) -> bool:
    """Tell whether a request may be sent to the best endpoint."""
    if not rate.requests_per_second:
        return (
            request.queue_depth <= request.slots * _UNKNOWN_RATE_QUEUE_FRACTION
        )
    seconds = (
        BASE_LATENCY_SECONDS + request.queue_depth / rate.requests_per_second
    )
    seconds += request.prompt_tokens / rate.prompt_tokens_per_second
    return (
        request.queue_depth <= 1
        or seconds + request.elapsed_seconds
        <= request.latency_target * _TARGET_FRACTION
    )


def retry_after(queue_depth: float, rate: ServiceRate) -> float:
    """Return the seconds after which a refused caller may find room."""
    if not rate.requests_per_second:
        return _MIN_RETRY_AFTER
    seconds = queue_depth / rate.requests_per_second
    return min(max(seconds, _MIN_RETRY_AFTER), MAX_RETRY_AFTER)
