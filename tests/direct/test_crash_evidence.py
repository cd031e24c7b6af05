"""Tests of the evidence on requests that crash endpoints."""

from __future__ import annotations

import testtools

from clementinepass.direct import crash_evidence

ENTRIES = tuple(f'10.0.0.{number}' for number in range(9))
#: Longer than a quarantine, and than the protection after a crash.
QUARANTINE_SECONDS = 600
REQUEST = 'aa' * 16
CRASHING = 'cc' * 16


def make(ip: str = ENTRIES[0]) -> crash_evidence.CrashEvidence:
    """Return the evidence of one of some entries."""
    evidence = crash_evidence.CrashEvidence(ip)
    evidence.other_entries = lambda: [other for other in ENTRIES if other != ip]
    return evidence


def crash(
    evidence: crash_evidence.CrashEvidence,
    count: int,
    fingerprint: str = REQUEST,
    first: float = 0,
) -> None:
    """Let a request crash endpoints, one each second."""
    for number in range(count):
        at = first + number
        evidence.record_crash(f'i-{at}', fingerprint, at + 0.1, at + 0.2)


def seconds_barred(
    evidence: crash_evidence.CrashEvidence,
    now: float,
    *,
    spare: bool = True,
) -> float:
    """Return the seconds for which the request is refused."""
    return evidence.seconds_barred(REQUEST, now, has_spare_endpoint=spare)


class BarTest(testtools.TestCase):
    """When a request is refused."""

    def test_third_crash(self) -> None:
        """It is refused from the third crash on."""
        evidence = make()
        crash(evidence, 2)
        self.assertEqual(0, seconds_barred(evidence, 2))
        crash(evidence, 1, first=2)
        self.assertAlmostEqual(
            QUARANTINE_SECONDS, seconds_barred(evidence, 2.2)
        )

    def test_last_endpoint(self) -> None:
        """After two crashes it is kept from the last endpoint for a while."""
        evidence = make()
        crash(evidence, 1)
        self.assertEqual(0, seconds_barred(evidence, 1, spare=False))
        crash(evidence, 1, first=1)
        self.assertGreater(seconds_barred(evidence, 2, spare=False), 0)
        self.assertEqual(0, seconds_barred(evidence, 2))
        self.assertEqual(0, seconds_barred(evidence, 60, spare=False))

    def test_single_trial(self) -> None:
        """After the quarantine one entry tries it, once at a time."""
        after = QUARANTINE_SECONDS + 3.0
        admitting = []
        for ip in ENTRIES:
            evidence = make(ip)
            crash(evidence, 3)
            if not seconds_barred(evidence, after):
                admitting.append(evidence)
        self.assertEqual(1, len(admitting))
        admitting[0].record_attempt(REQUEST, after)
        self.assertGreater(seconds_barred(admitting[0], after + 0.1), 0)

    def test_trial_answered(self) -> None:
        """A request that is answered after its quarantine is free."""
        evidence = make()
        crash(evidence, 3)
        after = QUARANTINE_SECONDS + 3.0
        evidence.record_attempt(REQUEST, after)
        evidence.record_answer(REQUEST, after, after + 1)
        self.assertEqual(0, seconds_barred(evidence, after + 1))

    def test_trial_crashes(self) -> None:
        """One more crash after the quarantine begins another."""
        evidence = make()
        crash(evidence, 3)
        after = QUARANTINE_SECONDS + 3.0
        crash(evidence, 1, first=after)
        self.assertGreater(seconds_barred(evidence, after + 1), 500)


