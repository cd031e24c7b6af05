"""Small versions of other ways of spreading, for a comparison."""

from __future__ import annotations

import typing

from clementinepass.weights import protocols, ranking, spreading


class Chain(spreading.Swarm):
    """Everyone takes every chunk from the member before it."""

    _first = False

    def set_members(
        self,
        members: typing.Sequence[protocols.Member],
        now: float,
    ) -> list[protocols.Member]:
        """Watch the member before one's own."""
        by_id = {one.id: one for one in members if one.alive}
        by_id[self._own.id] = self._own
        key = self._manifest.digest
        order = sorted(
            ranking.ranked(key, by_id),
            key=lambda name: by_id[name].failure_domain,
        )
        self._suspect(now)
        order = [name for name in order if name not in self._suspects]
        place = order.index(self._own.id)
        self._first = place == 0
        self._alive = len(by_id)
        chosen = [] if self._first else [by_id[order[place - 1]]]
        kept = {one.id: one for one in chosen}
        for name, one in self._neighbours.items():
            if name in self._suspects:
                kept[name] = one.member
        self._keep(kept)
        return chosen

    def coming(self, now: float) -> int:
        """Tell nothing."""
        return 0

    def from_peer(self, now: float) -> spreading.Fetch | None:
        """Take the lowest chunk."""
        for name, one in self._neighbours.items():
            if one.resume_at > now or one.distrusted_until > now:
                continue
            for index in spreading.bits(
                one.held & self.missing & ~self._under_way
            ):
                return spreading.Fetch(index, name)
        return None

    def from_origin(self, now: float) -> spreading.Fetch | None:
        """Read only as the first of the chain."""
        if not self._first:
            return None
        for index in spreading.bits(self.missing & ~self._under_way):
            if self._due[index] <= now:
                return spreading.Fetch(index, spreading.ORIGIN)
        return None


class Trees(spreading.Swarm):
    """Each chunk has a binary tree of its own by rendezvous hashing."""

    def set_members(
        self,
        members: typing.Sequence[protocols.Member],
        now: float,
    ) -> list[protocols.Member]:
        """Watch all members."""
        chosen = [one for one in members if one.alive]
        chosen = [one for one in chosen if one.id != self._own.id]
        self._alive = len(chosen) + 1
        self._keep({one.id: one for one in chosen})
        self._suspect(now)
        names = {one.id for one in chosen} | {self._own.id}
        names -= self._suspects
        if names == getattr(self, '_names', None):
            return chosen
        self._names = names
        self._masks: dict[str, int] = {}
        for index, chunk in enumerate(self._manifest.chunks):
            order = ranking.ranked(chunk.digest, names)
            place = order.index(self._own.id)
            parent = order[(place - 1) // 2] if place else spreading.ORIGIN
            bit = 1 << index
            self._masks[parent] = self._masks.get(parent, 0) | bit
        return chosen

    def coming(self, now: float) -> int:
        """Tell nothing."""
        return 0

    def from_peer(self, now: float) -> spreading.Fetch | None:
        """Take the lowest chunk whose parent has it."""
        best: tuple[int, int, str] | None = None
        for name, one in self._neighbours.items():
            if one.resume_at > now or one.under_way >= self._limit(one):
                continue
            held = one.held & self._masks.get(name, 0)
            for index in spreading.bits(held & self.missing & ~self._under_way):
                best = min(best or (1 << 30, 0, ''), (index, 0, name))
                break
        return spreading.Fetch(best[0], best[2]) if best else None

    def from_origin(self, now: float) -> spreading.Fetch | None:
        """Read the chunks whose root this member is."""
        mine = self._masks.get(spreading.ORIGIN, 0)
        for index in spreading.bits(mine & self.missing & ~self._under_way):
            if self._due[index] <= now:
                return spreading.Fetch(index, spreading.ORIGIN)
        return None


WAYS: dict[str, type[spreading.Swarm]] = {
    'chain': Chain,
    'trees': Trees,
    'swarm': spreading.Swarm,
}
