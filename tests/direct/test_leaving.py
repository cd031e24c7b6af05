"""Tests of an entry that was told to end, as its callers see it."""

from __future__ import annotations

import asyncio
import signal
import socket
import time
import typing

import msgspec
import testtools

from clementinepass.direct import (
    cluster_state,
    departure,
    leaving,
    members,
    routing,
)
from clementinepass.http import limits
from tests.direct import path_harness

#: A node whose entry has two seconds from SIGTERM to SIGKILL; routes of these
#: tests allow ten.
SHORT_GRACE_NODE = msgspec.structs.replace(
    path_harness.NODE,
    duties=msgspec.structs.replace(path_harness.DUTIES, grace=2),
)
#: The same with five minutes.
LONG_GRACE_NODE = msgspec.structs.replace(
    path_harness.NODE,
    duties=msgspec.structs.replace(path_harness.DUTIES, grace=300),
)


class NoPeers:
    """The other entries, of which none is there."""

    def __init__(self) -> None:
        self.phase = members.Phase.READY
        #: The phases that were told.
        self.announced_phases: list[members.Phase] = []

    def speak(self) -> None:
        """Note what would be told."""
        self.announced_phases.append(self.phase)


async def send_sigterm(
    harness: path_harness.PathHarness,
    peers: NoPeers | None = None,
) -> asyncio.Task[None]:
    """Send SIGTERM; return what ends the entry."""
    drainer = leaving.Drainer(
        harness.front,
        harness.path,
        typing.cast('typing.Any', peers or NoPeers()),
        harness.departure,
    )

    async def drain_and_close() -> None:
        await drainer.wait_until_drained()
        await harness.front.close()

    task = asyncio.create_task(drain_and_close())
    await asyncio.sleep(0)
    signal.raise_signal(signal.SIGTERM)
    while harness.departure.plan is None:
        await asyncio.sleep(0)
    return task


