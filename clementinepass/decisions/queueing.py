"""Queues that order the requests waiting for a slot.

:class:`FairQueue` divides the slots among teams when there are too few: teams
below their share are served before the other teams, and within either group
start-time fair queueing serves each team in proportion to its share, no matter
how many requests the other teams send.

:class:`FifoQueue` is the baseline for comparison.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import typing

from clementinepass.decisions import tickets

#: Weight of a team without a promise, so that it is not starved.
_MIN_WEIGHT = 0.01


class Queue(typing.Protocol):
    """Interface of a queue of waiting tickets."""

    def __len__(self) -> int:
        """Return the number of waiting tickets."""

    def set_shares(self, shares_by_team: typing.Mapping[str, float]) -> None:
        """Set the number of slots that is each team's share."""

    def push(self, ticket: tickets.Ticket) -> None:
        """Add a ticket behind those of the same team and class."""

    def push_front(self, ticket: tickets.Ticket) -> None:
        """Put a ticket back before those of the same team and class."""

    def pop(self) -> tickets.Ticket | None:
        """Remove and return the ticket to serve next, if any."""

    def remove(self, ticket: tickets.Ticket) -> None:
        """Remove a waiting ticket."""

    def displace(self, ticket: tickets.Ticket) -> tickets.Ticket | None:
        """Remove the newest ticket of the team's least urgent class.

        :param ticket: ticket that needs the place in its team's queue.
        :returns: the removed ticket; ``None`` if the team has no waiting
            ticket that is less urgent than ``ticket``.
        """

    def record_start(self, team: str) -> None:
        """Record that a request of the team has taken a slot."""

    def record_finish(self, team: str) -> None:
        """Record that a request of the team has left its slot."""

    def waiting_count(self, team: str) -> int:
        """Return the number of the team's waiting tickets."""

    def waiting_cost(
        self,
        team: str,
        least_urgent: tickets.PriorityClass,
    ) -> float:
        """Return the total cost of a team's waiting tickets.

        :param least_urgent: less urgent classes than this are left out.
        """

    def weight_fraction(self, team: str) -> float:
        """Return the team's fraction of the weight of all waiting teams."""


class _TeamQueue:
    """The waiting tickets of one team, by priority class."""

    __slots__ = (
        'cost_by_class',
        'in_flight',
        'is_listed_within_share',
        'share',
        'stamp',
        'start_tag_beyond',
        'start_tag_within',
        'tickets_by_class',
        'waiting_count',
    )

    def __init__(self, share: float) -> None:
        #: Number of slots that is the team's share.
        self.share = share
        self.in_flight = 0
        self.waiting_count = 0
        #: Stamp of the team's only valid heap entry, 0 for none.
        self.stamp = 0
        #: Whether the valid entry is in the heap of the teams within their
        #: share.
        self.is_listed_within_share = False
        #: Virtual start time of the next request within the share.
        self.start_tag_within: float = 0
        #: Virtual start time of the next request beyond the share.
        self.start_tag_beyond: float = 0
        # An ordered dictionary removes any item in constant time.
        self.tickets_by_class: tuple[
            collections.OrderedDict[str, tickets.Ticket], ...
        ] = tuple(collections.OrderedDict() for _ in tickets.PriorityClass)
        self.cost_by_class: list[float] = [0 for _ in tickets.PriorityClass]

    @property
    def is_within_share(self) -> bool:
        """Return whether one more request stays within the team's share."""
        return self.in_flight < self.share

    @property
    def weight(self) -> float:
        """Return the weight for fair queueing among the waiting teams."""
        return max(self.share, _MIN_WEIGHT)

    def add(self, ticket: tickets.Ticket, *, front: bool) -> None:
        """Add a ticket to the queue of its priority class.

        :param front: whether to add it before the others, not behind them.
        """
        class_tickets = self.tickets_by_class[ticket.priority_class]
        class_tickets[ticket.request_id] = ticket
        if front:
            class_tickets.move_to_end(ticket.request_id, last=False)
        self.cost_by_class[ticket.priority_class] += ticket.cost
        self.waiting_count += 1

    def discard(self, ticket: tickets.Ticket) -> None:
        """Remove a ticket from the queue of its priority class."""
        class_tickets = self.tickets_by_class[ticket.priority_class]
        del class_tickets[ticket.request_id]
        self.waiting_count -= 1
        if class_tickets:
            self.cost_by_class[ticket.priority_class] -= ticket.cost
        else:
            # Discards the rounding errors of many subtractions.
            self.cost_by_class[ticket.priority_class] = 0

    def peek(self) -> tickets.Ticket:
        """Return the ticket to serve next; the queue must not be empty."""
        class_tickets = next(filter(None, self.tickets_by_class))
        return next(iter(class_tickets.values()))


