"""Which version an agent gets next."""

from __future__ import annotations

import typing

from clementinepass.decisions import superseding

if typing.TYPE_CHECKING:
    from clementinepass.direct import (
        cluster_state,
        endpoints,
        loading,
        neighbours,
        node,
        routing,
    )

_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT = 1_000_000
#: Time for a version's pieces against the time that their bytes take on a
#: link that carries nothing else: heads, prompts and events. A piece of 24,576
#: bytes takes 58 ms on a link of 3.65 Mbit/s.
_OVERHEAD_FACTOR = 1.08


class VersionSelector:
    """What the engine on this machine should have next.

    :param own: who the agent is.
    :param known: the state of the cluster.
    :param near: the other agents.
    """

    __slots__ = (
        '_cluster',
        '_fetching',
        '_local_node',
        '_neighbours',
        '_postponed',
        'engine_weights',
    )

    def __init__(
        self,
        local_node: node.Node,
        cluster: cluster_state.ClusterState,
        neighbours: neighbours.Neighbours,
    ) -> None:
        self._local_node = local_node
        self._cluster = cluster
        self._neighbours = neighbours
        #: The version whose pieces are being got.
        self._fetching = 0
        #: The newer version that waits until that one is whole; 0 for none.
        self._postponed = 0
        #: What the engine said last that it holds; ``None`` until it did.
        self.engine_weights: endpoints.Weights | None = None

    def has_version_or_newer(self, version: int) -> bool:
        """Tell whether the engine holds all layers of a version, or newer."""
        engine = self._neighbours.engine()
        engine_weights = self.engine_weights
        if engine is None or engine_weights is None:
            return False
        is_complete = (
            engine_weights.first == 0 and engine_weights.end >= engine.layers
        )
        return is_complete and engine_weights.version >= version

    def version_to_fetch(self, loader: loading.Loader) -> tuple[str, int]:
        """Return the model and the version whose pieces to get now.

        Version 0 where nothing is to be got.
        """
        engine = self._neighbours.engine()
        if engine is None:
            return '', 0
        version = self._target_version(engine, loader)
        newest_fetched = loader.newest_complete(engine.model)
        if version <= newest_fetched or self.has_version_or_newer(version):
            return engine.model, 0
        return engine.model, version

    def version_to_prepare(self, loader: loading.Loader) -> tuple[str, int]:
        """Return the model and the version to get after the one on its way.

        Version 0 where there is none.
        """
        engine = self._neighbours.engine()
        if engine is None:
            return '', 0
        desired_version = self._cluster.wanted_version(engine.model)
        is_next = bool(self._fetching) and desired_version > self._fetching
        version_pieces = loader.pieces_of(engine.model, desired_version)
        return (
            engine.model,
            desired_version if is_next and version_pieces is None else 0,
        )

    def is_in_use(self, version: int) -> bool:
        """Tell whether the operator named a version or some engine has it."""
        engine = self._neighbours.engine()
        if engine is None:
            return False
        endpoints = self._neighbours.service_endpoints()
        newest_loaded = max(
            (endpoint.weights.version for endpoint in endpoints), default=0
        )
        desired_version = self._cluster.wanted_version(engine.model)
        return 0 < version <= max(newest_loaded, desired_version)

    def _target_version(
        self,
        engine: routing.Engine,
        loader: loading.Loader,
    ) -> int:
        """Return the version that the engine should have next.

        Where none was named, whatever other engines have.
        """
        desired_version = self._cluster.wanted_version(engine.model)
        if not desired_version:
            endpoints = self._neighbours.service_endpoints()
            versions = [peer.weights.version for peer in endpoints]
            desired_version = max(versions, default=0) or 1
        elif self._should_finish_current(engine, loader, desired_version):
            return self._fetching
        self._fetching = desired_version
        return desired_version

    def _should_finish_current(
        self,
        engine: routing.Engine,
        loader: loading.Loader,
        newest: int,
    ) -> bool:
        """Tell whether to finish the version begun before the newest one."""
        current = self._fetching
        version_pieces = loader.pieces_of(engine.model, current)
        if (
            version_pieces is None
            or not version_pieces.missing
            or current >= newest
        ):
            return False
        left = self._cluster.seconds_left(engine.model, current)
        if left is None:
            return False
        finishes = superseding.finish_first(
            superseding.Transfer(
                self._transfer_seconds(engine, len(version_pieces.missing)),
                left,
            ),
            superseding.Transfer(
                self._transfer_seconds(engine, engine.chunks),
                self._cluster.seconds_left(engine.model, newest) or 0,
            ),
            is_decided=self._postponed == newest,
        )
        self._postponed = newest if finishes else 0
        return finishes

    def _transfer_seconds(self, engine: routing.Engine, chunks: int) -> float:
        """Return how long pieces take over this machine's link."""
        bits = chunks * engine.chunk_bytes * _BITS_PER_BYTE
        return (
            _OVERHEAD_FACTOR
            * bits
            / (self._local_node.link_mbps * _BITS_PER_MEGABIT)
        )
