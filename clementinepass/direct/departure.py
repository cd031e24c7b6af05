"""How far an entry is on its way out, for all that serve callers."""

from __future__ import annotations

import math
import typing

from loguru import logger

from clementinepass.decisions import departure as decisions

if typing.TYPE_CHECKING:
    from clementinepass.direct import cluster_state, node

#: Seconds between lines that the directory names an entry that leaves.
_OFFERED_EACH = 1.0


class Departure:
    """Whether an entry is to end, and what follows from that.

    :param own: who the entry is.
    :param known: the state of the cluster.
    """

    __slots__ = (
        '_cluster',
        '_offered_at',
        '_own',
        '_told_until',
        'plan',
        'refused',
        'taken',
    )

    def __init__(
        self, own: node.Node, known: cluster_state.ClusterState
    ) -> None:
        self._own = own
        self._cluster = known
        self._offered_at = -math.inf
        #: Until when a list is kept that this entry told.
        self._told_until = -math.inf
        #: The times of leaving; ``None`` while the entry is to stay.
        self.plan: decisions.DrainPlan | None = None
        #: Requests taken, and turned away, since it was told to end.
        self.taken = 0
        self.refused = 0

    @property
    def lists(self) -> decisions.ListPolicy:
        """Return how entries are named to callers.

        Before a configuration is known any request may be the longest.
        """
        current = self._cluster.routing
        timeouts = () if current is None else current.timeouts
        duties = self._own.duties
        taking = decisions.accepting_seconds(duties.grace, timeouts)
        return decisions.list_policy(taking, duties.longest_offer)

    def told(self, now: float) -> float:
        """Return for how long a list is to be kept that is told now."""
        seconds = self.lists.ttl_seconds
        until = now + decisions.max_kept_seconds(seconds)
        self._told_until = max(self._told_until, until)
        return seconds

    def begin(self, now: float) -> decisions.DrainPlan:
        """Begin to leave; return the times of it."""
        self.plan = decisions.plan_drain(
            now,
            self._own.duties.grace,
            self.lists,
            self._told_until,
        )
        return self.plan

    def is_named(self, now: float) -> bool:
        """Tell whether callers are sent here where no entry is ready."""
        since = self.since(now)
        return since is None or since <= self.lists.listed_seconds

    def since(self, now: float) -> float | None:
        """Return the seconds since it was told; ``None`` before that."""
        return None if self.plan is None else now - self.plan.started_at

    def takes(self, final_at: float) -> bool:
        """Tell whether a request is taken whose final answer is due then."""
        if self.plan is None:
            return True
        if self.plan.accepts(final_at):
            self.taken += 1
            return True
        self.refused += 1
        return False

    def offered(self, now: float) -> None:
        """Note that callers are told to use this entry."""
        since = self.since(now)
        if since is None or now - self._offered_at < _OFFERED_EACH:
            return
        self._offered_at = now
        logger.bind(node=self._own.name, since=round(since, 3)).info(
            'offered while leaving',
        )
