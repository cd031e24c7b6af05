"""Calls between blocking threads and the event loop.

``cheroot`` and ``urllib3`` block in threads, while Cap'n Proto objects are
bound to one event loop. All calls between the two go through this module.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

_Result = typing.TypeVar('_Result')


class Bridge:
    """Pass calls between an event loop and a bounded pool of threads.

    :param loop: the event loop that runs the Cap'n Proto connections.
    :param threads: the maximum number of concurrent blocking calls.
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
        """Run a coroutine on the event loop; must be called from a thread."""
        return asyncio.run_coroutine_threadsafe(
            _strip_traceback(coroutine),
            self._loop,
        )

    def post(
        self,
        function: Callable[..., object],
        *arguments: typing.Any,
    ) -> None:
        """Schedule a call on the event loop; must be called from a thread."""
        try:
            self._loop.call_soon_threadsafe(function, *arguments)
        except RuntimeError:
            # The event loop is closed because the process is shutting down:
            # the receiver of the call no longer exists.
            return

    async def block(
        self,
        function: Callable[..., _Result],
        *arguments: typing.Any,
    ) -> _Result:
        """Run a blocking function in a thread and return its result."""
        return await self._loop.run_in_executor(
            self._pool,
            function,
            *arguments,
        )

    def close(self) -> None:
        """Accept no further calls, without waiting for the running ones."""
        self._pool.shutdown(wait=False, cancel_futures=True)


async def _strip_traceback(
    coroutine: Coroutine[typing.Any, typing.Any, _Result],
) -> _Result:
    """Run a coroutine and strip the traceback from its exception.

    The frames of a traceback reference Cap'n Proto objects. If the calling
    thread dropped the last reference to them, they would be freed outside the
    thread of their event loop, which aborts the process.
    """
    try:
        return await coroutine
    except Exception as error:
        error.__cause__ = None
        error.__context__ = None
        raise error.with_traceback(None)
