"""Soak the direct path: ``scripts/bench soak [--seeds 50] [--first 1]``.

Entries of several regions on loopback, by skipped time, while disturbances come
in series and overlap: the store is away, comes back from a copy or leaves reads
without an answer; configurations are written, some of them long; entries are
killed and others start; endpoints leave and others come, cold; a failure domain
is evacuated.  Callers go on using their open connections.  Checked all the
while: a change is in force in time once nothing is disturbed, nothing goes
back, an endpoint that has left is not used, a cold one gets no more than its
bound, and the store is not called more often than it allows.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import random
import sys
import typing

from loguru import logger

from clementinepass.direct import node
from clementinepass.http import channel, messages, pool
from standins import (
    cold_start,
    direct_endpoint,
    drills,
    machines,
    skipped_time,
)

#: Seconds in which a change must be in force, and in which an endpoint that
#: leaves gets no more requests.
_BOUND_SECONDS = 2.0
#: Seconds after a disturbance in which no bound holds.
_SETTLING_SECONDS = node.SystemLimits().settling
#: Calls in a second that the store answers for each entry.
_CALLS_PER_ENTRY = 12
_LONG_CONFIGURATION_ROUTES = 300
_CALLERS = 6
_OK = 200
_UNAVAILABLE = 503
#: Seconds of a run, and the time at its end without disturbances.
_SECONDS = 60.0
_QUIET_SECONDS = _SETTLING_SECONDS + _BOUND_SECONDS + 1
#: The failure domain that is evacuated; every second endpoint is there.
_EVACUATED_DOMAIN = 'b'
_COLD_SECONDS = 3.0
_COLD_RATE = 2
_LIMITS = node.SystemLimits(version=1.5, cold_overrun=1.5, cold_slack=2)
_COLD_BOUND = _COLD_RATE * _LIMITS.cold_overrun + _LIMITS.cold_slack
_CONFIG: dict[str, typing.Any] = {
    **machines.CONFIG,
    'services': [
        {
            'name': 'desk',
            'coldStartS': _COLD_SECONDS,
            'coldPerS': _COLD_RATE,
        },
        *machines.CONFIG['services'][1:],
    ],
}


class Soak:
    """One run with disturbances drawn by a seed."""

    def __init__(self, seed: int, seconds: float = _SECONDS) -> None:
        self._rng = random.Random(seed)
        self._seconds = seconds
        regions = self._rng.choice((1, 2, 3))
        entries = self._rng.choice((3, 5, 9, 12))
        self._world = machines.Machines(
            (), _LIMITS, _CONFIG, entries=entries, regions=regions
        )
        self._operator = drills.Operator(self._world, _CONFIG)
        self._watch = drills.Watch(self._world)
        self._endpoints: list[direct_endpoint.DirectEndpoint] = []
        self._leaving: dict[str, direct_endpoint.DirectEndpoint] = {}
        self._left_at: dict[str, float] = {}
        #: Whether the domain is evacuated, and since when this is so.
        self._is_evacuated = False
        self._evacuated_since: float = 0
        self._sequence = 100
        self._disturbed_at: float = 0
        self._is_drilling = False
        self._killed_ips: set[str] = set()
        self._ready_at_by_ip: dict[str, float] = {}
        self._written_at: dict[int, float] = {}
        #: How often each disturbance came, and each status of an answer.
        self.events: collections.Counter[str] = collections.Counter()
        self.statuses: collections.Counter[str] = collections.Counter()
        #: What was against the rules, a line each.
        self.broken: list[str] = []

    async def run(self) -> None:
        """Play the run."""
        async with self._world, contextlib.AsyncExitStack() as stack:
            await self._world.all_known()
            for _ in range(3):
                await self._add_endpoint(stack)
            self._world.store.put('keyed.servers', self._world.desk.id, None)
            self._world.store.max_calls_per_second = _CALLS_PER_ENTRY * len(
                self._world.entries
            )
            await asyncio.sleep(_QUIET_SECONDS)
            background = [
                asyncio.create_task(job)
                for job in (
                    self._watch.run(),
                    self._check(),
                    self._heartbeat(),
                    *(self._call(number) for number in range(_CALLERS)),
                )
            ]
            await self._disturb(stack)
            await asyncio.sleep(_QUIET_SECONDS)
            self._check_end()
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)
        self.broken.extend(self._watch.broken)
        rejected = self._world.store.rejected_calls
        if rejected:
            self.broken.append(f'the store rejected {rejected} calls')

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _disturb(self, stack: contextlib.AsyncExitStack) -> None:
        """Let disturbances come one after the other and overlap."""
        disturbances = (
            (self._configure, 6),
            (self._configure_long, 2),
            (self._drill, 3),
            (self._silence, 2),
            (self._outage, 1),
            (self._kill, 2),
            (lambda: self._replace_endpoint(stack), 2),
            (self._evacuate, 2),
        )
        ends_at = self._now + self._seconds
        async with asyncio.TaskGroup() as tasks:
            while self._now < ends_at:
                disturbance = self._rng.choices(
                    [one for one, _ in disturbances],
                    [weight for _, weight in disturbances],
                )[0]
                tasks.create_task(disturbance())
                await asyncio.sleep(self._rng.choice((0.1, 0.5, 1, 3, 7)))

    async def _configure(self, routes: int = 0) -> None:
        self.events['configuration'] += 1
        if self._world.store.down:
            return
        self._operator.configure(routes)
        self._written_at[self._operator.version] = self._now

    async def _configure_long(self) -> None:
        await self._configure(_LONG_CONFIGURATION_ROUTES)

    async def _drill(self) -> None:
        """Put the store back to a copy; what was lost is written again."""
        if self._is_drilling:
            return
        self.events['drill'] += 1
        self._is_drilling = True
        store = self._world.store
        store.make_copy()
        copied = self._operator.version
        await asyncio.sleep(self._rng.uniform(0.2, 4))
        if self._rng.random() < 1 / 3:
            store.silence()
        store.down = True
        await asyncio.sleep(self._rng.uniform(0.1, 2))
        store.restore_copy()
        self._disturbed_at = self._now
        await asyncio.sleep(self._rng.uniform(0.1, 1.8))
        lost = [one for one in self._written_at if one > copied]
        for version in lost:
            self._written_at[version] = self._now
        self._operator.write_again(lost)
        self._world.evacuate(_EVACUATED_DOMAIN, is_active=self._is_evacuated)
        self._list_all()
        self._disturbed_at = self._now
        self._is_drilling = False

    async def _silence(self) -> None:
        self.events['silence'] += 1
        self._world.store.silence()
        self._disturbed_at = self._now

    async def _outage(self) -> None:
        if self._is_drilling:
            return
        self.events['outage'] += 1
        self._is_drilling = True
        self._world.store.down = True
        await asyncio.sleep(self._rng.uniform(0.2, 3))
        self._world.store.down = False
        self._disturbed_at = self._now
        self._is_drilling = False

    async def _kill(self) -> None:
        """Kill an entry, often one that reads the store, and start another."""
        alive = sorted(set(self._world.entry_ips) - self._killed_ips)
        if len(alive) < 3:
            return
        self.events['kill'] += 1
        ip = alive[0] if self._rng.random() < 1 / 2 else self._rng.choice(alive)
        self._killed_ips.add(ip)
        self._watch.ignored_ips.add(ip)
        self._world.kill_entry(ip)
        self._disturbed_at = self._now
        await asyncio.sleep(self._rng.uniform(0.1, 2))
        self._world.add_entry()
        self._disturbed_at = self._now

    async def _evacuate(self) -> None:
        """Begin or end the evacuation of a failure domain.

        Its endpoints lose their caches, unless an entry may have missed that
        the domain was evacuated.
        """
        if self._world.store.down:
            return
        self.events['evacuation'] += 1
        if self._is_evacuated and self._is_in_force(self._evacuated_since):
            for endpoint in self._endpoints:
                if _domain(endpoint) == _EVACUATED_DOMAIN:
                    endpoint.cold.begin(self._now)
        self._is_evacuated = not self._is_evacuated
        self._evacuated_since = self._now
        self._world.evacuate(_EVACUATED_DOMAIN, is_active=self._is_evacuated)

    async def _replace_endpoint(self, stack: contextlib.AsyncExitStack) -> None:
        if self._world.store.down or self._is_drilling:
            return
        self.events['endpoint'] += 1
        leaving = self._endpoints.pop(0)
        self._leaving[leaving.id] = leaving
        self._left_at[leaving.id] = self._now
        self._list(leaving)
        await self._add_endpoint(stack)

    async def _add_endpoint(self, stack: contextlib.AsyncExitStack) -> None:
        number = len(self._endpoints) + len(self._leaving)
        endpoint = direct_endpoint.DirectEndpoint(f'i-soak-{number}')
        await stack.enter_async_context(endpoint)
        self._endpoints.append(endpoint)
        endpoint.cold = cold_start.ColdLimit(_COLD_BOUND, _COLD_SECONDS)
        endpoint.cold.begin(self._now)
        self._list(endpoint)

    async def _heartbeat(self) -> None:
        """Let the endpoints write of themselves now and then."""
        while True:
            await asyncio.sleep(1.2)
            if not self._world.store.down:
                self._list_all()

    def _list_all(self) -> None:
        for endpoint in (*self._endpoints, *self._leaving.values()):
            self._list(endpoint)

    def _list(self, endpoint: direct_endpoint.DirectEndpoint) -> None:
        self._sequence += 1
        state = 'draining' if endpoint.id in self._leaving else 'ready'
        drills.list_endpoint(
            self._world,
            endpoint,
            self._sequence,
            state=state,
            zone=_domain(endpoint),
            coldLeftMs=endpoint.cold.left_ms(self._now),
        )

    async def _check(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            self._check_bounds()

    def _check_bounds(self) -> None:
        now = self._now
        for ip, entry in zip(
            self._world.entry_ips, self._world.entries, strict=True
        ):
            if entry.is_ready:
                self._ready_at_by_ip.setdefault(ip, now)
        if self._is_disturbed():
            return
        due = max(
            (
                version
                for version, at in self._written_at.items()
                if now - at > _BOUND_SECONDS
            ),
            default=1,
        )
        for ip, entry in self._undisturbed_entries(now):
            version = entry.cluster.configuration_version
            if version < due:
                self.broken.append(f'{now:.2f} {ip}: {version} before {due}')
            self.broken.extend(
                f'{now:.2f} {ip}: uses {endpoint_id}, which has left'
                for endpoint_id, at in self._left_at.items()
                if now - at > _BOUND_SECONDS
                and drills.is_used(entry, endpoint_id)
            )
            is_evacuated = _EVACUATED_DOMAIN in entry.cluster.evacuated.domains
            if (
                self._is_in_force(self._evacuated_since)
                and is_evacuated is not self._is_evacuated
            ):
                self.broken.append(f'{now:.2f} {ip}: evacuated {is_evacuated}')

    def _is_disturbed(self) -> bool:
        return (
            self._is_drilling
            or self._world.store.down
            or self._now - self._disturbed_at < _SETTLING_SECONDS
        )

    def _is_in_force(self, written_at: float) -> bool:
        """Return whether all undisturbed entries have what was written."""
        is_due = self._now - written_at > _BOUND_SECONDS
        return is_due and not self._is_disturbed()

    def _undisturbed_entries(self, now: float) -> list[tuple[str, typing.Any]]:
        return [
            (ip, entry)
            for ip, entry in zip(
                self._world.entry_ips, self._world.entries, strict=True
            )
            if ip not in self._killed_ips
            and now - self._ready_at_by_ip.get(ip, now) > _SETTLING_SECONDS
        ]

    def _check_end(self) -> None:
        """Check that all is as it was written, and that all are listed."""
        for one in (*self._endpoints, *self._leaving.values()):
            most = cold_start.most_in_a_second(one.cold.arrivals)
            if most > _COLD_BOUND:
                self.broken.append(f'{one.id}: {most} while cold')
        for ip, entry in self._undisturbed_entries(self._now):
            if entry.cluster.configuration_version != self._operator.version:
                self.broken.append(f'at the end {ip} is behind')
            unused = [
                endpoint.id
                for endpoint in self._endpoints
                if not drills.is_used(entry, endpoint.id)
            ]
            if unused:
                self.broken.append(f'at the end {ip} does not use {unused}')

    async def _call(self, number: int) -> None:
        """Send requests, each over an open connection where there is one."""
        rng = random.Random(number)
        pools: dict[str, pool.Pool] = {}
        while True:
            await asyncio.sleep(rng.uniform(0.1, 0.5))
            alive = [
                (ip, entry)
                for ip, entry in zip(
                    self._world.entry_ips, self._world.entries, strict=True
                )
                if ip not in self._killed_ips and entry.is_ready
            ]
            ip, entry = rng.choice(alive)
            used = pools.setdefault(
                ip, pool.Pool.from_address(entry.callers_address)
            )
            request = messages.encode_request(
                b'GET',
                b'/plain/a',
                [
                    (b'Host', b'h'),
                    (b'X-Attempt-Id', b'%x' % rng.getrandbits(60)),
                ],
                b'',
            )
            try:
                answer = await pool.fetch(used, request, 5)
            except channel.ChannelBrokenError as error:
                if ip not in self._killed_ips:
                    self.broken.append(f'{self._now:.2f} {ip}: {error}')
                continue
            self.statuses[str(answer.status)] += 1
            if answer.status not in {_OK, _UNAVAILABLE}:
                self.broken.append(
                    f'{self._now:.2f} {ip}: status {answer.status}'
                )


def _domain(endpoint: direct_endpoint.DirectEndpoint) -> str:
    return machines.engine_domain(int(endpoint.id.rpartition('-')[2]))


def main() -> int:
    """Play the runs and print what came of them; 1 if a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=50)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=_SECONDS)
    options = parser.parse_args()
    logger.remove()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        soak = Soak(seed, options.seconds)
        skipped_time.run(soak.run())
        failed += bool(soak.broken)
        print(
            f'seed {seed}: {len(soak.broken)} broken, {dict(soak.events)}, '
            f'{dict(soak.statuses)}',
            *soak.broken[:3],
            sep='\n  ',
            flush=True,
        )
    print(f'{options.seeds - failed} seeds passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
