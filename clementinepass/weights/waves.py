"""Waves: how many replicas leave service at once, without a coordinator.

All rank the members of a model alike. A replica may load when the one that
is a wave's width before it has finished, so that about a wave's width of
replicas is loading at any time, and each asks one other only.
"""

from __future__ import annotations

import asyncio
import typing

from clementinepass import errors
from clementinepass.weights import asking, protocols, ranking, transfer

_ALL = 100


class Wave:
    """Wait for the replica before one's own."""

    def __init__(self, around: transfer.Surroundings) -> None:
        self._around = around

    async def wait(self, wanted: protocols.Wanted) -> None:
        """Return when this replica may leave service to load."""
        watch = Watch(self._around.settings.wave_patience)
        while True:
            before, ahead = before_own(
                self._around.own,
                self._around.members(),
                wanted,
            )
            if before is None:
                return
            standing = await self._standing(before)
            now = self._around.clock.now()
            if watch.passed(before.id, standing, wanted, ahead, now):
                return
            await asyncio.sleep(self._around.settings.poll)

    async def _standing(
        self,
        member: protocols.Member,
    ) -> protocols.Standing | None:
        try:
            return await asking.ask(
                self._around.peers,
                member,
                self._around.settings.stall_timeout,
                self._around.peers.standing(member),
            )
        except errors.PeerUnavailableError:
            return None


class Watch:
    """Decide whether the replica before has finished or is stuck; pure."""

    def __init__(self, patience: float) -> None:
        self._patience = patience
        self._seen: tuple[str, protocols.Standing | None] | None = None
        self._since: float = 0

    def passed(
        self,
        member_id: str,
        standing: protocols.Standing | None,
        wanted: protocols.Wanted,
        ahead: int,
        now: float,
    ) -> bool:
        """Tell whether to wait no longer.

        :param ahead: how many waves go before.
        """
        if self._seen != (member_id, standing):
            self._seen = (member_id, standing)
            self._since = now
        if standing is not None:
            if standing.revision > wanted.revision:
                return True
            served = standing.phase is protocols.Phase.SERVING
            if served and standing.revision == wanted.revision:
                return True
        # A stuck replica must not stop the wave. One that waits itself is
        # not stuck; yet two with different views may wait for each other,
        # hence a limit there too: the waves before it at most.
        limit = self._patience
        if standing and standing.phase is protocols.Phase.WAITING:
            limit *= max(1, ahead)
        return now - self._since >= limit


def before_own(
    own: protocols.Member,
    members: typing.Iterable[protocols.Member],
    wanted: protocols.Wanted,
) -> tuple[protocols.Member | None, int]:
    """Return the member to wait for, and how many waves go before."""
    by_id = {one.id: one for one in members if one.alive}
    by_id[own.id] = own
    order = ranking.ranked(wanted.manifest, by_id)
    width = max(1, len(order) * wanted.wave // _ALL)
    place = order.index(own.id)
    if place < width:
        return None, 0
    return by_id[order[place - width]], place // width
