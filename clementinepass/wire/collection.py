"""Garbage collection on the event loop's thread only.

Cap'n Proto's objects may be destroyed only on the thread of their event loop.
The interpreter collects reference cycles on whichever thread happens to
allocate next, and exceptions with their tracebacks make such cycles out of
promises all the time. A collection in a thread that serves a caller then ends
the whole process ("No event loop is running on this thread"). So automatic
collection is off, and a task on the loop collects instead.
"""

from __future__ import annotations

import asyncio
import gc

#: Seconds between two collections of the youngest objects. At 5,000 tokens a
#: second hardly anything of a token is a cycle, so little piles up.
_INTERVAL = 0.5
#: Collections of one generation for each of the next older.
_YOUNG_FOR_EACH_OLD = 10
_GENERATIONS = 3


def take_over() -> None:
    """Stop automatic collection; to be called before threads start.

    What exists by now, mostly modules, lives as long as the process and is
    left out of all later collections.
    """
    gc.collect()
    gc.freeze()
    gc.disable()


async def collect_forever() -> None:
    """Collect on this loop's thread until cancelled."""
    rounds = 0
    while True:
        await asyncio.sleep(_INTERVAL)
        rounds += 1
        gc.collect(_generation(rounds))


def _generation(rounds: int) -> int:
    generation = 0
    while generation < _GENERATIONS - 1 and not rounds % _YOUNG_FOR_EACH_OLD:
        rounds //= _YOUNG_FOR_EACH_OLD
        generation += 1
    return generation
