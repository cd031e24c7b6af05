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

_BITS = 8
_MEGA = 1_000_000
#: Time for a version's pieces against the time that their bytes take on a
#: link that carries nothing else: heads, prompts and events. A piece of 24,576
#: bytes takes 58 ms on a link of 3.65 Mbit/s.
_OVERHEAD = 1.08


class Aims:
    """What the engine on this machine should have next.

    :param own: who the agent is.
    :param known: the state of the cluster.
    :param near: the other agents.
    """

    __slots__ = (
        '_cluster',
        '_fetching',
        '_neighbours',
        '_own',
        '_postponed',
        'held',
    )

    def __init__(
        self,
        own: node.Node,
        known: cluster_state.ClusterState,
        near: neighbours.Neighbours,
    ) -> None:
        self._own = own
        self._cluster = known
        self._neighbours = near
        #: The version whose pieces are being got.
        self._fetching = 0
        #: The newer version that waits until that one is whole; 0 for none.
        self._postponed = 0
        #: What the engine said last that it holds; ``None`` until it did.
        self.held: endpoints.Weights | None = None

    def has(self, version: int) -> bool:
        """Tell whether the engine holds all layers of a version, or newer."""
        engine = self._neighbours.engine()
        held = self.held
        if engine is None or held is None:
            return False
        whole = held.first == 0 and held.end >= engine.layers
        return whole and held.version >= version

    def wanted(self, ready: loading.Loading) -> tuple[str, int]:
        """Return the model and the version whose pieces to get now.

        Version 0 where nothing is to be got.
        """
        engine = self._neighbours.engine()
        if engine is None:
            return '', 0
        version = self._aimed_at(engine, ready)
        here = ready.newest_whole(engine.model)
        if version <= here or self.has(version):
            return engine.model, 0
        return engine.model, version

    def following(self, ready: loading.Loading) -> tuple[str, int]:
        """Return the model and the version to get after the one on its way.

        Version 0 where there is none.
        """
        engine = self._neighbours.engine()
        if engine is None:
            return '', 0
        named = self._cluster.desired_version(engine.model)
        is_next = bool(self._fetching) and named > self._fetching
        known = ready.pieces_of(engine.model, named)
        return engine.model, named if is_next and known is None else 0

    def is_in_use(self, version: int) -> bool:
        """Tell whether the operator named a version or some engine has it."""
        engine = self._neighbours.engine()
        if engine is None:
            return False
        endpoints = self._neighbours.of_service()
        held = max((one.weights.version for one in endpoints), default=0)
        named = self._cluster.desired_version(engine.model)
        return 0 < version <= max(held, named)

    def _aimed_at(
        self,
        engine: routing.Engine,
        ready: loading.Loading,
    ) -> int:
        """Return the version that the engine should have next.

        Where none was named, whatever other engines have.
        """
        named = self._cluster.desired_version(engine.model)
        if not named:
            endpoints = self._neighbours.of_service()
            held = [peer.weights.version for peer in endpoints]
            named = max(held, default=0) or 1
        elif self._finishes_first(engine, ready, named):
            return self._fetching
        self._fetching = named
        return named

    def _finishes_first(
        self,
        engine: routing.Engine,
        ready: loading.Loading,
        newest: int,
    ) -> bool:
        """Tell whether to finish the version begun before the newest one."""
        current = self._fetching
        begun = ready.pieces_of(engine.model, current)
        if begun is None or not begun.missing or current >= newest:
            return False
        left = self._cluster.seconds_until_required(engine.model, current)
        if left is None:
            return False
        finishes = superseding.finish_first(
            superseding.Transfer(
                self._seconds(engine, len(begun.missing)),
                left,
            ),
            superseding.Transfer(
                self._seconds(engine, engine.chunks),
                self._cluster.seconds_until_required(engine.model, newest) or 0,
            ),
            is_decided=self._postponed == newest,
        )
        self._postponed = newest if finishes else 0
        return finishes

    def _seconds(self, engine: routing.Engine, chunks: int) -> float:
        """Return how long pieces take over this machine's link."""
        bits = chunks * engine.chunk_bytes * _BITS
        return _OVERHEAD * bits / (self._own.link_mbps * _MEGA)
