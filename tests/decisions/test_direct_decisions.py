"""Tests of the decisions on the direct path."""

from __future__ import annotations

import math
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
    silence,
    superseding,
    window_budget,
)


class WindowBudgetTest(testtools.TestCase):
    """Retries of all entries together stay within the limit."""

    @given(st.integers(1, 12), st.integers(0, 40))
    def test_total_retries_bounded(self, entries: int, requests: int) -> None:
        """The limit holds when every entry retries as often as it may."""
        retries = 0
        for _ in range(entries):
            budget = window_budget.WindowBudget(0.2, 100, 10)
            for number in range(requests):
                budget.record_first_attempt(number * 0.1)
            while budget.try_acquire(requests * 0.1, entries):
                retries += 1
        self.assertLessEqual(retries, 0.2 * requests * entries + 100)

    def test_budget_returns_after_window(self) -> None:
        """Requests that have left the window no longer count."""
        budget = window_budget.WindowBudget(0, 10, 10)
        acquired = sum(budget.try_acquire(0, 1) for _ in range(20))
        self.assertFalse(budget.try_acquire(5, 1))
        self.assertTrue(budget.try_acquire(11, 1))
        self.assertEqual(6, acquired)

    def test_looking_takes_nothing(self) -> None:
        """A retry is available until it is taken, however often one looks."""
        budget = window_budget.WindowBudget(0, 2, 10)
        self.assertTrue(all(budget.is_available(0, 1) for _ in range(9)))
        self.assertTrue(budget.try_acquire(0, 1))
        self.assertFalse(budget.is_available(0, 1))
        self.assertFalse(budget.try_acquire(0, 1))


class NextTryTest(testtools.TestCase):
    """A request that must not run twice is not sent twice."""

    def test_each_rule(self) -> None:
        """Each rule on its own forbids another attempt."""
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

    def test_runs_beside_open_attempts(self) -> None:
        """Only the limits on runs rule out another run for good."""
        allowed = next_try.AttemptHistory(
            1, 1, 2, is_repeatable=True, seconds_left=1
        )
        table = (
            (allowed, True),
            (allowed._replace(attempts=9, seconds_left=0), True),
            (allowed._replace(runs=2), False),
            (allowed._replace(is_repeatable=False), False),
            (allowed._replace(is_repeatable=False, runs=0), True),
        )
        for history, expected in table:
            self.assertEqual(expected, next_try.may_run_again(history), history)


class SilenceTest(testtools.TestCase):
    """Another endpoint is sought once all open attempts are silent."""

    FIRST_EVENT = silence.Expectation(
        is_stream=True, is_started=False, latency_target=1, max_event_gap=0.3
    )

    def test_tolerance(self) -> None:
        """The time without a byte depends on what is expected next."""
        plain = self.FIRST_EVENT._replace(is_stream=False)
        next_event = self.FIRST_EVENT._replace(is_started=True)
        table = (
            (self.FIRST_EVENT, silence.Wait(0, 10), 1.9),
            (next_event, silence.Wait(0.5, 10), 1.0),
            (plain, silence.Wait(0, 4), 2),
            (plain, silence.Wait(1, 3), 2),
        )
        for expectation, wait, expected in table:
            self.assertAlmostEqual(
                expected, silence.tolerance(expectation, wait)
            )

    def test_time_of_search(self) -> None:
        """The attempt that was heard last counts; without one, it is now."""
        table: tuple[tuple[tuple[float, ...], bool, float], ...] = (
            ((0,), True, 1.9),
            ((1.9,), True, 0),
            ((5, 1), True, 0.9),
            ((1, 5), True, 0.9),
            ((5, 3), True, 0),
            ((5,), False, math.inf),
            ((), True, 0),
            ((), False, 0),
        )
        for waited, may_run_again, expected in table:
            seconds = silence.seconds_until_search(
                self.FIRST_EVENT,
                [silence.Wait(waited_seconds, 4) for waited_seconds in waited],
                may_run_again=may_run_again,
            )
            self.assertAlmostEqual(expected, seconds, msg=str(waited))


