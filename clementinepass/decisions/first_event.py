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
_SENT_PART = 0.85
#: Seconds to an endpoint and back, and to the first event of an empty engine
#: beside reading the prompt.
BASE_SECONDS = 0.06
#: Requests that may wait at an endpoint of unknown speed, for each slot.
_UNKNOWN_PART = 0.35
#: Seconds after which a refused caller may come back: the shortest, in which
#: an engine ends three answers.
_SHORTEST_RETURN = 0.25
#: The longest. Callers heed a third of the six seconds that they have, and
#: what keeps all endpoints from serving, such as new weights, takes seconds.
LONGEST_RETURN = 2.0


class Pace(typing.NamedTuple):
    """How fast an endpoint works.

    :param read_per_second: prompt tokens read in a second.
    :param ended_per_second: requests that a full endpoint ends in a second;
        0 where it isn't known.
    """

    read_per_second: float
    ended_per_second: float


class Wish(typing.NamedTuple):
    """A request that looks for a place.

    :param waiting: requests that would wait at the best endpoint, this one
        included.
    :param slots: requests that it runs at once.
    :param aim: seconds in which the answer is of full value.
    :param passed: seconds that have passed already.
    """

    waiting: float
    slots: int
    prompt_tokens: int
    aim: float
    passed: float


def pace(
    read_per_second: float,
    usual_prompt: float,
    usual_answer: float,
    step_seconds: float,
    slots: int,
) -> Pace:
    """Work out an engine's pace from what the operator says of it.

    A full engine spends on a request the time to read its prompt, in which
    nothing else is written, and its share of the steps for its answer.
    """
    if not read_per_second or not slots:
        return Pace(0, 0)
    seconds = usual_prompt / read_per_second
    seconds += usual_answer * step_seconds / slots
    return Pace(read_per_second, 1 / seconds if seconds else 0)


def fits(wish: Wish, endpoint: Pace) -> bool:
    """Tell whether a request may be sent to the best endpoint."""
    if not endpoint.ended_per_second:
        return wish.waiting <= wish.slots * _UNKNOWN_PART
    seconds = BASE_SECONDS + wish.waiting / endpoint.ended_per_second
    seconds += wish.prompt_tokens / endpoint.read_per_second
    return wish.waiting <= 1 or seconds + wish.passed <= wish.aim * _SENT_PART


def come_back(waiting: float, endpoint: Pace) -> float:
    """Return the seconds after which a refused caller may find room."""
    if not endpoint.ended_per_second:
        return _SHORTEST_RETURN
    seconds = waiting / endpoint.ended_per_second
    return min(max(seconds, _SHORTEST_RETURN), LONGEST_RETURN)
