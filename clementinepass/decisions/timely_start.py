"""Estimate when requests start at endpoints that are usable for a limited time.

Some engines may crash shortly before requests may no longer start on older
versions of the weights. Their requests are then sent to other engines, all at
once. Though sent in time, such a request waits in the queue of an engine with
older weights and is given up there, or starts after the deadline. So the wait
is estimated, and an endpoint where a request would start too late is left out.
"""

from __future__ import annotations

import typing

from clementinepass.decisions import first_event

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

    from clementinepass.decisions import endpoint_choice


class Request(typing.NamedTuple):
    """The prompts that an engine reads until a request starts.

    :param prompt_tokens: tokens of the request's prompt.
    :param mean_prompt_tokens: mean prompt tokens of the requests before it.
    """

    prompt_tokens: float
    mean_prompt_tokens: float


def seconds_until_start(
    request: Request,
    candidate: endpoint_choice.Candidate,
    rate: first_event.ServiceRate,
) -> float:
    """Return the seconds after which a request sent now would start.

    Requests that wait for a slot come before it, and an engine reads the
    prompts of the requests that it has started before it reads another.
    """
    seconds = first_event.BASE_LATENCY_SECONDS
    if rate.requests_per_second:
        seconds += candidate.queue_depth / rate.requests_per_second
    if rate.prompt_tokens_per_second:
        tokens = (
            candidate.unstarted * request.mean_prompt_tokens
            + request.prompt_tokens
        )
        seconds += tokens / rate.prompt_tokens_per_second
    return seconds


def filter_timely(
    request: Request,
    candidates: Iterable[endpoint_choice.Candidate],
    rate: first_event.ServiceRate,
) -> list[endpoint_choice.Candidate]:
    """Return the endpoints at which a request would start in time."""
    return [
        candidate
        for candidate in candidates
        if seconds_until_start(request, candidate, rate)
        <= candidate.usable_seconds
    ]