class EndpointChoiceTest(testtools.TestCase):
    """Requests go to the endpoint where they start soonest."""

    def setUp(self) -> None:
        super().setUp()
        self.rng = random.Random(7)

    def choose(self, *candidates: endpoint_choice.Candidate) -> str:
        """Return the endpoint that is chosen in every one of 50 trials."""
        chosen = {
            choice.endpoint_id
            for _ in range(50)
            if (choice := endpoint_choice.choose(candidates, self.rng))
        }
        self.assertEqual(1, len(chosen), chosen)
        return chosen.pop()

    def test_free_slot_in_other_domain(self) -> None:
        """A free slot in another domain is better than a place in a queue."""
        near = endpoint_choice.Candidate('near', 17, 16, is_same_domain=True)
        far = endpoint_choice.Candidate('far', 12, 16, is_same_domain=False)
        self.assertEqual('far', self.choose(near, far))

    def test_same_domain_on_equal_load(self) -> None:
        """At equal load the same domain is chosen, as traffic has a price."""
        near = endpoint_choice.Candidate('near', 5, 16, is_same_domain=True)
        far = endpoint_choice.Candidate('far', 5, 16, is_same_domain=False)
        self.assertEqual('near', self.choose(near, far))

    def test_congested_link(self) -> None:
        """An endpoint with a congested link is avoided unless others are full.

        With a link narrowed to a tenth, requests waited behind pieces of
        weights and reached the engine after their callers had left. By its
        number of requests the engine was the emptiest one.
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
        """An engine with the newest weights is preferred to one with old ones.

        An engine that has yet to load them cuts off its running requests then.
        """
        old = endpoint_choice.Candidate(
            'old', 2, 16, is_same_domain=True, has_old_version=True
        )
        new = endpoint_choice.Candidate('new', 4, 16, is_same_domain=False)
        self.assertEqual('new', self.choose(old, new))

    def test_no_candidates(self) -> None:
        """Without candidates there is no choice."""
        self.assertIsNone(endpoint_choice.choose((), self.rng))

    def test_equal_load_is_spread(self) -> None:
        """Entries with the same counts do not all choose the same endpoint."""
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
    """Requests that would start too late are rejected."""

    def setUp(self) -> None:
        super().setUp()
        self.rate = first_event.service_rate(30600, 964, 119, 0.00673, 16)

    def is_sent(self, queue_depth: float, elapsed: float = 0) -> bool:
        """Return whether a typical request is sent to a queue of this depth."""
        request = first_event.PendingRequest(
            queue_depth, 16, 964, 0.406, elapsed
        )
        return first_event.meets_target(request, self.rate)

    def test_service_rate(self) -> None:
        """An engine with these figures finishes twelve answers a second."""
        self.assertAlmostEqual(12.3, self.rate.requests_per_second, 1)

    def test_queue_limit(self) -> None:
        """Three requests may wait for a quarter of a second, five may not."""
        self.assertTrue(self.is_sent(0))
        self.assertTrue(self.is_sent(3))
        self.assertFalse(self.is_sent(5))

    def test_free_slot_is_always_taken(self) -> None:
        """A request that runs at once is sent even if late: it delays none."""
        self.assertTrue(self.is_sent(0, elapsed=3))
        self.assertTrue(self.is_sent(1, elapsed=3))
        self.assertFalse(self.is_sent(2, elapsed=3))

    def test_unknown_service_rate(self) -> None:
        """At a plain service a third as many requests as slots may wait."""
        unknown_rate = first_event.service_rate(0, 0, 0, 0, 6)
        request = first_event.PendingRequest(2, 6, 0, 0.4, 0)
        self.assertTrue(first_event.meets_target(request, unknown_rate))
        self.assertFalse(
            first_event.meets_target(
                request._replace(queue_depth=3), unknown_rate
            )
        )

    def test_retry_after(self) -> None:
        """Callers retry when the queue is shorter, within bounds."""
        self.assertEqual(0.25, first_event.retry_after(0, self.rate))
        self.assertAlmostEqual(0.81, first_event.retry_after(10, self.rate), 1)
        self.assertEqual(2, first_event.retry_after(500, self.rate))


class DesiredVersionsTest(testtools.TestCase):
    """Each version has its own deadline.

    With a single clock that restarts for a newer version, requests still
    started on version 1 ten seconds after version 2 had become the desired one,
    as version 3 had become it four seconds later.
    """

    def test_two_deadlines(self) -> None:
        """A newer version does not postpone the deadline of an older one."""
        versions = desired_versions.DesiredVersions(8)
        versions.record(2, 100)
        versions.record(3, 104)
        self.assertEqual(0, versions.oldest_allowed(107.9))
        self.assertEqual(2, versions.oldest_allowed(108))
        self.assertEqual(3, versions.oldest_allowed(112))

    def test_earlier_time_is_kept(self) -> None:
        """The earlier time is kept: a restarted process learns of it late."""
        versions = desired_versions.DesiredVersions(8)
        self.assertTrue(versions.record(2, 100))
        self.assertFalse(versions.record(2, 95))
        self.assertFalse(versions.record(2, 101))
        self.assertEqual(2, versions.oldest_allowed(103))

    def test_older_version_is_not_newest(self) -> None:
        """A version that is recorded after a newer one does not replace it."""
        versions = desired_versions.DesiredVersions(8)
        versions.record(3, 100)
        self.assertFalse(versions.record(2, 99))
        self.assertEqual(3, versions.newest)

    def test_guess_is_replaced(self) -> None:
        """A restarted entry guesses when a version became the desired one.

        The entry assumed that this had just happened, and sent requests to
        older weights for seconds after the deadline. Other entries knew the
        time: a known time replaces a guess, whether it is earlier or later, and
        a guess never replaces a known time.
        """
        versions = desired_versions.DesiredVersions(8)
        self.assertTrue(versions.record(2, 95, is_guess=True))
        self.assertFalse(versions.record(2, 98))
        self.assertEqual(106, versions.usable_until(1))
        versions.record(2, 90, is_guess=True)
        self.assertEqual(106, versions.usable_until(1))
        self.assertEqual(set(), versions.guessed_versions)

    def test_time_is_no_later_than_first_heard(self) -> None:
        """A known time that a heartbeat brings late moves no deadline."""
        versions = desired_versions.DesiredVersions(8)
        versions.record(2, 95, is_guess=True, heard_at=98)
        versions.record(2, 101, heard_at=101)
        self.assertEqual(106, versions.usable_until(1))

    def test_many_versions_within_the_bound(self) -> None:
        """A bound is kept until it has passed, however many versions follow."""
        versions = desired_versions.DesiredVersions(8)
        for version in range(2, 22):
            since = 100 + 0.1 * version
            versions.record(version, since, heard_at=since)
        self.assertAlmostEqual(108.2, versions.usable_until(1))
        self.assertGreaterEqual(versions.oldest_allowed(108.25), 2)

    def test_versions_past_their_bound_are_forgotten(self) -> None:
        """Only versions that still bound others are kept."""
        versions = desired_versions.DesiredVersions(8)
        for version in range(2, 200):
            since = 100.0 * version
            versions.record(version, since, heard_at=since)
        self.assertEqual({198, 199}, set(versions.since_by_version))
        self.assertEqual(198, versions.oldest_allowed(19900))

    def test_guess_is_no_later_than_first_heard(self) -> None:
        """A guess is not later than when the process heard of the version."""
        versions = desired_versions.DesiredVersions(8)
        versions.record(2, 103, is_guess=True, heard_at=100)
        self.assertEqual(108, versions.usable_until(1))


class SupersedingTest(testtools.TestCase):
    """The option with the shorter gap without a usable version is chosen."""

    def test_finishes_current(self) -> None:
        """Versions four seconds apart can be fetched one after the other."""
        current = superseding.Transfer(2.3, 4)
        newer = superseding.Transfer(5.6, 8)
        self.assertTrue(superseding.should_finish_first(current, newer))

    def test_drops_current(self) -> None:
        """Two seconds apart, the first version would make the second late."""
        current = superseding.Transfer(3.5, 6)
        newer = superseding.Transfer(5.6, 8)
        self.assertFalse(superseding.should_finish_first(current, newer))

    def test_no_gap_keeps_pieces(self) -> None:
        """If both versions arrive in time, no fetched pieces are dropped.

        The origin became unreachable half a second after the second version
        had become the desired one, and neither version was complete anywhere
        until the origin was back.
        """
        current = superseding.Transfer(1, 7)
        newer = superseding.Transfer(5.6, 8)
        self.assertTrue(superseding.should_finish_first(current, newer))

    def test_agents_agree(self) -> None:
        """Agents decide alike on links that just carry two versions in time.

        The versions are two seconds apart. When agents with many pieces
        finished the first version and those with few dropped it, neither
        version was complete.
        """
        newer = superseding.Transfer(4.8, 8)
        for remaining_seconds in (2.6, 3.2, 4.4):
            current = superseding.Transfer(remaining_seconds, 6)
            self.assertFalse(superseding.should_finish_first(current, newer))

    def test_decision_stands(self) -> None:
        """Late pieces do not make an agent drop the version half way."""
        current = superseding.Transfer(2.8, 5)
        newer = superseding.Transfer(4.4, 7.1)
        self.assertFalse(superseding.should_finish_first(current, newer))
        self.assertTrue(
            superseding.should_finish_first(current, newer, is_decided=True),
        )

    def test_expired_version_is_dropped(self) -> None:
        """A version is dropped if it would be complete after its deadline."""
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
        """Turns are spread over the time left, the last one early enough."""
        delays = [
            load_turns.turn_delay(engine, self.engines, 3)
            for engine in self.engines
        ]
        self.assertEqual(0, min(delays))
        self.assertAlmostEqual(2, max(delays))
        self.assertEqual(9, len(set(delays)))

    def test_domains_alternate(self) -> None:
        """Consecutive turns are in different domains.

        Otherwise the turns of all engines of a failure domain could overlap,
        and none of them would serve.
        """
        ordered = sorted(
            self.engines,
            key=lambda engine: load_turns.turn_delay(engine, self.engines, 3),
        )
        self.assertEqual(
            ['1', '2', '3'] * 3,
            [engine.domain for engine in ordered],
        )

    def test_no_time_left(self) -> None:
        """All load at once when the old version may not be used any more."""
        for engine in self.engines:
            self.assertEqual(
                0, load_turns.turn_delay(engine, self.engines, 0.5)
            )

    def test_single_engine(self) -> None:
        """A single engine does not wait."""
        self.assertEqual(0, load_turns.turn_delay(self.engines[0], [], 5))


class SampleTest(testtools.TestCase):
    """Entries compare a sample of the engines with known loads."""

    def test_sample_sizes(self) -> None:
        """Few engines are compared, mostly of the same domain.

        If all engines were compared, all entries would choose the same one.
        """
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
