"""Simulations of processes that are killed while a version spreads.

Older weights may be used until the bound after the version was named. Kills
don't move it: a process is bound as soon as it has run for the settling time.
"""

from __future__ import annotations

import asyncio
import os
import random
import typing

import testtools

from clementinepass.direct import cluster_state, heartbeats, node
from standins import machines, skipped_time, weights_origin

#: The first seed of the simulations, and how many there are.
FIRST_SEED = 6
SEED_COUNT = int(os.environ.get('VERSION_BOUND_SEEDS', '3'))
DUTIES = node.SystemLimits(version=8, settling=3)
ENTRY_COUNT = 5
ENGINE_COUNT = 4
#: Seconds between two looks at what the entries allow.
LOOK_SECONDS = 0.05
#: Seconds by which the time that a process knows may be late.
MAX_DELAY_SECONDS = 1
#: Seconds that a slow read of the operator's records takes.
SLOW_READ_SECONDS = 1.8
#: Seconds that a killed process is away.
AWAY_SECONDS = 0.5
#: Seconds for which a simulation goes on after the version was named.
LENGTH_SECONDS = 30


class _Violation(typing.NamedTuple):
    """A process that allows older weights, or names the version, too late.

    :param age: seconds since the version was named.
    :param uptime: seconds since the entry started.
    """

    seed: int
    ip: str
    age: float
    uptime: float


class _Simulation:
    """Entries and agents that are killed while no engine gets a version."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._rng = random.Random(seed)
        engines = [
            weights_origin.LoadingEngine(machines.LAYERS, machines.CHUNKS, 1)
            for _ in range(ENGINE_COUNT)
        ]
        self._world = machines.Machines(engines, DUTIES, entries=ENTRY_COUNT)
        self._world.origin.left = 0
        # Records of the operator are long, and come last.
        self._world.store.newest_delay_by_topic['keyed.op'] = 0.3
        self._started_at_by_ip: dict[str, float] = {}
        self._named_at = 0.0
        #: What entries know of the version after a loss of all entries.
        self.known_times: list[heartbeats.DesiredVersion] = []
        #: Entries that allow older weights after the bound.
        self.late_entries: list[_Violation] = []
        #: Processes that take a later time than that of the naming for known.
        self.late_times: list[_Violation] = []

    async def run(
        self, plan: typing.Callable[[], typing.Awaitable[None]]
    ) -> None:
        """Name a version, and play a plan of kills."""
        async with self._world:
            await self._world.all_known()
            await asyncio.sleep(5)
            now = asyncio.get_running_loop().time()
            self._started_at_by_ip = dict.fromkeys(self._ips, 0)
            self._named_at = now
            self._world.store.put(
                'keyed.op', 'version/m', {'model': 'm', 'version': 2}
            )
            async with asyncio.TaskGroup() as tasks:
                watch = tasks.create_task(self._watch())
                await plan()
                await asyncio.sleep(self._named_at + LENGTH_SECONDS - self._now)
                watch.cancel()

    async def kill(self, ips: typing.Collection[str]) -> None:
        """Kill some processes, and start others in their place."""
        await self._world.kill(ips)
        await asyncio.sleep(AWAY_SECONDS)
        for ip in ips:
            self._started_at_by_ip[ip] = self._now
        self._world.start(ips)

    async def kill_all_twice(self) -> None:
        """Kill all twice, and then entries in groups."""
        for pause in (3, 5):
            await asyncio.sleep(pause)
            await self.kill(self._ips)
        for _ in range(3):
            await asyncio.sleep(1)
            await self.kill(self._draw(self._world.entry_ips, 0.5))

    async def kill_before_slow_reads(self) -> None:
        """Kill all shortly before the bound, and let reads take seconds."""
        await asyncio.sleep(DUTIES.version - 1)
        self._world.store.newest_delay_by_topic['keyed.op'] = SLOW_READ_SECONDS
        await self.kill(self._ips)

    async def kill_entries(self) -> None:
        """Kill all entries, and see what those that follow know."""
        self._world.store.newest_delay_by_topic.clear()
        await asyncio.sleep(3)
        await self.kill(self._world.entry_ips)
        await asyncio.sleep(DUTIES.settling)
        age = self._now - self._named_at
        self.known_times = [
            known
            for one in self._world.entry_by_ip.values()
            for known in one.cluster.desired_versions(self._now)
            if not known.guessed and abs(known.age - age) < MAX_DELAY_SECONDS
        ]

    async def kill_at_random(self) -> None:
        """Kill all, some or the entries alone, at random moments."""
        for _ in range(self._rng.randint(2, 6)):
            await asyncio.sleep(self._rng.uniform(0.2, 4))
            share = self._rng.choice((0.3, 0.7, 1))
            groups = (self._ips, self._world.entry_ips, self._ips)
            group = self._rng.choice(groups)
            await self.kill(self._draw(group, share))

    @property
    def _ips(self) -> list[str]:
        return self._world.engine_ips + self._world.entry_ips

    def _draw(self, ips: list[str], share: float) -> list[str]:
        return self._rng.sample(ips, max(1, round(share * len(ips))))

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            age = self._now - self._named_at
            for ip, one in self._world.entry_by_ip.items():
                uptime = self._now - self._started_at_by_ip[ip]
                if (
                    age > DUTIES.version
                    and uptime > DUTIES.settling
                    and self._allows_older(one.cluster)
                ):
                    self.late_entries.append(self._violation(ip))
            processes = self._world.entry_by_ip | self._world.agent_by_ip
            self.late_times += [
                self._violation(ip)
                for ip, one in processes.items()
                for known in one.cluster.desired_versions(self._now)
                if not known.guessed and known.age < age - MAX_DELAY_SECONDS
            ]

    def _violation(self, ip: str) -> _Violation:
        return _Violation(
            self._seed,
            ip,
            round(self._now - self._named_at, 2),
            round(self._now - self._started_at_by_ip[ip], 2),
        )

    def _allows_older(self, cluster: cluster_state.ClusterState) -> bool:
        if cluster.routing is None:
            return False
        engine = cluster.routing.services_by_name['pool'].engine
        assert engine is not None
        return cluster.required_version(engine, self._now) < 2


class VersionBoundTest(testtools.TestCase):
    """Entries that were killed use older weights only until the bound."""

    def test_all_killed_twice(self) -> None:
        """An agent that is asked for a version does not name it again."""
        simulation = _Simulation(1)
        skipped_time.run(simulation.run(simulation.kill_all_twice))
        self.assertEqual([], simulation.late_times)
        self.assertEqual([], simulation.late_entries)

    def test_all_entries_killed(self) -> None:
        """Agents tell entries that start when the version was named."""
        simulation = _Simulation(1)
        skipped_time.run(simulation.run(simulation.kill_entries))
        self.assertEqual(ENTRY_COUNT, len(simulation.known_times))
        self.assertEqual([], simulation.late_entries)

    def test_slow_start(self) -> None:
        """A process that reads the records late is not bound later."""
        simulation = _Simulation(1)
        skipped_time.run(simulation.run(simulation.kill_before_slow_reads))
        self.assertEqual([], simulation.late_entries)

    def test_killed_at_random(self) -> None:
        """Kills in any order do not move the bound."""
        late_times = []
        late_entries = []
        for seed in range(FIRST_SEED, FIRST_SEED + SEED_COUNT):
            simulation = _Simulation(seed)
            skipped_time.run(simulation.run(simulation.kill_at_random))
            late_times += simulation.late_times
            late_entries += simulation.late_entries
        self.assertEqual([], late_times)
        self.assertEqual([], late_entries)
