"""Tests of an entry that was told to end, as its callers see it."""

from __future__ import annotations

import asyncio
import signal
import typing

import msgspec
import testtools

from clementinepass.direct import leaving, members
from tests.direct import path_world

#: Seconds from SIGTERM to SIGKILL; routes of these tests allow ten.
GRACE = 2


class Quiet:
    """The other entries, of which none is there."""

    def __init__(self) -> None:
        self.phase = members.Phase.READY

    def speak(self) -> None:
        """Tell nobody."""


async def told_to_end(world: path_world.PathWorld) -> asyncio.Task[None]:
    """Send SIGTERM; return what ends the entry."""
    own = msgspec.structs.replace(
        path_world.NODE,
        duties=msgspec.structs.replace(path_world.DUTIES, grace=GRACE),
    )
    leave = leaving.Leaving(
        own,
        world.front,
        typing.cast('typing.Any', Quiet()),
        world.departure,
    )

    async def ended() -> None:
        await leave.wait()
        await world.front.close()

    task = asyncio.create_task(ended())
    await asyncio.sleep(0)
    signal.raise_signal(signal.SIGTERM)
    while world.departure.begun is None:
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

        path_world.run(play)
