"""The state of an entry's drain, for all parts that serve callers."""

from __future__ import annotations

import math
import typing

from loguru import logger

from clementinepass.decisions import departure as drain_decisions

if typing.TYPE_CHECKING:
    from clementinepass.direct import cluster_state, node

#: Seconds between log lines about the directory listing a draining entry.
_LOG_INTERVAL_SECONDS = 1.0


class DrainState:
    """Whether an entry drains, and which requests it still accepts.

    :param local_node: the entry.
    :param cluster: the state of the cluster.
    """

    __slots__ = (
        '_cluster',
        '_logged_at',
        '_local_node',
        '_lists_expire_at',
        'plan',
        'refused_count',
        'accepted_count',
    )

    def __init__(
        self, local_node: node.Node, cluster: cluster_state.ClusterState
    ) -> None:
        self._local_node = local_node
        self._cluster = cluster
        self._logged_at = -math.inf
        #: Monotonic time until which callers keep lists from this entry.
        self._lists_expire_at = -math.inf
        #: The schedule of the drain; ``None`` unless the entry drains.
        self.plan: drain_decisions.DrainPlan | None = None
        #: Requests accepted and refused since the drain started.
        self.accepted_count = 0
        self.refused_count = 0

    @property
    def list_policy(self) -> drain_decisions.ListPolicy:
        """Return how entries are listed to callers.

        Before a configuration is known, any request may take the longest time.
        """
        configuration = self._cluster.routing
        timeouts = () if configuration is None else configuration.timeouts
        limits = self._local_node.duties
        acceptance_seconds = drain_decisions.accepting_seconds(
            limits.grace, timeouts
        )
        return drain_decisions.list_policy(
            acceptance_seconds, limits.longest_offer
        )

    def list_ttl_seconds(self, now: float) -> float:
        """Return how long callers may keep a list that they receive now.

        The time at which that list expires is recorded, as a drain lasts until
        then if the grace period allows.
        """
        ttl_seconds = self.list_policy.ttl_seconds
        expires_at = now + drain_decisions.max_kept_seconds(ttl_seconds)
        self._lists_expire_at = max(self._lists_expire_at, expires_at)
        return ttl_seconds

    def start(self, now: float) -> drain_decisions.DrainPlan:
        """Start to drain and return the schedule."""
        self.plan = self._plan(now)
        return self.plan

    def follow_shorter_grace(self) -> bool:
        """Plan anew if the grace period is shorter than when the drain started.

        A longer one is not followed, as the process may be killed by the
        earlier one.

        :returns: whether the schedule has changed.
        """
        current = self.plan
        if current is None:
            return False
        newer = self._plan(current.started_at)
        if newer.last_answer_at >= current.last_answer_at:
            return False
        self.plan = newer
        return True

    def is_listed(self, now: float) -> bool:
        """Tell whether callers are sent here while no entry is ready."""
        seconds_draining = self.seconds_draining(now)
        return (
            seconds_draining is None
            or seconds_draining <= self.list_policy.listed_seconds
        )

    def seconds_draining(self, now: float) -> float | None:
        """Return the seconds since the drain started; ``None`` before that."""
        return None if self.plan is None else now - self.plan.started_at

    def accepts(self, deadline: float) -> bool:
        """Tell whether to accept a request with this deadline, and count it."""
        if self.plan is None:
            return True
        if self.plan.accepts(deadline):
            self.accepted_count += 1
            return True
        self.refused_count += 1
        return False

    def log_listed(self, now: float) -> None:
        """Log that callers are sent to this entry while it drains."""
        seconds_draining = self.seconds_draining(now)
        if (
            seconds_draining is None
            or now - self._logged_at < _LOG_INTERVAL_SECONDS
        ):
            return
        self._logged_at = now
        logger.bind(
            node=self._local_node.name, since=round(seconds_draining, 3)
        ).info(
            'offered while leaving',
        )

    def _plan(self, started_at: float) -> drain_decisions.DrainPlan:
        return drain_decisions.plan_drain(
            started_at,
            self._local_node.duties.grace,
            self.list_policy,
            self._lists_expire_at,
        )
