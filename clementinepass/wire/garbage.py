"""Collect garbage on the event loop's thread only.

The failure: Cap'n Proto objects that are part of a reference cycle, such as a
session and the task that served it, are freed by whichever thread Python's
collector happens to run in.  Freed outside the thread of their event loop
they abort the process ("No event loop is running on this thread"), which an
operator sees as an agent that dies soon after a connection was replaced.  The
guard holds since the automatic collector is off and the loop collects itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import typing

if typing.TYPE_CHECKING:
    from collections.abc import AsyncIterator

#: Seconds between collections of what was made lately.  Few objects live in
#: cycles, so this bounds them, and takes about a millisecond each time.
_YOUNG_INTERVAL = 1.0
_YOUNG = 1
#: Young collections for each full one.
_FULL_EVERY = 60


@contextlib.asynccontextmanager
async def collect_on_loop() -> AsyncIterator[None]:
    """Turn the automatic collector off and collect on this loop instead."""
    gc.disable()
    # What was made at the start lives as long as the process: full
    # collections, which hold up the streams, need not look at it.
    gc.freeze()
    collecting = asyncio.create_task(_collect_forever())
    try:
        yield
    finally:
        collecting.cancel()
        gc.collect()


async def _collect_forever() -> None:
    rounds = 0
    while True:
        await asyncio.sleep(_YOUNG_INTERVAL)
        rounds += 1
        if rounds % _FULL_EVERY:
            gc.collect(_YOUNG)
        else:
            gc.collect()
