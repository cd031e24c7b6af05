"""Work that goes on for as long as the process does."""

from __future__ import annotations

import asyncio
import typing

from loguru import logger

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

#: Seconds after which work is begun anew that ended with a fault.
_RESTART_DELAY_SECONDS = 0.5


async def keep_running(job: Callable[[], Awaitable[None]]) -> None:
    """Do work that never ends, and begin it anew when a fault ends it.

    Failure: one unforeseen fault in one of several tasks would end the
    process and with it every request that it serves. The fault is written
    with its place; nothing else of the process depends on that task's state.
    """
    while True:
        try:
            await job()
        except Exception as error:
            logger.opt(exception=error).error('work begins anew: {!r}', error)
        await asyncio.sleep(_RESTART_DELAY_SECONDS)
