"""Tests of the gate's guards against frozen processes and killers."""

from __future__ import annotations

import msgspec
import testtools

from clementinepass.agent import gate as gates
from clementinepass.requests import identity
from clementinepass.wire import messages

NOW = 1000.0
WALL = 5000.0


def _gate() -> gates.Gate:
    gate = gates.Gate('m', versioned=True, capacity=4)
    gate.open('v1')
    return gate


def _dispatch(request_id: str, **changes: object) -> messages.Dispatch:
    dispatch = messages.Dispatch(
        request_id=request_id,
        attempt=1,
        team='t',
        target='m',
        version='v1',
        method='POST',
        path='/v1/completions',
        content_type='application/json',
        body=b'',
        remaining=30_000,
        stream=False,
        priority=0,
        admit_before=int((WALL + 10) * 1000),
    )
    return msgspec.structs.replace(dispatch, **changes)


class GateGuardsTest(testtools.TestCase):
    """What must not run is refused, and stays refused."""

    def test_dispatch_out_of_a_frozen_process(self) -> None:
        """An agent is frozen with a dispatch in its buffer.

        When it wakes, the claim behind the dispatch has expired and another
        entry has run the request.  What remained when it was sent looks as
        good as ever; the time of day tells.
        """
        verdict = _gate().offer(_dispatch('r1'), NOW, WALL + 3600)
        self.assertEqual(
            (False, gates.Refusal.DEADLINE_PASSED.value),
            (verdict.accepted, verdict.reason),
        )

    def test_suspects_of_two_entries(self) -> None:
        """Two entries send a suspect each; others go on beside one.

        A refused suspect may come back as a new attempt once the first one
        has ended.
        """
        gate = _gate()
        first = _dispatch('r1', suspect=True)
        self.assertTrue(gate.offer(first, NOW, WALL).accepted)
        self.assertTrue(gate.offer(_dispatch('r2'), NOW, WALL).accepted)
        second = _dispatch('r3', suspect=True)
        verdict = gate.offer(second, NOW, WALL)
        self.assertEqual(messages.SUSPECT_RUNNING, verdict.reason)
        gate.finished(identity.AttemptKey('r1', 1))
        again = _dispatch('r3', suspect=True, attempt=2)
        self.assertTrue(gate.offer(again, NOW, WALL).accepted)