class CompanionTest(testtools.TestCase):
    """A sound request that was beside one that crashes endpoints."""

    def setUp(self) -> None:
        """Let both meet two crashes, each one of its own, and one more."""
        super().setUp()
        self.evidence = make()
        self.evidence.other_entries = tuple
        for fingerprint in (REQUEST, CRASHING):
            crash(self.evidence, 2, fingerprint)
        crash(self.evidence, 1, CRASHING, first=2)
        crash(self.evidence, 1, REQUEST, first=3)

    def seconds(self, now: float, fingerprint: str = REQUEST) -> float:
        """Return the seconds for which a request is refused."""
        return self.evidence.seconds_barred(
            fingerprint, now, has_spare_endpoint=True
        )

    def test_explained_crashes(self) -> None:
        """Crashes that a quarantined request explains quarantine no other."""
        self.assertEqual(0, self.seconds(3.3))
        self.assertGreater(self.seconds(3.3, CRASHING), 500)

    def test_one_at_a_time(self) -> None:
        """Until it is answered, a single one runs."""
        self.evidence.record_attempt(REQUEST, 3.3)
        self.assertGreater(self.seconds(3.4), 0)
        self.assertLess(self.seconds(3.4), 60)
        self.evidence.record_answer(REQUEST, 3.3, 3.5)
        self.assertEqual(0, self.seconds(3.5))

    def test_another_crash(self) -> None:
        """One more crash quarantines it."""
        self.evidence.record_attempt(REQUEST, 4)
        crash(self.evidence, 1, REQUEST, first=4)
        self.assertGreater(self.seconds(4.3), 500)

    def test_cause_found_later(self) -> None:
        """The one with more crashes explains them, whichever came first."""
        evidence = make()
        evidence.other_entries = tuple
        for fingerprint in (REQUEST, CRASHING):
            crash(evidence, 2, fingerprint)
        crash(evidence, 1, REQUEST, first=2)
        crash(evidence, 2, CRASHING, first=3)
        self.evidence = evidence
        self.assertEqual(0, self.seconds(5))
        self.assertGreater(self.seconds(5, CRASHING), 500)


class FloodTest(testtools.TestCase):
    """Copies of a request that are sent at once crash endpoints together."""

    def seconds(self, evidence: crash_evidence.CrashEvidence) -> float:
        """Return the seconds for which the request is refused."""
        return seconds_barred(evidence, 1.5)

    def flood(self, count: int) -> list[crash_evidence.CrashEvidence]:
        """Return the evidence of all entries after crashes at one moment."""
        entries = [make(ip) for ip in ENTRIES]
        for evidence in entries:
            for number in range(count):
                evidence.record_crash(f'i-{number}', REQUEST, 1, 1.1)
        return entries

    def test_next_copies(self) -> None:
        """Copies sent at once do not crash as many endpoints again."""
        entries = self.flood(3)
        admitting = [one for one in entries if not self.seconds(one)]
        self.assertEqual(1, len(admitting))
        admitting[0].record_attempt(REQUEST, 1.5)
        self.assertGreater(self.seconds(admitting[0]), 0)

    def test_answered(self) -> None:
        """One answer ends the restriction."""
        entries = self.flood(3)
        for evidence in entries:
            evidence.record_answer(REQUEST, 1.2, 1.4)
            self.assertEqual(0, self.seconds(evidence))

    def test_two_crashes(self) -> None:
        """Two endpoints that are lost at once restrict nothing."""
        for evidence in self.flood(2):
            self.assertEqual(0, self.seconds(evidence))


class RetentionTest(testtools.TestCase):
    """Endpoints crash by the hundred for another reason."""

    def setUp(self) -> None:
        """Let a request crash two endpoints, and a hundred others crash."""
        super().setUp()
        self.evidence = make()
        crash(self.evidence, 2)
        self.others = [f'o-{number}' for number in range(100)]
        self.lose(self.evidence)

    def lose(self, evidence: crash_evidence.CrashEvidence) -> None:
        """Let the others crash, each with a request of its own."""
        for number, name in enumerate(self.others):
            evidence.record_crash(name, f'{number:032x}', 1.4, 1.5)

    def test_third_crash(self) -> None:
        """They do not hide the crashes before the third one."""
        crash(self.evidence, 1, first=2)
        self.assertGreater(seconds_barred(self.evidence, 2.3), 500)

    def test_crashes_at_once(self) -> None:
        """They do not hide crashes by copies that were sent at once."""
        evidence = make()
        for number in range(3):
            evidence.record_crash(f'i-{number}', REQUEST, 0.1, 0.2)
        self.lose(evidence)
        self.assertEqual(3, len(evidence.evidence(REQUEST, 2).crashes))

    def test_first_crash(self) -> None:
        """A popular request at lost endpoints does not hide another one."""
        evidence = make()
        for name in self.others:
            evidence.record_crash(name, CRASHING, 0.1, 0.2)
        crash(evidence, 3, first=10)
        self.assertGreater(seconds_barred(evidence, 12.3), 500)

    def test_later_start(self) -> None:
        """A process that starts meanwhile learns what is quarantined."""
        crash(self.evidence, 1, first=2)
        starting = make(ENTRIES[1])
        self.lose(starting)
        report = self.evidence.report(60, full=True)
        starting.apply(report, 60, is_relayed=False)
        self.assertGreater(seconds_barred(starting, 60), 500)

    def test_dropped_crashes(self) -> None:
        """What is dropped does not come back with each heartbeat."""
        other = make(ENTRIES[1])
        self.lose(other)
        report = other.report(1.6, full=False)
        self.evidence.apply(report, 1.6, is_relayed=False)
        counts = dict(self.evidence.log.counts_by_decision)
        self.evidence.apply(report, 1.7, is_relayed=False)
        self.assertEqual(counts, dict(self.evidence.log.counts_by_decision))


