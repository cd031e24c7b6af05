"""Which chunk to take next, and from whom; pure, without sockets or clocks.

Each chunk has a home failure domain, and in each domain a first member, both
by rendezvous hashing. The home's first member reads the chunk from the origin
at a time that the chunk's place in the manifest gives. The first members of
the other domains take it across the boundary. All others take it inside their
domain, the rarest chunk first, from any neighbour that has it. Whoever is not
first waits its turn before doing another's part, so a dead or slow first
member costs a wait, and differing views cost a few double reads.
"""

from __future__ import annotations

import dataclasses
import itertools
import random
import typing

from clementinepass.weights import manifest as manifests
from clementinepass.weights import protocols, ranking
from clementinepass.weights import settings as weight_settings

#: The source of a fetch that is the origin and no member.
ORIGIN = ''
#: How many candidates are compared for the rarest.
_SAMPLE = 32
#: How many candidates are looked at.
_WINDOW = 256
#: Nobody waits for more turns than this before it helps itself.
_LAST_TURN = 8
#: Turns that the members of a chunk's home domain have before the others.
_HOME_TURNS = 3


@dataclasses.dataclass(slots=True, frozen=True)
class Fetch:
    """One chunk to take from one source."""

    index: int
    #: A member's id, or ``ORIGIN``.
    source: str
    #: Whether it is done in another's place.
    fallback: bool = False


@dataclasses.dataclass(slots=True)
class _Neighbour:
    member: protocols.Member
    near: bool
    held: int = 0
    coming: int = 0
    under_way: int = 0
    #: Not asked before this time: it was busy, silent or sent rubbish.
    resume_at: float = 0


