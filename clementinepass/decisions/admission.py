"""Admit, queue or refuse requests so that promises hold under overload.

:class:`FirstComeController` is the baseline: one unbounded line, nothing is
refused. :class:`Controller` is made for demand of several times the capacity:
a team within its promise is served as if it were alone, everybody else shares
what is left, and what can't be answered in time is refused before it costs
anything.
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

#: Outdated entries of the deadline heap are kept up to this many.
_MAX_OUTDATED_ENTRIES = 1000


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """The bounds of admission; the defaults carry their reasons."""

    #: Waiting requests for each slot that a team has. Four keep the slots
    #: busy through a gap in arrivals; more would only lengthen the wait,
    #: since a request that waits longer than four services is seldom wanted.
    waiting_per_slot: float = 4
    #: A team may always have so many waiting, however small its share, or
    #: two calls at the same instant would already be refused.
    min_waiting: int = 8
    #: The part of the queue that is open to each class. In a brown-out the
    #: batch class is refused first and normal work next, so that an urgent
    #: request still finds room when it matters most.
    queue_fraction_by_class: tuple[float, float, float] = (1, 0.8, 0.4)
    #: Asking again sooner than this only costs work.
    min_retry_after: float = 0.5
    #: Longer would leave capacity idle once an outage ends, since callers
    #: come back only then: recovery is promised within 5 s.
    max_retry_after: float = 4


class Admission(typing.Protocol):
    """Decide which requests run, and when."""

    def offer(
        self,
        ticket: tickets.Ticket,
        now: float,
    ) -> tickets.Decision:
        """Decide about a request that has just arrived."""

    def poll(self, now: float) -> list[tickets.Decision]:
        """Return decisions about tickets that waited and now do not."""

    def release(
        self,
        ticket: tickets.Ticket,
        now: float,
        *,
        succeeded: bool = True,
    ) -> None:
        """Note that an admitted request left its slot."""

    def requeue(
        self,
        ticket: tickets.Ticket,
        now: float,
        *,
        found_full: bool = False,
    ) -> None:
        """Let an admitted request wait again, before all others."""

    def set_capacity(self, capacity: int) -> None:
        """Set the number of slots."""


class FifoController:
    """The baseline: first come, first served, without bound."""

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
        """Admit the request if a slot is free; else let it wait."""
        if self._in_flight < self._capacity:
            self._in_flight += 1
            return tickets.Decision(ticket, tickets.DecisionKind.ADMIT)
        self._waiting.append(ticket)
        return tickets.Decision(ticket, tickets.DecisionKind.QUEUE)

    def poll(self, now: float) -> list[tickets.Decision]:
        """Admit as many as there are free slots, oldest first."""
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
        """Free the slot."""
        self._in_flight -= 1

    def requeue(
        self,
        ticket: tickets.Ticket,
        now: float,
        *,
        found_full: bool = False,
    ) -> None:
        """Put the request at the front of the line."""
        self._in_flight -= 1
        self._waiting.appendleft(ticket)

    def set_capacity(self, capacity: int) -> None:
        """Set the number of slots."""
        self._capacity = capacity


class Controller:
    """Admission with promises, bounded queues and shedding by deadline.

    The caller asks :meth:`next` after each :meth:`finished`, after each
    change of capacity or shares, and at :meth:`wake_at`.
    """

    __slots__ = (
        '_capacity',
        '_in_flight_limit',
        '_displaced_tickets',
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
        #: Requests that may run since endpoints were last found full.
        self._in_flight_limit = math.inf
        #: Part of the shares that the capacity covers, 0 to 1.
        self._share_scale = 1.0
        self._shares_by_team: dict[str, float] = {}
        self._service_time = service_time.ServiceTime()
        self._started_at_by_id: dict[str, float] = {}
        self._waiting_by_id: dict[str, tickets.Ticket] = {}
        #: Heap of the latest useful start and the id of waiting tickets.
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

        :param promises_by_team: slots that are each team's own here.
        :param capacity: slots that this controller may fill.
        :param rng: spreads ``retry_after``, so that callers refused at the
            same instant don't come back at the same instant.
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
        """Return the number of slots taken."""
        return len(self._started_at_by_id)

    @property
    def waiting_count(self) -> int:
        """Return the number of tickets that wait."""
        return len(self._waiting_by_id)

    def set_promises(
        self,
        promises_by_team: typing.Mapping[str, float],
    ) -> None:
        """Set the slots that are each team's own here."""
        self._shares_by_team = dict(promises_by_team)
        self._rescale_shares()

    def set_capacity(self, capacity: int) -> None:
        """Set the number of slots; running requests are left alone."""
        if capacity != self._capacity:
            self._capacity = capacity
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
        """Return decisions about tickets that waited and now do not."""
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
        """Return when :meth:`next` will have a request to shed, if ever."""
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
        """Note that an admitted request left its slot.

        :param succeeded: false where the endpoint failed early: a refused
            connection after a millisecond says nothing about the time that
            work takes, and would make the queue look fast in an outage.
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

        For a dispatch that an endpoint's gate refused as not run, or that is
        to be retried. The queue's bound is not applied again: the ticket was
        let in before.

        :param found_full: whether the gate refused it for lack of a slot.
        """
        del self._started_at_by_id[ticket.request_id]
        self._queue.record_finish(ticket.team)
        self._queue.push_front(ticket)
        self._track_waiting(ticket)
        if found_full:
            # Load: entries count on the same free slots. Harm: each would
            # knock at full endpoints over and over. So no more than what
            # runs now; each end then allows one more, which makes at most
            # one refusal for each request that ends.
            self._in_flight_limit = max(self.in_flight, 1)

    def withdraw(self, ticket: tickets.Ticket) -> None:
        """Drop a waiting ticket whose caller has gone away.

        One that was displaced meanwhile is still returned by :meth:`next`.
        """
        if self._waiting_by_id.pop(ticket.request_id, None) is not None:
            self._queue.remove(ticket)

    def _has_free_slot(self) -> bool:
        return self.in_flight < min(self._capacity, self._in_flight_limit)

    def _rescale_shares(self) -> None:
        # Load: endpoints are lost and the promises add up to more than what
        # is left. Harm: teams below their full share would go first and
        # shut the others out. All shares shrink by the same factor instead.
        total_shares = sum(self._shares_by_team.values())
        self._share_scale = (
            min(1, self._capacity / total_shares) if total_shares else 1
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
        if not self._capacity:
            # Load: full outage. Harm: requests that pile up are all started
            # together when it ends, most of them too late to matter.
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
            # Load: the team sends more than its queue holds. Harm: an urgent
            # request would be refused while batch work waits before it.
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
        slots = max(share, self._capacity * self._queue.weight_fraction(team))
        return max(
            int(slots * self._limits.waiting_per_slot),
            self._limits.min_waiting,
        )

    def _expected_wait(self, ticket: tickets.Ticket) -> float:
        if self._has_free_slot() and not self._waiting_by_id:
            return 0
        # By Little's law the team's part of the slots drains its queue at
        # slots / seconds-for-a-unit units of cost a second.
        cost_ahead = self._queue.waiting_cost(
            ticket.team, ticket.priority_class
        )
        slots = max(
            self._shares_by_team.get(ticket.team, 0) * self._share_scale,
            self._capacity * self._queue.weight_fraction(ticket.team),
        )
        return cost_ahead * self._service_time.mean / slots if slots else 0

    def _can_meet_deadline(self, ticket: tickets.Ticket, start: float) -> bool:
        return start <= self._latest_start(ticket)

    def _latest_start(self, ticket: tickets.Ticket) -> float:
        # Load: more work than slots. Harm: a request that starts too late
        # takes a slot from one that could still be answered. While others
        # wait the estimate is cautious; with slots to spare, trying costs
        # nobody anything and the mean will do.
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
            raise RuntimeError('queue and index of waiting tickets differ')
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
        if self._capacity:
            wait = self._expected_wait(ticket)
        else:
            wait = self._limits.max_retry_after
        wait = max(wait, self._limits.min_retry_after)
        wait = min(wait, self._limits.max_retry_after)
        if self._rng is None:
            return wait
        return wait * self._rng.uniform(0.5, 1)
