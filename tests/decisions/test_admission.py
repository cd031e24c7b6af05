"""Tests of admission, decision by decision."""

from __future__ import annotations

import testtools

from clementinepass.decisions import admission, reasons, tickets


def _make(
    name: str,
    *,
    team: str = 'east',
    priority_class: tickets.PriorityClass = tickets.PriorityClass.NORMAL,
    deadline: float = 1000,
) -> tickets.Ticket:
    return tickets.Ticket(name, team, priority_class, deadline)


class ControllerTest(testtools.TestCase):
    """Two slots, both of them promised to one team."""

    def setUp(self) -> None:
        super().setUp()
        self.controller = admission.Controller.from_promises(
            {'east': 2, 'west': 0},
            capacity=2,
        )
        self.running = [_make('r0'), _make('r1')]
        for ticket in self.running:
            self.controller.offer(ticket, 0)

    def test_full_endpoints_are_not_asked_again_and_again(self) -> None:
        """After a full fleet, one more request for each that ends.

        A user waits while the entry is busy with nothing but refusals. Other
        entries have filled the endpoints that this one counts on, so each
        waiting request is sent, refused and sent again; the cause is that a
        refusal changes nothing about the next decision.
        """
        self.controller.set_capacity(8)
        late = [_make(f'l{index}') for index in range(6)]
        for ticket in late:
            self.controller.offer(ticket, 0)
        for ticket in late:
            self.controller.requeue(ticket, 0, found_full=True)
        self.assertEqual([], self.controller.poll(0))
        self.controller.release(self.running[0], 1)
        admitted = self.controller.poll(1)
        self.assertEqual(2, len(admitted))

    def test_urgent_displaces_batch(self) -> None:
        """A full queue makes room for an urgent request of the team."""
        batch = tickets.PriorityClass.BATCH
        kinds = [
            self.controller.offer(_make(f'b{i}', priority_class=batch), 0)
            for i in range(5)
        ]
        self.assertEqual(reasons.Refusal.BROWN_OUT, kinds[-1].reason)
        for index in range(4):
            urgent = _make(
                f'u{index}',
                priority_class=tickets.PriorityClass.URGENT,
            )
            self.controller.offer(urgent, 0)
        last = _make('u9', priority_class=tickets.PriorityClass.URGENT)
        decision = self.controller.offer(last, 0)
        self.assertEqual(tickets.DecisionKind.QUEUE, decision.kind)
        displaced = self.controller.poll(0)
        self.assertEqual(
            [('b3', reasons.Refusal.DISPLACED)],
            [(one.ticket.request_id, one.reason) for one in displaced],
        )

    def test_hopeless_is_refused_at_once(self) -> None:
        """A request that can't be answered in time isn't queued."""
        for ticket in self.running:
            self.controller.release(ticket, 10)
        for index in range(4):
            self.controller.offer(_make(f'n{index}'), 10)
        decision = self.controller.offer(_make('late', deadline=15), 10)
        self.assertEqual(reasons.Refusal.DEADLINE, decision.reason)
        self.assertGreater(decision.retry_after, 0)

    def test_waiting_is_shed_in_time(self) -> None:
        """The time to look again is when a request becomes hopeless."""
        self.controller.offer(_make('short', deadline=3), 0)
        wake_at = self.controller.next_expiry()
        self.assertIsNotNone(wake_at)
        self.assertEqual([], self.controller.poll(wake_at - 0.1))
        shed = self.controller.poll(wake_at + 0.1)
        self.assertEqual(
            [reasons.Refusal.DEADLINE],
            [one.reason for one in shed],
        )

    def test_outage_refuses_quickly(self) -> None:
        """Without capacity nothing is queued, and callers come back soon."""
        self.controller.set_capacity(0)
        decision = self.controller.offer(_make('out'), 0)
        self.assertEqual(reasons.Refusal.NO_CAPACITY, decision.reason)
        self.assertLessEqual(decision.retry_after, 4)

    def test_unknown_team(self) -> None:
        """A team without configuration is refused."""
        decision = self.controller.offer(_make('x', team='nobody'), 0)
        self.assertEqual(reasons.Refusal.UNKNOWN_TEAM, decision.reason)
