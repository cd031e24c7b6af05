"""Tests of the decisions on the direct path."""

from __future__ import annotations

import random

import testtools
from hypothesis import given
from hypothesis import strategies as st

from clementinepass.decisions import (
    desired_versions,
    endpoint_choice,
    first_event,
    load_turns,
    next_try,
    superseding,
    window_budget,
)


class WindowBudgetTest(testtools.TestCase):
    """Repeats of all entries together stay within the bound."""

    @given(st.integers(1, 12), st.integers(0, 40))
    def test_sum_stays_below(self, entries: int, requests: int) -> None:
        """However many entries repeat whatever they may."""
        repeats = 0
        for _ in range(entries):
            budget = window_budget.WindowBudget(0.2, 100, 10)
            for number in range(requests):
                budget.record_first_attempt(number * 0.1)
            while budget.try_acquire(requests * 0.1, entries):
                repeats += 1
        self.assertLessEqual(repeats, 0.2 * requests * entries + 100)

    def test_returns_with_time(self) -> None:
        """What left the window no longer counts."""
        budget = window_budget.WindowBudget(0, 10, 10)
        taken = sum(budget.try_acquire(0, 1) for _ in range(20))
        self.assertFalse(budget.try_acquire(5, 1))
        self.assertTrue(budget.try_acquire(11, 1))
        self.assertEqual(6, taken)


class NextTryTest(testtools.TestCase):
    """What must not run twice isn't sent twice."""

    def test_table(self) -> None:
        """Each rule alone forbids another attempt."""
        allowed = next_try.AttemptHistory(
            1, 1, 2, is_repeatable=True, seconds_left=1
        )
        table = (
            (allowed, next_try.RetryDecision.ALLOWED),
            (
                allowed._replace(is_repeatable=False),
                next_try.RetryDecision.MAY_HAVE_RUN,
            ),
            (
                allowed._replace(is_repeatable=False, runs=0),
                next_try.RetryDecision.ALLOWED,
            ),
            (allowed._replace(runs=2), next_try.RetryDecision.TOO_MANY_RUNS),
            (
                allowed._replace(attempts=4),
                next_try.RetryDecision.TOO_MANY_ATTEMPTS,
            ),
            (
                allowed._replace(seconds_left=0.01),
                next_try.RetryDecision.NO_TIME,
            ),
        )
        for past, expected in table:
            self.assertIs(expected, next_try.decide(past), past)


class NearestPlaceTest(testtools.TestCase):
    """Requests go where they start soonest."""

    def setUp(self) -> None:
        super().setUp()
        self.rng = random.Random(7)

    def choose(self, *options: endpoint_choice.Candidate) -> str:
        """Return the choice that is always made."""
        chosen = {
            choice.endpoint_id
            for _ in range(50)
            if (choice := endpoint_choice.choose(options, self.rng))
        }
        self.assertEqual(1, len(chosen), chosen)
        return chosen.pop()

    def test_free_slot_before_nearness(self) -> None:
        """A free slot far away is better than a place in a queue."""
        near = endpoint_choice.Candidate('near', 17, 16, is_same_domain=True)
        far = endpoint_choice.Candidate('far', 12, 16, is_same_domain=False)
        self.assertEqual('far', self.choose(near, far))

    def test_near_among_equals(self) -> None:
        """Bytes between failure domains have a price."""
        near = endpoint_choice.Candidate('near', 5, 16, is_same_domain=True)
        far = endpoint_choice.Candidate('far', 5, 16, is_same_domain=False)
        self.assertEqual('near', self.choose(near, far))

    def test_slow_link(self) -> None:
        """Requests reached an engine when their callers had left.

        Its link was narrowed to a tenth, and they waited there behind pieces
        of weights. By its count of requests it was the emptiest.
        """
        slow = endpoint_choice.Candidate(
            'slow',
            2,
            16,
            is_same_domain=True,
            is_congested=True,
        )
        busy = endpoint_choice.Candidate('busy', 11, 16, is_same_domain=False)
        self.assertEqual('busy', self.choose(slow, busy))
        full = endpoint_choice.Candidate('full', 40, 16, is_same_domain=True)
        self.assertEqual('slow', self.choose(slow, full))

    def test_newest_weights(self) -> None:
        """An engine that is yet to load cuts what runs when it does."""
        old = endpoint_choice.Candidate(
            'old', 2, 16, is_same_domain=True, has_old_version=True
        )
        new = endpoint_choice.Candidate('new', 4, 16, is_same_domain=False)
        self.assertEqual('new', self.choose(old, new))

    def test_none(self) -> None:
        """Without an endpoint there is no choice."""
        self.assertIsNone(endpoint_choice.choose((), self.rng))

    def test_equals_are_spread(self) -> None:
        """Entries with the same counts don't all choose the same one."""
        options = [
            endpoint_choice.Candidate(str(number), 3, 16, is_same_domain=True)
            for number in range(4)
        ]
        chosen = [endpoint_choice.choose(options, self.rng) for _ in range(400)]
        for option in options:
            times = sum(
                one is not None and one.endpoint_id == option.endpoint_id
                for one in chosen
            )
            self.assertGreater(times, 50)


