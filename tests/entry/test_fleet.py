"""Tests of the choice of endpoints at an entry."""

from __future__ import annotations

import random

import testtools

from clementinepass import clock as clocks
from clementinepass.entry import fleet
from clementinepass.membership import view as views
from clementinepass.platform import protocols
from clementinepass.requests import quarantine
from clementinepass.wire import messages


def _state(serves: str, running: int = 0) -> messages.AgentState:
    return messages.AgentState(
        sequence=1,
        phase=messages.Phase.SERVING,
        kind='service',
        serves=serves,
        version='',
        running=running,
        capacity=4,
        revision=1,
        incarnation=1,
    )


class FleetTest(testtools.TestCase):
    """Placing with what the agents report."""

    def setUp(self) -> None:
        """Make a fleet of eight endpoints, four for each target."""
        super().setUp()
        self.clock = clocks.ManualClock()
        view = views.MembershipView()
        self.fleet = fleet.Fleet(
            view,
            quarantine.Quarantine(),
            failure_domain='east',
            clock=self.clock,
            chance=random.Random(1),
        )
        self.targets = {f'agent-{n}': 'quick' for n in range(4)}
        self.targets |= {f'agent-{n}': 'slow' for n in range(4, 8)}
        view.update_list(
            protocols.Instance(
                id=agent,
                role=protocols.Role.AGENT,
                address='127.0.0.1:1',
                region='lowland',
                failure_domain='east',
            )
            for agent in self.targets
        )
        for agent, target in self.targets.items():
            self.fleet.peers_by_agent[agent] = object()
            self.fleet.reported(agent, _state(target))

    def test_slow_target_is_not_ejected(self) -> None:
        """A model's endpoints are not compared with a plain service's.

        A user sees: a model's new endpoint gets all the work and the others
        none. One detector compared the time to first token of all endpoints;
        the model is slower than the service by nature.
        """
        del self.targets['agent-7']
        for _ in range(20):
            for agent, target in self.targets.items():
                seconds = 0.4 if target == 'slow' else 0.005
                self.fleet.answered(target, agent, seconds)
            self.clock.advance(1)
            self.fleet.place('slow', 'f', frozenset(), 0)
        placed = {
            self.fleet.place('slow', 'f', frozenset(), 0).candidate.agent
            for _ in range(100)
        }
        self.assertEqual({f'agent-{n}' for n in range(4, 8)}, placed)

    def test_full_gate_counts_until_next_report(self) -> None:
        """A gate that refused as full is not offered more at once.

        Saturation with late reports: the entry would offer one request after
        the other to gates that have no room.
        """
        self.assertEqual(16, self.fleet.capacity('quick'))
        self.fleet.full('agent-0')
        self.assertEqual(12, self.fleet.capacity('quick'))
        self.fleet.reported('agent-0', _state('quick', running=1))
        self.assertEqual(15, self.fleet.capacity('quick'))
