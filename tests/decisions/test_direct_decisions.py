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
    def test_total_retries_bounded(self, entries: int, requests: int) -> None:
        """However many entries repeat whatever they may."""
        retries = 0
        for _ in range(entries):
            budget = window_budget.WindowBudget(0.2, 100, 10)
            for number in range(requests):
                budget.record_first_attempt(number * 0.1)
            while budget.try_acquire(requests * 0.1, entries):
                retries += 1
        self.assertLessEqual(retries, 0.2 * requests * entries + 100)

    def test_budget_returns_after_window(self) -> None:
        """What left the window no longer counts."""
        budget = window_budget.WindowBudget(0, 10, 10)
        acquired = sum(budget.try_acquire(0, 1) for _ in range(20))
        self.assertFalse(budget.try_acquire(5, 1))
        self.assertTrue(budget.try_acquire(11, 1))
        self.assertEqual(6, acquired)


class NextTryTest(testtools.TestCase):
    """What must not run twice isn't sent twice."""

    def test_each_rule(self) -> None:
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
        for history, expected in table:
            self.assertIs(expected, next_try.decide(history), history)


class EndpointChoiceTest(testtools.TestCase):
    """Requests go where they start soonest."""

    def setUp(self) -> None:
        super().setUp()
        self.rng = random.Random(7)

    def choose(self, *candidates: endpoint_choice.Candidate) -> str:
        """Return the choice that is always made."""
        chosen = {
            choice.endpoint_id
            for _ in range(50)
            if (choice := endpoint_choice.choose(candidates, self.rng))
        }
        self.assertEqual(1, len(chosen), chosen)
        return chosen.pop()

    def test_free_slot_in_other_domain(self) -> None:
        """A free slot far away is better than a place in a queue."""
        near = endpoint_choice.Candidate('near', 17, 16, is_same_domain=True)
        far = endpoint_choice.Candidate('far', 12, 16, is_same_domain=False)
        self.assertEqual('far', self.choose(near, far))

    def test_same_domain_on_equal_load(self) -> None:
        """Bytes between failure domains have a price."""
        near = endpoint_choice.Candidate('near', 5, 16, is_same_domain=True)
        far = endpoint_choice.Candidate('far', 5, 16, is_same_domain=False)
        self.assertEqual('near', self.choose(near, far))

    def test_congested_link(self) -> None:
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

    def test_no_candidates(self) -> None:
        """Without an endpoint there is no choice."""
        self.assertIsNone(endpoint_choice.choose((), self.rng))

    def test_equal_load_is_spread(self) -> None:
        """Entries with the same counts don't all choose the same one."""
        candidates = [
            endpoint_choice.Candidate(str(number), 3, 16, is_same_domain=True)
            for number in range(4)
        ]
        chosen = [
            endpoint_choice.choose(candidates, self.rng) for _ in range(400)
        ]
        for candidate in candidates:
            count = sum(
                choice is not None
                and choice.endpoint_id == candidate.endpoint_id
                for choice in chosen
            )
            self.assertGreater(count, 50)


class FirstEventTest(testtools.TestCase):
    """What would start too late is refused."""

    def setUp(self) -> None:
        super().setUp()
        self.rate = first_event.service_rate(30600, 964, 119, 0.00673, 16)

    def is_sent(self, queue_depth: float, elapsed: float = 0) -> bool:
        """Tell whether a usual request is sent to such a queue."""
        request = first_event.PendingRequest(
            queue_depth, 16, 964, 0.406, elapsed
        )
        return first_event.meets_target(request, self.rate)

    def test_service_rate(self) -> None:
        """An engine with these figures ends twelve answers a second."""
        self.assertAlmostEqual(12.3, self.rate.requests_per_second, 1)

    def test_queue_limit(self) -> None:
        """Three may wait for a quarter of a second, five may not."""
        self.assertTrue(self.is_sent(0))
        self.assertTrue(self.is_sent(3))
        self.assertFalse(self.is_sent(5))

    def test_free_slot_is_always_taken(self) -> None:
        """Late or not, a request that runs at once holds up nobody."""
        self.assertTrue(self.is_sent(0, elapsed=3))
        self.assertTrue(self.is_sent(1, elapsed=3))
        self.assertFalse(self.is_sent(2, elapsed=3))

    def test_unknown_service_rate(self) -> None:
        """A plain service has a third of its slots waiting at most."""
        unknown_rate = first_event.service_rate(0, 0, 0, 0, 6)
        request = first_event.PendingRequest(2, 6, 0, 0.4, 0)
        self.assertTrue(first_event.meets_target(request, unknown_rate))
        self.assertFalse(
            first_event.meets_target(
                request._replace(queue_depth=3), unknown_rate
            )
        )

    def test_retry_after(self) -> None:
        """Callers come back when the queue is shorter, within bounds."""
        self.assertEqual(0.25, first_event.retry_after(0, self.rate))
        self.assertAlmostEqual(0.81, first_event.retry_after(10, self.rate), 1)
        self.assertEqual(2, first_event.retry_after(500, self.rate))


