"""Tests of rollouts between agents over real connections."""

from __future__ import annotations

import asyncio
import random
import typing

import capnp
import msgspec
import testtools
from testtools import matchers

from clementinepass import errors
from clementinepass.agent import rollout
from clementinepass.weights import asking, protocols
from clementinepass.wire import schema, weights_peers
from tests.weights import fakes


#: Nobody does another's part, however busy the machine is.
_PATIENT = msgspec.structs.replace(
    fakes.SETTINGS, patience=60, stall_timeout=30
)


class _Agent(schema.peers.Agent.Server):
    """Answers for weights only."""

    def __init__(self, server: weights_peers.WeightsServer) -> None:
        self._server = server

    async def weights(self, _context: typing.Any, **_rest: typing.Any) -> None:
        _context.results.weights = self._server


class _Node:
    """One agent with its engine, gate and listener."""

    def __init__(self, name: str, domain: str, fleet: _Fleet) -> None:
        self.engine = fakes.FakeEngine()
        self.gate = fakes.FakeGate(self.engine, fleet.whole)
        self._fleet = fleet
        self._name = name
        self._domain = domain

    async def start(self) -> None:
        """Listen, join the fleet and put the rollout together."""
        self.server = await capnp.AsyncIoStream.create_server(
            self._accept, '127.0.0.1', 0
        )
        port = self.server.sockets[0].getsockname()[1]
        self.member = fakes.member(self._name, self._domain, port)
        self._fleet.members.append(self.member)
        self.rollout = rollout.Rollout(
            rollout.Surroundings(
                model='m',
                own=self.member,
                engine=self.engine,
                gate=self.gate,
                weight_store=self._fleet.source,
                origin=self._fleet.source,
                members=self._fleet,
                settings=_PATIENT,
                chance=random.Random(1),
            )
        )

    async def _accept(self, stream: capnp.AsyncIoStream) -> None:
        agent = _Agent(self.rollout.serve_capability())
        await capnp.TwoPartyServer(stream, bootstrap=agent).on_disconnect()


class _Fleet:
    """All agents of one model and what they read from."""

    def __init__(self) -> None:
        self.source = fakes.Source()
        self.members: list[protocols.Member] = []
        self.whole: dict[str, str] = {}

    def peers_for(self, model: str) -> typing.Sequence[protocols.Member]:
        """Return all members."""
        return self.members


class OverWireTest(testtools.TestCase):
    """Agents spread a version among themselves."""

    def test_origin_read_once(self) -> None:
        """All serve the version; the origin is read about once."""
        fleet, nodes = asyncio.run(capnp.run(_spread(8)))
        self.assertEqual(
            [], [node.gate.wrong for node in nodes if node.gate.wrong]
        )
        self.assertThat(fleet.source.manifest_reads, matchers.LessThan(3))
        self.assertEqual(12, fleet.source.chunk_reads)


class SilentPeerTest(testtools.TestCase):
    """A peer that accepts and never answers."""

    def test_all_callers_learn_of_it(self) -> None:
        """Every caller of a silent peer gets an error in time.

        Something between two agents has lost track of their connection: it
        is accepted and nothing ever comes back. Two tasks wait for it to
        open; the first gives it up, and the second must get an error too
        rather than seem cancelled, which would end its task in silence.
        """
        outcomes = asyncio.run(capnp.run(_ask_silent_peer()))
        for outcome in outcomes:
            self.assertIsInstance(outcome, errors.PeerUnavailableError)


async def _ask_silent_peer() -> list[typing.Any]:
    server = await asyncio.start_server(
        lambda reader, writer: None, '127.0.0.1', 0
    )
    port = server.sockets[0].getsockname()[1]
    silent = fakes.member('silent', port=port)
    peers = weights_peers.WeightsPeers(connect_timeout=30)
    outcomes = await asyncio.gather(
        asking.ask(peers, silent, 0.05, peers.standing(silent)),
        asking.ask(peers, silent, 30, peers.standing(silent)),
        return_exceptions=True,
    )
    peers.close()
    server.close()
    return outcomes


async def _spread(count: int) -> tuple[_Fleet, list[_Node]]:
    fleet = _Fleet()
    manifest = fleet.source.publish('v1', fakes.weights(1))
    fleet.whole['v1'] = manifest.digest
    nodes = [_Node(f'n{at}', 'ab'[at % 2], fleet) for at in range(count)]
    for node in nodes:
        await node.start()
    runs = [asyncio.ensure_future(node.rollout.run()) for node in nodes]
    digest = fleet.source.keep(manifest)
    for node in nodes:
        node.rollout.want('v1', digest, 1)
    while not all(node.gate.version == 'v1' for node in nodes):
        await asyncio.sleep(0.01)
    for run in runs:
        run.cancel()
    await asyncio.gather(*runs, return_exceptions=True)
    return fleet, nodes
