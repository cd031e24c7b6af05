"""Choose the endpoint to which an entry sends a request directly.

Entries choose by one another's request counts, which are some hundred
milliseconds old, among engines that run a fixed number of requests at once. A
request beyond that number waits, and each waiting request costs as much time as
an answer takes, divided by the number of slots.
"""

from __future__ import annotations

import math
import typing

if typing.TYPE_CHECKING:
    import random
    from collections.abc import Sequence

#: Running requests by which an endpoint in the entry's failure domain may
#: exceed another one and still be preferred. Traffic between domains has a
#: price, but more than two requests cost the caller more, as each step of the
#: engine gets slower.
_OTHER_DOMAIN_PENALTY = 1.5
#: Running requests by which an endpoint with the newest weights may exceed
#: another one and still be preferred. An endpoint with older weights cuts off
#: its running requests when its turn to load comes, and a stream that is cut
#: off twice cannot be resumed.
_OLD_VERSION_PENALTY = 5.0
#: Running requests by which an endpoint whose link is not congested may exceed
#: one whose link is, and still be preferred. On a link that is narrowed to a
#: tenth a prompt waits for a second behind pieces of weights and reaches the
#: engine after its caller has left, and events are late, too. Any other
#: endpoint is better unless it has a long queue.
_CONGESTION_PENALTY = 12.0
#: Engines sampled from the entry's failure domain and from the other ones. The
#: reported loads are some hundred milliseconds old and the same at all entries:
#: if every entry compared all engines, each would choose the one that was
#: emptiest. Choosing between two spreads the requests.
_SAME_DOMAIN_SAMPLE = 2
_OTHER_DOMAIN_SAMPLE = 1
#: Uncertainty of the counts of other entries, in requests. Without this jitter
#: all entries send to the endpoint that was emptiest in the last message, which
#: is the same for all of them.
_LOAD_JITTER = 1.0


class Candidate(typing.NamedTuple):
    """An endpoint that could take the request.

    :param load: requests there, of this entry and of other entries.
    :param slots: requests that it runs at once.
    :param is_same_domain: whether it is in the entry's failure domain.
    :param has_old_version: whether other endpoints have a newer version of the
        weights, which this one will load soon.
    :param is_congested: whether the link of its instance is congested.
    :param unstarted: requests there that have not had an event yet.
    :param usable_seconds: time for which requests may still start there.
    :param pace: factor by which it is slower than usual.
    """

    endpoint_id: str
    load: float
    slots: int
    is_same_domain: bool
    has_old_version: bool = False
    is_congested: bool = False
    unstarted: float = 0
    usable_seconds: float = math.inf
    pace: float = 1

    @property
    def queue_depth(self) -> float:
        """Return how many requests would wait there, this one included."""
        return max(self.load + 1 - self.slots, 0)


_Engine = typing.TypeVar('_Engine')


def sample(
    same_domain: Sequence[_Engine],
    other_domains: Sequence[_Engine],
    rng: random.Random,
) -> list[_Engine]:
    """Return a sample of the engines whose load is known.

    :param same_domain: engines in the entry's failure domain.
    :param other_domains: all other engines.
    """
    drawn = rng.sample(same_domain, min(_SAME_DOMAIN_SAMPLE, len(same_domain)))
    missing = _SAME_DOMAIN_SAMPLE + _OTHER_DOMAIN_SAMPLE - len(drawn)
    return drawn + rng.sample(other_domains, min(missing, len(other_domains)))


class Choice(typing.NamedTuple):
    """The chosen endpoint.

    :param queue_depth: requests that would wait there, this one included.
    :param slots: requests that it runs at once.
    :param load: requests there.
    :param pace: factor by which it is slower than usual.
    """

    endpoint_id: str
    queue_depth: float
    slots: int
    load: float = 0
    pace: float = 1


def choose(
    candidates: Sequence[Candidate], rng: random.Random
) -> Choice | None:
    """Return the endpoint with the lowest cost, ``None`` without candidates.

    The cost is the expected wait, with penalties for another failure domain, an
    old version of the weights and a congested link.
    """
    if not candidates:
        return None
    best = min(candidates, key=lambda candidate: _cost(candidate, rng))
    return Choice(
        best.endpoint_id, best.queue_depth, best.slots, best.load, best.pace
    )


def _cost(candidate: Candidate, rng: random.Random) -> float:
    penalty = 0 if candidate.is_same_domain else _OTHER_DOMAIN_PENALTY
    if candidate.has_old_version:
        penalty += _OLD_VERSION_PENALTY
    if candidate.is_congested:
        penalty += _CONGESTION_PENALTY
    estimated_load = candidate.load + penalty + rng.random() * _LOAD_JITTER
    queue_depth = max(estimated_load + 1 - candidate.slots, 0)
    # A free slot is worth more than being in the same failure domain. A slow
    # endpoint has fewer of them, and each waiting request takes longer there.
    return (estimated_load / candidate.slots + queue_depth) * candidate.pace
