"""Choose the sources from which an agent fetches the pieces of a version.

All agents want all pieces of a new version at once. A link needs five and a
half seconds for one copy, of the eight seconds until older versions may not be
used any more, and carries the engine's prompts and events as well. An agent
that fetches pieces from several others at once delays its engine's prompts
behind them, by a third of a second with six pieces on their way. An agent that
sends to several others finishes after several times as long, and the origin
after many times as long.

While no engine has the version, its pieces are spread in stripes
(:mod:`clementinepass.decisions.piece_stripes`). Engines that have it already
each head a chain, in which an agent fetches pieces from the one before it and
sends them to the one after it.

All agents compute this independently. Where their views differ, a piece does
not arrive as planned and is requested from another source after a while.
"""

from __future__ import annotations

import typing
import zlib

from clementinepass.decisions import piece_stripes

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

#: Stands for the origin among the sources.
ORIGIN = ''
#: Agents with the complete version that one agent asks at once.
_HOLDERS_PER_AGENT = 2


class Agent(typing.NamedTuple):
    """An agent of the service.

    :param has_version: whether it has the complete version already.
    """

    region: str
    domain: str
    ip: str
    has_version: bool = False


class PlanInput(typing.NamedTuple):
    """The agent that fetches a version, and the agents that it may fetch from.

    :param local_agent: the agent that fetches.
    :param peers: all other agents of the service.
    :param origin_region: the region of the origin.
    :param stripe_count: number of agents' links that the origin's link can
        fill.
    :param excluded_ips: IP numbers of peers that deliver nothing.
    :param origin_link_ratio: bandwidth of the origin's link divided by that of
        an agent's link; 0 if unknown.
    """

    local_agent: Agent
    peers: Sequence[Agent]
    origin_region: str
    stripe_count: int = piece_stripes.MIN_STRIPES
    excluded_ips: frozenset[str] = frozenset()
    origin_link_ratio: float = 0

    @property
    def usable_peers(self) -> list[Agent]:
        """Return the peers that are not excluded."""
        return [peer for peer in self.peers if peer.ip not in self.excluded_ips]


class PieceGroup(typing.NamedTuple):
    """Pieces of a version that are fetched from the same sources.

    A piece belongs to the group if its number modulo ``stripe_count`` is one of
    ``remainders``.

    :param sources: IP numbers of agents, and the origin.
    :param enters_region: whether no other agent of the region is to have the
        pieces before the fetching agent.
    """

    sources: tuple[str, ...]
    remainders: frozenset[int] = frozenset((0,))
    stripe_count: int = 1
    enters_region: bool = False

    def contains(self, number: int) -> bool:
        """Return whether a piece belongs to the group."""
        return number % self.stripe_count in self.remainders


class FetchPlan(typing.NamedTuple):
    """The sources of all pieces, in the order in which to ask them.

    :param position: approximate number of agents that pieces pass before the
        fetching agent.
    :param fallback_ips: IP numbers of agents of which the first that answers is
        asked, too, while the sources deliver nothing. Empty unless the agent is
        the first one of a chain or the head of a stripe.
    :param all_peer_ips: IP numbers of all other agents, those of the same
        region first.
    :param has_spare_bandwidth: whether the pieces from the origin leave
        bandwidth on the agent's link.
    """

    groups: tuple[PieceGroup, ...]
    position: int = 0
    fallback_ips: tuple[str, ...] = ()
    all_peer_ips: tuple[str, ...] = ()
    has_spare_bandwidth: bool = False

    @property
    def sources(self) -> tuple[str, ...]:
        """Return all sources, each of them once."""
        repeated = [source for group in self.groups for source in group.sources]
        return tuple(dict.fromkeys(repeated))

    @property
    def is_striped(self) -> bool:
        """Return whether different pieces come from different sources."""
        return any(group.stripe_count > 1 for group in self.groups)

    def in_fetch_order(self, numbers: Sequence[int]) -> list[int]:
        """Return piece numbers in the order in which to fetch the pieces."""
        return [
            number
            for group in self.groups
            for number in numbers
            if group.contains(number)
        ]


def plan_fetch(context: PlanInput) -> FetchPlan:
    """Return the sources from which the local agent fetches its pieces."""
    plan = _plan_sources(context)
    return plan._replace(all_peer_ips=tuple(all_peer_ips(context)))


def _plan_sources(context: PlanInput) -> FetchPlan:
    usable_peers = context.usable_peers
    region_peers = [
        peer
        for peer in usable_peers
        if peer.region == context.local_agent.region
    ]
    holders = _rotated_holders(context.local_agent, region_peers)
    if holders:
        return _chain_plan(context.local_agent, region_peers, holders, holders)
    holders = _rotated_holders(context.local_agent, usable_peers)
    if holders:
        return _chain_plan(
            context.local_agent, region_peers, holders[:1], holders
        )
    return _striped_plan(context)


