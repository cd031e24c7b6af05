"""Tests of the ejection of endpoints and of their return."""

from __future__ import annotations

import testtools

from clementinepass.decisions import ejection

_IDS = [f'endpoint{index}' for index in range(6)]


class EjectorTest(testtools.TestCase):
    """Slow and failing endpoints are ejected and return."""

    def setUp(self) -> None:
        super().setUp()
        self.ejector = ejection.Ejector()
        self.ejector.retain(_IDS)
        self.now = 0.0

    def _observe_rounds(
        self, seconds_by_id: dict[str, float], rounds: int
    ) -> None:
        for _ in range(rounds):
            self.now += 0.5
            for endpoint_id in _IDS:
                if self.ejector.usable_slots(endpoint_id, 8, self.now):
                    seconds = seconds_by_id.get(endpoint_id, 0.1)
                    self.ejector.observe(endpoint_id, seconds, self.now)

    def test_slow_endpoint_is_ejected_and_returns(self) -> None:
        """A slow endpoint is ejected and returns after a probation."""
        slow = _IDS[0]
        self._observe_rounds({slow: 1}, rounds=20)
        self.assertEqual({slow}, self.ejector.ejected_endpoints(self.now))
        self.now += 6
        self.assertEqual(1, self.ejector.usable_slots(slow, 8, self.now))
        self._observe_rounds({}, rounds=6)
        self.assertEqual(8, self.ejector.usable_slots(slow, 8, self.now))

    def test_slow_answer_on_probation_doubles_ejection(self) -> None:
        """One slow answer on probation doubles the time of the ejection."""
        slow = _IDS[0]
        self._observe_rounds({slow: 1}, rounds=20)
        self.now += 6
        self.ejector.ejected_endpoints(self.now)
        self._observe_rounds({slow: 1}, rounds=2)
        self.now += 6
        self.assertEqual({slow}, self.ejector.ejected_endpoints(self.now))

    def test_at_most_half_are_ejected_as_slow(self) -> None:
        """When nearly all endpoints become slow, half of them stay in use.

        Guards against the ejection of all endpoints although all of them
        answer. Without a limit this happens when a shared disk or link slows
        them down one after the other, as each is compared with the rest.
        """
        for count in range(1, 6):
            slow = dict.fromkeys(_IDS[:count], 5.0)
            self._observe_rounds(slow, rounds=20)
            self.assertLessEqual(
                len(self.ejector.ejected_endpoints(self.now)), 3
            )

    def test_failing_endpoints_are_probed(self) -> None:
        """When all endpoints fail, each is probed with single requests."""
        for endpoint_id in _IDS * 3:
            self.ejector.observe_failure(endpoint_id, self.now)
        self.assertEqual(set(_IDS), self.ejector.ejected_endpoints(self.now))
        self.now += 1.1
        slots = [
            self.ejector.usable_slots(probed_id, 8, self.now)
            for probed_id in _IDS
        ]
        self.assertEqual([1] * len(_IDS), slots)
        self.ejector.observe_failure(_IDS[0], self.now)
        self.ejector.observe(_IDS[1], 0.1, self.now)
        self.now += 0.3
        self.assertEqual(0, self.ejector.usable_slots(_IDS[0], 8, self.now))
        self.assertEqual(8, self.ejector.usable_slots(_IDS[1], 8, self.now))

    def test_mixed_prompt_lengths_do_not_eject(self) -> None:
        """A healthy endpoint is not ejected because of long prompts."""
        for round_number in range(40):
            seconds = 4 if round_number % 4 else 0.1
            self._observe_rounds({_IDS[0]: seconds}, rounds=1)
        self.assertEqual(frozenset(), self.ejector.ejected_endpoints(self.now))
