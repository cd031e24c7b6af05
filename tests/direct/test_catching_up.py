"""Tests of fetching records from peers that know more."""

from __future__ import annotations

import asyncio
import contextlib
import random
import typing

import testtools

from clementinepass.direct import (
    catching_up,
    cluster_state,
    follower,
    heartbeats,
    node,
    records,
    routing,
)
from clementinepass.http import front, limits, replies
from clementinepass.wire import heartbeats as wire_heartbeats

HOST = '127.0.0.1'
OPERATOR = records.Topic.OPERATOR
#: Seconds after which a peer that is ahead has been so for long enough.
LONG = 10


class _Peer:
    """A peer that hands out one page of the operator's records."""

    def __init__(self, page: records.Page) -> None:
        self.page = page
        self.asked: list[bytes] = []
        self.served = asyncio.Event()
        self._front = front.Front(self._serve)

    async def listen(self) -> int:
        """Listen; return the port."""
        return await self._front.listen(HOST, 0)

    async def close(self) -> None:
        """End."""
        await self._front.close()

    async def _serve(self, request: typing.Any, reply: replies.Reply) -> None:
        self.asked.append(request.target)
        reply.send(200, [], wire_heartbeats.write_records(self.page))
        self.served.set()


class _World:
    """An entry that knows version 1 of the configuration, at offset 4.

    :param new: whether it has just started and knows nothing instead.
    """

    def __init__(self, port: int, *, new: bool = False) -> None:
        own = node.Node(
            name='entry-1',
            ip=HOST,
            domain='a',
            region='a',
            regions_by_domain={'a': 'a'},
            first_port=port,
            store='',
            duties=node.SystemLimits(),
            callers=f'{HOST}:1',
        )
        self.cluster = cluster_state.ClusterState(own)
        self.follower = follower.Follower(
            typing.cast('records.Store', None),
            OPERATOR,
            self._wrote,
            random.Random(1),
        )
        if not new:
            first = records.Record('config', 4, b'1')
            self.follower.take(records.Page((first,), 5))
        self.catching_up = catching_up.CatchingUp(
            own,
            {OPERATOR: self.follower},
            self.cluster,
        )

    def _wrote(self, record: records.Record) -> None:
        bounds = limits.Bounds()
        version = int(record.payload or b'0')
        self.cluster.configured(routing.Routing(version, (), (), None, bounds))

    def heard(self, now: float, offset: int, configuration: int = 1) -> None:
        """Hear a heartbeat."""
        heartbeat = heartbeats.Heartbeat(
            operator_offset=offset, configuration=configuration
        )
        self.catching_up.heard(heartbeat, HOST, now)


def run(
    page: records.Page,
    play: typing.Callable[[_World, _Peer], typing.Awaitable[None]],
    *,
    new: bool = False,
) -> None:
    """Play with a peer that hands out a page."""

    async def played() -> None:
        peer = _Peer(page)
        world = _World(await peer.listen(), new=new)
        try:
            async with asyncio.timeout(20):
                await play(world, peer)
        finally:
            await peer.close()

    asyncio.run(played())


async def until_version(world: _World, version: int) -> None:
    """Wait until a configuration is in force."""
    while world.cluster.configuration != version:
        await asyncio.sleep(0)


class CatchingUpTest(testtools.TestCase):
    """Who knows less asks who knows more."""

    def test_others_are_behind_too(self) -> None:
        """A change hung on a silent read, here and at half of the peers.

        One peer had it and said so in each heartbeat. Between its heartbeats came those
        of peers that lacked it too, and each made this entry wait anew, so
        that it never asked.
        """

        async def play(world: _World, peer: _Peer) -> None:
            for heartbeat in range(LONG):
                world.heard(heartbeat * 0.2, 6)
                world.heard(heartbeat * 0.2 + 0.1, 5)
            await until_version(world, 2)
            self.assertEqual(b'/records/operator?5', peer.asked[0])

        newer = records.Record('config', 5, b'2')
        run(records.Page((newer,), 6), play)

    def test_moment_behind(self) -> None:
        """A peer that hears of a change first isn't asked at once."""

        async def play(world: _World, peer: _Peer) -> None:
            world.heard(0, 6)
            world.heard(0.1, 6)
            self.assertEqual([], peer.asked)

        run(records.Page((), 6), play)

    def test_record_lost_at_the_same_offset(self) -> None:
        """An entry served by a configuration that was 2.5 seconds old.

        It was the last of a quick succession. By the offsets the entry had
        read as far as all others, so that neither the store nor peers had
        anything more for it; only what was in force there was newer.
        """

        async def play(world: _World, peer: _Peer) -> None:
            for heartbeat in range(LONG):
                world.heard(heartbeat * 0.2, 5, 2)
            await until_version(world, 2)
            self.assertEqual(b'/records/operator?0', peer.asked[0])

        # The offset is one that this entry has for the older record.
        newer = records.Record('config', 4, b'2')
        run(records.Page((newer,), 5), play)

    def test_same_configuration(self) -> None:
        """Where the same is in force nothing is asked for."""

        async def play(world: _World, peer: _Peer) -> None:
            for heartbeat in range(LONG):
                world.heard(heartbeat * 0.2, 5, 1)
            await asyncio.sleep(0)
            self.assertEqual([], peer.asked)

        run(records.Page((), 5), play)


class StartTest(testtools.TestCase):
    """All entries start at the same moment, and none knows anything."""

    def test_peer_knows_nothing(self) -> None:
        """An entry learned from another that there was nothing to know.

        After a loss of power it asked one that had just started, too, took
        the empty answer for all that there was, and the version of weights
        that the store told it a moment later for one that was named just
        then. It told all others so, and older weights could be used for
        eight seconds more.
        """

        async def play(world: _World, peer: _Peer) -> None:
            world.heard(0, 0, 0)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.3):
                    await peer.served.wait()
            await asyncio.sleep(0.05)
            self.assertFalse(world.follower.started)

        run(records.Page((), 0), play, new=True)

    def test_peer_forgot(self) -> None:
        """One that was ahead has started anew when it is asked."""

        async def play(world: _World, peer: _Peer) -> None:
            world.heard(0, 6)
            world.heard(1, 6)
            await peer.served.wait()
            await asyncio.sleep(0.05)
            self.assertFalse(world.follower.started)

        run(records.Page((), 0), play, new=True)

    def test_agent_last(self) -> None:
        """An entry that started got the records over an agent's narrow link.

        The agent spoke first, as entries of the region had just been
        replaced. Its link carries a hundredth of an entry's, and the events
        of its engine besides.
        """

        async def play(world: _World, peer: _Peer) -> None:
            # An agent names no entry as its sender.
            world.heard(0, 6)
            world.heard(0.2, 6)
            await asyncio.sleep(0.05)
            self.assertEqual([], peer.asked)
            world.heard(0.5, 6)
            await until_version(world, 2)

        newer = records.Record('config', 5, b'2')
        run(records.Page((newer,), 6), play, new=True)
