"""Tests of how pieces that no agent has yet are spread."""

from __future__ import annotations

import collections

import testtools

from clementinepass.decisions import piece_stripes

#: Number of agents in each region, the origin's first.
COUNTS = ((4, 3, 3), (3, 3, 3), (1, 1, 1), (9, 0, 0), (2, 7, 5), (20, 1, 1))
STRIPES = (2, 3, 5)


def make_fleet(
    counts: tuple[int, ...],
    stripes: int,
    excluded_ips: frozenset[str] = frozenset(),
) -> piece_stripes.Fleet:
    """Return a fleet with the origin in the first of the regions."""
    agents = [
        piece_stripes.Agent(f'region-{index}', f'10.{index}.0.{number}')
        for index, count in enumerate(counts)
        for number in range(count)
    ]
    return piece_stripes.Fleet(agents, 'region-0', stripes, excluded_ips)


def layouts_by_ip(
    fleet: piece_stripes.Fleet,
) -> dict[str, piece_stripes.Layout]:
    """Return each agent's layout by its IP number."""
    return {
        agent.ip: piece_stripes.compute_layout(agent, fleet)
        for agent in fleet.agents
    }


def all_fleets() -> list[piece_stripes.Fleet]:
    """Return fleets of several shapes."""
    return [
        make_fleet(counts, stripes) for counts in COUNTS for stripes in STRIPES
    ]


class StripesTest(testtools.TestCase):
    """The copies that the origin and links carry, and border crossings."""

    def test_origin_sends_once(self) -> None:
        """Each stripe is read from the origin by one agent.

        When the pieces were spread in two chains, the origin sent two copies,
        and one of them was paid for needlessly.
        """
        for fleet in all_fleets():
            stripes_from_origin = [
                source.stripe
                for layout in layouts_by_ip(fleet).values()
                for source in layout.sources
                if source.ip is None
            ]
            stripes = next(iter(layouts_by_ip(fleet).values())).stripe_count
            self.assertLessEqual(stripes, fleet.stripe_count)
            self.assertEqual(
                list(range(stripes)), sorted(stripes_from_origin), fleet
            )

    def test_origin_serves_several_heads(self) -> None:
        """As many agents read from the origin as its link can fill.

        The origin became unreachable 2.5 s after a version had become the
        desired one. It had sent nine in ten pieces of one half to each of two
        agents, and no agent had the version for nine seconds.
        """
        for fleet in all_fleets():
            heads = {
                ip
                for ip, layout in layouts_by_ip(fleet).items()
                if any(source.ip is None for source in layout.sources)
            }
            origin_agents = sum(
                agent.region == fleet.origin_region for agent in fleet.agents
            )
            head_count = min(
                fleet.stripe_count,
                max(origin_agents, piece_stripes.MIN_STRIPES),
                len(fleet.agents),
            )
            self.assertEqual(head_count, len(heads), fleet)

    def test_stripes_reach_all_agents(self) -> None:
        """From each agent every stripe leads back to the origin."""
        for fleet in all_fleets():
            layouts = layouts_by_ip(fleet)
            for agent in fleet.agents:
                for stripe in range(layouts[agent.ip].stripe_count):
                    self.assertTrue(
                        self._reaches_origin(layouts, agent.ip, stripe)
                    )

    def test_uplinks_are_balanced(self) -> None:
        """An agent sends little more than one copy if regions are alike.

        The followers of an agent that sent two copies waited twice as long.
        """
        for counts in ((3, 3, 3), (6, 6, 6), (9, 0, 0), (12, 12, 12)):
            for stripes in (2, 3):
                requests_by_source = self._requests_by_source(
                    make_fleet(counts, stripes)
                )
                self.assertLessEqual(
                    max(requests_by_source.values()), stripes, counts
                )

    def test_border_crossings(self) -> None:
        """Each piece enters each other region once.

        If the origin's region has fewer agents than there are stripes, some
        stripes enter it once, too.
        """
        for fleet in all_fleets():
            entry_counts: collections.Counter[tuple[str, int]] = (
                collections.Counter()
            )
            for agent in fleet.agents:
                for source in piece_stripes.compute_layout(
                    agent, fleet
                ).sources:
                    if source.enters_region:
                        entry_counts[agent.region, source.stripe] += 1
            self.assertEqual({1}, set(entry_counts.values()), fleet)

    def test_entering_first(self) -> None:
        """A head requests the stripes that enter at it before anything else."""
        for fleet in all_fleets():
            for layout in layouts_by_ip(fleet).values():
                enters = [source.enters_region for source in layout.sources]
                self.assertEqual(sorted(enters, reverse=True), enters)

    def _reaches_origin(
        self,
        layouts: dict[str, piece_stripes.Layout],
        ip: str,
        stripe: int,
    ) -> bool:
        for _ in range(len(layouts) + 1):
            (source,) = [
                stripe_source
                for stripe_source in layouts[ip].sources
                if stripe_source.stripe == stripe
            ]
            if source.ip is None:
                return True
            ip = source.ip
        return False

    def _requests_by_source(
        self,
        fleet: piece_stripes.Fleet,
    ) -> collections.Counter[str | None]:
        return collections.Counter(
            source.ip
            for layout in layouts_by_ip(fleet).values()
            for source in layout.sources
            if source.ip is not None
        )


class ExcludedTest(testtools.TestCase):
    """An agent stalls, and the agents beside it take over its part."""

    def test_excluded_head(self) -> None:
        """The next agent in the ring gets the stripe from the origin."""
        fleet = make_fleet((3, 3, 3), 3, frozenset({'10.0.0.1'}))
        found = piece_stripes.compute_layout(
            piece_stripes.Agent('region-0', '10.0.0.2'),
            fleet,
        )
        from_origin = {
            source.stripe for source in found.sources if source.ip is None
        }
        self.assertEqual({1, 2}, from_origin)

    def test_other_agents_keep_sources(self) -> None:
        """Agents that are not beside the excluded one keep their sources."""
        before = make_fleet((6, 6, 6), 2)
        after = before._replace(excluded_ips=frozenset({'10.0.0.4'}))
        agent = piece_stripes.Agent('region-0', '10.0.0.1')
        self.assertEqual(
            piece_stripes.compute_layout(agent, before),
            piece_stripes.compute_layout(agent, after),
        )

    def test_excluded_region(self) -> None:
        """If a whole region is excluded, the one before it forwards."""
        excluded_ips = frozenset({'10.1.0.0', '10.1.0.1', '10.1.0.2'})
        fleet = make_fleet((3, 3, 2), 3, excluded_ips)
        for number in range(2):
            agent = piece_stripes.Agent('region-2', f'10.2.0.{number}')
            for source in piece_stripes.compute_layout(agent, fleet).sources:
                self.assertNotIn(source.ip, excluded_ips)


class CountStripesTest(testtools.TestCase):
    """The number of stripes."""

    def test_counts(self) -> None:
        """There are as many as the origin's link fills, and at least two."""
        for origin, link, expected in (
            (9.9, 3.8, 3),
            (7.3, 3.65, 2),
            (2.0, 3.65, 2),
            (0, 3.65, 2),
            (100.0, 3.65, 8),
        ):
            self.assertEqual(
                expected, piece_stripes.count_stripes(origin, link)
            )
