"""Foresee when requests begin at endpoints that may be used for a while only.

Load: engines of which some crash, shortly before requests may begin on no
older version of their weights.  What the crashed ones ran is sent on, all at
once.  Harm: sent in time, it waits in the queues of engines with older weights
and is given up there, or begins after the bound.  So the wait is foreseen, and
an endpoint where a request would begin too late is left out.
"""

from __future__ import annotations

import typing

from clementinepass.decisions import first_event

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

    from clementinepass.decisions import endpoint_choice


class Request(typing.NamedTuple):
    """What a request asks of an engine before its first token.

    :param prompt_tokens: tokens to read.
    :param usual_prompt: the same of the requests before it, on the mean.
    """

    prompt_tokens: float
    mean_prompt_tokens: float


def seconds_until_start(
    request: Request,
    candidate: endpoint_choice.Candidate,
    rate: first_event.ServiceRate,
) -> float:
    """Return the seconds after which a request sent now would begin.

    Those that wait for a slot come before it, and an engine reads the prompts
    of those that it has taken up before it reads another.
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
    """Return the endpoints at which a request would begin in time."""
    return [
        candidate
        for candidate in candidates
        if seconds_until_start(request, candidate, rate)
        <= candidate.usable_seconds
    ]
