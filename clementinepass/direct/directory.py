"""Interfaces between an entry and its directory and readiness check."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from clementinepass.direct import members, routing
    from clementinepass.http import connection


class Query(typing.NamedTuple):
    """A caller's question for entries.

    :param host: the host to which it will send requests; empty if unknown.
    :param region: the caller's region; empty if unknown.
    """

    host: bytes = b''
    region: str = ''


#: The question of a caller that says nothing of itself.
ANY_CALLER = Query()


class EntryDirectory(typing.Protocol):
    """An entry as the directory and the readiness check see it."""

    @property
    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""

    def list_ttl_seconds(self, now: float) -> float:
        """Return how long callers may keep a list that they receive now."""

    def listed_addresses(
        self, now: float, query: Query = ANY_CALLER
    ) -> list[str]:
        """Return the addresses of the entries that a caller should use."""


class HandlerFactory(typing.Protocol):
    """The protocol of the directory and of the readiness check."""

    def create_handler(
        self, entry_directory: EntryDirectory
    ) -> connection.Handler:
        """Return a handler of directory and readiness requests."""


def preferred_entries(
    ready: list[members.Member],
    configuration: routing.Routing | None,
    query: Query,
) -> list[members.Member]:
    """Return the entries to name to a caller.

    Requests that may not run in every region are sent to entries of the
    caller's region, or of the regions where any of them may run. If there are
    none, all entries are named: a request that is refused says why.
    """
    if configuration is None or not query.region:
        return ready
    allowed_regions = configuration.restricted_regions(query.host)
    if allowed_regions is None:
        return ready
    preferred = [
        member
        for member in ready
        if member.region == query.region or member.region in allowed_regions
    ]
    return preferred or ready
