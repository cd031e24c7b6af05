"""Tests of the estimate of when requests start."""

from __future__ import annotations

import testtools

from clementinepass.decisions import (
    endpoint_choice,
    first_event,
    timely_start,
)

RATE = first_event.service_rate(30600, 964, 119, 0.00673, 16)
REQUEST = timely_start.Request(prompt_tokens=964, mean_prompt_tokens=964)
OLD = endpoint_choice.Candidate(
    'old', 10, 16, is_same_domain=True, usable_seconds=0.45
)


class FilterTimelyTest(testtools.TestCase):
    """A request goes to weights that are still usable when it starts."""

    def timely_ids(self, *candidates: endpoint_choice.Candidate) -> list[str]:
        """Return the IDs of the endpoints that are not left out."""
        timely = timely_start.filter_timely(REQUEST, candidates, RATE)
        return [candidate.endpoint_id for candidate in timely]

    def test_free_slot(self) -> None:
        """A request that starts at once may use the time that is left."""
        self.assertEqual(['old'], self.timely_ids(OLD))
        late = OLD._replace(usable_seconds=0.05)
        self.assertEqual([], self.timely_ids(late))

    def test_queue_past_deadline(self) -> None:
        """A request that would start after the deadline is sent elsewhere.

        When engines crashed, their requests were sent on in time, 0.45 seconds
        before the deadline, to an engine with eight waiting, and started there
        0.7 seconds later on the old weights.
        """
        queued = OLD._replace(load=23)
        self.assertAlmostEqual(
            0.74,
            timely_start.seconds_until_start(REQUEST, queued, RATE),
            1,
        )
        new = endpoint_choice.Candidate('new', 30, 16, is_same_domain=False)
        self.assertEqual(['new'], self.timely_ids(queued, new))

    def test_unread_prompts(self) -> None:
        """An engine first reads the prompts of requests that were sent before.

        A request was sent to an engine with free slots and started late, as
        twelve others had been sent on to it at the same moment.
        """
        busy = OLD._replace(load=14, unstarted=12)
        self.assertEqual([], self.timely_ids(busy))
        self.assertEqual(['old'], self.timely_ids(OLD._replace(unstarted=2)))

    def test_no_deadline(self) -> None:
        """A queue at an engine with the newest weights does not matter here."""
        full = endpoint_choice.Candidate(
            'full', 60, 16, is_same_domain=True, unstarted=44
        )
        self.assertEqual(['full'], self.timely_ids(full))

    def test_unknown_rate(self) -> None:
        """With an unknown service rate only the base latency counts."""
        unknown_rate = first_event.service_rate(0, 0, 0, 0, 6)
        self.assertEqual(
            [OLD],
            timely_start.filter_timely(REQUEST, [OLD], unknown_rate),
        )
