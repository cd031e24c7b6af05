"""Tests of requests that wait at an entry for slots that agents offer."""

from __future__ import annotations

import asyncio
import time
import typing

import testtools

from clementinepass.direct import endpoints, routing, weights
from clementinepass.direct.placement import messages, offering, requesting
from clementinepass.wire import heartbeats as wire_heartbeats
from clementinepass.direct import heartbeats
from tests.direct import path_harness, test_cluster_state

World = path_harness.PathHarness
QUERY = messages.SlotQuery(0, 1, timely_seconds=0.2, wait_seconds=5)
REPORT = weights.EngineReport(
    endpoints.Weights(1, 0, 2), is_busy=False, orders=0, active=16, queued=0
)
SLOTS = 16


class Link:
    """Connects the entry and some agents; messages may be lost."""

    def __init__(self, *ips: str) -> None:
        self.requests = requesting.SlotRequests()
        self.requests.send = self.send_to_agent
        self.offers_by_ip = {
            ip: offering.SlotOffers(
                lambda _, message, ip=ip: self.send_to_entry(ip, message)
            )
            for ip in ips
        }
        self.returned: list[str] = []
        self.lost_ips: set[str] = set()

    def send_to_agent(self, ip: str, message: messages.SlotMessage) -> None:
        """Deliver a message of the entry."""
        if isinstance(message, messages.SlotReturn):
            self.returned.append(ip)
        if ip not in self.lost_ips and ip in self.offers_by_ip:
            self.offers_by_ip[ip].handle('entry', message)

    def send_to_entry(self, ip: str, message: messages.SlotMessage) -> None:
        """Deliver a message of an agent."""
        self.requests.handle(ip, message)

    def report(self, ip: str, active: int, *, accepts: bool = True) -> None:
        """Let an agent read its engine's state."""
        self.offers_by_ip[ip].update(
            REPORT._replace(active=active), SLOTS, accepts=accepts
        )


def engine(ip: str) -> endpoints.Endpoint:
    """Return an engine beside the agent at an IP address."""
    listing = test_cluster_state.listing(0, 1)
    return endpoints.Endpoint(
        listing._replace(id=f'i-{ip}', address=f'{ip}:80')
    )


async def settle() -> None:
    """Let other tasks run."""
    for _ in range(5):
        await asyncio.sleep(0)


