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
_OTHER_DOMAIN_PENALTY = 1.5
#: By how many running requests an endpoint with the newest weights may be
#: ahead and still be preferred. One with older weights cuts what runs when its
#: turn to load comes; a stream that is cut twice can't be resumed.
_OLD_VERSION_PENALTY = 5.0
#: The same for one whose link isn't slow. On a link narrowed to a tenth a
#: prompt waits a second behind pieces of weights, and reaches the engine after
#: its caller has left; its events come late, too. Short of nothing else being
#: there but a long queue, any other does better.
_CONGESTION_PENALTY = 12.0
#: Engines drawn of those in the own failure domain, and of the others. What is
#: known of their load is some hundred milliseconds old, and alike at all
#: entries: with a choice of all engines each entry takes the one that was
#: emptiest, and with a choice of two they spread.
_SAME_DOMAIN_SAMPLE = 2
_OTHER_DOMAIN_SAMPLE = 1
#: Requests by which the counts of other entries are uncertain. Without it all
#: entries send to the endpoint that was emptiest in the same last message.
_LOAD_JITTER = 1.0


class Candidate(typing.NamedTuple):
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
    is_same_domain: bool
    has_old_version: bool = False
    is_congested: bool = False
    unstarted: float = 0
    usable_seconds: float = math.inf

    @property
    def queue_depth(self) -> float:
        """Return how many would wait there, this request included."""
        return max(self.load + 1 - self.slots, 0)


_Engine = typing.TypeVar('_Engine')


def sample(
    same_domain: Sequence[_Engine],
    other_domains: Sequence[_Engine],
    rng: random.Random,
) -> list[_Engine]:
    """Return the engines to choose from, of those whose load is known.

    :param near: those in the own failure domain.
    """
    drawn = rng.sample(same_domain, min(_SAME_DOMAIN_SAMPLE, len(same_domain)))
    missing = _SAME_DOMAIN_SAMPLE + _OTHER_DOMAIN_SAMPLE - len(drawn)
    return drawn + rng.sample(other_domains, min(missing, len(other_domains)))


class Choice(typing.NamedTuple):
    """The endpoint chosen, and how many wait there for a slot."""

    endpoint_id: str
    queue_depth: float
    slots: int


def choose(
    candidates: Sequence[Candidate], rng: random.Random
) -> Choice | None:
    """Return the endpoint where a request starts soonest."""
    if not candidates:
        return None
    best = min(candidates, key=lambda candidate: _cost(candidate, rng))
    return Choice(best.endpoint_id, best.queue_depth, best.slots)


def _cost(candidate: Candidate, rng: random.Random) -> float:
    penalty = 0 if candidate.is_same_domain else _OTHER_DOMAIN_PENALTY
    if candidate.has_old_version:
        penalty += _OLD_VERSION_PENALTY
    if candidate.is_congested:
        penalty += _CONGESTION_PENALTY
    estimated_load = candidate.load + penalty + rng.random() * _LOAD_JITTER
    queue_depth = max(estimated_load + 1 - candidate.slots, 0)
    # A slot that is free is worth more than any nearness.
    return estimated_load / candidate.slots + queue_depth
