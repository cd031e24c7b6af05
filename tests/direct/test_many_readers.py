"""Tests of a region in which many entries follow the store.

If each of them reads the store, the region's link is saturated: a configuration
of 50 KB was written every quarter of a second and read by each of thirteen
entries, 24 Mbit/s over a link of 12 Mbit/s.  Callers got 404 for five seconds on
routes that had been added, and requests reached engines up to five seconds after
they were sent and started on weights beyond their bound.
"""

from __future__ import annotations

import asyncio
import typing

import testtools
from testtools import matchers

from clementinepass.direct import records
from standins import machines, skipped_time

ENTRIES = 13
#: The entries that read for the region while all are alive: the first in order.
READERS = ('127.1.0.1', '127.1.0.10')
#: Most entries of a region that may read each change from the store.
MAX_READERS = 3
#: Seconds within which a change must be in force.
IN_FORCE_SECONDS = 2.0


async def _change(
    world: machines.Machines,
    version: int,
    killed_ips: typing.Collection[str] = (),
) -> float:
    """Write a configuration; return the seconds until all have it in force.

    :param killed_ips: the IP addresses of entries that were killed.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    world.configure({**machines.CONFIG, 'version': version})
    for ip, entry in zip(world.entry_ips, world.entries, strict=True):
        if ip in killed_ips:
            continue
        await machines.until(
            lambda entry=entry: entry.cluster.configuration_version == version,
        )
    return loop.time() - started_at


def run_with_entries(
    scenario: typing.Callable[[machines.Machines], typing.Awaitable[None]],
) -> None:
    """Run a scenario with the entries of one region."""

    async def run_scenario() -> None:
        async with machines.Machines((), entries=ENTRIES) as world:
            await world.all_known()
            await asyncio.sleep(5)
            await scenario(world)

    skipped_time.run(run_scenario())


class ManyReadersTest(testtools.TestCase):
    """A region reads a change a few times, however many entries it has."""

    def test_reads_of_many_changes(self) -> None:
        """Of changes in quick succession each is read by a few entries."""

        async def scenario(world: machines.Machines) -> None:
            handed_out = world.store.handed_out_by_topic
            before = handed_out['keyed.op']
            delays = []
            for version in range(2, 12):
                delays.append(await _change(world, version))
                await asyncio.sleep(0.2)
            reads = handed_out['keyed.op'] - before
            self.assertThat(reads, matchers.LessThan(10 * MAX_READERS + 1))
            self.assertThat(max(delays), matchers.LessThan(IN_FORCE_SECONDS))

        run_with_entries(scenario)

    def test_readers_killed(self) -> None:
        """A change is in force in time after a region's readers were killed.

        It follows just after they were killed, and when the other entries are
        about to notice it.
        """

        async def scenario(world: machines.Machines) -> None:
            for ip in READERS:
                world.kill_entry(ip)
            await asyncio.sleep(seconds_after_kill)
            delay = await _change(world, 2, READERS)
            self.assertThat(delay, matchers.LessThan(IN_FORCE_SECONDS))

        for seconds_after_kill in (0.01, 0.5, 1.0, 3.0):
            run_with_entries(scenario)

    def test_lapsed_during_outage(self) -> None:
        """An endpoint is used on if its listing lapses in an outage.

        All entries use it for a while longer, also those that get the removal
        from a peer: endpoints list themselves again within two seconds.
        """

        async def scenario(world: machines.Machines) -> None:
            world.store.down = True
            await asyncio.sleep(9)
            world.store.put('keyed.servers', 'i-desk', None)
            world.store.down = False
            loop = asyncio.get_running_loop()
            for entry in world.entries:
                topic_follower = entry._followers[records.Topic.ENDPOINTS]
                await machines.until(
                    lambda topic_follower=topic_follower: (
                        topic_follower.state.next_offset == 2
                    ),
                )
                (desk,) = entry.cluster.endpoints
                self.assertTrue(desk.is_usable(loop.time()))

        run_with_entries(scenario)
