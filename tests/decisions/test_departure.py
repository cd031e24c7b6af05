"""Tests of what an entry that leaves takes, and when it ends."""

from __future__ import annotations

import testtools

from clementinepass.decisions import departure

GRACE = 8.0
LONGEST = 6.0
MOST = 5.0


class DepartureTest(testtools.TestCase):
    """Callers' answers were cut off while all entries were replaced in turn.

    A stream came 3.5 s after SIGTERM, by a list that its caller had kept, and
    lasted four seconds; the entry ended after 7.4. Others found no entry at
    all, since each stayed that long with nothing to do.
    """

    def setUp(self) -> None:
        """Begin to leave at second 100."""
        super().setUp()
        taking = departure.taking_seconds(GRACE, LONGEST)
        self.kept = departure.list_seconds(taking, MOST)
        self.plan = departure.plan(100, GRACE, self.kept)

    def test_takes_what_ends_before_it(self) -> None:
        """A request is taken whose answer is due before the entry's end."""
        self.assertTrue(self.plan.takes(self.plan.last))
        self.assertFalse(self.plan.takes(self.plan.last + 0.001))
        self.assertLess(self.plan.last, self.plan.end)
        self.assertLess(self.plan.end, 100 + GRACE)

    def test_lists_end_while_all_is_taken(self) -> None:
        """Who keeps a list longest comes while any request is taken."""
        latest = 100 + 3 * self.kept
        self.assertTrue(self.plan.takes(latest + LONGEST))
        self.assertGreaterEqual(self.plan.lists_end, latest)

    def test_ends_as_soon_as_nothing_is_left(self) -> None:
        """It stays while lists name it, and while requests are in progress."""
        lists_end = self.plan.lists_end
        self.assertFalse(self.plan.may_end(lists_end - 0.1, 0))
        self.assertTrue(self.plan.may_end(lists_end, 0))
        self.assertFalse(self.plan.may_end(lists_end, 1))
        self.assertTrue(self.plan.may_end(self.plan.end, 1))

    def test_requests_longer_than_the_grace(self) -> None:
        """Routes that allow more than the grace: nothing is taken at all."""
        taking = departure.taking_seconds(GRACE, 2 * GRACE)
        self.assertEqual(0, taking)
        kept = departure.list_seconds(taking, MOST)
        self.assertGreater(kept, 0)
        plan = departure.plan(100, GRACE, kept)
        self.assertFalse(plan.takes(100 + 2 * GRACE))
        self.assertTrue(plan.takes(100 + 1))

    def test_bounds_of_lists(self) -> None:
        """A list is kept no longer than the platform allows, nor for ever."""
        self.assertEqual(0.2, departure.list_seconds(60, 0.2))
        self.assertLess(departure.list_seconds(60, MOST), 2)

    def test_no_grace(self) -> None:
        """A grace of nothing ends at once, and cuts whatever is there."""
        plan = departure.plan(100, 0, self.kept)
        self.assertTrue(plan.may_end(100, 1))
        self.assertFalse(plan.takes(100.5))

    def test_come_back(self) -> None:
        """At once where another is ready; else when this one may be back."""
        self.assertLess(departure.come_back(1), departure.come_back(0))
