"""Tests of the selection of endpoints."""

from __future__ import annotations

import random

import testtools

from clementinepass.decisions import reasons, selection


def _make_candidate(
    endpoint_id: str, reported_running: int = 0, **fields
) -> selection.Candidate:
    values = {
        'failure_domain': 'a',
        'reported_running': reported_running,
        'capacity': 8,
        'own_in_flight': 0,
    }
    return selection.Candidate(endpoint_id, **(values | fields))


class CostSelectorTest(testtools.TestCase):
    """Selection by expected cost."""

    def setUp(self) -> None:
        super().setUp()
        self.selector = selection.CostSelector(
            random.Random(5),
            domain='a',
            affinity=selection.PrefixAffinity(lifetime_seconds=30),
        )

    def _choose_id(self, candidates, now=0.0, prefix_key='') -> str:
        return self.selector.choose(candidates, now, prefix_key).endpoint_id

    def test_cheapest_is_chosen(self) -> None:
        """Load, failure domain, ejection and age of reports are compared."""
        table = [
            (
                'less loaded',
                [_make_candidate('x', 5), _make_candidate('y', 1)],
                'y',
            ),
            (
                'own failure domain',
                [
                    _make_candidate('x', 2, failure_domain='b'),
                    _make_candidate('y', 2),
                ],
                'y',
            ),
            (
                'other failure domain when much freer',
                [
                    _make_candidate('x', 1, failure_domain='b'),
                    _make_candidate('y', 7),
                ],
                'x',
            ),
            (
                'not ejected',
                [
                    _make_candidate('x', is_ejected=True),
                    _make_candidate('y', 7),
                ],
                'y',
            ),
            (
                'own count before an old report',
                [
                    _make_candidate(
                        'x', 4, own_in_flight=4, report_age_seconds=9
                    ),
                    _make_candidate(
                        'y', 6, own_in_flight=1, report_age_seconds=9
                    ),
                ],
                'y',
            ),
        ]
        for name, candidates, expected in table:
            self.assertEqual(expected, self._choose_id(candidates), name)

    def test_no_candidates(self) -> None:
        """Without candidates the choice is ``None``."""
        self.assertIsNone(self.selector.choose([], 0))

    def test_all_ejected_or_full(self) -> None:
        """An endpoint is chosen even if all of them are ejected or look full.

        Guards against refusing all requests although endpoints would answer
        them: outdated reports can show all endpoints as full, and all of them
        can be ejected.
        """
        candidates = [
            _make_candidate('x', is_ejected=True),
            _make_candidate('y', is_ejected=True),
        ]
        choice = self.selector.choose(candidates, 0)
        self.assertEqual(reasons.Selection.NONE_USABLE, choice.reason)
        choice = self.selector.choose(
            [_make_candidate('x', 9), _make_candidate('y', 8)], 0
        )
        self.assertEqual(reasons.Selection.NONE_USABLE, choice.reason)

    def test_single_free_slot_is_found(self) -> None:
        """All candidates are searched if the sample has no free endpoint."""
        candidates = [_make_candidate(f'e{index}', 8) for index in range(600)]
        candidates[437].reported_running = 7
        self.assertEqual('e437', self._choose_id(candidates))

    def test_warm_prefix(self) -> None:
        """A cached prefix is preferred if it saves time, until it expires."""
        candidates = [_make_candidate('x'), _make_candidate('y')]
        first_id = self._choose_id(candidates, prefix_key='doc')
        warm_candidate = next(
            candidate
            for candidate in candidates
            if candidate.endpoint_id == first_id
        )
        warm_candidate.reported_running = 3
        self.assertEqual(first_id, self._choose_id(candidates, 1, 'doc'))
        self.assertNotEqual(first_id, self._choose_id(candidates, 1, 'other'))
        warm_candidate.reported_running = 8
        other_id = self._choose_id(candidates, 2, 'doc')
        self.assertNotEqual(first_id, other_id)
        warm_candidate.reported_running = 1
        self.assertEqual(other_id, self._choose_id(candidates, 60, 'doc'))
