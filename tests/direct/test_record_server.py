"""Tests of serving records to peers."""

from __future__ import annotations

import asyncio
import random
import typing
import zlib
from unittest import mock

import testtools

from clementinepass import errors
from clementinepass.direct import (
    catching_up,
    follower,
    record_compression,
    record_server,
    records,
)
from clementinepass.http import messages
from clementinepass.wire import heartbeats as wire_heartbeats
from tests.direct import test_follower

TOPIC = records.Topic.ENDPOINTS
PEERS = 300


class _Reply:
    """Keeps the body of the response."""

    def __init__(self) -> None:
        self.body = b''
        self.pairs: list[messages.Pair] = []

    def send(
        self,
        status: int,
        pairs: list[messages.Pair],
        body: bytes,
    ) -> None:
        """Keep the response."""
        self.body = body
        self.pairs = pairs


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
        body = self.send_request(offset, pairs).body
        if deflate:
            body = zlib.decompress(body)
        return wire_heartbeats.read_records(body, 'peer')

    def request(self, offset: int, *pairs: messages.Pair) -> _Reply:
        """Return the response to a peer that accepts zstd."""
        accepted = (b'accept-encoding', b'zstd, deflate')
        return self.send_request(offset, [accepted, *pairs])

    def send_request(self, offset: int, pairs: list[messages.Pair]) -> _Reply:
        """Return the response to a request with some headers."""
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
        return reply

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

    def test_only_what_differs(self) -> None:
        """A long record is sent as what differs from one that the peer has."""

        async def scenario() -> None:
            before = bytes(random.Random(1).randbytes(40_000))
            after = before[:20_000] + b'changed' + before[20_000:]
            self.follower.apply(
                records.Page((records.Record('e', 1, before),), 2)
            )
            self.follower.apply(
                records.Page((records.Record('e', 2, after),), 3)
            )
            reply = self.request(2, (b'records-base', b'1'))
            self.assertLess(len(reply.body), 400)
            self.assertIn((record_compression.BASE_HEADER, b'1'), reply.pairs)
            body = record_compression.decompress(
                reply.body, record_compression.ZSTD, 'peer', before
            )
            (record,) = wire_heartbeats.read_records(body, 'peer').records
            self.assertEqual(after, record.payload)

        asyncio.run(scenario())

    def test_unknown_base(self) -> None:
        """A peer whose long record is not known here gets all bytes."""

        async def scenario() -> None:
            self.apply(1, 2)
            reply = self.request(1, (b'records-base', b'77'))
            self.assertEqual([(b'Content-Encoding', b'zstd')], reply.pairs)
            body = record_compression.decompress(reply.body, b'zstd', 'peer')
            self.assertEqual(
                2, len(wire_heartbeats.read_records(body, 'peer').records)
            )

        asyncio.run(scenario())

    def test_another_base(self) -> None:
        """Bytes that were compressed with another record are an error."""
        body = record_compression.compress(b'ab' * 5000, b'ab' * 4000)
        self.assertRaises(
            errors.MalformedMessageError,
            record_compression.decompress,
            body,
            record_compression.ZSTD,
            'peer',
            b'xy' * 4000,
        )

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
