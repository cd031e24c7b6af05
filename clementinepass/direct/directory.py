"""What the directory and the readiness question need of an entry."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from clementinepass.http import connection


class EntryDirectory(typing.Protocol):
    """Who can be asked for entries."""

    @property
    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""

    def list_ttl_seconds(self, now: float) -> float:
        """Return for how long callers may keep a list that is told now."""

    def listed_addresses(self, now: float) -> list[str]:
        """Return the callers' addresses of entries to use."""


class HandlerFactory(typing.Protocol):
    """How those questions and their answers are spelled."""

    def create_handler(
        self, entry_directory: EntryDirectory
    ) -> connection.Handler:
        """Return what answers them."""
