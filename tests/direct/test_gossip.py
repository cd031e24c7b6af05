"""Tests of gossip among many processes."""

from __future__ import annotations

import asyncio
import random

import testtools

from clementinepass.direct import cluster_state, gossip, members, node
from standins import machines

#: Entries, and heartbeats that each of them sends.
ENTRIES = 120
HEARTBEATS = 15
HEARTBEAT_SECONDS = 0.4
#: The share of the other entries that each must see as alive.
MIN_ALIVE_SHARE = 0.9


class _Loop(asyncio.SelectorEventLoop):
    """An event loop with a manual clock."""

    def __init__(self) -> None:
        super().__init__()
        self.now: float = 1000

    def time(self) -> float:
        """Return the time that the test has set."""
        return self.now


class _Peers(gossip.Peers):
    """The gossip of an entry, without a network."""

    def __init__(
        self,
        ip: str,
        peers_by_ip: dict[str, _Peers],
        rng: random.Random,
    ) -> None:
        local_node = node.Node(
            name=ip,
            ip=ip,
            domain='north-1',
            region='north',
            regions_by_domain={},
            first_port=7000,
            store='',
            duties=node.SystemLimits(),
            callers=f'{ip}:80',
        )
        super().__init__(
            local_node, {}, cluster_state.ClusterState(local_node), rng
        )
        self.phase = members.Phase.READY
        self._peers_by_ip = peers_by_ip
        self.sent_bytes = 0

    def _send(self, payload: bytes, ip: str) -> None:
        self.sent_bytes += len(payload)
        self._peers_by_ip[ip].receive(payload, self._local_node.ip)


class ManyEntriesTest(testtools.TestCase):
    """There are more entries than a heartbeat is sent to.

    Of 150 live entries each saw nearly half of the others as gone at any time:
    callers were sent to the rest, and requests of the others at engines were
    not counted.  A heartbeat went to sixteen random entries, so that a member
    was seen directly only every four seconds, and the members listed in every
    fifth heartbeat were always the same sixteen.
    """

    def test_all_alive(self) -> None:
        """An entry that sends heartbeats is alive to nearly all others."""
        loop = _Loop()
        self.addCleanup(loop.close)
        rng = random.Random(4)
        peers_by_ip: dict[str, _Peers] = {}
        for number in range(ENTRIES):
            ip = f'10.0.0.{number}'
            peers_by_ip[ip] = _Peers(ip, peers_by_ip, rng)

        async def scenario() -> None:
            entries = list(peers_by_ip.values())
            for entry in entries:
                entry.contact(peers_by_ip)
            for _ in range(HEARTBEATS):
                rng.shuffle(entries)
                for entry in entries:
                    entry.send_heartbeat()
                    loop.now += HEARTBEAT_SECONDS / ENTRIES

        loop.run_until_complete(scenario())
        for entry in peers_by_ip.values():
            alive_count = len(entry.members.alive(loop.now))
            self.assertGreater(alive_count, MIN_ALIVE_SHARE * (ENTRIES - 1))


class CloseTest(testtools.TestCase):
    """The end of a process."""

    def test_announcement_after_close(self) -> None:
        """An announcement that is still scheduled is not sent."""

        async def scenario() -> None:
            ip = '127.4.0.1'
            local_node = node.Node(
                name=ip,
                ip=ip,
                domain='a',
                region='a',
                regions_by_domain={},
                first_port=machines.free_port([ip]),
                store='',
                duties=node.SystemLimits(),
            )
            cluster = cluster_state.ClusterState(local_node)
            peers = gossip.Peers(local_node, {}, cluster, random.Random(1))
            await peers.listen()
            await peers.close()
            peers.send_to(['127.4.0.2'])

        asyncio.run(scenario())