class SlotsTest(testtools.TestCase):
    """Entry and agents together, without a network."""

    def play(
        self, scenario: typing.Callable[[], typing.Awaitable[None]]
    ) -> None:
        """Run a scenario."""
        asyncio.run(asyncio.wait_for(_run(scenario), 10))

    def test_first_offer_is_used(self) -> None:
        """Guards against slots that stay reserved for a request served."""

        async def scenario() -> None:
            link = Link('1', '2')
            engines = [engine('1'), engine('2')]
            waiting = asyncio.create_task(
                link.requests.wait_for_slot(QUERY, engines, lambda _: True)
            )
            await settle()
            link.report('2', SLOTS - 1)
            self.assertIs(engines[1], await waiting)
            link.report('1', SLOTS - 1)
            self.assertEqual(['1'], link.returned)
            self.assertEqual(0, len(link.requests))

        self.play(scenario)

    def test_unusable_engine(self) -> None:
        """Guards against a request to an engine that may not run it any more."""

        async def scenario() -> None:
            link = Link('1', '2')
            engines = [engine('1'), engine('2')]
            waiting = asyncio.create_task(
                link.requests.wait_for_slot(
                    QUERY, engines, lambda each: each is engines[1]
                )
            )
            await settle()
            link.report('1', 0)
            self.assertFalse(waiting.done())
            link.report('2', 0)
            self.assertIs(engines[1], await waiting)

        self.play(scenario)

    def test_agents_do_not_answer(self) -> None:
        """Guards against requests that wait for agents that are gone."""

        async def scenario() -> None:
            link = Link('1')
            link.lost_ips.add('1')
            slot = await link.requests.wait_for_slot(
                QUERY._replace(wait_seconds=0.05), [engine('1')], lambda _: True
            )
            self.assertIsNone(slot)
            self.assertEqual(0, len(link.requests))

        self.play(scenario)

    def test_engine_that_loads(self) -> None:
        """Guards against offers of an engine that is about to load weights."""

        async def scenario() -> None:
            link = Link('1')
            waiting = asyncio.create_task(
                link.requests.wait_for_slot(
                    QUERY, [engine('1')], lambda _: True
                )
            )
            await settle()
            link.report('1', 0, accepts=False)
            await settle()
            self.assertFalse(waiting.done())
            link.report('1', 0)
            self.assertIsNotNone(await waiting)

        self.play(scenario)

    def test_caller_leaves(self) -> None:
        """Guards against slots that are kept for callers that have left."""

        async def scenario() -> None:
            link = Link('1')
            waiting = asyncio.create_task(
                link.requests.wait_for_slot(
                    QUERY, [engine('1')], lambda _: True
                )
            )
            await settle()
            waiting.cancel()
            await settle()
            link.report('1', 0)
            self.assertEqual(['1'], link.returned)

        self.play(scenario)

    def test_offer_beside_timeout(self) -> None:
        """Guards against a slot that is lost as it comes at the last moment."""

        async def scenario() -> None:
            link = Link('1')
            known = engine('1')
            waiting = asyncio.create_task(
                link.requests.wait_for_slot(
                    QUERY._replace(wait_seconds=0.02), [known], lambda _: True
                )
            )
            await settle()
            time.sleep(0.03)
            link.send_to_entry('1', messages.SlotOffer(1))
            self.assertIs(known, await waiting)

        self.play(scenario)

    def test_offer_beside_cancellation(self) -> None:
        """Guards against a slot that is kept for a caller leaving just now."""

        async def scenario() -> None:
            link = Link('1')
            waiting = asyncio.create_task(
                link.requests.wait_for_slot(
                    QUERY, [engine('1')], lambda _: True
                )
            )
            await settle()
            link.report('1', SLOTS - 1)
            waiting.cancel()
            await settle()
            self.assertEqual(['1'], link.returned)

        self.play(scenario)

    def test_engine_does_not_answer(self) -> None:
        """Guards against offers of an engine that its agent cannot read."""

        async def scenario() -> None:
            link = Link('1')
            link.report('1', 0)
            link.offers_by_ip['1'].close()
            waiting = asyncio.create_task(
                link.requests.wait_for_slot(
                    QUERY, [engine('1')], lambda _: True
                )
            )
            await settle()
            self.assertFalse(waiting.done())
            waiting.cancel()

        self.play(scenario)

    def test_engine_restarted(self) -> None:
        """Guards against an offer of an engine's previous start."""

        async def scenario() -> None:
            link = Link('1')
            known = engine('1')
            known.weights_started_ms = 2000
            waiting = asyncio.create_task(
                link.requests.wait_for_slot(QUERY, [known], lambda _: True)
            )
            await settle()
            link.send_to_entry('1', messages.SlotOffer(1, 1000))
            await settle()
            self.assertFalse(waiting.done())
            link.send_to_entry('1', messages.SlotOffer(1, 2000))
            self.assertIs(known, await waiting)

        self.play(scenario)


async def _run(scenario: typing.Callable[[], typing.Awaitable[None]]) -> None:
    await scenario()


