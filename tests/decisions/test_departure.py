"""Tests of what an entry that leaves takes, and when it ends."""

from __future__ import annotations

import testtools

from clementinepass.decisions import departure

GRACE = 8.0
LONGEST = 6.0
MOST = 5.0
NEVER = float('-inf')


class DepartureTest(testtools.TestCase):
    """Callers' answers were cut off while all entries were replaced in turn.

    A stream came 3.5 s after SIGTERM, by a list that its caller had kept, and
    lasted four seconds; the entry ended after 7.4. Others found no entry at
    all, since each stayed that long with nothing to do.
    """

    def setUp(self) -> None:
        """Begin to leave at second 100."""
        super().setUp()
        self.taking = departure.accepting_seconds(GRACE, (LONGEST, 1))
        self.lists = departure.list_policy(self.taking, MOST)
        self.plan = departure.plan_drain(100, GRACE, self.lists, NEVER)

    def test_takes_what_ends_before_it(self) -> None:
        """A request is taken whose answer is due before the entry's end."""
        self.assertTrue(self.plan.accepts(self.plan.last_answer_at))
        self.assertFalse(self.plan.accepts(self.plan.last_answer_at + 0.001))
        self.assertLess(self.plan.last_answer_at, self.plan.end_at)
        self.assertLess(self.plan.end_at, 100 + GRACE)

    def test_lists_end_while_all_is_taken(self) -> None:
        """Who keeps a list longest comes while any request is taken.

        Also by a list that another told half a second after SIGTERM, as the
        word of it was late.
        """
        latest = 100 + 0.5 + departure.max_kept_seconds(self.lists.ttl_seconds)
        self.assertTrue(self.plan.accepts(latest + LONGEST))

    def test_stays_while_it_is_named(self) -> None:
        """It stays until the last list that names it is given up."""
        named = 100 + max(self.lists.listed_seconds, 0.5)
        kept = departure.max_kept_seconds(self.lists.ttl_seconds)
        self.assertGreaterEqual(self.plan.lists_expire_at, named + kept)
        told = departure.plan_drain(100, GRACE, self.lists, 104.5)
        self.assertGreaterEqual(told.lists_expire_at, 104.5)
        late = departure.plan_drain(100, GRACE, self.lists, 200)
        self.assertEqual(late.last_answer_at, late.lists_expire_at)

    def test_named_while_it_takes(self) -> None:
        """Who keeps a list as told comes while requests are taken."""
        latest = self.lists.listed_seconds + self.lists.ttl_seconds
        self.assertLessEqual(latest, self.taking)

    def test_ends_as_soon_as_nothing_is_left(self) -> None:
        """It stays while lists name it, and while requests are in progress."""
        lists_end = self.plan.lists_expire_at
        self.assertFalse(self.plan.may_end(lists_end - 0.1, 0))
        self.assertTrue(self.plan.may_end(lists_end, 0))
        self.assertFalse(self.plan.may_end(lists_end, 1))
        self.assertTrue(self.plan.may_end(self.plan.end_at, 1))

    def test_requests_longer_than_the_grace(self) -> None:
        """A route that allows more than the grace decides for no other."""
        long = 2 * GRACE
        taking = departure.accepting_seconds(GRACE, (long, LONGEST))
        self.assertEqual(self.taking, taking)
        self.assertEqual(0, departure.accepting_seconds(GRACE, (long,)))
        self.assertFalse(self.plan.accepts(100 + long))

    def test_bounds_of_lists(self) -> None:
        """A list is kept no longer than the platform allows, nor for ever."""
        self.assertEqual(0.2, departure.list_policy(60, 0.2).ttl_seconds)
        self.assertLess(departure.list_policy(60, MOST).ttl_seconds, 2)
        self.assertGreater(departure.list_policy(0, MOST).ttl_seconds, 0)

    def test_long_grace(self) -> None:
        """Five minutes of grace are no reason to be named for minutes."""
        taking = departure.accepting_seconds(300, (LONGEST,))
        lists = departure.list_policy(taking, MOST)
        self.assertLess(lists.listed_seconds, 5)

    def test_no_grace(self) -> None:
        """A grace of nothing ends at once, and cuts whatever is there."""
        plan = departure.plan_drain(100, 0, self.lists, NEVER)
        self.assertTrue(plan.may_end(100, 1))
        self.assertFalse(plan.accepts(100.5))

    def test_come_back(self) -> None:
        """At once where another is ready; else when this one may be back."""
        self.assertLess(departure.retry_after(1), departure.retry_after(0))
