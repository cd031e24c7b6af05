"""The identity of a process and the limits set by the operator."""

from __future__ import annotations

import msgspec


class SystemLimits(msgspec.Struct):
    """Limits that the operator sets for the whole system; times in seconds.

    A process has one object, which is updated in place when the settings
    change, so that all its users see the newest values.
    """

    #: Time after which an endpoint that announced its drain gets no requests.
    drain: float = 2
    #: Time from SIGTERM to SIGKILL.
    grace: float = 8
    #: Retries per request, over all entries and in each window, and the length
    #: of the window.
    budget_share: float = 0.2
    budget_window: float = 10
    #: Retries in a window beyond that share, over all entries.
    budget_surplus: float = 100
    #: Time from the operator's record of a new desired version until no request
    #: starts on an older one.
    version: float = 8
    #: Time for which the limits do not apply to a process that has started or
    #: whose links were disturbed.
    settling: float = 3
    #: Factor by which the requests to a cold endpoint in one second may exceed
    #: its rate, and the requests that may come on top of that.
    cold_overrun: float = 1
    cold_slack: float = 0
    #: Longest time for which callers may keep a list of entries.
    longest_offer: float = 5

    def update(self, newer: SystemLimits) -> bool:
        """Apply newer settings; return whether anything changed."""
        changed = newer != self
        for name in self.__struct_fields__:
            setattr(self, name, getattr(newer, name))
        return changed


class Node(msgspec.Struct, frozen=True, kw_only=True):
    """The identity, location and addresses of one process."""

    name: str
    ip: str
    #: Failure domain and region of the process.
    domain: str
    region: str
    regions_by_domain: dict[str, str]
    #: The first port that is reserved for the system's internal use.
    first_port: int
    #: ``host:port`` of the store.
    store: str
    duties: SystemLimits
    #: ``host:port`` where callers connect; empty for an agent.
    callers: str = ''
    #: ``host:port`` of the readiness check.
    readiness: str = ''
    #: ``host:port`` of the directory of entries.
    directory: str = ''
    #: Bandwidth of the link in Mbit/s.
    link_mbps: float = 1000
    #: Memory above which the process is killed; 0 if not limited.
    memory_bytes: int = 0
    #: Most sockets that the process may have open; 0 if not limited.
    sockets: int = 0
    #: ``host:port`` of the endpoint beside an agent, and its service.
    endpoint: str = ''
    service: str = ''
    #: IP addresses of processes that may be running.
    seeds: tuple[str, ...] = ()

    def region_of(self, domain: str) -> str:
        """Return the region of a failure domain."""
        return self.regions_by_domain.get(domain, domain)
