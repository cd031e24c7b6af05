"""Background jobs that run for as long as the process."""

from __future__ import annotations

import asyncio
import typing

from loguru import logger

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

#: Seconds after which a job that failed is restarted.
_RESTART_DELAY_SECONDS = 0.5


async def keep_running(job: Callable[[], Awaitable[None]]) -> None:
    """Run a job that never ends, and restart it after an exception.

    Otherwise one unexpected exception in one of several tasks would end the
    process and with it all requests in progress. The exception is logged with
    its traceback; no other task depends on the state of the failed one.

    :param job: creates the awaitable to run.
    """
    while True:
        try:
            await job()
        except Exception as error:
            logger.opt(exception=error).error('work begins anew: {!r}', error)
        await asyncio.sleep(_RESTART_DELAY_SECONDS)
