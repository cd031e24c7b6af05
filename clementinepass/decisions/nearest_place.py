"""Choose the endpoint for a request that goes there directly.

Load: entries that place on one another's counts, which are some hundred
milliseconds old, onto engines that run a fixed number of requests at once.
A request more than that waits, and one waiting costs as much time as an
answer takes, divided by the slots.
"""

from __future__ import annotations

import math
import typing

if typing.TYPE_CHECKING:
    import random
    from collections.abc import Sequence

#: By how many running requests an endpoint of the own failure domain may be
#: ahead and still be preferred. Bytes between domains have a price; more than
#: two requests cost the caller more in the speed of each step.
_NEARNESS = 1.5
#: By how many running requests an endpoint with the newest weights may be
#: ahead and still be preferred. One with older weights cuts what runs when its
#: turn to load comes; a stream that is cut twice can't be resumed.
_NEWNESS = 5.0
#: The same for one whose link isn't slow. On a link narrowed to a tenth a
#: prompt waits a second behind pieces of weights, and reaches the engine after
#: its caller has left; its events come late, too. Short of nothing else being
#: there but a long queue, any other does better.
_UNCONGESTED = 12.0
#: Engines drawn of those in the own failure domain, and of the others. What is
#: known of their load is some hundred milliseconds old, and alike at all
#: entries: with a choice of all engines each entry takes the one that was
#: emptiest, and with a choice of two they spread.
_DRAWN_NEAR = 2
_DRAWN_FAR = 1
#: Requests by which the counts of other entries are uncertain. Without it all
#: entries send to the endpoint that was emptiest in the same last message.
_BLUR = 1.0


class Option(typing.NamedTuple):
    """An endpoint that could take the request.

    :param load: requests there, of this entry and the others.
    :param slots: requests that it runs at once.
    :param is_near: whether it is in the own failure domain.
    :param is_old: whether others have a newer version of the weights, which
        it will take up soon.
    :param is_congested: whether its machine's link is slow at present.
    :param unbegun: requests there of which no event has come yet.
    :param usable_for: seconds in which requests may still begin there.
    """

    endpoint_id: str
    load: float
    slots: int
    is_near: bool
    is_old: bool = False
    is_congested: bool = False
    unbegun: float = 0
    usable_for: float = math.inf

    @property
    def waiting(self) -> float:
        """Return how many would wait there, this request included."""
        return max(self.load + 1 - self.slots, 0)


_Candidate = typing.TypeVar('_Candidate')


def sample(
    near: Sequence[_Candidate],
    far: Sequence[_Candidate],
    rng: random.Random,
) -> list[_Candidate]:
    """Return the engines to choose from, of those whose load is known.

    :param near: those in the own failure domain.
    """
    drawn_near = rng.sample(near, min(_DRAWN_NEAR, len(near)))
    wanted = _DRAWN_NEAR + _DRAWN_FAR - len(drawn_near)
    return drawn_near + rng.sample(far, min(wanted, len(far)))


class Choice(typing.NamedTuple):
    """The endpoint chosen, and how many wait there for a slot."""

    endpoint_id: str
    waiting: float
    slots: int


def choose(options: Sequence[Option], rng: random.Random) -> Choice | None:
    """Return the endpoint where a request starts soonest."""
    if not options:
        return None
    best = min(options, key=lambda option: _cost(option, rng))
    return Choice(best.endpoint_id, best.waiting, best.slots)


def _cost(option: Option, rng: random.Random) -> float:
    handicap = 0 if option.is_near else _NEARNESS
    if option.is_old:
        handicap += _NEWNESS
    if option.is_congested:
        handicap += _UNCONGESTED
    blurred = option.load + handicap + rng.random() * _BLUR
    waiting = max(blurred + 1 - option.slots, 0)
    # A slot that is free is worth more than any nearness.
    return blurred / option.slots + waiting
