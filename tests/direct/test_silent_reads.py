"""Tests of reads of the store that hang without an answer.

If all entries start their reads at the moment of a change and all those
connections then go silent, without a reset, no entry notices before its read is
overdue, 9 s after its start, and no peer can supply the next change.  Callers
got 404 from all entries on a route that had been added five seconds before.

Nine entries logged 'store lost' within 0.1 s of one another, each 9.0 s after
the last answer to its read.  None had fetched records from a peer before, and
the store answered each of them 0.1 s later on a new connection, while its other
read still hung.
"""

from __future__ import annotations

import asyncio

import testtools
from testtools import matchers

from clementinepass.direct import node
from standins import machines, skipped_time

#: Seconds within which a change must be in force without a disturbance.
IN_FORCE_SECONDS = 2.0
#: Seconds within which a change made while reads hang must be in force: the
#: time after a disturbance for which no bound holds.
SETTLED_SECONDS = node.SystemLimits().settling


def _configure(world: machines.Machines, version: int) -> None:
    world.configure({**machines.CONFIG, 'version': version})


async def _in_force(world: machines.Machines, version: int) -> float:
    """Return the time when a configuration is in force at all entries."""
    for entry in world.entries:
        await machines.until(
            lambda entry=entry: entry.cluster.configuration_version == version,
        )
    return asyncio.get_running_loop().time()


def change_delay(
    entries: int,
    *,
    silent_after: float,
    change_after: float,
    regions: int = 1,
) -> float:
    """Return the seconds until a change is in force at all entries.

    :param entries: the number of entries. Two of each region read the store;
        in a region of up to three all do.
    :param silent_after: seconds from a change, after which all entries start
        the next read, until all reads hang.
    :param change_after: seconds from then until the next change.
    """

    async def scenario() -> float:
        world = machines.Machines((), entries=entries, regions=regions)
        async with world:
            await world.all_known()
            await asyncio.sleep(1)
            _configure(world, 2)
            await _in_force(world, 2)
            await asyncio.sleep(silent_after)
            world.store.silence()
            await asyncio.sleep(change_after)
            started_at = asyncio.get_running_loop().time()
            _configure(world, 3)
            return await _in_force(world, 3) - started_at

    return skipped_time.run(scenario())


class SilentReadsTest(testtools.TestCase):
    """A change is in force in time although all reads hang."""

    def test_in_force_in_time(self) -> None:
        """One, some and many entries, whose reads hang soon or late.

        The next change comes just after the reads begin to hang, or long
        after.
        """
        cases = ((3, 0.1), (3, 1.7), (3, 4.1), (9, 0.9), (1, 2.3))
        for entries, silent_after in cases:
            self.check(entries, silent_after)

    def test_regions(self) -> None:
        """Entries in three regions, where all read and where two of each do."""
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
            seconds = change_delay(
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