class LateRequestTest(testtools.TestCase):
    """All entries were replaced in turn, and callers' answers broke off.

    Callers reached entries that were leaving: by a list that they had kept, on
    an open connection, or since each entry named itself when all others left,
    too. They began to read an answer, and the entry ended before the endpoint
    did. Cause: an entry took whatever came until its last seconds, and never
    held the time that a request may take against the time that it had left.
    """

    def test_stream_that_outlives_the_entry(self) -> None:
        """A stream that may last longer is refused, and never ran."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            for one in harness.endpoints:
                one.going.clear()
            drained = await send_sigterm(harness)
            answer = await harness.send('/stream/a')
            self.assertEqual(503, answer.status)
            self.assertEqual([], harness.received_requests)
            await drained

        path_harness.run(scenario, local_node=SHORT_GRACE_NODE)

    def test_short_request_is_served(self) -> None:
        """What ends in time is taken, and told to use the connection no more.

        The entry waits for it, though no list names it any more.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            drained = await send_sigterm(harness)
            for one in harness.endpoints:
                one.going.clear()
            answering = asyncio.create_task(harness.send('/plain/brief/a'))
            while not harness.received_requests:
                await asyncio.sleep(0)
            for one in harness.endpoints:
                one.going.set()
            self.assertEqual(200, (await answering).status)
            await drained

        path_harness.run(scenario, local_node=SHORT_GRACE_NODE)

    def test_final_answer_before_the_end(self) -> None:
        """A request that came before SIGTERM has no answer at the end.

        It was cut off, so its caller knew nothing; now it is told that the
        request may have run.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            for one in harness.endpoints:
                one.going.clear()
            answering = asyncio.create_task(harness.send('/plain/a'))
            while not harness.received_requests:
                await asyncio.sleep(0)
            drained = await send_sigterm(harness)
            self.assertEqual(504, (await answering).status)
            await drained

        path_harness.run(scenario, local_node=SHORT_GRACE_NODE)

    def test_ends_early(self) -> None:
        """An entry with nothing in progress ends long before its last second.

        All entries stayed for nine tenths of the grace, whatever they had to
        do, so that none was left when they were stopped one after the other.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            drained = await send_sigterm(harness)
            await drained
            plan = harness.departure.plan
            assert plan is not None
            now = asyncio.get_running_loop().time()
            self.assertLess(now, plan.last_answer_at)

        path_harness.run(scenario, local_node=LONG_GRACE_NODE)

    def test_held_up_at_the_end(self) -> None:
        """The process is held up when the time of all that it has is over.

        It cut its callers off, as the end came before the answers that were
        due just before it.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            for one in harness.endpoints:
                one.going.clear()
            answering = asyncio.create_task(harness.send('/plain/a'))
            while not harness.received_requests:
                await asyncio.sleep(0)
            drained = await send_sigterm(harness)
            plan = harness.departure.plan
            assert plan is not None
            loop = asyncio.get_running_loop()
            loop.call_at(plan.last_answer_at - 0.05, time.sleep, 0.6)
            self.assertEqual(504, (await answering).status)
            await drained

        path_harness.run(scenario, local_node=SHORT_GRACE_NODE)

    def test_pipelined_behind_a_slow_one(self) -> None:
        """Two requests came on one connection before SIGTERM.

        The first answer told the caller to use the connection no more, and the
        connection ended with the second request read and never answered: each
        answer of an entry that leaves was taken for the last, whatever waited
        behind it.
        """

        async def scenario(harness: path_harness.PathHarness) -> None:
            for one in harness.endpoints:
                one.going.clear()
            reader, writer = await asyncio.open_connection(
                path_harness.HOST,
                harness.port,
            )
            writer.write(
                path_harness.request('/plain/brief/a')
                + path_harness.request('/plain/brief/b', X_Attempt_Id='r-2'),
            )
            while not harness.received_requests:
                await asyncio.sleep(0)
            drained = await send_sigterm(harness)
            for one in harness.endpoints:
                one.going.set()
            answers = await reader.read()
            writer.close()
            self.assertEqual(2, answers.count(b'HTTP/1.1 '))
            self.assertEqual(1, answers.count(b'Connection: close'))
            await drained

        path_harness.run(scenario, local_node=SHORT_GRACE_NODE)


class DrainAnnouncementTest(testtools.TestCase):
    """What others and callers are told by an entry that leaves."""

    def test_others_and_callers(self) -> None:
        """Others hear of it at once, and each answer ends its connection."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            peers = NoPeers()
            drained = await send_sigterm(harness, peers)
            self.assertEqual([members.Phase.LEAVING], peers.announced_phases)
            answer = await harness.send('/plain/brief/a')
            self.assertEqual(b'close', answer.headers.get(b'connection'))
            await drained
            self.assertRaises(
                OSError,
                socket.create_connection,
                (path_harness.HOST, harness.port),
                1,
            )

        path_harness.run(scenario, local_node=SHORT_GRACE_NODE)

    def test_when_to_come_back(self) -> None:
        """At once where another is ready; later where none is."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            drained = await send_sigterm(harness)
            alone = await harness.send('/stream/a')
            harness.ready_peers = 1
            beside = await harness.send('/stream/a')
            waits = [
                float(one.headers.get(b'retry-after') or b'-1')
                for one in (beside, alone)
            ]
            self.assertEqual(sorted(waits), waits)
            self.assertLess(waits[0], waits[1])
            self.assertEqual((0, 2), self.request_counts(harness))
            await drained

        path_harness.run(scenario, local_node=SHORT_GRACE_NODE)

    def request_counts(
        self, harness: path_harness.PathHarness
    ) -> tuple[int, int]:
        """Return the requests taken and refused since SIGTERM."""
        return harness.departure.accepted_count, harness.departure.refused_count

    def test_answered_before_it(self) -> None:
        """A request that was answered before SIGTERM ends nothing again."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            self.assertEqual(200, (await harness.send('/plain/a')).status)
            await (await send_sigterm(harness))

        path_harness.run(scenario, local_node=SHORT_GRACE_NODE)


class ListTtlTest(testtools.TestCase):
    """For how long callers keep a list, and what that means for the end."""

    def setUp(self) -> None:
        """Know nothing yet."""
        super().setUp()
        self.cluster = cluster_state.ClusterState(path_harness.NODE)
        self.drain_state = departure.DrainState(path_harness.NODE, self.cluster)

    def configure(self, version: int, timeout: float) -> None:
        """Put a configuration with one route in force."""
        self.cluster.configured(
            routing.Routing(
                version,
                [path_harness.route('s', timeout=timeout)],
                [],
                {},
                limits.Bounds(),
            ),
        )

    def test_by_the_routes(self) -> None:
        """Long requests make short lists."""
        self.configure(1, 6)
        short = self.drain_state.list_ttl_seconds(0)
        self.configure(2, 1)
        self.assertLess(short, self.drain_state.list_ttl_seconds(0))

    def test_lists_told_before(self) -> None:
        """An entry told callers long lists, and ended early.

        By its newest routes lists are short, and by these alone it reckoned
        when nobody names it any more.
        """
        self.configure(1, 1)
        ttl_seconds = self.drain_state.list_ttl_seconds(100)
        self.configure(2, 6)
        plan = self.drain_state.start(100)
        self.assertGreaterEqual(plan.lists_expire_at, 100 + 3 * ttl_seconds)

    def test_before_the_first_configuration(self) -> None:
        """Any request may be long while no route is known."""
        unknown = self.drain_state.list_ttl_seconds(0)
        self.configure(1, 6)
        self.assertLessEqual(unknown, self.drain_state.list_ttl_seconds(0))
