"""Spread a new version in stripes: each piece is read from the origin once.

Load: all agents want all pieces of a version that nobody has yet, and the
origin may be gone at any moment.  Harm: where two agents read all of it from
both ends, each piece is out only when either link has carried half of them,
and a second copy is paid for; once the origin is gone nobody can have the
version, however many have most of it.

So the pieces are dealt into stripes, as many as there are links that the
origin's link can fill.  Each stripe enters each region at one agent, its head
there, which gets it before anything else.  The origin has sent all of a version
after the time that its own link needs: 1.9 s in place of 2.8 s for 2.1 MB at
9.9 Mbit/s into links of 3.8 Mbit/s.

Within a region agents stand in a ring.  Each gets from the one before it
whatever it isn't the head of, beginning with the stripe of the nearest head
before it.  Heads stand evenly apart, and the agent just before the next head
hands a stripe on to the next region: it sends to nobody else while that
stripe comes.  So each link carries about one copy each way, and a border is
crossed once by each piece.

All agents work this out by themselves; where their views differ a piece
doesn't come as it is meant to, and is asked for elsewhere after a while.
"""

from __future__ import annotations

import math
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Container, Sequence

#: Stripes at least: with one the origin's link would wait for a single agent's.
MIN_STRIPES = 2
#: The part of an agent's link from which on it counts as filled.
_FILLED_FRACTION = 0.8
#: Stripes at most. Each is another source that an agent may get pieces from.
MAX_STRIPES = 8


class Agent(typing.NamedTuple):
    """An agent, by the region and the IP number that it has."""

    region: str
    ip: str


class Fleet(typing.NamedTuple):
    """All agents of a service.

    :param home: the region in which the origin stands.
    :param stripes: how many agents' links the origin's can fill.
    :param avoided: IP numbers of agents that bring nothing.
    """

    agents: Sequence[Agent]
    origin_region: str
    stripe_count: int
    excluded_ips: Container[str] = frozenset()


class Source(typing.NamedTuple):
    """Where an agent gets one stripe.

    :param ip: an agent's IP number; ``None`` for the origin.
    :param enters: whether the stripe enters the region here.
    """

    stripe: int
    ip: str | None
    enters_region: bool


class Layout(typing.NamedTuple):
    """From whom an agent gets each stripe, in the order in which to ask.

    :param stripes: how many there are.
    :param place: how many agents come before it, region by region, for each
        stripe.
    """

    sources: tuple[Source, ...]
    stripe_count: int
    position: int


