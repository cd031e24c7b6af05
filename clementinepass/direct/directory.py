"""Interfaces between an entry and its directory and readiness check."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from clementinepass.http import connection


class EntryDirectory(typing.Protocol):
    """An entry as the directory and the readiness check see it."""

    @property
    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""

    def list_ttl_seconds(self, now: float) -> float:
        """Return how long callers may keep a list that they receive now."""

    def listed_addresses(self, now: float) -> list[str]:
        """Return the addresses of the entries that callers should use."""


class HandlerFactory(typing.Protocol):
    """The protocol of the directory and of the readiness check."""

    def create_handler(
        self, entry_directory: EntryDirectory
    ) -> connection.Handler:
        """Return a handler of directory and readiness requests."""
