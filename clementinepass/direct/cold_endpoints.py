"""The limits of cold endpoints, as entries share them.

All entries choose the same few for each endpoint; see
:mod:`clementinepass.decisions.cold_start`. They count entries that are silent
as well: if entries that are cut off from one another shared a limit among those
that they hear, each group would send all of it.
"""

from __future__ import annotations

import typing

from loguru import logger

from clementinepass.decisions import cold_start, rendezvous

if typing.TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from clementinepass.direct import endpoints, node

#: Seconds between updates of the shares, which change with the membership.
_UPDATE_INTERVAL_SECONDS = 0.1
#: Seconds for which an entry that was heard of still counts. A cut between
#: entries lasts for less; entries that are gone for good leave a share unused.
_ENTRY_RETENTION_SECONDS = 300.0


class ColdEndpoints:
    """The endpoints that are cold.

    :param local_ip: IP address of this entry.
    :param limits: the factors by which a second may exceed an endpoint's rate.
    """

    __slots__ = (
        '_cold_by_id',
        '_heard_at_by_ip',
        '_limits',
        '_local_ip',
        '_updated_at',
        'known_entries',
    )

    def __init__(self, local_ip: str, limits: node.SystemLimits) -> None:
        self._local_ip = local_ip
        self._limits = limits
        self._cold_by_id: dict[str, endpoints.Endpoint] = {}
        self._heard_at_by_ip: dict[str, float] = {}
        self._updated_at = float('-inf')
        #: Returns the IP addresses of the entries known at present.
        self.known_entries: Callable[[], Iterable[str]] = tuple

    def __len__(self) -> int:
        """Return the number of cold endpoints."""
        return len(self._cold_by_id)

    def mark(
        self,
        endpoint: endpoints.Endpoint,
        rate: float,
        seconds: float,
        now: float,
    ) -> None:
        """Record that an endpoint is cold.

        :param rate: requests a second that it takes of all entries; 0 if it
            takes any number.
        :param seconds: for which it stays cold. A time that is already known
            is not shortened.
        """
        if not rate or seconds <= 0:
            return
        if endpoint.cold_until <= now:
            logger.bind(
                endpoint=endpoint.listing.id,
                rate=rate,
                seconds=round(seconds, 3),
            ).info('endpoint is cold')
        endpoint.cold_until = max(endpoint.cold_until, now + seconds)
        endpoint.cold_limit.update(rate, now, now)
        self._cold_by_id[endpoint.listing.id] = endpoint
        self._set_share(endpoint, self._entries(now), now)

    def update_shares(self, now: float) -> None:
        """Update the share that this entry has of each limit."""
        if now - self._updated_at < _UPDATE_INTERVAL_SECONDS:
            return
        self._updated_at = now
        entries = self._entries(now)
        for endpoint_id, endpoint in list(self._cold_by_id.items()):
            if endpoint.cold_until > now:
                self._set_share(endpoint, entries, now)
                continue
            del self._cold_by_id[endpoint_id]
            endpoint.cold_limit.update(None, now, now)
            # All entries would send to it at the same moment.
            endpoint.backoff.start_recovery()

    def _entries(self, now: float) -> set[str]:
        """Return the entries that share limits."""
        oldest = now - _ENTRY_RETENTION_SECONDS
        self._heard_at_by_ip = {
            **{
                ip: heard_at
                for ip, heard_at in self._heard_at_by_ip.items()
                if heard_at > oldest
            },
            **dict.fromkeys(self.known_entries(), now),
        }
        return {self._local_ip, *self._heard_at_by_ip}

    def _set_share(
        self, endpoint: endpoints.Endpoint, entries: set[str], now: float
    ) -> None:
        limit = endpoint.cold_limit
        if limit.rate is None:
            return
        bound = cold_start.Bound(
            limit.rate, self._limits.cold_overrun, self._limits.cold_slack
        )
        division = cold_start.divide(bound, len(entries))
        chosen = rendezvous.top_ranked(
            endpoint.listing.id, entries, division.entries
        )
        is_chosen = self._local_ip in chosen
        limit.set_share(division.share if is_chosen else 0, now)
