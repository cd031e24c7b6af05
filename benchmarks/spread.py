"""How pieces of a new version spread: ``scripts/bench spread``.

Plays stripes, as agents plan them, and two chains from the ends of a version,
their plain form, over links of given rates, in steps of virtual time: whoever
sends sends one piece at a time, and pieces wait at the link of the one that
gets them.  ``--gone`` takes the origin away.  The engines' prompts and events
aren't on the links here, so that times are the least there can be.
"""

from __future__ import annotations

import argparse
import math
import sys
import typing

from clementinepass.decisions import piece_chains, piece_stripes

_MEGA = 1_000_000
_BITS = 8
#: Seconds of one step, and those after which a play is given up.
_STEP = 0.005
_LONGEST = 60.0
#: Pieces asked for at once, as agents do.
_ASKED_OF_AGENT = 5
_ASKED_OF_SEVERAL = 2
_ASKED_BESIDE = 1


class Setting(typing.NamedTuple):
    """What is played.

    :param counts: agents of each region, that of the origin first.
    :param link_mbps: megabits a second of an agent's link, each way.
    :param gone_at: seconds after which the origin is gone.
    """

    counts: tuple[int, ...] = (4, 3, 3)
    link_mbps: float = 3.8
    origin_mbps: float = 9.9
    pieces: int = 64
    piece_bytes: int = 32768
    gone_at: float = math.inf

    @property
    def piece_bits(self) -> int:
        """Return the bits of a piece."""
        return self.piece_bytes * _BITS


class Outcome(typing.NamedTuple):
    """What came of it; seconds are infinite for what never came.

    :param out: seconds until every piece had left the origin once.
    :param held: different pieces that agents have among them.
    :param whole: seconds until each agent had all, in order.
    :param copies: that the origin sent.
    :param crossed: copies that crossed a border.
    """

    out: float
    held: int
    whole: tuple[float, ...]
    copies: float
    crossed: float


def striped(setting: Setting) -> dict[str, piece_chains.FetchPlan]:
    """Return the plans that agents make."""
    peers = _peers(setting)
    stripes = piece_stripes.count_stripes(
        setting.origin_mbps, setting.link_mbps
    )
    return {
        own.ip: piece_chains.plan_fetch(
            piece_chains.PlanInput(
                own,
                [peer for peer in peers if peer != own],
                peers[0].region,
                stripes,
                origin_link_ratio=setting.origin_mbps / setting.link_mbps,
            ),
        )
        for own in peers
    }


def chained(setting: Setting) -> dict[str, piece_chains.FetchPlan]:
    """Return plans of two chains, split at the border nearest the middle.

    The second begins at the other end of the version: its stripes are single
    pieces, asked for from the last one on.
    """
    peers = _peers(setting)
    middle = len(peers) // 2
    borders = [
        place
        for place in range(1, len(peers))
        if peers[place].region != peers[place - 1].region
    ]
    split = min(borders, key=lambda place: abs(place - middle), default=middle)
    return {
        **_chain(peers[:split], range(setting.pieces)),
        **_chain(peers[split:], range(setting.pieces - 1, -1, -1)),
    }


def _chain(
    peers: list[piece_chains.Agent],
    order: range,
) -> dict[str, piece_chains.FetchPlan]:
    sources = [piece_chains.ORIGIN, *(peer.ip for peer in peers)]
    return {
        peer.ip: piece_chains.FetchPlan(
            tuple(
                piece_chains.PieceGroup(
                    (source,), frozenset((one,)), len(order)
                )
                for one in order
            ),
        )
        for peer, source in zip(peers, sources, strict=False)
    }


def _peers(setting: Setting) -> list[piece_chains.Agent]:
    return [
        piece_chains.Agent(f'region-{place}', '', f'10.{place}.0.{number:03}')
        for place, count in enumerate(setting.counts)
        for number in range(count)
    ]


def _most_asked(urgent: list[piece_chains.PieceGroup]) -> int:
    """Return how many pieces to ask for at once of the source of each lane."""
    sources = [lane.sources[0] for lane in urgent]
    if len(sources) == 1 and sources[0]:
        return _ASKED_OF_AGENT
    return _ASKED_OF_SEVERAL


class _Transfer:
    """A piece that was asked for.

    :param at: seconds at which it is there; infinite until it is sent.
    """

    __slots__ = ('asker', 'at', 'number', 'source')

    def __init__(self, source: str, asker: str, number: int) -> None:
        self.source = source
        self.asker = asker
        self.number = number
        self.at = math.inf


