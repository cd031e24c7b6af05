"""Entry point of the operators' command line."""

from __future__ import annotations

import typing

import cyclopts

from clementinepass.cli import rollout_commands, system_commands

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
app.command(rollout_commands.app)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line."""
    app(arguments)


if __name__ == '__main__':
    main()
