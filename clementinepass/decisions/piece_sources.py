"""Choose where an agent gets a piece of a version's weights from.

Load: all agents want all pieces of a new version at once, over links that
carry one copy in five of the eight seconds that there are.  Harm: the origin
sends a copy to each, or one agent to all others, and the last is done after
many times that.  So each piece enters each region once, at an agent drawn by
the piece's number, and spreads from there; the draws of different pieces fall
on different agents, and all links carry about the same.

All agents work this out by themselves.  Where their views differ a piece
doesn't come as it is meant to, and is asked for elsewhere after a while.
"""

from __future__ import annotations

import typing
import zlib

if typing.TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

#: Stands for the origin among sources.
ORIGIN = ''


class Peer(typing.NamedTuple):
    """Another agent of the same service, or the asking one itself.

    :param holds: whether it has the whole version already.
    """

    ip: str
    region: str
    holds: bool


class Question(typing.NamedTuple):
    """Who asks for which piece.

    :param origin_region: the region in which the origin stands.
    """

    own: Peer
    peers: Sequence[Peer]
    origin_region: str
    number: int


def enters_here(question: Question) -> bool:
    """Tell whether the asking agent brings the piece into its region."""
    near = _near(question)
    if any(peer.holds for peer in near):
        return False
    return _drawn(near, question.number) == question.own


def sources(
    question: Question,
    *,
    anyone: bool,
    origin: bool,
) -> list[str]:
    """Return IP numbers to get the piece from, the best first.

    :param anyone: whether to list agents of other regions whoever brings the
        piece into this one; for when it doesn't come as it is meant to.
    :param origin: whether to list :data:`ORIGIN` in any case.
    """
    near = [peer for peer in _near(question) if peer != question.own]
    found = _ranked((peer for peer in near if peer.holds), question.number)
    found.extend(_ranked(near, question.number))
    if enters_here(question):
        found.extend(_from_afar(question))
    if anyone:
        far = (
            peer
            for peer in question.peers
            if peer.region != question.own.region
        )
        found.extend(_ranked(far, question.number))
    unique = list(dict.fromkeys(peer.ip for peer in found))
    if origin and ORIGIN not in unique:
        unique.append(ORIGIN)
    return unique


def _from_afar(question: Question) -> list[Peer]:
    """Return who brings the piece into the region.

    The regions form a chain that begins at the origin's, so that no agent
    sends a piece to more than one other region.
    """
    far = [
        peer for peer in question.peers if peer.region != question.own.region
    ]
    holders = _ranked((peer for peer in far if peer.holds), question.number)
    if holders:
        return holders
    chain = _chain(question)
    place = chain.index(question.own.region)
    if place == 0:
        return [Peer(ORIGIN, question.own.region, holds=True)]
    before = [peer for peer in far if peer.region == chain[place - 1]]
    return _ranked(before, question.number)


def _chain(question: Question) -> list[str]:
    """Return the regions in the order in which they get the piece."""
    regions = {peer.region for peer in question.peers}
    regions.add(question.own.region)
    ordered = sorted(regions)
    rest = [one for one in ordered if one != question.origin_region]
    turn = question.number % len(rest) if rest else 0
    turned = rest[turn:] + rest[:turn]
    if question.origin_region in regions:
        return [question.origin_region, *turned]
    return turned


def _near(question: Question) -> list[Peer]:
    near = [
        peer
        for peer in question.peers
        if peer.region == question.own.region and peer.ip != question.own.ip
    ]
    return [*near, question.own]


def _drawn(peers: Iterable[Peer], number: int) -> Peer:
    return _ranked(peers, number)[0]


def _ranked(peers: Iterable[Peer], number: int) -> list[Peer]:
    """Return peers in an order of the piece's own, the same everywhere.

    Taking turns by number, not drawing: of few agents one would be drawn
    far more often than the others.
    """
    ordered = sorted(peers, key=_spread)
    if not ordered:
        return []
    turn = number % len(ordered)
    return ordered[turn:] + ordered[:turn]


def _spread(peer: Peer) -> tuple[int, str]:
    return zlib.crc32(peer.ip.encode()), peer.ip
