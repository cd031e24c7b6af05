"""Tests of how pieces that nobody has are spread."""

from __future__ import annotations

import collections

import testtools

from clementinepass.decisions import piece_stripes

#: Agents of each region, the origin's first.
COUNTS = ((4, 3, 3), (3, 3, 3), (1, 1, 1), (9, 0, 0), (2, 7, 5), (20, 1, 1))
STRIPES = (2, 3, 5)


def fleet(
    counts: tuple[int, ...],
    stripes: int,
    avoided: frozenset[str] = frozenset(),
) -> piece_stripes.Fleet:
    """Return agents of regions, so many in each; the first has the origin."""
    agents = [
        piece_stripes.Agent(f'region-{place}', f'10.{place}.0.{number}')
        for place, count in enumerate(counts)
        for number in range(count)
    ]
    return piece_stripes.Fleet(agents, 'region-0', stripes, avoided)


def layouts(
    known: piece_stripes.Fleet,
) -> dict[str, piece_stripes.Layout]:
    """Return each agent's layout by its IP number."""
    return {
        own.ip: piece_stripes.compute_layout(own, known) for own in known.agents
    }


def every_case() -> list[piece_stripes.Fleet]:
    """Return fleets of several shapes."""
    return [fleet(counts, stripes) for counts in COUNTS for stripes in STRIPES]


class StripesTest(testtools.TestCase):
    """What the origin sends, what links carry and what borders are crossed."""

    def test_origin_sends_once(self) -> None:
        """Each stripe is read from the origin by one agent.

        With two chains it sent two copies, and one of them was paid for
        nothing.
        """
        for known in every_case():
            read = [
                source.stripe
                for each in layouts(known).values()
                for source in each.sources
                if source.ip is None
            ]
            stripes = next(iter(layouts(known).values())).stripe_count
            self.assertLessEqual(stripes, known.stripe_count)
            self.assertEqual(list(range(stripes)), sorted(read), known)

    def test_origin_feeds_several(self) -> None:
        """As many agents read from the origin as its link can fill.

        The origin was gone 2.5 s after a version was named. It had sent each
        of two agents nine pieces in ten of a half, and nobody had the
        version for nine seconds.
        """
        for known in every_case():
            heads = {
                ip
                for ip, each in layouts(known).items()
                if any(source.ip is None for source in each.sources)
            }
            at_home = sum(
                one.region == known.origin_region for one in known.agents
            )
            most = min(
                known.stripe_count,
                max(at_home, piece_stripes.MIN_STRIPES),
                len(known.agents),
            )
            self.assertEqual(most, len(heads), known)

    def test_comes_to_all(self) -> None:
        """From each agent every stripe leads back to the origin."""
        for known in every_case():
            found = layouts(known)
            for own in known.agents:
                for stripe in range(found[own.ip].stripe_count):
                    self.assertTrue(self._reaches(found, own.ip, stripe))

    def test_level_uplinks(self) -> None:
        """An agent sends little more than a copy, where regions are alike.

        One that sent two had its followers wait twice as long.
        """
        for counts in ((3, 3, 3), (6, 6, 6), (9, 0, 0), (12, 12, 12)):
            for stripes in (2, 3):
                sent = self._sent(fleet(counts, stripes))
                self.assertLessEqual(max(sent.values()), stripes, counts)

    def test_borders(self) -> None:
        """Each piece enters each other region once.

        Where the origin's region has fewer agents than there are stripes,
        some enter it once, too.
        """
        for known in every_case():
            entered: collections.Counter[tuple[str, int]] = (
                collections.Counter()
            )
            for own in known.agents:
                for source in piece_stripes.compute_layout(own, known).sources:
                    if source.enters_region:
                        entered[own.region, source.stripe] += 1
            self.assertEqual({1}, set(entered.values()), known)

    def test_entering_first(self) -> None:
        """A head asks for what it brings in before anything else."""
        for known in every_case():
            for each in layouts(known).values():
                enters = [source.enters_region for source in each.sources]
                self.assertEqual(sorted(enters, reverse=True), enters)

    def _reaches(
        self,
        found: dict[str, piece_stripes.Layout],
        ip: str,
        stripe: int,
    ) -> bool:
        for _ in range(len(found) + 1):
            (source,) = [
                each for each in found[ip].sources if each.stripe == stripe
            ]
            if source.ip is None:
                return True
            ip = source.ip
        return False

    def _sent(
        self,
        known: piece_stripes.Fleet,
    ) -> collections.Counter[str | None]:
        return collections.Counter(
            source.ip
            for each in layouts(known).values()
            for source in each.sources
            if source.ip is not None
        )


class AvoidedTest(testtools.TestCase):
    """An agent stands still, and those beside it take its part over."""

    def test_head(self) -> None:
        """The next in the ring gets its stripe from the origin."""
        known = fleet((3, 3, 3), 3, frozenset({'10.0.0.1'}))
        found = piece_stripes.compute_layout(
            piece_stripes.Agent('region-0', '10.0.0.2'),
            known,
        )
        from_origin = {
            source.stripe for source in found.sources if source.ip is None
        }
        self.assertEqual({1, 2}, from_origin)

    def test_others_keep_theirs(self) -> None:
        """Whoever isn't beside it changes nothing."""
        before = fleet((6, 6, 6), 2)
        after = before._replace(excluded_ips=frozenset({'10.0.0.4'}))
        own = piece_stripes.Agent('region-0', '10.0.0.1')
        self.assertEqual(
            piece_stripes.compute_layout(own, before),
            piece_stripes.compute_layout(own, after),
        )

    def test_region_gone(self) -> None:
        """Where a whole region brings nothing, the one before it does."""
        gone = frozenset({'10.1.0.0', '10.1.0.1', '10.1.0.2'})
        known = fleet((3, 3, 2), 3, gone)
        for number in range(2):
            own = piece_stripes.Agent('region-2', f'10.2.0.{number}')
            for source in piece_stripes.compute_layout(own, known).sources:
                self.assertNotIn(source.ip, gone)


class CountTest(testtools.TestCase):
    """How many stripes there are."""

    def test_links(self) -> None:
        """As many as the origin's link fills, and never a single one."""
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
