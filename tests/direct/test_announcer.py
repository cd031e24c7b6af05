"""Tests of the announcements that agents send to entries."""

from __future__ import annotations

import asyncio
import typing

import testtools

from clementinepass.decisions import incarnations
from clementinepass.direct import (
    announcer,
    cluster_state,
    endpoints,
    heartbeats,
    members,
    node,
)
from clementinepass.wire import heartbeats as wire_heartbeats

ENGINE = '10.0.0.1:80'
LOCAL_NODE = node.Node(
    name='agent-1',
    ip='10.0.0.1',
    domain='a',
    region='a',
    regions_by_domain={'a': 'a'},
    first_port=1,
    store='',
    duties=node.SystemLimits(),
    endpoint=ENGINE,
)
HELD = endpoints.Weights(2, 0, 4)


class _Peers:
    """Peers that record what would be sent."""

    def __init__(self) -> None:
        self.engine_statuses: tuple[heartbeats.EngineStatus, ...] = ()
        self.announcements: list[heartbeats.EngineStatus] = []
        self.members = members.Members('10.0.0.1')

    def send_to(self, ips: list[str]) -> None:
        """Record an announcement."""
        self.announcements.extend(self.engine_statuses)


class AnnouncerTest(testtools.TestCase):
    """Agents announce the state of their engine and their link."""

    def announce(
        self,
        scenario: typing.Callable[[announcer.Announcer], None],
    ) -> list[heartbeats.EngineStatus]:
        """Run a scenario; return the first copy of each announcement."""
        peers = _Peers()

        async def main() -> None:
            scenario(
                announcer.Announcer(
                    LOCAL_NODE, typing.cast('typing.Any', peers)
                )
            )
            await asyncio.sleep(0.01)

        asyncio.run(main())
        return peers.announcements

    def test_loading(self) -> None:
        """An engine that loads is announced without layers."""
        announcements = self.announce(
            lambda agent_announcer: agent_announcer.announce_loading(3)
        )
        self.assertEqual((3, 0, 0), announcements[-1][1:4])

    def test_congestion_keeps_loading_state(self) -> None:
        """Congestion while the engine loads doesn't announce its old weights."""

        def scenario(agent_announcer: announcer.Announcer) -> None:
            agent_announcer.announce_weights(HELD, incarnations.UNKNOWN_START)
            agent_announcer.announce_loading(3)
            agent_announcer.update_congestion(is_congested=True)

        announcements = self.announce(scenario)
        self.assertEqual(
            heartbeats.EngineStatus(ENGINE, 3, 0, 0, congested=True),
            announcements[-1],
        )

    def test_start_included(self) -> None:
        """Each announcement names the engine's start.

        An engine crashed while its agent ordered it to load. Announcements
        about the previous start mustn't be attributed to the new one.
        """

        def scenario(agent_announcer: announcer.Announcer) -> None:
            agent_announcer.announce_weights(HELD, 1000)
            agent_announcer.announce_loading(3)
            agent_announcer.update_congestion(is_congested=True)

        announcements = self.announce(scenario)
        self.assertEqual(
            {1000}, {announcement.started_ms for announcement in announcements}
        )
        sent = wire_heartbeats.write_heartbeat(
            heartbeats.Heartbeat(engine_statuses=tuple(announcements[-1:]))
        )
        read = wire_heartbeats.read_heartbeat(sent, 'p')
        self.assertEqual(tuple(announcements[-1:]), read.engine_statuses)

    def test_congestion_end(self) -> None:
        """The end of congestion is announced once."""

        def scenario(agent_announcer: announcer.Announcer) -> None:
            agent_announcer.announce_weights(HELD, incarnations.UNKNOWN_START)
            agent_announcer.update_congestion(is_congested=True)
            agent_announcer.update_congestion(is_congested=False)
            agent_announcer.update_congestion(is_congested=False)

        announcements = self.announce(scenario)
        self.assertFalse(announcements[-1].congested)
        self.assertEqual(3, len(announcements))


class CongestionTest(testtools.TestCase):
    """An entry considers a link congested for a limited time."""

    def test_congestion_expires(self) -> None:
        """The endpoint of an agent that falls silent is used again."""
        now = [100.0]
        cluster = cluster_state.ClusterState(LOCAL_NODE, clock=lambda: now[0])
        cluster.endpoints.apply_listing(
            endpoints.Listing('i', 's', ENGINE, 'a', 16, False, 1, HELD),
        )
        cluster.update_engine_status(
            heartbeats.EngineStatus(ENGINE, 2, 0, 4, congested=True),
            now[0],
        )

        def congested() -> bool:
            (endpoint,) = cluster.endpoints
            return endpoint.congested_until > now[0]

        self.assertTrue(congested())
        now[0] += 3
        self.assertFalse(congested())

    def test_withdrawal_includes_start(self) -> None:
        """Withdrawing the announcement of loading names the engine's start.

        Entries attribute an announcement without a start to the newest start
        that they know. An engine that had restarted without weights was
        considered to hold those of its previous start.
        """
        peers = _Peers()

        async def main() -> None:
            agent_announcer = announcer.Announcer(
                LOCAL_NODE, typing.cast('typing.Any', peers)
            )
            agent_announcer.announce_weights(HELD, 1000)
            agent_announcer.announce_loading(3)
            await agent_announcer.withdraw_loading(HELD)

        asyncio.run(main())
        self.assertEqual(
            {1000},
            {announcement.started_ms for announcement in peers.announcements},
        )
        self.assertEqual(
            HELD, endpoints.Weights(*peers.engine_statuses[0][1:4])
        )
