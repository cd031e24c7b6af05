"""Tests of from whom agents get pieces."""

from __future__ import annotations

import collections

import testtools

from clementinepass.decisions import piece_chains


def agents(**numbers: int) -> list[piece_chains.Agent]:
    """Return agents of regions, so many in each."""
    return [
        piece_chains.Agent(region, f'{region}-1', f'10.{place}.0.{number}')
        for place, (region, count) in enumerate(numbers.items())
        for number in range(count)
    ]


def plans(
    peers: list[piece_chains.Agent],
    origin_region: str,
) -> dict[str, piece_chains.FetchPlan]:
    """Return each agent's plan by its IP number."""
    return {
        own.ip: piece_chains.plan_fetch(
            piece_chains.PlanInput(
                own,
                [peer for peer in peers if peer != own],
                origin_region,
            ),
        )
        for own in peers
        if not own.has_version
    }


class StripedTest(testtools.TestCase):
    """While nobody has the version, its pieces come in stripes."""

    def test_every_piece_in_one_lane(self) -> None:
        """Each piece is asked for in one place."""
        for plan in plans(agents(north=4, south=3, west=3), 'north').values():
            for number in range(64):
                lanes = [lane for lane in plan.groups if lane.contains(number)]
                self.assertEqual(1, len(lanes))

    def test_in_order(self) -> None:
        """All are asked for, lane by lane."""
        for plan in plans(agents(north=4, south=3, west=3), 'north').values():
            ordered = plan.in_fetch_order(range(64))
            self.assertEqual(list(range(64)), sorted(ordered))
            (first, *_) = plan.groups
            self.assertTrue(first.contains(ordered[0]))

    def test_partners_of_heads(self) -> None:
        """Only heads have others to turn to, those of their region.

        An agent in the middle brought nothing, all behind it looked
        elsewhere, and met at the same few.
        """
        peers = agents(north=4, south=3, west=3)
        region_by_ip = {peer.ip: peer.region for peer in peers}
        for ip, plan in plans(peers, 'north').items():
            is_head = any(lane.enters_region for lane in plan.groups)
            self.assertEqual(is_head, bool(plan.fallback_ips))
            for partner in plan.fallback_ips:
                self.assertEqual(region_by_ip[ip], region_by_ip[partner])

    def test_alone(self) -> None:
        """A single agent gets all from the origin."""
        (plan,) = plans(agents(north=1), 'north').values()
        self.assertEqual((piece_chains.ORIGIN,), plan.sources)


class ManyBehindFewTest(testtools.TestCase):
    """All but two engines lost their weights at once.

    Eight agents asked the two that still had them. Each of those two sent
    four copies one after the other, and the last was ready after 17 seconds.
    """

    def test_chains_behind_holders(self) -> None:
        """No agent, holder or not, sends to more than two others."""
        peers = agents(north=4, south=3, west=3)
        peers[0] = peers[0]._replace(has_version=True)
        peers[4] = peers[4]._replace(has_version=True)
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
            peer._replace(has_version=True) for peer in agents(north=3, south=2)
        ]
        own = piece_chains.Agent('north', 'north-1', '10.0.0.9')
        plan = piece_chains.plan_fetch(
            piece_chains.PlanInput(own, holders, 'south')
        )
        near = {peer.ip for peer in holders if peer.region == 'north'}
        self.assertEqual(2, len(plan.sources))
        self.assertLessEqual(set(plan.sources), near)

    def test_shared_out(self) -> None:
        """Five that were added at once don't know of one another yet.

        All turned to the same two holders, and had an eighth of the version
        after two seconds, when the list told them of the others.
        """
        holders = [peer._replace(has_version=True) for peer in agents(north=8)]
        asked: collections.Counter[str] = collections.Counter()
        for number in range(57, 62):
            own = piece_chains.Agent('north', 'north-1', f'10.0.0.{number}')
            question = piece_chains.PlanInput(own, holders, 'south')
            asked.update(piece_chains.plan_fetch(question).sources)
        self.assertEqual(10, asked.total())
        self.assertLessEqual(max(asked.values()), 2)

    def test_far_holders(self) -> None:
        """Without one in the region, those of others are asked."""
        holders = [peer._replace(has_version=True) for peer in agents(south=2)]
        own = piece_chains.Agent('north', 'north-1', '10.9.0.9')
        plan = piece_chains.plan_fetch(
            piece_chains.PlanInput(own, holders, 'north')
        )
        self.assertEqual(1, len(plan.sources))
        self.assertIn(plan.sources[0], [peer.ip for peer in holders])
