"""Output of commands: tables for people, JSON for programs."""

from __future__ import annotations

import sys
import typing

import msgspec
from rich import console, table

if typing.TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

#: Width in columns if the output is no terminal, such as a file.
_FILE_COLUMNS = 160
#: Console for tables and progress bars.
screen = console.Console(
    width=None if sys.stdout.isatty() else _FILE_COLUMNS,
)


def print_json(document: typing.Any) -> None:
    """Print a document as one line of JSON."""
    sys.stdout.write(f'{msgspec.json.encode(document).decode()}\n')


def print_table(
    title: str,
    headings: Sequence[str],
    rows: Iterable[Sequence[object]],
) -> None:
    """Print a table with a title."""
    drawn = table.Table(title=title, title_justify='left')
    for heading in headings:
        drawn.add_column(heading)
    for row in rows:
        drawn.add_row(*(str(cell) for cell in row))
    screen.print(drawn)
