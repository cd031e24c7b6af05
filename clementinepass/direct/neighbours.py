"""Whom an agent can get pieces from."""

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

    :param own: who the agent is.
    :param origin: makes a source of the origin's address.
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
        #: By IP number, the origin by its address.
        self._sources_by_address: dict[str, weights.Source] = {}

    def engine(self) -> routing.Engine | None:
        """Return what the operator says of the service's engines."""
        current = self._cluster.routing
        if current is None:
            return None
        service = current.services_by_name.get(self._local_node.service)
        return None if service is None else service.engine

    def service_endpoints(self) -> list[endpoints.Endpoint]:
        """Return the endpoints of the service, the own one included."""
        now = asyncio.get_running_loop().time()
        return self._cluster.endpoints.of_service(self._local_node.service, now)

    def plan_input(self, version: int) -> piece_chains.Question:
        """Return what choosing a source for pieces needs."""
        engine = self.engine()
        current = self._cluster.routing
        origin = None if current is None else current.origin
        origin_mbps = 0 if origin is None else origin.link_mbps
        peers = [
            piece_chains.Peer(
                self._local_node.region_of(endpoint.listing.domain),
                endpoint.listing.domain,
                endpoint.listing.address.rpartition(':')[0],
                engine is not None and endpoint.holds(engine, version),
            )
            for endpoint in self.service_endpoints()
            if endpoint.listing.address != self._local_node.endpoint
        ]
        return piece_chains.Question(
            piece_chains.Peer(
                self._local_node.region,
                self._local_node.domain,
                self._local_node.ip,
            ),
            peers,
            '' if origin is None else self._local_node.region_of(origin.domain),
            piece_stripes.stripes(origin_mbps, self._local_node.link_mbps),
            origin_part=origin_mbps / self._local_node.link_mbps,
        )

    def source(self, ip: str) -> weights.Source | None:
        """Return a source by its IP number, or the origin."""
        if ip == piece_chains.ORIGIN:
            return self._origin_source()
        return self._cached_source(ip, self._new_agent_source)

    def _cached_source(
        self,
        address: str,
        make: Callable[[str], weights.Source],
    ) -> weights.Source:
        """Return a source, made when it is first asked for."""
        source = self._sources_by_address.get(address) or make(address)
        self._sources_by_address[address] = source
        return source

    def _new_agent_source(self, ip: str) -> weights.Source:
        return peer_source.PeerSource(ip, self._local_node.first_port)

    def _origin_source(self) -> weights.Source | None:
        current = self._cluster.routing
        service = None if current is None else current.origin
        if service is None:
            return None
        # By its address, which a new configuration may change.
        return self._cached_source(service.origin, self._make_origin_source)
