"""Tests of what many processes come to know of one another."""

from __future__ import annotations

import asyncio
import random

import testtools

from clementinepass.direct import cluster_state, gossip, members, node

#: Entries, and heartbeats of each.
ENTRIES = 120
BEATS = 15
BEAT_SECONDS = 0.4
#: The part of the others that each must take for there.
KNOWN_PART = 0.9


class _Loop(asyncio.SelectorEventLoop):
    """An event loop whose clock is set by hand."""

    def __init__(self) -> None:
        super().__init__()
        self.now: float = 1000

    def time(self) -> float:
        """Return the time that was set."""
        return self.now


class _Peers(gossip.Peers):
    """An entry's talk with others, without a network."""

    def __init__(
        self,
        ip: str,
        peers_by_ip: dict[str, _Peers],
        rng: random.Random,
    ) -> None:
        own = node.Node(
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
        super().__init__(own, {}, cluster_state.ClusterState(own), rng)
        self.phase = members.Phase.READY
        self._peers_by_ip = peers_by_ip
        #: Bytes sent.
        self.sent = 0

    def _send(self, payload: bytes, ip: str) -> None:
        self.sent += len(payload)
        self._peers_by_ip[ip].heard(payload, self._own.ip)


class ManyEntriesTest(testtools.TestCase):
    """More entries than each heartbeat goes to.

    All of 150 entries were there, and each took nearly half of the others for
    gone at any time: callers were sent to those that were left, and their
    requests at engines weren't counted.  A heartbeat went to sixteen drawn at
    random, so that one was heard directly each four seconds; and the members
    that each fifth heartbeat told of were always the same sixteen.
    """

    def test_all_there(self) -> None:
        """Who speaks is taken for there by nearly all others."""
        loop = _Loop()
        self.addCleanup(loop.close)
        rng = random.Random(4)
        peers_by_ip: dict[str, _Peers] = {}
        for number in range(ENTRIES):
            ip = f'10.0.0.{number}'
            peers_by_ip[ip] = _Peers(ip, peers_by_ip, rng)

        async def story() -> None:
            everyone = list(peers_by_ip.values())
            for each in everyone:
                each.met(peers_by_ip)
            for _ in range(BEATS):
                rng.shuffle(everyone)
                for each in everyone:
                    each.speak()
                    loop.now += BEAT_SECONDS / ENTRIES

        loop.run_until_complete(story())
        for each in peers_by_ip.values():
            there = len(each.members.alive(loop.now))
            self.assertGreater(there, KNOWN_PART * (ENTRIES - 1))
