"""Tests of from whom agents get pieces."""

from __future__ import annotations

import testtools

from clementinepass.decisions import piece_chains


def agents(**numbers: int) -> list[piece_chains.Peer]:
    """Return agents of regions, so many in each."""
    return [
        piece_chains.Peer(region, f'{region}-1', f'10.{place}.0.{number}')
        for place, (region, count) in enumerate(numbers.items())
        for number in range(count)
    ]


def plans(
    peers: list[piece_chains.Peer],
    origin_region: str,
) -> dict[str, piece_chains.Plan]:
    """Return each agent's plan by its IP number."""
    return {
        own.ip: piece_chains.plan(
            piece_chains.Question(
                own,
                [peer for peer in peers if peer != own],
                origin_region,
            ),
        )
        for own in peers
        if not own.holds
    }


class ChainsTest(testtools.TestCase):
    """Each link carries one copy, and each border is crossed once."""

    def test_two_heads(self) -> None:
        """The origin feeds two, from opposite ends."""
        found = plans(agents(north=4, south=3, west=3), 'north')
        heads = [
            plan
            for plan in found.values()
            if plan.sources == (piece_chains.ORIGIN,)
        ]
        self.assertEqual(2, len(heads))
        self.assertEqual({True, False}, {plan.ascending for plan in heads})

    def test_one_follower_each(self) -> None:
        """No agent sends to two others."""
        for counts in ((4, 3, 3), (1, 1, 1), (9, 0, 0), (2, 7, 5), (20, 1, 1)):
            named = dict(zip(('north', 'south', 'west'), counts, strict=True))
            found = plans(agents(**named), 'south')
            sources = [
                source
                for plan in found.values()
                for source in plan.sources
                if source != piece_chains.ORIGIN
            ]
            self.assertEqual(len(set(sources)), len(sources), counts)

    def test_borders(self) -> None:
        """Pieces enter each region once."""
        peers = agents(north=4, south=3, west=3)
        region_by_ip = {peer.ip: peer.region for peer in peers}
        crossed = [
            (region_by_ip.get(plan.sources[0], 'north'), region_by_ip[ip])
            for ip, plan in plans(peers, 'north').items()
        ]
        borders = [pair for pair in crossed if pair[0] != pair[1]]
        self.assertEqual(2, len(borders))

    def test_alone(self) -> None:
        """A single agent gets all from the origin."""
        found = plans(agents(north=1), 'north')
        self.assertEqual(
            [piece_chains.Plan((piece_chains.ORIGIN,), ascending=True)],
            list(found.values()),
        )


class ManyBehindFewTest(testtools.TestCase):
    """All but two engines lost their weights at once.

    Eight agents asked the two that still had them. Each of those two sent
    four copies one after the other, and the last was ready after 17 seconds.
    """

    def test_chains_behind_holders(self) -> None:
        """No agent, holder or not, sends to more than two others."""
        peers = agents(north=4, south=3, west=3)
        peers[0] = peers[0]._replace(holds=True)
        peers[4] = peers[4]._replace(holds=True)
        sent: dict[str, int] = {}
        for plan in plans(peers, 'north').values():
            for source in plan.sources:
                sent[source] = sent.get(source, 0) + 1
        self.assertLessEqual(max(sent.values()), 2)
        self.assertNotIn(piece_chains.ORIGIN, sent)


class HoldersTest(testtools.TestCase):
    """Added engines ask those that have the version.

    Two engines were added in a region with three that had the version. Each
    took the first of them, since it didn't know of the other yet, and both
    were ready after ten seconds, where one alone takes five and a half.
    """

    def test_two_asked(self) -> None:
        """An agent that knows nobody else still asks two."""
        holders = [
            peer._replace(holds=True) for peer in agents(north=3, south=2)
        ]
        own = piece_chains.Peer('north', 'north-1', '10.0.0.9')
        plan = piece_chains.plan(piece_chains.Question(own, holders, 'south'))
        near = {peer.ip for peer in holders if peer.region == 'north'}
        self.assertEqual(2, len(plan.sources))
        self.assertLessEqual(set(plan.sources), near)

    def test_far_holders(self) -> None:
        """Without one in the region, those of others are asked."""
        holders = [peer._replace(holds=True) for peer in agents(south=2)]
        own = piece_chains.Peer('north', 'north-1', '10.9.0.9')
        plan = piece_chains.plan(piece_chains.Question(own, holders, 'north'))
        self.assertEqual(1, len(plan.sources))
        self.assertIn(plan.sources[0], [peer.ip for peer in holders])
