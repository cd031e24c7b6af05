"""Tests of many processes that start at the same moment."""

from __future__ import annotations

import asyncio

import testtools

from standins import machines, weights_origin

#: Entries that start together; one of them is the seed of the others.
ENTRY_COUNT = 12
#: Processes that read the list of endpoints from the store at most: the seed,
#: and one that nobody had told in time. Each asks twice, for the end first.
MAX_READERS = 2
CALLS_PER_READER = 2
#: Seconds until all are ready.
READY_SECONDS = 2


class StartTest(testtools.TestCase):
    """All processes of a system were killed and start again."""

    def test_few_read_the_store(self) -> None:
        """Entries of far regions were ready after four seconds.

        All processes of a system of 300 were killed. Each read the whole list
        of endpoints from the store, twice, and those of a region share one
        link to the store: it was full for seconds, and half of the requests
        were refused meanwhile. What one of them reads the others can have
        from it.
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

        asyncio.run(scenario())
