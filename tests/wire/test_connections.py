"""Tests of the timeouts of calls between entries and agents."""

from __future__ import annotations

import asyncio
import itertools
import time

import testtools

from clementinepass.wire import connections

#: Seconds for which the event loop is blocked at a time.
_BLOCK_SECONDS = 0.12
#: Number of blocks after which a test gives up.
_MAX_BLOCKS = 40


class WaitForTest(testtools.TestCase):
    """A silent peer is found, whatever this process is doing."""

    def test_paused_once(self) -> None:
        """A pause of this process is no silence of its peers.

        Requests were refused as if there were no endpoint.
        """

        async def wait() -> str:
            answer = asyncio.get_running_loop().create_future()
            waiting = asyncio.create_task(connections.wait_for(answer, 0.2))
            await asyncio.sleep(0)
            time.sleep(0.4)
            # Read from the socket after the pause.
            await asyncio.sleep(0.02)
            answer.set_result('answer')
            return await waiting

        self.assertEqual('answer', asyncio.run(wait()))

    def test_always_late(self) -> None:
        """A process that is always late finds a silent peer, too.

        The wait never ended, as each part of its timeout was late.
        """

        async def count_blocks() -> int:
            answer = asyncio.get_running_loop().create_future()
            waiting = asyncio.create_task(connections.wait_for(answer, 0.04))
            for blocks in itertools.count():
                if waiting.done() or blocks == _MAX_BLOCKS:
                    break
                time.sleep(_BLOCK_SECONDS)
                await asyncio.sleep(0)
            waiting.cancel()
            await asyncio.wait((waiting,))
            self.assertFalse(waiting.cancelled())
            self.assertIsInstance(waiting.exception(), TimeoutError)
            return blocks

        self.assertLess(asyncio.run(count_blocks()), _MAX_BLOCKS)
