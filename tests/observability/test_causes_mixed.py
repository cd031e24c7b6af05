"""Causes of concurrent failures, compared with records of both sides.

Callers and endpoints record what they do and see; the reported cause is derived
from the entry's log lines alone.
"""

from __future__ import annotations

import asyncio
import random
import socket
import typing

import testtools

from clementinepass.http import channel
from clementinepass.observability import causes, request_history
from standins import direct_endpoint
from tests.direct import path_harness
from tests.observability import test_causes

Cause = causes.Cause
Fault = direct_endpoint.Fault
HOST = path_harness.HOST
SEED = 5
REQUESTS = 240
SAMPLE_SIZE = 50
#: Seconds over which requests arrive, and from then until the entry exits.
ARRIVAL_SECONDS = 2.0
SHUTDOWN_DELAY_SECONDS = 1.0
TARGETS = ('/stream/a', '/stream/once/a', '/plain/a', '/once/a')
ONCE_TARGETS = ('/stream/once/a', '/once/a')
TARGETS_WITH_UNKNOWN = (*TARGETS, *TARGETS, '/none/a')
KEYS = ('key',) * 10 + ('second', 'wrong')
#: The cause by the last fault of an attempt that ran, where the caller received
#: no answer from the endpoint.
CAUSE_BY_FAULT = {
    Fault.LOST: Cause.ENDPOINT_CLOSED,
    Fault.CUT: Cause.ENDPOINT_CLOSED,
    Fault.GAP: Cause.ENDPOINT_MALFORMED,
    Fault.UNSTAMPED: Cause.ENDPOINT_MALFORMED,
    Fault.ENCODED: Cause.ENDPOINT_MALFORMED,
    Fault.MUTE: Cause.ENDPOINT_SILENT,
    Fault.ERROR: Cause.ENDPOINT_FAILED,
}
#: All faults but the one after which an endpoint gets no more requests at all.
FAULTS = (Fault.FULL, *CAUSE_BY_FAULT)


class Caller:
    """A caller with its random plan and a record of what it saw.

    It disconnects after ``leaves_after`` seconds, or waits if that is ``None``.
    """

    def __init__(self, number: int, rng: random.Random) -> None:
        self.id = f'r{number}'
        self.target = rng.choice(TARGETS_WITH_UNKNOWN)
        self.key = rng.choice(KEYS)
        self.faults = rng.choices(FAULTS, k=rng.randrange(4))
        self.arrives_at = rng.uniform(0, ARRIVAL_SECONDS)
        self.deadline_ms = rng.choice((400, 9000, 9000))
        self.leaves_after: float | None = None
        self.leaves_by_reset = rng.random() < 0.5
        if self.deadline_ms > 1000 and rng.random() < 0.4:
            # If an answer could arrive while the caller disconnects, each
            # side could see a different end, so no endpoint answers such a
            # request.
            self.leaves_after = rng.uniform(0.1, 0.4)
            self.target, self.key = rng.choice(ONCE_TARGETS), 'key'
            self.faults = [Fault.MUTE]
        #: The status, the duration in seconds, whether the answer was
        #: complete, and whether the caller disconnected before that.
        self.status = 0
        self.seconds: float = 0
        self.is_complete = False
        self.has_left = False

    async def run(self, port: int) -> None:
        """Send the request and record the outcome."""
        await asyncio.sleep(self.arrives_at)
        caller_channel = await channel.Channel.connect(HOST, port, 5)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        caller_channel.send(
            path_harness.request(
                self.target,
                X_Attempt_Id=self.id,
                X_Api_Key=self.key,
                X_Deadline_Ms=str(self.deadline_ms),
            ),
        )
        try:
            async with asyncio.timeout(self.leaves_after):
                await self._read(caller_channel)
        except TimeoutError:
            self.has_left = True
        except channel.ChannelBrokenError:
            """The caller knows only that the answer is incomplete."""
        self.seconds = loop.time() - started_at
        self._end(caller_channel)

    async def _read(self, caller_channel: channel.Channel) -> None:
        self.status = (await caller_channel.read_head()).status
        while await caller_channel.read():
            """Read the answer to its end."""
        self.is_complete = True

    def _end(self, caller_channel: channel.Channel) -> None:
        if self.has_left and self.leaves_by_reset:
            peer = caller_channel._transport.get_extra_info('socket')
            peer.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                test_causes.LINGER_RESET,
            )
        caller_channel.abort()

    def expected_cause(
        self, faults_met: list[Fault], *, was_cut: bool
    ) -> Cause | None:
        """Return the cause according to the caller and the endpoints.

        :param faults_met: faults of the endpoints on this request, in order.
        :param was_cut: whether the connection ended when the entry exited.
        :returns: the cause; ``None`` if the request was answered.
        """
        if self.has_left:
            return (
                Cause.CONNECTION_RESET
                if self.leaves_by_reset
                else Cause.CALLER_LEFT
            )
        if was_cut:
            return Cause.CUT_AT_SHUTDOWN
        if self.is_complete and self.status in _CAUSE_BY_STATUS:
            return _CAUSE_BY_STATUS[self.status]
        if self.is_complete and self.status == 401:
            was_configured = self.key == 'second'
            return Cause.KEY_WITHDRAWN if was_configured else Cause.UNKNOWN_KEY
        if not self.is_complete and self.seconds * 1000 >= self.deadline_ms:
            return Cause.DEADLINE
        faults_of_runs = [
            fault for fault in faults_met if fault in CAUSE_BY_FAULT
        ]
        return CAUSE_BY_FAULT[faults_of_runs[-1]]


