"""Tests of the evidence on prompt parts under which endpoints crash."""

from __future__ import annotations

import itertools
import typing

import testtools

from clementinepass.direct import crash_evidence, heartbeats, part_evidence
from clementinepass.wire import heartbeats as wire_heartbeats

ENTRIES = tuple(f'10.0.0.{number}' for number in range(9))
#: Longer than a quarantine.
QUARANTINE_SECONDS = 600
BAD = 'b' * 16
ROOT = '5' * 16
PARENT = 'a' * 16
SESSION = 'e' * 16
#: Largest payload of a datagram in bytes.
MAX_DATAGRAM_BYTES = 65507


def parts(*digests: str, target: str = 'm') -> part_evidence.PromptParts:
    """Return the parts of a prompt."""
    return part_evidence.PromptParts(target, frozenset(digests))


def fingerprint(number: int) -> str:
    """Return the fingerprint of a request of its own."""
    return f'{number:032x}'


def make(ip: str = ENTRIES[0]) -> crash_evidence.CrashEvidence:
    """Return the evidence of an entry that has answered a sound request."""
    evidence = crash_evidence.CrashEvidence(ip)
    evidence.other_entries = lambda: [other for other in ENTRIES if other != ip]
    evidence.record_beginning(parts(ROOT), 0)
    return evidence


def crash(
    evidence: crash_evidence.CrashEvidence,
    count: int,
    *digests: str,
    first: float = 10,
) -> None:
    """Let new requests with some parts crash endpoints, one each second."""
    for number in range(count):
        at = first + number
        evidence.record_beginning(parts(ROOT), at)
        evidence.record_crash(
            f'i-{at}',
            fingerprint(int(at * 100)),
            at + 0.1,
            at + 0.2,
            parts(ROOT, *(digests or (BAD,))),
        )


def seconds_barred(
    evidence: crash_evidence.CrashEvidence,
    now: float,
    *digests: str,
    target: str = 'm',
) -> float:
    """Return the seconds for which a new request with parts is refused."""
    return evidence.seconds_barred(
        fingerprint(0),
        now,
        has_spare_endpoint=True,
        parts=parts(ROOT, *digests, target=target),
    )


def exchange(
    entries: typing.Sequence[crash_evidence.CrashEvidence], now: float
) -> None:
    """Let each entry report to all others, and answer what they ask for."""
    for _ in range(3):
        for sender, receiver in itertools.permutations(entries, 2):
            send(sender, receiver, now)


def send(
    sender: crash_evidence.CrashEvidence,
    receiver: crash_evidence.CrashEvidence,
    now: float,
    *,
    full: bool = False,
) -> None:
    """Let an entry report to another one."""
    missing = receiver.apply(
        sender.report(now, full=full), now, is_relayed=False, peer='peer'
    )
    found = sender.find_part_sets(missing)
    receiver.add_part_sets(found, now, 'peer')


def many(prefix: str, count: int = 1300) -> list[str]:
    """Return the parts of a long prompt."""
    return [f'{prefix}{number:015x}' for number in range(count)]


