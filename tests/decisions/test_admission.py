"""Tests of single decisions of admission control."""

from __future__ import annotations

import testtools

from clementinepass.decisions import admission, reasons, tickets


def _make_ticket(
    request_id: str,
    *,
    team: str = 'east',
    priority_class: tickets.PriorityClass = tickets.PriorityClass.NORMAL,
    deadline: float = 1000,
) -> tickets.Ticket:
    return tickets.Ticket(request_id, team, priority_class, deadline)


class ControllerTest(testtools.TestCase):
    """Decisions with two slots, both promised to one team and occupied."""

    def setUp(self) -> None:
        super().setUp()
        self.controller = admission.Controller.from_promises(
            {'east': 2, 'west': 0},
            capacity=2,
        )
        self.running = [_make_ticket('r0'), _make_ticket('r1')]
        for ticket in self.running:
            self.controller.offer(ticket, 0)

    def test_refusals_by_full_endpoints_limit_in_flight(self) -> None:
        """After refusals by full endpoints, each finished request admits one.

        Guards against an entry that sends each waiting request to a full
        endpoint over and over. This happens when other entries have filled the
        endpoints and a refusal does not affect the next decision.
        """
        self.controller.set_capacity(8)
        later_tickets = [_make_ticket(f'l{index}') for index in range(6)]
        for ticket in later_tickets:
            self.controller.offer(ticket, 0)
        for ticket in later_tickets:
            self.controller.requeue(ticket, 0, found_full=True)
        self.assertEqual([], self.controller.poll(0))
        self.controller.release(self.running[0], 1)
        admitted = self.controller.poll(1)
        self.assertEqual(2, len(admitted))

    def test_urgent_displaces_batch(self) -> None:
        """An urgent request displaces a batch request from a full queue."""
        batch = tickets.PriorityClass.BATCH
        decisions = [
            self.controller.offer(
                _make_ticket(f'b{i}', priority_class=batch), 0
            )
            for i in range(5)
        ]
        self.assertEqual(reasons.Refusal.BROWN_OUT, decisions[-1].reason)
        for index in range(4):
            urgent = _make_ticket(
                f'u{index}',
                priority_class=tickets.PriorityClass.URGENT,
            )
            self.controller.offer(urgent, 0)
        last = _make_ticket('u9', priority_class=tickets.PriorityClass.URGENT)
        decision = self.controller.offer(last, 0)
        self.assertEqual(tickets.DecisionKind.QUEUE, decision.kind)
        displaced = self.controller.poll(0)
        self.assertEqual(
            [('b3', reasons.Refusal.DISPLACED)],
            [
                (refusal.ticket.request_id, refusal.reason)
                for refusal in displaced
            ],
        )

    def test_unreachable_deadline_is_refused(self) -> None:
        """A request that cannot meet its deadline is refused, not queued."""
        for ticket in self.running:
            self.controller.release(ticket, 10)
        for index in range(4):
            self.controller.offer(_make_ticket(f'n{index}'), 10)
        decision = self.controller.offer(_make_ticket('late', deadline=15), 10)
        self.assertEqual(reasons.Refusal.DEADLINE, decision.reason)
        self.assertGreater(decision.retry_after, 0)

    def test_expired_ticket_is_shed(self) -> None:
        """A ticket is shed when it can no longer meet its deadline."""
        self.controller.offer(_make_ticket('short', deadline=3), 0)
        expiry = self.controller.next_expiry()
        self.assertIsNotNone(expiry)
        self.assertEqual([], self.controller.poll(expiry - 0.1))
        shed = self.controller.poll(expiry + 0.1)
        self.assertEqual(
            [reasons.Refusal.DEADLINE],
            [refusal.reason for refusal in shed],
        )

    def test_no_capacity_refuses(self) -> None:
        """Without capacity requests are refused with a short retry time."""
        self.controller.set_capacity(0)
        decision = self.controller.offer(_make_ticket('out'), 0)
        self.assertEqual(reasons.Refusal.NO_CAPACITY, decision.reason)
        self.assertLessEqual(decision.retry_after, 4)

    def test_slots_of_other_entries_are_no_outage(self) -> None:
        """Requests are queued while other entries occupy all slots."""
        self.controller.set_capacity(0, fair_slots=1)
        decision = self.controller.offer(_make_ticket('later'), 0)
        self.assertEqual(tickets.DecisionKind.QUEUE, decision.kind)
        for ticket in self.running:
            self.controller.release(ticket, 1)
        self.assertEqual([], self.controller.poll(1))
        self.controller.set_capacity(1, fair_slots=1)
        self.assertEqual(
            ['later'],
            [
                admitted.ticket.request_id
                for admitted in self.controller.poll(1)
            ],
        )

    def test_unknown_team(self) -> None:
        """Requests of a team without a promise are refused."""
        decision = self.controller.offer(_make_ticket('x', team='nobody'), 0)
        self.assertEqual(reasons.Refusal.UNKNOWN_TEAM, decision.reason)
