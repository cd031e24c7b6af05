"""Tests of finding the manifest of a version."""

from __future__ import annotations

import asyncio

import testtools

from clementinepass import errors
from clementinepass.decisions import piece_chains
from clementinepass.direct import loading, weights
from tests.direct import test_loading

#: Seconds for which an agent without a manifest lets another wait for it, and
#: until the origin answers again.
WAIT = 0.2
ORIGIN_BACK = 0.3
#: Agents beside the one that asks.
OTHERS = 40


class _WaitingAgent(test_loading.Origin):
    """Has no manifest, and says so only after a wait."""

    async def manifest(
        self,
        model: str,
        version: int,
    ) -> weights.Manifest | None:
        """Return nothing, late."""
        await asyncio.sleep(WAIT)
        return None


class _ReturningOrigin(test_loading.Origin):
    """Refuses connections for a while."""

    def __init__(self, back_at: float) -> None:
        super().__init__()
        self._back_at = back_at

    async def manifest(
        self,
        model: str,
        version: int,
    ) -> weights.Manifest | None:
        """Return the manifest of a version once the origin is back."""
        if asyncio.get_running_loop().time() < self._back_at:
            raise errors.PeerUnavailableError(
                'refused',
                step='manifest',
                peer='origin',
            )
        return await super().manifest(model, version)


class _View:
    """One agent of many; none of the others has anything."""

    def __init__(self, origin: _ReturningOrigin) -> None:
        self._origin = origin
        self._agent = _WaitingAgent()

    def plan_input(self, model: str, version: int) -> piece_chains.Question:
        """Return all agents as equals."""
        own = piece_chains.Peer('north', 'north-1', '10.0.0.0')
        others = [
            piece_chains.Peer('north', 'north-1', f'10.0.1.{number}')
            for number in range(OTHERS)
        ]
        return piece_chains.Question(own, others, 'north')

    def source(self, ip: str) -> weights.Source:
        """Return the origin or another agent."""
        return self._origin if ip == piece_chains.ORIGIN else self._agent

    def version_to_fetch(self) -> tuple[str, int]:
        """Return the version that is got now."""
        return test_loading.MODEL, 2


class OriginBackTest(testtools.TestCase):
    """The origin is away when all agents start, and comes back.

    All machines lost power while the origin was away.  It was back three
    seconds after them, but twelve seconds later no engine had any weights and
    nearly all requests were refused.  Each agent asked all others one after
    the other for the manifest, each of which let it wait a second for what
    nobody had, and asked the origin once in each such round: the more agents,
    the longer the round.
    """

    def test_many_others(self) -> None:
        """Pieces come soon after the origin is back, however many wait."""

        async def story() -> None:
            loop = asyncio.get_running_loop()
            back_at = loop.time() + ORIGIN_BACK
            origin = _ReturningOrigin(back_at)
            own = loading.Loader(test_loading.Engine(), _View(origin))
            while own.newest_complete(test_loading.MODEL) != 2:
                try:
                    await own.fetch(test_loading.MODEL, 2)
                except errors.ContentMissingError:
                    await asyncio.sleep(test_loading.STEP)
            self.assertLess(loop.time() - back_at, 10 * WAIT)

        test_loading.run(story())
