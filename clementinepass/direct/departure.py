"""How far an entry is on its way out, for all that serve callers."""

from __future__ import annotations

import math
import typing

from loguru import logger

from clementinepass.decisions import departure as decisions

if typing.TYPE_CHECKING:
    from clementinepass.direct import beliefs, node

#: Seconds between lines that the directory names an entry that leaves.
_OFFERED_EACH = 1.0


class Departure:
    """Whether an entry is to end, and what follows from that.

    :param own: who the entry is.
    :param known: what it believes.
    """

    __slots__ = (
        '_beliefs',
        '_offered_at',
        '_own',
        'plan',
        'refused',
        'taken',
    )

    def __init__(self, own: node.Node, known: beliefs.Beliefs) -> None:
        self._own = own
        self._beliefs = known
        self._offered_at = -math.inf
        #: The times of leaving; ``None`` while the entry is to stay.
        self.plan: decisions.Plan | None = None
        #: Requests taken, and turned away, since it was told to end.
        self.taken = 0
        self.refused = 0

    @property
    def taking_seconds(self) -> float:
        """Return for how long an entry that leaves takes whatever comes."""
        current = self._beliefs.routing
        longest = 0 if current is None else current.longest_timeout
        return decisions.taking_seconds(self._own.duties.grace, longest)

    @property
    def list_seconds(self) -> float:
        """Return for how long callers are told to keep a list of entries."""
        most = self._own.duties.longest_offer
        return decisions.list_seconds(self.taking_seconds, most)

    def begin(self, now: float) -> decisions.Plan:
        """Begin to leave; return the times of it."""
        self.plan = decisions.plan(
            now,
            self._own.duties.grace,
            self.list_seconds,
        )
        return self.plan

    def since(self, now: float) -> float | None:
        """Return the seconds since it was told; ``None`` before that."""
        return None if self.plan is None else now - self.plan.begun

    def takes(self, final_at: float) -> bool:
        """Tell whether a request is taken whose final answer is due then."""
        if self.plan is None:
            return True
        if self.plan.takes(final_at):
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