class ReportTest(testtools.TestCase):
    """What heartbeats carry."""

    def test_fresh(self) -> None:
        """New evidence is in each heartbeat for a while."""
        evidence = make()
        crash(evidence, 1)
        self.assertTrue(evidence.report(1, full=False))
        self.assertFalse(evidence.report(9, full=False))
        self.assertFalse(evidence.report(9, full=True))

    def test_later_starts(self) -> None:
        """Full heartbeats tell entries that start later, without others."""
        evidence = make()
        crash(evidence, 3)
        evidence.record_crash('i-0', 'bb' * 16, 0.1, 0.2)
        report = evidence.report(60, full=True)
        self.assertEqual(
            {REQUEST},
            {
                suspect.fingerprint
                for reported in report.crashes
                for suspect in reported.suspects
            },
        )
        starting = make(ENTRIES[1])
        starting.apply(report, 7000, is_relayed=False)
        self.assertGreater(seconds_barred(starting, 7000), 500)

    def test_each_entry_saw_one(self) -> None:
        """Crashes that three entries saw convict at all of them."""
        entries = [make(ip) for ip in ENTRIES[:3]]
        for number, evidence in enumerate(entries):
            crash(evidence, 1, first=number)
        reports = [evidence.report(2.3, full=False) for evidence in entries]
        for evidence in entries:
            for report in reports:
                evidence.apply(report, 2.3, is_relayed=False)
            self.assertGreater(seconds_barred(evidence, 2.3), 500)

    def test_relayed(self) -> None:
        """New evidence is passed on once, if heartbeats do not reach all."""
        first, second = make(), make(ENTRIES[1])
        crash(first, 1)
        report = first.report(1, full=False)
        second.apply(report, 1, is_relayed=False)
        self.assertFalse(second.report(1, full=False))
        third = make(ENTRIES[2])
        third.apply(report, 1, is_relayed=True)
        self.assertTrue(third.report(3.5, full=False))
        third.apply(first.report(3, full=False), 3, is_relayed=True)
        self.assertFalse(third.report(4.1, full=False))

    def test_passed_on_often(self) -> None:
        """What is passed on again and again stays as it was.

        The time of a request's start moved past later crashes, as each
        heartbeat takes some time.
        """
        first, second = make(), make(ENTRIES[1])
        first.record_crash('i-0', REQUEST, 0.1, 0.2)
        first.record_crash('i-1', REQUEST, 0.19, 0.3)
        first.record_crash('i-1', 'bb' * 16, 0.25, 0.3)
        now = 0.3
        for _ in range(50):
            for sender, receiver in ((first, second), (second, first)):
                report = sender.report(now, full=False)
                now += 0.02
                receiver.apply(report, now, is_relayed=True)
        self.assertFalse(first.is_suspicious(REQUEST, now))
        self.assertFalse(second.is_suspicious(REQUEST, now))

    def test_answered_before(self) -> None:
        """A request that is answered all the time does not crash endpoints."""
        first, second = make(), make(ENTRIES[1])
        first.record_answer(REQUEST, 0, 0.1)
        crash(second, 2, first=1)
        second.apply(first.report(2.3, full=False), 2.3, is_relayed=False)
        first.apply(second.report(2.3, full=False), 2.3, is_relayed=False)
        second.apply(first.report(2.4, full=False), 2.4, is_relayed=False)
        self.assertFalse(second.is_suspicious(REQUEST, 2.4))

    def test_answered_long_before(self) -> None:
        """An answer long before proves nothing."""
        evidence = make()
        evidence.record_answer(REQUEST, 0, 0.1)
        crash(evidence, 3, first=10)
        self.assertGreater(seconds_barred(evidence, 13), 0)

    def test_answer(self) -> None:
        """An answer at one entry frees the request at the others."""
        first, second = make(), make(ENTRIES[1])
        crash(first, 3)
        second.apply(first.report(3, full=False), 3, is_relayed=False)
        self.assertGreater(seconds_barred(second, 3), 0)
        first.record_answer(REQUEST, 3.1, 3.2)
        second.apply(first.report(3.2, full=False), 3.2, is_relayed=False)
        self.assertEqual(0, seconds_barred(second, 3.2))
