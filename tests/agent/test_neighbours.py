"""Tests of the view of other agents."""

from __future__ import annotations

import asyncio
import typing

import testtools

from clementinepass.agent import neighbours
from clementinepass.platform import protocols
from clementinepass.wire import bridge as bridges
from standins import memory


def _agent(name: str, serves: str) -> protocols.Instance:
    return protocols.Instance(
        id=name,
        role=protocols.Role.AGENT,
        address='127.0.0.1:7000',
        region='lowland',
        failure_domain='east',
        serves=serves,
    )


class NeighboursTest(testtools.TestCase):
    """Only agents that may load the same model are members of its waves."""

    def test_others_are_no_members(self) -> None:
        """Agents of other models and of services are left out.

        An operator sees: a change of versions takes half a minute longer for
        each wave. Replicas waited for an agent that serves something else
        and never loads the version; they passed it only after their patience.
        """
        listed = memory.MemoryInstanceList()
        for name, serves in (
            ('agent-0', 'faults'),
            ('agent-1', 'faults'),
            ('agent-2', 'dispatches'),
            ('agent-3', 'notes'),
            ('agent-4', ''),
        ):
            listed.put(_agent(name, serves))

        async def members() -> set[str]:
            bridge = bridges.Bridge(asyncio.get_running_loop(), 1)
            known = neighbours.Neighbours('agent-0', listed, bridge)
            following = asyncio.create_task(known.run())
            await known.settle()
            following.cancel()
            bridge.close()
            return {one.id for one in known.peers_for('faults')}

        self.assertEqual({'agent-1', 'agent-4'}, asyncio.run(members()))

    def test_cancelled_when_listed(self) -> None:
        """An agent that is stopped when the list first shows it stops waiting.

        The cancellation was dropped, and the agent went on to load weights.
        """
        listed = memory.MemoryInstanceList()
        listed.put(_agent('agent-0', 'faults'))

        async def is_cancelled(steps: int) -> bool:
            known = neighbours.Neighbours('agent-0', listed, _DirectBridge())
            settling = asyncio.create_task(known.settle())
            await asyncio.sleep(0)
            following = asyncio.create_task(known.run())
            for _ in range(steps):
                await asyncio.sleep(0)
            was_done = settling.done()
            settling.cancel()
            await asyncio.wait((settling,))
            following.cancel()
            return was_done or settling.cancelled()

        for steps in range(6):
            self.assertTrue(asyncio.run(is_cancelled(steps)), steps)


class _DirectBridge(bridges.Bridge):
    """Calls at once, without a thread."""

    def __init__(self) -> None:
        """Start no thread."""

    async def block(
        self, call: typing.Callable[..., typing.Any], *arguments: typing.Any
    ) -> typing.Any:
        """Return what the call returns."""
        return call(*arguments)