_CAUSE_BY_STATUS: dict[int, Cause | None] = {
    200: None,
    404: Cause.UNKNOWN_ROUTE,
    500: Cause.ENDPOINT_FAILED,
    503: Cause.REJECTED,
    504: Cause.DEADLINE,
}


class MixedWorkload:
    """Many concurrent callers and the records of their requests."""

    def __init__(self, seed: int) -> None:
        rng = random.Random(seed)
        self.callers = [Caller(number, rng) for number in range(REQUESTS)]
        #: Request ids and faults, from all endpoints, in order.
        self.faults_met: list[tuple[str, Fault]] = []
        self.cut_request_ids: set[str] = set()

    async def play(self, world: path_harness.PathHarness) -> None:
        """Run all callers; a key is withdrawn, and finally the entry exits."""
        faults = {caller.id: list(caller.faults) for caller in self.callers}
        for endpoint in world.endpoints:
            endpoint.faults_by_request = faults
            endpoint.met = self.faults_met
        routes = path_harness.ROUTES
        world.configure(2, routes, keys=(b'key', b'second'))
        first = Caller(-1, random.Random(0))
        first.target, first.arrives_at, first.leaves_after = '/plain/a', 0, None
        await first.run(world.port)
        world.configure(3, routes)
        caller_by_task = {
            asyncio.create_task(caller.run(world.port)): caller
            for caller in self.callers
        }
        _, unfinished = await asyncio.wait(
            caller_by_task, timeout=ARRIVAL_SECONDS + SHUTDOWN_DELAY_SECONDS
        )
        self.cut_request_ids = {caller_by_task[task].id for task in unfinished}
        await world.front.close()
        await asyncio.gather(*unfinished)

    def expected_causes(self) -> dict[str, Cause]:
        """Return the expected causes of failed requests by request id."""
        found = {
            caller.id: caller.expected_cause(
                [fault for name, fault in self.faults_met if name == caller.id],
                was_cut=caller.id in self.cut_request_ids,
            )
            for caller in self.callers
        }
        return {name: cause for name, cause in found.items() if cause}


class MixedTest(testtools.TestCase):
    """Causes of a random sample of fifty failed requests."""

    def test_causes(self) -> None:
        """No cause is wrong, and at most five are unknown."""
        mixed = MixedWorkload(SEED)
        collection = request_history.LogCollection()
        collection.add('entry-1', test_causes.capture_lines(mixed.play))
        expected_causes = mixed.expected_causes()
        sampled_ids = random.Random(SEED).sample(
            sorted(expected_causes), SAMPLE_SIZE
        )
        wrong: list[typing.Any] = []
        unknown = []
        for name in sampled_ids:
            history = collection.build_history(name)
            cause = Cause.UNKNOWN if history is None else history.verdict.cause
            if cause is Cause.UNKNOWN:
                unknown.append((name, expected_causes[name], history))
            elif cause is not expected_causes[name]:
                wrong.append((name, expected_causes[name], history))
        self.assertEqual([], wrong)
        self.assertLessEqual(len(unknown), 5, unknown)
        self.assertGreater(
            len({expected_causes[name] for name in sampled_ids}), 8
        )
