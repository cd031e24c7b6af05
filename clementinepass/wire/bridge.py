"""The one bridge between blocking threads and the event loop.

``cheroot`` and ``urllib3`` block in threads, Cap'n Proto lives on one event
loop. Nothing but this module crosses between them.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

_Result = typing.TypeVar('_Result')


class Bridge:
    """Cross between one event loop and a bounded pool of threads.

    :param loop: the event loop that the Cap'n Proto connections live on.
    :param threads: the most blocking calls at a time.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, threads: int) -> None:
        self._loop = loop
        self._pool = concurrent.futures.ThreadPoolExecutor(
            max_workers=threads,
            thread_name_prefix='blocking',
        )

    def submit(
        self,
        coroutine: Coroutine[typing.Any, typing.Any, _Result],
    ) -> concurrent.futures.Future[_Result]:
        """Run a coroutine on the loop; to be called from a thread."""
        return asyncio.run_coroutine_threadsafe(
            _without_frames(coroutine),
            self._loop,
        )

    def post(
        self,
        function: Callable[..., object],
        *arguments: typing.Any,
    ) -> None:
        """Call a function on the loop soon; to be called from a thread."""
        try:
            self._loop.call_soon_threadsafe(function, *arguments)
        except RuntimeError:
            # The loop has closed: the process is ending, and whoever would
            # have read the value is gone with it.
            return

    async def block(
        self,
        function: Callable[..., _Result],
        *arguments: typing.Any,
    ) -> _Result:
        """Run a blocking function in a thread and wait for its result."""
        return await self._loop.run_in_executor(
            self._pool,
            function,
            *arguments,
        )

    def close(self) -> None:
        """Stop taking calls; those under way are not waited for."""
        self._pool.shutdown(wait=False, cancel_futures=True)


async def _without_frames(
    coroutine: Coroutine[typing.Any, typing.Any, _Result],
) -> _Result:
    """Run a coroutine; its error takes no frames along to the thread.

    The frames of a traceback hold Cap'n Proto objects. Were the thread the
    last to hold them, they would be freed outside their event loop's thread,
    which aborts the process.
    """
    try:
        return await coroutine
    except Exception as error:
        error.__cause__ = None
        error.__context__ = None
        raise error.with_traceback(None)
