"""Tests of finding the manifest of a version."""

from __future__ import annotations

import asyncio

import testtools

from clementinepass import errors
from clementinepass.decisions import piece_chains
from clementinepass.direct import loading, weights
from tests.direct import test_loading

#: Seconds for which an agent without a manifest lets a request wait, and until
#: the origin is back.
WAIT_SECONDS = 0.2
ORIGIN_BACK_SECONDS = 0.3
#: Agents beside the one that requests the manifest.
OTHER_AGENTS = 40


class _WaitingAgent(test_loading.Origin):
    """Agent without a manifest that says so only after a wait."""

    async def manifest(
        self,
        model: str,
        version: int,
    ) -> weights.Manifest | None:
        """Return nothing after a wait."""
        await asyncio.sleep(WAIT_SECONDS)
        return None


class _ReturningOrigin(test_loading.Origin):
    """Origin that refuses connections until a given time."""

    def __init__(self, available_at: float) -> None:
        super().__init__()
        self._available_at = available_at

    async def manifest(
        self,
        model: str,
        version: int,
    ) -> weights.Manifest | None:
        """Return the manifest of a version once the origin is back."""
        if asyncio.get_running_loop().time() < self._available_at:
            raise errors.PeerUnavailableError(
                'refused',
                step='manifest',
                peer='origin',
            )
        return await super().manifest(model, version)


class _Context:
    """Context of one agent among many that have no manifest."""

    def __init__(self, origin: _ReturningOrigin) -> None:
        self._origin = origin
        self._agent = _WaitingAgent()

    def plan_input(self, model: str, version: int) -> piece_chains.PlanInput:
        """Return the other agents as peers."""
        local_peer = piece_chains.Agent('north', 'north-1', '10.0.0.0')
        others = [
            piece_chains.Agent('north', 'north-1', f'10.0.1.{number}')
            for number in range(OTHER_AGENTS)
        ]
        return piece_chains.PlanInput(local_peer, others, 'north')

    def source(self, ip: str) -> weights.Source:
        """Return the origin or another agent."""
        return self._origin if ip == piece_chains.ORIGIN else self._agent

    def version_to_fetch(self) -> tuple[str, int]:
        """Return the version that is fetched now."""
        return test_loading.MODEL, 2


class OriginReturnsTest(testtools.TestCase):
    """The origin is unavailable when all agents start, and comes back.

    All machines lost power while the origin was down. It was back three seconds
    after them, but twelve seconds later no engine had any weights and nearly
    all requests were refused. Each agent requested the manifest from all others
    in turn, each of which let it wait a second, and from the origin only once
    in such a round. So the length of a round grew with the number of agents.
    """

    def test_many_agents(self) -> None:
        """Pieces arrive soon after the origin is back."""

        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            available_at = loop.time() + ORIGIN_BACK_SECONDS
            origin = _ReturningOrigin(available_at)
            loader = loading.Loader(test_loading.Engine(), _Context(origin))
            while loader.newest_complete(test_loading.MODEL) != 2:
                try:
                    await loader.fetch(test_loading.MODEL, 2)
                except errors.ContentMissingError:
                    await asyncio.sleep(test_loading.STEP_SECONDS)
            self.assertLess(loop.time() - available_at, 10 * WAIT_SECONDS)

        test_loading.run_scenario(scenario())
