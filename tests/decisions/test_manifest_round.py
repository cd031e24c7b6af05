"""Tests of the sources that agents ask for the manifest of a version."""

from __future__ import annotations

import testtools

from clementinepass.decisions import manifest_round, piece_chains


def make_agents(count: int) -> list[piece_chains.Agent]:
    """Return agents in three regions."""
    return [
        piece_chains.Agent(
            f'region-{number % 3}',
            f'domain-{number % 6}',
            f'10.{number % 3}.{number // 256}.{number % 256}',
        )
        for number in range(count)
    ]


def plans_by_ip(count: int) -> dict[str, piece_chains.FetchPlan]:
    """Return each agent's plan by its IP number."""
    peers = make_agents(count)
    return {
        agent.ip: piece_chains.plan_fetch(
            piece_chains.PlanInput(
                agent,
                [peer for peer in peers if peer != agent],
                'region-0',
            ),
        )
        for agent in peers
    }


class RoundTest(testtools.TestCase):
    """The requests of a round, and the rounds until all have the manifest."""

    def test_first_round(self) -> None:
        """Agents ask the preceding agents, and some of them ask the origin."""
        for count, max_origin_requests in ((10, 10), (150, 22), (300, 22)):
            origin_requests = 0
            for plan in plans_by_ip(count).values():
                chosen = manifest_round.choose_sources(plan, 0)
                origin_requests += piece_chains.ORIGIN in chosen
                self.assertEqual(
                    {*plan.sources, piece_chains.ORIGIN},
                    {*chosen, piece_chains.ORIGIN},
                )
            self.assertLessEqual(origin_requests, max_origin_requests)

    def test_stale_holders(self) -> None:
        """The list still names holders after a power loss of all instances.

        Agents that asked only those that had held the version, which had lost
        it as well, waited for a second, and service was back a second later.
        """
        holders = [peer._replace(has_version=True) for peer in make_agents(13)]
        for agent in holders:
            plan = piece_chains.plan_fetch(
                piece_chains.PlanInput(
                    agent,
                    [peer for peer in holders if peer != agent],
                    'region-0',
                ),
            )
            self.assertIn(
                piece_chains.ORIGIN,
                manifest_round.choose_sources(plan, 0),
            )

    def test_request_count_bounded(self) -> None:
        """An agent sends no more requests if there are more agents."""
        for count in (3, 10, 40, 300):
            for plan in plans_by_ip(count).values():
                for failed_rounds in range(5):
                    chosen = manifest_round.choose_sources(plan, failed_rounds)
                    self.assertLessEqual(len(chosen), len(plan.sources) + 3)
                    self.assertEqual(len(chosen), len(set(chosen)))

    def test_heads_ask_origin(self) -> None:
        """An agent that fetches a stripe from the origin always asks it."""
        head_plans = []
        for plan in plans_by_ip(40).values():
            if piece_chains.ORIGIN in plan.sources:
                head_plans.append(plan)
                for failed_rounds in range(20):
                    self.assertIn(
                        piece_chains.ORIGIN,
                        manifest_round.choose_sources(plan, failed_rounds),
                    )
        self.assertEqual(2, len(head_plans))

    def test_origin_reachable_again(self) -> None:
        """The origin is reachable again, and no agent has the manifest yet.

        All agents have the manifest after a few rounds, and not all of them ask
        the origin at once.
        """
        for count, max_rounds, max_origin_requests in (
            (14, 2, 11),
            (40, 3, 20),
            (150, 4, 22),
            (300, 5, 22),
        ):
            all_plans = plans_by_ip(count)
            holders: set[str] = set()
            failed_rounds = 7
            while len(holders) < count:
                sources_by_ip = {
                    ip: manifest_round.choose_sources(plan, failed_rounds)
                    for ip, plan in all_plans.items()
                    if ip not in holders
                }
                origin_requests = sum(
                    piece_chains.ORIGIN in chosen
                    for chosen in sources_by_ip.values()
                )
                self.assertLessEqual(origin_requests, max_origin_requests)
                answering = {piece_chains.ORIGIN, *holders}
                holders.update(
                    ip
                    for ip, chosen in sources_by_ip.items()
                    if not answering.isdisjoint(chosen)
                )
                failed_rounds += 1
            self.assertLessEqual(failed_rounds - 7, max_rounds)
