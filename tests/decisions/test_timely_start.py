"""Tests for foreseeing when requests begin."""

from __future__ import annotations

import testtools

from clementinepass.decisions import (
    endpoint_choice,
    first_event,
    timely_start,
)

PACE = first_event.service_rate(30600, 964, 119, 0.00673, 16)
REQUEST = timely_start.Request(prompt_tokens=964, mean_prompt_tokens=964)
OLD = endpoint_choice.Candidate(
    'old', 10, 16, is_same_domain=True, usable_seconds=0.45
)


class TimelyTest(testtools.TestCase):
    """A request goes where its weights are allowed when it begins."""

    def timely(self, *options: endpoint_choice.Candidate) -> list[str]:
        """Return the endpoints that are left."""
        kept = timely_start.filter_timely(REQUEST, options, PACE)
        return [option.endpoint_id for option in kept]

    def test_free_slot(self) -> None:
        """A request that begins at once may use what is left of the time."""
        self.assertEqual(['old'], self.timely(OLD))
        late = OLD._replace(usable_seconds=0.05)
        self.assertEqual([], self.timely(late))

    def test_queue_beyond_the_bound(self) -> None:
        """A request began on old weights after their bound.

        Engines crashed, and what they ran was sent on in time, 0.45 seconds
        before the last moment, to an engine with eight waiting. It began
        there 0.7 seconds later.
        """
        queue = OLD._replace(load=23)
        self.assertAlmostEqual(
            0.74,
            timely_start.seconds_until_start(REQUEST, queue, PACE),
            1,
        )
        new = endpoint_choice.Candidate('new', 30, 16, is_same_domain=False)
        self.assertEqual(['new'], self.timely(queue, new))

    def test_prompts_before_it(self) -> None:
        """Requests were sent to an engine with free slots and began late.

        Twelve others had been sent on to it in the same moment, and it read
        their prompts first.
        """
        reading = OLD._replace(load=14, unstarted=12)
        self.assertEqual([], self.timely(reading))
        self.assertEqual(['old'], self.timely(OLD._replace(unstarted=2)))

    def test_without_a_bound(self) -> None:
        """A queue at an engine with the newest weights is no matter here."""
        full = endpoint_choice.Candidate(
            'full', 60, 16, is_same_domain=True, unstarted=44
        )
        self.assertEqual(['full'], self.timely(full))

    def test_unknown_pace(self) -> None:
        """Where the pace isn't known, only the way there counts."""
        unknown = first_event.service_rate(0, 0, 0, 0, 6)
        self.assertEqual(
            [OLD],
            timely_start.filter_timely(REQUEST, [OLD], unknown),
        )