class WireTest(testtools.TestCase):
    """Messages on slots are read as they were written."""

    def test_messages(self) -> None:
        """Guards against fields that are lost on the way."""
        for message in (
            messages.SlotQuery(7, 9, timely_seconds=0, wait_seconds=1.25),
            messages.SlotQuery(2**31, 0, timely_seconds=0.2, wait_seconds=1.2),
            messages.SlotOffer(7, 1789850439729),
            messages.SlotOffer(8),
            messages.SlotReturn(9),
        ):
            payload = wire_heartbeats.write_heartbeat(
                heartbeats.Heartbeat(slot=message)
            )
            self.assertEqual(
                message, wire_heartbeats.read_heartbeat(payload, 'peer').slot
            )

    def test_pace(self) -> None:
        """Guards against reports that grow where no engine is slow."""

        def payload(**changes: float) -> bytes:
            load = heartbeats.EngineLoad(12, 3, 1789850439729)._replace(
                **changes
            )
            return wire_heartbeats.write_heartbeat(
                heartbeats.Heartbeat(load=load)
            )

        usual = payload()
        slow = payload(pace=2.5)
        read = wire_heartbeats.read_heartbeat(slow, 'peer').load
        assert read is not None
        self.assertEqual(2.5, read.pace)
        self.assertLessEqual(len(slow), 1.25 * len(usual))


class ContentionTest(testtools.TestCase):
    """Slots are used only where the configuration or engines call for it."""

    def play(
        self, scenario: typing.Callable[[World], typing.Awaitable[None]]
    ) -> None:
        """Run a scenario with an entry and two endpoints."""

        async def run_scenario() -> None:
            async with path_harness.PathHarness() as world:
                await scenario(world)

        asyncio.run(run_scenario())

    def fill(self, world: World, pace: float = 1) -> None:
        """Let agents report that no engine has a free slot."""
        now = asyncio.get_running_loop().time()
        for endpoint in world.cluster.endpoints:
            endpoint.reported_load.update(16, 0, now, pace)

    def test_one_priority(self) -> None:
        """Guards against a change for services without an order."""

        async def scenario(world: World) -> None:
            sent: list[messages.SlotMessage] = []
            slots = world.request_handler.slot_requests
            slots.send = lambda _, message: sent.append(message)
            self.fill(world)
            answer = await world.send('/stream/a', X_Token_Usage='900,100')
            self.assertEqual(200, answer.status)
            self.assertEqual([], sent)

        self.play(scenario)

    def test_priorities(self) -> None:
        """Guards against requests sent to full engines of such services."""

        async def scenario(world: World) -> None:
            sent: list[tuple[str, messages.SlotMessage]] = []
            slots = world.request_handler.slot_requests

            def send(ip: str, message: messages.SlotMessage) -> None:
                sent.append((ip, message))

            slots.send = send
            world.configure(
                2,
                [
                    path_harness.route('stream', latency_target=0.4),
                    path_harness.route('less', priority=2),
                ],
            )
            self.fill(world)
            answer = await world.send('/stream/a', X_Token_Usage='900,100')
            self.assertEqual(503, answer.status)
            self.assertEqual([], world.received_requests)
            queries = [each for _, each in sent]
            self.assertEqual(
                {0}, {each.urgency for each in queries if _is_query(each)}
            )
            self.fill(world)
            task = asyncio.create_task(
                world.send('/stream/a', X_Token_Usage='900,100')
            )
            sent.clear()
            while not sent:
                await asyncio.sleep(0)
            ip, query = sent[0]
            slots.handle(ip, messages.SlotOffer(query.number))
            answer = await task
            self.assertEqual(200, answer.status)

        self.play(scenario)


def _is_query(message: messages.SlotMessage) -> bool:
    return isinstance(message, messages.SlotQuery)


class OrderedServicesTest(testtools.TestCase):
    """Services whose requests differ in priority."""

    def test_ordered(self) -> None:
        """Guards against an order where routes do not call for one."""
        shared = (routing.Backend('a', 9), routing.Backend('b', 1))
        for routes, expected in (
            ([path_harness.route('x', backends=shared)], set()),
            (
                [
                    path_harness.route('x', backends=shared),
                    path_harness.route('y', backends=shared[:1], priority=2),
                ],
                {'a'},
            ),
        ):
            found = routing.Routing(1, routes, (), None, None)
            self.assertEqual(
                expected, {name for name in 'ab' if found.is_ordered(name)}
            )
