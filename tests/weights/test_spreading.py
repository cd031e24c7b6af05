"""Tests of the choice of chunk and source."""

from __future__ import annotations

import random

import msgspec
import testtools

from clementinepass.weights import manifest as manifests
from clementinepass.weights import protocols, spreading
from tests.weights import fakes

_SETTINGS = msgspec.structs.replace(
    fakes.SETTINGS, patience=10, retry=1, distrust=60
)
_MANIFEST = manifests.Manifest.from_bytes('v1', fakes.weights(1), fakes.CHUNK)
_ALL = (1 << _MANIFEST.count) - 1


def _swarm(
    name: str, *members: protocols.Member, origin_rate: float = 0
) -> spreading.Swarm:
    """Return the swarm of the member called ``name``."""
    own = next(one for one in members if one.id == name)
    settings = msgspec.structs.replace(_SETTINGS, origin_rate=origin_rate)
    swarm = spreading.Swarm(_MANIFEST, own, settings, 0, random.Random(1))
    swarm.set_members(members, 0)
    return swarm


def _origin_reads(swarm: spreading.Swarm, now: float) -> set[int]:
    """Return all that would be read from the origin now, and begin it."""
    found: set[int] = set()
    while fetch := swarm.from_origin(now):
        swarm.begin(fetch)
        found.add(fetch.index)
    return found


def _holds(swarm: spreading.Swarm, name: str, held: int, now: float) -> None:
    swarm.set_holdings(name, protocols.Holdings(held=held), now)


class SwarmTest(testtools.TestCase):
    """Every part has one that does it first, and others after a wait."""

    def setUp(self) -> None:
        super().setUp()
        self._members = [
            *(fakes.member(f'a{at}', 'a') for at in range(3)),
            *(fakes.member(f'b{at}', 'b') for at in range(3)),
        ]

    def test_each_chunk_has_one_first_reader(self) -> None:
        """At first all members together read each chunk once."""
        reads = [
            _origin_reads(_swarm(one.id, *self._members), 0)
            for one in self._members
        ]
        self.assertEqual(_MANIFEST.count, sum(map(len, reads)))
        self.assertEqual(set(range(_MANIFEST.count)), set.union(*reads))

    def test_first_reader_that_does_nothing(self) -> None:
        """A first reader that is gone, though listed, is stood in for.

        The list of instances still shows an agent that died. The chunks that
        it should read first never appear anywhere, and the rollout would
        hang; after their turn's wait the others read them.
        """
        swarm = _swarm('a0', *self._members)
        first = _origin_reads(swarm, 0)
        self.assertNotEqual(_ALL, sum(1 << index for index in first))
        self.assertEqual(set(), _origin_reads(swarm, 9))
        for now in range(10, 90, 10):
            first |= _origin_reads(swarm, now)
        self.assertEqual(set(range(_MANIFEST.count)), first)

    def test_promises(self) -> None:
        """A promised chunk is waited for, though not for ever.

        A neighbour says that a chunk is on its way to it. If it then loses
        its way to the origin and goes on saying so, or falls silent, the
        chunk must be fetched in its place.
        """
        everything = protocols.Holdings(coming=_ALL)
        for ends in ('never kept', 'silent'):
            swarm = _swarm('a0', *self._members)
            swarm.set_holdings('a1', everything, 0)
            self.assertEqual(set(), _origin_reads(swarm, 0))
            self.assertEqual(set(), _origin_reads(swarm, 25))
            if ends == 'silent':
                swarm.forget('a1')
                reads = _origin_reads(swarm, 26)
            else:
                reads = _origin_reads(swarm, 31)
            self.assertNotEqual(set(), reads)

    def test_origin_reads_are_paced(self) -> None:
        """Chunks are read in order at the origin's rate, not all at once."""
        alone = _swarm('a0', self._members[0], origin_rate=2 * fakes.CHUNK)
        self.assertEqual({0}, _origin_reads(alone, 0))
        self.assertEqual({1, 2}, _origin_reads(alone, 1))

    def test_boundaries_are_crossed_once(self) -> None:
        """Only a chunk's first member of a domain takes it across."""
        swarms = [_swarm(one.id, *self._members) for one in self._members[:3]]
        crossed: list[int] = []
        for swarm in swarms:
            _holds(swarm, 'b0', _ALL, 0)
            while fetch := swarm.from_peer(0):
                swarm.begin(fetch)
                crossed.append(fetch.index)
                swarm.end(fetch, held=True)
        self.assertEqual(sorted(crossed), sorted(set(crossed)))
        self.assertEqual(_MANIFEST.count, len(crossed))
        late = swarms[0]
        self.assertIsNone(late.from_peer(9))
        self.assertIsNotNone(late.from_peer(10.2))

    def test_rarest_first(self) -> None:
        """Of what can be had, the chunk with the fewest holders goes first."""
        swarm = _swarm('a0', *self._members)
        _holds(swarm, 'a1', 0b1111, 0)
        _holds(swarm, 'a2', 0b1101, 0)
        fetch = swarm.from_peer(0)
        self.assertEqual(spreading.Fetch(1, 'a1'), fetch)

    def test_one_source_is_not_crowded(self) -> None:
        """A sole holder is asked for a few chunks at a time.

        When a version appears, all turn to its only holder. More requests
        than its link carries would only stall each other.
        """
        swarm = _swarm('a0', *self._members)
        _holds(swarm, 'a1', _ALL, 0)
        begun = 0
        while fetch := swarm.from_peer(0):
            swarm.begin(fetch)
            begun += 1
        others = len(self._members) - 1
        self.assertEqual(_SETTINGS.downloads // others, begun)

    def test_distrust_doubles(self) -> None:
        """Faults in a row are answered with longer and longer waits."""
        swarm = _swarm('a0', *self._members)
        _holds(swarm, 'a1', _ALL, 0)
        now = 0.0
        for wait in (1, 2, 4, 8, 16, 32, 60, 60):
            swarm.distrust('a1', now, _SETTINGS.retry)
            swarm.distrust('a1', now, _SETTINGS.retry)
            self.assertIsNone(swarm.from_peer(now + wait - 0.1))
            now += wait
            self.assertIsNotNone(swarm.from_peer(now))

    def test_differing_views_cost_double_reads_only(self) -> None:
        """Members that know none of the others read everything."""
        for one in self._members:
            alone = _swarm(one.id, one)
            self.assertEqual(_MANIFEST.count, len(_origin_reads(alone, 0)))
