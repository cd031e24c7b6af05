"""The daemon: one process of the system, an entry or an agent."""

from __future__ import annotations

import asyncio
import faulthandler
import pathlib
import sys
import time
import typing

import capnp
import cyclopts
from loguru import logger

from clementinepass import errors, lifecycle
from clementinepass.agent import assembly as agent_assembly
from clementinepass.entry import assembly as entry_assembly
from clementinepass.observability import logs
from clementinepass.platform import protocols
from clementinepass.settings import settings as daemon_settings
from clementinepass.wire import garbage

#: Exit codes.
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2

app = cyclopts.App(
    name='clementinepassd',
    help='Run one process of clementinepass: an entry or an agent.',
)


@app.default
def run(settings: pathlib.Path) -> None:
    """Run until told to leave.

    SIGTERM drains: no new work, what runs is finished. A second SIGTERM ends
    at once. SIGHUP reads the log level anew.

    Example: ``clementinepassd /etc/clementinepass/entry.ini``

    :param settings: the INI file with the settings.
    """
    checked = _read(settings)
    logs.configure(checked.logging.level, checked.logging.format)
    # A crash inside a library leaves no other trace. The stacks of all threads
    # of an entry would be cut off before that of the crash.
    faulthandler.enable(all_threads=False)
    assemble: typing.Callable[..., typing.Any]
    if checked.daemon.role is protocols.Role.ENTRY:
        assemble = entry_assembly.run
    else:
        assemble = agent_assembly.run
    try:
        asyncio.run(_run(assemble, checked, settings))
    except (OSError, errors.ClementinepassError) as error:
        logger.bind(step='start').critical('{}', error)
        sys.exit(EXIT_FAILED)


def main() -> None:
    """Run the daemon's command line."""
    app()


async def _run(
    assemble: typing.Callable[..., typing.Any],
    settings: daemon_settings.Settings,
    path: pathlib.Path,
) -> None:
    # Nanoseconds since 1970 grow with each start, also across instances
    # whose names come back.
    incarnation = time.time_ns()
    async with capnp.kj_loop(), garbage.collect_on_loop():
        await assemble(settings, incarnation, path)
        lifecycle.exit_without_threads(EXIT_OK)


def _read(path: pathlib.Path) -> daemon_settings.Settings:
    try:
        return daemon_settings.Settings.from_file(path)
    except ExceptionGroup as group:
        for fault in group.exceptions:
            sys.stderr.write(f'{fault}\n')
        sys.exit(EXIT_BAD_SETTINGS)


if __name__ == '__main__':
    main()
