"""Tests that Cap'n Proto objects are freed on their loop's thread."""

from __future__ import annotations

import asyncio
import threading

import testtools

from clementinepass.wire import bridge as bridges


class ErrorsAcrossTheBridgeTest(testtools.TestCase):
    """Frames of an error stay on the loop that made them."""

    def test_errors_take_no_frames_to_threads(self) -> None:
        """A call from a thread fails; its error's frames stay behind."""

        freed_in = []

        class Held:
            def __del__(self) -> None:
                freed_in.append(threading.current_thread().name)

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
        self.assertEqual(['MainThread'], freed_in)
