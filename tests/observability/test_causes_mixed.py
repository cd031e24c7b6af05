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
from tests.direct import path_harness
from tests.observability import test_causes

Cause = causes.Cause
Fault = direct_endpoint.Fault
HOST = path_harness.HOST
SEED = 5
REQUESTS = 240
DRAWN = 50
#: Seconds over which requests come; the entry ends this much later.
SPREAD = 2.0
AFTER = 1.0
TARGETS = ('/stream/a', '/stream/once/a', '/plain/a', '/once/a')
ONCE = ('/stream/once/a', '/once/a')
TARGETS_AND_NONE = (*TARGETS, *TARGETS, '/none/a')
KEYS = ('key',) * 10 + ('second', 'wrong')
#: What the last fault that an attempt ran into proves, as its caller got no
#: answer of the endpoint's.
CAUSE_BY_FAULT = {
    Fault.LOST: Cause.ENDPOINT_ENDED,
    Fault.CUT: Cause.ENDPOINT_ENDED,
    Fault.GAP: Cause.ENDPOINT_SPOILT,
    Fault.UNSTAMPED: Cause.ENDPOINT_SPOILT,
    Fault.ENCODED: Cause.ENDPOINT_SPOILT,
    Fault.MUTE: Cause.ENDPOINT_SILENT,
    Fault.ERROR: Cause.ENDPOINT_FAILED,
}
#: All but the one after which an endpoint gets no requests of anybody.
FAULTS = (Fault.FULL, *CAUSE_BY_FAULT)


class Seen:
    """One caller: what it means to do, and what it did and saw.

    :param leaves_after: seconds; ``None`` for one that waits.
    """

    def __init__(self, number: int, rng: random.Random) -> None:
        self.id = f'r{number}'
        self.target = rng.choice(TARGETS_AND_NONE)
        self.key = rng.choice(KEYS)
        self.faults = rng.choices(FAULTS, k=rng.randrange(4))
        self.comes_at = rng.uniform(0, SPREAD)
        self.deadline_ms = rng.choice((400, 9000, 9000))
        self.leaves_after: float | None = None
        self.resets = rng.random() < 0.5
        if self.deadline_ms > 1000 and rng.random() < 0.4:
            # One that may be answered at the moment at which it leaves has
            # two endings, each seen by one side first.
            self.leaves_after = rng.uniform(0.1, 0.4)
            self.target, self.key = rng.choice(ONCE), 'key'
            self.faults = [Fault.MUTE]
        #: The status that it saw, whether the answer was whole, whether it
        #: went before that, and after how many seconds it was over.
        self.status = 0
        self.seconds: float = 0
        self.whole = False
        self.left = False

    async def ask(self, port: int) -> None:
        """Send the request and keep what comes of it."""
        await asyncio.sleep(self.comes_at)
        used = await channel.Channel.connect(HOST, port, 5)
        loop = asyncio.get_running_loop()
        begun = loop.time()
        used.send(
            path_harness.request(
                self.target,
                X_Attempt_Id=self.id,
                X_Api_Key=self.key,
                X_Deadline_Ms=str(self.deadline_ms),
            ),
        )
        try:
            async with asyncio.timeout(self.leaves_after):
                await self._read(used)
        except TimeoutError:
            self.left = True
        except channel.ChannelBrokenError:
            """The answer isn't whole, and that is all that it knows."""
        self.seconds = loop.time() - begun
        self._end(used)

    async def _read(self, used: channel.Channel) -> None:
        self.status = (await used.read_head()).status
        while await used.read():
            """Read to the end."""
        self.whole = True

    def _end(self, used: channel.Channel) -> None:
        if self.left and self.resets:
            peer = used._transport.get_extra_info('socket')
            peer.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                test_causes.RESET_AT_END,
            )
        used.abort()

    def truth(self, met: list[Fault], *, cut: bool) -> Cause | None:
        """Return the cause, by what it and the endpoints saw.

        :param met: what went wrong at endpoints, in order.
        :param cut: whether its connection ended with the entry.
        :returns: ``None`` for a request that was answered.
        """
        if self.left:
            return Cause.CONNECTION_RESET if self.resets else Cause.CALLER_LEFT
        if cut:
            return Cause.CUT_AT_END
        if self.whole and self.status in _CAUSE_BY_STATUS:
            return _CAUSE_BY_STATUS[self.status]
        if self.whole and self.status == 401:
            known = self.key == 'second'
            return Cause.KEY_WITHDRAWN if known else Cause.UNKNOWN_KEY
        if not self.whole and self.seconds * 1000 >= self.deadline_ms:
            return Cause.DEADLINE
        ran = [one for one in met if one in CAUSE_BY_FAULT]
        return CAUSE_BY_FAULT[ran[-1]]


_CAUSE_BY_STATUS: dict[int, Cause | None] = {
    200: None,
    404: Cause.UNKNOWN_ROUTE,
    500: Cause.ENDPOINT_FAILED,
    503: Cause.TURNED_AWAY,
    504: Cause.DEADLINE,
}


class Mixed:
    """Many callers at once, and what became of each."""

    def __init__(self, seed: int) -> None:
        rng = random.Random(seed)
        self.callers = [Seen(number, rng) for number in range(REQUESTS)]
        #: Faults that requests met, at any endpoint, in order.
        self.met: list[tuple[str, Fault]] = []
        self.cut: set[str] = set()

    async def play(self, world: path_harness.PathHarness) -> None:
        """Play it: a key is taken away, and the entry ends at last."""
        faults = {one.id: list(one.faults) for one in self.callers}
        for one in world.endpoints:
            one.faults_by_request = faults
            one.met = self.met
        routes = path_harness.ROUTES
        world.configure(2, routes, keys=(b'key', b'second'))
        first = Seen(-1, random.Random(0))
        first.target, first.comes_at, first.leaves_after = '/plain/a', 0, None
        await first.ask(world.port)
        world.configure(3, routes)
        asked = {
            asyncio.create_task(one.ask(world.port)): one
            for one in self.callers
        }
        _, left = await asyncio.wait(asked, timeout=SPREAD + AFTER)
        self.cut = {asked[one].id for one in left}
        await world.front.close()
        await asyncio.gather(*left)

    def truths(self) -> dict[str, Cause]:
        """Return the cause of each request that failed, by its id."""
        found = {
            one.id: one.truth(
                [fault for name, fault in self.met if name == one.id],
                cut=one.id in self.cut,
            )
            for one in self.callers
        }
        return {name: cause for name, cause in found.items() if cause}


class MixedTest(testtools.TestCase):
    """Fifty of the requests that failed, drawn by a seed."""

    def test_causes(self) -> None:
        """None is told a wrong cause, and at most five are not known."""
        mixed = Mixed(SEED)
        collected = stories.Collected()
        collected.add('entry-1', test_causes.written(mixed.play))
        truths = mixed.truths()
        drawn = random.Random(SEED).sample(sorted(truths), DRAWN)
        wrong: list[typing.Any] = []
        unknown = []
        for name in drawn:
            story = collected.story(name)
            cause = Cause.NOT_KNOWN if story is None else story.verdict.cause
            if cause is Cause.NOT_KNOWN:
                unknown.append((name, truths[name], story))
            elif cause is not truths[name]:
                wrong.append((name, truths[name], story))
        self.assertEqual([], wrong)
        self.assertLessEqual(len(unknown), 5, unknown)
        self.assertGreater(len({truths[name] for name in drawn}), 8)
