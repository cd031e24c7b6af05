"""The sources from which an agent can fetch pieces."""

from __future__ import annotations

import asyncio
import typing

from clementinepass.decisions import piece_chains, piece_stripes
from clementinepass.direct import peer_source

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from clementinepass.direct import (
        cluster_state,
        endpoints,
        node,
        routing,
        weights,
    )


class Neighbours:
    """The other agents of the service, and the origin.

    :param local_node: the local node.
    :param cluster: the state of the cluster.
    :param make_origin_source: creates a source from the origin's address.
    """

    __slots__ = (
        '_cluster',
        '_local_node',
        '_make_origin_source',
        '_sources_by_address',
    )

    def __init__(
        self,
        local_node: node.Node,
        cluster: cluster_state.ClusterState,
        make_origin_source: Callable[[str], weights.Source],
    ) -> None:
        self._local_node = local_node
        self._cluster = cluster
        self._make_origin_source = make_origin_source
        #: By IP address for agents, and by ``host:port`` for the origin.
        self._sources_by_address: dict[str, weights.Source] = {}

    def engine_configuration(self) -> routing.Engine | None:
        """Return the configuration of the service's engines, if it is known."""
        active_routing = self._cluster.routing
        if active_routing is None:
            return None
        service = active_routing.services_by_name.get(self._local_node.service)
        return None if service is None else service.engine

    def service_endpoints(self) -> list[endpoints.Endpoint]:
        """Return the service's endpoints, including the local one."""
        now = asyncio.get_running_loop().time()
        return self._cluster.endpoints.usable_for_service(
            self._local_node.service, now
        )

    def plan_input(self, version: int) -> piece_chains.PlanInput:
        """Return the input for choosing the sources of pieces."""
        engine = self.engine_configuration()
        active_routing = self._cluster.routing
        origin = None if active_routing is None else active_routing.origin
        origin_mbps = 0 if origin is None else origin.link_mbps
        peers = [
            piece_chains.Agent(
                self._local_node.region_of(endpoint.listing.domain),
                endpoint.listing.domain,
                endpoint.listing.address.rpartition(':')[0],
                engine is not None and endpoint.has_weights(engine, version),
            )
            for endpoint in self.service_endpoints()
            if endpoint.listing.address != self._local_node.endpoint
        ]
        return piece_chains.PlanInput(
            piece_chains.Agent(
                self._local_node.region,
                self._local_node.domain,
                self._local_node.ip,
            ),
            peers,
            '' if origin is None else self._local_node.region_of(origin.domain),
            piece_stripes.count_stripes(
                origin_mbps, self._local_node.link_mbps
            ),
            origin_link_ratio=origin_mbps / self._local_node.link_mbps,
        )

    def source(self, ip: str) -> weights.Source | None:
        """Return the source for an IP address or for the origin."""
        if ip == piece_chains.ORIGIN:
            return self._origin_source()
        return self._cached_source(ip, self._new_agent_source)

    def _cached_source(
        self,
        address: str,
        make_source: Callable[[str], weights.Source],
    ) -> weights.Source:
        """Return a source, created at its first use."""
        source = self._sources_by_address.get(address) or make_source(address)
        self._sources_by_address[address] = source
        return source

    def _new_agent_source(self, ip: str) -> weights.Source:
        return peer_source.PeerSource(ip, self._local_node.first_port)

    def _origin_source(self) -> weights.Source | None:
        active_routing = self._cluster.routing
        origin_service = (
            None if active_routing is None else active_routing.origin
        )
        if origin_service is None:
            return None
        # Cached by address because a new configuration may change it.
        return self._cached_source(
            origin_service.origin, self._make_origin_source
        )
