"""The Cap'n Proto server of an entry, for the other entries."""

from __future__ import annotations

import typing

from clementinepass.wire import entry_messages, schema

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from clementinepass.entry import entry as entries


class EntryServer(schema.peers.Entry.Server):
    """Calls that other entries may make."""

    def __init__(
        self,
        entry: entries.Entry,
        stop: Callable[[], None],
    ) -> None:
        self._entry = entry
        self._stop = stop

    async def drain(self, **_: typing.Any) -> None:
        """Leave, as on SIGTERM."""
        self._stop()

    async def watch_context(self, context: typing.Any) -> None:
        """Answer once the state has changed, or after a heartbeat."""
        state = await self._entry.next_state(context.params.known)
        entry_messages.write_entry_state(state, context.results.init('state'))

    async def configuration_context(self, context: typing.Any) -> None:
        """Return the configuration if it is newer than the known one."""
        newer = self._entry.configuration_since(context.params.known)
        if newer is not None:
            context.results.revision = newer.revision
            context.results.state = newer.encode()

    def disconnected(self) -> None:
        """Do nothing: an entry keeps no state for a connection."""
