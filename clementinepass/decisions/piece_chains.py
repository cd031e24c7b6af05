"""Choose from whom an agent gets the pieces of a version.

Load: all agents want all pieces of a new version at once, over links that
carry one copy in five and a half of the eight seconds that there are, and that
carry the engines' prompts and events besides.  Harm: an agent that gets pieces
from several others at once holds up its engine's prompts behind them, by a
third of a second with six on their way; one that sends to several is done
after several times as long, and the origin after many.

While no engine has the version its pieces are spread in stripes
(:mod:`clementinepass.decisions.piece_stripes`).  Where engines have it already,
they head chains, one each, in which each agent gets pieces from the one before
it and sends to the one after it.
All agents work this out by themselves; where their views differ a piece
doesn't come as it is meant to, and is asked for elsewhere after a while.
"""

from __future__ import annotations

import typing
import zlib

from clementinepass.decisions import piece_stripes

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

#: Stands for the origin among sources.
ORIGIN = ''
#: Agents asked at once that have the whole version.
_HOLDERS_PER_AGENT = 2


class Agent(typing.NamedTuple):
    """An agent of the service.

    :param holds: whether it has the whole version already.
    """

    region: str
    domain: str
    ip: str
    has_version: bool = False


class FetchContext(typing.NamedTuple):
    """Who asks, and who else there is.

    :param origin_region: the region in which the origin stands.
    :param stripes: how many agents' links the origin's link can fill.
    :param avoided: IP numbers of peers that bring nothing.
    :param origin_part: the origin's link, as a multiple of an agent's.
    """

    local_agent: Agent
    peers: Sequence[Agent]
    origin_region: str
    stripe_count: int = piece_stripes.MIN_STRIPES
    excluded_ips: frozenset[str] = frozenset()
    origin_link_ratio: float = 0

    @property
    def usable_peers(self) -> list[Agent]:
        """Return the peers that bring something."""
        return [peer for peer in self.peers if peer.ip not in self.excluded_ips]


class PieceGroup(typing.NamedTuple):
    """Some pieces of a version, and whom to ask for them.

    :param rests: the pieces whose numbers leave one of these rests,
    :param stripes: when they are divided by this.
    :param enters: whether nobody else in the region is to have them before.
    """

    sources: tuple[str, ...]
    remainders: frozenset[int] = frozenset((0,))
    stripe_count: int = 1
    enters_region: bool = False

    def contains(self, number: int) -> bool:
        """Tell whether a piece is one of these."""
        return number % self.stripe_count in self.remainders


class FetchPlan(typing.NamedTuple):
    """From whom to get pieces, in the order in which to ask.

    :param place: how many agents come before the asking one, about.
    :param partners: whom to ask besides, the first that answers, while the
        sources bring nothing: only for agents at which pieces enter a region.
    :param anyone: all other agents, those of the own region first.
    :param has_room: whether what comes from the origin leaves room on the link.
    """

    groups: tuple[PieceGroup, ...]
    position: int = 0
    fallback_ips: tuple[str, ...] = ()
    all_peer_ips: tuple[str, ...] = ()
    has_spare_bandwidth: bool = False

    @property
    def sources(self) -> tuple[str, ...]:
        """Return all that are asked, each once."""
        repeated = [source for group in self.groups for source in group.sources]
        return tuple(dict.fromkeys(repeated))

    @property
    def is_striped(self) -> bool:
        """Tell whether different pieces come from different sources."""
        return any(group.stripe_count > 1 for group in self.groups)

    def in_fetch_order(self, numbers: Sequence[int]) -> list[int]:
        """Return pieces in the order in which they are to come."""
        return [
            number
            for group in self.groups
            for number in numbers
            if group.contains(number)
        ]


def plan_fetch(context: FetchContext) -> FetchPlan:
    """Return from whom the asking agent gets its pieces."""
    plan = _plan_sources(context)
    return plan._replace(all_peer_ips=tuple(all_peer_ips(context)))


def _plan_sources(context: FetchContext) -> FetchPlan:
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


def all_peer_ips(context: FetchContext) -> list[str]:
    """Return all other agents, those of the own region first."""
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
    """Return agents that have the version; each region begins with another."""
    holders = sorted(peer.ip for peer in peers if peer.has_version)
    return _rotated(holders, zlib.crc32(local_agent.region.encode()))


def _chain_plan(
    local_agent: Agent,
    region_peers: Sequence[Agent],
    holders: list[str],
    fallback_candidates: list[str],
) -> FetchPlan:
    """Return a place in a chain that a holder heads, one for each holder.

    Heads ask two holders, since askers don't know of one another at once:
    where two chose the same single one, each was done after ten seconds.  And
    all askers can't ask holders: two of those served eight for 17 seconds.
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
    """Return the holders that an agent asks, by its own address alone.

    Failure: engines were added at once, and their agents didn't know of one
    another for two seconds. All of a region turned to the same two holders,
    and had an eighth of the version by then.

    Machines that are added together have addresses in a row, mostly, and so
    holders in a row.
    """
    start = _HOLDERS_PER_AGENT * int.from_bytes(local_agent.ip.encode())
    return tuple(_rotated(holders, start)[:_HOLDERS_PER_AGENT])


def _striped_plan(context: FetchContext) -> FetchPlan:
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
    # Whoever isn't a head waits for those before it. Where all looked
    # elsewhere, they met at the same few.
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
    """Return one lane for all that enters from a source, others apart.

    Others come in an order, stripe after stripe.
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


def _fallback_ips(context: FetchContext) -> tuple[str, ...]:
    """Return the others of the region; each agent begins with another."""
    region_peers = sorted(
        peer.ip
        for peer in context.usable_peers
        if peer.region == context.local_agent.region
    )
    return tuple(
        _rotated(region_peers, zlib.crc32(context.local_agent.ip.encode()))
    )


def _rotated(ips: list[str], offset: int) -> list[str]:
    """Return addresses in their order, beginning with another."""
    start = offset % max(len(ips), 1)
    return ips[start:] + ips[:start]
