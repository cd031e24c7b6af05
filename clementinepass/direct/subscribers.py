"""Which entries an agent tells of its engine's load."""

from __future__ import annotations

from clementinepass.decisions import subsetting

#: Seconds for which an entry is told after it has asked. It asks each second,
#: and datagrams are lost now and then.
_LEASE_SECONDS = 3.2
#: Seconds by which a report may go out before its time: the agent looks at its
#: engine at moments of its own.
_EARLY_TOLERANCE_SECONDS = 0.03


class Subscribers:
    """The entries that use the engine, by the leases that they renew."""

    __slots__ = ('_reported_at', '_lease_end_by_ip')

    def __init__(self) -> None:
        self._lease_end_by_ip: dict[str, float] = {}
        #: When they were last told; monotonic seconds.
        self._reported_at = float('-inf')

    def __len__(self) -> int:
        """Return how many there are, also just after their leases ended."""
        return len(self._lease_end_by_ip)

    def renew(self, ip: str, now: float) -> None:
        """Take it that an entry uses the engine."""
        self._lease_end_by_ip[ip] = now + _LEASE_SECONDS

    def due(self, now: float) -> list[str]:
        """Return the IP numbers of those to tell now; none if it's early."""
        self._lease_end_by_ip = {
            ip: until
            for ip, until in self._lease_end_by_ip.items()
            if until > now
        }
        interval = subsetting.report_interval(len(self._lease_end_by_ip))
        if now - self._reported_at < interval - _EARLY_TOLERANCE_SECONDS:
            return []
        self._reported_at = now
        return list(self._lease_end_by_ip)
