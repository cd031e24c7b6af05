"""Tests of serving records to peers."""

from __future__ import annotations

import asyncio
import random
import typing
import zlib
from unittest import mock

import testtools

from clementinepass.direct import catching_up, follower, record_server, records
from clementinepass.http import messages
from clementinepass.wire import heartbeats as wire_heartbeats
from tests.direct import test_follower

TOPIC = records.Topic.ENDPOINTS
PEERS = 300


class _Reply:
    """Keeps the body of the response."""

    def __init__(self) -> None:
        self.body = b''

    def send(
        self,
        status: int,
        pairs: list[messages.Pair],
        body: bytes,
    ) -> None:
        """Keep the body."""
        self.body = body


class RecordServerTest(testtools.TestCase):
    """Peers send requests for the records of a topic."""

    def setUp(self) -> None:
        super().setUp()
        self.follower = follower.Follower(
            test_follower.ScriptedStore([]),
            TOPIC,
            lambda _: None,
            random.Random(1),
        )
        self.server = record_server.RecordServer({TOPIC: self.follower})

    def apply(self, *offsets: int, outage_age: float | None = None) -> None:
        """Apply records at some offsets."""
        page = records.Page(
            tuple(
                test_follower.record(f'e{offset}', offset) for offset in offsets
            ),
            max(offsets) + 1,
            outage_age,
        )
        self.follower.apply(page)

    def fetch(self, offset: int, *, deflate: bool = True) -> records.Page:
        """Return the page that a peer gets from an offset on."""
        pairs = [(b'accept-encoding', b'deflate')] if deflate else []
        request = messages.Request(
            b'GET',
            b'%b%b?%d'
            % (catching_up.PATH_PREFIX, TOPIC.value.encode(), offset),
            messages.Headers(pairs),
            b'',
            0,
        )
        self.assertTrue(self.server.handles(request))
        reply = _Reply()
        self.server.handle(request, typing.cast('typing.Any', reply))
        body = zlib.decompress(reply.body) if deflate else reply.body
        return wire_heartbeats.read_records(body, 'peer')

    def offsets(self, offset: int) -> list[int]:
        """Return the offsets of the records that a peer gets."""
        return [record.offset for record in self.fetch(offset).records]

    def test_encoded_once(self) -> None:
        """Records are encoded and compressed once for 300 requests."""

        async def scenario() -> None:
            self.apply(1, 2, 3)
            with mock.patch.object(
                wire_heartbeats,
                'write_records',
                wraps=wire_heartbeats.write_records,
            ) as spy:
                for _ in range(PEERS):
                    self.assertEqual([1, 2, 3], self.offsets(0))
                    self.assertEqual([3], self.offsets(3))
            self.assertEqual(2, spy.call_count)

        asyncio.run(scenario())

    def test_new_record(self) -> None:
        """A new record, also an older one, is in the next response."""

        async def scenario() -> None:
            self.apply(1, 4)
            self.assertEqual([1, 4], self.offsets(0))
            self.apply(5)
            self.assertEqual([1, 4, 5], self.offsets(0))
            self.apply(2)
            self.assertEqual([1, 2, 4, 5], self.offsets(0))

        asyncio.run(scenario())

    def test_uncompressed(self) -> None:
        """A peer that does not accept deflate gets the same records."""

        async def scenario() -> None:
            self.apply(1, 2)
            self.assertEqual(self.fetch(0), self.fetch(0, deflate=False))

        asyncio.run(scenario())

    def test_outage_age_is_current(self) -> None:
        """The age of an outage is computed for each response."""

        async def scenario() -> None:
            self.apply(1, outage_age=0.2)
            first = self.fetch(0).outage_age
            await asyncio.sleep(0.05)
            second = self.fetch(0).outage_age
            self.assertGreater(second or 0, first or 0)

        asyncio.run(scenario())

    def test_cache_is_bounded(self) -> None:
        """Requests from many offsets do not fill the memory."""

        async def scenario() -> None:
            self.apply(*range(1, 60))
            for offset in range(60):
                self.fetch(offset)
            self.assertLess(len(self.server._responses_by_key), 6)

        asyncio.run(scenario())
