"""Tests of an agent that leaves."""

from __future__ import annotations

import asyncio

import testtools

from clementinepass import clock as clocks
from clementinepass.agent import agent as agents
from clementinepass.agent import gate as gates
from clementinepass.wire import messages


class DrainTest(testtools.TestCase):
    """A draining agent stays until entries have heard of it."""

    def test_stays_to_refuse_what_is_on_its_way(self) -> None:
        """A dispatch that crosses with the drain is refused as not run.

        A user sees: a dispatch "may have run" while instances are replaced in
        good order. The agent had nothing to finish and ended at once; an entry
        had just sent a call and found nobody.
        """

        async def main() -> None:
            gate = gates.Gate('crews', versioned=False, capacity=1)
            gate.open('')
            agent = agents.Agent(
                messages.Peer('agent-0', 1, 'east'),
                gate,
                workload=None,
                executor=None,
                limits=agents.Limits(1, 2, 0),
                clock=clocks.ManualClock(),
            )
            leaving = asyncio.create_task(agent.drain(grace=30))
            for _ in range(3):
                await asyncio.sleep(0)
            self.assertFalse(leaving.done())
            self.assertIs(messages.Phase.DRAINING, gate.phase)
            leaving.cancel()

        asyncio.run(main())
