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
    :param stripes: how many agents' links the origin's link can fill.
    :param avoided: IP numbers of peers that bring nothing.
    :param origin_part: the origin's link, as a multiple of an agent's.
    """

    own: Peer
    peers: Sequence[Peer]
    origin_region: str
    stripes: int = piece_stripes.LEAST_STRIPES
    avoided: frozenset[str] = frozenset()
    origin_part: float = 0

    @property
    def sound(self) -> list[Peer]:
        """Return the peers that bring something."""
        return [peer for peer in self.peers if peer.ip not in self.avoided]


class Lane(typing.NamedTuple):
    """Some pieces of a version, and whom to ask for them.

    :param rests: the pieces whose numbers leave one of these rests,
    :param stripes: when they are divided by this.
    :param enters: whether nobody else in the region is to have them before.
    """

    sources: tuple[str, ...]
    rests: frozenset[int] = frozenset((0,))
    stripes: int = 1
    enters: bool = False

    def has(self, number: int) -> bool:
        """Tell whether a piece is one of these."""
        return number % self.stripes in self.rests


class Plan(typing.NamedTuple):
    """From whom to get pieces, in the order in which to ask.

    :param place: how many agents come before the asking one, about.
    :param partners: whom to ask besides, the first that answers, while the
        sources bring nothing: only for agents at which pieces enter a region.
    :param anyone: all other agents, those of the own region first.
    :param has_room: whether what comes from the origin leaves room on the link.
    """

    lanes: tuple[Lane, ...]
    place: int = 0
    partners: tuple[str, ...] = ()
    anyone: tuple[str, ...] = ()
    has_room: bool = False

    @property
    def sources(self) -> tuple[str, ...]:
        """Return all that are asked, each once."""
        every = [source for lane in self.lanes for source in lane.sources]
        return tuple(dict.fromkeys(every))

    @property
    def is_striped(self) -> bool:
        """Tell whether different pieces come from different sources."""
        return any(lane.stripes > 1 for lane in self.lanes)

    def in_order(self, numbers: Sequence[int]) -> list[int]:
        """Return pieces in the order in which they are to come."""
        return [
            number
            for lane in self.lanes
            for number in numbers
            if lane.has(number)
        ]


def plan(question: Question) -> Plan:
    """Return from whom the asking agent gets its pieces."""
    chosen = _sources(question)
    return chosen._replace(anyone=tuple(anyone(question)))


def _sources(question: Question) -> Plan:
    sound = question.sound
    near = [peer for peer in sound if peer.region == question.own.region]
    holders = _turned(question.own, near)
    if holders:
        return _behind(question.own, near, holders, holders)
    holders = _turned(question.own, sound)
    if holders:
        return _behind(question.own, near, holders[:1], holders)
    return _striped(question)


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
    return _rotated(holders, zlib.crc32(own.region.encode()))


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
        return Plan((Lane((before.ip,)),), place=place // len(holders))
    sources = _holders_of(own, holders)
    others = tuple(ip for ip in partners if ip not in sources)
    return Plan((Lane(sources),), partners=others)


def _holders_of(own: Peer, holders: list[str]) -> tuple[str, ...]:
    """Return the holders that an agent asks, by its own address alone.

    Failure: engines were added at once, and their agents didn't know of one
    another for two seconds. All of a region turned to the same two holders,
    and had an eighth of the version by then.

    Machines that are added together have addresses in a row, mostly, and so
    holders in a row.
    """
    start = _HOLDERS_ASKED * int.from_bytes(own.ip.encode())
    return tuple(_rotated(holders, start)[:_HOLDERS_ASKED])


def _striped(question: Question) -> Plan:
    own = question.own
    found = piece_stripes.layout(
        piece_stripes.Agent(own.region, own.ip),
        piece_stripes.Fleet(
            [
                piece_stripes.Agent(peer.region, peer.ip)
                for peer in (own, *question.peers)
            ],
            question.origin_region,
            question.stripes,
            question.avoided,
        ),
    )
    lanes = _lanes(found)
    # Whoever isn't a head waits for those before it. Where all looked
    # elsewhere, they met at the same few.
    is_head = any(lane.enters for lane in lanes)
    partners = _partners(question) if is_head else ()
    return Plan(
        lanes,
        found.place,
        partners,
        has_room=piece_stripes.leaves_room(
            question.origin_part,
            found.stripes,
        ),
    )


def _lanes(found: piece_stripes.Layout) -> tuple[Lane, ...]:
    """Return one lane for all that enters from a source, others apart.

    Others come in an order, stripe after stripe.
    """
    stripes = found.stripes
    entering: dict[str, frozenset[int]] = {}
    relayed: list[Lane] = []
    for source in found.sources:
        ip = ORIGIN if source.ip is None else source.ip
        rests = frozenset((source.stripe,))
        if source.enters:
            entering[ip] = entering.get(ip, frozenset()) | rests
        else:
            relayed.append(Lane((ip,), rests, stripes))
    return (
        *(Lane((ip,), own, stripes, True) for ip, own in entering.items()),
        *relayed,
    )


def _partners(question: Question) -> tuple[str, ...]:
    """Return the others of the region; each agent begins with another."""
    near = sorted(
        peer.ip for peer in question.sound if peer.region == question.own.region
    )
    return tuple(_rotated(near, zlib.crc32(question.own.ip.encode())))


def _rotated(ips: list[str], turn: int) -> list[str]:
    """Return addresses in their order, beginning with another."""
    start = turn % max(len(ips), 1)
    return ips[start:] + ips[:start]