class Swarm:
    """Choose fetches for one version from what the neighbours hold."""

    def __init__(
        self,
        manifest: manifests.Manifest,
        own: protocols.Member,
        settings: weight_settings.WeightSettings,
        start: float,
        chance: random.Random,
    ) -> None:
        self._manifest = manifest
        self._own = own
        self._settings = settings
        self._chance = chance
        self._neighbours: dict[str, _Neighbour] = {}
        self._under_way = 0
        self._coming = 0
        self._outside_since: dict[int, float] = {}
        self._ranks: dict[int, int] = {}
        self._homes: dict[int, int] = {}
        self._domain: list[str] = []
        self._domains: list[str] = []
        #: One bit for each chunk that is still to be had.
        self.missing = (1 << manifest.count) - 1
        self._due = self._schedule(start)
        self._alive = 1

    @property
    def coming(self) -> int:
        """Chunks on their way from the origin or another domain."""
        return self._coming

    @property
    def alive(self) -> int:
        """How many members seem alive, oneself included."""
        return self._alive

    def set_members(
        self,
        members: typing.Sequence[protocols.Member],
    ) -> list[protocols.Member]:
        """Take a new view of the members and return whom to watch."""
        alive = [one for one in members if one.alive and one.id != self._own.id]
        self._alive = len(alive) + 1
        domain = [
            one.id
            for one in alive
            if one.failure_domain == self._own.failure_domain
        ]
        domains = sorted(
            {one.failure_domain for one in alive} | {self._own.failure_domain}
        )
        if domain != self._domain or domains != self._domains:
            self._domain = domain
            self._domains = domains
            self._ranks.clear()
            self._homes.clear()
        chosen = ranking.neighbours(
            self._own, alive, self._settings.near, self._settings.far
        )
        self._keep({one.id: one for one in chosen})
        return chosen

    def set_holdings(
        self,
        member_id: str,
        holdings: protocols.Holdings,
        now: float,
    ) -> None:
        """Take in what a neighbour says that it holds."""
        neighbour = self._neighbours.get(member_id)
        if neighbour is None:
            return
        neighbour.held = holdings.held
        neighbour.coming = holdings.coming
        if not neighbour.near:
            for index in bits(holdings.held & self.missing):
                self._outside_since.setdefault(index, now)

    def forget(self, member_id: str, until: float) -> None:
        """Ask a neighbour for nothing before ``until``.

        What it said is forgotten, so that nobody waits for a peer that is
        gone: this is how a silent or lying source stops to count.
        """
        neighbour = self._neighbours.get(member_id)
        if neighbour is not None:
            neighbour.held = 0
            neighbour.coming = 0
            neighbour.resume_at = max(neighbour.resume_at, until)

    def rest(self, member_id: str, until: float) -> None:
        """Ask a busy neighbour again at ``until``; what it holds counts."""
        neighbour = self._neighbours.get(member_id)
        if neighbour is not None:
            neighbour.resume_at = max(neighbour.resume_at, until)

    def begin(self, fetch: Fetch) -> None:
        """Note a fetch under way."""
        bit = 1 << fetch.index
        self._under_way |= bit
        neighbour = self._neighbours.get(fetch.source)
        if neighbour is None or not neighbour.near:
            self._coming |= bit
        if neighbour is not None:
            neighbour.under_way += 1

    def end(self, fetch: Fetch, *, held: bool) -> None:
        """Note a fetch's end, whatever its outcome."""
        bit = 1 << fetch.index
        self._under_way &= ~bit
        self._coming &= ~bit
        if held:
            self.missing &= ~bit
        neighbour = self._neighbours.get(fetch.source)
        if neighbour is not None:
            neighbour.under_way = max(0, neighbour.under_way - 1)

    def from_peer(self, now: float) -> Fetch | None:
        """Choose the next chunk to take from a neighbour."""
        ready = [
            one
            for one in self._neighbours.values()
            if one.resume_at <= now
            and one.under_way < self._settings.downloads_each
        ]
        near = _union(one.held for one in ready if one.near)
        far = _union(one.held for one in ready if not one.near)
        near_all = _union(
            one.held | one.coming
            for one in self._neighbours.values()
            if one.near
        )
        wanted = self.missing & ~self._under_way
        across = far & wanted & ~near_all
        candidates = near & wanted
        for crossing in bits(across):
            if self._may_cross(crossing, now):
                candidates |= 1 << crossing
        rarest = self._rarest(candidates)
        if rarest is None:
            return None
        return Fetch(rarest, self._holder(rarest, ready))

    def from_origin(self, now: float) -> Fetch | None:
        """Choose the next chunk to read from the origin."""
        known = _union(
            one.held | one.coming for one in self._neighbours.values()
        )
        for index in bits(self.missing & ~self._under_way & ~known):
            if self._due[index] > now:
                break
            turn = self._origin_turn(index)
            if self._due[index] + turn * self._settings.patience <= now:
                return Fetch(index, ORIGIN, fallback=turn > 0)
        return None

    def _schedule(self, start: float) -> list[float]:
        # All agents start within seconds of each other. If each read its
        # chunks at once, hundreds of reads would share the origin's link and
        # the first chunk would be complete about when the last one is. At a
        # pace, the swarm has whole chunks to pass on from the start.
        due = []
        for chunk in self._manifest.chunks:
            due.append(start)
            if self._settings.origin_rate:
                start += chunk.size / self._settings.origin_rate
        return due

    def _keep(self, chosen: dict[str, protocols.Member]) -> None:
        for gone in self._neighbours.keys() - chosen.keys():
            self._neighbours.pop(gone)
        for name, member in chosen.items():
            known = self._neighbours.get(name)
            if known is None or known.member != member:
                near = member.failure_domain == self._own.failure_domain
                self._neighbours[name] = _Neighbour(member, near)

    def _rank(self, index: int) -> int:
        found = self._ranks.get(index)
        if found is None:
            digest = self._manifest.chunks[index].digest
            found = ranking.rank(digest, self._own.id, self._domain)
            self._ranks[index] = found
        return found

    def _home(self, index: int) -> int:
        found = self._homes.get(index)
        if found is None:
            digest = self._manifest.chunks[index].digest
            found = ranking.rank(
                digest, self._own.failure_domain, self._domains
            )
            self._homes[index] = found
        return found

    def _origin_turn(self, index: int) -> int:
        home = self._home(index)
        return min(home * _HOME_TURNS + self._rank(index), _LAST_TURN)

    def _may_cross(self, index: int, now: float) -> bool:
        since = self._outside_since.setdefault(index, now)
        turn = min(self._rank(index), _LAST_TURN)
        return since + turn * self._settings.patience <= now

    def _rarest(self, candidates: int) -> int | None:
        if not candidates:
            return None
        # From the lower half, at random: members then hold different chunks
        # to exchange, and yet the check of the whole, which must go from the
        # beginning, follows closely towards the end.
        lowest = list(itertools.islice(bits(candidates), _WINDOW))
        half = lowest[: max(_SAMPLE, len(lowest) // 2)]
        sample = self._chance.sample(half, min(_SAMPLE, len(half)))
        return min(sample, key=self._copies)

    def _copies(self, index: int) -> int:
        return sum(one.held >> index & 1 for one in self._neighbours.values())

    def _holder(self, index: int, ready: list[_Neighbour]) -> str:
        holders = [one for one in ready if one.held >> index & 1]
        self._chance.shuffle(holders)
        best = min(holders, key=lambda one: (not one.near, one.under_way))
        return best.member.id


def bits(mask: int) -> typing.Iterator[int]:
    """Yield the places of the bits set in ``mask``, lowest first."""
    while mask:
        lowest = mask & -mask
        yield lowest.bit_length() - 1
        mask ^= lowest


def _union(masks: typing.Iterable[int]) -> int:
    union = 0
    for mask in masks:
        union |= mask
    return union
