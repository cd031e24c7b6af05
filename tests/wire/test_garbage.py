"""Tests that Cap'n Proto objects are freed on their loop's thread."""

from __future__ import annotations

import asyncio
import gc
import threading

import testtools

from clementinepass.wire import bridge as bridges
from clementinepass.wire import garbage


class _Owned:
    """Notes the thread that frees it, as a Cap'n Proto object minds it."""

    freed_in: list[str] = []

    def __init__(self) -> None:
        self.cycle = self

    def __del__(self) -> None:
        self.freed_in.append(threading.current_thread().name)


def _burn() -> None:
    """Make so many objects that the automatic collector would run."""
    for _ in range(50):
        kept = [[] for _ in range(2000)]
        del kept


class GarbageTest(testtools.TestCase):
    """An agent dies soon after an entry's connection was replaced.

    The old session is part of a cycle; a thread that reads an engine's answer
    sets the collector off and frees it outside its loop.
    """

    def setUp(self) -> None:
        """Start with nothing freed."""
        super().setUp()
        _Owned.freed_in.clear()
        self.addCleanup(gc.enable)
        self.addCleanup(gc.unfreeze)

    def test_threads_do_not_collect(self) -> None:
        """A busy thread frees nothing; the loop does, at the latest later."""

        async def main() -> None:
            async with garbage.collect_on_loop():
                _Owned()
                await asyncio.to_thread(_burn)
                self.assertEqual([], _Owned.freed_in)

        asyncio.run(main())
        self.assertEqual(['MainThread'], _Owned.freed_in)

    def test_errors_take_no_frames_to_threads(self) -> None:
        """A call from a thread fails; its error's frames stay behind."""

        class Held:
            def __del__(self) -> None:
                _Owned.freed_in.append(threading.current_thread().name)

        async def fail() -> None:
            held = Held()
            try:
                raise ValueError(id(held))
            except ValueError as error:
                raise KeyError('outer') from error

        async def main() -> None:
            bridge = bridges.Bridge(asyncio.get_running_loop(), 2)

            def call() -> None:
                future = bridge.submit(fail())
                self.assertRaises(KeyError, future.result, 10)

            await bridge.block(call)
            bridge.close()

        asyncio.run(main())
        self.assertEqual(['MainThread'], _Owned.freed_in)
