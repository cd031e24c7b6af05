"""Choose from whom an agent gets the pieces of a version.

Load: all agents want all pieces of a new version at once, over links that
carry one copy in five and a half of the eight seconds that there are, and that
carry the engines' prompts and events besides.  Harm: an agent that gets pieces
from several others at once holds up its engine's prompts behind them, by a
third of a second with six on their way; one that sends to several is done
after several times as long, and the origin after many.

So the agents form two chains.  Each gets pieces from the one before it and
sends to the one after it, so that every link carries one copy each way and a
piece at a time.  The heads get them from the origin, whose link feeds two, from
opposite ends: should the origin fail, the two chains have different pieces.
Chains begin and end where regions do, so that a region's border is crossed
once by each piece.

Where engines have the version already, they head the chains, one each.
All agents work this out by themselves; where their views differ a piece
doesn't come as it is meant to, and is asked for elsewhere after a while.
"""

from __future__ import annotations

import typing
import zlib

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

#: Stands for the origin among sources.
ORIGIN = ''
#: Agents asked at once that have the whole version.
_HOLDERS_ASKED = 2


class Peer(typing.NamedTuple):
    """An agent of the service.

    :param holds: whether it has the whole version already.
    """

    region: str
    domain: str
    ip: str
    holds: bool = False


class Question(typing.NamedTuple):
    """Who asks, and who else there is.

    :param origin_region: the region in which the origin stands.
    """

    own: Peer
    peers: Sequence[Peer]
    origin_region: str


class Plan(typing.NamedTuple):
    """From whom to get pieces, and from which end on.

    :param place: how many agents of the chain are before the asking one.
    :param partners: whom to ask besides, the first that answers, while the
        sources bring nothing: only for agents that bring pieces into their
        region, so that each border is crossed once.
    :param anyone: all other agents, those of the own region first.
    """

    sources: tuple[str, ...]
    ascending: bool
    place: int = 0
    partners: tuple[str, ...] = ()
    anyone: tuple[str, ...] = ()


def plan(question: Question) -> Plan:
    """Return from whom the asking agent gets its pieces."""
    chosen = _sources(question)
    return chosen._replace(anyone=tuple(anyone(question)))


def _sources(question: Question) -> Plan:
    near = [
        peer for peer in question.peers if peer.region == question.own.region
    ]
    holders = _turned(question.own, near)
    if holders:
        return _behind(question.own, near, holders, holders)
    holders = _turned(question.own, question.peers)
    if holders:
        return _behind(question.own, near, holders[:1], holders)
    return _chained(question)


def anyone(question: Question) -> list[str]:
    """Return all other agents, those of the own region first."""
    near = [
        peer.ip for peer in question.peers if peer.region == question.own.region
    ]
    far = [peer.ip for peer in question.peers if peer.ip not in near]
    return near + far


def _turned(own: Peer, peers: Sequence[Peer]) -> list[str]:
    """Return agents that have the version; each region begins with another."""
    holders = sorted(peer.ip for peer in peers if peer.holds)
    turn = zlib.crc32(own.region.encode()) % max(len(holders), 1)
    return holders[turn:] + holders[:turn]


def _behind(
    own: Peer,
    near: Sequence[Peer],
    holders: list[str],
    partners: list[str],
) -> Plan:
    """Return a place in a chain that a holder heads, one for each holder.

    Heads ask two holders, since askers don't know of one another at once:
    where two chose the same single one, each was done after ten seconds.  And
    all askers can't ask holders: two of those served eight for 17 seconds.
    """
    askers = sorted({own, *(peer for peer in near if not peer.holds)})
    place = askers.index(own)
    if place >= len(holders):
        before = askers[place - len(holders)]
        return Plan((before.ip,), ascending=True, place=place // len(holders))
    turned = holders[place:] + holders[:place]
    sources = tuple(turned[:_HOLDERS_ASKED])
    others = tuple(ip for ip in partners if ip not in sources)
    return Plan(sources, ascending=True, partners=others)


def _chained(question: Question) -> Plan:
    ordered = _in_order(question)
    split = _split(ordered)
    first, second = ordered[:split], ordered[split:]
    if question.own in first:
        return _place_in(first, second, question.own, ascending=True)
    return _place_in(second, first, question.own, ascending=False)


def _place_in(
    chain: Sequence[Peer],
    other: Sequence[Peer],
    own: Peer,
    *,
    ascending: bool,
) -> Plan:
    """Return an agent's place in its chain.

    The first of each region has partners in the other chain, which begins at
    the other end: when the origin fails, each chain has what the other lacks.
    """
    place = chain.index(own)
    before = chain[place - 1] if place else None
    source = ORIGIN if before is None else before.ip
    partners: tuple[str, ...] = ()
    if other and (before is None or before.region != own.region):
        turn = place % len(other)
        partners = tuple(peer.ip for peer in (*other[turn:], *other[:turn]))
    return Plan((source,), ascending, place, partners)


def _in_order(question: Question) -> list[Peer]:
    """Return all agents region by region, the origin's first."""
    agents = {question.own, *question.peers}
    home = [one for one in agents if one.region == question.origin_region]
    away = [one for one in agents if one.region != question.origin_region]
    return sorted(home) + sorted(away)


def _split(ordered: list[Peer]) -> int:
    """Return where the second chain begins: at the border nearest the middle.

    With one region, and no border, in the middle itself.
    """
    borders = [
        place
        for place in range(1, len(ordered))
        if ordered[place].region != ordered[place - 1].region
    ]
    middle = (len(ordered) + 1) // 2
    return min(borders, key=lambda place: abs(place - middle), default=middle)
