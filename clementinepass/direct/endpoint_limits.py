"""The limits of requests that endpoints name, as entries share them.

An answer tells one entry of a limit, and heartbeats tell the others. A few
entries, which all choose alike, share it; see
:mod:`clementinepass.decisions.rate_limit`.
"""

from __future__ import annotations

import typing

from clementinepass.decisions import rate_limit, rendezvous
from clementinepass.direct import heartbeats

if typing.TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from clementinepass.direct import endpoints

#: Seconds between updates of the shares, which change with the membership.
_UPDATE_INTERVAL_SECONDS = 0.1
#: Seconds for which a change is in each heartbeat, as some are lost.
_FRESH_SECONDS = 3.0
#: Seconds for which the end of a limit is in full heartbeats.
_END_RETENTION_SECONDS = 30.0
#: Maximum number of limits in a heartbeat, which is a datagram.
_MAX_REPORTED = 32


class EndpointLimits:
    """The limits of all endpoints.

    :param local_ip: IP address of this entry.
    :param known_endpoints: the endpoints that this entry knows.
    """

    __slots__ = (
        '_endpoints',
        '_limited_by_id',
        '_local_ip',
        '_reported_count',
        '_updated_at',
        'on_change',
        'sharing_entries',
    )

    def __init__(
        self, local_ip: str, known_endpoints: endpoints.Endpoints
    ) -> None:
        self._local_ip = local_ip
        self._endpoints = known_endpoints
        #: The endpoints that name a limit, or did so lately.
        self._limited_by_id: dict[str, endpoints.Endpoint] = {}
        self._updated_at = float('-inf')
        #: How many limits full heartbeats had room for so far.
        self._reported_count = 0
        #: Called after an answer that changes a limit, to announce it at once.
        self.on_change: Callable[[], None] | None = None
        #: Returns the IP addresses of the entries that share limits.
        self.sharing_entries: Callable[[], Collection[str]] = lambda: (
            local_ip,
        )

    def record_answer(
        self,
        endpoint: endpoints.Endpoint,
        rate: float | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Apply the limit that an answer names, or that it names none.

        :param rate: requests a second; ``None`` if no limit is named.
        :param sent_at: when the request was sent.
        :returns: whether the limit has changed.
        """
        limit = endpoint.rate_limit
        if rate is None and not limit.ends_with(sent_at):
            return False
        has_changed = self._update(endpoint, rate, now, now)
        if has_changed and self.on_change is not None:
            self.on_change()
        return has_changed

    def update_shares(self, now: float) -> None:
        """Update the share that this entry has of each limit."""
        if now - self._updated_at < _UPDATE_INTERVAL_SECONDS:
            return
        self._updated_at = now
        if not self._limited_by_id:
            return
        entries = self.sharing_entries()
        for endpoint in list(self._limited_by_id.values()):
            if self._is_over(endpoint, now):
                del self._limited_by_id[endpoint.listing.id]
            else:
                self._set_share(endpoint, entries, now)

    def report(
        self, now: float, *, full: bool
    ) -> tuple[heartbeats.EndpointLimit, ...]:
        """Return the limits for a heartbeat, the latest changes first.

        :param full: whether to report those that have not changed lately, too.
            If there are too many, they take turns.
        """
        oldest = now - _FRESH_SECONDS
        limited = self._limited_by_id.values()
        reported = sorted(
            (one for one in limited if one.rate_limit.changed_at > oldest),
            key=lambda endpoint: endpoint.rate_limit.changed_at,
            reverse=True,
        )
        if full:
            others = [
                one for one in limited if one.rate_limit.changed_at <= oldest
            ]
            start = self._reported_count % max(len(others), 1)
            reported += others[start:] + others[:start]
            self._reported_count += _MAX_REPORTED
        return tuple(
            heartbeats.EndpointLimit(
                endpoint.listing.id,
                endpoint.listing.started_ms,
                endpoint.rate_limit.rate,
                now - endpoint.rate_limit.named_at,
            )
            for endpoint in reported[:_MAX_REPORTED]
        )

    def apply(
        self, limits: Iterable[heartbeats.EndpointLimit], now: float
    ) -> None:
        """Apply the limits of a heartbeat to the same starts of endpoints."""
        for limit in limits:
            endpoint = self._endpoints.get(limit.endpoint_id)
            if (
                endpoint is not None
                and endpoint.listing.started_ms == limit.started_ms
            ):
                self._update(endpoint, limit.rate, now - limit.age, now)

    def _update(
        self,
        endpoint: endpoints.Endpoint,
        rate: float | None,
        named_at: float,
        now: float,
    ) -> bool:
        limit = endpoint.rate_limit
        if not limit.update(rate, named_at, now):
            return False
        self._limited_by_id[endpoint.listing.id] = endpoint
        if limit.is_named:
            self._set_share(endpoint, self.sharing_entries(), now)
        else:
            endpoint.backoff.start_recovery()
        return True

    def _set_share(
        self,
        endpoint: endpoints.Endpoint,
        entries: Collection[str],
        now: float,
    ) -> None:
        limit = endpoint.rate_limit
        if limit.rate is None:
            return
        count = rate_limit.share_count(limit.rate, len(entries))
        chosen = rendezvous.top_ranked(endpoint.listing.id, entries, count)
        is_chosen = self._local_ip in chosen
        limit.set_share(limit.rate / count if is_chosen else 0, now)

    def _is_over(self, endpoint: endpoints.Endpoint, now: float) -> bool:
        limit = endpoint.rate_limit
        if self._endpoints.get(endpoint.listing.id) is not endpoint:
            return True
        return (
            not limit.is_named
            and now - limit.changed_at > _END_RETENTION_SECONDS
        )
