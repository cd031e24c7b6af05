"""Tests of what becomes of records that can't be decoded."""

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

READERS = intake.Readers(operator=operator.read, endpoint=registry.read)


class _NoStore:
    """A store that is never asked."""


class MalformedTest(testtools.TestCase):
    """Other writers' records change nothing else, and are told of once."""

    def setUp(self) -> None:
        super().setUp()
        self.known = cluster_state.ClusterState(test_cluster_state.OWN)
        self.lines: list[str] = []
        sink = logger.add(
            lambda line: self.lines.append(line.record['message']),
            level='ERROR',
        )
        self.addCleanup(logger.remove, sink)

    def take(
        self,
        topic: records.Topic,
        *payloads: tuple[str, bytes],
    ) -> None:
        """Take records in order."""

        async def play() -> None:
            taking = intake.Intake(self.known, READERS)
            follow = taking.followers(
                typing.cast('typing.Any', _NoStore()),
                random.Random(1),
            )[topic]
            for offset, (key, payload) in enumerate(payloads):
                record = records.Record(key, offset, payload)
                follow.take(records.Page((record,), offset + 1))

        asyncio.run(play())

    def usable(self) -> list[str]:
        """Return the ids of the endpoints that may be used."""
        found = self.known.endpoints.usable_for_service('pool', 0)
        return [one.listing.id for one in found]

    def test_no_flood(self) -> None:
        """A record of another writer is written anew with each heartbeat.

        Each one was a line of the log, several a second in each process, and
        pushed out lines that told of something.
        """
        odd = [('i-odd', b'{"sequence":%d}' % one) for one in range(500)]
        self.take(records.Topic.ENDPOINTS, *odd)
        self.assertEqual(1, len(self.lines), self.lines[:3])

    def test_many_keys(self) -> None:
        """So is what is written and remembered of many such keys."""
        odd = [(f'i-{one}', b'{') for one in range(2000)]
        self.take(records.Topic.ENDPOINTS, *odd)
        self.assertEqual([], list(self.known.endpoints))
        self.assertEqual(100, len(self.lines))

    def test_long_content(self) -> None:
        """A record of a quarter of a megabyte leaves a short line."""
        odd = test_registry.entry(state='x' * 200000)
        self.take(records.Topic.ENDPOINTS, ('i-odd', odd))
        self.assertEqual(1, len(self.lines))
        self.assertLess(len(self.lines[0]), 500)

    def test_known_id(self) -> None:
        """A malformed record comes under the id of an endpoint that works.

        It names no endpoint, so that one gets nothing until its next word;
        the others are used on.
        """
        good = [(f'i-{one}', test_registry.entry()) for one in (1, 2)]
        odd = test_registry.entry(state='paused')
        self.take(records.Topic.ENDPOINTS, *good, ('i-1', odd))
        self.assertEqual(['i-2'], self.usable())

    def test_known_id_again(self) -> None:
        """The endpoint's next word has it used again."""
        good = ('i-1', test_registry.entry())
        self.take(records.Topic.ENDPOINTS, good, ('i-1', b'{'), good)
        self.assertEqual(['i-1'], self.usable())

    def test_operator(self) -> None:
        """A malformed configuration or version leaves what was in force."""
        config = {'version': 3, 'routes': [], 'services': []}
        bad = {**config, 'version': 4, 'services': [{'name': 3}]}
        self.take(
            records.Topic.OPERATOR,
            ('config', json.dumps(config).encode()),
            ('version/m', b'{"model":"m","version":2}'),
            ('config', json.dumps(bad).encode()),
            ('config', b'\xff'),
            ('version/m', b'{"model":"m","version":99999999999999}'),
            ('version/m', b'{"model":"m","version":-1}'),
            ('version/m', b'{"model":"m"}'),
        )
        self.assertEqual(3, self.known.configuration)
        self.assertEqual(2, self.known.wanted_version('m'))
        self.assertEqual(2, len(self.lines))


class LapseTest(testtools.TestCase):
    """Endpoints that the list drops after an outage of the store.

    All entries took each removal for a lapse, for as long as they told one
    another that there had been an outage: requests were sent on for two seconds
    to endpoints that had left.
    """

    def grace(self, outage_age: float | None, after: float = 0) -> float | None:
        """Return for how long an endpoint is used that a peer says is gone.

        :param outage_age: seconds since the end of an outage, at the peer.
        :param after: seconds between that and the removal.
        """

        async def play() -> float | None:
            now = asyncio.get_running_loop().time
            known = cluster_state.ClusterState(test_cluster_state.OWN)
            known.listed(test_cluster_state.listing(0, 1))
            follow = intake.Intake(known, READERS).followers(
                typing.cast('typing.Any', _NoStore()),
                random.Random(1),
            )[records.Topic.ENDPOINTS]
            follow.take(records.Page((), 1, outage_age=outage_age), 'peer')
            await asyncio.sleep(after)
            removal = records.Record('i-1', 1, None)
            follow.take(records.Page((removal,), 2), 'peer')
            (one,) = known.endpoints
            gone_at = one.unusable_at
            return None if gone_at is None else round(gone_at - now(), 2)

        return skipped_time.run(play())

    def test_ages(self) -> None:
        """Used until it would have listed itself again, and not at all else."""
        cases = ((None, 0, 0), (0, 0, 1.9), (0.9, 0, 1.5), (0, 0.8, 1.6))
        for age, after, expected in cases:
            self.assertEqual(expected, self.grace(age, after), (age, after))

    def test_not_contagious(self) -> None:
        """What is handed on says how old the outage is, and ends with it."""

        async def play() -> list[float | None]:
            now = asyncio.get_running_loop().time
            own = follower.Follower(
                typing.cast('records.Store', None),
                records.Topic.ENDPOINTS,
                lambda one: None,
                random.Random(1),
            )
            own.take(records.Page((), 1, outage_age=0.5), 'peer')
            ages = [own.outage_age(now())]
            await asyncio.sleep(0.4)
            own.take(records.Page((), 1, outage_age=own.outage_age(now())))
            ages.append(own.outage_age(now()))
            await asyncio.sleep(0.2)
            ages.append(own.outage_age(now()))
            return [None if age is None else round(age, 2) for age in ages]

        self.assertEqual([0.5, 0.9, None], skipped_time.run(play()))
