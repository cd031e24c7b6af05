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
_LEAST_WEIGHT = 0.01


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

    def take(self) -> tickets.Ticket | None:
        """Remove and return the ticket that goes next."""

    def remove(self, ticket: tickets.Ticket) -> None:
        """Remove a ticket that waits."""

    def displace(self, ticket: tickets.Ticket) -> tickets.Ticket | None:
        """Remove the newest, least urgent ticket of the same team.

        Only one less urgent than ``ticket`` is removed.
        """

    def started(self, team: str) -> None:
        """Note that a request of the team took a slot."""

    def finished(self, team: str) -> None:
        """Note that a request of the team left its slot."""

    def waiting(self, team: str) -> int:
        """Return the number of the team's tickets that wait."""

    def waiting_cost(
        self,
        team: str,
        least_urgent: tickets.PriorityClass,
    ) -> float:
        """Return the waiting cost of a team, down to a class."""

    def active_weight(self, team: str) -> float:
        """Return the team's part, 0 to 1, among the teams that wait."""


class _TeamLine:
    """The waiting tickets of one team, by class."""

    __slots__ = (
        'cost_by_class',
        'in_flight',
        'is_listed_within',
        'share',
        'stamp',
        'tag_beyond',
        'tag_within',
        'tickets_by_class',
        'waiting',
    )

    def __init__(self, share: float) -> None:
        #: Slots that are the team's own.
        self.share = share
        self.in_flight = 0
        self.waiting = 0
        #: Stamp of the one valid heap entry, 0 for none.
        self.stamp = 0
        #: Which heap holds the valid entry while the team waits.
        self.is_listed_within = False
        #: Virtual start of the next request below the share.
        self.tag_within: float = 0
        #: Virtual start of the next request beyond the share.
        self.tag_beyond: float = 0
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
        return max(self.share, _LEAST_WEIGHT)

    def add(self, ticket: tickets.Ticket, *, front: bool) -> None:
        """Add a ticket to its class."""
        by_id = self.tickets_by_class[ticket.priority_class]
        by_id[ticket.request_id] = ticket
        if front:
            by_id.move_to_end(ticket.request_id, last=False)
        self.cost_by_class[ticket.priority_class] += ticket.cost
        self.waiting += 1

    def discard(self, ticket: tickets.Ticket) -> None:
        """Remove a ticket from its class."""
        by_id = self.tickets_by_class[ticket.priority_class]
        del by_id[ticket.request_id]
        self.waiting -= 1
        if by_id:
            self.cost_by_class[ticket.priority_class] -= ticket.cost
        else:
            # Sets the sum right again after many float subtractions.
            self.cost_by_class[ticket.priority_class] = 0

    def first(self) -> tickets.Ticket:
        """Return the ticket that goes first; there must be one."""
        by_id = next(filter(None, self.tickets_by_class))
        return next(iter(by_id.values()))


class _Tier:
    """Start-time fair queueing among the teams in one group."""

    __slots__ = ('heap', 'virtual_time')

    def __init__(self) -> None:
        #: Entries of virtual start, stamp and team; some are outdated.
        self.heap: list[tuple[float, int, str]] = []
        #: The virtual start of the request that was served last.
        self.virtual_time: float = 0


