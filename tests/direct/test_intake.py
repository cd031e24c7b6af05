"""Tests of malformed records, and of listings that lapse in an outage."""

from __future__ import annotations

import asyncio
import json
import random
import typing

import testtools
from loguru import logger

from clementinepass.direct import (
    cluster_state,
    follower,
    heartbeats,
    intake,
    records,
)
from clementinepass.platform import operator, registry
from standins import skipped_time
from tests.direct import test_cluster_state
from tests.platform import test_registry

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

DECODERS = intake.Decoders(
    operator=operator.decode_record, endpoint=registry.decode_record
)
CONFIG_RECORD = records.Record(
    'config', 0, b'{"version":3,"routes":[],"services":[]}'
)
VERSION_RECORD = records.Record('version/m', 1, b'{"model":"m","version":2}')


class _NoStore:
    """A store that is never read."""


class MalformedTest(testtools.TestCase):
    """A malformed record changes nothing else, and is logged once."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster = cluster_state.ClusterState(test_cluster_state.LOCAL_NODE)
        self.lines: list[str] = []
        sink = logger.add(
            lambda line: self.lines.append(line.record['message']),
            level='ERROR',
        )
        self.addCleanup(logger.remove, sink)

    def apply(
        self,
        topic: records.Topic,
        *payloads: tuple[str, bytes],
    ) -> None:
        """Apply records in order."""

        async def scenario() -> None:
            record_intake = intake.Intake(self.cluster, DECODERS)
            topic_follower = record_intake.create_followers(
                typing.cast('typing.Any', _NoStore()),
                random.Random(1),
            )[topic]
            for offset, (key, payload) in enumerate(payloads):
                record = records.Record(key, offset, payload)
                topic_follower.apply(records.Page((record,), offset + 1))

        asyncio.run(scenario())

    def usable(self) -> list[str]:
        """Return the ids of the usable endpoints."""
        found = self.cluster.endpoints.usable_for_service('pool', 0)
        return [endpoint.listing.id for endpoint in found]

    def test_repeated_record(self) -> None:
        """A malformed record that is repeated is logged once.

        Another writer repeats it with each heartbeat. A line for each, several
        a second in each process, would crowd out other lines.
        """
        malformed = [
            ('i-odd', b'{"sequence":%d}' % number) for number in range(500)
        ]
        self.apply(records.Topic.ENDPOINTS, *malformed)
        self.assertEqual(1, len(self.lines), self.lines[:3])

    def test_many_keys(self) -> None:
        """The number of keys that are logged and remembered is limited."""
        malformed = [(f'i-{number}', b'{') for number in range(2000)]
        self.apply(records.Topic.ENDPOINTS, *malformed)
        self.assertEqual([], list(self.cluster.endpoints))
        self.assertEqual(100, len(self.lines))

    def test_long_content(self) -> None:
        """A malformed record of 200 KB leaves a short log line."""
        malformed = test_registry.endpoint_record(state='x' * 200000)
        self.apply(records.Topic.ENDPOINTS, ('i-odd', malformed))
        self.assertEqual(1, len(self.lines))
        self.assertLess(len(self.lines[0]), 500)

    def test_id_of_an_endpoint(self) -> None:
        """An endpoint whose own record is malformed gets no requests.

        It is unused until its next valid record; other endpoints stay usable.
        """
        valid = [
            (f'i-{number}', test_registry.endpoint_record())
            for number in (1, 2)
        ]
        malformed = test_registry.endpoint_record(state='paused')
        self.apply(records.Topic.ENDPOINTS, *valid, ('i-1', malformed))
        self.assertEqual(['i-2'], self.usable())

    def test_id_of_an_endpoint_again(self) -> None:
        """An endpoint is used again after its next valid record."""
        valid = ('i-1', test_registry.endpoint_record())
        self.apply(records.Topic.ENDPOINTS, valid, ('i-1', b'{'), valid)
        self.assertEqual(['i-1'], self.usable())

    def test_operator(self) -> None:
        """A malformed configuration or version leaves the old one in force."""
        config = {'version': 3, 'routes': [], 'services': []}
        malformed = {**config, 'version': 4, 'services': [{'name': 3}]}
        self.apply(
            records.Topic.OPERATOR,
            ('config', json.dumps(config).encode()),
            ('version/m', b'{"model":"m","version":2}'),
            ('config', json.dumps(malformed).encode()),
            ('config', b'\xff'),
            ('version/m', b'{"model":"m","version":99999999999999}'),
            ('version/m', b'{"model":"m","version":-1}'),
            ('version/m', b'{"model":"m"}'),
        )
        self.assertEqual(3, self.cluster.configuration_version)
        self.assertEqual(2, self.cluster.newest_desired_version('m'))
        self.assertEqual(2, len(self.lines))


class _Store:
    """A store with one configuration, to which records are added."""

    def __init__(self) -> None:
        self._page = asyncio.get_running_loop().create_future()

    async def newest(self, topic: records.Topic) -> records.Page:
        """Return the configuration."""
        return records.Page((CONFIG_RECORD,), 1)

    async def changes(
        self, topic: records.Topic, offset: int, seconds: float
    ) -> records.Page:
        """Wait for records that are added."""
        page: records.Page = await self._page
        self._page = asyncio.get_running_loop().create_future()
        return page

    def add(self, page: records.Page) -> None:
        """Add records."""
        self._page.set_result(page)


class VersionTimeTest(testtools.TestCase):
    """Only a version that is read as it is written has a known time."""

    def known_version(
        self, play: Callable[[follower.Follower, _Store], Awaitable[None]]
    ) -> heartbeats.DesiredVersion:
        """Return what an entry tells of the version after a play."""

        async def scenario() -> heartbeats.DesiredVersion:
            loop = asyncio.get_running_loop()
            cluster = cluster_state.ClusterState(
                test_cluster_state.LOCAL_NODE, loop.time
            )
            store = _Store()
            operator_follower = intake.Intake(
                cluster, DECODERS
            ).create_followers(
                typing.cast('records.Store', store), random.Random(1)
            )[records.Topic.OPERATOR]
            await play(operator_follower, store)
            (known,) = cluster.desired_versions(loop.time())
            return known

        return skipped_time.run(scenario())

    def test_read_as_it_is_written(self) -> None:
        """An entry that reads the store knows the time."""

        async def play(topic: follower.Follower, store: _Store) -> None:
            async with asyncio.TaskGroup() as tasks:
                task = tasks.create_task(topic.run())
                await asyncio.sleep(20)
                store.add(records.Page((VERSION_RECORD,), 2))
                await asyncio.sleep(1)
                task.cancel()

        known = self.known_version(play)
        self.assertFalse(known.guessed)
        self.assertAlmostEqual(1, known.age, delta=0.1)

    def test_from_a_peer(self) -> None:
        """Records of a peer come late: the time is an estimate."""

        async def play(topic: follower.Follower, store: _Store) -> None:
            topic.apply(records.Page((CONFIG_RECORD,), 1))
            topic.apply(records.Page((VERSION_RECORD,), 2), '10.0.0.8')

        self.assertTrue(self.known_version(play).guessed)

    def test_read_by_an_agent(self) -> None:
        """An agent reads the newest records late: the time is an estimate."""

        async def play(topic: follower.Follower, store: _Store) -> None:
            topic.apply(records.Page((CONFIG_RECORD,), 1))
            page = records.Page((CONFIG_RECORD, VERSION_RECORD), 2)
            topic.apply(page)

        self.assertTrue(self.known_version(play).guessed)

    def test_read_again(self) -> None:
        """A record that is read again does not name the version again."""

        async def play(topic: follower.Follower, store: _Store) -> None:
            page = records.Page((CONFIG_RECORD, VERSION_RECORD), 2)
            topic.apply(page)
            await asyncio.sleep(1)
            topic.reapply(page)

        known = self.known_version(play)
        self.assertTrue(known.guessed)
        limits = test_cluster_state.LOCAL_NODE.duties
        self.assertGreater(known.age, limits.version - limits.settling)


class LapseTest(testtools.TestCase):
    """Endpoints that are removed from the list after an outage of the store.

    Entries pass on that there was an outage. If they did so without its age,
    they would treat each removal as an expired lease all that time, and go on
    sending requests for two seconds to endpoints that had left.
    """

    def grace(self, outage_age: float | None, after: float = 0) -> float | None:
        """Return for how long an endpoint is used after its removal.

        :param outage_age: seconds since the end of an outage, at the peer that
            sends the removal.
        :param after: seconds between that and the removal.
        """

        async def scenario() -> float | None:
            now = asyncio.get_running_loop().time
            cluster = cluster_state.ClusterState(test_cluster_state.LOCAL_NODE)
            cluster.update_listing(test_cluster_state.listing(0, 1))
            topic_follower = intake.Intake(cluster, DECODERS).create_followers(
                typing.cast('typing.Any', _NoStore()),
                random.Random(1),
            )[records.Topic.ENDPOINTS]
            topic_follower.apply(
                records.Page((), 1, outage_age=outage_age), 'peer'
            )
            await asyncio.sleep(after)
            removal = records.Record('i-1', 1, None)
            topic_follower.apply(records.Page((removal,), 2), 'peer')
            (endpoint,) = cluster.endpoints
            gone_at = endpoint.unusable_at
            return None if gone_at is None else round(gone_at - now(), 2)

        return skipped_time.run(scenario())

    def test_ages(self) -> None:
        """After an outage an endpoint is used until it must be listed again.

        Without an outage it is not used after its removal.
        """
        cases = ((None, 0, 0), (0, 0, 1.9), (0.9, 0, 1.5), (0, 0.8, 1.6))
        for age, after, expected in cases:
            self.assertEqual(expected, self.grace(age, after), (age, after))

    def test_age_grows_when_passed_on(self) -> None:
        """An outage is passed on with its age, and ends everywhere at once."""

        async def scenario() -> list[float | None]:
            now = asyncio.get_running_loop().time
            topic_follower = follower.Follower(
                typing.cast('records.Store', None),
                records.Topic.ENDPOINTS,
                lambda record: None,
                random.Random(1),
            )
            topic_follower.apply(records.Page((), 1, outage_age=0.5), 'peer')
            ages = [topic_follower.outage_age(now())]
            await asyncio.sleep(0.4)
            topic_follower.apply(
                records.Page((), 1, outage_age=topic_follower.outage_age(now()))
            )
            ages.append(topic_follower.outage_age(now()))
            await asyncio.sleep(0.2)
            ages.append(topic_follower.outage_age(now()))
            return [None if age is None else round(age, 2) for age in ages]

        self.assertEqual([0.5, 0.9, None], skipped_time.run(scenario()))