def count_stripes(origin_mbps: float, link_mbps: float) -> int:
    """Return how many agents' links the origin's link can fill.

    :param origin_mbps: megabits a second; 0 where it isn't told.
    :param link_mbps: the same of an agent's link.
    """
    if not origin_mbps or not link_mbps:
        return MIN_STRIPES
    filled_links = -int(-origin_mbps // link_mbps)
    return min(max(filled_links, MIN_STRIPES), MAX_STRIPES)


def leaves_spare_bandwidth(origin_link_ratio: float, stripe_count: int) -> bool:
    """Tell whether a stripe from the origin leaves room on an agent's link.

    :param origin_part: the origin's link, as a multiple of an agent's; 0 where
        it isn't told.
    """
    return 0 < origin_link_ratio / stripe_count < _FILLED_FRACTION


def compute_layout(local_agent: Agent, fleet: Fleet) -> Layout:
    """Return from whom an agent gets each stripe."""
    fleet = _limit_stripes(fleet)
    rings = _build_rings(fleet)
    ring = next(
        region_ring
        for region_ring in rings
        if region_ring.region == local_agent.region
    )
    position = ring.position(local_agent)
    sources = [
        _find_source(stripe, position, ring, rings)
        for stripe in range(fleet.stripe_count)
    ]
    sources.sort(key=lambda source: ring.distance(source.stripe, position))
    preceding_agents = sum(
        len(region_ring.agents) for region_ring in rings[: rings.index(ring)]
    )
    depth = math.ceil((preceding_agents + position) / fleet.stripe_count)
    return Layout(tuple(sources), fleet.stripe_count, depth)


def _limit_stripes(fleet: Fleet) -> Fleet:
    """Return the same with no more stripes than the origin's region heads.

    Two at least: the second then begins in the next region.  With three for
    two agents at home the last of five had all pieces after twice its link's
    time.
    """
    origin_agents = sum(
        agent.region == fleet.origin_region for agent in set(fleet.agents)
    )
    max_stripes = max(origin_agents, MIN_STRIPES)
    return fleet._replace(stripe_count=min(fleet.stripe_count, max_stripes))


class _Ring:
    """The agents of one region."""

    __slots__ = ('_excluded_ips', '_stripe_count', 'agents', 'region')

    def __init__(
        self,
        region: str,
        agents: Sequence[Agent],
        fleet: Fleet,
    ) -> None:
        self.region = region
        self.agents = agents
        self._stripe_count = fleet.stripe_count
        self._excluded_ips = fleet.excluded_ips

    def position(self, agent: Agent) -> int:
        """Return where in the ring an agent stands."""
        return self.agents.index(agent)

    def head(self, stripe: int) -> int | None:
        """Return the place of the agent at which a stripe enters.

        Where that one brings nothing, of the next one after it.
        """
        return self._first_usable(self._planned_head(stripe), 1)

    def feeder(self, stripe: int) -> int | None:
        """Return the place of the agent that hands a stripe on."""
        head = self._planned_head(stripe)
        next_head = (stripe + 1) * len(self.agents) // self._stripe_count
        for position in reversed(range(head, next_head)):
            if self.agents[position].ip not in self._excluded_ips:
                return position
        return self.head(stripe)

    def predecessor(self, position: int) -> int | None:
        """Return the place of whoever sends to an agent in the ring."""
        return self._first_usable(position - 1, -1)

    def distance(self, stripe: int, position: int) -> int:
        """Return how many agents pass a stripe on before it comes to one."""
        head = self.head(stripe)
        if head is None:
            return 0
        return (position - head) % len(self.agents)

    def _planned_head(self, stripe: int) -> int:
        if len(self.agents) < self._stripe_count:
            return stripe % len(self.agents)
        return stripe * len(self.agents) // self._stripe_count

    def _first_usable(self, start: int, step: int) -> int | None:
        """Return the first place from one on whose agent isn't avoided."""
        count = len(self.agents)
        for offset in range(count):
            position = (start + offset * step) % count
            if self.agents[position].ip not in self._excluded_ips:
                return position
        return None


def _build_rings(fleet: Fleet) -> list[_Ring]:
    """Return the agents by region: the origin's first, then large ones."""
    by_region: dict[str, list[Agent]] = {}
    for agent in sorted(set(fleet.agents)):
        by_region.setdefault(agent.region, []).append(agent)
    rings = [
        _Ring(region, region_agents, fleet)
        for region, region_agents in by_region.items()
    ]
    return sorted(
        rings,
        key=lambda ring: (
            ring.region != fleet.origin_region,
            -len(ring.agents),
            ring.region,
        ),
    )


def _find_source(
    stripe: int,
    position: int,
    ring: _Ring,
    rings: list[_Ring],
) -> Source:
    """Return where the agent at a place of a ring gets a stripe."""
    if ring.head(stripe) != position:
        predecessor = ring.predecessor(position)
        if predecessor is not None and predecessor != position:
            return Source(
                stripe, ring.agents[predecessor].ip, enters_region=False
            )
    return Source(
        stripe, _preceding_feeder(stripe, ring, rings), enters_region=True
    )


def _preceding_feeder(
    stripe: int,
    ring: _Ring,
    rings: list[_Ring],
) -> str | None:
    """Return who hands a stripe on to a region; ``None`` for the origin."""
    origin_ring = rings[_origin_ring_index(stripe, rings)]
    start = rings.index(origin_ring)
    ordered = rings[start:] + rings[:start]
    for preceding in reversed(ordered[: ordered.index(ring)]):
        feeder = preceding.feeder(stripe)
        if feeder is not None:
            return preceding.agents[feeder].ip
    return None


def _origin_ring_index(stripe: int, rings: list[_Ring]) -> int:
    """Return the number of the ring that gets a stripe from the origin.

    The origin's region; where that has fewer agents than there are stripes,
    the others go to the next regions, so that they too are out at once.
    """
    agent_count = 0
    for index, ring in enumerate(rings):
        agent_count += len(ring.agents)
        if stripe < agent_count:
            return index
    return 0
