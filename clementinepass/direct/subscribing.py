"""Subscribe to the load of the engines that an entry uses."""

from __future__ import annotations

import asyncio
import typing

from clementinepass.decisions import rendezvous, subsetting

if typing.TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from clementinepass.direct import cluster_state, endpoints, node, routing

#: Seconds between checks for engines that have become usable.
_POLL_SECONDS = 0.2
#: Seconds after which a subscription is renewed.
_RENEW_SECONDS = 1.0
#: Engines of each other region that are used while some requests may not run in
#: every region: two, so that the less loaded one can be chosen.
_ENGINES_PER_OTHER_REGION = 2


class LoadSubscriptions:
    """Keeps subscriptions to the load of the engines that may be used now.

    :param local_node: the local node.
    :param cluster: the state of the cluster.
    :param subscribe: subscribes at the agents with some IP addresses.
    """

    __slots__ = ('_requested_at_by_ip', '_cluster', '_local_node', '_subscribe')

    def __init__(
        self,
        local_node: node.Node,
        cluster: cluster_state.ClusterState,
        subscribe: Callable[[Iterable[str]], None],
    ) -> None:
        self._local_node = local_node
        self._cluster = cluster
        self._subscribe = subscribe
        #: Monotonic seconds of the last request to an agent.
        self._requested_at_by_ip: dict[str, float] = {}

    async def run(self) -> None:
        """Renew subscriptions until cancelled."""
        while True:
            due = self.due(asyncio.get_running_loop().time())
            if due:
                self._subscribe(due)
            await asyncio.sleep(_POLL_SECONDS)

    def due(self, now: float) -> list[str]:
        """Return the IP addresses of the agents to subscribe at now."""
        used = self._used_agents(now)
        requested_at = self._requested_at_by_ip
        due = [
            ip
            for ip in used
            if now - requested_at.get(ip, float('-inf')) >= _RENEW_SECONDS
        ]
        self._requested_at_by_ip = {
            ip: requested_at[ip] for ip in used if ip in requested_at
        }
        self._requested_at_by_ip.update(dict.fromkeys(due, now))
        return due

    def _used_agents(self, now: float) -> list[str]:
        """Return the IP addresses of the agents whose engines are used."""
        current = self._cluster.routing
        services = () if current is None else current.services_by_name.values()
        return [
            address.rpartition(':')[0]
            for service in services
            if service.engine is not None
            for address in self._engine_addresses(service, now)
        ]

    def _engine_addresses(
        self, service: routing.Service, now: float
    ) -> list[str]:
        """Return the addresses of the engines to subscribe to.

        These are the engines that this entry uses, and those of its failure
        domain that are not usable yet. When an added engine has loaded its
        weights, its agent knows few entries to announce that to. An entry that
        it does not know would see it two seconds later, in the engine's listing
        in the store.
        """
        usable = self._cluster.candidates(service, now)
        listed = self._cluster.endpoints.usable_for_service(service.name, now)
        waiting = [endpoint for endpoint in listed if endpoint not in usable]
        domain = self._local_node.domain
        near, far = _split(usable, domain)
        chosen = subsetting.subset(self._local_node.ip, near, far)
        chosen += [
            address
            for address in self._engines_of_other_regions(usable)
            if address not in chosen
        ]
        near_waiting, _ = _split(waiting, domain)
        return chosen + subsetting.subset(self._local_node.ip, near_waiting, ())

    def _engines_of_other_regions(
        self, usable: list[endpoints.Endpoint]
    ) -> list[str]:
        """Return engines for requests that must run in another region."""
        current = self._cluster.routing
        if current is None or not current.has_region_rules:
            return []
        addresses_by_region: dict[str, list[str]] = {}
        for engine in usable:
            region = self._local_node.region_of(engine.listing.domain)
            if region != self._local_node.region:
                addresses_by_region.setdefault(region, []).append(
                    engine.listing.address
                )
        return [
            address
            for addresses in addresses_by_region.values()
            for address in rendezvous.top_ranked(
                self._local_node.ip, addresses, _ENGINES_PER_OTHER_REGION
            )
        ]


def _split(
    engines: list[endpoints.Endpoint],
    domain: str,
) -> tuple[list[str], list[str]]:
    """Return the addresses of the engines inside and outside a domain."""
    near: list[str] = []
    far: list[str] = []
    for engine in engines:
        is_near = engine.listing.domain == domain
        (near if is_near else far).append(engine.listing.address)
    return near, far
