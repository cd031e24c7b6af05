"""Tests of many processes that start at the same moment."""

from __future__ import annotations

import asyncio

import testtools

from standins import machines, weights_origin

#: Entries that start together; one of them is the seed of the others.
ENTRIES = 12
#: Processes that read the list of endpoints from the store at most: the seed,
#: and one that nobody had told in time. Each asks twice, for the end first.
MOST_READERS = 2
CALLS_EACH = 2
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

        async def story() -> None:
            engines = [
                weights_origin.LoadingEngine(
                    machines.LAYERS, machines.CHUNKS, 1
                )
            ]
            world = machines.Machines(engines, entries=ENTRIES)
            async with asyncio.timeout(30), world:
                begun = asyncio.get_running_loop().time()
                await machines.until(
                    lambda: all(one.is_ready for one in world.entries)
                )
                took = asyncio.get_running_loop().time() - begun
                self.assertLess(took, READY_SECONDS)
                self.assertLessEqual(
                    world.store.newest_by_topic['keyed.servers'],
                    MOST_READERS * CALLS_EACH,
                )

        asyncio.run(story())
