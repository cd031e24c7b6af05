"""Tests that Cap'n Proto objects are freed on their loop's thread."""

from __future__ import annotations

import asyncio
import gc
import threading

import testtools

from clementinepass.wire import bridge as bridges
from clementinepass.wire import garbage


class _CyclicObject:
    """Object in a reference cycle that records the thread that frees it."""

    freed_in: list[str] = []

    def __init__(self) -> None:
        self.cycle = self

    def __del__(self) -> None:
        self.freed_in.append(threading.current_thread().name)


def _allocate() -> None:
    """Allocate enough objects to trigger the automatic collector."""
    for _ in range(50):
        kept = [[] for _ in range(2000)]
        del kept


class GarbageTest(testtools.TestCase):
    """Guard against an agent that dies after a connection was replaced.

    The old session is part of a reference cycle. A thread that reads an
    engine's answer triggers the collector, which frees the session outside
    the thread of its event loop and so aborts the process.
    """

    def setUp(self) -> None:
        """Clear the record of freed objects."""
        super().setUp()
        _CyclicObject.freed_in.clear()
        self.addCleanup(gc.enable)
        self.addCleanup(gc.unfreeze)

    def test_collection_on_loop_thread_only(self) -> None:
        """Allocations in a thread free no cycles; the event loop frees them."""

        async def main() -> None:
            async with garbage.collect_on_loop():
                _CyclicObject()
                await asyncio.to_thread(_allocate)
                self.assertEqual([], _CyclicObject.freed_in)

        asyncio.run(main())
        self.assertEqual(['MainThread'], _CyclicObject.freed_in)

    def test_exceptions_carry_no_frames_to_threads(self) -> None:
        """The exception of a call from a thread carries no traceback frames."""

        class Held:
            def __del__(self) -> None:
                _CyclicObject.freed_in.append(threading.current_thread().name)

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
        self.assertEqual(['MainThread'], _CyclicObject.freed_in)
