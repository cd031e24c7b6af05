"""Entry point of the operators' command line."""

from __future__ import annotations

import cyclopts

app = cyclopts.App(name='clementinepass', help='Operate clementinepass.')


def main() -> None:
    """Run the command line."""
    app()
