"""Tests of a store that comes back from a copy some seconds old.

The offsets known to entries were ahead of the store's.  They read the newest
records again and again, 850 calls a second, took records at offsets that they
had passed for old ones, and served by an old configuration and at an endpoint
that had left until the store had grown past those offsets.
"""

from __future__ import annotations

import asyncio
import contextlib
import typing

import testtools
from testtools import matchers

from standins import drills, machines, skipped_time

#: Seconds in which a change must be in force.
BOUND_SECONDS = 2.0
#: Seconds after the store's return in which endpoints list themselves again.
RELIST_SECONDS = 2.0
#: Times the calls of a quiet time that a drill may cost.
MAX_CALLS_FACTOR = 10
#: Calls in a second that the store answers.
MAX_CALLS_PER_SECOND = 300
#: Entries and regions.
CASES = ((1, 1), (3, 1), (9, 3), (12, 3))


class Drill:
    """A system whose store is about to come back from a copy.

    Its copy lacks two configurations and some heartbeats of endpoints.
    """

    def __init__(self, world: machines.Machines) -> None:
        self.world = world
        self.store = world.store
        self.store.max_calls_per_second = MAX_CALLS_PER_SECOND
        self.operator = drills.Operator(world)
        self.watch = drills.Watch(world)
        #: Calls to the store in two seconds without a change.
        self.quiet_calls = 0
        self.sequence = 10

    async def prepare(self) -> None:
        """Start, and make the copy before the last changes."""
        await self.world.all_known()
        self.stays, self.leaves = await self.world.replace_desk(2)
        await asyncio.sleep(3)
        before = self.store.calls
        await asyncio.sleep(2)
        self.quiet_calls = self.store.calls - before
        self.store.make_copy()
        self.operator.configure()
        self.list_all(5)
        self.operator.configure()
        await asyncio.sleep(1.5)

    def list_all(self, count: int = 1) -> None:
        """Have both endpoints write heartbeats."""
        for _ in range(count):
            self.sequence += 1
            for endpoint in (self.stays, self.leaves):
                drills.list_endpoint(self.world, endpoint, self.sequence)

    def drain(self) -> None:
        """Have an endpoint write that it leaves."""
        self.sequence += 1
        drills.list_endpoint(
            self.world, self.leaves, self.sequence, state='draining'
        )

    async def come_back(self, seconds_away: float = 0.7) -> None:
        """Let the store be away, and come back from its copy."""
        self.store.down = True
        await asyncio.sleep(seconds_away)
        self.store.restore_copy()

    def is_drained(self) -> bool:
        """Return whether no entry uses the endpoint that leaves."""
        return not any(
            drills.is_used(one, self.leaves.id) for one in self.world.entries
        )


def run(
    scenario: typing.Callable[[Drill], typing.Awaitable[None]],
    entries: int = 9,
    regions: int = 3,
) -> None:
    """Run a scenario; nothing may go back in it."""

    async def run_scenario() -> None:
        world = machines.Machines((), entries=entries, regions=regions)
        async with world:
            drill = Drill(world)
            await drill.prepare()
            watching = asyncio.create_task(drill.watch.run())
            await scenario(drill)
            watching.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await watching
            if drill.watch.broken:
                raise AssertionError(drill.watch.broken[:3])

    skipped_time.run(run_scenario())


