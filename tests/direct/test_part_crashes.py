"""Tests of merging what processes know of prompt parts at crashes."""

from __future__ import annotations

import itertools

import testtools

from clementinepass.direct import evidence_reports, part_crashes

BAD = 'b' * 16
SOUND = 'a' * 16
OLD = 'c' * 16


def crash(
    name: str, request: str, *parts: str, at: float = 10
) -> evidence_reports.Report:
    """Return the report of a crash under one request."""
    prompt = evidence_reports.Prompt(request, parts)
    found = evidence_reports.PartCrash(name, at, 'm', (prompt,))
    return evidence_reports.Report(part_crashes=(found,))


def answer(
    name: str, *parts: str, is_recent: bool = True
) -> evidence_reports.Report:
    """Return the report of answered requests."""
    found = evidence_reports.PartAnswer(name, is_recent, parts)
    return evidence_reports.Report(part_answers=(found,))


def suspected(crashes: part_crashes.PartCrashes) -> dict[str, set[str]]:
    """Return the suspected parts by crash."""
    return {found.id: set(found.parts()) for found in crashes.crashes()}


class MergeTest(testtools.TestCase):
    """All processes come to the same conclusion."""

    def test_any_order(self) -> None:
        """Two reports of a crash and three on answers, in any order."""
        reports = (
            crash('i-1', 'r1', BAD, SOUND),
            crash('i-1', 'r2', BAD, OLD),
            answer('i-1', SOUND),
            answer('i-1', OLD, is_recent=False),
            answer('i-1'),
        )
        for order in itertools.permutations(reports):
            crashes = part_crashes.PartCrashes()
            # An answer that comes before the crash is reported once more.
            for report in (*order, *order):
                crashes.merge(report, 11)
            self.assertEqual({'i-1': {BAD, OLD}}, suspected(crashes))

    def test_earlier_answers(self) -> None:
        """Parts of earlier answers count if others are answered later."""
        crashes = part_crashes.PartCrashes()
        crashes.merge(crash('i-1', 'r1', BAD, OLD), 11)
        self.assertEqual({}, suspected(crashes))
        crashes.merge(answer('i-1', OLD, is_recent=False), 11)
        self.assertEqual({'i-1': {BAD}}, suspected(crashes))
        crashes.merge(answer('i-1'), 11)
        self.assertEqual({'i-1': {BAD, OLD}}, suspected(crashes))

    def test_known_twice(self) -> None:
        """Only what is new is passed on."""
        crashes = part_crashes.PartCrashes()
        for report in (crash('i-1', 'r1', BAD), answer('i-1', SOUND)):
            self.assertTrue(crashes.merge(report, 11))
            self.assertFalse(crashes.merge(report, 11))


class BoundTest(testtools.TestCase):
    """Evidence in great numbers does not hide what is about to be found."""

    def test_many_crashes(self) -> None:
        """Crashes under a part that has met several are kept."""
        crashes = part_crashes.PartCrashes()
        for number in range(2):
            crashes.merge(crash(f'bad-{number}', f'r{number}', BAD), 11)
        for number in range(600):
            part = f'{number:016x}'
            crashes.merge(crash(f'i-{number}', 'r', part, at=12), 13)
        crashes.merge(answer('bad-0'), 13)
        crashes.merge(answer('bad-1'), 13)
        self.assertEqual({'bad-0': {BAD}, 'bad-1': {BAD}}, suspected(crashes))
        (dropped,) = crashes.take_dropped()[:1]
        self.assertIn('i-0', dropped.crash_ids)
        self.assertFalse(dropped.is_expired)
        # What was dropped does not come back with each heartbeat.
        again = crash('i-0', 'r', '0' * 16, at=12)
        self.assertFalse(crashes.merge(again, 13))

    def test_many_parts(self) -> None:
        """Parts in one crash only go first."""
        crashes = part_crashes.PartCrashes()
        for number in range(80):
            own = [f'{number:08x}{part:08x}' for part in range(1000)]
            at = 10 + number
            crashes.merge(
                crash(f'i-{number}', f'r{number}', BAD, *own, at=at), at
            )
            crashes.merge(answer(f'i-{number}'), at)
        found = crashes.crashes()
        self.assertEqual(80, len(found))
        self.assertTrue(all(BAD in each.parts() for each in found))
        self.assertLess(sum(len(each.parts()) for each in found), 70_000)

    def test_expired(self) -> None:
        """Crashes are forgotten after an hour."""
        crashes = part_crashes.PartCrashes()
        crashes.merge(crash('i-1', 'r1', BAD), 11)
        crashes.merge(crash('i-2', 'r1', BAD, at=4000), 4000)
        (dropped,) = crashes.take_dropped()
        self.assertEqual((('i-1',), True), dropped)
