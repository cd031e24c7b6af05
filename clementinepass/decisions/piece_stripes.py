"""Spread a new version in stripes, each of which is read from the origin once.

All agents want all pieces of a version that no agent has yet, and the origin
may become unreachable at any moment. If two agents read the complete version
from it, starting at opposite ends, all pieces are out only when each of the two
links has carried half of them, and a second copy is paid for. Once the origin
is unreachable no agent can complete the version, however many have most of it.

So the pieces are dealt into stripes, as many as there are agents' links that
the origin's link can fill. Each stripe enters each region at one agent, its
head in the region, which fetches it before anything else. The origin has sent a
complete version after the time that its own link needs: 1.9 s instead of 2.8 s
for 2.1 MB at 9.9 Mbit/s into links of 3.8 Mbit/s.

The agents of a region form a ring. Each agent fetches the stripes that it is
not the head of from the agent before it, beginning with the stripe of the
nearest head before it. Heads are evenly spaced, and the agent just before the
next head forwards a stripe to the next region; it sends to no other agent while
that stripe arrives. So each link carries about one copy in each direction, and
each piece crosses a border between regions once.

All agents compute this independently. Where their views differ, a piece does
not arrive as planned and is requested from another source after a while.
"""

from __future__ import annotations

import math
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Container, Sequence

#: Smallest number of stripes: with a single one the origin's link would wait
#: for the link of a single agent.
MIN_STRIPES = 2
#: Fraction of the bandwidth of an agent's link from which on the link counts as
#: filled.
_FILLED_FRACTION = 0.8
#: Largest number of stripes. Each stripe is another source that an agent may
#: fetch pieces from.
MAX_STRIPES = 8


class Agent(typing.NamedTuple):
    """An agent, identified by its region and IP number."""

    region: str
    ip: str


class Fleet(typing.NamedTuple):
    """All agents of a service.

    :param origin_region: the region of the origin.
    :param stripe_count: number of agents' links that the origin's link can
        fill.
    :param excluded_ips: IP numbers of agents that deliver nothing.
    """

    agents: Sequence[Agent]
    origin_region: str
    stripe_count: int
    excluded_ips: Container[str] = frozenset()


class Source(typing.NamedTuple):
    """The source from which an agent fetches one stripe.

    :param ip: IP number of an agent; ``None`` for the origin.
    :param enters_region: whether the stripe enters the region at this agent.
    """

    stripe: int
    ip: str | None
    enters_region: bool


class Layout(typing.NamedTuple):
    """The sources of one agent's stripes, in the order in which to ask them.

    :param stripe_count: number of stripes.
    :param position: number of agents before this one, region by region, divided
        by the number of stripes and rounded up.
    """

    sources: tuple[Source, ...]
    stripe_count: int
    position: int


def count_stripes(origin_mbps: float, link_mbps: float) -> int:
    """Return how many agents' links the origin's link can fill.

    :param origin_mbps: bandwidth of the origin's link in Mbit/s; 0 if unknown.
    :param link_mbps: bandwidth of an agent's link in Mbit/s.
    """
    if not origin_mbps or not link_mbps:
        return MIN_STRIPES
    filled_links = -int(-origin_mbps // link_mbps)
    return min(max(filled_links, MIN_STRIPES), MAX_STRIPES)


def leaves_spare_bandwidth(origin_link_ratio: float, stripe_count: int) -> bool:
    """Return whether a stripe from the origin leaves an agent's link unfilled.

    :param origin_link_ratio: bandwidth of the origin's link divided by that of
        an agent's link; 0 if unknown.
    """
    return 0 < origin_link_ratio / stripe_count < _FILLED_FRACTION


def compute_layout(local_agent: Agent, fleet: Fleet) -> Layout:
    """Return the sources from which the local agent fetches each stripe."""
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
    """Return the fleet with no more stripes than its origin's region can head.

    There are at least two: the second one then enters in the next region. With
    three stripes for two agents in the origin's region, the last of five agents
    had all pieces after twice the time that its link needs.
    """
    origin_agents = sum(
        agent.region == fleet.origin_region for agent in set(fleet.agents)
    )
    max_stripes = max(origin_agents, MIN_STRIPES)
    return fleet._replace(stripe_count=min(fleet.stripe_count, max_stripes))


class _Ring:
    """The agents of one region, in the order in which they relay pieces."""

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
        """Return the position of an agent in the ring."""
        return self.agents.index(agent)

    def head(self, stripe: int) -> int | None:
        """Return the position of the agent at which a stripe enters.

        If that agent is excluded, this is the next usable one after it.
        """
        return self._first_usable(self._planned_head(stripe), 1)

    def forwarder(self, stripe: int) -> int | None:
        """Return the position of the agent that forwards a stripe.

        The agent sends the stripe to the next region. It is the last usable one
        before the planned head of the next stripe; if there is none, the head
        of the stripe.
        """
        head = self._planned_head(stripe)
        next_head = (stripe + 1) * len(self.agents) // self._stripe_count
        for position in reversed(range(head, next_head)):
            if self.agents[position].ip not in self._excluded_ips:
                return position
        return self.head(stripe)

    def predecessor(self, position: int) -> int | None:
        """Return the position of the agent that sends to a position."""
        return self._first_usable(position - 1, -1)

    def distance(self, stripe: int, position: int) -> int:
        """Return how many agents a stripe passes before a position."""
        head = self.head(stripe)
        if head is None:
            return 0
        return (position - head) % len(self.agents)

    def _planned_head(self, stripe: int) -> int:
        if len(self.agents) < self._stripe_count:
            return stripe % len(self.agents)
        return stripe * len(self.agents) // self._stripe_count

    def _first_usable(self, start: int, step: int) -> int | None:
        """Return the first position whose agent is not excluded."""
        count = len(self.agents)
        for offset in range(count):
            position = (start + offset * step) % count
            if self.agents[position].ip not in self._excluded_ips:
                return position
        return None


def _build_rings(fleet: Fleet) -> list[_Ring]:
    """Return the ring of each region: the origin's first, then by size."""
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
    """Return the source of a stripe for the agent at a position of a ring."""
    if ring.head(stripe) != position:
        predecessor = ring.predecessor(position)
        if predecessor is not None and predecessor != position:
            return Source(
                stripe, ring.agents[predecessor].ip, enters_region=False
            )
    return Source(
        stripe, _preceding_forwarder(stripe, ring, rings), enters_region=True
    )


def _preceding_forwarder(
    stripe: int,
    ring: _Ring,
    rings: list[_Ring],
) -> str | None:
    """Return the IP number of the agent that forwards a stripe to a ring.

    :returns: ``None`` if the ring fetches the stripe from the origin.
    """
    origin_ring = rings[_origin_ring_index(stripe, rings)]
    start = rings.index(origin_ring)
    ordered = rings[start:] + rings[:start]
    for preceding in reversed(ordered[: ordered.index(ring)]):
        forwarder = preceding.forwarder(stripe)
        if forwarder is not None:
            return preceding.agents[forwarder].ip
    return None


def _origin_ring_index(stripe: int, rings: list[_Ring]) -> int:
    """Return the index of the ring that fetches a stripe from the origin.

    This is the ring of the origin's region. If it has fewer agents than there
    are stripes, the other stripes go to the next regions, so that the origin
    sends them at once, too.
    """
    agent_count = 0
    for index, ring in enumerate(rings):
        agent_count += len(ring.agents)
        if stripe < agent_count:
            return index
    return 0
