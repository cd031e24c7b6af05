"""Connections from an entry to the other entries, one task for each."""

from __future__ import annotations

import asyncio
import random
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.configuration import state as states
from clementinepass.wire import (
    addresses,
    connections,
    entry_messages,
    messages,
    schema,
)

_FIRST_BACKOFF = 0.1
_LONGEST_BACKOFF = 2.0


class EntryEvents(typing.Protocol):
    """Callbacks for what a connection to another entry shows."""

    def entry_reported(
        self,
        entry: str,
        state: entry_messages.EntryState,
    ) -> None:
        """Note a state that an entry has sent."""

    def entry_lost(self, entry: str) -> None:
        """Note that an entry can't be reached."""

    def adopt(self, configuration: states.State) -> None:
        """Take another entry's configuration if it is newer."""

    def revision(self) -> int:
        """Return the configuration revision in force here."""


class EntryPeer:
    """The connection to one other entry.

    :param patience: seconds without a state after which the connection is
        given up for a new one.
    """

    def __init__(
        self,
        entry: str,
        address: addresses.Address,
        events: EntryEvents,
        *,
        patience: float,
        chance: random.Random,
    ) -> None:
        #: The other entry's name.
        self.entry = entry
        #: Where it listens for other processes.
        self.address = address
        self._events = events
        self._patience = patience
        self._chance = chance
        self._known = 0

    async def run(self) -> None:
        """Stay connected until cancelled."""
        backoff = _FIRST_BACKOFF
        while True:
            self._known = 0
            try:
                await self._watch()
            except errors.ClementinepassError as error:
                logger.bind(step=error.step, peer=self.entry).debug(
                    'connection to entry failed: {}',
                    error.detail,
                )
            self._events.entry_lost(self.entry)
            backoff = _FIRST_BACKOFF if self._known else backoff
            await asyncio.sleep(backoff * self._chance.uniform(0.5, 1))
            backoff = min(2 * backoff, _LONGEST_BACKOFF)

    async def _watch(self) -> None:
        connection = await connections.Connection.open(
            self.address,
            self._patience,
        )
        try:
            bootstrap = connection.bootstrap(schema.peers.Entry)
            while True:
                await self._take_state(bootstrap)
        finally:
            connection.close()

    async def _take_state(self, bootstrap: typing.Any) -> None:
        answer = await connections.call(
            bootstrap.watch(known=self._known),
            step='watch',
            peer=self.entry,
            timeout=self._patience,
        )
        state = messages.read(
            entry_messages.read_entry_state,
            answer.state,
            self.entry,
        )
        self._known = state.sequence
        self._events.entry_reported(self.entry, state)
        if state.revision > self._events.revision():
            await self._take_configuration(bootstrap)

    async def _take_configuration(self, bootstrap: typing.Any) -> None:
        answer = await connections.call(
            bootstrap.configuration(known=self._events.revision()),
            step='configuration',
            peer=self.entry,
            timeout=self._patience,
        )
        payload = bytes(answer.state)
        if payload:
            self._events.adopt(states.State.decode(payload))
