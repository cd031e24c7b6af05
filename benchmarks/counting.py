"""Relays that count bytes, on a loop of their own."""

from __future__ import annotations

import asyncio
import threading
import typing

from standins import relay as relays


class CountingRelays:
    """Count the bytes to and from processes.

    Each relay stands before one process; whoever connects through it is
    counted in both directions.
    """

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._relays_by_name: dict[str, relays.Relay] = {}
        self._thread = threading.Thread(
            target=self._loop.run_forever,
            daemon=True,
        )
        self._thread.start()

    def place(self, name: str, target: str) -> str:
        """Place a relay before a process and return its address."""
        relay = relays.Relay(target)
        self._relays_by_name[name] = relay
        self._run(relay.start())
        return relay.address

    def passed(self, name: str) -> int:
        """Return the bytes passed so far, both directions."""
        counters = self._relays_by_name[name].counters()
        return counters.bytes_to_target + counters.bytes_from_target

    def close(self) -> None:
        """Stop all relays."""
        for relay in self._relays_by_name.values():
            self._run(relay.stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(
        self,
        coroutine: typing.Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()
