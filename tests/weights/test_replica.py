"""Tests of one replica between its engine and its gate."""

from __future__ import annotations

import asyncio
import threading

import testtools

from clementinepass.weights import protocols
from tests.weights import fakes


class ReplicaTest(testtools.TestCase):
    """What the engine is read to serve decides, not what it answers."""

    def _check(self, fleet: fakes.Fleet) -> None:
        self.assertEqual([], fleet.wrong())

    def test_answer_lost_after_effect(self) -> None:
        """An order whose answer is lost took effect; it isn't repeated.

        The engine loads the version and the connection breaks before its
        answer. Ordering again would take the instance out of service a
        second time; reading back shows that there is nothing left to do.
        """

        async def story(fleet: fakes.Fleet) -> None:
            node = fleet.add('a')
            node.engine.lose_answers = 1
            fleet.want('v1', fleet.publish('v1', seed=1))
            await fleet.serving('v1')

        fleet = fakes.run(story)
        self._check(fleet)
        self.assertEqual([1], fleet.nodes[0].engine.orders)

    def test_success_reported_for_nothing(self) -> None:
        """An engine that reports success and serves something else.

        The engine answers two orders with success and goes on with what it
        had. A gate opened on that answer would send callers to the old
        weights under the new name. The order is repeated until it shows.
        """

        async def story(fleet: fakes.Fleet) -> None:
            node = fleet.add('a')
            fleet.want('v1', fleet.publish('v1', seed=1))
            await fleet.serving('v1')
            node.engine.lie = 2
            fleet.want('v2', fleet.publish('v2', seed=2))
            await fleet.serving('v2')

        fleet = fakes.run(story)
        self._check(fleet)
        self.assertEqual([1, 2, 2, 2], fleet.nodes[0].engine.orders)

    def test_serves_something_else_later(self) -> None:
        """An engine that turns to other weights is closed and reloaded.

        Somebody restarts the engine by hand, and it comes up with nothing.
        A dispatch must find the gate closed even before the agent's next
        regular reading, and the version comes back by itself.
        """

        async def story(fleet: fakes.Fleet) -> None:
            node = fleet.add('a')
            fleet.want('v1', fleet.publish('v1', seed=1))
            await fleet.serving('v1')
            node.engine.version = node.engine.digest = ''
            self.assertFalse(await node.rollout.confirm('v1'))
            self.assertEqual('', node.gate.version)
            await fleet.serving('v1')
            self.assertTrue(await node.rollout.confirm('v1'))
            self.assertFalse(await node.rollout.confirm('v2'))

        self._check(fakes.run(story))

    def test_paused_agent_with_an_old_order(self) -> None:
        """An agent that was paused wakes up with an old order in hand.

        An agent stands still in the middle of its order for v1, is replaced,
        and the new agent loads v2. Then the old one goes on. An engine that
        checks fencing numbers refuses it; one that does not turns to v1, and
        the new agent must close its gate and order v2 again. The old one
        learns of v2 last.
        """
        for fencing in (True, False):

            async def story(fleet: fakes.Fleet) -> None:
                engine = fakes.FakeEngine(fencing=fencing)
                pause = _Pause(engine)
                old = fleet.add('a', engine=engine)
                fleet.want('v1', fleet.publish('v1', seed=1), old)
                await fakes.until(pause.reached.is_set)
                second = fleet.publish('v2', seed=2)
                new = fleet.add('b', engine=engine)
                revision = fleet.want('v2', second, new)
                await fleet.serving('v2', new)
                pause.release.set()
                await fakes.until(lambda: 1 in engine.orders)
                await fakes.until(
                    lambda: engine.version == 'v2' and _serves(new, revision)
                )
                old.rollout.want('v2', second, revision)
                await fleet.serving('v2')
                self.assertTrue(await new.rollout.confirm('v2'))

            fleet = fakes.run(story)
            self._check(fleet)
            wanted = [2, 1] if fencing else [2, 1, 2]
            orders = fleet.nodes[0].engine.orders
            self.assertEqual(wanted, orders[: len(wanted)])

    def test_no_order_to_an_engine_with_a_newer_one(self) -> None:
        """An old order is not even given when the engine has had a newer.

        The engine shows the fencing number of another agent's order. Sending
        a whole version for a refusal would take its link for nothing.
        """

        async def story(fleet: fakes.Fleet) -> None:
            node = fleet.add('a')
            node.engine.largest = 9
            fleet.want('v1', fleet.publish('v1', seed=1))
            await fakes.until(
                lambda: 'revision 9' in node.rollout.progress().trouble
            )
            self.assertEqual('', node.gate.version)

        fleet = fakes.run(story)
        self._check(fleet)
        self.assertEqual([], fleet.nodes[0].engine.orders)

    def test_changed_back_with_an_order_under_way(self) -> None:
        """Going back while the engine loads waits for the order's end.

        v1 serves, an order for v2 is on its way to an engine that ignores
        fencing numbers, and v1 is wanted again. The engine still shows v1:
        opening the gate on that reading would serve v2 as v1 a moment later.
        """

        async def story(fleet: fakes.Fleet) -> None:
            engine = fakes.FakeEngine(fencing=False)
            node = fleet.add('a', engine=engine)
            first = fleet.publish('v1', seed=1)
            fleet.want('v1', first)
            await fleet.serving('v1')
            pause = _Pause(engine)
            fleet.want('v2', fleet.publish('v2', seed=2))
            await fakes.until(pause.reached.is_set)
            revision = fleet.want('v1', first)
            await _turns()
            self.assertEqual('', node.gate.version)
            pause.release.set()
            await fakes.until(lambda: _serves(node, revision))
            self.assertEqual('v1', engine.version)

        self._check(fakes.run(story))

    def test_older_revision_is_ignored(self) -> None:
        """A late message with an older revision changes nothing."""

        async def story(fleet: fakes.Fleet) -> None:
            node = fleet.add('a')
            first = fleet.publish('v1', seed=1)
            second = fleet.publish('v2', seed=2)
            node.rollout.want('v2', second, 5)
            node.rollout.want('v1', first, 4)
            await fleet.serving('v2')
            self.assertEqual([5], node.engine.orders)

        self._check(fakes.run(story))

    def test_gate_stays_open_until_the_order(self) -> None:
        """The old version is served until the new one is there to load.

        While chunks arrive, requests go on as before; the gate is closed to
        new ones just before the order, and never told to cut one off.
        """

        async def story(fleet: fakes.Fleet) -> None:
            node = fleet.add('a')
            fleet.want('v1', fleet.publish('v1', seed=1))
            await fleet.serving('v1')
            fleet.source.origin_down = True
            fleet.want('v2', fleet.publish('v2', seed=2))
            await fakes.until(lambda: 'down' in node.rollout.progress().trouble)
            self.assertEqual('v1', node.gate.version)
            fleet.source.origin_down = False
            await fleet.serving('v2')
            self.assertEqual(['', 'v1', '', 'v2'], node.gate.history)

        self._check(fakes.run(story))

    def test_engine_serves_it_at_the_start(self) -> None:
        """An agent that restarts beside a good engine opens at once."""

        async def story(fleet: fakes.Fleet) -> None:
            digest = fleet.publish('v1', seed=1)
            engine = fakes.FakeEngine()
            engine.version, engine.digest = 'v1', fleet.whole['v1']
            fleet.add('a', engine=engine)
            fleet.want('v1', digest)
            await fleet.serving('v1')

        fleet = fakes.run(story)
        self._check(fleet)
        self.assertEqual(0, fleet.source.chunk_reads)
        self.assertEqual([], fleet.nodes[0].engine.orders)


class _Pause:
    """Hold the next order of an engine where it is."""

    def __init__(self, engine: fakes.FakeEngine) -> None:
        self.reached = threading.Event()
        self.release = threading.Event()
        self._engine = engine
        engine.during = self._hold

    def _hold(self) -> None:
        self._engine.during = lambda: None
        self.reached.set()
        self.release.wait(20)


def _serves(node: fakes.Node, revision: int) -> bool:
    progress = node.rollout.progress()
    serving = progress.phase is protocols.Phase.SERVING
    return serving and progress.revision == revision and bool(node.gate.version)


async def _turns() -> None:
    """Let everything that can go on do so for a while."""
    for _ in range(50):
        await asyncio.sleep(0.001)
