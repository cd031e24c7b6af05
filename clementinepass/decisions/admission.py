"""Admission control: admit, queue or refuse requests.

:class:`Controller` keeps each team's promise, the number of slots guaranteed
to it, when demand is several times the capacity. A team within its promise is
served as if it were alone, the other teams share the remaining slots, and a
request that cannot be answered before its deadline is refused before it
consumes any resources.

:class:`FifoController` is the baseline for comparison: one unbounded queue in
order of arrival, and no request is refused.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import math
import typing

from clementinepass.decisions import (
    queueing,
    reasons,
    service_time,
    tickets,
)

if typing.TYPE_CHECKING:
    import random

#: The expiry heap is rebuilt without its outdated entries when these exceed the
#: number of waiting tickets by more than this.
_MAX_OUTDATED_ENTRIES = 1000


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Limits of admission control."""

    #: Requests that a team may have queued for each of its slots. Four keep
    #: the slots busy through a gap in arrivals. A longer queue only adds
    #: latency: a caller has usually given up on a request that waits for more
    #: than four service times.
    waiting_per_slot: float = 4
    #: Queue length that every team may use, however small its share.
    #: Otherwise a team with a small share would be refused when it sends two
    #: requests at the same instant.
    min_waiting: int = 8
    #: Fraction of the team's queue that each priority class may fill. As the
    #: queue fills up, batch requests are refused first and normal ones next
    #: (a brown-out), which keeps space for urgent requests.
    queue_fraction_by_class: tuple[float, float, float] = (1, 0.8, 0.4)
    #: Minimum seconds before a refused caller retries. Earlier retries add
    #: load without a better chance of success.
    min_retry_after: float = 0.5
    #: Maximum seconds before a refused caller retries. After an outage the
    #: capacity stays idle until callers retry, and recovery is promised
    #: within 5 s.
    max_retry_after: float = 4


class Admission(typing.Protocol):
    """Interface of admission control for one target."""

    def offer(
        self,
        ticket: tickets.Ticket,
        now: float,
    ) -> tickets.Decision:
        """Decide about a request that has just arrived."""

    def poll(self, now: float) -> list[tickets.Decision]:
        """Return the decisions about tickets that stop waiting now."""

    def release(
        self,
        ticket: tickets.Ticket,
        now: float,
        *,
        succeeded: bool = True,
    ) -> None:
        """Free the slot of an admitted request."""

    def requeue(
        self,
        ticket: tickets.Ticket,
        now: float,
        *,
        found_full: bool = False,
    ) -> None:
        """Put an admitted request back at the front of its queue."""

    def set_capacity(self, capacity: int) -> None:
        """Set the number of slots."""


class FifoController:
    """Baseline: an unbounded queue in order of arrival."""

    __slots__ = ('_capacity', '_in_flight', '_waiting')

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._in_flight = 0
        self._waiting: collections.deque[tickets.Ticket] = collections.deque()

    def offer(
        self,
        ticket: tickets.Ticket,
        now: float,
    ) -> tickets.Decision:
        """Admit the request if a slot is free, otherwise queue it."""
        if self._in_flight < self._capacity:
            self._in_flight += 1
            return tickets.Decision(ticket, tickets.DecisionKind.ADMIT)
        self._waiting.append(ticket)
        return tickets.Decision(ticket, tickets.DecisionKind.QUEUE)

    def poll(self, now: float) -> list[tickets.Decision]:
        """Admit the oldest queued requests while slots are free."""
        decisions = []
        while self._waiting and self._in_flight < self._capacity:
            self._in_flight += 1
            ticket = self._waiting.popleft()
            decisions.append(
                tickets.Decision(ticket, tickets.DecisionKind.ADMIT)
            )
        return decisions

    def release(
        self,
        ticket: tickets.Ticket,
        now: float,
        *,
        succeeded: bool = True,
    ) -> None:
        """Free the slot of an admitted request."""
        self._in_flight -= 1

    def requeue(
        self,
        ticket: tickets.Ticket,
        now: float,
        *,
        found_full: bool = False,
    ) -> None:
        """Free the slot and put the request at the front of the queue."""
        self._in_flight -= 1
        self._waiting.appendleft(ticket)

    def set_capacity(self, capacity: int) -> None:
        """Set the number of slots."""
        self._capacity = capacity


