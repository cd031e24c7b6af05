"""Tests of the order of waiting requests."""

from __future__ import annotations

import testtools

from clementinepass.decisions import waiting_line


class WaitingLineTest(testtools.TestCase):
    """Urgent requests go first, and of equal ones the earliest."""

    def test_order(self) -> None:
        """The number ahead follows urgency, then arrival."""
        line = waiting_line.WaitingLine()
        tickets = [line.join(urgency) for urgency in (5, 2, 5, 0)]
        self.assertEqual(
            [2, 1, 3, 0], [line.count_ahead(ticket) for ticket in tickets]
        )

    def test_leave(self) -> None:
        """A request that has left is not ahead of others."""
        line = waiting_line.WaitingLine()
        first, second = line.join(1), line.join(1)
        line.leave(first)
        line.leave(first)
        self.assertEqual(0, line.count_ahead(second))
