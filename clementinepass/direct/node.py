"""What a process on the users' machines is told at its start."""

from __future__ import annotations

import msgspec


class SystemLimits(msgspec.Struct):
    """Bounds that the operator sets for the whole system; in seconds.

    One object for the life of the process: whoever asks it sees what the
    newest settings say.
    """

    #: Until no request goes to an endpoint that said it is leaving.
    drain: float = 2
    #: From SIGTERM to SIGKILL.
    grace: float = 8
    #: Repeats for each request, over all entries and in each window.
    budget_share: float = 0.2
    budget_window: float = 10
    #: Repeats in a window beyond that share, over all entries.
    budget_surplus: float = 100
    #: Until no request begins on an older version.
    version: float = 8
    #: For which a process that has started, or whose links were disturbed,
    #: isn't held to the bounds.
    settling: float = 3
    #: For which callers may keep a list of entries.
    longest_offer: float = 5

    def update(self, newer: SystemLimits) -> bool:
        """Take over newer settings; tell whether anything changed."""
        changed = newer != self
        for name in self.__struct_fields__:
            setattr(self, name, getattr(newer, name))
        return changed


class Node(msgspec.Struct, frozen=True, kw_only=True):
    """One process: who and where it is, and whom it asks."""

    name: str
    ip: str
    #: Its failure domain and region.
    domain: str
    region: str
    regions_by_domain: dict[str, str]
    #: The first of the ports that are free for the system's own use.
    first_port: int
    #: The store's address, ``host:port``.
    store: str
    duties: SystemLimits
    #: ``host:port`` where callers connect; empty for an agent.
    callers: str = ''
    #: ``host:port`` where readiness is asked for.
    readiness: str = ''
    #: ``host:port`` where callers ask for entries.
    directory: str = ''
    #: Megabits a second that its link carries.
    link_mbps: float = 1000
    #: ``host:port`` of the endpoint beside an agent, and its service.
    endpoint: str = ''
    service: str = ''
    #: IP numbers of processes that may be up.
    seeds: tuple[str, ...] = ()

    def region_of(self, domain: str) -> str:
        """Return the region of a failure domain."""
        return self.regions_by_domain.get(domain, domain)
