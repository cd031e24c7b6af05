"""Signal handling of a daemon: drain, exit and reload of the log level."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import typing

from loguru import logger

from clementinepass.observability import logs
from clementinepass.settings import settings as daemon_settings

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

#: Exit code after a second SIGTERM, as a shell reports it.
_EXIT_CODE_SIGTERM = 128 + signal.SIGTERM


def exit_without_threads(code: int) -> typing.NoReturn:
    """End the process without waiting for its threads.

    The interpreter would wait for each thread of an executor. One that reads
    from an endpoint or a platform service that has stopped to answer ends only
    with its timeout.
    """
    logger.complete()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


class Lifecycle:
    """Run a daemon's work until a stop is requested, then drain it.

    :param path: the settings file; SIGHUP reloads the log level from it.
    :param exit_process: terminates the process at once with an exit code.
    """

    def __init__(
        self,
        path: pathlib.Path,
        exit_process: Callable[[int], object] = os._exit,
    ) -> None:
        self._path = path
        self._exit_process = exit_process
        self._stop_requested = asyncio.Event()
        self._is_terminated = False

    def stop(self) -> None:
        """Start draining on the operator's command; no effect when repeated."""
        self._stop_requested.set()

    def terminate(self) -> None:
        """Handle SIGTERM or SIGINT: drain on the first, exit on the second.

        The drain command does not count as a signal. Otherwise, the single
        SIGTERM that the platform sends after a drain command would terminate
        the process and cut off the answers in progress.
        """
        if self._is_terminated:
            logger.bind(step='stop').warning('ending at once')
            self._exit_process(_EXIT_CODE_SIGTERM)
        self._is_terminated = True
        self._stop_requested.set()

    async def run(
        self,
        work: Awaitable[None],
        drain: Callable[[], Awaitable[None]],
    ) -> None:
        """Run ``work``; once a stop is requested, drain and cancel it.

        If ``work`` ends by itself, its error is raised and nothing is drained.
        """
        self._install_signal_handlers()
        work_task = asyncio.ensure_future(work)
        stop_task = asyncio.ensure_future(self._stop_requested.wait())
        await asyncio.wait(
            {work_task, stop_task},
            return_when=asyncio.FIRST_COMPLETED,
        )
        if work_task.done():
            work_task.result()
            return
        await drain()
        work_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await work_task

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.terminate)
        loop.add_signal_handler(signal.SIGINT, self.terminate)
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    def _reload(self) -> None:
        try:
            settings = daemon_settings.Settings.from_file(self._path)
        except ExceptionGroup as group:
            logger.bind(step='reload').error(
                'settings have {} faults; the log level stays',
                len(group.exceptions),
            )
            return
        logs.set_level(settings.logging.level)