class FirstComeQueue:
    """The baseline: one line for all teams and classes."""

    __slots__ = ('_by_id',)

    def __init__(self) -> None:
        self._by_id: collections.OrderedDict[str, tickets.Ticket] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of tickets that wait."""
        return len(self._by_id)

    def set_shares(self, shares_by_team: typing.Mapping[str, float]) -> None:
        """Ignore the shares."""

    def push(self, ticket: tickets.Ticket) -> None:
        """Add a ticket at the end."""
        self._by_id[ticket.request_id] = ticket

    def push_front(self, ticket: tickets.Ticket) -> None:
        """Put a ticket back at the front."""
        self._by_id[ticket.request_id] = ticket
        self._by_id.move_to_end(ticket.request_id, last=False)

    def take(self) -> tickets.Ticket | None:
        """Remove and return the oldest ticket."""
        if not self._by_id:
            return None
        return self._by_id.popitem(last=False)[1]

    def remove(self, ticket: tickets.Ticket) -> None:
        """Remove a ticket that waits."""
        del self._by_id[ticket.request_id]

    def displace(  # noqa: WPS324
        self,
        ticket: tickets.Ticket,
    ) -> tickets.Ticket | None:
        """Displace nothing."""
        # WPS324: mypy wants the protocol's empty answer written out.
        return None  # noqa: WPS324

    def started(self, team: str) -> None:
        """Ignore the start."""

    def finished(self, team: str) -> None:
        """Ignore the end."""

    def waiting(self, team: str) -> int:
        """Return the number of all tickets that wait."""
        return len(self._by_id)

    def waiting_cost(
        self,
        team: str,
        least_urgent: tickets.PriorityClass,
    ) -> float:
        """Return the waiting cost of all teams."""
        return sum(ticket.cost for ticket in self._by_id.values())

    def active_weight(self, team: str) -> float:
        """Return 1: there is only one line."""
        return 1


class FairQueue:
    """Weighted fair queueing over teams, by class within a team.

    Classes order the work of one team only: otherwise a team that marks all
    its work as urgent would take the slots promised to another.
    """

    __slots__ = (
        '_active_weight',
        '_beyond',
        '_lines',
        '_stamps',
        '_waiting',
        '_within',
    )

    def __init__(self) -> None:
        self._lines: dict[str, _TeamLine] = {}
        self._waiting = 0
        self._active_weight: float = 0
        self._stamps = itertools.count(1)
        #: Teams below their share; they go first.
        self._within = _Tier()
        #: Teams that borrow what nobody below the share wants.
        self._beyond = _Tier()

    def __len__(self) -> int:
        """Return the number of tickets that wait."""
        return self._waiting

    def set_shares(self, shares_by_team: typing.Mapping[str, float]) -> None:
        """Set the slots that are each team's own; absent teams get none."""
        for team, share in shares_by_team.items():
            self._line(team).share = share
        for team, line in list(self._lines.items()):
            if team not in shares_by_team:
                line.share = 0
                if not (line.in_flight or line.waiting):
                    del self._lines[team]
        self._relist()

    def push(self, ticket: tickets.Ticket) -> None:
        """Add a ticket behind the others of its team and class."""
        self._add(ticket, front=False)

    def push_front(self, ticket: tickets.Ticket) -> None:
        """Put a ticket back before the others of its team and class."""
        self._add(ticket, front=True)

    def take(self) -> tickets.Ticket | None:
        """Remove and return the ticket that goes next."""
        team = self._first_team(self._within)
        tier = self._within
        if team is None:
            team = self._first_team(self._beyond)
            tier = self._beyond
        if team is None:
            return None
        line = self._lines[team]
        ticket = line.first()
        self._discard(line, ticket)
        self._charge(tier, line, ticket)
        return ticket

    def remove(self, ticket: tickets.Ticket) -> None:
        """Remove a ticket that waits."""
        self._discard(self._lines[ticket.team], ticket)

    def displace(self, ticket: tickets.Ticket) -> tickets.Ticket | None:
        """Remove the newest, least urgent ticket of the same team."""
        line = self._line(ticket.team)
        less_urgent = line.tickets_by_class[ticket.priority_class + 1 :]
        by_id = next(filter(None, reversed(less_urgent)), None)
        if by_id is None:
            return None
        newest = next(reversed(by_id.values()))
        self._discard(line, newest)
        return newest

    def started(self, team: str) -> None:
        """Note that a request of the team took a slot."""
        line = self._line(team)
        line.in_flight += 1
        self._update_tier(team, line)

    def finished(self, team: str) -> None:
        """Note that a request of the team left its slot."""
        line = self._line(team)
        line.in_flight -= 1
        self._update_tier(team, line)

    def waiting(self, team: str) -> int:
        """Return the number of the team's tickets that wait."""
        return self._line(team).waiting

    def waiting_cost(
        self,
        team: str,
        least_urgent: tickets.PriorityClass,
    ) -> float:
        """Return the waiting cost of a team, down to a class."""
        return sum(self._line(team).cost_by_class[: least_urgent + 1])

    def active_weight(self, team: str) -> float:
        """Return the team's part, 0 to 1, among the teams that wait."""
        line = self._line(team)
        others = self._active_weight
        if line.waiting:
            others -= line.weight
        return line.weight / (max(others, 0) + line.weight)

    def _line(self, team: str) -> _TeamLine:
        line = self._lines.get(team)
        if line is None:
            line = _TeamLine(share=0)
            self._lines[team] = line
        return line

    def _relist(self) -> None:
        active = [team for team, line in self._lines.items() if line.waiting]
        self._active_weight = sum(self._lines[team].weight for team in active)
        for team in active:
            self._list_team(team, self._lines[team])

    def _add(self, ticket: tickets.Ticket, *, front: bool) -> None:
        line = self._line(ticket.team)
        line.add(ticket, front=front)
        self._waiting += 1
        if line.waiting == 1:
            self._active_weight += line.weight
            # A team that was idle starts at the present virtual time, so
            # that it has saved up nothing while it was away.
            line.tag_within = max(line.tag_within, self._within.virtual_time)
            line.tag_beyond = max(line.tag_beyond, self._beyond.virtual_time)
            self._list_team(ticket.team, line)

    def _discard(self, line: _TeamLine, ticket: tickets.Ticket) -> None:
        line.discard(ticket)
        self._waiting -= 1
        if line.waiting:
            return
        line.stamp = 0
        self._active_weight -= line.weight
        if not self._waiting:
            # Sets the sum right again after many float subtractions.
            self._active_weight = 0

    def _charge(
        self,
        tier: _Tier,
        line: _TeamLine,
        ticket: tickets.Ticket,
    ) -> None:
        step = ticket.cost / line.weight
        if tier is self._within:
            tier.virtual_time = line.tag_within
            line.tag_within += step
        else:
            tier.virtual_time = line.tag_beyond
            line.tag_beyond += step
        if line.waiting:
            self._list_team(ticket.team, line)

    def _update_tier(self, team: str, line: _TeamLine) -> None:
        if line.waiting and line.is_listed_within != line.is_within_share:
            self._list_team(team, line)

    def _list_team(self, team: str, line: _TeamLine) -> None:
        line.stamp = next(self._stamps)
        line.is_listed_within = line.is_within_share
        if line.is_listed_within:
            tier, tag = self._within, line.tag_within
        else:
            tier, tag = self._beyond, line.tag_beyond
        heapq.heappush(tier.heap, (tag, line.stamp, team))

    def _first_team(self, tier: _Tier) -> str | None:
        heap = tier.heap
        while heap:
            _, stamp, team = heap[0]
            line = self._lines.get(team)
            if line is not None and line.stamp == stamp:
                return team
            heapq.heappop(heap)
        return None