class _Tier:
    """State of start-time fair queueing among one group of teams."""

    __slots__ = ('heap', 'virtual_time')

    def __init__(self) -> None:
        #: Entries (virtual start time, stamp, team). An entry whose stamp
        #: differs from its team's is outdated.
        self.heap: list[tuple[float, int, str]] = []
        #: Virtual start time of the request that was served last.
        self.virtual_time: float = 0


class FifoQueue:
    """Baseline: one queue in order of arrival for all teams and classes."""

    __slots__ = ('_tickets_by_id',)

    def __init__(self) -> None:
        self._tickets_by_id: collections.OrderedDict[str, tickets.Ticket] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return len(self._tickets_by_id)

    def set_shares(self, shares_by_team: typing.Mapping[str, float]) -> None:
        """Ignore the shares."""

    def push(self, ticket: tickets.Ticket) -> None:
        """Add a ticket at the end."""
        self._tickets_by_id[ticket.request_id] = ticket

    def push_front(self, ticket: tickets.Ticket) -> None:
        """Put a ticket back at the front."""
        self._tickets_by_id[ticket.request_id] = ticket
        self._tickets_by_id.move_to_end(ticket.request_id, last=False)

    def pop(self) -> tickets.Ticket | None:
        """Remove and return the first ticket."""
        if not self._tickets_by_id:
            return None
        return self._tickets_by_id.popitem(last=False)[1]

    def remove(self, ticket: tickets.Ticket) -> None:
        """Remove a waiting ticket."""
        del self._tickets_by_id[ticket.request_id]

    def displace(  # noqa: WPS324
        self,
        ticket: tickets.Ticket,
    ) -> tickets.Ticket | None:
        """Displace no ticket."""
        # WPS324: mypy requires the protocol's return value to be explicit.
        return None  # noqa: WPS324

    def record_start(self, team: str) -> None:
        """Ignore the start."""

    def record_finish(self, team: str) -> None:
        """Ignore the end."""

    def waiting_count(self, team: str) -> int:
        """Return the number of waiting tickets of all teams."""
        return len(self._tickets_by_id)

    def waiting_cost(
        self,
        team: str,
        least_urgent: tickets.PriorityClass,
    ) -> float:
        """Return the total cost of all waiting tickets."""
        return sum(ticket.cost for ticket in self._tickets_by_id.values())

    def weight_fraction(self, team: str) -> float:
        """Return 1, as all teams share one queue."""
        return 1


