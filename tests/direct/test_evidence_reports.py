"""Tests of joining evidence for heartbeats."""

from __future__ import annotations

import testtools

from clementinepass.direct import evidence_reports

FEW = ('a' * 16,)
MANY = tuple(f'{number:016x}' for number in range(100))


def report(*answers: evidence_reports.PartAnswer) -> evidence_reports.Report:
    """Return a report of answers."""
    return evidence_reports.Report(part_answers=answers)


class JoinTest(testtools.TestCase):
    """Joined reports say what each of them says."""

    def test_answers(self) -> None:
        """Short lists on a crash become one, long ones and others stay."""
        answer = evidence_reports.PartAnswer
        joined = evidence_reports.join(
            (
                report(answer('i-1', True, FEW), answer('i-1', True, MANY)),
                report(answer('i-1', False, FEW), answer('i-1', True, MANY)),
                report(answer('i-1', True, ('b' * 16,)), answer('i-2', True)),
            )
        )
        self.assertEqual(
            (
                answer('i-1', True, (*FEW, 'b' * 16)),
                answer('i-1', True, MANY),
                answer('i-1', False, FEW),
                answer('i-2', True),
            ),
            joined.part_answers,
        )

    def test_crashes(self) -> None:
        """The earliest time of a crash counts, with the prompts of all."""
        prompts = [
            evidence_reports.Prompt(f'{number:032x}', FEW)
            for number in range(3)
        ]
        joined = evidence_reports.join(
            evidence_reports.Report(
                part_crashes=(
                    evidence_reports.PartCrash('i-1', at, 'm', found),
                )
            )
            for at, found in ((2, tuple(prompts[:2])), (1, tuple(prompts[1:])))
        )
        (crash,) = joined.part_crashes
        self.assertEqual((1, tuple(prompts)), (crash.at, crash.prompts))
