"""Entry point of the command line interface."""

from __future__ import annotations

import sys
import typing

import cyclopts
from loguru import logger

from clementinepass.cli import (
    config_commands,
    exits,
    explain_command,
    rollout_commands,
    settings_commands,
    system_commands,
)

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

app = cyclopts.App(
    name='clementinepass',
    help=(
        'Operate clementinepass. Exit codes: 0 done, 1 rejected or refused, '
        '2 bad input, 3 a service or process did not answer.'
    ),
)
app.command(system_commands.status)
app.command(system_commands.entries)
app.command(system_commands.drain)
app.command(system_commands.request)
app.command(explain_command.explain)
app.command(rollout_commands.app)
app.command(config_commands.app)
app.command(settings_commands.app)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line interface.

    :param arguments: the arguments; those of the process by default.
    """
    # Log events are meant for daemons; commands print errors themselves.
    logger.remove()
    try:
        app(arguments, exit_on_error=False)
    except cyclopts.CycloptsError:
        # cyclopts has already printed the error. Its own exit code is 1, which
        # would be taken for a rejection.
        sys.exit(exits.BAD_INPUT)


if __name__ == '__main__':
    main()
