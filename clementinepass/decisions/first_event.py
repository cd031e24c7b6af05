"""Estimate when an endpoint answers, and reject requests that would be late.

When a third more requests arrive than the engines can run, for the seconds
until added engines have their weights, queues grow to half a second everywhere.
Instead of two thirds of the requests, none is served in time, as those that
wait delay those behind them. A request that would start too late is therefore
rejected at once, so that its caller can retry when the queue is shorter.
"""

from __future__ import annotations

import typing

#: A request is sent if its estimated latency is at most this fraction of the
#: latency target. The estimate is based on means, and other entries send to the
#: same endpoint until its next report: with the whole target as the limit, half
#: of the requests that are sent are late.
_TARGET_FRACTION = 0.85
#: Seconds to an endpoint and back, and until the first event of an empty engine
#: apart from reading the prompt.
BASE_LATENCY_SECONDS = 0.06
#: Requests per slot that may wait at an endpoint of unknown service rate.
_UNKNOWN_RATE_QUEUE_FRACTION = 0.35
#: Shortest time in seconds after which a rejected caller may retry. An engine
#: finishes three answers in this time.
_MIN_RETRY_AFTER = 0.25
#: Longest time in seconds after which a rejected caller may retry. Callers have
#: six seconds for a request and wait for up to a third of them before a retry,
#: and conditions in which no endpoint serves, such as the loading of new
#: weights, last for seconds.
MAX_RETRY_AFTER = 2.0


class ServiceRate(typing.NamedTuple):
    """The rates at which an endpoint works.

    :param prompt_tokens_per_second: prompt tokens that it reads per second.
    :param requests_per_second: requests that it finishes per second when all of
        its slots are in use; 0 if unknown.
    """

    prompt_tokens_per_second: float
    requests_per_second: float


class PendingRequest(typing.NamedTuple):
    """A request and the endpoint at which it would start soonest.

    :param queue_depth: requests that would wait there, this one included.
    :param slots: requests that the endpoint runs at once.
    :param latency_target: seconds within which the answer has its full value.
    :param elapsed_seconds: time that the request has spent already.
    :param pace: factor by which the endpoint is slower than usual.
    """

    queue_depth: float
    slots: int
    prompt_tokens: int
    latency_target: float
    elapsed_seconds: float
    pace: float = 1


def service_rate(
    prompt_tokens_per_second: float,
    mean_prompt_tokens: float,
    mean_answer_tokens: float,
    step_seconds: float,
    slots: int,
) -> ServiceRate:
    """Return an engine's service rate, estimated from the operator's figures.

    A full engine spends on each request the time to read its prompt, in which
    it generates nothing else, and the request's share of the steps for its
    answer.

    :param step_seconds: time for one token of each running request.
    """
    if not prompt_tokens_per_second or not slots:
        return ServiceRate(0, 0)
    seconds = mean_prompt_tokens / prompt_tokens_per_second
    seconds += mean_answer_tokens * step_seconds / slots
    return ServiceRate(prompt_tokens_per_second, 1 / seconds if seconds else 0)


def meets_target(request: PendingRequest, rate: ServiceRate) -> bool:
    """Return whether to send a request to the endpoint.

    With a known service rate a request that waits behind no other is always
    sent.
    """
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
        or seconds * request.pace + request.elapsed_seconds
        <= request.latency_target * _TARGET_FRACTION
    )


def retry_after(queue_depth: float, rate: ServiceRate) -> float:
    """Return the seconds after which a rejected caller may find a free slot."""
    if not rate.requests_per_second:
        return _MIN_RETRY_AFTER
    seconds = queue_depth / rate.requests_per_second
    return min(max(seconds, _MIN_RETRY_AFTER), MAX_RETRY_AFTER)