class BarTest(testtools.TestCase):
    """When requests with a part are refused."""

    def test_fourth_crash(self) -> None:
        """They are refused from the fourth crash on, and others are not."""
        evidence = make()
        crash(evidence, 3)
        self.assertEqual(0, seconds_barred(evidence, 13, BAD))
        crash(evidence, 1, first=13)
        self.assertAlmostEqual(
            QUARANTINE_SECONDS, seconds_barred(evidence, 13.2, BAD), 3
        )
        self.assertEqual(0, seconds_barred(evidence, 13.2, PARENT))
        self.assertEqual(0, seconds_barred(evidence, 13.2))

    def test_not_sent_once_more(self) -> None:
        """From the second crash on, the entry does not retry by itself."""
        evidence = make()
        for count, is_suspicious in ((1, False), (1, True)):
            crash(evidence, count, first=11 if is_suspicious else 10)
            self.assertEqual(
                is_suspicious,
                evidence.is_suspicious(fingerprint(0), 12, parts(BAD)),
            )
        self.assertFalse(
            evidence.is_suspicious(fingerprint(0), 12, parts(ROOT))
        )

    def test_last_endpoint(self) -> None:
        """After two crashes, the last endpoint is protected for a while."""
        evidence = make()
        crash(evidence, 2)
        for now, is_refused in ((11.3, True), (30, False)):
            seconds = evidence.seconds_barred(
                fingerprint(0), now, has_spare_endpoint=False, parts=parts(BAD)
            )
            self.assertEqual(is_refused, seconds > 0)

    def test_trial(self) -> None:
        """After the quarantine one entry tries one request at a time."""
        entries = [make(ip) for ip in ENTRIES]
        for evidence in entries:
            crash(evidence, 4)
        now = 14 + QUARANTINE_SECONDS
        (trying,) = (
            evidence
            for evidence in entries
            if not seconds_barred(evidence, now, BAD)
        )
        trying.record_attempt(fingerprint(1), now, parts(BAD))
        self.assertGreater(seconds_barred(trying, now + 1, BAD), 0)
        trying.record_crash('i-last', fingerprint(1), now, now + 1, parts(BAD))
        self.assertGreater(seconds_barred(trying, now + 60, BAD), 60)

    def test_some_of_the_parts(self) -> None:
        """Two entries send one request each that may tell two parts apart.

        Four requests with one of the parts reached endpoints before the first
        showed that it is the one that crashes them.
        """
        entries = [make(ip) for ip in ENTRIES]
        for evidence in entries:
            crash(evidence, 4, BAD, PARENT)
        comparing = [
            evidence
            for evidence in entries
            if not seconds_barred(evidence, 14, PARENT)
        ]
        self.assertEqual(2, len(comparing))
        first, second = comparing
        first.record_attempt(fingerprint(1), 14, parts(PARENT))
        self.assertGreater(seconds_barred(first, 14.1, PARENT), 0)
        self.assertLess(seconds_barred(first, 14.1, PARENT), 2)
        first.record_beginning(parts(PARENT), 14.2)
        self.assertEqual(0, seconds_barred(first, 14.2, PARENT))
        self.assertGreater(seconds_barred(first, 14.2, BAD), 500)
        report = first.report(14.3, full=False)
        second.apply(report, 14.3, is_relayed=False)
        self.assertEqual(0, seconds_barred(second, 14.3, PARENT))

    def test_answered_trial(self) -> None:
        """A request that is answered frees its parts."""
        evidence = make()
        crash(evidence, 4)
        evidence.record_beginning(parts(BAD), 14)
        self.assertEqual(0, seconds_barred(evidence, 14, BAD))