class FairQueue:
    """Weighted fair queueing among teams, strict priority within a team.

    Priority classes order the requests of one team only. Otherwise a team that
    marks all its requests as urgent would take the slots promised to others.
    """

    __slots__ = (
        '_waiting_weight',
        '_beyond_tier',
        '_queues_by_team',
        '_stamp_counter',
        '_waiting_count',
        '_within_tier',
    )

    def __init__(self) -> None:
        self._queues_by_team: dict[str, _TeamQueue] = {}
        self._waiting_count = 0
        self._waiting_weight: float = 0
        self._stamp_counter = itertools.count(1)
        #: Teams below their share, which are served first.
        self._within_tier = _Tier()
        #: Teams at or beyond their share, which use the remaining slots.
        self._beyond_tier = _Tier()

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return self._waiting_count

    def set_shares(self, shares_by_team: typing.Mapping[str, float]) -> None:
        """Set the number of slots that is each team's share.

        The share of a team that is not listed becomes 0.
        """
        for team, share in shares_by_team.items():
            self._team_queue(team).share = share
        for team, team_queue in list(self._queues_by_team.items()):
            if team not in shares_by_team:
                team_queue.share = 0
                if not (team_queue.in_flight or team_queue.waiting_count):
                    del self._queues_by_team[team]
        self._relist_waiting_teams()

    def push(self, ticket: tickets.Ticket) -> None:
        """Add a ticket behind those of the same team and class."""
        self._add(ticket, front=False)

    def push_front(self, ticket: tickets.Ticket) -> None:
        """Put a ticket back before those of the same team and class."""
        self._add(ticket, front=True)

    def pop(self) -> tickets.Ticket | None:
        """Remove and return the ticket to serve next, if any."""
        team = self._first_team(self._within_tier)
        tier = self._within_tier
        if team is None:
            team = self._first_team(self._beyond_tier)
            tier = self._beyond_tier
        if team is None:
            return None
        team_queue = self._queues_by_team[team]
        ticket = team_queue.peek()
        self._discard(team_queue, ticket)
        self._charge(tier, team_queue, ticket)
        return ticket

    def remove(self, ticket: tickets.Ticket) -> None:
        """Remove a waiting ticket."""
        self._discard(self._queues_by_team[ticket.team], ticket)

    def displace(self, ticket: tickets.Ticket) -> tickets.Ticket | None:
        """Remove the newest ticket of the team's least urgent class."""
        team_queue = self._team_queue(ticket.team)
        less_urgent = team_queue.tickets_by_class[ticket.priority_class + 1 :]
        class_tickets = next(filter(None, reversed(less_urgent)), None)
        if class_tickets is None:
            return None
        newest = next(reversed(class_tickets.values()))
        self._discard(team_queue, newest)
        return newest

    def record_start(self, team: str) -> None:
        """Record that a request of the team has taken a slot."""
        team_queue = self._team_queue(team)
        team_queue.in_flight += 1
        self._update_tier(team, team_queue)

    def record_finish(self, team: str) -> None:
        """Record that a request of the team has left its slot."""
        team_queue = self._team_queue(team)
        team_queue.in_flight -= 1
        self._update_tier(team, team_queue)

    def waiting_count(self, team: str) -> int:
        """Return the number of the team's waiting tickets."""
        return self._team_queue(team).waiting_count

    def waiting_cost(
        self,
        team: str,
        least_urgent: tickets.PriorityClass,
    ) -> float:
        """Return the total cost of a team's waiting tickets.

        :param least_urgent: less urgent classes than this are left out.
        """
        return sum(self._team_queue(team).cost_by_class[: least_urgent + 1])

    def weight_fraction(self, team: str) -> float:
        """Return the team's fraction of the weight of all waiting teams.

        The team's own weight is counted even if it has no waiting ticket.
        """
        team_queue = self._team_queue(team)
        other_weight = self._waiting_weight
        if team_queue.waiting_count:
            other_weight -= team_queue.weight
        return team_queue.weight / (max(other_weight, 0) + team_queue.weight)

    def _team_queue(self, team: str) -> _TeamQueue:
        team_queue = self._queues_by_team.get(team)
        if team_queue is None:
            team_queue = _TeamQueue(share=0)
            self._queues_by_team[team] = team_queue
        return team_queue

    def _relist_waiting_teams(self) -> None:
        waiting_teams = [
            team
            for team, team_queue in self._queues_by_team.items()
            if team_queue.waiting_count
        ]
        self._waiting_weight = sum(
            self._queues_by_team[team].weight for team in waiting_teams
        )
        for team in waiting_teams:
            self._push_team(team, self._queues_by_team[team])

    def _add(self, ticket: tickets.Ticket, *, front: bool) -> None:
        team_queue = self._team_queue(ticket.team)
        team_queue.add(ticket, front=front)
        self._waiting_count += 1
        if team_queue.waiting_count == 1:
            self._waiting_weight += team_queue.weight
            # A team that was idle starts at the present virtual time, as it
            # would otherwise have gained credit while it was idle.
            team_queue.start_tag_within = max(
                team_queue.start_tag_within, self._within_tier.virtual_time
            )
            team_queue.start_tag_beyond = max(
                team_queue.start_tag_beyond, self._beyond_tier.virtual_time
            )
            self._push_team(ticket.team, team_queue)

    def _discard(self, team_queue: _TeamQueue, ticket: tickets.Ticket) -> None:
        team_queue.discard(ticket)
        self._waiting_count -= 1
        if team_queue.waiting_count:
            return
        team_queue.stamp = 0
        self._waiting_weight -= team_queue.weight
        if not self._waiting_count:
            # Discards the rounding errors of many subtractions.
            self._waiting_weight = 0

    def _charge(
        self,
        tier: _Tier,
        team_queue: _TeamQueue,
        ticket: tickets.Ticket,
    ) -> None:
        tag_step = ticket.cost / team_queue.weight
        if tier is self._within_tier:
            tier.virtual_time = team_queue.start_tag_within
            team_queue.start_tag_within += tag_step
        else:
            tier.virtual_time = team_queue.start_tag_beyond
            team_queue.start_tag_beyond += tag_step
        if team_queue.waiting_count:
            self._push_team(ticket.team, team_queue)

    def _update_tier(self, team: str, team_queue: _TeamQueue) -> None:
        if (
            team_queue.waiting_count
            and team_queue.is_listed_within_share != team_queue.is_within_share
        ):
            self._push_team(team, team_queue)

    def _push_team(self, team: str, team_queue: _TeamQueue) -> None:
        team_queue.stamp = next(self._stamp_counter)
        team_queue.is_listed_within_share = team_queue.is_within_share
        if team_queue.is_listed_within_share:
            tier, tag = self._within_tier, team_queue.start_tag_within
        else:
            tier, tag = self._beyond_tier, team_queue.start_tag_beyond
        heapq.heappush(tier.heap, (tag, team_queue.stamp, team))

    def _first_team(self, tier: _Tier) -> str | None:
        heap = tier.heap
        while heap:
            _, stamp, team = heap[0]
            team_queue = self._queues_by_team.get(team)
            if team_queue is not None and team_queue.stamp == stamp:
                return team
            heapq.heappop(heap)
        return None
