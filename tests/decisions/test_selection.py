"""Tests of placing."""

from __future__ import annotations

import random

import testtools

from clementinepass.decisions import reasons, selection


def _make(endpoint_id: str, running: int = 0, **fields) -> selection.Candidate:
    values = {
        'failure_domain': 'a',
        'reported_running': running,
        'capacity': 8,
        'own_in_flight': 0,
    }
    return selection.Candidate(endpoint_id, **(values | fields))


class CostSelectorTest(testtools.TestCase):
    """The cheapest of a sample is chosen."""

    def setUp(self) -> None:
        super().setUp()
        self.selector = selection.CostSelector(
            random.Random(5),
            domain='a',
            affinity=selection.PrefixAffinity(lifetime_seconds=30),
        )

    def _id(self, candidates, now=0.0, prefix_key='') -> str:
        return self.selector.choose(candidates, now, prefix_key).endpoint_id

    def test_table(self) -> None:
        """Load, failure domain, ejection and age of reports."""
        table = [
            ('less loaded', [_make('x', 5), _make('y', 1)], 'y'),
            (
                'own failure domain',
                [_make('x', 2, failure_domain='b'), _make('y', 2)],
                'y',
            ),
            (
                'other failure domain when much freer',
                [_make('x', 1, failure_domain='b'), _make('y', 7)],
                'x',
            ),
            ('not ejected', [_make('x', is_ejected=True), _make('y', 7)], 'y'),
            (
                'own count before an old report',
                [
                    _make('x', 4, own_in_flight=4, report_age_seconds=9),
                    _make('y', 6, own_in_flight=1, report_age_seconds=9),
                ],
                'y',
            ),
        ]
        for name, candidates, expected in table:
            self.assertEqual(expected, self._id(candidates), name)

    def test_no_candidates(self) -> None:
        """Nothing to choose from is said so."""
        self.assertIsNone(self.selector.choose([], 0))

    def test_all_ejected_or_full(self) -> None:
        """When every endpoint looks bad, one is used all the same.

        A user sees all requests refused although endpoints would answer.
        Reports that lag show all as full, or an ejector took them all out;
        the cause is trusting hints more than the endpoint's own gate.
        """
        candidates = [_make('x', is_ejected=True), _make('y', is_ejected=True)]
        choice = self.selector.choose(candidates, 0)
        self.assertEqual(reasons.Selection.NONE_USABLE, choice.reason)
        choice = self.selector.choose([_make('x', 9), _make('y', 8)], 0)
        self.assertEqual(reasons.Selection.NONE_USABLE, choice.reason)

    def test_finds_the_one_free_slot(self) -> None:
        """A sample that misses the free endpoint is followed by a scan."""
        candidates = [_make(f'e{index}', 8) for index in range(600)]
        candidates[437].reported_running = 7
        self.assertEqual('e437', self._id(candidates))

    def test_warm_prefix(self) -> None:
        """The prefix is followed while it pays, and forgotten in time."""
        candidates = [_make('x'), _make('y')]
        first = self._id(candidates, prefix_key='doc')
        warm = next(one for one in candidates if one.endpoint_id == first)
        warm.reported_running = 3
        self.assertEqual(first, self._id(candidates, 1, 'doc'))
        self.assertNotEqual(first, self._id(candidates, 1, 'other'))
        warm.reported_running = 8
        other = self._id(candidates, 2, 'doc')
        self.assertNotEqual(first, other)
        warm.reported_running = 1
        self.assertEqual(other, self._id(candidates, 60, 'doc'))
