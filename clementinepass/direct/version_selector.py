"""Selection of the version that an agent fetches next."""

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
#: Ratio of a version's transfer time to the time that its bytes take on an
#: otherwise idle link: headers, prompts and events take the additional time. A
#: piece of 24,576 bytes takes 58 ms in all on a link of 3.65 Mbit/s.
_OVERHEAD_FACTOR = 1.08


class VersionSelector:
    """Selects the versions to fetch and to prepare for the local engine.

    :param local_node: the local node.
    :param cluster: the state of the cluster.
    :param neighbours: the other agents of the service.
    """

    __slots__ = (
        '_cluster',
        '_current_version',
        '_local_node',
        '_neighbours',
        '_postponed_version',
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
        #: The version whose pieces are being fetched.
        self._current_version = 0
        #: The newer version that waits until the current one is complete; 0 if
        #: there is none.
        self._postponed_version = 0
        #: The weights in the engine's last report; ``None`` before the first.
        self.engine_weights: endpoints.Weights | None = None

    def has_version_or_newer(self, version: int) -> bool:
        """Return whether all layers of a version or a newer one are loaded."""
        engine = self._neighbours.engine_configuration()
        engine_weights = self.engine_weights
        if engine is None or engine_weights is None:
            return False
        is_complete = (
            engine_weights.first == 0 and engine_weights.end >= engine.layers
        )
        return is_complete and engine_weights.version >= version

    def version_to_fetch(self, loader: loading.Loader) -> tuple[str, int]:
        """Return the model and the version whose pieces to fetch now.

        The version is 0 if there is nothing to fetch.
        """
        engine = self._neighbours.engine_configuration()
        if engine is None:
            return '', 0
        version = self._target_version(engine, loader)
        newest_fetched = loader.newest_complete(engine.model)
        if version <= newest_fetched or self.has_version_or_newer(version):
            return engine.model, 0
        return engine.model, version

    def version_to_prepare(self, loader: loading.Loader) -> tuple[str, int]:
        """Return the model and the version to fetch after the current one.

        The version is 0 if there is none or its manifest is here.
        """
        engine = self._neighbours.engine_configuration()
        if engine is None:
            return '', 0
        desired_version = self._cluster.newest_desired_version(engine.model)
        is_next = (
            bool(self._current_version)
            and desired_version > self._current_version
        )
        version_pieces = loader.pieces_of(engine.model, desired_version)
        return (
            engine.model,
            desired_version if is_next and version_pieces is None else 0,
        )

    def is_in_use(self, version: int) -> bool:
        """Return whether a version is desired or held by some engine."""
        engine = self._neighbours.engine_configuration()
        if engine is None:
            return False
        endpoints = self._neighbours.service_endpoints()
        newest_loaded = max(
            (endpoint.weights.version for endpoint in endpoints), default=0
        )
        desired_version = self._cluster.newest_desired_version(engine.model)
        return 0 < version <= max(newest_loaded, desired_version)

    def _target_version(
        self,
        engine: routing.Engine,
        loader: loading.Loader,
    ) -> int:
        """Return the version that the engine should load next.

        Without a desired version, it is the newest that other engines hold.
        """
        desired_version = self._cluster.newest_desired_version(engine.model)
        if not desired_version:
            endpoints = self._neighbours.service_endpoints()
            versions = [endpoint.weights.version for endpoint in endpoints]
            desired_version = max(versions, default=0) or 1
        elif self._should_finish_current(engine, loader, desired_version):
            return self._current_version
        self._current_version = desired_version
        return desired_version

    def _should_finish_current(
        self,
        engine: routing.Engine,
        loader: loading.Loader,
        newest: int,
    ) -> bool:
        """Return whether to complete the current version before the newest."""
        current = self._current_version
        version_pieces = loader.pieces_of(engine.model, current)
        if (
            version_pieces is None
            or not version_pieces.missing
            or current >= newest
        ):
            return False
        current_seconds_left = self._cluster.seconds_until_required(
            engine.model, current
        )
        if current_seconds_left is None:
            return False
        should_finish = superseding.should_finish_first(
            superseding.Transfer(
                self._transfer_seconds(engine, len(version_pieces.missing)),
                current_seconds_left,
            ),
            superseding.Transfer(
                self._transfer_seconds(engine, engine.chunks),
                self._cluster.seconds_until_required(engine.model, newest) or 0,
            ),
            is_decided=self._postponed_version == newest,
        )
        self._postponed_version = newest if should_finish else 0
        return should_finish

    def _transfer_seconds(
        self, engine: routing.Engine, piece_count: int
    ) -> float:
        """Return how long pieces take over the local machine's link."""
        bits = piece_count * engine.chunk_bytes * _BITS_PER_BYTE
        return (
            _OVERHEAD_FACTOR
            * bits
            / (self._local_node.link_mbps * _BITS_PER_MEGABIT)
        )
