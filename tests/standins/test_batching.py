"""Tests of the engine stand-in's batch, step by step."""

from __future__ import annotations

import testtools

from standins import batching


def _job(request_id, count=2, priority=0):
    return batching.Job(request_id, count, priority)


class BatchTest(testtools.TestCase):
    """Jobs join and leave at each step, by priority and then by age."""

    def test_priority(self):
        """Of those that wait, the lowest number goes first."""
        batch = batching.Batch(step=0, capacity=1, waiting=9)
        batch.serve('v1')
        jobs = [_job('late', priority=5), _job('a'), _job('b')]
        for job in jobs:
            self.assertTrue(batch.submit(job))
        order = []
        while batch.load().running or batch.load().waiting:
            batch.advance()
            begun = set(batch.runs_by_id()) - set(order)
            order.extend(begun)
        self.assertEqual(['a', 'b', 'late'], order)
        self.assertEqual([0, 1], list(jobs[0].tokens()))

    def test_bounds(self):
        """Beyond those that run and wait, a job is not taken in."""
        batch = batching.Batch(step=0, capacity=2, waiting=1)
        taken = [batch.submit(_job(str(number))) for number in range(4)]
        self.assertEqual([True, True, True, False], taken)
        batch.advance()
        self.assertEqual((2, 1), (batch.load().running, batch.load().waiting))
        self.assertFalse(batch.submit(_job('4')))

    def test_version_at_the_first_step(self):
        """A job is of the version at its first step, to its end."""
        batch = batching.Batch(step=0, capacity=1, waiting=1)
        batch.serve('v1')
        first, second = _job('a'), _job('b')
        batch.submit(first)
        batch.submit(second)
        batch.advance()
        batch.serve('v2')
        batch.advance()
        batch.advance()
        self.assertEqual(('v1', 'v2'), (first.version, second.version))

    def test_cancel_while_waiting(self):
        """A job that is cancelled before its turn has not been run."""
        batch = batching.Batch(step=0, capacity=1, waiting=1)
        waiting = _job('b')
        batch.submit(_job('a'))
        batch.submit(waiting)
        batch.advance()
        self.assertTrue(batch.cancel('b'))
        self.assertFalse(batch.cancel('b'))
        self.assertEqual({'a': 1}, batch.runs_by_id())
        self.assertRaises(batching.JobCancelled, list, waiting.tokens())
