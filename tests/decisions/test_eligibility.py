"""Tests of the decision where a request may run."""

from __future__ import annotations

import itertools

import testtools

from clementinepass.decisions import eligibility

NORTH = eligibility.Location('north-1', 'north')
SOUTH = eligibility.Location('south-1', 'south')
ONLY_SOUTH = frozenset(('south',))
NOWHERE: frozenset[str] = frozenset()


class RegionsTest(testtools.TestCase):
    """Guards against contents that leave the regions of route and team."""

    def test_both_bind(self) -> None:
        """Only regions that both allow remain, possibly none."""
        both = frozenset(('north', 'south'))
        for route, team, expected in (
            (None, None, None),
            (both, None, both),
            (None, ONLY_SOUTH, ONLY_SOUTH),
            (both, ONLY_SOUTH, ONLY_SOUTH),
            (frozenset(('north',)), ONLY_SOUTH, NOWHERE),
        ):
            self.assertEqual(expected, eligibility.common_regions(route, team))

    def test_exclusion(self) -> None:
        """The reason is true for every set of endpoints and evacuations."""
        region = eligibility.Exclusion.REGION
        evacuation = eligibility.Exclusion.EVACUATION
        for locations, regions, evacuated, expected in (
            ((), None, set(), None),
            ((), ONLY_SOUTH, set(), region),
            ((NORTH,), ONLY_SOUTH, {'north-1'}, region),
            ((NORTH, SOUTH), ONLY_SOUTH, {'south-1'}, evacuation),
            ((NORTH, SOUTH), None, {'north-1', 'south-1'}, evacuation),
            ((NORTH, SOUTH), None, {'north-1'}, None),
            ((NORTH, SOUTH), NOWHERE, set(), region),
        ):
            self.assertEqual(
                expected, eligibility.exclusion(locations, regions, evacuated)
            )

    def test_consistent(self) -> None:
        """A reason is given if and only if no location is eligible."""
        for locations, regions, evacuated in itertools.product(
            ((NORTH,), (SOUTH,), (NORTH, SOUTH)),
            (None, ONLY_SOUTH, NOWHERE),
            ((), ('north-1',), ('south-1',), ('north-1', 'south-1')),
        ):
            is_possible = any(
                eligibility.is_eligible(location, regions, evacuated)
                for location in locations
            )
            excluded = eligibility.exclusion(locations, regions, evacuated)
            self.assertEqual(is_possible, excluded is None)
