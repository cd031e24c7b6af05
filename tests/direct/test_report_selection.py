"""Tests of fitting evidence into heartbeats."""

from __future__ import annotations

import testtools

from clementinepass.direct import evidence_reports, part_sets, report_selection

LONG = tuple(f'{number:016x}' for number in range(1300))


def report(
    crashes: int, prompts: int, parts: tuple[str, ...]
) -> evidence_reports.Report:
    """Return a report of some crashes."""
    return evidence_reports.Report(
        part_crashes=tuple(
            evidence_reports.PartCrash(
                f'i-{number}',
                number,
                'm',
                tuple(
                    evidence_reports.Prompt(f'{prompt:032x}', parts)
                    for prompt in range(prompts)
                ),
            )
            for number in range(crashes)
        )
    )


class SelectTest(testtools.TestCase):
    """What a heartbeat carries."""

    def test_long_lists(self) -> None:
        """Four crashes under long prompts are whole at the receiver."""
        sender, receiver = part_sets.PartSets(), part_sets.PartSets()
        whole = report(4, 2, LONG)
        selected, is_complete = report_selection.select(whole, sender)
        self.assertTrue(is_complete)
        self.assertEqual(2, len(selected.set_ids))
        receiver.add(sender.get(selected.set_ids))
        merged = report_selection.MergedPrompts()
        resolved = report_selection.resolve(selected, receiver, merged)
        self.assertEqual(
            {crash.id: crash.prompts for crash in whole.part_crashes},
            {crash.id: crash.prompts for crash in resolved.part_crashes},
        )
        again = report_selection.resolve(selected, receiver, merged)
        self.assertFalse(any(crash.prompts for crash in again.part_crashes))

    def test_missing_sets(self) -> None:
        """A prompt whose sets are missing comes again."""
        selected, _ = report_selection.select(
            report(1, 1, LONG), part_sets.PartSets()
        )
        merged = report_selection.MergedPrompts()
        for _ in range(2):
            resolved = report_selection.resolve(
                selected, part_sets.PartSets(), merged
            )
            (prompt,) = resolved.part_crashes[0].prompts
            self.assertEqual((), prompt.parts)

    def test_too_much(self) -> None:
        """The latest crashes are reported if there are too many."""
        selected, is_complete = report_selection.select(
            report(50, 20, ('a' * 16,)), part_sets.PartSets()
        )
        self.assertFalse(is_complete)
        self.assertEqual(
            {f'i-{number}' for number in range(30, 50)},
            {crash.id for crash in selected.part_crashes},
        )
