"""What the directory and the readiness question need of an entry."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from clementinepass.http import connection


class Offers(typing.Protocol):
    """Who can be asked for entries."""

    @property
    def ready(self) -> bool:
        """Tell whether callers may be sent here."""

    def told(self, now: float) -> float:
        """Return for how long callers may keep a list that is told now."""

    def offered(self, now: float) -> list[str]:
        """Return the callers' addresses of entries to use."""


class Spelling(typing.Protocol):
    """How those questions and their answers are spelled."""

    def handler(self, offers: Offers) -> connection.Handler:
        """Return what answers them."""
