"""Tests of the search for requests that kill endpoints."""

from __future__ import annotations

import random

import testtools
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from clementinepass.requests import quarantine

FREE = quarantine.Standing.FREE
SUSPECT = quarantine.Standing.SUSPECT
QUARANTINED = quarantine.Standing.QUARANTINED


def _died(
    judge: quarantine.Quarantine,
    crash: str,
    fingerprints: str,
    *,
    started: float,
    now: float,
) -> None:
    judge.died(
        crash,
        [quarantine.Suspect(each, started) for each in fingerprints],
        now,
    )


class QuarantineTest(testtools.TestCase):
    """Two crashes convict the killer; the innocent go on."""

    def test_killer_among_innocents(self) -> None:
        """The killer K comes back; those beside it are others.

        K takes endpoint 1 down with a and b beside it, is sent again and
        takes endpoint 2 down with c beside it.  K alone is refused, with
        the time to come back, and is free again after the lifetime; one
        more crash then convicts it at once.
        """
        judge = quarantine.Quarantine(lifetime=600)
        _died(judge, 'one', 'Kab', started=0, now=1)
        self.assertEqual(SUSPECT, judge.judge('a', 1).standing)
        _died(judge, 'two', 'Kc', started=2, now=3)
        self.assertEqual(
            quarantine.Judgement(QUARANTINED, 590),
            judge.judge('K', 13),
        )
        for innocent in 'abcx':
            self.assertNotEqual(
                QUARANTINED,
                judge.judge(innocent, 13).standing,
            )
        self.assertEqual(SUSPECT, judge.judge('K', 604).standing)
        _died(judge, 'three', 'Kd', started=700, now=701)
        self.assertEqual(QUARANTINED, judge.judge('K', 702).standing)

    def test_innocents_retried_with_the_killer(self) -> None:
        """Entries that don't know of each other's suspects place badly.

        K and a are in flight at endpoint 1, and both are sent again to
        endpoint 2, which dies too.  Nobody is convicted.  Then a is
        answered elsewhere: it must have been K.
        """
        judge = quarantine.Quarantine()
        _died(judge, 'one', 'Ka', started=0, now=1)
        _died(judge, 'two', 'Ka', started=2, now=3)
        self.assertEqual(SUSPECT, judge.judge('a', 4).standing)
        self.assertEqual(SUSPECT, judge.judge('K', 4).standing)
        judge.answered('a', started=4, now=5)
        self.assertEqual(FREE, judge.judge('a', 6).standing)
        self.assertEqual(QUARANTINED, judge.judge('K', 6).standing)

    def test_popular_request_in_a_mass_outage(self) -> None:
        """Half the endpoints are lost at once.

        The same status check was in flight at several of them.  Each was
        dispatched before any death, so none is a repeat.
        """
        judge = quarantine.Quarantine()
        for number in range(6):
            _died(judge, f'crash-{number}', 's', started=9, now=10 + number)
        self.assertEqual(SUSPECT, judge.judge('s', 20).standing)

    def test_answered_before_the_crash_proves_nothing_after(self) -> None:
        """An answer clears only what was dispatched after the crash."""
        judge = quarantine.Quarantine()
        _died(judge, 'one', 'K', started=0, now=10)
        judge.answered('K', started=5, now=11)
        self.assertEqual(SUSPECT, judge.judge('K', 12).standing)
        judge.answered('K', started=12, now=13)
        self.assertEqual(FREE, judge.judge('K', 14).standing)

    def test_same_crash_reported_by_two_entries(self) -> None:
        """Two entries had requests at one endpoint: it died once."""
        judge = quarantine.Quarantine()
        other = quarantine.Quarantine()
        _died(judge, 'one', 'Ka', started=0, now=1)
        _died(other, 'one', 'Kb', started=3, now=4)
        judge.merge(other.take_digest(), 4)
        self.assertEqual(SUSPECT, judge.judge('K', 5).standing)

    def test_quarantined_at_every_entry(self) -> None:
        """Each crash is seen by another entry; both know after merging.

        The digests pass through bytes, as they do through the log, and
        come back to their author.
        """
        first, second = quarantine.Quarantine(), quarantine.Quarantine()
        _died(first, 'one', 'Ka', started=0, now=1)
        _died(second, 'two', 'Kb', started=2, now=3)
        for digest in (first.take_digest(), second.take_digest()):
            decoded = quarantine.Digest.decode(digest.encode())
            for judge in (first, second):
                judge.merge(decoded, 4)
        for judge in (first, second):
            self.assertEqual({'K': 599.0}, judge.quarantined(4))
        self.assertFalse(first.take_digest())

    def test_unpublished_digest_is_kept(self) -> None:
        """The log is down: the evidence waits for its return."""
        judge = quarantine.Quarantine()
        _died(judge, 'one', 'K', started=0, now=1)
        digest = judge.take_digest()
        judge.put_back(digest)
        self.assertEqual(digest, judge.take_digest())

    def test_evidence_is_bounded(self) -> None:
        """The oldest crashes go, by age and by number."""
        judge = quarantine.Quarantine(memory=100, max_crashes=3)
        for number in range(5):
            _died(judge, str(number), f'{number}', started=0, now=number)
        self.assertEqual(FREE, judge.judge('1', 5).standing)
        self.assertEqual(SUSPECT, judge.judge('2', 5).standing)
        self.assertEqual(FREE, judge.judge('2', 103).standing)

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(strategies.integers(0, 10_000))
    def test_merging_in_any_order(self, seed: int) -> None:
        """Entries that got the same evidence judge alike."""
        chance = random.Random(seed)
        digests = []
        for number in range(8):
            author = quarantine.Quarantine()
            fingerprints = chance.sample('Kabcd', chance.randint(1, 4))
            _died(
                author,
                str(chance.randint(0, 4)),
                fingerprints,
                started=number,
                now=number + chance.random(),
            )
            if chance.random() < 0.4:
                author.answered(fingerprints[0], started=20, now=21)
            digests.append(author.take_digest())
        judgements = []
        for _ in range(3):
            judge = quarantine.Quarantine()
            for digest in [*digests, *digests]:
                judge.merge(digest, 30)
            judgements.append([judge.judge(each, 30) for each in 'Kabcd'])
            chance.shuffle(digests)
        self.assertEqual(judgements[0], judgements[1])
        self.assertEqual(judgements[0], judgements[2])


