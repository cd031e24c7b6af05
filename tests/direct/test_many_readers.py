"""Tests of a region in which many entries follow the store.

Callers got 404 for five seconds on routes that had been added, requests reached
engines up to five seconds after they were sent, and began on weights from before
their bound. A configuration of 50 KB was written each quarter of a second, and
each of thirteen entries of a region read each of them over the one link that the
region has to the store's: 24 Mbit/s over a link of 12.
"""

from __future__ import annotations

import asyncio
import typing

import testtools
from testtools import matchers

from standins import machines, skipped_time

ENTRIES = 13
#: Entries of a region that may read each change from the store.
MOST_READERS = 3
#: Seconds in which a change is in force.
IN_FORCE_SECONDS = 2.0


async def _settled(world: machines.Machines) -> None:
    """Wait until all entries know one another and have read what there is."""
    loop = asyncio.get_running_loop()
    for one in world.entries:
        await machines.until(
            lambda one=one: len(one.offered(loop.time())) == ENTRIES,
        )
    await asyncio.sleep(5)


async def _change(world: machines.Machines, version: int) -> float:
    """Write a configuration; return when it is in force at all entries."""
    loop = asyncio.get_running_loop()
    begun = loop.time()
    world.configure({**machines.CONFIG, 'version': version})
    for one in world.entries:
        await machines.until(
            lambda one=one: one.beliefs.configuration == version,
        )
    return loop.time() - begun


def played(
    play: typing.Callable[[machines.Machines], typing.Awaitable[None]],
) -> None:
    """Play with the entries of one region."""

    async def whole() -> None:
        async with machines.Machines((), entries=ENTRIES) as world:
            await _settled(world)
            await play(world)

    skipped_time.run(whole())


class ManyReadersTest(testtools.TestCase):
    """A change crosses to a region a few times, however many entries it has."""

    def test_reads_of_a_storm(self) -> None:
        """Changes follow one another, and few entries read each."""

        async def play(world: machines.Machines) -> None:
            handed_out = world.store.handed_out_by_topic
            before = handed_out['keyed.op']
            late = []
            for version in range(2, 12):
                late.append(await _change(world, version))
                await asyncio.sleep(0.2)
            read = handed_out['keyed.op'] - before
            self.assertThat(read, matchers.LessThan(10 * MOST_READERS + 1))
            self.assertThat(max(late), matchers.LessThan(IN_FORCE_SECONDS))

        played(play)
