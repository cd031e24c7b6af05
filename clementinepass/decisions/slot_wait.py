"""Decide whether a request waits for a free slot, and for how long.

It answers a load near or above the capacity of the engines; see
:mod:`clementinepass.decisions.slot_queue`.
"""

from __future__ import annotations

import typing

from clementinepass.decisions import first_event

#: Slots of an engine that must be free by the newest report for a request to be
#: sent without asking for one. Other entries send to the same engine meanwhile.
_ROOM_SLOTS = 3
#: Seconds from a free slot to the first event of an engine that is nearly full,
#: apart from reading the prompt: it finishes the step in progress, reads the
#: prompts of other requests, and generates the tokens of the event.
_START_SECONDS = 0.2
#: Seconds for which a request waits that will be late. Callers that come back
#: have four seconds left, and get an answer in this time if there is any room.
_LATE_WAIT_SECONDS = 1.0


class Timing(typing.NamedTuple):
    """A request for which a slot is sought.

    :param prompt_tokens: tokens of its prompt.
    :param latency_target: seconds within which the answer has its full value.
    :param elapsed_seconds: seconds since its caller first sent it.
    :param patience_seconds: seconds for which it may wait if it will be late.
    :param is_returning: whether it was refused before.
    """

    prompt_tokens: int
    latency_target: float
    elapsed_seconds: float
    patience_seconds: float
    is_returning: bool


class Wait(typing.NamedTuple):
    """How a request waits for a slot.

    :param timely_seconds: for which an answer in time is possible.
    :param seconds: for which it waits.
    """

    timely_seconds: float
    seconds: float


def usable_slots(slots: int, pace: float) -> int:
    """Return the number of requests that an engine should run at once.

    A slow engine that runs as many requests as others is so late with all of
    them that hardly any first event is in time.

    :param pace: factor by which the engine is slower than usual.
    """
    return max(int(slots / max(pace, 1)), 1)


def has_room(load: float, slots: int, pace: float) -> bool:
    """Tell whether a request may be sent to an engine without asking.

    :param load: requests there by the newest report, and those sent since.
    """
    return load + _ROOM_SLOTS <= usable_slots(slots, pace)


def starts_in_time(
    timing: Timing, pace: float, rate: first_event.ServiceRate
) -> bool:
    """Tell whether a free engine would answer a request in time.

    :param pace: factor by which the engine is slower than usual.
    """
    if not rate.prompt_tokens_per_second:
        return True
    seconds = first_event.BASE_LATENCY_SECONDS
    seconds += timing.prompt_tokens / rate.prompt_tokens_per_second
    return seconds * pace + timing.elapsed_seconds <= timing.latency_target


def wait_for(timing: Timing, rate: first_event.ServiceRate) -> Wait:
    """Return for how long a request waits for a slot.

    One that can no longer be answered in time goes behind the others. It waits
    for a second more, as a late answer is better than none, and is then refused
    while its caller still has time to come back.
    """
    seconds = timing.latency_target - timing.elapsed_seconds - _START_SECONDS
    if rate.prompt_tokens_per_second:
        seconds -= timing.prompt_tokens / rate.prompt_tokens_per_second
    timely_seconds = 0 if timing.is_returning else max(seconds, 0)
    waited_seconds = min(
        timely_seconds + _LATE_WAIT_SECONDS, timing.patience_seconds
    )
    return Wait(timely_seconds, max(waited_seconds, 0))