class MoreCrashesTest(testtools.TestCase):
    """A quarantine that needs three crashes in a row."""

    def make(self) -> quarantine.Quarantine:
        """Return a quarantine with exact times."""
        return quarantine.Quarantine(
            lifetime=600, min_crashes=3, tolerance=0.02
        )

    def test_third_crash(self) -> None:
        """Two crashes in a row do not convict, three do."""
        judge = self.make()
        for number in range(2):
            _died(judge, str(number), 'Ka', started=number, now=number + 0.5)
        self.assertEqual(SUSPECT, judge.judge('K', 2).standing)
        self.assertEqual(2, judge.history('K', 2).repeated)
        _died(judge, '2', 'Kb', started=2, now=2.5)
        self.assertEqual(QUARANTINED, judge.judge('K', 3).standing)
        self.assertEqual(SUSPECT, judge.judge('a', 3).standing)

    def test_always_beside_another(self) -> None:
        """Of two that met three crashes together none is convicted."""
        judge = self.make()
        for number in range(3):
            _died(judge, str(number), 'Ka', started=number, now=number + 0.5)
        for fingerprint in 'Ka':
            self.assertEqual(SUSPECT, judge.judge(fingerprint, 3).standing)
        _died(judge, '3', 'K', started=3, now=3.5)
        self.assertEqual(QUARANTINED, judge.judge('K', 4).standing)
        self.assertEqual(SUSPECT, judge.judge('a', 4).standing)

    def test_crashes_at_once(self) -> None:
        """Crashes of one moment count as one, however many they are."""
        judge = self.make()
        for number in range(9):
            _died(judge, str(number), 's', started=1, now=1.5 + number / 100)
        self.assertEqual(1, judge.history('s', 2).repeated)

    def test_many_other_crashes(self) -> None:
        """A mass outage does not set free what is quarantined."""
        judge = quarantine.Quarantine(max_crashes=8)
        for number in range(2):
            _died(judge, str(number), 'K', started=number, now=number + 0.5)
        for number in range(2, 40):
            _died(judge, str(number), chr(200 + number), started=2, now=number)
        self.assertEqual(QUARANTINED, judge.judge('K', 40).standing)

    def test_unknown_part(self) -> None:
        """Known evidence is found unknown neither again nor once cleared."""
        judge, other = self.make(), self.make()
        _died(other, 'one', 'Ka', started=0, now=1)
        digest = other.take_digest()
        self.assertEqual(digest, judge.unknown_part(digest))
        judge.merge(digest, 1)
        self.assertFalse(judge.unknown_part(digest))
        judge.answered('a', started=2, now=3)
        clearances = judge.take_digest()
        self.assertFalse(judge.unknown_part(digest))
        self.assertTrue(other.unknown_part(clearances))

    def test_relative_times(self) -> None:
        """Evidence passes between clocks that differ."""
        judge, other = self.make(), self.make()
        for number in range(3):
            _died(other, str(number), 'K', started=number, now=number + 0.5)
        ages = other.take_digest().relative_to(10)
        judge.merge(ages.relative_to(5000), 5000)
        self.assertEqual(QUARANTINED, judge.judge('K', 5000).standing)
        self.assertAlmostEqual(
            other.judge('K', 10).retry_after,
            judge.judge('K', 5000).retry_after,
        )


