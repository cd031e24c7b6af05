"""Tests of whom agents ask for the manifest of a version."""

from __future__ import annotations

import testtools

from clementinepass.decisions import manifest_round, piece_chains


def agents(count: int) -> list[piece_chains.Agent]:
    """Return agents of three regions."""
    return [
        piece_chains.Agent(
            f'region-{number % 3}',
            f'domain-{number % 6}',
            f'10.{number % 3}.{number // 256}.{number % 256}',
        )
        for number in range(count)
    ]


def plans(count: int) -> dict[str, piece_chains.FetchPlan]:
    """Return each agent's plan by its IP number."""
    peers = agents(count)
    return {
        own.ip: piece_chains.plan_fetch(
            piece_chains.PlanInput(
                own,
                [peer for peer in peers if peer != own],
                'region-0',
            ),
        )
        for own in peers
    }


class RoundTest(testtools.TestCase):
    """What a round costs, and how fast the manifest spreads."""

    def test_first_round(self) -> None:
        """At first the agents before are asked, and the origin by some."""
        for count, most_at_origin in ((10, 10), (150, 22), (300, 22)):
            at_origin = 0
            for plan in plans(count).values():
                asked = manifest_round.choose_sources(plan, 0)
                at_origin += piece_chains.ORIGIN in asked
                self.assertEqual(
                    {*plan.sources, piece_chains.ORIGIN},
                    {*asked, piece_chains.ORIGIN},
                )
            self.assertLessEqual(at_origin, most_at_origin)

    def test_stale_holders(self) -> None:
        """All machines lost their power, and the list still names holders.

        Each agent asked those that had held the version, which had lost it
        too and let it wait for a second. Service was back a second later.
        """
        holders = [peer._replace(has_version=True) for peer in agents(13)]
        for own in holders:
            plan = piece_chains.plan_fetch(
                piece_chains.PlanInput(
                    own,
                    [peer for peer in holders if peer != own],
                    'region-0',
                ),
            )
            self.assertIn(
                piece_chains.ORIGIN,
                manifest_round.choose_sources(plan, 0),
            )

    def test_questions_level(self) -> None:
        """An agent asks no more where there are more of them."""
        for count in (3, 10, 40, 300):
            for plan in plans(count).values():
                for number in range(5):
                    asked = manifest_round.choose_sources(plan, number)
                    self.assertLessEqual(len(asked), len(plan.sources) + 3)
                    self.assertEqual(len(asked), len(set(asked)))

    def test_heads_ask_origin(self) -> None:
        """Whoever gets a stripe from the origin asks it in each round."""
        heads = []
        for plan in plans(40).values():
            if piece_chains.ORIGIN in plan.sources:
                heads.append(plan)
                for number in range(20):
                    self.assertIn(
                        piece_chains.ORIGIN,
                        manifest_round.choose_sources(plan, number),
                    )
        self.assertEqual(2, len(heads))

    def test_origin_back(self) -> None:
        """The origin is back after a while in which nobody had anything.

        All agents have the manifest after a few rounds, and the origin isn't
        asked by all of them at once.
        """
        for count, rounds, most_at_origin in (
            (14, 2, 11),
            (40, 3, 20),
            (150, 4, 22),
            (300, 5, 22),
        ):
            found = plans(count)
            holders: set[str] = set()
            number = 7
            while len(holders) < count:
                asked_by_ip = {
                    ip: manifest_round.choose_sources(plan, number)
                    for ip, plan in found.items()
                    if ip not in holders
                }
                at_origin = sum(
                    piece_chains.ORIGIN in asked
                    for asked in asked_by_ip.values()
                )
                self.assertLessEqual(at_origin, most_at_origin)
                can_answer = {piece_chains.ORIGIN, *holders}
                holders.update(
                    ip
                    for ip, asked in asked_by_ip.items()
                    if not can_answer.isdisjoint(asked)
                )
                number += 1
            self.assertLessEqual(number - 7, rounds)
