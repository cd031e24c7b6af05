"""Offer the free slots of the local engine to requests that wait at entries."""

from __future__ import annotations

import asyncio
import typing

from clementinepass.decisions import slot_queue, slot_wait
from clementinepass.direct.placement import messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from clementinepass.direct import weights


class SlotOffers:
    """The slots of the engine beside this agent.

    Requests that ask for one are kept in memory only. After a restart of the
    agent the entries that wait get offers from other agents, or none.

    :param send: sends a message to the entry at an IP address.
    """

    __slots__ = ('_queue', '_send', '_started_ms')

    def __init__(
        self, send: Callable[[str, messages.SlotMessage], None]
    ) -> None:
        self._send = send
        self._queue = slot_queue.SlotQueue()
        self._started_ms = 0

    @property
    def has_waiting(self) -> bool:
        """Tell whether requests wait for a slot."""
        return bool(self._queue)

    def handle(self, ip: str, message: messages.SlotMessage) -> None:
        """Handle a message of an entry."""
        now = asyncio.get_running_loop().time()
        if isinstance(message, messages.SlotReturn):
            self._queue.give_back(ip, message.number)
        elif isinstance(message, messages.SlotQuery):
            self._queue.add(
                slot_queue.SlotRequest(
                    ip,
                    message.number,
                    message.urgency,
                    now + message.timely_seconds,
                    now + message.wait_seconds,
                )
            )
        self._offer(now)

    def update(
        self, report: weights.EngineReport, slots: int, *, accepts: bool
    ) -> None:
        """Apply a report of the engine.

        :param slots: requests that it runs at once.
        :param accepts: whether it is to get requests.
        """
        now = asyncio.get_running_loop().time()
        self._started_ms = report.started_ms
        usable = slot_wait.usable_slots(slots, report.pace)
        free_slots = usable - report.active - report.queued if accepts else 0
        self._queue.update(free_slots, now)
        self._offer(now)

    def close(self) -> None:
        """Offer nothing until the next report: the engine does not answer."""
        self._queue.update(0, asyncio.get_running_loop().time())

    def _offer(self, now: float) -> None:
        for request in self._queue.take_offers(now):
            self._send(
                request.entry,
                messages.SlotOffer(request.number, self._started_ms),
            )