class DesiredVersionsTest(testtools.TestCase):
    """Each version has its own bound.

    A user named version 2 and, four seconds later, version 3. Requests began
    on version 1 ten seconds after version 2 was named: the clock of the newer
    version had taken the place of the older one's.
    """

    def test_two_deadlines(self) -> None:
        """Naming a version doesn't put off the bound of the one before."""
        versions = desired_versions.DesiredVersions(8)
        versions.record(2, 100)
        versions.record(3, 104)
        self.assertEqual(0, versions.oldest_allowed(107.9))
        self.assertEqual(2, versions.oldest_allowed(108))
        self.assertEqual(3, versions.oldest_allowed(112))

    def test_earlier_time_is_kept(self) -> None:
        """Whoever was restarted heard of the version later."""
        versions = desired_versions.DesiredVersions(8)
        self.assertTrue(versions.record(2, 100))
        self.assertFalse(versions.record(2, 95))
        self.assertFalse(versions.record(2, 101))
        self.assertEqual(2, versions.oldest_allowed(103))

    def test_older_version_is_not_newest(self) -> None:
        """A version told of after a newer one doesn't take its place."""
        versions = desired_versions.DesiredVersions(8)
        versions.record(3, 100)
        self.assertFalse(versions.record(2, 99))
        self.assertEqual(3, versions.newest)

    def test_guess_is_replaced(self) -> None:
        """A restarted entry guessed when a version was named.

        It held that it had just been, and sent requests to older weights for
        seconds after the bound. Others knew the time; theirs goes before a
        guess, earlier or later, and a guess never before theirs.
        """
        versions = desired_versions.DesiredVersions(8)
        self.assertTrue(versions.record(2, 95, is_guess=True))
        self.assertFalse(versions.record(2, 98))
        self.assertEqual(106, versions.usable_until(1))
        versions.record(2, 90, is_guess=True)
        self.assertEqual(106, versions.usable_until(1))
        self.assertEqual(set(), versions.guessed_versions)


class SupersedingTest(testtools.TestCase):
    """The shorter gap is chosen."""

    def test_finishes_current(self) -> None:
        """Four seconds apart: both are in time one after the other."""
        current = superseding.Transfer(2.3, 4)
        newer = superseding.Transfer(5.6, 8)
        self.assertTrue(superseding.should_finish_first(current, newer))

    def test_drops_current(self) -> None:
        """Two seconds apart: the first would make the second late."""
        current = superseding.Transfer(3.5, 6)
        newer = superseding.Transfer(5.6, 8)
        self.assertFalse(superseding.should_finish_first(current, newer))

    def test_no_gap_keeps_pieces(self) -> None:
        """Both are in time one after the other: nothing in hand is dropped.

        The origin was gone half a second after the second was named, and
        neither was whole anywhere until it came back.
        """
        current = superseding.Transfer(1, 7)
        newer = superseding.Transfer(5.6, 8)
        self.assertTrue(superseding.should_finish_first(current, newer))

    def test_agents_agree(self) -> None:
        """Two seconds apart, with links that just carry two versions in time.

        Agents with many pieces finished the first and those with few dropped
        it, so that pieces of neither came through.
        """
        newer = superseding.Transfer(4.8, 8)
        for remaining_seconds in (2.6, 3.2, 4.4):
            current = superseding.Transfer(remaining_seconds, 6)
            self.assertFalse(superseding.should_finish_first(current, newer))

    def test_decision_stands(self) -> None:
        """Pieces that came late don't have the first dropped half way."""
        current = superseding.Transfer(2.8, 5)
        newer = superseding.Transfer(4.4, 7.1)
        self.assertFalse(superseding.should_finish_first(current, newer))
        self.assertTrue(
            superseding.should_finish_first(current, newer, is_decided=True),
        )

    def test_expired_version_is_dropped(self) -> None:
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
        self.engines = [
            load_turns.LoadingEngine(f'10.{domain}.0.{number}:80', str(domain))
            for domain in (1, 2, 3)
            for number in (1, 2, 3)
        ]

    def test_turns_spread_over_time(self) -> None:
        """Turns are spread over the time left, the last in good time."""
        delays = [
            load_turns.delay(engine, self.engines, 3) for engine in self.engines
        ]
        self.assertEqual(0, min(delays))
        self.assertAlmostEqual(2, max(delays))
        self.assertEqual(9, len(set(delays)))

    def test_domains_alternate(self) -> None:
        """No domain is out as a whole."""
        ordered = sorted(
            self.engines,
            key=lambda engine: load_turns.delay(engine, self.engines, 3),
        )
        self.assertEqual(
            ['1', '2', '3'] * 3,
            [engine.domain for engine in ordered],
        )

    def test_no_time_left(self) -> None:
        """Then all load at once: nobody may serve the old version."""
        for engine in self.engines:
            self.assertEqual(0, load_turns.delay(engine, self.engines, 0.5))

    def test_single_engine(self) -> None:
        """An engine alone has nobody to wait for."""
        self.assertEqual(0, load_turns.delay(self.engines[0], [], 5))


class SampleTest(testtools.TestCase):
    """Which engines are compared where loads are reported."""

    def test_sample_sizes(self) -> None:
        """All entries sent to the engine that was emptiest when last told."""
        rng = random.Random(1)
        cases = (
            (list('abcdef'), list('xyz'), 2, 1),
            (['a'], list('xyz'), 1, 2),
            ([], list('xyz'), 0, 3),
            ([], ['x'], 0, 1),
            (list('abc'), [], 2, 0),
        )
        for near, far, near_count, far_count in cases:
            drawn = endpoint_choice.sample(near, far, rng)
            self.assertEqual(near_count, len(set(drawn) & set(near)))
            self.assertEqual(far_count, len(set(drawn) & set(far)))