class ApartTest(testtools.TestCase):
    """The entry that sees the crashes has no sound request to compare with."""

    def setUp(self) -> None:
        """Make entries that have answered nothing."""
        super().setUp()
        self.entries = [crash_evidence.CrashEvidence(ip) for ip in ENTRIES[:3]]

    def crash(self, number: float, *digests: str) -> None:
        """Let a new request crash an endpoint at the third entry."""
        at = 10.0 + number
        self.entries[2].record_crash(
            f'i-{number}',
            fingerprint(int(10 * number)),
            at,
            at + 0.1,
            parts(*digests),
        )

    def check(self, common: list[str]) -> None:
        """Let sound requests come to the first entry, bad ones to the third."""
        for number in range(4):
            at = 10.0 + number
            self.entries[0].record_beginning(parts(*common, PARENT), at - 0.5)
            self.crash(number, *common, BAD)
            exchange(self.entries, at + 0.2)
        for evidence in self.entries:
            for digests, is_refused in (
                ((*common, BAD), True),
                ((BAD,), True),
                ((*common, PARENT), False),
                ((*common, SESSION), False),
            ):
                seconds = evidence.seconds_barred(
                    fingerprint(99),
                    13.3,
                    has_spare_endpoint=True,
                    parts=parts(*digests),
                )
                self.assertEqual(is_refused, seconds > 500, seconds)
                self.assertEqual(is_refused, seconds > 0, seconds)

    def test_known_at_all_entries(self) -> None:
        """All entries refuse the part, and none of those beside it."""
        self.check([ROOT])

    def test_long_prompts(self) -> None:
        """A part among 1,300 is found, and none of the others is refused."""
        self.check(many('c'))

    def test_long_prompts_of_their_own(self) -> None:
        """Each of the bad requests has 1,300 parts that no other one has."""
        for number in range(4):
            at = 10.0 + number
            self.entries[0].record_beginning(parts(ROOT), at - 0.5)
            self.crash(number, ROOT, *many(str(number)), BAD)
            exchange(self.entries, at + 0.2)
        for evidence in self.entries:
            self.assertGreater(seconds_barred(evidence, 13.3, BAD), 500)
            self.assertEqual(0, seconds_barred(evidence, 13.3, *many('0')))

    def test_lost_messages(self) -> None:
        """Sets of parts that did not arrive are asked for again."""
        common = many('c')
        first, _, third = self.entries
        for number in range(4):
            self.crash(number / 2, *common, BAD)
        first.record_beginning(parts(*common, PARENT), 12)
        report = third.report(12.2, full=False)
        missing = first.apply(report, 12.2, is_relayed=False, peer='peer')
        self.assertNotEqual((), missing)
        self.assertEqual(
            missing, first.apply(report, 12.2, is_relayed=False, peer='peer')
        )
        exchange(self.entries, 12.6)
        for evidence in self.entries:
            self.assertGreater(seconds_barred(evidence, 12.7, BAD), 500)
            self.assertEqual(0, seconds_barred(evidence, 12.7, *common))

    def test_answered_later(self) -> None:
        """An answer after the crashes is compared with, too."""
        for number in range(4):
            self.crash(number, ROOT, BAD)
            exchange(self.entries, 10.2 + number)
        self.assertEqual(0, seconds_barred(self.entries[2], 13.3, BAD))
        self.entries[0].record_beginning(parts(ROOT, PARENT), 14)
        exchange(self.entries, 14.1)
        for evidence in self.entries:
            self.assertGreater(seconds_barred(evidence, 14.1, BAD), 500)
            self.assertEqual(0, seconds_barred(evidence, 14.1, PARENT))

    def test_answered_some_time_before(self) -> None:
        """No request is answered any more, as all endpoints crash."""
        self.entries[0].record_beginning(parts(ROOT, PARENT), 4)
        for number in range(4):
            self.crash(number, ROOT, BAD)
            exchange(self.entries, 10.2 + number)
        for evidence in self.entries:
            self.assertGreater(seconds_barred(evidence, 13.3, BAD), 500)
            self.assertEqual(0, seconds_barred(evidence, 13.3, PARENT))

    def test_faulty_release(self) -> None:
        """A part that all requests have is not refused if all of them crash."""
        self.entries[0].record_beginning(parts(ROOT, PARENT), 4)
        for number in range(6):
            self.crash(number, ROOT)
            exchange(self.entries, 10.2 + number)
        for evidence in self.entries:
            self.assertEqual(0, seconds_barred(evidence, 15.3))

    def test_nothing_answered(self) -> None:
        """Without any answer there is nothing to compare with."""
        for number in range(6):
            self.crash(number, ROOT, BAD)
            exchange(self.entries, 10.2 + number)
        for evidence in self.entries:
            self.assertEqual(0, seconds_barred(evidence, 15.3, BAD))

    def test_later_starts(self) -> None:
        """An entry that starts later is told, and needs no answer for it."""
        self.check([ROOT])
        starting = crash_evidence.CrashEvidence(ENTRIES[5])
        send(self.entries[1], starting, 60, full=True)
        self.assertGreater(seconds_barred(starting, 60, BAD), 500)
        self.assertEqual(0, seconds_barred(starting, 60, PARENT))


class AtOnceTest(testtools.TestCase):
    """Groups of requests with a part crash as many endpoints again each time."""

    def crash(self, count: int) -> list[crash_evidence.CrashEvidence]:
        """Return the entries after crashes at one moment."""
        entries = [make(ip) for ip in ENTRIES]
        for number in range(count):
            for evidence in entries:
                evidence.record_crash(
                    f'i-{number}', fingerprint(number), 10, 10.1, parts(BAD)
                )
        return entries

    def admitting(
        self, entries: list[crash_evidence.CrashEvidence], now: float
    ) -> list[crash_evidence.CrashEvidence]:
        """Return the entries that would send a request with the part."""
        return [one for one in entries if not seconds_barred(one, now, BAD)]

    def test_next_requests(self) -> None:
        """One entry tries one request at a time."""
        entries = self.crash(4)
        for evidence in entries:
            evidence.record_beginning(parts(ROOT, PARENT), 10.2)
        (trying,) = self.admitting(entries, 10.3)
        trying.record_attempt(fingerprint(9), 10.3, parts(ROOT, BAD))
        self.assertEqual([], self.admitting(entries, 10.4))
        for evidence in entries:
            self.assertEqual(0, seconds_barred(evidence, 10.4, PARENT))
            self.assertLess(seconds_barred(evidence, 10.4, BAD), 60)

    def test_trials(self) -> None:
        """Two trials that crash endpoints show that it was the part."""
        evidence = self.crash(4)[0]
        evidence.record_beginning(parts(ROOT, PARENT), 10.2)
        for number, is_cause in ((1, False), (2, True)):
            at = 10 + 10.0 * number
            evidence.record_beginning(parts(ROOT, PARENT), at)
            evidence.record_crash(
                f't-{number}',
                fingerprint(50 + number),
                at,
                at + 0.1,
                parts(BAD),
            )
            self.assertEqual(
                is_cause, seconds_barred(evidence, at + 0.2, BAD) > 500
            )

    def test_answered(self) -> None:
        """One answer ends the restriction."""
        for evidence in self.crash(4):
            evidence.record_beginning(parts(BAD), 10.4)
            self.assertEqual(0, seconds_barred(evidence, 10.4, BAD))

    def test_few_crashes(self) -> None:
        """Three endpoints that are lost at once restrict nothing."""
        entries = self.crash(3)
        for evidence in entries:
            evidence.record_beginning(parts(ROOT, PARENT), 10.2)
        self.assertEqual(entries, self.admitting(entries, 10.3))


