"""Tests of fetching records from peers that have read further."""

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
    members,
    node,
    records,
    routing,
    turns,
)
from clementinepass.http import front, limits, replies
from clementinepass.wire import heartbeats as wire_heartbeats

HOST = '127.0.0.1'
OPERATOR = records.Topic.OPERATOR
#: Heartbeats after which a peer has been ahead for longer than the fetch delay.
HEARTBEATS = 10


class _Peer:
    """A peer that serves one page of the operator's records."""

    def __init__(self, page: records.Page) -> None:
        self.page = page
        self.requested: list[bytes] = []
        self.served = asyncio.Event()
        self._front = front.Front(self._serve)

    async def listen(self) -> int:
        """Listen; return the port."""
        return await self._front.listen(HOST, 0)

    async def close(self) -> None:
        """Stop listening."""
        await self._front.close()

    async def _serve(self, request: typing.Any, reply: replies.Reply) -> None:
        self.requested.append(request.target)
        reply.send(200, [], wire_heartbeats.write_records(self.page))
        self.served.set()


class _World:
    """An entry with version 1 of the configuration, at offset 4.

    :param is_new: whether the entry has just started and knows nothing.
    """

    def __init__(self, port: int, *, is_new: bool = False) -> None:
        local_node = node.Node(
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
        self.cluster = cluster_state.ClusterState(local_node)
        self.follower = follower.Follower(
            typing.cast('records.Store', None),
            OPERATOR,
            self._apply,
            random.Random(1),
        )
        if not is_new:
            first = records.Record('config', 4, b'1')
            self.follower.apply(records.Page((first,), 5))
        self.catching_up = catching_up.PeerCatchUp(
            local_node,
            {OPERATOR: self.follower},
            self.cluster,
            turns.ReadTurns(local_node, members.Members(HOST)),
        )

    def _apply(self, record: records.Record) -> None:
        bounds = limits.Bounds()
        version = int(record.payload or b'0')
        self.cluster.apply_configuration(
            routing.Routing(version, (), (), None, bounds)
        )

    def receive(self, now: float, offset: int, configuration: int = 1) -> None:
        """Handle a heartbeat with an offset and a configuration version."""
        heartbeat = heartbeats.Heartbeat(
            operator_offset=offset, configuration_version=configuration
        )
        self.catching_up.handle_heartbeat(heartbeat, HOST, now)


def run(
    page: records.Page,
    scenario: typing.Callable[[_World, _Peer], typing.Awaitable[None]],
    *,
    is_new: bool = False,
) -> None:
    """Run a scenario with a peer that serves a page."""

    async def run_scenario() -> None:
        peer = _Peer(page)
        world = _World(await peer.listen(), is_new=is_new)
        try:
            async with asyncio.timeout(20):
                await scenario(world, peer)
        finally:
            await peer.close()

    asyncio.run(run_scenario())


async def until_version(world: _World, version: int) -> None:
    """Wait until a configuration is in force."""
    while world.cluster.configuration_version != version:
        await asyncio.sleep(0)


class CatchingUpTest(testtools.TestCase):
    """A process that is behind fetches records from a peer that is ahead."""

    def test_other_peers_are_behind_too(self) -> None:
        """Heartbeats of peers that are behind do not restart the fetch delay.

        Reads of the store hang here and at half of the peers. One peer
        announces the change in each heartbeat, and between those come the
        heartbeats of peers that lack it. If each of these restarted the
        delay, the record would never be fetched.
        """

        async def scenario(world: _World, peer: _Peer) -> None:
            for heartbeat in range(HEARTBEATS):
                world.receive(heartbeat * 0.2, 6)
                world.receive(heartbeat * 0.2 + 0.1, 5)
            await until_version(world, 2)
            self.assertEqual(b'/records/operator?5', peer.requested[0])

        newer = records.Record('config', 5, b'2')
        run(records.Page((newer,), 6), scenario)

    def test_no_fetch_within_the_delay(self) -> None:
        """Nothing is fetched from a peer that has just read a change."""

        async def scenario(world: _World, peer: _Peer) -> None:
            world.receive(0, 6)
            world.receive(0.1, 6)
            self.assertEqual([], peer.requested)

        run(records.Page((), 6), scenario)

    def test_record_lost_at_the_same_offset(self) -> None:
        """A configuration lost here is found by its version, not its offset.

        After configurations in quick succession an entry served by one that
        was 2.5 seconds old. Its offset equalled that of all others, so that
        neither the store nor the peers had more records for it; only the
        version in force at the peers was newer.
        """

        async def scenario(world: _World, peer: _Peer) -> None:
            for heartbeat in range(HEARTBEATS):
                world.receive(heartbeat * 0.2, 5, 2)
            await until_version(world, 2)
            self.assertEqual(b'/records/operator?0', peer.requested[0])

        # The older record has the same offset at this entry.
        newer = records.Record('config', 4, b'2')
        run(records.Page((newer,), 5), scenario)

    def test_same_configuration(self) -> None:
        """Nothing is fetched if the same configuration is in force."""

        async def scenario(world: _World, peer: _Peer) -> None:
            for heartbeat in range(HEARTBEATS):
                world.receive(heartbeat * 0.2, 5, 1)
            await asyncio.sleep(0)
            self.assertEqual([], peer.requested)

        run(records.Page((), 5), scenario)


class StartTest(testtools.TestCase):
    """All entries start at the same moment without any records."""

    def test_peer_has_read_nothing(self) -> None:
        """Nothing is fetched from a peer that has not read the store, either.

        After a power loss an entry fetched an empty page from a peer that had
        just started, and treated it as the whole topic. The desired version
        that the store sent a moment later looked newly written. The entry
        announced it so, and older weights could be used for eight seconds
        more.
        """

        async def scenario(world: _World, peer: _Peer) -> None:
            world.receive(0, 0, 0)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.3):
                    await peer.served.wait()
            await asyncio.sleep(0.05)
            self.assertFalse(world.follower.is_initialized)

        run(records.Page((), 0), scenario, is_new=True)

    def test_peer_has_restarted(self) -> None:
        """The empty page of a peer that restarted meanwhile is ignored."""

        async def scenario(world: _World, peer: _Peer) -> None:
            world.receive(0, 6)
            world.receive(1, 6)
            await peer.served.wait()
            await asyncio.sleep(0.05)
            self.assertFalse(world.follower.is_initialized)

        run(records.Page((), 0), scenario, is_new=True)

    def test_agents_come_last(self) -> None:
        """Records are not fetched from an agent while an entry may have them.

        After the entries of a region had been replaced, the first heartbeat
        came from an agent. Its link has a hundredth of the capacity of an
        entry's, and carries its engine's events, too.
        """

        async def scenario(world: _World, peer: _Peer) -> None:
            # A heartbeat of an agent names no sender.
            world.receive(0, 6)
            world.receive(0.2, 6)
            await asyncio.sleep(0.05)
            self.assertEqual([], peer.requested)
            world.receive(0.5, 6)
            await until_version(world, 2)

        newer = records.Record('config', 5, b'2')
        run(records.Page((newer,), 6), scenario, is_new=True)
