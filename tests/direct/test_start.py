"""Tests of many processes that start at once."""

from __future__ import annotations

import asyncio

import testtools

from standins import machines, weights_origin
from tests.direct import steady_loop

#: Number of entries that start together; one of them is the others' seed.
ENTRY_COUNT = 12
#: Maximum number of processes that read the list of endpoints from the store:
#: the seed, and one that received no records in time. Each reads twice, first to
#: find the end of the list.
MAX_READERS = 2
CALLS_PER_READER = 2
#: Seconds within which all entries are ready.
READY_SECONDS = 2


class StartTest(testtools.TestCase):
    """All processes of a system restart at once."""

    def test_few_entries_read_the_store(self) -> None:
        """Few entries read the list of endpoints; the others copy it from them.

        After a restart of a system of 300 processes, entries of remote regions
        were ready only after four seconds. Each process read the whole list from
        the store twice, over one link per region. The link was full for seconds,
        and half of the requests were refused meanwhile.
        """

        async def scenario() -> None:
            engines = [
                weights_origin.LoadingEngine(
                    machines.LAYERS, machines.CHUNKS, 1
                )
            ]
            world = machines.Machines(engines, entries=ENTRY_COUNT)
            async with asyncio.timeout(30), world:
                started_at = asyncio.get_running_loop().time()
                await machines.until(
                    lambda: all(entry.is_ready for entry in world.entries)
                )
                seconds = asyncio.get_running_loop().time() - started_at
                self.assertLess(seconds, READY_SECONDS)
                self.assertLessEqual(
                    world.store.newest_by_topic['keyed.servers'],
                    MAX_READERS * CALLS_PER_READER,
                )

        with asyncio.Runner(loop_factory=steady_loop.SteadyLoop) as runner:
            runner.run(scenario())
