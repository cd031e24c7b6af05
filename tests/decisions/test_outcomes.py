"""Tests of the decisions under load by the answers that callers receive.

Each test runs a workload of the benchmarks in simulated time.
"""

from __future__ import annotations

import dataclasses

import testtools

from benchmarks.decisions import policies, runner, workloads

_WORKLOADS_BY_NAME = {
    workload.name: workload for workload in workloads.WORKLOADS
}


def _run(name: str, *, policy: str = 'chosen', **changes) -> runner.Outcome:
    workload = dataclasses.replace(_WORKLOADS_BY_NAME[name], **changes)
    return runner.run(workload, policies.POLICIES[policy], seed=11)


class OverloadTest(testtools.TestCase):
    """Promises are kept when the demand exceeds the capacity."""

    def test_promises_are_kept(self) -> None:
        """Each team gets what it was promised, and little work is wasted."""
        table = [
            # workload, minimum promise kept, minimum goodput, maximum waste
            ('burst_10x', 0.95, 0.8, 0.02),
            ('skewed_teams', 0.95, 0.9, 0.02),
            ('long_with_short', 0.95, 0.9, 0.02),
            ('saturation_2x', 0.95, 0.9, 0.02),
            ('crowded_entry', 0.95, 0.9, 0.02),
            ('team_at_one_entry', 0.95, 0.9, 0.02),
        ]
        for name, min_kept, min_goodput, max_wasted in table:
            outcome = _run(name)
            self.assertGreaterEqual(outcome.fairness, min_kept, name)
            self.assertGreaterEqual(outcome.goodput, min_goodput, name)
            self.assertLess(outcome.wasted, max_wasted, name)

    def test_same_seed_gives_same_outcome(self) -> None:
        """The benchmark is deterministic."""
        self.assertEqual(_run('steady'), _run('steady'))


class StarvationTest(testtools.TestCase):
    """A large team takes no slots that are promised to other teams."""

    def test_small_teams_beside_large_team(self) -> None:
        """Small teams are answered while a large one sends six times its share.

        Guards against refusals for small teams that use less than they were
        promised. In order of arrival, the requests of a large team's batch job
        fill the single queue ahead of all others.
        """
        without_fairness = _run('skewed_teams', policy='least_in_flight')
        self.assertLess(without_fairness.kept_by_team['t1'], 0.2)
        with_fairness = _run('skewed_teams')
        for team in ('t1', 't2', 't3'):
            self.assertGreaterEqual(with_fairness.kept_by_team[team], 0.95)


class SlowEndpointTest(testtools.TestCase):
    """One of eight endpoints becomes ten times slower."""

    def test_slow_endpoint_is_avoided(self) -> None:
        """The slow endpoint is avoided and hardly affects callers.

        Guards against one in eight answers being slow and then timing out. The
        endpoint still passes health checks, and with round robin its requests
        pile up, as each endpoint gets the same number of them.
        """
        healthy = _run('one_slow', fault=None)
        slow = _run('one_slow')
        self.assertLess(
            slow.first_token_p95,
            1.3 * healthy.first_token_p95,
        )
        self.assertGreaterEqual(slow.fairness, 0.95)
        with_round_robin = _run('one_slow', policy='round_robin')
        self.assertLess(with_round_robin.fairness, 0.7)


class RetryStormTest(testtools.TestCase):
    """All endpoints or half of them are lost and return after 20 s."""

    def test_full_outage(self) -> None:
        """Retries add little load, and requests succeed soon after an outage.

        Guards against errors that continue after an outage. Without a budget
        the entry retries each failed request immediately and the caller
        retries it later, so that the endpoints receive several times the usual
        load when they return.
        """
        without_budget = _run('full_outage', policy='least_in_flight')
        self.assertGreater(without_budget.amplification, 5)
        with_budget = _run('full_outage')
        self.assertLessEqual(with_budget.amplification, 1.1)
        self.assertLessEqual(with_budget.recovery, 5)

    def test_half_of_endpoints_lost(self) -> None:
        """The remaining half is fully used, and retries are limited."""
        outcome = _run('half_lost')
        self.assertLessEqual(outcome.amplification, 1.1)
        self.assertLess(outcome.wasted, 0.02)
        self.assertGreaterEqual(outcome.goodput, 0.7)