class Controller:
    """Admission control with promises, bounded queues and load shedding.

    The owner calls :meth:`poll` after each :meth:`release`, after each change
    of capacity or promises, and at the time that :meth:`next_expiry` returns.
    """

    __slots__ = (
        '_capacity',
        '_in_flight_limit',
        '_displaced_tickets',
        '_expected_slots',
        '_expiry_heap',
        '_limits',
        '_queue',
        '_rng',
        '_share_scale',
        '_service_time',
        '_shares_by_team',
        '_started_at_by_id',
        '_waiting_by_id',
    )

    def __init__(
        self,
        queue: queueing.Queue,
        *,
        limits: Limits,
        rng: random.Random | None = None,
    ) -> None:
        self._queue = queue
        self._limits = limits
        self._rng = rng
        self._capacity = 0
        #: Slots through which the queue is expected to drain.
        self._expected_slots = 0
        #: Maximum number of requests in flight after an endpoint was found
        #: full; infinite otherwise.
        self._in_flight_limit = math.inf
        #: Fraction of the promised slots that the capacity covers, 0 to 1.
        self._share_scale = 1.0
        self._shares_by_team: dict[str, float] = {}
        self._service_time = service_time.ServiceTime()
        self._started_at_by_id: dict[str, float] = {}
        self._waiting_by_id: dict[str, tickets.Ticket] = {}
        #: Heap of (latest useful start, request id) of the waiting tickets.
        #: Entries of tickets that no longer wait are removed lazily.
        self._expiry_heap: list[tuple[float, str]] = []
        self._displaced_tickets: list[tickets.Ticket] = []

    @classmethod
    def from_promises(
        cls,
        promises_by_team: typing.Mapping[str, float],
        *,
        capacity: int,
        limits: Limits | None = None,
        rng: random.Random | None = None,
    ) -> Controller:
        """Create a controller with fair queueing.

        :param promises_by_team: slots guaranteed to each team at this entry.
        :param capacity: slots that this controller may fill.
        :param limits: limits of admission control; the defaults if omitted.
        :param rng: adds jitter to ``retry_after``, so that callers refused at
            the same instant do not retry at the same instant.
        """
        controller = cls(
            queueing.FairQueue(),
            limits=limits or Limits(),
            rng=rng,
        )
        controller.set_promises(promises_by_team)
        controller.set_capacity(capacity)
        return controller

    @property
    def in_flight(self) -> int:
        """Return the number of occupied slots."""
        return len(self._started_at_by_id)

    @property
    def waiting_count(self) -> int:
        """Return the number of queued tickets."""
        return len(self._waiting_by_id)

    def set_promises(
        self,
        promises_by_team: typing.Mapping[str, float],
    ) -> None:
        """Set the slots guaranteed to each team at this entry."""
        self._shares_by_team = dict(promises_by_team)
        self._rescale_shares()

    def set_capacity(self, capacity: int, fair_slots: int = 0) -> None:
        """Set the number of slots; running requests are not affected.

        :param capacity: slots that this controller may fill now.
        :param fair_slots: slots that it will be able to fill once requests of
            other entries have ended, while there are none now; 0 if no endpoint
            serves.
        """
        expected_slots = capacity or fair_slots
        if (capacity, expected_slots) != (self._capacity, self._expected_slots):
            self._capacity = capacity
            self._expected_slots = expected_slots
            self._rescale_shares()

    def offer(
        self,
        ticket: tickets.Ticket,
        now: float,
    ) -> tickets.Decision:
        """Decide about a request that has just arrived."""
        refusal = self._immediate_refusal(ticket, now)
        if refusal is not None:
            return self._refuse(ticket, refusal)
        if not self._waiting_by_id and self._has_free_slot():
            return self._admit(ticket, now)
        return self._enqueue(ticket)

    def poll(self, now: float) -> list[tickets.Decision]:
        """Return the decisions about tickets that stop waiting now."""
        decisions = [
            self._refuse(ticket, reasons.Refusal.DISPLACED)
            for ticket in self._displaced_tickets
        ]
        self._displaced_tickets.clear()
        decisions.extend(self._shed_expired(now))
        while self._waiting_by_id and self._has_free_slot():
            decisions.append(self._decide_next(now))
        return decisions

    def next_expiry(self) -> float | None:
        """Return when the next waiting ticket expires, if any."""
        while self._expiry_heap:
            latest_start, request_id = self._expiry_heap[0]
            if request_id in self._waiting_by_id:
                return latest_start
            heapq.heappop(self._expiry_heap)
        return None

    def release(
        self,
        ticket: tickets.Ticket,
        now: float,
        *,
        succeeded: bool = True,
    ) -> None:
        """Free the slot of an admitted request.

        :param succeeded: false if the attempt failed. Its duration is then
            left out of the service time: connections that are refused after a
            millisecond would make the queue look fast during an outage.
        """
        started_at = self._started_at_by_id.pop(ticket.request_id)
        self._queue.record_finish(ticket.team)
        self._in_flight_limit += 1
        if self._in_flight_limit > self._capacity:
            self._in_flight_limit = math.inf
        if succeeded:
            self._service_time.observe(now - started_at, ticket.cost)

    def requeue(
        self,
        ticket: tickets.Ticket,
        now: float,
        *,
        found_full: bool = False,
    ) -> None:
        """Put an admitted ticket back at the front of its team's queue.

        Used for a request that is retried, or that the admission gate of an
        endpoint refused without running it. The limit of the queue length is
        not applied again, as the ticket has passed it before.

        :param found_full: whether the gate refused the request because all
            slots of the endpoint were occupied.
        """
        del self._started_at_by_id[ticket.request_id]
        self._queue.record_finish(ticket.team)
        self._queue.push_front(ticket)
        self._track_waiting(ticket)
        if found_full:
            # All entries see the same free slots, so each of them would keep
            # sending requests to endpoints that are already full. Limiting
            # the requests in flight to the present number, plus one for each
            # request that finishes, causes at most one refusal by a gate for
            # each finished request.
            self._in_flight_limit = max(self.in_flight, 1)

    def withdraw(self, ticket: tickets.Ticket) -> None:
        """Remove a waiting ticket whose caller has disconnected.

        A ticket that has already been displaced is still returned by
        :meth:`poll`.
        """
        if self._waiting_by_id.pop(ticket.request_id, None) is not None:
            self._queue.remove(ticket)

    def _has_free_slot(self) -> bool:
        return self.in_flight < min(self._capacity, self._in_flight_limit)

    def _rescale_shares(self) -> None:
        # When endpoints are lost, the promises can exceed the remaining
        # capacity. Teams below their share are served first, so with unscaled
        # shares some teams would starve the others. All shares are therefore
        # reduced by the same factor.
        total_shares = sum(self._shares_by_team.values())
        self._share_scale = (
            min(1, self._expected_slots / total_shares) if total_shares else 1
        )
        self._queue.set_shares(
            {
                team: share * self._share_scale
                for team, share in self._shares_by_team.items()
            },
        )

    def _immediate_refusal(
        self,
        ticket: tickets.Ticket,
        now: float,
    ) -> reasons.Refusal | None:
        if ticket.team not in self._shares_by_team:
            return reasons.Refusal.UNKNOWN_TEAM
        if not self._expected_slots:
            # Requests queued during a full outage would all start together
            # when it ends, most of them too late to be of use. Endpoints that
            # are busy with the requests of other entries are no outage.
            return reasons.Refusal.NO_CAPACITY
        if not self._can_meet_deadline(
            ticket, now + self._expected_wait(ticket)
        ):
            return reasons.Refusal.DEADLINE
        return None

    def _enqueue(self, ticket: tickets.Ticket) -> tickets.Decision:
        waiting_limit = self._waiting_limit(ticket.team)
        waiting = self._queue.waiting_count(ticket.team)
        queue_fraction = self._limits.queue_fraction_by_class[
            ticket.priority_class
        ]
        if waiting >= waiting_limit:
            # The team's queue is full. Without displacement an urgent request
            # would be refused while less urgent ones stay in the queue.
            displaced = self._queue.displace(ticket)
            if displaced is None:
                return self._refuse(ticket, reasons.Refusal.QUEUE_FULL)
            del self._waiting_by_id[displaced.request_id]
            self._displaced_tickets.append(displaced)
        elif waiting >= waiting_limit * queue_fraction:
            return self._refuse(ticket, reasons.Refusal.BROWN_OUT)
        self._queue.push(ticket)
        self._track_waiting(ticket)
        return tickets.Decision(ticket, tickets.DecisionKind.QUEUE)

    def _waiting_limit(self, team: str) -> int:
        share = self._shares_by_team[team] * self._share_scale
        slots = max(
            share, self._expected_slots * self._queue.weight_fraction(team)
        )
        return max(
            int(slots * self._limits.waiting_per_slot),
            self._limits.min_waiting,
        )

    def _expected_wait(self, ticket: tickets.Ticket) -> float:
        if self._has_free_slot() and not self._waiting_by_id:
            return 0
        # By Little's law the team's slots drain its queue at a rate of
        # slots / (seconds per unit of cost).
        cost_ahead = self._queue.waiting_cost(
            ticket.team, ticket.priority_class
        )
        slots = max(
            self._shares_by_team.get(ticket.team, 0) * self._share_scale,
            self._expected_slots * self._queue.weight_fraction(ticket.team),
        )
        return cost_ahead * self._service_time.mean / slots if slots else 0

    def _can_meet_deadline(self, ticket: tickets.Ticket, start: float) -> bool:
        return start <= self._latest_start(ticket)

    def _latest_start(self, ticket: tickets.Ticket) -> float:
        # Under overload a request that starts too late takes a slot from a
        # request that could still be answered, so the estimate is conservative
        # while tickets wait. With free slots a late request displaces no other
        # one, and the mean is sufficient.
        if self._waiting_by_id:
            seconds_per_unit = self._service_time.conservative
        else:
            seconds_per_unit = self._service_time.mean
        return ticket.deadline - ticket.cost * seconds_per_unit

    def _track_waiting(self, ticket: tickets.Ticket) -> None:
        self._waiting_by_id[ticket.request_id] = ticket
        heap_entry = (self._latest_start(ticket), ticket.request_id)
        heapq.heappush(self._expiry_heap, heap_entry)
        if (
            len(self._expiry_heap)
            > 2 * self.waiting_count + _MAX_OUTDATED_ENTRIES
        ):
            self._expiry_heap = [
                heap_entry
                for heap_entry in self._expiry_heap
                if heap_entry[1] in self._waiting_by_id
            ]
            heapq.heapify(self._expiry_heap)

    def _shed_expired(self, now: float) -> list[tickets.Decision]:
        shed = []
        while self._expiry_heap and self._expiry_heap[0][0] < now:
            _, request_id = heapq.heappop(self._expiry_heap)
            ticket = self._waiting_by_id.pop(request_id, None)
            if ticket is not None:
                self._queue.remove(ticket)
                shed.append(self._refuse(ticket, reasons.Refusal.DEADLINE))
        return shed

    def _decide_next(self, now: float) -> tickets.Decision:
        ticket = self._queue.pop()
        if ticket is None:
            raise RuntimeError(
                'the queue is empty, but tickets are indexed as waiting'
            )
        can_meet_deadline = self._can_meet_deadline(ticket, now)
        del self._waiting_by_id[ticket.request_id]
        if can_meet_deadline:
            return self._admit(ticket, now)
        return self._refuse(ticket, reasons.Refusal.DEADLINE)

    def _admit(self, ticket: tickets.Ticket, now: float) -> tickets.Decision:
        self._started_at_by_id[ticket.request_id] = now
        self._queue.record_start(ticket.team)
        return tickets.Decision(ticket, tickets.DecisionKind.ADMIT)

    def _refuse(
        self,
        ticket: tickets.Ticket,
        reason: reasons.Refusal,
    ) -> tickets.Decision:
        return tickets.Decision(
            ticket,
            tickets.DecisionKind.REFUSE,
            reason,
            self._retry_after(ticket, reason),
        )

    def _retry_after(
        self,
        ticket: tickets.Ticket,
        reason: reasons.Refusal,
    ) -> float:
        if reason is reasons.Refusal.UNKNOWN_TEAM:
            return 0
        if self._expected_slots:
            wait = self._expected_wait(ticket)
        else:
            wait = self._limits.max_retry_after
        wait = max(wait, self._limits.min_retry_after)
        wait = min(wait, self._limits.max_retry_after)
        if self._rng is None:
            return wait
        return wait * self._rng.uniform(0.5, 1)
