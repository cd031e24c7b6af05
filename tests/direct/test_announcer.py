"""Tests of what agents tell entries."""

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
OWN = node.Node(
    name='agent-1',
    ip='10.0.0.1',
    domain='a',
    region='a',
    regions_by_domain={'a': 'a'},
    first_port=1,
    store='',
    duties=node.Duties(),
    endpoint=ENGINE,
)
HELD = endpoints.Weights(2, 0, 4)


class _Peers:
    """Keeps what would be sent."""

    def __init__(self) -> None:
        self.held: tuple[heartbeats.Held, ...] = ()
        self.told: list[heartbeats.Held] = []
        self.members = members.Members('10.0.0.1')

    def tell(self, ips: list[str]) -> None:
        """Send a heartbeat."""
        self.told.extend(self.held)


class TellingTest(testtools.TestCase):
    """Entries hear of the engine and of the link beside it."""

    def play(
        self,
        story: typing.Callable[[announcer.Announcer], None],
    ) -> list[heartbeats.Held]:
        """Tell a story and return what was sent first after each word."""
        peers = _Peers()

        async def played() -> None:
            story(announcer.Announcer(OWN, typing.cast('typing.Any', peers)))
            await asyncio.sleep(0.01)

        asyncio.run(played())
        return peers.told

    def test_loads(self) -> None:
        """While it loads no layers are told of."""
        told = self.play(lambda own: own.announce_loading(3))
        self.assertEqual((3, 0, 0), told[-1][1:4])

    def test_congestion_keeps_the_rest(self) -> None:
        """A slow link while the engine loads.

        The word of the link must not bring back what the engine held before.
        """

        def story(own: announcer.Announcer) -> None:
            own.announce_weights(HELD, incarnations.UNKNOWN_START)
            own.announce_loading(3)
            own.update_congestion(is_slow=True)

        told = self.play(story)
        self.assertEqual(
            heartbeats.Held(ENGINE, 3, 0, 0, congested=True), told[-1]
        )

    def test_start_goes_along(self) -> None:
        """Each word says of which start of the engine it is.

        An engine crashed while its agent had it load. What was told of the
        start before must not be taken for a word of the new one.
        """

        def story(own: announcer.Announcer) -> None:
            own.announce_weights(HELD, 1000)
            own.announce_loading(3)
            own.update_congestion(is_slow=True)

        told = self.play(story)
        self.assertEqual({1000}, {word.started for word in told})
        sent = wire_heartbeats.write_heartbeat(
            heartbeats.Heartbeat(held=tuple(told[-1:]))
        )
        read = wire_heartbeats.read_heartbeat(sent, 'p')
        self.assertEqual(tuple(told[-1:]), read.held)

    def test_congestion_over(self) -> None:
        """It is told once that the link is sound again."""

        def story(own: announcer.Announcer) -> None:
            own.announce_weights(HELD, incarnations.UNKNOWN_START)
            own.update_congestion(is_slow=True)
            own.update_congestion(is_slow=False)
            own.update_congestion(is_slow=False)

        told = self.play(story)
        self.assertFalse(told[-1].congested)
        self.assertEqual(3, len(told))


class CongestionTest(testtools.TestCase):
    """An entry believes an agent's word on its link for a while."""

    def test_believed_for_a_while(self) -> None:
        """An agent that falls silent isn't passed by for ever."""
        now = [100.0]
        known = cluster_state.ClusterState(OWN, clock=lambda: now[0])
        known.endpoints.listed(
            endpoints.Listing('i', 's', ENGINE, 'a', 16, False, 1, HELD),
        )
        known.heard_held(
            heartbeats.Held(ENGINE, 2, 0, 4, congested=True),
            now[0],
        )

        def congested() -> bool:
            (endpoint,) = known.endpoints
            return endpoint.congested_until > now[0]

        self.assertTrue(congested())
        now[0] += 3
        self.assertFalse(congested())

    def test_taken_back_with_its_start(self) -> None:
        """An agent took back that its engine loads, and named no start.

        Entries take a word without a start as of the newest one they know. An
        engine that had started anew meanwhile, empty, was taken to hold what
        the start before it had held.
        """
        peers = _Peers()

        async def played() -> None:
            own = announcer.Announcer(OWN, typing.cast('typing.Any', peers))
            own.announce_weights(HELD, 1000)
            own.announce_loading(3)
            await own.withdraw_loading(HELD)

        asyncio.run(played())
        self.assertEqual({1000}, {one.started for one in peers.told})
        self.assertEqual(HELD, endpoints.Weights(*peers.held[0][1:4]))
