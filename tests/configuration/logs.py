"""A log in memory that fails on order."""

from __future__ import annotations

import collections
import enum
import typing

from clementinepass import errors
from clementinepass.configuration import records
from clementinepass.platform import protocols


class Fate(enum.Enum):
    """What becomes of the next append."""

    #: The call fails before anything is sent.
    REFUSED = 'refused'
    #: The records are there, the answer is not.
    ANSWER_LOST = 'answer lost'
    #: Neither records nor answer arrive.
    LOST = 'lost'
    #: As lost, but the records arrive later.
    LATE = 'late'
    #: The records arrive, and once more later.
    TWICE = 'twice'


class MemoryLog:
    """Streams in memory; one thread only."""

    def __init__(self) -> None:
        self.payloads: dict[str, list[bytes]] = collections.defaultdict(list)
        self.oldest: dict[str, int] = collections.defaultdict(int)
        #: While set, no call is answered.
        self.down = False
        #: Fates of the next appends to a stream, in order.
        self.fates: dict[str, list[Fate]] = collections.defaultdict(list)
        #: Appends that arrive when released.
        self.delayed: list[tuple[str, list[bytes]]] = []
        #: Publications that appends were called with.
        self.attempted: list[bytes] = []
        #: Called before each publication, to let others go first.
        self.before_append: typing.Callable[[], None] = _nothing

    def append(
        self,
        stream: str,
        payloads: typing.Sequence[bytes],
    ) -> tuple[int, ...]:
        """Append, or do what the next fate says."""
        if stream == records.STREAM:
            self.before_append()
            self.attempted.extend(payloads)
        fate = self.fates[stream].pop(0) if self.fates[stream] else None
        if self.down or fate is Fate.REFUSED:
            raise _unavailable('append', sent=False)
        if fate in {Fate.LATE, Fate.TWICE}:
            self.delayed.append((stream, list(payloads)))
        if fate in {Fate.LATE, Fate.LOST}:
            raise _unavailable('append')
        offsets = self.land(stream, payloads)
        if fate is Fate.ANSWER_LOST:
            raise _unavailable('append')
        return offsets

    def read(
        self,
        stream: str,
        offset: int,
        *,
        limit: int = 1000,
        wait: float = 0,
    ) -> protocols.RecordPage:
        """Read without waiting."""
        if self.down:
            raise _unavailable('read')
        oldest = self.oldest[stream]
        if offset < oldest:
            raise errors.RecordsExpiredError(
                step='read',
                peer='memory',
                oldest=oldest,
            )
        payloads = self.payloads[stream][offset : offset + limit]
        return protocols.RecordPage(
            oldest=oldest,
            next_offset=offset + len(payloads),
            end=len(self.payloads[stream]),
            records=tuple(
                protocols.Record(offset + index, payload)
                for index, payload in enumerate(payloads)
            ),
        )

    def land(
        self,
        stream: str,
        payloads: typing.Sequence[bytes],
    ) -> tuple[int, ...]:
        """Append for certain."""
        first = len(self.payloads[stream])
        self.payloads[stream].extend(payloads)
        return tuple(range(first, first + len(payloads)))

    def release(self) -> None:
        """Let all held appends arrive."""
        for stream, payloads in self.delayed:
            self.land(stream, payloads)
        self.delayed.clear()

    def expire(self, stream: str, oldest: int) -> None:
        """Forget the records below an offset."""
        kept = min(oldest, len(self.payloads[stream]))
        self.oldest[stream] = max(kept, self.oldest[stream])


def _nothing() -> None:
    """Let nobody go first."""


def _unavailable(
    step: str,
    *,
    sent: bool = True,
) -> errors.PlatformUnavailableError:
    return errors.PlatformUnavailableError(
        'no answer',
        step=step,
        peer='memory',
        sent=sent,
    )