class Play:
    """One play.

    :param plans: each agent's plan by its IP number.
    """

    def __init__(
        self,
        setting: Setting,
        plans: dict[str, piece_chains.FetchPlan],
    ) -> None:
        self._setting = setting
        self._plans = plans
        self._region_by_ip = {peer.ip: peer.region for peer in _peers(setting)}
        home = next(iter(self._region_by_ip.values()))
        self._region_by_ip[piece_chains.ORIGIN] = home
        self._held: dict[str, set[int]] = {ip: set() for ip in plans}
        self._asked: list[_Transfer] = []
        self._sent: list[_Transfer] = []
        self._out_at = math.inf
        self._whole_at: dict[str, float] = {}
        #: Those that may ask for more.
        self._wanting = set(plans)
        #: Until when each sends, and gets, what is on its links.
        self._sends_until: dict[str, float] = {}
        self._gets_until: dict[str, float] = {}

    def run(self) -> Outcome:
        """Play until all have all, or nothing comes any more."""
        now: float = 0
        while now < _LONGEST and len(self._whole_at) < len(self._plans):
            for ip in sorted(self._wanting):
                self._ask(ip)
            self._wanting.clear()
            for asked in self._asked:
                self._send(asked, now)
            now += _STEP
            arrived = [one for one in self._asked if one.at <= now]
            for there in arrived:
                self._arrived(there)
        return self._outcome()

    def _ask(self, ip: str) -> None:
        """Ask for what comes next, as long as few pieces are on their way."""
        lanes = self._plans[ip].groups
        read = [lane for lane in lanes if not lane.sources[0]]
        entering = [
            one for one in lanes if one.enters_region and one not in read
        ]
        most_relayed = _ASKED_OF_AGENT
        for urgent in (read, entering):
            most = _most_asked(urgent)
            if any([self._ask_lane(ip, one, most) for one in urgent]):
                has_room = (
                    urgent is not read or self._plans[ip].has_spare_bandwidth
                )
                most_relayed = _ASKED_BESIDE if has_room else 0
                break
        for relayed in lanes:
            if not relayed.enters_region:
                self._ask_lane(ip, relayed, most_relayed)

    def _ask_lane(
        self, ip: str, lane: piece_chains.PieceGroup, most: int
    ) -> int:
        """Ask for pieces of a lane; return how many are missing.

        :param most: pieces of it that may be on their way.
        """
        source = lane.sources[0]
        on_way = {
            one.number
            for one in self._asked
            if (one.asker, one.source) == (ip, source)
        }
        missing = [
            number
            for number in range(self._setting.pieces)
            if lane.contains(number) and number not in self._held[ip]
        ]
        fresh = [number for number in missing if number not in on_way]
        for number in fresh[: max(most - len(on_way), 0)]:
            self._asked.append(_Transfer(source, ip, number))
        return len(missing)

    def _send(self, one: _Transfer, now: float) -> None:
        """Put a piece on the links, if its source has it and sends nothing.

        It passes both links at once, and waits for the asker's where others
        are on that.
        """
        source = one.source
        is_ready = not source or one.number in self._held[source]
        is_gone = not source and now >= self._setting.gone_at
        if one.at < math.inf or not is_ready or is_gone:
            return
        if self._sends_until.get(source, 0) > now:
            return
        up = self._setting.link_mbps if source else self._setting.origin_mbps
        bits = self._setting.piece_bits / _MEGA
        self._sends_until[source] = now + bits / up
        begins = max(self._gets_until.get(one.asker, 0), now)
        one.at = max(begins + bits / self._setting.link_mbps, now + bits / up)
        self._gets_until[one.asker] = one.at

    def _arrived(self, one: _Transfer) -> None:
        self._asked.remove(one)
        self._sent.append(one)
        self._held[one.asker].add(one.number)
        self._wanting.add(one.asker)
        if len(self._held[one.asker]) == self._setting.pieces:
            self._whole_at[one.asker] = one.at
        if len(set().union(*self._held.values())) == self._setting.pieces:
            self._out_at = min(self._out_at, one.at)

    def _outcome(self) -> Outcome:
        pieces = self._setting.pieces
        crossed = [
            one
            for one in self._sent
            if self._region_by_ip[one.source] != self._region_by_ip[one.asker]
        ]
        whole = sorted(self._whole_at.get(ip, math.inf) for ip in self._plans)
        return Outcome(
            out=self._out_at,
            held=len(set().union(*self._held.values())),
            whole=tuple(whole),
            copies=sum(not one.source for one in self._sent) / pieces,
            crossed=len(crossed) / pieces,
        )


def main() -> int:
    """Play both ways and print what came of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--agents', default='4,3,3', help='of each region')
    parser.add_argument('--link', type=float, default=3.8, help='Mbit/s')
    parser.add_argument('--origin', type=float, default=9.9, help='Mbit/s')
    parser.add_argument('--pieces', type=int, default=64)
    parser.add_argument('--piece-bytes', type=int, default=32768)
    parser.add_argument('--gone', type=float, default=math.inf, help='seconds')
    options = parser.parse_args()
    setting = Setting(
        tuple(map(int, options.agents.split(','))),
        options.link,
        options.origin,
        options.pieces,
        options.piece_bytes,
        options.gone,
    )
    print('way      out s  held  first  half  last s  copies  crossed')
    for name, plan in (('chains', chained), ('stripes', striped)):
        found = Play(setting, plan(setting)).run()
        half = found.whole[len(found.whole) // 2]
        print(
            f'{name:8} {found.out:5.2f} {found.held:5} {found.whole[0]:6.2f}'
            f' {half:5.2f} {found.whole[-1]:7.2f} {found.copies:7.2f}'
            f' {found.crossed:8.2f}',
        )
    return 0


if __name__ == '__main__':
    sys.exit(main())
