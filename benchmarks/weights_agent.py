"""One agent of the weights bench: a rollout, its links and live requests."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import random
import sys
import time
import typing

import capnp
import msgspec

from benchmarks import weights_links, weights_messages
from clementinepass import clock, errors
from clementinepass.agent import rollout
from clementinepass.endpoints import engine as engines
from clementinepass.endpoints import protocols as endpoint_protocols
from clementinepass.platform import origin as origins
from clementinepass.platform import weight_store as weight_stores
from clementinepass.weights import ledger as ledgers
from clementinepass.weights import protocols
from clementinepass.wire import schema, weights_peers

_REQUEST_BYTES = 4096
_ANSWER_BYTES = 1024
_BODY = b'{"prompt": "station 12, barrier 3", "max_tokens": 2, "stream": true}'


class _Agent(schema.peers.Agent.Server):
    """Answer for weights only."""

    def __init__(self, server: weights_peers.WeightsServer) -> None:
        self._server = server

    async def weights(self, _context: typing.Any, **_rest: typing.Any) -> None:
        """Return the capability for weights."""
        _context.results.weights = self._server


class Gate:
    """Report each opening, and whether it was on wrong weights."""

    def __init__(self, engine: endpoint_protocols.Engine) -> None:
        self._engine = engine
        self.digests: dict[str, str] = {}
        #: The version let through; empty while closed.
        self.version = ''

    def open(self, version: str) -> None:
        """Let requests through."""
        status = self._engine.status()
        served = (status.version, status.digest)
        wrong = served != (version, self.digests.get(version))
        self.version = version
        _emit(weights_messages.Opened(version, time.monotonic(), wrong))

    def close(self, reason: str) -> None:
        """Let no new request through."""
        self.version = ''


class Callers:
    """Send live requests over the instance's links and time them."""

    def __init__(
        self,
        start: weights_messages.Start,
        engine: endpoint_protocols.Engine,
        gate: Gate,
        into: weights_links.Link,
        out: weights_links.Link,
    ) -> None:
        self._start = start
        self._engine = engine
        self._gate = gate
        self._into = into
        self._out = out
        self._chance = random.Random(start.seed)
        self.in_progress = 0
        self.seconds: list[float] = []
        self.mismatched = 0
        self.refused = 0

    async def run(self) -> None:
        """Send requests at random times until cancelled."""
        rate = self._start.request_rate
        count = 0
        async with asyncio.TaskGroup() as group:
            while rate:
                await asyncio.sleep(self._chance.expovariate(rate))
                count += 1
                group.create_task(self._one(f'{self._start.id}-{count}'))

    async def _one(self, name: str) -> None:
        began = time.monotonic()
        await self._into.carry(_REQUEST_BYTES)
        version = self._gate.version
        if not version:
            self.refused += 1
            return
        self.in_progress += 1
        try:
            first = await asyncio.to_thread(self._first_token, name, version)
        finally:
            self.in_progress -= 1
        if first:
            await self._out.carry(_ANSWER_BYTES)
            self.seconds.append(time.monotonic() - began)

    def _first_token(self, name: str, version: str) -> bool:
        call = endpoint_protocols.Call(
            name, 'POST', '/v1/completions', _BODY, stream=True
        )
        try:
            answer = self._engine.call(call)
        except errors.EndpointError:
            return False
        with contextlib.closing(answer):
            part = next(answer.parts(), b'')
        if f'"version":"{version}"'.encode() not in part:
            self.mismatched += 1
        return bool(part)


