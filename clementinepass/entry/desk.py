"""Admission at one entry: a controller for each target, and who waits."""

from __future__ import annotations

import asyncio
import typing

from clementinepass.decisions import admission, tickets

if typing.TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from clementinepass import clock as clocks

#: Wakes just after a deadline and not just before it, which would spin.
_AFTER_EXPIRY = 0.001


class Desk:
    """Admit requests for one target.

    :param chance: spreads the times at which refused callers come back.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        chance: random.Random,
    ) -> None:
        self._clock = clock
        self._controller = admission.Controller.from_promises(
            {},
            capacity=0,
            rng=chance,
        )
        self._waiting_by_id: dict[str, asyncio.Future[tickets.Decision]] = {}
        self._demand_by_team: dict[str, int] = {}
        self._timer: asyncio.TimerHandle | None = None

    def set_shares(self, shares_by_team: Mapping[str, float]) -> None:
        """Set the slots that are each team's own at this entry."""
        self._controller.set_promises(shares_by_team)
        self._advance()

    def set_capacity(self, capacity: int, fair_slots: int) -> None:
        """Set the slots that this entry may fill.

        :param fair_slots: those that it may expect while others fill all.
        """
        self._controller.set_capacity(capacity, fair_slots)
        self._advance()

    def demand(self, team: str) -> int:
        """Return the team's requests here, running and waiting."""
        return self._demand_by_team.get(team, 0)

    @property
    def in_flight(self) -> int:
        """Return the number of slots taken."""
        return self._controller.in_flight

    async def enter(self, ticket: tickets.Ticket) -> tickets.Decision:
        """Wait until the request may start, or is refused."""
        self._count(ticket.team, 1)
        decision = self._controller.offer(ticket, self._clock.now())
        if decision.kind is tickets.DecisionKind.QUEUE:
            decision = await self._wait(ticket)
        return self._counted(decision)

    async def enter_again(
        self,
        ticket: tickets.Ticket,
        *,
        found_full: bool,
    ) -> tickets.Decision:
        """Wait again with a request that no endpoint's gate let in.

        :param found_full: whether the gates refused for lack of a slot.
        """
        self._controller.requeue(
            ticket,
            self._clock.now(),
            found_full=found_full,
        )
        return self._counted(await self._wait(ticket))

    def leave(self, ticket: tickets.Ticket, *, succeeded: bool) -> None:
        """Free the slot of a request that was admitted."""
        self._count(ticket.team, -1)
        self._controller.release(
            ticket,
            self._clock.now(),
            succeeded=succeeded,
        )
        self._advance()

    async def _wait(self, ticket: tickets.Ticket) -> tickets.Decision:
        future: asyncio.Future[tickets.Decision] = asyncio.Future()
        self._waiting_by_id[ticket.request_id] = future
        self._advance()
        try:
            return await future
        except asyncio.CancelledError:
            self._withdraw(ticket, future)
            raise
        finally:
            self._waiting_by_id.pop(ticket.request_id, None)

    def _counted(self, decision: tickets.Decision) -> tickets.Decision:
        if decision.kind is tickets.DecisionKind.REFUSE:
            self._count(decision.ticket.team, -1)
        return decision

    def _withdraw(
        self,
        ticket: tickets.Ticket,
        future: asyncio.Future[tickets.Decision],
    ) -> None:
        admitted = (
            future.done()
            and not future.cancelled()
            and future.result().kind is tickets.DecisionKind.ADMIT
        )
        if admitted:
            # The caller went away at the very moment of admission; without
            # this the slot would be taken for good.
            self._controller.release(
                ticket,
                self._clock.now(),
                succeeded=False,
            )
        else:
            self._controller.withdraw(ticket)
        self._count(ticket.team, -1)

    def _advance(self) -> None:
        for decision in self._controller.poll(self._clock.now()):
            request_id = decision.ticket.request_id
            future = self._waiting_by_id.get(request_id)
            if future is not None and not future.done():
                future.set_result(decision)
        self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        wake_at = self._controller.next_expiry()
        if wake_at is not None:
            delay = max(wake_at - self._clock.now(), 0)
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay + _AFTER_EXPIRY, self._advance)

    def _count(self, team: str, change: int) -> None:
        self._demand_by_team[team] = self.demand(team) + change
