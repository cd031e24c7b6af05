"""Random schedules of faults around one replica and its gate."""

from __future__ import annotations

import asyncio

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from clementinepass.weights import protocols
from tests.weights import fakes

_VERSIONS = ('v1', 'v2', 'v3')


class ReplicaMachine(stateful.RuleBasedStateMachine):
    """Whatever happens in whichever order, the gate opens on the whole."""

    def __init__(self) -> None:
        super().__init__()
        self._runner = asyncio.Runner()
        self._runner.run(self._start())

    async def _start(self) -> None:
        self._fleet = fakes.Fleet()
        self._digests = {
            version: self._fleet.publish(version, seed, shared=4)
            for seed, version in enumerate(_VERSIONS)
        }
        self._engine = fakes.FakeEngine()
        self._node = self._fleet.add('a', engine=self._engine)
        self._fleet.add('b')
        self._revision = 0

    def teardown(self) -> None:
        """Let everything heal; the newest version must come to serve."""
        self._runner.run(self._heal())
        self._runner.close()
        assert not self._fleet.wrong(), self._fleet.wrong()

    async def _heal(self) -> None:
        self._fleet.source.origin_down = False
        self._fleet.network.corrupting.clear()
        self._engine.lie = self._engine.lose_answers = 0
        if self._revision:
            await fakes.until(self._settled)
        await self._fleet.stop()

    def _settled(self) -> bool:
        progress = self._node.rollout.progress()
        serving = progress.phase is protocols.Phase.SERVING
        newest = progress.revision == self._revision
        open_for = self._node.gate.version == progress.wanted
        return serving and newest and open_for

    @stateful.rule(version=st.sampled_from(_VERSIONS), steps=st.integers(0, 9))
    def want(self, version: str, steps: int) -> None:
        """Let both nodes want a version, and some time pass."""
        self._revision = self._fleet.want(version, self._digests[version])
        self._pass(steps)

    @stateful.rule(lies=st.integers(0, 2), lost=st.integers(0, 2))
    def engine_faults(self, lies: int, lost: int) -> None:
        """Let the engine lie and its answers get lost."""
        self._engine.lie = lies
        self._engine.lose_answers = lost

    @stateful.rule(steps=st.integers(0, 9))
    def engine_restarts(self, steps: int) -> None:
        """Let the engine come up with nothing."""
        with self._engine.lock:
            self._engine.version = self._engine.digest = ''
        self._pass(steps)

    @stateful.rule(down=st.booleans(), corrupt=st.booleans())
    def sources(self, down: bool, corrupt: bool) -> None:
        """Let the origin go down and the other node corrupt chunks."""
        self._fleet.source.origin_down = down
        if corrupt:
            self._fleet.network.corrupting.add('b')
        else:
            self._fleet.network.corrupting.discard('b')

    @stateful.rule(steps=st.integers(1, 30))
    def time_passes(self, steps: int) -> None:
        """Let everything go on for a while."""
        self._pass(steps)

    @stateful.invariant()
    def confirmed_means_served(self) -> None:
        """What is confirmed for a dispatch is what the engine serves."""
        version = self._node.gate.version
        if version and self._runner.run(self._node.rollout.confirm(version)):
            assert self._engine.version == version
            assert self._engine.digest == self._fleet.whole[version]
        assert not self._fleet.wrong(), self._fleet.wrong()

    def _pass(self, steps: int) -> None:
        async def _turns() -> None:
            for _ in range(steps):
                await asyncio.sleep(0.001)

        self._runner.run(_turns())


ReplicaMachineTest = ReplicaMachine.TestCase
ReplicaMachineTest.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=12,
    deadline=None,
    derandomize=True,
    database=None,
)