class FirstEventTest(testtools.TestCase):
    """What would start too late is refused."""

    def setUp(self) -> None:
        super().setUp()
        self.pace = first_event.service_rate(30600, 964, 119, 0.00673, 16)

    def fits(self, waiting: float, passed: float = 0) -> bool:
        """Tell whether a usual request is sent to such a queue."""
        wish = first_event.PendingRequest(waiting, 16, 964, 0.406, passed)
        return first_event.meets_target(wish, self.pace)

    def test_pace(self) -> None:
        """An engine with these figures ends twelve answers a second."""
        self.assertAlmostEqual(12.3, self.pace.requests_per_second, 1)

    def test_queue(self) -> None:
        """Three may wait for a quarter of a second, five may not."""
        self.assertTrue(self.fits(0))
        self.assertTrue(self.fits(3))
        self.assertFalse(self.fits(5))

    def test_free_slot_is_always_taken(self) -> None:
        """Late or not, a request that runs at once holds up nobody."""
        self.assertTrue(self.fits(0, passed=3))
        self.assertTrue(self.fits(1, passed=3))
        self.assertFalse(self.fits(2, passed=3))

    def test_unknown_pace(self) -> None:
        """A plain service has a third of its slots waiting at most."""
        unknown = first_event.service_rate(0, 0, 0, 0, 6)
        wish = first_event.PendingRequest(2, 6, 0, 0.4, 0)
        self.assertTrue(first_event.meets_target(wish, unknown))
        self.assertFalse(
            first_event.meets_target(wish._replace(queue_depth=3), unknown)
        )

    def test_come_back(self) -> None:
        """Callers come back when the queue is shorter, within bounds."""
        self.assertEqual(0.25, first_event.retry_after(0, self.pace))
        self.assertAlmostEqual(0.81, first_event.retry_after(10, self.pace), 1)
        self.assertEqual(2, first_event.retry_after(500, self.pace))


class NamedVersionsTest(testtools.TestCase):
    """Each version has its own bound.

    A user named version 2 and, four seconds later, version 3. Requests began
    on version 1 ten seconds after version 2 was named: the clock of the newer
    version had taken the place of the older one's.
    """

    def test_two_bounds(self) -> None:
        """Naming a version doesn't put off the bound of the one before."""
        named = desired_versions.DesiredVersions(8)
        named.record(2, 100)
        named.record(3, 104)
        self.assertEqual(0, named.oldest_allowed(107.9))
        self.assertEqual(2, named.oldest_allowed(108))
        self.assertEqual(3, named.oldest_allowed(112))

    def test_earlier_time_counts(self) -> None:
        """Whoever was restarted heard of the version later."""
        named = desired_versions.DesiredVersions(8)
        self.assertTrue(named.record(2, 100))
        self.assertFalse(named.record(2, 95))
        self.assertFalse(named.record(2, 101))
        self.assertEqual(2, named.oldest_allowed(103))

    def test_older_is_no_news(self) -> None:
        """A version told of after a newer one doesn't take its place."""
        named = desired_versions.DesiredVersions(8)
        named.record(3, 100)
        self.assertFalse(named.record(2, 99))
        self.assertEqual(3, named.newest)

    def test_guess_gives_way(self) -> None:
        """A restarted entry guessed when a version was named.

        It held that it had just been, and sent requests to older weights for
        seconds after the bound. Others knew the time; theirs goes before a
        guess, earlier or later, and a guess never before theirs.
        """
        named = desired_versions.DesiredVersions(8)
        self.assertTrue(named.record(2, 95, is_guess=True))
        self.assertFalse(named.record(2, 98))
        self.assertEqual(106, named.usable_until(1))
        named.record(2, 90, is_guess=True)
        self.assertEqual(106, named.usable_until(1))
        self.assertEqual(set(), named.guessed_versions)


