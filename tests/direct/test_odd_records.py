"""Tests of a whole system whose store holds malformed records."""

from __future__ import annotations

import asyncio
import json
import typing

import testtools
from loguru import logger

from standins import machines, skipped_time, weights_origin
from tests.platform import test_registry

#: Seconds in which a change is known to all entries.
CHANGE_SECONDS = 2
#: More records than one page of the store's newest records holds.
RECORD_COUNT = 700
NESTED = b'[' * 100_000 + b']' * 100_000
LONG_NUMBER = b'9' * 5000
#: Values that replace any field of an endpoint's record.
ODD_VALUES = (
    b'{"a":' * 500 + b'1' + b'}' * 500,
    LONG_NUMBER,
    b'-' + LONG_NUMBER,
    b'1e999',
    b'1e308',
    b'-1',
    b'1.5',
    b'"10.0.0.1:0"',
    b'"10.0.0.1:65536"',
    b'"10.0.0.1:%s"' % LONG_NUMBER,
    '"10.0.0.1:٨٠"'.encode(),
    rb'"\ud800"',
    b'"\xff\xfe"',
    b'null',
    b'true',
    b'[]',
    b'{}',
)
#: Keys of other writers; the store's JSON has lone surrogates for some bytes.
ODD_KEYS = (b'i-\xff\xfe', b'\xed\xa0\x80', b'i \r\n', b'k' * 255, b'\xf0')


def odd_payloads() -> list[bytes]:
    """Return odd records of endpoints."""
    payloads = [payload for _, payload in test_registry.MALFORMED]
    for name, field in test_registry.ENDPOINT_RECORD.items():
        encoded = json.dumps({name: field})[1:-1].encode()
        record = test_registry.endpoint_record()
        payloads += [
            record.replace(encoded, b'"%s": %s' % (name.encode(), odd))
            for odd in ODD_VALUES
        ]
    payloads.append(test_registry.endpoint_record()[:-1] + b',"x":%s}' % NESTED)
    return payloads


class OddRecordsTest(testtools.TestCase):
    """Odd records stop no process, and hide no other record."""

    def run_beside(
        self, leave: typing.Callable[[machines.Machines], None]
    ) -> None:
        """Run a system, leave odd records, and change, read and start."""
        restarts: list[str] = []
        sink = logger.add(
            lambda line: restarts.append(line.record['message']),
            filter=lambda record: record['message'].startswith('work begins'),
        )
        self.addCleanup(logger.remove, sink)

        async def scenario() -> None:
            engines = [
                weights_origin.LoadingEngine(
                    machines.LAYERS, machines.CHUNKS, 1
                )
            ]
            world = machines.Machines(engines, entries=4, regions=2)
            async with world:
                await world.all_known()
                leave(world)
                await asyncio.sleep(1)
                await self._check_changes(world, 2)
                # The first get the records of a peer, the others of the store.
                for version, ips in (
                    (3, world.entry_ips[1:] + world.engine_ips),
                    (4, world.entry_ips + world.engine_ips),
                ):
                    await world.kill(ips)
                    world.start(ips)
                    await asyncio.sleep(4)
                    await self._check_changes(world, version)
                self.assertEqual(
                    {one.weights.version for one in self._engines(world)}, {1}
                )

        skipped_time.run(scenario())
        self.assertEqual([], restarts)

    async def _check_changes(
        self, world: machines.Machines, version: int
    ) -> None:
        """Change the configuration and an endpoint; all entries follow."""
        world.configure({**world.config, 'version': version})
        added_id = f'i-new-{version}'
        world.store.put_raw(
            'keyed.servers',
            added_id.encode(),
            test_registry.endpoint_record(service='desk'),
        )
        await asyncio.sleep(CHANGE_SECONDS)
        for entry in world.entry_by_ip.values():
            cluster = entry.cluster
            now = asyncio.get_running_loop().time()
            self.assertEqual(version, cluster.configuration_version)
            usable = cluster.endpoints.usable_for_service('desk', now)
            self.assertIn(added_id, [one.listing.id for one in usable])

    def _engines(self, world: machines.Machines) -> list[typing.Any]:
        now = asyncio.get_running_loop().time()
        return [
            endpoint
            for entry in world.entry_by_ip.values()
            for endpoint in entry.cluster.endpoints.usable_for_service(
                'pool', now
            )
            if endpoint.listing.id == 'i-0'
        ]

    def test_endpoints(self) -> None:
        """Odd records of endpoints, more than fit into a page."""

        def leave(world: machines.Machines) -> None:
            payloads = odd_payloads()
            for number in range(RECORD_COUNT):
                payload = payloads[number % len(payloads)]
                key = b'i-odd-%03d' % number
                world.store.put_raw('keyed.servers', key, payload)

        self.run_beside(leave)

    def test_keys(self) -> None:
        """Keys that are no text, or no ids."""

        def leave(world: machines.Machines) -> None:
            for topic in ('keyed.servers', 'keyed.op', 'keyed.status'):
                for key in ODD_KEYS:
                    world.store.put_raw(
                        topic, key, test_registry.endpoint_record()
                    )

        self.run_beside(leave)

    def test_operator(self) -> None:
        """Odd records beside the operator's."""

        def leave(world: machines.Machines) -> None:
            odd = (*ODD_VALUES, NESTED, b'', b'\xff')
            for number, one in enumerate(odd):
                for key, payload in (
                    (b'config-%d', one),
                    (b'version/m%d', b'{"model":"m%d","version":%s}'),
                    (b'evacuate/%d', one),
                ):
                    name = key % number
                    if payload is not one:
                        payload = payload % (number, one)
                    world.store.put_raw('keyed.op', name, payload)

        self.run_beside(leave)
