"""How far an entry is on its way out, and what it did since it was told."""

from __future__ import annotations

import math
import typing

from loguru import logger

if typing.TYPE_CHECKING:
    from clementinepass.direct import node

#: Seconds between lines that the directory names an entry that leaves.
_OFFERED_EACH = 1.0


class Departure:
    """The state of leaving, for all that serve callers.

    :param own: who the entry is.
    """

    __slots__ = ('_offered_at', '_own', 'begun')

    def __init__(self, own: node.Node) -> None:
        self._own = own
        self._offered_at = -math.inf
        #: When the entry was told to end; ``None`` while it is to stay.
        self.begun: float | None = None

    def since(self, now: float) -> float | None:
        """Return the seconds since it was told; ``None`` before that."""
        return None if self.begun is None else now - self.begun

    def offered(self, now: float) -> None:
        """Note that callers are told to use this entry."""
        since = self.since(now)
        if since is None or now - self._offered_at < _OFFERED_EACH:
            return
        self._offered_at = now
        logger.bind(node=self._own.name, since=round(since, 3)).info(
            'offered while leaving',
        )
