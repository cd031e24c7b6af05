"""Ask agents for slots of their engines, for requests that wait here."""

from __future__ import annotations

import asyncio
import itertools
import typing

from clementinepass.decisions import incarnations
from clementinepass.direct.placement import messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from clementinepass.direct import endpoints


#: Numbers are sent with 32 bits.
_NUMBER_COUNT = 2**32


class _Waiting:
    """A request that waits, and the engines that were asked."""

    __slots__ = ('engines_by_ip', 'is_usable', 'offered')

    def __init__(
        self,
        engines: Iterable[endpoints.Endpoint],
        is_usable: Callable[[endpoints.Endpoint], bool],
    ) -> None:
        self.engines_by_ip = {engine.listing.ip: engine for engine in engines}
        self.is_usable = is_usable
        self.offered: asyncio.Future[endpoints.Endpoint] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def taken_engine(self) -> endpoints.Endpoint | None:
        """Return the engine whose slot was taken; ``None`` if there is none.

        The offer may arrive in the same turn of the event loop as the timeout
        or the cancellation.
        """
        return self.offered.result() if self.offered.done() else None

    def may_take(
        self, engine: endpoints.Endpoint, offer: messages.SlotOffer
    ) -> bool:
        """Tell whether the request still needs and may use an offered slot."""
        if self.offered.done() or incarnations.is_superseded(
            engine.weights_started_ms, offer.started_ms
        ):
            return False
        return self.is_usable(engine)


class SlotRequests:
    """The requests of this entry that wait for a slot."""

    __slots__ = ('_numbers', '_waiting_by_number', 'send')

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._waiting_by_number: dict[int, _Waiting] = {}
        #: Sends a message to the agent at an IP address.
        self.send: Callable[[str, messages.SlotMessage], None] = _drop

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waiting_by_number)

    async def wait_for_slot(
        self,
        query: messages.SlotQuery,
        engines: Iterable[endpoints.Endpoint],
        is_usable: Callable[[endpoints.Endpoint], bool],
    ) -> endpoints.Endpoint | None:
        """Wait until one of some engines has a free slot.

        :param query: its number is replaced.
        :param is_usable: tells whether the request may still be sent to an
            engine when the offer arrives.
        :returns: ``None`` if none had a slot in time.
        """
        waiting = _Waiting(engines, is_usable)
        number = next(self._numbers) % _NUMBER_COUNT
        self._waiting_by_number[number] = waiting
        try:
            for ip in waiting.engines_by_ip:
                self.send(ip, query._replace(number=number))
            async with asyncio.timeout(query.wait_seconds):
                return await asyncio.shield(waiting.offered)
        except TimeoutError:
            return waiting.taken_engine
        except asyncio.CancelledError:
            engine = waiting.taken_engine
            if engine is not None:
                self.send(engine.listing.ip, messages.SlotReturn(number))
            raise
        finally:
            waiting.offered.cancel()
            del self._waiting_by_number[number]

    def handle(self, ip: str, message: messages.SlotMessage) -> None:
        """Handle a message of an agent.

        Of several slots for a request the first one is used.
        """
        if not isinstance(message, messages.SlotOffer):
            return
        waiting = self._waiting_by_number.get(message.number)
        engine = None if waiting is None else waiting.engines_by_ip.get(ip)
        if (
            waiting is not None
            and engine is not None
            and waiting.may_take(engine, message)
        ):
            waiting.offered.set_result(engine)
        else:
            self.send(ip, messages.SlotReturn(message.number))


def _drop(ip: str, message: messages.SlotMessage) -> None:
    """Drop a message, as there is no connection to other processes."""
