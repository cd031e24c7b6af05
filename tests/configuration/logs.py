"""In-memory log service with fault injection."""

from __future__ import annotations

import collections
import enum
import typing

from clementinepass import errors
from clementinepass.configuration import records
from clementinepass.platform import protocols


class Fate(enum.Enum):
    """Outcome injected into an append."""

    #: The call fails before anything is sent.
    REFUSED = 'refused'
    #: The records are appended, but the answer is lost.
    ANSWER_LOST = 'answer lost'
    #: The records are not appended, and there is no answer.
    LOST = 'lost'
    #: As ``LOST``, but the records are appended on ``release``.
    LATE = 'late'
    #: The records are appended, and once more on ``release``.
    TWICE = 'twice'


class MemoryLog:
    """Streams in memory; not thread-safe."""

    def __init__(self) -> None:
        self.payloads: dict[str, list[bytes]] = collections.defaultdict(list)
        self.oldest: dict[str, int] = collections.defaultdict(int)
        #: Whether calls fail because of an outage.
        self.down = False
        #: Injected outcomes of the next appends by stream, in order.
        self.fates: dict[str, list[Fate]] = collections.defaultdict(list)
        #: Appends that take effect on ``release``.
        self.delayed: list[tuple[str, list[bytes]]] = []
        #: Publications passed to ``append``.
        self.attempted: list[bytes] = []
        #: Called before each append of a publication, to run a concurrent one.
        self.before_append: typing.Callable[[], None] = _do_nothing

    def append(
        self,
        stream: str,
        payloads: typing.Sequence[bytes],
    ) -> tuple[int, ...]:
        """Append records, or apply the next injected outcome."""
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
        """Append records without fault injection."""
        first = len(self.payloads[stream])
        self.payloads[stream].extend(payloads)
        return tuple(range(first, first + len(payloads)))

    def release(self) -> None:
        """Apply all delayed appends."""
        for stream, payloads in self.delayed:
            self.land(stream, payloads)
        self.delayed.clear()

    def expire(self, stream: str, oldest: int) -> None:
        """Expire the records below an offset."""
        kept = min(oldest, len(self.payloads[stream]))
        self.oldest[stream] = max(kept, self.oldest[stream])


def _do_nothing() -> None:
    """Run no concurrent publication."""


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
