"""Order the requests that wait for a slot.

:class:`FirstComeQueue` is the baseline. :class:`FairQueue` is made for the
moment when the slots don't suffice: teams below their share are served before
all others, and within either group start-time fair queueing gives each team
service in proportion to its share, however much the others send.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import typing

from clementinepass.decisions import tickets

#: A team with nothing promised still moves, at this weight.
_MIN_WEIGHT = 0.01


class Queue(typing.Protocol):
    """Hold waiting tickets and tell which goes next."""

    def __len__(self) -> int:
        """Return the number of tickets that wait."""

    def set_shares(self, shares_by_team: typing.Mapping[str, float]) -> None:
        """Set the slots that are each team's own."""

    def push(self, ticket: tickets.Ticket) -> None:
        """Add a ticket behind the others of its team and class."""

    def push_front(self, ticket: tickets.Ticket) -> None:
        """Put a ticket back before the others of its team and class."""

    def pop(self) -> tickets.Ticket | None:
        """Remove and return the ticket that goes next."""

    def remove(self, ticket: tickets.Ticket) -> None:
        """Remove a ticket that waits."""

    def displace(self, ticket: tickets.Ticket) -> tickets.Ticket | None:
        """Remove the newest, least urgent ticket of the same team.

        Only one less urgent than ``ticket`` is removed.
        """

    def record_start(self, team: str) -> None:
        """Note that a request of the team took a slot."""

    def record_finish(self, team: str) -> None:
        """Note that a request of the team left its slot."""

    def waiting_count(self, team: str) -> int:
        """Return the number of the team's tickets that wait."""

    def waiting_cost(
        self,
        team: str,
        least_urgent: tickets.PriorityClass,
    ) -> float:
        """Return the waiting cost of a team, down to a class."""

    def weight_fraction(self, team: str) -> float:
        """Return the team's part, 0 to 1, among the teams that wait."""


class _TeamQueue:
    """The waiting tickets of one team, by class."""

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
        #: Slots that are the team's own.
        self.share = share
        self.in_flight = 0
        self.waiting_count = 0
        #: Stamp of the one valid heap entry, 0 for none.
        self.stamp = 0
        #: Which heap holds the valid entry while the team waits.
        self.is_listed_within_share = False
        #: Virtual start of the next request below the share.
        self.start_tag_within: float = 0
        #: Virtual start of the next request beyond the share.
        self.start_tag_beyond: float = 0
        # Ordered dictionaries remove from the middle in constant time.
        self.tickets_by_class: tuple[
            collections.OrderedDict[str, tickets.Ticket], ...
        ] = tuple(collections.OrderedDict() for _ in tickets.PriorityClass)
        self.cost_by_class: list[float] = [0 for _ in tickets.PriorityClass]

    @property
    def is_within_share(self) -> bool:
        """Tell whether one more request stays within the team's share."""
        return self.in_flight < self.share

    @property
    def weight(self) -> float:
        """Return the weight among the teams that wait."""
        return max(self.share, _MIN_WEIGHT)

    def add(self, ticket: tickets.Ticket, *, front: bool) -> None:
        """Add a ticket to its class."""
        class_tickets = self.tickets_by_class[ticket.priority_class]
        class_tickets[ticket.request_id] = ticket
        if front:
            class_tickets.move_to_end(ticket.request_id, last=False)
        self.cost_by_class[ticket.priority_class] += ticket.cost
        self.waiting_count += 1

    def discard(self, ticket: tickets.Ticket) -> None:
        """Remove a ticket from its class."""
        class_tickets = self.tickets_by_class[ticket.priority_class]
        del class_tickets[ticket.request_id]
        self.waiting_count -= 1
        if class_tickets:
            self.cost_by_class[ticket.priority_class] -= ticket.cost
        else:
            # Sets the sum right again after many float subtractions.
            self.cost_by_class[ticket.priority_class] = 0

    def peek(self) -> tickets.Ticket:
        """Return the ticket that goes first; there must be one."""
        class_tickets = next(filter(None, self.tickets_by_class))
        return next(iter(class_tickets.values()))


class _Tier:
    """Start-time fair queueing among the teams in one group."""

    __slots__ = ('heap', 'virtual_time')

    def __init__(self) -> None:
        #: Entries of virtual start, stamp and team; some are outdated.
        self.heap: list[tuple[float, int, str]] = []
        #: The virtual start of the request that was served last.
        self.virtual_time: float = 0


