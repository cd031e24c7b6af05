"""Causes of requests that fail side by side, held against what others saw.

Callers and endpoints keep what they did and saw; the entry's lines are all
that the cause is worked out from.
"""

from __future__ import annotations

import asyncio
import random
import socket
import typing

import testtools

from clementinepass.http import channel
from clementinepass.observability import causes, stories
from standins import direct_endpoint
from tests.direct import path_world
from tests.observability import test_causes

Cause = causes.Cause
Fault = direct_endpoint.Fault
HOST = path_world.HOST
SEED = 5
REQUESTS = 240
SAMPLE_SIZE = 50
#: Seconds over which requests come; the entry ends this much later.
ARRIVAL_SECONDS = 2.0
SHUTDOWN_DELAY_SECONDS = 1.0
TARGETS = ('/stream/a', '/stream/once/a', '/plain/a', '/once/a')
ONCE_TARGETS = ('/stream/once/a', '/once/a')
TARGETS_WITH_UNKNOWN = (*TARGETS, *TARGETS, '/none/a')
KEYS = ('key',) * 10 + ('second', 'wrong')
#: What the last fault that an attempt ran into proves, as its caller got no
#: answer of the endpoint's.
CAUSE_BY_FAULT = {
    Fault.LOST: Cause.ENDPOINT_CLOSED,
    Fault.CUT: Cause.ENDPOINT_CLOSED,
    Fault.GAP: Cause.ENDPOINT_MALFORMED,
    Fault.UNSTAMPED: Cause.ENDPOINT_MALFORMED,
    Fault.ENCODED: Cause.ENDPOINT_MALFORMED,
    Fault.MUTE: Cause.ENDPOINT_SILENT,
    Fault.ERROR: Cause.ENDPOINT_FAILED,
}
#: All but the one after which an endpoint gets no requests of anybody.
FAULTS = (Fault.FULL, *CAUSE_BY_FAULT)


class Caller:
    """One caller: what it means to do, and what it did and saw.

    :param leaves_after: seconds; ``None`` for one that waits.
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
            # One that may be answered at the moment at which it leaves has
            # two endings, each seen by one side first.
            self.leaves_after = rng.uniform(0.1, 0.4)
            self.target, self.key = rng.choice(ONCE_TARGETS), 'key'
            self.faults = [Fault.MUTE]
        #: The status that it saw, whether the answer was whole, whether it
        #: went before that, and after how many seconds it was over.
        self.status = 0
        self.seconds: float = 0
        self.is_complete = False
        self.has_left = False

    async def run(self, port: int) -> None:
        """Send the request and keep what comes of it."""
        await asyncio.sleep(self.arrives_at)
        caller_channel = await channel.Channel.connect(HOST, port, 5)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        caller_channel.send(
            path_world.request(
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
            """The answer isn't whole, and that is all that it knows."""
        self.seconds = loop.time() - started_at
        self._end(caller_channel)

    async def _read(self, caller_channel: channel.Channel) -> None:
        self.status = (await caller_channel.read_head()).status
        while await caller_channel.read():
            """Read to the end."""
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
        """Return the cause, by what it and the endpoints saw.

        :param faults_met: what went wrong at endpoints, in order.
        :param was_cut: whether its connection ended with the entry.
        :returns: ``None`` for a request that was answered.
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
    """Many callers at once, and what became of each."""

    def __init__(self, seed: int) -> None:
        rng = random.Random(seed)
        self.callers = [Caller(number, rng) for number in range(REQUESTS)]
        #: Faults that requests met, at any endpoint, in order.
        self.faults_met: list[tuple[str, Fault]] = []
        self.cut_request_ids: set[str] = set()

    async def play(self, world: path_world.PathWorld) -> None:
        """Play it: a key is taken away, and the entry ends at last."""
        faults = {caller.id: list(caller.faults) for caller in self.callers}
        for endpoint in world.endpoints:
            endpoint.faults_by_request = faults
            endpoint.met = self.faults_met
        routes = path_world.ROUTES
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
        """Return the cause of each request that failed, by its id."""
        found = {
            caller.id: caller.expected_cause(
                [fault for name, fault in self.faults_met if name == caller.id],
                was_cut=caller.id in self.cut_request_ids,
            )
            for caller in self.callers
        }
        return {name: cause for name, cause in found.items() if cause}


class MixedTest(testtools.TestCase):
    """Fifty of the requests that failed, sampled_ids by a seed."""

    def test_causes(self) -> None:
        """None is told a wrong cause, and at most five are not known."""
        mixed = MixedWorkload(SEED)
        collection = stories.LogCollection()
        collection.add('entry-1', test_causes.capture_lines(mixed.play))
        expected_causes = mixed.expected_causes()
        sampled_ids = random.Random(SEED).sample(
            sorted(expected_causes), SAMPLE_SIZE
        )
        wrong: list[typing.Any] = []
        unknown = []
        for name in sampled_ids:
            story = collection.build_story(name)
            cause = Cause.UNKNOWN if story is None else story.verdict.cause
            if cause is Cause.UNKNOWN:
                unknown.append((name, expected_causes[name], story))
            elif cause is not expected_causes[name]:
                wrong.append((name, expected_causes[name], story))
        self.assertEqual([], wrong)
        self.assertLessEqual(len(unknown), 5, unknown)
        self.assertGreater(
            len({expected_causes[name] for name in sampled_ids}), 8
        )
