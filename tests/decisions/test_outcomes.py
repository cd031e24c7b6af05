"""Decisions under load, judged by what callers get.

Each test runs a workload of the benchmark table in simulated time.
"""

from __future__ import annotations

import dataclasses

import testtools

from benchmarks.decisions import policies, runner, workloads

_WORKLOADS_BY_NAME = {one.name: one for one in workloads.WORKLOADS}


def _run(name: str, *, policy: str = 'chosen', **changes) -> runner.Outcome:
    workload = dataclasses.replace(_WORKLOADS_BY_NAME[name], **changes)
    return runner.run(workload, policies.POLICIES[policy], seed=11)


class OverloadTest(testtools.TestCase):
    """Promises hold when more is asked than there is."""

    def test_table(self) -> None:
        """Each team keeps its promise, and little work is wasted."""
        table = [
            # workload, least share kept, least goodput, most wasted
            ('burst_10x', 0.95, 0.8, 0.02),
            ('skewed_teams', 0.95, 0.9, 0.02),
            ('long_with_short', 0.95, 0.9, 0.02),
            ('saturation_2x', 0.95, 0.9, 0.02),
            ('crowded_entry', 0.95, 0.9, 0.02),
            ('team_at_one_entry', 0.95, 0.9, 0.02),
        ]
        for name, kept, goodput, wasted in table:
            outcome = _run(name)
            self.assertGreaterEqual(outcome.fairness, kept, name)
            self.assertGreaterEqual(outcome.goodput, goodput, name)
            self.assertLess(outcome.wasted, wasted, name)

    def test_same_seed_same_outcome(self) -> None:
        """The benchmark is deterministic."""
        self.assertEqual(_run('steady'), _run('steady'))


class StarvationTest(testtools.TestCase):
    """A large team takes nothing that is promised to others."""

    def test_large_team(self) -> None:
        """Small teams are answered while a large one sends six times its part.

        A user of a small team waits and is refused although the team asks
        for less than it was promised. First a large team's batch job starts,
        then its requests fill the one line ahead of everybody else's; the
        cause is serving in order of arrival.
        """
        starved = _run('skewed_teams', policy='least_in_flight')
        self.assertLess(starved.kept_by_team['t1'], 0.2)
        fair = _run('skewed_teams')
        for team in ('t1', 't2', 't3'):
            self.assertGreaterEqual(fair.kept_by_team[team], 0.95)


class SlowEndpointTest(testtools.TestCase):
    """One endpoint of eight becomes ten times slower."""

    def test_first_token(self) -> None:
        """The slow endpoint is left out, so callers hardly notice it.

        A user sees one answer in eight crawl and then time out. The endpoint
        still answers health checks; its requests pile up there because each
        endpoint gets the same number of them.
        """
        healthy = _run('one_slow', fault=None)
        slow = _run('one_slow')
        self.assertLess(
            slow.first_token_p95,
            1.3 * healthy.first_token_p95,
        )
        self.assertGreaterEqual(slow.fairness, 0.95)
        crawling = _run('one_slow', policy='round_robin')
        self.assertLess(crawling.fairness, 0.7)


class RetryStormTest(testtools.TestCase):
    """All endpoints are lost for 20 s and then return."""

    def test_full_outage(self) -> None:
        """Retries add next to nothing, and answers flow soon afterwards.

        A user sees errors during an outage and goes on seeing them after its
        end. Each failed request is sent again at once by the entry and later
        by its caller, so that several times the usual load meets the
        endpoints when they return.
        """
        storm = _run('full_outage', policy='least_in_flight')
        self.assertGreater(storm.amplification, 5)
        calm = _run('full_outage')
        self.assertLessEqual(calm.amplification, 1.1)
        self.assertLessEqual(calm.recovery, 5)

    def test_half_lost(self) -> None:
        """The remaining half is used fully; retries stay in their budget."""
        outcome = _run('half_lost')
        self.assertLessEqual(outcome.amplification, 1.1)
        self.assertLess(outcome.wasted, 0.02)
        self.assertGreaterEqual(outcome.goodput, 0.7)
