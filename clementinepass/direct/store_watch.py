"""Check that the entries that read the store for this one are not behind."""

from __future__ import annotations

import asyncio
import typing

from loguru import logger

from clementinepass import errors

if typing.TYPE_CHECKING:
    import random

    from clementinepass.direct import follower, records, turns

#: Seconds between checks. With the grace and a read this stays within the two
#: seconds in which a change has to be in force.
_INTERVAL_SECONDS = 0.9
#: Seconds in which a change arrives from those that have read it.
_GRACE_SECONDS = 0.25


class StoreWatch:
    """Asks the store for the end of a topic that others read for this entry.

    The answer holds no records, so that it does not matter on the link to the
    store.

    :param store: the store.
    :param topic_follower: the follower of the topic.
    :param read_turns: tells who reads, and who watches.
    """

    __slots__ = ('_follower', '_rng', '_store', '_turns')

    def __init__(
        self,
        store: records.Store,
        topic_follower: follower.Follower,
        read_turns: turns.ReadTurns,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._follower = topic_follower
        self._turns = read_turns
        self._rng = rng

    async def run(self) -> None:
        """Watch until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_INTERVAL_SECONDS * self._rng.uniform(0.9, 1.1))
            if self._is_watching(loop.time()):
                await self._check()

    def _is_watching(self, now: float) -> bool:
        return (
            self._follower.is_initialized
            and not self._follower.is_reading
            and self._turns.is_watcher(now)
        )

    async def _check(self) -> None:
        """Let this entry read if a change has not arrived from others."""
        try:
            end = await self._store.end(self._follower.topic)
        except errors.ClementinepassError as error:
            logger.info('end of records not read: {}', error)
            return
        if end <= self._follower.state.next_offset:
            return
        await asyncio.sleep(_GRACE_SECONDS)
        known = self._follower.state.next_offset
        if end > known:
            logger.bind(
                topic=self._follower.topic.value, offset=end, before=known
            ).warning('readers of the store are behind')
            self._turns.read_for_a_while(asyncio.get_running_loop().time())