def all_peer_ips(context: PlanInput) -> list[str]:
    """Return the IP numbers of all peers, those of the same region first."""
    region_peers = [
        peer.ip
        for peer in context.peers
        if peer.region == context.local_agent.region
    ]
    other_peers = [
        peer.ip for peer in context.peers if peer.ip not in region_peers
    ]
    return region_peers + other_peers


def _rotated_holders(local_agent: Agent, peers: Sequence[Agent]) -> list[str]:
    """Return the IP numbers of the agents that have the version.

    The agent at which the order starts depends on the local agent's region.
    """
    holders = sorted(peer.ip for peer in peers if peer.has_version)
    return _rotated(holders, zlib.crc32(local_agent.region.encode()))


def _chain_plan(
    local_agent: Agent,
    region_peers: Sequence[Agent],
    holders: list[str],
    fallback_candidates: list[str],
) -> FetchPlan:
    """Return the plan of an agent in the chains that are headed by holders.

    There is one chain for each holder. The first agent after a holder asks two
    holders, since such agents do not know of one another at once: when two of
    them chose the same single holder, each finished after ten seconds. Not all
    agents can ask holders: two holders took 17 seconds to serve eight agents.

    :param region_peers: usable agents of the same region.
    :param holders: IP numbers of the agents that head the chains.
    :param fallback_candidates: IP numbers of holders to choose fallbacks from.
    """
    fetchers = sorted(
        {local_agent, *(peer for peer in region_peers if not peer.has_version)}
    )
    position = fetchers.index(local_agent)
    if position >= len(holders):
        predecessor = fetchers[position - len(holders)]
        return FetchPlan(
            (PieceGroup((predecessor.ip,)),), position=position // len(holders)
        )
    sources = _holders_for(local_agent, holders)
    fallbacks = tuple(ip for ip in fallback_candidates if ip not in sources)
    return FetchPlan((PieceGroup(sources),), fallback_ips=fallbacks)


def _holders_for(local_agent: Agent, holders: list[str]) -> tuple[str, ...]:
    """Return the holders that an agent asks, chosen by its address alone.

    Agents of engines that were added at once did not know of one another for
    two seconds. When the choice did not depend on their addresses, all agents
    of a region asked the same two holders and had an eighth of the version by
    then.

    Instances that are added together mostly have consecutive addresses, and so
    ask consecutive holders.
    """
    start = _HOLDERS_PER_AGENT * int.from_bytes(local_agent.ip.encode())
    return tuple(_rotated(holders, start)[:_HOLDERS_PER_AGENT])


def _striped_plan(context: PlanInput) -> FetchPlan:
    local_agent = context.local_agent
    layout = piece_stripes.compute_layout(
        piece_stripes.Agent(local_agent.region, local_agent.ip),
        piece_stripes.Fleet(
            [
                piece_stripes.Agent(peer.region, peer.ip)
                for peer in (local_agent, *context.peers)
            ],
            context.origin_region,
            context.stripe_count,
            context.excluded_ips,
        ),
    )
    groups = _piece_groups(layout)
    # An agent that is not a head waits for the agents before it. When all
    # waiting agents looked for other sources, they converged on the same few.
    is_head = any(group.enters_region for group in groups)
    fallback_ips = _fallback_ips(context) if is_head else ()
    return FetchPlan(
        groups,
        layout.position,
        fallback_ips,
        has_spare_bandwidth=piece_stripes.leaves_spare_bandwidth(
            context.origin_link_ratio,
            layout.stripe_count,
        ),
    )


def _piece_groups(layout: piece_stripes.Layout) -> tuple[PieceGroup, ...]:
    """Return one group per source of entering pieces and per relayed stripe.

    Relayed stripes are fetched one after another.
    """
    stripe_count = layout.stripe_count
    remainders_by_ip: dict[str, frozenset[int]] = {}
    relayed: list[PieceGroup] = []
    for source in layout.sources:
        ip = ORIGIN if source.ip is None else source.ip
        remainders = frozenset((source.stripe,))
        if source.enters_region:
            remainders_by_ip[ip] = (
                remainders_by_ip.get(ip, frozenset()) | remainders
            )
        else:
            relayed.append(PieceGroup((ip,), remainders, stripe_count))
    return (
        *(
            PieceGroup((ip,), entering, stripe_count, True)
            for ip, entering in remainders_by_ip.items()
        ),
        *relayed,
    )


def _fallback_ips(context: PlanInput) -> tuple[str, ...]:
    """Return the usable peers of the region, rotated by the agent's address."""
    region_peers = sorted(
        peer.ip
        for peer in context.usable_peers
        if peer.region == context.local_agent.region
    )
    return tuple(
        _rotated(region_peers, zlib.crc32(context.local_agent.ip.encode()))
    )


def _rotated(ips: list[str], offset: int) -> list[str]:
    """Return addresses in their order, starting at an offset."""
    start = offset % max(len(ips), 1)
    return ips[start:] + ips[:start]