class Process:
    """Everything of one agent."""

    def __init__(self, start: weights_messages.Start) -> None:
        self._start = start
        self._members: tuple[protocols.Member, ...] = ()
        self._into = weights_links.Link(start.link_rate)
        self._out = weights_links.Link(start.link_rate)
        self._engine = engines.HttpEngine(start.engine)
        self._gate = Gate(self._engine)
        self._faults = weights_links.Faults(random.Random(start.seed))
        self._callers = Callers(
            start, self._engine, self._gate, self._into, self._out
        )
        self._before = ledgers.Ledger()
        self._cpu: float = 0

    def peers_for(self, model: str) -> tuple[protocols.Member, ...]:
        """Return the members as the bench told them."""
        return self._members

    async def run(self) -> None:
        """Listen, follow orders and end with the orders."""
        server = await capnp.AsyncIoStream.create_server(
            self._accept, '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
        self._rollout = self._put_together(port)
        _emit(weights_messages.Listening(port))
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._rollout.run()),
                group.create_task(self._callers.run()),
            ]
            while order := await asyncio.to_thread(sys.stdin.buffer.readline):
                self._follow(weights_messages.decode_order(order))
            for task in tasks:
                task.cancel()

    async def _accept(self, stream: typing.Any) -> None:
        agent = _Agent(self._rollout.serve_capability())
        await capnp.TwoPartyServer(stream, bootstrap=agent).on_disconnect()

    def _put_together(self, port: int) -> rollout.Rollout:
        start = self._start
        own = protocols.Member(
            start.id, '127.0.0.1', port, 'region', start.failure_domain
        )
        origin = weights_links.LinkedOrigin(
            origins.HttpOrigin(start.origin),
            self._into,
            asyncio.get_running_loop(),
        )
        return LinkedRollout(
            rollout.Surroundings(
                model='model',
                own=own,
                engine=self._engine,
                gate=self._gate,
                weight_store=weight_stores.HttpWeightStore(start.store),
                origin=origin,
                members=self,
                settings=start.settings,
                peers=weights_links.LinkedPeers(
                    weights_peers.WeightsPeers(), self._into
                ),
                clock=clock.MonotonicClock(),
                live=lambda: self._callers.in_progress,
                chance=random.Random(start.seed),
            ),
            self._out,
            self._faults,
        )

    def _follow(self, order: weights_messages.Order) -> None:
        match order:
            case weights_messages.Members():
                self._members = order.members
            case weights_messages.Want():
                self._gate.digests[order.version] = order.digest
                self._rollout.want(
                    order.version,
                    order.manifest,
                    order.revision,
                    order.wave,
                )
            case weights_messages.Disturb():
                self._faults.corrupt = order.corrupt
                self._faults.stalled_until = (
                    time.monotonic() + order.stall_seconds
                )
            case weights_messages.Report():
                self._report()

    def _report(self) -> None:
        progress = self._rollout.progress()
        ledger = self._rollout.ledger
        before = self._before
        self._before = copy.copy(ledger)
        cpu = time.process_time()
        _emit(
            weights_messages.Figures(
                origin=ledger.origin - before.origin,
                peers=ledger.peers - before.peers,
                crossed=ledger.crossed - before.crossed,
                sent=ledger.sent - before.sent,
                corrupt=ledger.corrupt - before.corrupt,
                stalled=ledger.stalled - before.stalled,
                calls=ledger.calls - before.calls,
                mismatched=self._callers.mismatched,
                refused=self._callers.refused,
                cpu_seconds=cpu - self._cpu,
                first_token_seconds=tuple(self._callers.seconds),
                progress=msgspec.json.encode(progress).decode(),
            )
        )
        self._cpu = cpu
        self._callers.seconds.clear()


class LinkedRollout(rollout.Rollout):
    """A rollout whose seed sends over a limited link."""

    def __init__(
        self,
        around: rollout.Surroundings,
        out: weights_links.Link,
        faults: weights_links.Faults,
    ) -> None:
        self._out = out
        self._faults = faults
        super().__init__(around)

    def _make_seed(
        self, around: rollout.Surroundings
    ) -> weights_links.LinkedSeed:
        made = weights_links.LinkedSeed(
            self._store,
            around.settings,
            around.clock,
            self._ledger,
            around.live,
        )
        made.out = self._out
        made.faults = self._faults
        return made


def _emit(event: msgspec.Struct) -> None:
    sys.stdout.buffer.write(weights_messages.line(event))
    sys.stdout.buffer.flush()


def main() -> None:
    """Run one agent; the first line of its input is what it starts with."""
    start = msgspec.json.decode(
        sys.stdin.buffer.readline(), type=weights_messages.Start
    )
    asyncio.run(capnp.run(Process(start).run()))


if __name__ == '__main__':
    main()