class PlacingTest(testtools.TestCase):
    """Suspects don't meet at one endpoint."""

    def test_fleet_with_one_killer(self) -> None:
        """A killer among many, retried by the rules: who is refused?

        50 seeded fleets of 8 endpoints.  Each request is retried once after
        a crash, suspects apart from each other, killers are sent again by
        their caller.  Outcome: the killer is quarantined after at most
        three endpoints, two in nearly all, and no innocent ever is.
        """
        deaths = []
        for seed in range(50):
            fleet = _Fleet(random.Random(seed))
            fleet.run()
            self.assertEqual(['K'], fleet.refused)
            deaths.append(fleet.crashes)
        self.assertLessEqual(max(deaths), 3)
        self.assertGreaterEqual(deaths.count(2), 45)

    def test_suspects_apart(self) -> None:
        """A suspect goes beside fresh requests, not beside a suspect."""
        judge = quarantine.Quarantine()
        flights = quarantine.InFlight()
        _died(judge, 'one', 'Ka', started=0, now=1)
        flights.began('e1', 'r1', 'K', 2)
        flights.began('e2', 'r2', 'fresh', 2)
        self.assertFalse(flights.may_place('e1', 'a', judge, 3))
        self.assertTrue(flights.may_place('e2', 'a', judge, 3))
        self.assertTrue(flights.may_place('e1', 'fresh', judge, 3))
        flights.finished('e1', 'r1')
        self.assertTrue(flights.may_place('e1', 'a', judge, 3))
        self.assertEqual(0, flights.count('e1'))


class _Fleet:
    """Eight endpoints that serve 200 requests and one killer."""

    def __init__(self, chance: random.Random) -> None:
        self.judge = quarantine.Quarantine()
        self.flights = quarantine.InFlight()
        self.waiting = ['K', *(f'i{number}' for number in range(200))]
        chance.shuffle(self.waiting)
        self.crashes = 0
        self.refused: list[str] = []
        self.now = 0.0
        self.endpoints = [f'e{number}' for number in range(8)]

    def run(self) -> None:
        """Place and answer in turns until nobody waits."""
        while self.waiting:
            self.now += 1
            for endpoint in self.endpoints:
                self._fill(endpoint)
            self.now += 1
            for endpoint in self.endpoints:
                self._end(endpoint)

    def _fill(self, endpoint: str) -> None:
        for fingerprint in tuple(self.waiting):
            if self.flights.count(endpoint) >= 4:
                return
            judgement = self.judge.judge(fingerprint, self.now)
            if judgement.standing is QUARANTINED:
                self.waiting.remove(fingerprint)
                self.refused.append(fingerprint)
            elif self.flights.may_place(
                endpoint,
                fingerprint,
                self.judge,
                self.now,
            ):
                self.waiting.remove(fingerprint)
                self.flights.began(
                    endpoint,
                    fingerprint,
                    fingerprint,
                    self.now,
                )

    def _end(self, endpoint: str) -> None:
        suspects = self.flights.at(endpoint)
        died = any(suspect.fingerprint == 'K' for suspect in suspects)
        if died:
            self.crashes += 1
            self.judge.died(f'{endpoint}@{self.now}', suspects, self.now)
        for suspect in suspects:
            self.flights.finished(endpoint, suspect.fingerprint)
            if died:
                self.waiting.append(suspect.fingerprint)
            else:
                self.judge.answered(
                    suspect.fingerprint,
                    suspect.started,
                    self.now,
                )
