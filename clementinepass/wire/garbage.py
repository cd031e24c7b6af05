"""Run the garbage collector on the event loop's thread only.

Cap'n Proto objects that are part of a reference cycle, such as a session and
the task that served it, are freed by the thread in which Python's collector
happens to run. Freeing them outside the thread of their event loop aborts the
process ("No event loop is running on this thread"): an agent dies soon after
a connection was replaced. The automatic collector is therefore disabled, and
the event loop runs collections itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import typing

if typing.TYPE_CHECKING:
    from collections.abc import AsyncIterator

#: Seconds between collections of the young generations. Few objects are part
#: of cycles, so this interval keeps the number of uncollected ones small; a
#: collection takes about a millisecond.
_YOUNG_INTERVAL_SECONDS = 1.0
_YOUNG_GENERATION = 1
#: One in this many collections is a full one.
_FULL_EVERY = 60


@contextlib.asynccontextmanager
async def collect_on_loop() -> AsyncIterator[None]:
    """Disable the automatic collector; collect on this event loop instead."""
    gc.disable()
    # Objects created at the start live as long as the process. Full
    # collections pause the streams, so they skip these objects.
    gc.freeze()
    collecting = asyncio.create_task(_collect_forever())
    try:
        yield
    finally:
        collecting.cancel()
        gc.collect()


async def _collect_forever() -> None:
    collections = 0
    while True:
        await asyncio.sleep(_YOUNG_INTERVAL_SECONDS)
        collections += 1
        if collections % _FULL_EVERY:
            gc.collect(_YOUNG_GENERATION)
        else:
            gc.collect()
