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
#: Promised chunks are waited for so many times the patience.
_PROMISE = 3
#: Seconds between two looks for what is overdue.
_LOOK_INTERVAL = 0.1
#: Beyond this many faults in a row the distrust grows no longer.
_MOST_FAULTS = 16
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
    #: Not asked before this time, being busy or distrusted.
    resume_at: float = 0
    #: What it says it holds counts for nothing before this time.
    distrusted_until: float = 0
    #: Faults since the last chunk that came from it.
    faults: int = 0


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
        self._coming_since: dict[int, float] = {}
        self._outside_since: dict[int, float] = {}
        self._lost_since: dict[int, float] = {}
        self._lost = 0
        self._first: int | None = None
        self._overdue = 0
        self._broken = 0
        self._own_due = 0
        self._looked_at = float('-inf')
        self._ranks: dict[int, int] = {}
        self._homes: dict[int, int] = {}
        self._domain: list[str] = []
        self._suspects: frozenset[str] = frozenset()
        self._domains: list[str] = []
        #: One bit for each chunk that is still to be had.
        self.missing = (1 << manifest.count) - 1
        self._due = self._schedule(start)
        self._alive = 1

    def coming(self, now: float) -> int:
        """Chunks that are on their way from the origin or another domain.

        Those that this member is the first to read and that are due count,
        though their turn has not come: others need not read them too.
        """
        self._look_at_clock(now)
        return (self._coming | self._own_due) & self.missing

    @property
    def alive(self) -> int:
        """How many members seem alive, oneself included."""
        return self._alive

    def set_members(
        self,
        members: typing.Sequence[protocols.Member],
        now: float,
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
            self._first = None
        chosen = ranking.neighbours(
            self._own, alive, self._settings.near, self._settings.far
        )
        self._keep({one.id: one for one in chosen})
        self._suspect(now)
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
        for promised in bits(holdings.coming & self.missing):
            self._coming_since.setdefault(promised, now)
        if not neighbour.near:
            for index in bits(holdings.held & self.missing):
                self._outside_since.setdefault(index, now)

    def forget(self, member_id: str) -> None:
        """Forget what a neighbour said: nobody waits for one that is gone."""
        neighbour = self._neighbours.get(member_id)
        if neighbour is not None:
            neighbour.held = 0
            neighbour.coming = 0

    def distrust(self, member_id: str, now: float, seconds: float) -> None:
        """Do without a neighbour that stalled or sent a corrupt chunk.

        One bad chunk may happen to anyone, and leaving many senders out for
        long would take the swarm apart; a sender that is always bad must not
        be asked again and again. Hence the time doubles with each fault.
        """
        neighbour = self._neighbours.get(member_id)
        if neighbour is None or now < neighbour.distrusted_until:
            # Calls that fail together are one fault.
            return
        longest = self._settings.distrust
        until = now + min(longest, seconds * 2**neighbour.faults)
        neighbour.faults = min(neighbour.faults + 1, _MOST_FAULTS)
        neighbour.distrusted_until = until
        neighbour.resume_at = max(neighbour.resume_at, until)
        self._suspect(now)

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
            if held:
                neighbour.faults = 0

    def from_peer(self, now: float) -> Fetch | None:
        """Choose the next chunk to take from a neighbour."""
        ready = [
            one
            for one in self._neighbours.values()
            if one.resume_at <= now and one.under_way < self._limit(one)
        ]
        near = _union(one.held for one in ready if one.near)
        far = _union(one.held for one in ready if not one.near)
        near_all = self._known(now, near_only=True)
        wanted = self.missing & ~self._under_way
        across = far & wanted & ~near_all & self._allowed_across(now)
        rarest = self._rarest(near & wanted | across)
        if rarest is None:
            return None
        return Fetch(rarest, self._holder(rarest, ready))

    def from_origin(self, now: float) -> Fetch | None:
        """Choose the next chunk to read from the origin."""
        known = self._known(now, near_only=False)
        for found in bits(self._lost & known):
            self._lost_since.pop(found, None)
        self._lost &= ~known
        for index in bits(self.missing & ~self._under_way & ~known):
            if self._due[index] > now:
                break
            # Counted from when it was first missed here, not from when it
            # was due: when a holder of many chunks stalls, everybody would
            # otherwise read all of them at once.
            self._lost |= 1 << index
            since = self._lost_since.setdefault(index, now)
            turn = self._origin_turn(index)
            if since + turn * self._settings.patience <= now:
                return Fetch(index, ORIGIN, fallback=turn > 0)
        return None

    def _limit(self, neighbour: _Neighbour) -> int:
        # After a fault one chunk is enough to learn whether it is mended.
        if neighbour.faults:
            return 1
        share = self._settings.downloads // len(self._neighbours)
        return max(self._settings.downloads_each, share)

    def _known(self, now: float, *, near_only: bool) -> int:
        """Return the chunks that neighbours have or say to be coming."""
        trusted = [
            one
            for one in self._neighbours.values()
            if one.distrusted_until <= now and (one.near or not near_only)
        ]
        held = _union(one.held for one in trusted)
        coming = _union(one.coming for one in trusted) & self.missing & ~held
        # A promise is believed for a while: whoever gave it may have lost
        # its way to the origin, and still answer.
        self._look_at_clock(now)
        return held | coming & ~self._broken

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

    def _suspect(self, now: float) -> None:
        # Whoever is distrusted is passed over in the ranks, so that the next
        # one does its part without a wait.
        suspects = frozenset(
            name
            for name, one in self._neighbours.items()
            if one.distrusted_until > now
        )
        if suspects != self._suspects:
            self._suspects = suspects
            self._ranks.clear()
            self._first = None

    def _rank(self, index: int) -> int:
        found = self._ranks.get(index)
        if found is None:
            digest = self._manifest.chunks[index].digest
            trusted = set(self._domain) - self._suspects
            found = ranking.rank(digest, self._own.id, trusted)
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

    def _allowed_across(self, now: float) -> int:
        """Return the chunks that may be taken from another domain."""
        self._look_at_clock(now)
        return self._firsts() | self._overdue

    def _firsts(self) -> int:
        """Return the chunks of which this member is its domain's first."""
        if self._first is None:
            first = 0
            for index in bits(self.missing):
                if not self._rank(index):
                    first |= 1 << index
            self._first = first
        return self._first

    def _look_at_clock(self, now: float) -> None:
        # Looking through all chunks for what is overdue is too much for each
        # choice of a fetch, and patience is far longer than this interval.
        if now - self._looked_at < _LOOK_INTERVAL:
            return
        self._looked_at = now
        patience = self._settings.patience
        self._overdue = 0
        for crossing, since in self._outside_since.items():
            if since + self._turn_across(crossing) * patience <= now:
                self._overdue |= 1 << crossing
        self._broken = 0
        for promised, since in self._coming_since.items():
            if since + _PROMISE * patience < now:
                self._broken |= 1 << promised
        self._own_due = 0
        for index in bits(self.missing & self._firsts()):
            if self._due[index] > now:
                break
            if not self._home(index):
                self._own_due |= 1 << index

    def _turn_across(self, index: int) -> int:
        if not self.missing >> index & 1:
            return 0
        return min(self._rank(index), _LAST_TURN)

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
