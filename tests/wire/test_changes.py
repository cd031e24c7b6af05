"""Tests of waiting for a newer state."""

from __future__ import annotations

import asyncio

import testtools

from clementinepass.wire import changes


class SequenceTest(testtools.TestCase):
    """Peers wait for changes until they go away."""

    def test_returns_at_a_change(self) -> None:
        """A waiting call returns once the number differs."""

        async def wait() -> int:
            sequence = changes.Sequence()
            waiting = asyncio.create_task(sequence.wait_for_newer(1, 60))
            await asyncio.sleep(0)
            sequence.advance()
            await waiting
            await sequence.wait_for_newer(1, 60)
            return sequence.number

        self.assertEqual(2, asyncio.run(wait()))

    def test_returns_at_the_timeout(self) -> None:
        """A call whose state does not change is answered all the same."""

        async def wait() -> int:
            sequence = changes.Sequence()
            await sequence.wait_for_newer(1, 0.01)
            return sequence.number

        self.assertEqual(1, asyncio.run(wait()))

    def test_cancelled_at_a_change(self) -> None:
        """A call whose connection is lost at a change writes no results.

        The process crashed, as the results had been freed.
        """

        async def is_cancelled(steps: int) -> bool:
            sequence = changes.Sequence()
            waiting = asyncio.create_task(sequence.wait_for_newer(1, 60))
            await asyncio.sleep(0)
            sequence.advance()
            for _ in range(steps):
                await asyncio.sleep(0)
            if waiting.done():
                return True
            waiting.cancel()
            await asyncio.wait((waiting,))
            return waiting.cancelled()

        for steps in range(5):
            self.assertTrue(asyncio.run(is_cancelled(steps)), steps)

    def test_cancelled_at_the_timeout(self) -> None:
        """A call whose connection is lost at its timeout writes no results."""

        async def is_cancelled() -> bool:
            sequence = changes.Sequence()
            waiting = asyncio.create_task(sequence.wait_for_newer(1, 0))
            # The wait has begun, and its timeout expires in the next step.
            await asyncio.sleep(0)
            self.assertFalse(waiting.done())
            waiting.cancel()
            await asyncio.wait((waiting,))
            return waiting.cancelled()

        self.assertTrue(asyncio.run(is_cancelled()))
