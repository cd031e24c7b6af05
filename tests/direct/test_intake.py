"""Tests of malformed records, and of listings that lapse in an outage."""

from __future__ import annotations

import asyncio
import json
import random
import typing

import testtools
from loguru import logger

from clementinepass.direct import cluster_state, follower, intake, records
from clementinepass.platform import operator, registry
from standins import skipped_time
from tests.direct import test_cluster_state
from tests.platform import test_registry

DECODERS = intake.Decoders(
    operator=operator.decode_record, endpoint=registry.decode_record
)


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