class DrillTest(testtools.TestCase):
    """What is written after the store's return is in force in time."""

    async def check_changes(self, drill: Drill) -> None:
        """Check that a configuration and a leaving endpoint are seen."""
        in_force, drained = await asyncio.gather(
            drills.seconds_until(drill.operator.is_in_force, 12),
            drills.seconds_until(drill.is_drained, 12),
        )
        self.assertThat(in_force, matchers.LessThan(BOUND_SECONDS))
        self.assertThat(drained, matchers.LessThan(BOUND_SECONDS))

    async def change_and_check(self, drill: Drill) -> None:
        """Check changes that are written a second after the return."""
        await asyncio.sleep(1)
        drill.operator.configure()
        drill.drain()
        await self.check_changes(drill)

    def test_offsets_ahead_of_the_store(self) -> None:
        """The store ends before the offsets that entries have read."""

        async def scenario(drill: Drill) -> None:
            await drill.come_back()
            await self.change_and_check(drill)

        for entries, regions in CASES:
            run(scenario, entries, regions)

    def test_calls_have_a_pause(self) -> None:
        """The store isn't called without a pause after its return."""

        async def scenario(drill: Drill) -> None:
            await drill.come_back()
            before = drill.store.calls
            await asyncio.sleep(2)
            calls = drill.store.calls - before
            allowed = MAX_CALLS_FACTOR * drill.quiet_calls
            self.assertThat(calls, matchers.LessThan(allowed))

        run(scenario)

    def test_offsets_given_out_again(self) -> None:
        """New records have reached the offsets that entries have read."""

        async def scenario(drill: Drill) -> None:
            drill.store.down = True
            await asyncio.sleep(seconds_away)
            drill.store.restore_copy()
            drill.operator.configure()
            drill.drain()
            for version in range(2, 10):
                record = {'model': 'm', 'version': version}
                drill.store.put('keyed.op', 'version/m', record)
            for _ in range(12):
                drill.sequence += 1
                drills.list_endpoint(drill.world, drill.stays, drill.sequence)
            await self.check_changes(drill)

        for seconds_away in (0.2, 0.7, 2.1):
            run(scenario)
            run(scenario, 3, 1)

    def test_open_reads_hang(self) -> None:
        """The reads that were open at the drill are never answered."""

        async def scenario(drill: Drill) -> None:
            drill.store.silence()
            await drill.come_back()
            await self.change_and_check(drill)

        for entries, regions in CASES:
            run(scenario, entries, regions)

    def test_two_drills(self) -> None:
        """The store comes back twice, the second time a second later."""

        async def scenario(drill: Drill) -> None:
            await drill.come_back()
            await asyncio.sleep(1)
            drill.store.make_copy()
            await drill.come_back()
            await self.change_and_check(drill)

        for entries, regions in CASES:
            run(scenario, entries, regions)

    def test_started_meanwhile(self) -> None:
        """An entry that starts during a drill is not led back by others."""

        async def scenario(drill: Drill) -> None:
            drill.store.down = True
            await asyncio.sleep(0.3)
            drill.world.add_entry()
            await asyncio.sleep(0.4)
            drill.store.restore_copy()
            await self.change_and_check(drill)

        run(scenario)
        run(scenario, 3, 1)

    def test_entries_are_listed_again(self) -> None:
        """The list of entries, which the copy lacks, is written again."""

        async def scenario(drill: Drill) -> None:
            drill.store.put_copy('keyed.entries', [])
            await drill.come_back()
            await asyncio.sleep(4)
            listed = drill.store.keys('keyed.entries')
            self.assertEqual(
                sorted(drill.world.entry_ips), sorted(map(bytes.decode, listed))
            )

        for entries, regions in CASES:
            run(scenario, entries, regions)


class NothingGoesBackTest(testtools.TestCase):
    """The copy shows some keys as they were before."""

    def test_configuration(self) -> None:
        """The newest configurations are missing, and are written again."""

        async def scenario(drill: Drill) -> None:
            await drill.come_back()
            await asyncio.sleep(1)
            newest = drill.operator.version
            drill.operator.write_again([newest - 1])
            await asyncio.sleep(0.5)
            drill.operator.write_again([newest])
            await asyncio.sleep(0.5)
            self.assertTrue(drill.operator.is_in_force())

        run(scenario)

    def test_draining_endpoint(self) -> None:
        """The copy shows an endpoint as ready that is known to drain."""

        async def scenario(drill: Drill) -> None:
            drill.drain()
            await asyncio.sleep(1)
            self.assertTrue(drill.is_drained())
            drill.watch.unusable_ids.add(drill.leaves.id)
            await drill.come_back()
            await asyncio.sleep(1.5)
            drill.drain()
            await asyncio.sleep(3)

        run(scenario)

    def test_removed_endpoint(self) -> None:
        """The copy lists an endpoint that is known to be gone."""

        async def scenario(drill: Drill) -> None:
            drill.store.put('keyed.servers', drill.leaves.id, None)
            await asyncio.sleep(3)
            self.assertTrue(drill.is_drained())
            drill.watch.unusable_ids.add(drill.leaves.id)
            await drill.come_back()
            await asyncio.sleep(1.5)
            drill.store.put('keyed.servers', drill.leaves.id, None)
            await asyncio.sleep(3)

        run(scenario)

    def test_removed_and_listed_anew(self) -> None:
        """An endpoint that lapsed lists itself again after a drill."""

        async def scenario(drill: Drill) -> None:
            drill.store.put('keyed.servers', drill.leaves.id, None)
            await asyncio.sleep(3)
            await drill.come_back()
            await asyncio.sleep(1)
            drill.list_all()
            await asyncio.sleep(1)
            for one in drill.world.entries:
                self.assertTrue(drills.is_used(one, drill.leaves.id))

        run(scenario)


class MissingEndpointTest(testtools.TestCase):
    """The copy lacks an endpoint that listed itself lately."""

    def test_listed_again(self) -> None:
        """It is used until it has listed itself again, and after that."""

        async def scenario(drill: Drill) -> None:
            drill.store.drop_from_copy('keyed.servers', drill.stays.id)
            await drill.come_back()
            for _ in range(19):
                await asyncio.sleep(0.1)
                for one in drill.world.entries:
                    self.assertTrue(drills.is_used(one, drill.stays.id))
            drill.list_all()
            await asyncio.sleep(3)
            for one in drill.world.entries:
                self.assertTrue(drills.is_used(one, drill.stays.id))

        run(scenario)

    def test_gone(self) -> None:
        """It is gone if it does not list itself again."""

        async def scenario(drill: Drill) -> None:
            drill.store.drop_from_copy('keyed.servers', drill.stays.id)
            await drill.come_back()
            await asyncio.sleep(RELIST_SECONDS + BOUND_SECONDS)
            for one in drill.world.entries:
                self.assertFalse(drills.is_used(one, drill.stays.id))

        for entries, regions in CASES:
            run(scenario, entries, regions)