class FifoQueue:
    """The baseline: one line for all teams and classes."""

    __slots__ = ('_tickets_by_id',)

    def __init__(self) -> None:
        self._tickets_by_id: collections.OrderedDict[str, tickets.Ticket] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of tickets that wait."""
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
        """Remove and return the oldest ticket."""
        if not self._tickets_by_id:
            return None
        return self._tickets_by_id.popitem(last=False)[1]

    def remove(self, ticket: tickets.Ticket) -> None:
        """Remove a ticket that waits."""
        del self._tickets_by_id[ticket.request_id]

    def displace(  # noqa: WPS324
        self,
        ticket: tickets.Ticket,
    ) -> tickets.Ticket | None:
        """Displace nothing."""
        # WPS324: mypy wants the protocol's empty answer written out.
        return None  # noqa: WPS324

    def record_start(self, team: str) -> None:
        """Ignore the start."""

    def record_finish(self, team: str) -> None:
        """Ignore the end."""

    def waiting_count(self, team: str) -> int:
        """Return the number of all tickets that wait."""
        return len(self._tickets_by_id)

    def waiting_cost(
        self,
        team: str,
        least_urgent: tickets.PriorityClass,
    ) -> float:
        """Return the waiting cost of all teams."""
        return sum(ticket.cost for ticket in self._tickets_by_id.values())

    def weight_fraction(self, team: str) -> float:
        """Return 1: there is only one line."""
        return 1


class FairQueue:
    """Weighted fair queueing over teams, by class within a team.

    Classes order the work of one team only: otherwise a team that marks all
    its work as urgent would take the slots promised to another.
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
        #: Teams below their share; they go first.
        self._within_tier = _Tier()
        #: Teams that borrow what nobody below the share wants.
        self._beyond_tier = _Tier()

    def __len__(self) -> int:
        """Return the number of tickets that wait."""
        return self._waiting_count

    def set_shares(self, shares_by_team: typing.Mapping[str, float]) -> None:
        """Set the slots that are each team's own; absent teams get none."""
        for team, share in shares_by_team.items():
            self._team_queue(team).share = share
        for team, team_queue in list(self._queues_by_team.items()):
            if team not in shares_by_team:
                team_queue.share = 0
                if not (team_queue.in_flight or team_queue.waiting_count):
                    del self._queues_by_team[team]
        self._relist_waiting_teams()

    def push(self, ticket: tickets.Ticket) -> None:
        """Add a ticket behind the others of its team and class."""
        self._add(ticket, front=False)

    def push_front(self, ticket: tickets.Ticket) -> None:
        """Put a ticket back before the others of its team and class."""
        self._add(ticket, front=True)

    def pop(self) -> tickets.Ticket | None:
        """Remove and return the ticket that goes next."""
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
        """Remove a ticket that waits."""
        self._discard(self._queues_by_team[ticket.team], ticket)

    def displace(self, ticket: tickets.Ticket) -> tickets.Ticket | None:
        """Remove the newest, least urgent ticket of the same team."""
        team_queue = self._team_queue(ticket.team)
        less_urgent = team_queue.tickets_by_class[ticket.priority_class + 1 :]
        class_tickets = next(filter(None, reversed(less_urgent)), None)
        if class_tickets is None:
            return None
        newest = next(reversed(class_tickets.values()))
        self._discard(team_queue, newest)
        return newest

    def record_start(self, team: str) -> None:
        """Note that a request of the team took a slot."""
        team_queue = self._team_queue(team)
        team_queue.in_flight += 1
        self._update_tier(team, team_queue)

    def record_finish(self, team: str) -> None:
        """Note that a request of the team left its slot."""
        team_queue = self._team_queue(team)
        team_queue.in_flight -= 1
        self._update_tier(team, team_queue)

    def waiting_count(self, team: str) -> int:
        """Return the number of the team's tickets that wait."""
        return self._team_queue(team).waiting_count

    def waiting_cost(
        self,
        team: str,
        least_urgent: tickets.PriorityClass,
    ) -> float:
        """Return the waiting cost of a team, down to a class."""
        return sum(self._team_queue(team).cost_by_class[: least_urgent + 1])

    def weight_fraction(self, team: str) -> float:
        """Return the team's part, 0 to 1, among the teams that wait."""
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
            # A team that was idle starts at the present virtual time, so
            # that it has saved up nothing while it was away.
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
            # Sets the sum right again after many float subtractions.
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
