"""The entries that subscribe to the load of an agent's engine."""

from __future__ import annotations

from clementinepass.decisions import subsetting

#: Seconds for which a subscription lasts. Entries renew it each second, and
#: datagrams are lost now and then.
_LEASE_SECONDS = 3.2
#: Seconds by which a report may be sent early: the agent polls its engine on a
#: schedule of its own.
_EARLY_TOLERANCE_SECONDS = 0.03


class Subscribers:
    """The subscribed entries, with leases that they renew."""

    __slots__ = ('_reported_at', '_lease_end_by_ip')

    def __init__(self) -> None:
        self._lease_end_by_ip: dict[str, float] = {}
        #: Monotonic seconds of the last report.
        self._reported_at = float('-inf')

    def __len__(self) -> int:
        """Return the number of entries, including leases expired lately."""
        return len(self._lease_end_by_ip)

    def renew(self, ip: str, now: float) -> None:
        """Renew the lease of an entry."""
        self._lease_end_by_ip[ip] = now + _LEASE_SECONDS

    def due(self, now: float) -> list[str]:
        """Return the IP addresses to report to now.

        There are none until the report interval has passed.
        """
        self._lease_end_by_ip = {
            ip: lease_end
            for ip, lease_end in self._lease_end_by_ip.items()
            if lease_end > now
        }
        interval = subsetting.report_interval(len(self._lease_end_by_ip))
        if now - self._reported_at < interval - _EARLY_TOLERANCE_SECONDS:
            return []
        self._reported_at = now
        return list(self._lease_end_by_ip)
