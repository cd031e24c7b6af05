"""Tests of long configurations and the links between regions.

A configuration with thousands of routes was sent twice over each link between
regions, and filled it for a second. Requests and cancellations waited behind it:
requests reached endpoints after their callers had left, and callers got 404 on
routes that had been added.
"""

from __future__ import annotations

import asyncio
import socket
import typing

import msgspec
import testtools
from testtools import matchers

from clementinepass.direct import records
from clementinepass.http import pool
from standins import drills, machines, skipped_time

ENTRIES = 12
REGIONS = 3
ROUTES = 2000
#: The region nearest to the store. In these tests all are equally near, and the
#: first by name counts as the nearest.
STORE_REGION = 'a'
#: Regions that a change has to reach over a link.
OTHER_REGIONS = REGIONS - 1
#: Entries of a region that each read the whole configuration before.
FORMER_READERS = 2
#: Part of the bytes that crossed before which a change may take.
MAX_SHARE = 0.1
#: Seconds after the first entry within which the last one must have a change.
IN_FORCE_SECONDS = 0.3
#: Bandwidth of a link between regions, 12 Mbit/s.
LINK_BYTES_PER_SECOND = 1_500_000
#: Seconds from a change within which it must be in force.
CHANGE_SECONDS = 2.0


def crossed_bytes(world: machines.Machines) -> int:
    """Return the bytes of the operator's records received from elsewhere.

    They came over links between regions.
    """
    total = 0
    for ip, entry in zip(world.entry_ips, world.entries, strict=True):
        if world._region(ip) == STORE_REGION:
            continue
        received = entry._followers[records.Topic.OPERATOR]
        by_source = received.received_bytes_by_source
        total += by_source[records.Source.STORE]
        total += by_source[records.Source.OTHER_REGION]
    return total


async def change(
    world: machines.Machines, config: dict[str, typing.Any]
) -> tuple[int, float]:
    """Write a configuration and wait until it is in force at all entries.

    :returns: the bytes that crossed between regions, and the seconds from the
        first entry to the last.
    """
    before = crossed_bytes(world)
    world.configure(config)
    now = asyncio.get_running_loop().time
    in_force_at: list[float] = []
    for entry in world.entries:
        await machines.until(
            lambda entry=entry: (
                entry.cluster.configuration_version == config['version']
            )
        )
        in_force_at.append(now())
    await asyncio.sleep(2)
    return crossed_bytes(world) - before, max(in_force_at) - min(in_force_at)


class LongConfigurationTest(testtools.TestCase):
    """What has changed crosses to a region once."""

    def run_changes(
        self, *configs: dict[str, typing.Any]
    ) -> list[tuple[int, float]]:
        """Return the bytes that crossed and the seconds of each change."""

        async def scenario() -> list[tuple[int, float]]:
            world = machines.Machines((), entries=ENTRIES, regions=REGIONS)
            async with world:
                await world.all_known()
                await asyncio.sleep(12)
                return [await change(world, config) for config in configs]

        return skipped_time.run(scenario())

    def test_bytes_between_regions(self) -> None:
        """Added routes and a changed timeout take a tenth of the bytes."""
        configs = [
            drills.long_configuration(2, ROUTES),
            drills.long_configuration(3, ROUTES),
            drills.long_configuration(4, 2 * ROUTES),
        ]
        for config, (crossed, _) in zip(
            configs, self.run_changes(*configs), strict=True
        ):
            whole = len(msgspec.json.encode(config))
            before = whole * FORMER_READERS * OTHER_REGIONS
            self.assertThat(
                crossed, matchers.LessThan(before * MAX_SHARE), str(before)
            )

    def test_in_force_in_time(self) -> None:
        """All entries have a change soon after the first one has it."""
        for _, seconds in self.run_changes(
            drills.long_configuration(2, ROUTES),
            drills.long_configuration(3, ROUTES),
        ):
            self.assertThat(seconds, matchers.LessThan(IN_FORCE_SECONDS))


class NearestRegionTest(testtools.TestCase):
    """The other regions do not depend on the entries nearest to the store."""

    def delay(
        self,
        disturb: typing.Callable[[machines.Machines, list[str]], None],
        seconds: float,
    ) -> float:
        """Return the seconds until a change is in force in other regions.

        :param disturb: disturbs the entries of the nearest region, whose IP
            addresses it gets.
        :param seconds: time from then until the change.
        """

        async def scenario() -> float:
            world = machines.Machines((), entries=ENTRIES, regions=REGIONS)
            async with world:
                await world.all_known()
                world.store.bytes_per_second = LINK_BYTES_PER_SECOND
                await asyncio.sleep(12)
                ips = [
                    ip
                    for ip in world.entry_ips
                    if world._region(ip) == STORE_REGION
                ]
                disturb(world, ips)
                await asyncio.sleep(seconds)
                now = asyncio.get_running_loop().time
                started_at = now()
                world.configure(drills.long_configuration(2, ROUTES))
                for ip, entry in zip(
                    world.entry_ips, world.entries, strict=True
                ):
                    if ip not in ips:
                        await machines.until(
                            lambda entry=entry: (
                                entry.cluster.configuration_version == 2
                            )
                        )
                return now() - started_at

        return skipped_time.run(scenario())

    def check(
        self,
        disturb: typing.Callable[[machines.Machines, list[str]], None],
    ) -> None:
        """Check that a change is in force in time after a disturbance."""
        for seconds in (0.01, 0.5, 1.1, 3.0):
            self.assertThat(
                self.delay(disturb, seconds),
                matchers.LessThan(CHANGE_SECONDS),
                f'{seconds} s after the disturbance',
            )

    def test_killed(self) -> None:
        """All entries of the nearest region are killed before a change."""

        def disturb(world: machines.Machines, ips: list[str]) -> None:
            for ip in ips:
                world.kill_entry(ip)

        self.check(disturb)

    def test_store_silent_to_the_readers(self) -> None:
        """The store says nothing to the two entries that read for all.

        Their reads are open and seem to wait for a change. The other entries
        notice that there is one.
        """

        def disturb(world: machines.Machines, ips: list[str]) -> None:
            ips.sort()
            del ips[2:]
            for ip, entry in zip(world.entry_ips, world.entries, strict=True):
                if ip in ips:
                    silent = pool.Pool(*silent_address)
                    entry._adapters.store._pool = silent
            world.store.silence()

        with socket.create_server(('127.0.0.1', 0)) as server:
            # Connections are accepted by the kernel and never answered.
            silent_address = server.getsockname()
            self.check(disturb)

    def test_rejected_by_the_store(self) -> None:
        """The store rejects the entries of the nearest region only."""

        def disturb(world: machines.Machines, ips: list[str]) -> None:
            for ip, entry in zip(world.entry_ips, world.entries, strict=True):
                if ip in ips:
                    unreachable = pool.Pool(ip, machines.free_port([ip]))
                    entry._adapters.store._pool = unreachable
            world.store.silence()

        self.check(disturb)
