"""Tests of ejection and return."""

from __future__ import annotations

import testtools

from clementinepass.decisions import ejection

_IDS = [f'endpoint{index}' for index in range(6)]


class EjectorTest(testtools.TestCase):
    """Slow and failing endpoints leave and come back."""

    def setUp(self) -> None:
        super().setUp()
        self.ejector = ejection.Ejector()
        self.ejector.retain(_IDS)
        self.now = 0.0

    def _serve(self, seconds_by_id: dict[str, float], rounds: int) -> None:
        for _ in range(rounds):
            self.now += 0.5
            for endpoint_id in _IDS:
                if self.ejector.usable_slots(endpoint_id, 8, self.now):
                    seconds = seconds_by_id.get(endpoint_id, 0.1)
                    self.ejector.observe(endpoint_id, seconds, self.now)

    def test_slow_one_is_out_and_returns(self) -> None:
        """Out after seconds of slowness; back by way of probation."""
        slow = _IDS[0]
        self._serve({slow: 1}, rounds=20)
        self.assertEqual({slow}, self.ejector.ejected_endpoints(self.now))
        self.now += 6
        self.assertEqual(1, self.ejector.usable_slots(slow, 8, self.now))
        self._serve({}, rounds=6)
        self.assertEqual(8, self.ejector.usable_slots(slow, 8, self.now))

    def test_still_slow_on_probation_is_out_for_longer(self) -> None:
        """One slow answer on probation doubles the ejection."""
        slow = _IDS[0]
        self._serve({slow: 1}, rounds=20)
        self.now += 6
        self.ejector.ejected_endpoints(self.now)
        self._serve({slow: 1}, rounds=2)
        self.now += 6
        self.assertEqual({slow}, self.ejector.ejected_endpoints(self.now))

    def test_all_slow_keeps_half(self) -> None:
        """When nearly all endpoints turn slow, half of them stay in use.

        A user sees every request refused although all endpoints answer. A
        shared disk or link slows them one after the other, each is ejected
        by comparison with the rest, until nothing is left; the cause is an
        ejector without a floor.
        """
        for count in range(1, 6):
            slow = dict.fromkeys(_IDS[:count], 5.0)
            self._serve(slow, rounds=20)
            self.assertLessEqual(
                len(self.ejector.ejected_endpoints(self.now)), 3
            )

    def test_all_failing_are_tried_one_by_one(self) -> None:
        """In a full outage single requests try the endpoints."""
        for endpoint_id in _IDS * 3:
            self.ejector.observe_failure(endpoint_id, self.now)
        self.assertEqual(set(_IDS), self.ejector.ejected_endpoints(self.now))
        self.now += 1.1
        slots = [self.ejector.usable_slots(one, 8, self.now) for one in _IDS]
        self.assertEqual([1] * len(_IDS), slots)
        self.ejector.observe_failure(_IDS[0], self.now)
        self.ejector.observe(_IDS[1], 0.1, self.now)
        self.now += 0.3
        self.assertEqual(0, self.ejector.usable_slots(_IDS[0], 8, self.now))
        self.assertEqual(8, self.ejector.usable_slots(_IDS[1], 8, self.now))

    def test_mixed_lengths_are_not_slowness(self) -> None:
        """Long prompts on a healthy endpoint don't eject it."""
        for turn in range(40):
            seconds = 4 if turn % 4 else 0.1
            self._serve({_IDS[0]: seconds}, rounds=1)
        self.assertEqual(frozenset(), self.ejector.ejected_endpoints(self.now))
