"""Tests of the sources from which agents fetch pieces."""

from __future__ import annotations

import collections

import testtools

from clementinepass.decisions import piece_chains


def make_agents(**counts_by_region: int) -> list[piece_chains.Agent]:
    """Return agents, as many in each region as given."""
    return [
        piece_chains.Agent(region, f'{region}-1', f'10.{index}.0.{number}')
        for index, (region, count) in enumerate(counts_by_region.items())
        for number in range(count)
    ]


def plans_by_ip(
    peers: list[piece_chains.Agent],
    origin_region: str,
) -> dict[str, piece_chains.FetchPlan]:
    """Return each agent's plan by its IP number."""
    return {
        agent.ip: piece_chains.plan_fetch(
            piece_chains.PlanInput(
                agent,
                [peer for peer in peers if peer != agent],
                origin_region,
            ),
        )
        for agent in peers
        if not agent.has_version
    }


class StripedTest(testtools.TestCase):
    """While no agent has the version, its pieces are spread in stripes."""

    def test_every_piece_in_one_group(self) -> None:
        """Each piece belongs to exactly one group."""
        for plan in plans_by_ip(
            make_agents(north=4, south=3, west=3), 'north'
        ).values():
            for number in range(64):
                matching = [
                    group for group in plan.groups if group.contains(number)
                ]
                self.assertEqual(1, len(matching))

    def test_fetch_order(self) -> None:
        """All pieces are requested, group by group."""
        for plan in plans_by_ip(
            make_agents(north=4, south=3, west=3), 'north'
        ).values():
            ordered = plan.in_fetch_order(range(64))
            self.assertEqual(list(range(64)), sorted(ordered))
            (first, *_) = plan.groups
            self.assertTrue(first.contains(ordered[0]))

    def test_fallbacks_of_heads(self) -> None:
        """Only heads have fallbacks, which are agents of their own region.

        When an agent in the middle delivered nothing, all agents behind it
        turned to other sources and converged on the same few.
        """
        peers = make_agents(north=4, south=3, west=3)
        region_by_ip = {peer.ip: peer.region for peer in peers}
        for ip, plan in plans_by_ip(peers, 'north').items():
            is_head = any(group.enters_region for group in plan.groups)
            self.assertEqual(is_head, bool(plan.fallback_ips))
            for fallback_ip in plan.fallback_ips:
                self.assertEqual(region_by_ip[ip], region_by_ip[fallback_ip])

    def test_single_agent(self) -> None:
        """A single agent fetches everything from the origin."""
        (plan,) = plans_by_ip(make_agents(north=1), 'north').values()
        self.assertEqual((piece_chains.ORIGIN,), plan.sources)


class FewHoldersTest(testtools.TestCase):
    """All but two engines lost their weights at once.

    Eight agents asked the two that still had them. Each of the two sent four
    copies one after the other, and the last agent was ready after 17 seconds.
    """

    def test_chains_behind_holders(self) -> None:
        """No agent, holder or not, sends to more than two others."""
        peers = make_agents(north=4, south=3, west=3)
        peers[0] = peers[0]._replace(has_version=True)
        peers[4] = peers[4]._replace(has_version=True)
        requests_by_source: dict[str, int] = {}
        for plan in plans_by_ip(peers, 'north').values():
            for source in plan.sources:
                requests_by_source[source] = (
                    requests_by_source.get(source, 0) + 1
                )
        self.assertLessEqual(max(requests_by_source.values()), 2)
        self.assertNotIn(piece_chains.ORIGIN, requests_by_source)


class AddedEnginesTest(testtools.TestCase):
    """Agents of added engines ask those that have the version.

    Two engines were added in a region with three that had the version. Each
    agent chose the first of these, as it did not know of the other one yet, and
    both were ready after ten seconds, where a single one takes five and a half.
    """

    def test_asks_two_holders(self) -> None:
        """An agent that knows of no other new agent still asks two holders."""
        holders = [
            peer._replace(has_version=True)
            for peer in make_agents(north=3, south=2)
        ]
        agent = piece_chains.Agent('north', 'north-1', '10.0.0.9')
        plan = piece_chains.plan_fetch(
            piece_chains.PlanInput(agent, holders, 'south')
        )
        region_ips = {peer.ip for peer in holders if peer.region == 'north'}
        self.assertEqual(2, len(plan.sources))
        self.assertLessEqual(set(plan.sources), region_ips)

    def test_holders_are_shared_out(self) -> None:
        """Five agents that were added at once do not know of one another yet.

        When all of them turned to the same two holders, they had an eighth of
        the version after two seconds, when the list named the others.
        """
        holders = [
            peer._replace(has_version=True) for peer in make_agents(north=8)
        ]
        requests_by_holder: collections.Counter[str] = collections.Counter()
        for number in range(57, 62):
            agent = piece_chains.Agent('north', 'north-1', f'10.0.0.{number}')
            plan_input = piece_chains.PlanInput(agent, holders, 'south')
            requests_by_holder.update(
                piece_chains.plan_fetch(plan_input).sources
            )
        self.assertEqual(10, requests_by_holder.total())
        self.assertLessEqual(max(requests_by_holder.values()), 2)

    def test_holders_in_other_region(self) -> None:
        """Without a holder in the region, one of another region is asked."""
        holders = [
            peer._replace(has_version=True) for peer in make_agents(south=2)
        ]
        agent = piece_chains.Agent('north', 'north-1', '10.9.0.9')
        plan = piece_chains.plan_fetch(
            piece_chains.PlanInput(agent, holders, 'north')
        )
        self.assertEqual(1, len(plan.sources))
        self.assertIn(plan.sources[0], [peer.ip for peer in holders])
