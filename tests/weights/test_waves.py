"""Tests of waves."""

from __future__ import annotations

import testtools
from testtools import matchers

from clementinepass.weights import protocols, waves
from tests.weights import fakes

_WANTED = protocols.Wanted('v2', 'digest', 7)
_NARROW = protocols.Wanted('v2', 'digest', 7, wave=1)
_SERVING = protocols.Standing(protocols.Phase.SERVING, 7)
_LOADING = protocols.Standing(protocols.Phase.LOADING, 7)
_STUCK = protocols.Standing(protocols.Phase.STUCK, 7)
_WAITING = protocols.Standing(protocols.Phase.WAITING, 7)
_OLD = protocols.Standing(protocols.Phase.SERVING, 6)
_NEWER = protocols.Standing(protocols.Phase.FETCHING, 8)


class WavesTest(testtools.TestCase):
    """A bounded number of replicas leaves service at once."""

    def test_chains(self) -> None:
        """Each member but a wave's width waits for one other."""
        members = [fakes.member(f'n{at}') for at in range(20)]
        befores = [
            waves.before_own(one, members, _WANTED)[0] for one in members
        ]
        waited_for = [one.id for one in befores if one is not None]
        self.assertEqual(5, befores.count(None))
        self.assertEqual(len(waited_for), len(set(waited_for)))

    def test_at_least_one(self) -> None:
        """However small the wave, one replica may load."""
        members = [fakes.member(f'n{at}') for at in range(3)]
        befores = [
            waves.before_own(one, members, _NARROW)[0] for one in members
        ]
        self.assertEqual(1, befores.count(None))

    def test_passing(self) -> None:
        """A finished, newer or stuck replica is waited for no longer."""
        for standing, at_once, later in (
            (_SERVING, True, True),
            (_NEWER, True, True),
            (_LOADING, False, True),
            (_STUCK, False, True),
            (_OLD, False, True),
            (None, False, True),
            (_WAITING, False, False),
        ):
            watch = waves.Watch(patience=10)
            first = watch.passed('b', standing, _WANTED, 3, now=100)
            second = watch.passed('b', standing, _WANTED, 3, now=110)
            self.assertEqual((at_once, later), (first, second), standing)

    def test_progress_restarts_the_patience(self) -> None:
        """A replica that goes on is not stuck."""
        watch = waves.Watch(patience=10)
        watch.passed('b', _OLD, _WANTED, 1, now=0)
        watch.passed('b', _LOADING, _WANTED, 1, now=9)
        self.assertFalse(watch.passed('b', _LOADING, _WANTED, 1, now=18))
        self.assertTrue(watch.passed('b', _LOADING, _WANTED, 1, now=19))

    def test_capacity_and_a_stuck_instance(self) -> None:
        """Promised capacity serves throughout, and one stuck goes round.

        With waves of a quarter, callers must find three quarters of the
        replicas open at any time. One engine does not load at all; its wave
        must not keep the other replicas on the old version.
        """
        closed: list[int] = []

        async def story(fleet: fakes.Fleet) -> None:
            for at in range(8):
                fleet.add(f'n{at}')
            fleet.wave = 25
            fleet.want('v1', fleet.publish('v1', seed=1))
            await fleet.serving('v1')
            stuck, *others = fleet.nodes
            stuck.engine.lie = 1_000_000

            def count() -> None:
                gates = [node.gate.version for node in others]
                closed.append(gates.count(''))

            for node in others:
                node.engine.during = count
            fleet.want('v2', fleet.publish('v2', seed=2))
            await fleet.serving('v2', *others)
            self.assertEqual('', stuck.gate.version)

        fleet = fakes.run(story)
        self.assertEqual([], fleet.wrong())
        self.assertThat(max(closed), matchers.LessThan(3))
