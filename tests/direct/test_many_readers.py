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

from clementinepass.direct import records
from standins import machines, skipped_time

ENTRIES = 13
#: Entries that read for the others, if none is gone: the first in order.
READERS = ('127.1.0.1', '127.1.0.10')
#: Entries of a region that may read each change from the store.
MOST_READERS = 3
#: Seconds in which a change is in force.
IN_FORCE_SECONDS = 2.0


async def _change(
    world: machines.Machines,
    version: int,
    gone: typing.Collection[str] = (),
) -> float:
    """Write a configuration; return the seconds until all have it in force.

    :param gone: the IP numbers of entries that were killed.
    """
    loop = asyncio.get_running_loop()
    begun = loop.time()
    world.configure({**machines.CONFIG, 'version': version})
    for ip, one in zip(world.entry_ips, world.entries, strict=True):
        if ip in gone:
            continue
        await machines.until(
            lambda one=one: one.cluster.configuration == version,
        )
    return loop.time() - begun


def played(
    play: typing.Callable[[machines.Machines], typing.Awaitable[None]],
) -> None:
    """Play with the entries of one region."""

    async def whole() -> None:
        async with machines.Machines((), entries=ENTRIES) as world:
            await world.all_known()
            await asyncio.sleep(5)
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

    def test_readers_killed(self) -> None:
        """Those who read for the others are killed, and a change follows.

        Just after, and when the others are about to notice.
        """

        async def play(world: machines.Machines) -> None:
            for ip in READERS:
                world.kill_entry(ip)
            await asyncio.sleep(killed_before)
            late = await _change(world, 2, READERS)
            self.assertThat(late, matchers.LessThan(IN_FORCE_SECONDS))

        for killed_before in (0.01, 0.5, 1.0, 3.0):
            played(play)

    def test_lapsed_during_outage(self) -> None:
        """An endpoint's listing lapses while the store is away.

        All entries use it for a while longer, also those that others tell of
        it: endpoints list themselves again within two seconds.
        """

        async def play(world: machines.Machines) -> None:
            world.store.down = True
            await asyncio.sleep(9)
            world.store.put('keyed.servers', 'i-desk', None)
            world.store.down = False
            loop = asyncio.get_running_loop()
            for one in world.entries:
                follow = one._followers[records.Topic.ENDPOINTS]
                await machines.until(
                    lambda follow=follow: follow.known.next_offset == 2,
                )
                (desk,) = one.cluster.endpoints
                self.assertTrue(desk.is_usable(loop.time()))

        played(play)
