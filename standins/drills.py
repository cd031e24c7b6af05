"""Drills of the store beside a whole system: it comes back from a copy.

The operator and the endpoints write again what was lost, as they do on the
users' platform.
"""

from __future__ import annotations

import asyncio
import random
import typing

from standins import machines

if typing.TYPE_CHECKING:
    from clementinepass.direct import entry
    from standins import direct_endpoint


class Watch:
    """Watches each entry for state that goes back.

    :param world: the system.
    """

    def __init__(self, world: machines.Machines) -> None:
        self._world = world
        self._version_by_ip: dict[str, int] = {}
        #: Endpoints that must not be used any more, by id.
        self.unusable_ids: set[str] = set()
        #: Entries that were killed.
        self.ignored_ips: set[str] = set()
        #: What went back, a line each.
        self.broken: list[str] = []

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            for ip, one in zip(
                self._world.entry_ips, self._world.entries, strict=True
            ):
                if ip not in self.ignored_ips:
                    self._look(ip, one)
            await asyncio.sleep(0.01)

    def _look(self, ip: str, one: entry.Entry) -> None:
        now = asyncio.get_running_loop().time()
        version = one.cluster.configuration_version
        before = self._version_by_ip.get(ip, 0)
        if version < before:
            self.broken.append(f'{now:.2f} {ip}: {version} after {before}')
        self._version_by_ip[ip] = max(version, before)
        for endpoint_id in self.unusable_ids:
            if is_used(one, endpoint_id):
                self.broken.append(f'{now:.2f} {ip}: uses {endpoint_id}')


def is_used(one: entry.Entry, endpoint_id: str) -> bool:
    """Return whether an entry may send requests to an endpoint."""
    endpoint = one.cluster.endpoints.get(endpoint_id)
    now = asyncio.get_running_loop().time()
    return endpoint is not None and endpoint.is_usable(now)


class Operator:
    """Writes configurations, also those that were lost.

    :param world: the system.
    :param first: the first configuration, without the origin.
    """

    def __init__(
        self,
        world: machines.Machines,
        first: dict[str, typing.Any] = machines.CONFIG,
    ) -> None:
        self._world = world
        self._first = first
        self.version = 1
        self._routes_by_version: dict[int, int] = {}

    def configure(self, routes: int = 0) -> None:
        """Write the next configuration.

        :param routes: routes that it has more than the first one.
        """
        self.version += 1
        self._routes_by_version[self.version] = routes
        self._write(self.version)

    def write_again(self, versions: typing.Iterable[int]) -> None:
        """Write configurations that were lost, in order."""
        for version in versions:
            self._write(version)

    def is_in_force(self) -> bool:
        """Return whether all entries have the newest configuration."""
        return all(
            one.cluster.configuration_version == self.version
            for one in self._world.entries
        )

    def _write(self, version: int) -> None:
        count = self._routes_by_version.get(version, 0)
        self._world.configure(long_configuration(version, count, self._first))


def long_configuration(
    version: int,
    routes: int,
    first: dict[str, typing.Any] = machines.CONFIG,
) -> dict[str, typing.Any]:
    """Return a configuration with some routes more than the first one.

    The timeout of one of them is that of the version.
    """
    rng = random.Random(1)
    added = [
        {
            'name': f'r{rng.getrandbits(40):x}',
            'host': f'{rng.getrandbits(32):x}.example',
            'pathPrefix': f'/{rng.getrandbits(32):x}/',
            'routeKind': 'idempotent',
            'timeoutMs': 5000,
            'sloMs': 1000,
            'priority': 1,
            'maxAttempts': 2,
            'backends': [{'service': 'desk', 'weight': 1}],
        }
        for _ in range(routes)
    ]
    if added:
        added[routes // 2]['timeoutMs'] = 5000 + version
    return {**first, 'version': version, 'routes': first['routes'] + added}


def list_endpoint(
    world: machines.Machines,
    endpoint: direct_endpoint.DirectEndpoint,
    sequence: int,
    **changes: typing.Any,
) -> None:
    """Have a plain endpoint write of itself.

    :param sequence: grows with each record of the endpoint.
    """
    record = {**endpoint.entry('desk', 'a'), 'sequence': sequence, **changes}
    world.store.put('keyed.servers', endpoint.id, record)


async def seconds_until(
    condition: typing.Callable[[], bool], limit: float
) -> float:
    """Return the seconds until a condition holds; infinite after a limit."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while loop.time() - started_at < limit:
        if condition():
            return loop.time() - started_at
        await asyncio.sleep(0.02)
    return float('inf')
