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

    __slots__ = ('_cluster', '_make_origin', '_own', '_sources_by_name')

    def __init__(
        self,
        own: node.Node,
        known: cluster_state.ClusterState,
        origin: Callable[[str], weights.Source],
    ) -> None:
        self._own = own
        self._cluster = known
        self._make_origin = origin
        #: By IP number, the origin by its address.
        self._sources_by_name: dict[str, weights.Source] = {}

    def engine(self) -> routing.Engine | None:
        """Return what the operator says of the service's engines."""
        current = self._cluster.routing
        if current is None:
            return None
        service = current.services_by_name.get(self._own.service)
        return None if service is None else service.engine

    def of_service(self) -> list[endpoints.Endpoint]:
        """Return the endpoints of the service, the own one included."""
        now = asyncio.get_running_loop().time()
        return self._cluster.endpoints.of_service(self._own.service, now)

    def question(self, version: int) -> piece_chains.PlanInput:
        """Return what choosing a source for pieces needs."""
        engine = self.engine()
        current = self._cluster.routing
        origin = None if current is None else current.origin
        origin_mbps = 0 if origin is None else origin.link_mbps
        peers = [
            piece_chains.Agent(
                self._own.region_of(endpoint.listing.domain),
                endpoint.listing.domain,
                endpoint.listing.address.rpartition(':')[0],
                engine is not None and endpoint.holds(engine, version),
            )
            for endpoint in self.of_service()
            if endpoint.listing.address != self._own.endpoint
        ]
        return piece_chains.PlanInput(
            piece_chains.Agent(
                self._own.region,
                self._own.domain,
                self._own.ip,
            ),
            peers,
            '' if origin is None else self._own.region_of(origin.domain),
            piece_stripes.count_stripes(origin_mbps, self._own.link_mbps),
            origin_link_ratio=origin_mbps / self._own.link_mbps,
        )

    def source(self, ip: str) -> weights.Source | None:
        """Return a source by its IP number, or the origin."""
        if ip == piece_chains.ORIGIN:
            return self._origin()
        return self._kept(ip, self._agent)

    def _kept(
        self,
        name: str,
        make: Callable[[str], weights.Source],
    ) -> weights.Source:
        """Return a source, made when it is first asked for."""
        known = self._sources_by_name.get(name) or make(name)
        self._sources_by_name[name] = known
        return known

    def _agent(self, ip: str) -> weights.Source:
        return peer_source.PeerSource(ip, self._own.first_port)

    def _origin(self) -> weights.Source | None:
        current = self._cluster.routing
        service = None if current is None else current.origin
        if service is None:
            return None
        # By its address, which a new configuration may change.
        return self._kept(service.origin, self._make_origin)
