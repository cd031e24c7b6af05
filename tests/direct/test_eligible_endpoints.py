"""Tests of restricted and evacuated requests between a caller and endpoints."""

from __future__ import annotations

import asyncio
import json
import random
import typing

import testtools

from clementinepass.direct import (
    cluster_state,
    directory,
    evacuation,
    intake,
    members,
    node,
    records,
    routing,
)
from clementinepass.http import limits
from clementinepass.platform import operator, registry
from standins import direct_endpoint
from tests.direct import path_harness, test_cluster_state

Fault = direct_endpoint.Fault
World = path_harness.PathHarness
NODE = node.Node(
    name='entry-1',
    ip=path_harness.HOST,
    domain='north-1',
    region='north',
    regions_by_domain={'north-1': 'north', 'south-1': 'south'},
    first_port=0,
    store='',
    duties=path_harness.DUTIES,
)
SOUTH = frozenset(('south',))


def evacuate(world: World, domain: str, *, is_active: bool = True) -> None:
    """Begin or end the evacuation of a failure domain."""
    world.cluster.evacuated.apply(evacuation.Evacuation(domain, is_active))


class EligibleEndpointsTest(testtools.TestCase):
    """Requests reach only endpoints where the operator lets them run."""

    def play(
        self, scenario: typing.Callable[[World], typing.Awaitable[None]]
    ) -> None:
        """Run a scenario with an endpoint in the north and one in the south."""

        async def run_scenario() -> None:
            async with path_harness.PathHarness(2, NODE) as world:
                world.list_endpoint(
                    world.endpoints[1], heartbeat=9, domain='south-1'
                )
                await scenario(world)

        asyncio.run(run_scenario())

    def test_region(self) -> None:
        """Guards against a restricted request that runs in another region."""

        async def scenario(world: World) -> None:
            world.configure(
                2, [path_harness.route('plain', allowed_regions=SOUTH)]
            )
            for _ in range(20):
                answer = await world.send('/plain/a')
                self.assertEqual(200, answer.status)
            self.assertEqual([], world.endpoints[0].came)
            self.assertEqual(20, len(world.endpoints[1].ran))

        self.play(scenario)

    def test_retry_stays_in_region(self) -> None:
        """Guards against a retry that leaves the allowed regions."""

        async def scenario(world: World) -> None:
            world.configure(
                2,
                [
                    path_harness.route(
                        'plain',
                        allowed_regions=SOUTH,
                        kind=routing.RouteKind.IDEMPOTENT,
                    ),
                ],
            )
            world.endpoints[1].faults = [Fault.FULL] * 8
            answer = await world.send('/plain/a')
            self.assertEqual(503, answer.status)
            self.assertEqual([], world.endpoints[0].came)

        self.play(scenario)

    def test_evacuation(self) -> None:
        """Guards against requests to an evacuated domain, before and after."""

        async def scenario(world: World) -> None:
            evacuate(world, 'north-1')
            for _ in range(10):
                await world.send('/plain/a')
            self.assertEqual([], world.endpoints[0].came)
            evacuate(world, 'south-1')
            answer = await world.send('/plain/a')
            self.assertEqual(503, answer.status)
            self.assertEqual(
                b'2.00', answer.headers.get(b'retry-after'), answer
            )
            evacuate(world, 'north-1', is_active=False)
            answer = await world.send('/plain/a')
            self.assertEqual(200, answer.status)
            self.assertEqual(1, len(world.endpoints[0].ran))
            self.assertEqual(10, len(world.endpoints[1].ran))

        self.play(scenario)

    def test_evacuated_while_connecting(self) -> None:
        """Guards against a request that was selected before the evacuation.

        Connecting takes up to 0.6 s, in which the order arrives.
        """

        async def scenario(world: World) -> None:
            world.list_endpoint(world.endpoints[1], heartbeat=10, draining=True)
            send = asyncio.create_task(world.send('/once/a'))
            while not any(
                endpoint.in_flight for endpoint in world.cluster.endpoints
            ):
                await asyncio.sleep(0)
            evacuate(world, 'north-1')
            answer = await send
            self.assertEqual(503, answer.status)
            self.assertEqual(b'2.00', answer.headers.get(b'retry-after'))
            self.assertEqual([], world.received_requests)

        self.play(scenario)


class EvacuationRecordsTest(testtools.TestCase):
    """The set of evacuated domains follows the operator's records."""

    def test_records(self) -> None:
        """Guards against an order or its end that a process misses.

        A process may get the records as changes or as a snapshot, from which a
        removed key is missing.
        """
        cluster = cluster_state.ClusterState(test_cluster_state.LOCAL_NODE)
        seen = []

        async def scenario() -> None:
            topic_follower = intake.Intake(
                cluster,
                intake.Decoders(operator.decode_record, registry.decode_record),
            ).create_followers(
                typing.cast('typing.Any', None), random.Random(1)
            )[records.Topic.OPERATOR]
            for page in (
                records.Page((_order('a', 1), _order('b', 2)), 3),
                records.Page((_order('a', 3, None),), 4),
                records.Page((_order('a', 4),), 5),
                records.Page((_order('a', 4),), 9, is_snapshot=True),
            ):
                topic_follower.apply(page)
                seen.append(set(cluster.evacuated.domains))

        asyncio.run(scenario())
        self.assertEqual([{'a', 'b'}, {'b'}, {'a', 'b'}, {'a'}], seen)


def _order(
    domain: str, offset: int, payload: bytes | None = b'{}'
) -> records.Record:
    return records.Record(f'evacuate/{domain}', offset, payload)


class DirectoryTest(testtools.TestCase):
    """Callers of restricted routes are sent to entries of fitting regions."""

    def test_preferred_entries(self) -> None:
        """Guards against bodies that are sent to entries of other regions."""
        config = {
            'version': 1,
            'routes': [
                {
                    'name': name,
                    'host': host,
                    'pathPrefix': f'/{name}/',
                    'service': 's',
                    'allowedRegions': regions,
                }
                for name, host, regions in (
                    ('a', 'restricted', ['south']),
                    ('b', 'restricted', []),
                    ('c', 'free', []),
                )
            ],
            'services': [{'name': 's'}],
        }
        decoded = operator.decode_record(
            records.Record('config', 0, json.dumps(config).encode())
        )
        assert isinstance(decoded, routing.Routing)
        ready = [
            members.Member(
                region, 1, 1, members.Phase.READY, '', region, region
            )
            for region in ('north', 'south', 'west')
        ]
        for host, region, expected in (
            (b'restricted', 'north', ['north', 'south']),
            (b'restricted', 'south', ['south']),
            (b'restricted', '', ['north', 'south', 'west']),
            (b'free', 'north', ['north', 'south', 'west']),
        ):
            preferred = directory.preferred_entries(
                ready, decoded, directory.Query(host, region)
            )
            self.assertEqual(expected, [member.ip for member in preferred])

    def test_team_regions(self) -> None:
        """Guards against directories that ignore the regions of teams."""
        team = routing.Team('t', 0, SOUTH)
        restricted = routing.Routing(
            1, [path_harness.route('a')], [], {b'k': team}, limits.Bounds()
        )
        self.assertEqual(SOUTH, restricted.restricted_regions(b'h'))
        self.assertTrue(restricted.has_region_rules)