class SupersedingTest(testtools.TestCase):
    """The shorter gap is chosen."""

    def test_finish(self) -> None:
        """Four seconds apart: both are in time one after the other."""
        current = superseding.Transfer(2.3, 4)
        newer = superseding.Transfer(5.6, 8)
        self.assertTrue(superseding.should_finish_first(current, newer))

    def test_drop(self) -> None:
        """Two seconds apart: the first would make the second late."""
        current = superseding.Transfer(3.5, 6)
        newer = superseding.Transfer(5.6, 8)
        self.assertFalse(superseding.should_finish_first(current, newer))

    def test_no_gap_either_way(self) -> None:
        """Both are in time one after the other: nothing in hand is dropped.

        The origin was gone half a second after the second was named, and
        neither was whole anywhere until it came back.
        """
        current = superseding.Transfer(1, 7)
        newer = superseding.Transfer(5.6, 8)
        self.assertTrue(superseding.should_finish_first(current, newer))

    def test_all_agree(self) -> None:
        """Two seconds apart, with links that just carry two versions in time.

        Agents with many pieces finished the first and those with few dropped
        it, so that pieces of neither came through.
        """
        newer = superseding.Transfer(4.8, 8)
        for seconds in (2.6, 3.2, 4.4):
            current = superseding.Transfer(seconds, 6)
            self.assertFalse(superseding.should_finish_first(current, newer))

    def test_decision_stands(self) -> None:
        """Pieces that came late don't have the first dropped half way."""
        current = superseding.Transfer(2.8, 5)
        newer = superseding.Transfer(4.4, 7.1)
        self.assertFalse(superseding.should_finish_first(current, newer))
        self.assertTrue(
            superseding.should_finish_first(current, newer, is_decided=True),
        )

    def test_of_no_use(self) -> None:
        """A version that would be whole after its own bound is dropped."""
        current = superseding.Transfer(3, 0.5)
        newer = superseding.Transfer(4.4, 2.5)
        self.assertFalse(
            superseding.should_finish_first(current, newer, is_decided=True),
        )


class LoadTurnsTest(testtools.TestCase):
    """Engines load one after the other, domain by domain."""

    def setUp(self) -> None:
        super().setUp()
        self.endpoints = [
            load_turns.LoadingEngine(f'10.{domain}.0.{number}:80', str(domain))
            for domain in (1, 2, 3)
            for number in (1, 2, 3)
        ]

    def test_spread(self) -> None:
        """Turns are spread over the time left, the last in good time."""
        delays = [
            load_turns.delay(one, self.endpoints, 3) for one in self.endpoints
        ]
        self.assertEqual(0, min(delays))
        self.assertAlmostEqual(2, max(delays))
        self.assertEqual(9, len(set(delays)))

    def test_domains_alternate(self) -> None:
        """No domain is out as a whole."""
        ordered = sorted(
            self.endpoints,
            key=lambda one: load_turns.delay(one, self.endpoints, 3),
        )
        self.assertEqual(
            ['1', '2', '3'] * 3,
            [one.domain for one in ordered],
        )

    def test_no_time_left(self) -> None:
        """Then all load at once: nobody may serve the old version."""
        for one in self.endpoints:
            self.assertEqual(0, load_turns.delay(one, self.endpoints, 0.5))

    def test_alone(self) -> None:
        """An engine alone has nobody to wait for."""
        self.assertEqual(0, load_turns.delay(self.endpoints[0], [], 5))


class SampleTest(testtools.TestCase):
    """Which engines are compared where loads are reported."""

    def test_drawn(self) -> None:
        """All entries sent to the engine that was emptiest when last told."""
        rng = random.Random(1)
        cases = (
            (list('abcdef'), list('xyz'), 2, 1),
            (['a'], list('xyz'), 1, 2),
            ([], list('xyz'), 0, 3),
            ([], ['x'], 0, 1),
            (list('abc'), [], 2, 0),
        )
        for near, far, near_drawn, far_drawn in cases:
            drawn = endpoint_choice.sample(near, far, rng)
            self.assertEqual(near_drawn, len(set(drawn) & set(near)))
            self.assertEqual(far_drawn, len(set(drawn) & set(far)))
