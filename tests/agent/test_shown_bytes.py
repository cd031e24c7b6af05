"""Tests that what a rollout fetched is shown to operators, by source."""

from __future__ import annotations

import types
import typing

import aioprometheus
import msgspec
import testtools

from clementinepass import clock as clocks
from clementinepass.agent import agent as agents
from clementinepass.agent import gate as gates
from clementinepass.agent import instruments, workloads
from clementinepass.cli import entry_client
from clementinepass.wire import messages, schema

_PROGRESS = types.SimpleNamespace(
    wanted='lamps-1',
    chunks_held=2,
    chunks_wanted=9,
    trouble='',
    bytes_origin=101,
    bytes_peers=102,
    bytes_store=103,
)


def _state() -> messages.AgentState:
    rollout: typing.Any = types.SimpleNamespace(progress=lambda: _PROGRESS)
    unused: typing.Any = None
    workload = workloads.EngineWorkload(
        'lamps',
        rollout,
        unused,
        unused,
        unused,
        1,
    )
    gate = gates.Gate('lamps', versioned=True, capacity=4)
    agent = agents.Agent(
        messages.Peer('agent-1', 7, 'east'),
        gate,
        workload,
        unused,
        limits=unused,
        clock=clocks.ManualClock(),
    )
    return agent.state()


class ShownBytesTest(testtools.TestCase):
    """The three sources of weights each have their figure.

    An operator who looks for what loads the weight store saw bytes from the
    origin and from peers only: the rollout counted the store's, and nothing
    carried them on.
    """

    def test_metrics(self) -> None:
        """The agent's metric names each source."""
        registry = aioprometheus.Registry()
        instruments.Instruments(registry).update(_state())
        text = aioprometheus.render(registry, [])[0].decode()
        for source, count in (('origin', 101), ('peer', 102), ('store', 103)):
            name = 'clementinepass_weight_bytes_total'
            self.assertIn(f'{name}{{source="{source}"}} {count}', text)

    def test_from_the_agent_to_the_command_line(self) -> None:
        """An agent's state reaches the command line whole."""
        state = _state()
        builder = schema.peers.AgentState.new_message()
        messages.write_state(state, builder)
        told = messages.read_state(builder.as_reader())
        self.assertEqual(state, told)
        shown = msgspec.json.decode(
            msgspec.json.encode(told),
            type=entry_client.AgentState,
        )
        self.assertEqual(
            (101, 102, 103),
            (shown.bytes_origin, shown.bytes_peers, shown.bytes_store),
        )
