"""What an agent keeps for one entry, across the entry's connections.

An entry's connection can go silent and be replaced by a new one; the runs
that it asked for go on, and their frames are sent again from where the entry
says that it stands.
"""

from __future__ import annotations

import asyncio
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.agent import execution
from clementinepass.requests import identity
from clementinepass.wire import connections, frames

if typing.TYPE_CHECKING:
    from clementinepass.requests import streams
    from clementinepass.wire import messages

#: The most frames in one message: about 5 ms of processor time at each end.
_MOST_FRAMES = 256
#: Messages that may follow each other without a pause after a quiet moment.
_MOST_AT_ONCE = 4


class _Pace:
    """Bound the messages a second, yet let a few go at once.

    A first token and the end of a short answer come after a quiet moment and
    must not wait; the frames of hundreds of streams come all the time and
    cost less in few messages.
    """

    def __init__(
        self,
        interval: float,
        now: typing.Callable[[], float],
    ) -> None:
        self._interval = interval
        self._now = now
        self._free_at = now()

    def wait(self) -> float:
        """Return the seconds to wait before the next message."""
        now = self._now()
        earliest = now - _MOST_AT_ONCE * self._interval
        self._free_at = max(self._free_at, earliest) + self._interval
        return max(self._free_at - now, 0)


class EntryLink:
    """The runs of one process of an entry and the way to it.

    :param peer: the entry's process.
    :param coalesce: least seconds between two messages with frames; it bounds
        the messages a second, whatever the number of streams.
    :param silence: seconds without an answer after which a connection counts
        as silent.
    """

    def __init__(
        self,
        peer: messages.Peer,
        *,
        coalesce: float,
        silence: float,
    ) -> None:
        #: The entry's process.
        self.peer = peer
        #: Runs whose end the entry has not confirmed.
        self.runs_by_key: dict[identity.AttemptKey, execution.Run] = {}
        #: Monotonic seconds at which the last connection ended; ``None``
        #: while there is one.
        self.lost_at: float | None = None
        self._coalesce = coalesce
        self._silence = silence
        self._dirty = asyncio.Event()
        self._connection = 0

    def attach(self) -> int:
        """Begin a new connection and return its number."""
        self._connection += 1
        self.lost_at = None
        for run in self.runs_by_key.values():
            run.cursor = None
        return self._connection

    def is_current(self, connection: int) -> bool:
        """Tell whether a connection is the newest and still works."""
        return connection == self._connection and self.lost_at is None

    def detach(self, connection: int, now: float) -> None:
        """Note the end of a connection, unless a newer one has replaced it."""
        if self.is_current(connection):
            self.lost_at = now

    def add(self, run: execution.Run) -> None:
        """Keep a run until its end is confirmed."""
        self.runs_by_key[run.key] = run

    def wake(self) -> None:
        """Note that there are frames to send."""
        self._dirty.set()

    def resume(self, key: identity.AttemptKey, sequence: int) -> bool:
        """Send a run's frames from ``sequence`` on over this connection."""
        run = self.runs_by_key.get(key)
        if run is None:
            return False
        run.buffer.acknowledge(sequence)
        run.cursor = sequence
        self.wake()
        return True

    async def pump(self, connection: int, sink: typing.Any) -> None:
        """Send frames over one connection until it fails or is replaced."""
        pace = _Pace(self._coalesce, asyncio.get_running_loop().time)
        while self.is_current(connection):
            await self._dirty.wait()
            await asyncio.sleep(pace.wait())
            self._dirty.clear()
            batch = self._collect()
            if not batch:
                continue
            try:
                await self._push(sink, batch)
            except errors.PeerUnavailableError as error:
                logger.bind(step=error.step, peer=error.peer).warning(
                    'answers are not getting through: {}',
                    error.detail,
                )
                return
            if self.is_current(connection):
                self._confirm(batch)

    async def _push(
        self,
        sink: typing.Any,
        batch: list[streams.Frame],
    ) -> None:
        request = sink.push_request()
        frames.write_frames(batch, request.init('frames', len(batch)))
        await connections.call(
            request.send(),
            step='push frames',
            peer=self.peer.id,
            timeout=self._silence,
        )

    def _collect(self) -> list[streams.Frame]:
        batch: list[streams.Frame] = []
        for run in self.runs_by_key.values():
            if run.cursor is None or run.cursor == run.buffer.next:
                continue
            pending = run.buffer.since(run.cursor)
            batch.extend(pending[: _MOST_FRAMES - len(batch)])
            if len(batch) >= _MOST_FRAMES:
                self._dirty.set()
                break
        return batch

    def _confirm(self, batch: list[streams.Frame]) -> None:
        for frame in batch:
            key = identity.AttemptKey(frame.request_id, frame.attempt)
            run = self.runs_by_key.get(key)
            if run is None:
                continue
            run.cursor = frame.sequence + 1
            run.buffer.acknowledge(frame.sequence + 1)
            if run.buffer.drained:
                del self.runs_by_key[key]
