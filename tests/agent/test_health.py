"""Tests of the endpoint's liveness."""

from __future__ import annotations

import testtools

from clementinepass import errors
from clementinepass.agent import health

_FAILED = errors.EndpointError(
    'reset',
    step='call',
    peer='engine',
    execution=errors.Execution.MAY_HAVE_RUN,
)


class _Endpoint:
    """Answers, is slow, or is gone, as a test says."""

    def __init__(self) -> None:
        self.answers = True
        self.listens = True
        self.looks_before_gone = -1

    def is_healthy(self) -> bool:
        """Tell whether it answers."""
        return self.answers and self.listens

    def is_gone(self) -> bool:
        """Tell whether nobody listens."""
        if self.looks_before_gone == 0:
            return True
        self.looks_before_gone -= 1
        return not self.listens


class EndpointHealthTest(testtools.TestCase):
    """Only a death is named, and by one name for all its runs."""

    def setUp(self) -> None:
        """Watch an endpoint that lives."""
        super().setUp()
        self.endpoint = _Endpoint()
        self.health = health.EndpointHealth(self.endpoint, 'agent-1/7')
        self.health.check()

    def test_slow_endpoint_has_not_died(self) -> None:
        """A timeout under load makes nobody a suspect.

        A user sees: an innocent request is quarantined. Its engine was too
        busy to answer a status in time, twice, and that counted as a crash.
        """
        self.endpoint.answers = False
        self.assertFalse(self.health.check())
        self.assertEqual('', self.health.crash_of(_FAILED))

    def test_dying_endpoint_is_waited_for(self) -> None:
        """An engine that is just ending counts as dead, not as failing.

        A user sees: one request takes down engine after engine. The dying
        process still took connections for a moment, so its death passed for
        a failed call and the request was simply sent again.
        """
        self.endpoint.answers = False
        self.endpoint.looks_before_gone = 2
        self.assertNotEqual('', self.health.crash_of(_FAILED))

    def test_one_name_for_a_death(self) -> None:
        """All runs that a death ended name the same one; the next differs."""
        self.endpoint.listens = False
        first = {self.health.crash_of(_FAILED) for _ in range(3)}
        self.endpoint.listens = True
        self.health.check()
        self.endpoint.listens = False
        second = self.health.crash_of(_FAILED)
        self.assertEqual(1, len(first))
        self.assertNotIn(second, first)
