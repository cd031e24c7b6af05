"""Tests of the event loop of tests whose clock leaves out delays."""

from __future__ import annotations

import asyncio
import time

import testtools

from tests.direct import steady_loop


class SteadyLoopTest(testtools.TestCase):
    """A process that is delayed lets no timer end before what was due."""

    def test_answer_before_timeout(self) -> None:
        """An answer that was under way comes before a later timeout.

        On the usual clock the timeout has ended once the delay is over.
        """

        async def scenario() -> list[str]:
            loop = asyncio.get_running_loop()
            ends: list[str] = []
            loop.call_later(0.1, ends.append, 'timeout')
            loop.call_later(0.02, loop.call_later, 0.02, ends.append, 'answer')
            loop.call_later(0.01, time.sleep, 0.2)
            while len(ends) < 2:
                await asyncio.sleep(0.01)
            return ends

        with asyncio.Runner(loop_factory=steady_loop.SteadyLoop) as runner:
            self.assertEqual(['answer', 'timeout'], runner.run(scenario()))
        with asyncio.Runner() as runner:
            self.assertEqual(['timeout', 'answer'], runner.run(scenario()))

    def test_keeps_time(self) -> None:
        """The clock runs as usual while nothing is delayed."""

        async def scenario() -> float:
            loop = asyncio.get_running_loop()
            began = loop.time()
            await asyncio.sleep(0.2)
            return loop.time() - began

        with asyncio.Runner(loop_factory=steady_loop.SteadyLoop) as runner:
            self.assertGreaterEqual(runner.run(scenario()), 0.199)
