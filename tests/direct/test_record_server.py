"""Tests of handing records to peers."""

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
    """Keeps what is sent."""

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
    """Peers ask for the records of a topic."""

    def setUp(self) -> None:
        super().setUp()
        self.follower = follower.Follower(
            test_follower.ScriptedStore([]),
            TOPIC,
            lambda _: None,
            random.Random(1),
        )
        self.server = record_server.RecordServer({TOPIC: self.follower})

    def take(self, *offsets: int, outage_age: float | None = None) -> None:
        """Take records."""
        page = records.Page(
            tuple(test_follower.record(f'e{one}', one) for one in offsets),
            max(offsets) + 1,
            outage_age,
        )
        self.follower.apply(page)

    def handed(self, offset: int, *, deflate: bool = True) -> records.Page:
        """Return what a peer gets that has read so far."""
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
        """Return the offsets of what a peer gets."""
        return [one.offset for one in self.handed(offset).records]

    def test_written_once(self) -> None:
        """A seed wrote and compressed its records anew for each of 300."""

        async def story() -> None:
            self.take(1, 2, 3)
            with mock.patch.object(
                wire_heartbeats,
                'write_records',
                wraps=wire_heartbeats.write_records,
            ) as written:
                for _ in range(PEERS):
                    self.assertEqual([1, 2, 3], self.offsets(0))
                    self.assertEqual([3], self.offsets(3))
            self.assertEqual(2, written.call_count)

        asyncio.run(story())

    def test_news(self) -> None:
        """A record that comes is in the next answer, also an older one."""

        async def story() -> None:
            self.take(1, 4)
            self.assertEqual([1, 4], self.offsets(0))
            self.take(5)
            self.assertEqual([1, 4, 5], self.offsets(0))
            self.take(2)
            self.assertEqual([1, 2, 4, 5], self.offsets(0))

        asyncio.run(story())

    def test_plain(self) -> None:
        """A peer that can't decompress gets the same."""

        async def story() -> None:
            self.take(1, 2)
            self.assertEqual(self.handed(0), self.handed(0, deflate=False))

        asyncio.run(story())

    def test_outage_age_is_current(self) -> None:
        """How long ago an outage ended is reckoned for each answer."""

        async def story() -> None:
            self.take(1, outage_age=0.2)
            first = self.handed(0).outage_age
            await asyncio.sleep(0.05)
            second = self.handed(0).outage_age
            self.assertGreater(second or 0, first or 0)

        asyncio.run(story())

    def test_few_answers_kept(self) -> None:
        """Peers that ask from many offsets don't fill the memory."""

        async def story() -> None:
            self.take(*range(1, 60))
            for offset in range(60):
                self.handed(offset)
            self.assertLess(len(self.server._responses_by_key), 6)

        asyncio.run(story())