class InnocentTest(testtools.TestCase):
    """Parts that are not suspected."""

    def test_answered_shortly_before(self) -> None:
        """A part that was answered shortly before a crash has not caused it."""
        evidence = make()
        for number in range(6):
            evidence.record_beginning(parts(BAD), 8 + number)
            crash(evidence, 1, first=10 + number)
        self.assertFalse(evidence.is_suspicious(fingerprint(0), 16, parts(BAD)))

    def test_answering(self) -> None:
        """A request with an event of its answer has not caused the crash."""
        evidence = make()
        for number in range(6):
            evidence.record_crash(
                f'i-{number}', fingerprint(number), number, number + 0.5
            )
        self.assertFalse(evidence.is_suspicious(fingerprint(9), 9, parts(BAD)))

    def test_nothing_to_compare_with(self) -> None:
        """A part that all requests have is none."""
        evidence = make()
        evidence.record_beginning(parts(BAD, ROOT), 0)
        for number in range(6):
            at = 40 + number
            evidence.record_crash(
                f'i-{at}', fingerprint(at), at, at + 0.5, parts(BAD)
            )
        self.assertEqual(0, seconds_barred(evidence, 46, BAD))

    def test_fingerprint_answered(self) -> None:
        """An answer without a part does not clear it for the same body."""
        evidence = make()
        crash(evidence, 4)
        for at in range(10, 14):
            evidence.record_answer(fingerprint(100 * at), 14, 14)
        self.assertGreater(seconds_barred(evidence, 14, BAD), 0)
        starting = crash_evidence.CrashEvidence(ENTRIES[1])
        report = evidence.report(60, full=True)
        starting.apply(report, 60, is_relayed=False)
        self.assertGreater(seconds_barred(starting, 60, BAD), 0)
        self.assertEqual(
            0,
            starting.seconds_barred(
                fingerprint(1000), 60, has_spare_endpoint=False
            ),
        )

    def test_other_model(self) -> None:
        """An answer of another model proves nothing, and neither is refused."""
        evidence = make()
        crash(evidence, 2)
        evidence.record_beginning(parts(PARENT, target='other'), 12)
        crash(evidence, 2, first=12)
        self.assertGreater(seconds_barred(evidence, 14, BAD), 0)

    def test_companions(self) -> None:
        """Requests at the same crashes are not quarantined for them.

        A sound request that is sent again after each crash was taken for the
        one thing that the crashes have in common.
        """
        evidence = make()
        sound = 'c' * 32
        for number in range(5):
            at = 10 + number
            evidence.record_beginning(parts(ROOT), at)
            evidence.record_crash(f'i-{at}', sound, at + 0.1, at + 0.2)
            evidence.record_crash(
                f'i-{at}',
                fingerprint(at),
                at + 0.1,
                at + 0.2,
                parts(BAD, ROOT),
            )
        self.assertEqual(
            0, evidence.seconds_barred(sound, 15, has_spare_endpoint=True)
        )
        self.assertGreater(seconds_barred(evidence, 15, BAD), 0)


