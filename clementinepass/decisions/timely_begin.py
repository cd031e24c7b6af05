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

    from clementinepass.decisions import nearest_place


class Request(typing.NamedTuple):
    """What a request asks of an engine before its first token.

    :param prompt_tokens: tokens to read.
    :param usual_prompt: the same of the requests before it, on the mean.
    """

    prompt_tokens: float
    usual_prompt: float


def begins_after(
    request: Request,
    option: nearest_place.Option,
    pace: first_event.Pace,
) -> float:
    """Return the seconds after which a request sent now would begin.

    Those that wait for a slot come before it, and an engine reads the prompts
    of those that it has taken up before it reads another.
    """
    seconds = first_event.BASE_SECONDS
    if pace.ended_per_second:
        seconds += option.waiting / pace.ended_per_second
    if pace.read_per_second:
        tokens = option.unbegun * request.usual_prompt + request.prompt_tokens
        seconds += tokens / pace.read_per_second
    return seconds


def timely(
    request: Request,
    options: Iterable[nearest_place.Option],
    pace: first_event.Pace,
) -> list[nearest_place.Option]:
    """Return the endpoints at which a request would begin in time."""
    return [
        option
        for option in options
        if begins_after(request, option, pace) <= option.usable_for
    ]
