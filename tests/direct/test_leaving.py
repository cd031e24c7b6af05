"""Tests of an entry that was told to end, as its callers see it."""

from __future__ import annotations

import asyncio
import signal
import typing

import msgspec
import testtools

from clementinepass.direct import leaving, members
from tests.direct import path_world

#: A node whose entry has two seconds from SIGTERM to SIGKILL; routes of these
#: tests allow ten.
HURRIED = msgspec.structs.replace(
    path_world.NODE,
    duties=msgspec.structs.replace(path_world.DUTIES, grace=2),
)
#: The same with five minutes.
PATIENT = msgspec.structs.replace(
    path_world.NODE,
    duties=msgspec.structs.replace(path_world.DUTIES, grace=300),
)


class Quiet:
    """The other entries, of which none is there."""

    def __init__(self) -> None:
        self.phase = members.Phase.READY

    def speak(self) -> None:
        """Tell nobody."""


async def told_to_end(world: path_world.PathWorld) -> asyncio.Task[None]:
    """Send SIGTERM; return what ends the entry."""
    leave = leaving.Leaving(
        world.front,
        world.path,
        typing.cast('typing.Any', Quiet()),
        world.departure,
    )

    async def ended() -> None:
        await leave.wait()
        await world.front.close()

    task = asyncio.create_task(ended())
    await asyncio.sleep(0)
    signal.raise_signal(signal.SIGTERM)
    while world.departure.plan is None:
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

        async def play(world: path_world.PathWorld) -> None:
            for one in world.endpoints:
                one.going.clear()
            ended = await told_to_end(world)
            fetched = await world.ask('/stream/a')
            self.assertEqual(503, fetched.status)
            self.assertEqual([], world.came)
            await ended

        path_world.run(play, own=HURRIED)

    def test_short_request_is_served(self) -> None:
        """What ends in time is taken, and told to use the connection no more.

        The entry waits for it, though no list names it any more.
        """

        async def play(world: path_world.PathWorld) -> None:
            ended = await told_to_end(world)
            for one in world.endpoints:
                one.going.clear()
            asked = asyncio.create_task(world.ask('/plain/brief/a'))
            while not world.came:
                await asyncio.sleep(0)
            for one in world.endpoints:
                one.going.set()
            self.assertEqual(200, (await asked).status)
            await ended

        path_world.run(play, own=HURRIED)

    def test_final_answer_before_the_end(self) -> None:
        """A request that came before SIGTERM has no answer at the end.

        It was cut off, so its caller knew nothing; now it is told that the
        request may have run.
        """

        async def play(world: path_world.PathWorld) -> None:
            for one in world.endpoints:
                one.going.clear()
            asked = asyncio.create_task(world.ask('/plain/a'))
            while not world.came:
                await asyncio.sleep(0)
            ended = await told_to_end(world)
            self.assertEqual(504, (await asked).status)
            await ended

        path_world.run(play, own=HURRIED)

    def test_ends_early(self) -> None:
        """An entry with nothing in progress ends long before its last second.

        All entries stayed for nine tenths of the grace, whatever they had to
        do, so that none was left when they were stopped one after the other.
        """

        async def play(world: path_world.PathWorld) -> None:
            ended = await told_to_end(world)
            await ended
            plan = world.departure.plan
            assert plan is not None
            now = asyncio.get_running_loop().time()
            self.assertLess(now, plan.last)

        path_world.run(play, own=PATIENT)
