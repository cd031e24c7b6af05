"""Tests of reads of the store that are never answered.

Callers got 404 on a route that had been added five seconds before, from all
entries. All had begun to read on at the same moment, that of the change before;
then each of these reads fell silent, without a reset, while new connections to
the store were answered. An entry noticed it when its read was overdue, 9 s after
its begin, and no peer could tell it before, since all were deaf.

Evidence: nine entries wrote 'store lost' within 0.1 s of one another, each 9.0 s
after its read's last answer, none took records from a peer before, and each was
answered 0.1 s later on a new connection, while its other read still hung.
"""

from __future__ import annotations

import asyncio

import testtools
from testtools import matchers

from clementinepass.direct import node
from standins import machines, skipped_time

#: Seconds in which a change is in force, where nothing is disturbed.
IN_FORCE_SECONDS = 2.0
#: Seconds in which a change is in force that came while reads were silent: the
#: time after a disturbance for which no bound holds.
SETTLED_SECONDS = node.SystemLimits().settling


def _configure(world: machines.Machines, version: int) -> None:
    world.configure({**machines.CONFIG, 'version': version})


async def _in_force(world: machines.Machines, version: int) -> float:
    """Return when a configuration is in force at all entries."""
    for one in world.entries:
        await machines.until(
            lambda one=one: one.cluster.configuration == version,
        )
    return asyncio.get_running_loop().time()


def late(
    entries: int,
    *,
    silent_after: float,
    change_after: float,
    regions: int = 1,
) -> float:
    """Return the seconds until a change is in force at all entries.

    :param entries: how many there are; each region has two that read the store,
        or all of up to three.
    :param silent_after: seconds from a change, which all hear of and then read
        on, until all reads are silent.
    :param change_after: seconds from then until the next change.
    """

    async def played() -> float:
        world = machines.Machines((), entries=entries, regions=regions)
        async with world:
            await world.all_known()
            await asyncio.sleep(1)
            _configure(world, 2)
            await _in_force(world, 2)
            await asyncio.sleep(silent_after)
            world.store.silence()
            await asyncio.sleep(change_after)
            begun = asyncio.get_running_loop().time()
            _configure(world, 3)
            return await _in_force(world, 3) - begun

    return skipped_time.run(played())


class SilentReadsTest(testtools.TestCase):
    """A change is in force in time, though all reads fell silent."""

    def test_in_force_in_time(self) -> None:
        """One entry, some and many; silent soon and late after a change.

        The next change comes just after the silence, and long after.
        """
        cases = ((3, 0.1), (3, 1.7), (3, 4.1), (9, 0.9), (1, 2.3))
        for entries, silent_after in cases:
            self.check(entries, silent_after)

    def test_regions(self) -> None:
        """Entries in three regions: all read, and two of each."""
        for entries, silent_after in ((9, 0.1), (9, 3.3), (15, 2.1)):
            self.check(entries, silent_after, regions=3)

    def check(
        self,
        entries: int,
        silent_after: float,
        regions: int = 1,
    ) -> None:
        """Check that changes are in force in time."""
        for change_after in (0.05, 0.7, 1.5, 3.2, 5.0):
            seconds = late(
                entries,
                silent_after=silent_after,
                change_after=change_after,
                regions=regions,
            )
            allowed = max(SETTLED_SECONDS - change_after, IN_FORCE_SECONDS)
            self.assertThat(
                seconds,
                matchers.LessThan(allowed),
                f'{entries} entries, silent {silent_after} s after a change, '
                f'the next {change_after} s later',
            )