class ReportTest(testtools.TestCase):
    """What heartbeats carry."""

    def test_each_entry_saw_one(self) -> None:
        """Crashes that four entries saw bar a part at all of them."""
        entries = [make(ip) for ip in ENTRIES[:4]]
        for number, evidence in enumerate(entries):
            crash(evidence, 1, first=11 + number / 2)
        reports = [evidence.report(13.3, full=False) for evidence in entries]
        for evidence in entries:
            for report in reports:
                evidence.apply(report, 13.3, is_relayed=False)
            self.assertGreater(seconds_barred(evidence, 13.3, BAD), 500)
            self.assertEqual(0, seconds_barred(evidence, 13.3, PARENT))

    def test_answered_at_another_entry(self) -> None:
        """An answer at one entry clears the part at the others."""
        first, second = make(), make(ENTRIES[1])
        second.record_beginning(parts(PARENT), 11)
        crash(first, 4, PARENT)
        second.apply(first.report(13.3, full=False), 13.3, is_relayed=False)
        self.assertGreater(seconds_barred(first, 13.3, PARENT), 0)
        second.record_beginning(parts(PARENT), 13.4)
        first.apply(second.report(13.5, full=False), 13.5, is_relayed=False)
        self.assertEqual(0, seconds_barred(first, 13.5, PARENT))
        self.assertFalse(
            first.is_suspicious(fingerprint(0), 13.5, parts(PARENT))
        )

    def test_later_starts(self) -> None:
        """Full heartbeats tell entries that start later."""
        evidence = make()
        crash(evidence, 4)
        starting = crash_evidence.CrashEvidence(ENTRIES[1])
        report = evidence.report(60, full=True)
        starting.apply(report, 7000, is_relayed=False)
        self.assertGreater(seconds_barred(starting, 7000, BAD), 500)

    def test_crashes_at_once(self) -> None:
        """All requests of many crashes at once are reported."""
        evidence = make()
        for number in range(10):
            at = 10 + number / 10
            evidence.record_beginning(parts(ROOT, PARENT), at)
            for request in range(20):
                evidence.record_crash(
                    f'i-{number:010x}/1760000000000',
                    fingerprint(100 * number + request),
                    at,
                    at,
                    parts(
                        BAD if request == 0 else PARENT,
                        *(
                            f'{number + 1:08x}{4 * request + one:08x}'
                            for one in range(3)
                        ),
                    ),
                )
        payload = wire_heartbeats.write_heartbeat(
            heartbeats.Heartbeat(crash_evidence=evidence.report(11, full=True))
        )
        self.assertLess(len(payload), MAX_DATAGRAM_BYTES)
        other = make(ENTRIES[1])
        report = wire_heartbeats.read_heartbeat(payload, 'peer').crash_evidence
        other.apply(report, 11, is_relayed=False)
        self.assertGreater(seconds_barred(other, 11, BAD), 0)
        self.assertEqual(200, sum(len(one.suspects) for one in report.crashes))

    def test_longest_prompts(self) -> None:
        """Crashes and answers with 1,300 parts each fit into a datagram."""
        first, second = make(), make(ENTRIES[1])
        for number in range(40):
            at = 10 + number / 20
            common = many('c')[: 1300 - number]
            second.record_beginning(parts(ROOT, *common), at)
            for request in range(10):
                first.record_crash(
                    f'i-{number:010x}/1760000000000',
                    fingerprint(10 * number + request),
                    at,
                    at,
                    parts(ROOT, *common, *many(f'{request}', 100)),
                )
            send(first, second, at)
        for evidence in (first, second):
            payload = wire_heartbeats.write_heartbeat(
                heartbeats.Heartbeat(
                    crash_evidence=evidence.report(12.1, full=True)
                )
            )
            self.assertLess(len(payload), MAX_DATAGRAM_BYTES)

    def test_many_parts(self) -> None:
        """Crashes of many requests with many parts fit into a datagram."""
        evidence = make()
        for number in range(40):
            for request in range(20):
                number_of_request = 100 * number + request
                evidence.record_crash(
                    f'i-{number:010x}/1760000000000',
                    fingerprint(number_of_request),
                    1,
                    1 + number / 100,
                    parts(
                        *(
                            f'{32 * number_of_request + one:016x}'
                            for one in range(32)
                        )
                    ),
                )
        payload = wire_heartbeats.write_heartbeat(
            heartbeats.Heartbeat(crash_evidence=evidence.report(2, full=True))
        )
        self.assertLess(len(payload), MAX_DATAGRAM_BYTES)
