"""Tests of the decision whether a request waits for a slot."""

from __future__ import annotations

import random

import testtools

from clementinepass.decisions import (
    first_event,
    overload_retry,
    returning_calls,
    slot_wait,
)

RATE = first_event.ServiceRate(30000, 8)
TIMING = slot_wait.Timing(
    prompt_tokens=900,
    latency_target=0.4,
    elapsed_seconds=0,
    patience_seconds=2,
    is_returning=False,
)


class WaitTest(testtools.TestCase):
    """How long requests wait."""

    def test_in_time(self) -> None:
        """Guards against slots that are spent on requests already late."""
        wait = slot_wait.wait_for(TIMING, RATE)
        self.assertTrue(0.1 < wait.timely_seconds < 0.25, wait)
        longer = slot_wait.wait_for(TIMING._replace(prompt_tokens=3000), RATE)
        self.assertLess(longer.timely_seconds, wait.timely_seconds)

    def test_late(self) -> None:
        """Guards against late requests that are dropped while room is left."""
        wait = slot_wait.wait_for(TIMING, RATE)
        self.assertAlmostEqual(1, wait.seconds - wait.timely_seconds)

    def test_returning(self) -> None:
        """Guards against callers that are refused twice in a short time."""
        wait = slot_wait.wait_for(TIMING._replace(is_returning=True), RATE)
        self.assertEqual(slot_wait.Wait(0, 1), wait)

    def test_never_beyond_patience(self) -> None:
        """Guards against requests that wait after their caller has left."""
        for is_returning in (False, True):
            timing = TIMING._replace(
                patience_seconds=0.01, is_returning=is_returning
            )
            wait = slot_wait.wait_for(timing, RATE)
            self.assertLessEqual(wait.seconds, 0.01)

    def test_slow_engine(self) -> None:
        """Guards against long prompts on engines too slow for them."""
        long_prompt = TIMING._replace(prompt_tokens=4000)
        self.assertTrue(slot_wait.starts_in_time(long_prompt, 1, RATE))
        self.assertFalse(slot_wait.starts_in_time(long_prompt, 2.5, RATE))
        self.assertTrue(slot_wait.starts_in_time(TIMING, 2.5, RATE))

    def test_fewer_slots_of_slow_engine(self) -> None:
        """Guards against slow engines that are filled like others."""
        self.assertTrue(slot_wait.has_room(9, 12, 1))
        self.assertFalse(slot_wait.has_room(9, 12, 2.5))
        self.assertTrue(slot_wait.has_room(1, 12, 2.5))
        self.assertEqual(12, slot_wait.usable_slots(12, 0.8))
        self.assertEqual(1, slot_wait.usable_slots(2, 5))


class RetryTest(testtools.TestCase):
    """When refused callers come back."""

    def test_grows_with_overload(self) -> None:
        """Guards against callers told to return into the same burst."""
        rng = random.Random(1)
        retry = overload_retry.OverloadRetry()
        first = [retry.refuse(0, rng) for _ in range(50)]
        later = [
            retry.refuse(step / 10, rng) for step in range(1, 31) for _ in '12'
        ]
        self.assertTrue(all(0.75 <= seconds <= 1.25 for seconds in first))
        self.assertGreater(min(later[-10:]), max(first))
        self.assertLessEqual(max(later), first_event.MAX_RETRY_AFTER)
        # Callers told the same time would be the next burst.
        self.assertEqual(len(later), len(set(later)))
        self.assertGreater(max(first) - min(first), 0.1)
        self.assertEqual(3.0, retry.duration(3.0))
        self.assertEqual(0, retry.duration(4.1))
        self.assertLess(retry.refuse(10, rng), 1.25)


class ReturningTest(testtools.TestCase):
    """Callers that come back are recognized by their remaining time."""

    def observe(self, *seconds: float) -> list[float]:
        """Observe timeouts; return the seconds spent before each."""
        usual = returning_calls.UsualTimeouts()
        return [round(usual.observe('r', each), 3) for each in seconds]

    def test_returning(self) -> None:
        """Guards against returns that are taken for new requests."""
        found = self.observe(*[6.1] * 20, 4.1, 5.3, 5.5)
        self.assertEqual([0] * 20, found[:20])
        self.assertEqual([2.0, 0.8, 0], found[20:])

    def test_patient_callers(self) -> None:
        """Guards against usual callers that are taken for returning ones.

        A few callers wait for longer than others.
        """
        timeouts = ([6.1] * 20 + [12.0]) * 10
        self.assertEqual({0}, set(self.observe(*timeouts)))

    def test_unknown(self) -> None:
        """Guards against guesses before the usual timeout is known."""
        self.assertEqual([0, 0, 0], self.observe(6, 3, 1))

    def test_bounded(self) -> None:
        """Guards against state that grows with the timeouts callers choose."""
        usual = returning_calls.UsualTimeouts()
        for number in range(5000):
            usual.observe('r', number)
        self.assertLess(len(usual._counts_by_route['r']), 600)

    def test_change(self) -> None:
        """Guards against a usual timeout that never changes."""
        found = self.observe(*[6.0] * 300, *[3.0] * 600)
        self.assertEqual(0, found[-1])
