"""Faults that a test orders a stand-in to show."""

from __future__ import annotations

import enum
import threading
import typing

import msgspec

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

#: How long a silent call is held when nobody releases it, in seconds.
LONGEST_SILENCE = 600.0


class Kind(enum.Enum):
    """What goes wrong with a call."""

    #: Answer with ``status`` and without any effect.
    STATUS = 'status'
    #: Wait ``seconds`` before the call is handled.
    DELAY = 'delay'
    #: Close the connection without any effect.
    DROP_BEFORE = 'drop_before'
    #: Let the call take effect, then close the connection unanswered.
    DROP_AFTER = 'drop_after'
    #: Hold the connection open, with neither an effect nor an answer.
    SILENCE_BEFORE = 'silence_before'
    #: Let the call take effect, then hold the connection unanswered.
    SILENCE_AFTER = 'silence_after'
    #: Send ``parts`` parts of the body, then close the connection.
    TRUNCATE = 'truncate'
    #: Send ``parts`` parts of the body, then fall silent.
    STALL = 'stall'
    #: Change one byte in each part of the body.
    CORRUPT = 'corrupt'
    #: Announce one byte more than the body has.
    WRONG_LENGTH = 'wrong_length'
    #: Answer with ``body`` in place of the true body.
    REPLACE = 'replace'
    #: Engines only: report success for an order and serve something else.
    SERVE_OTHER = 'serve_other'


#: Kinds whose call has no effect, or is put off.
BEFORE = frozenset(
    (Kind.STATUS, Kind.DELAY, Kind.DROP_BEFORE, Kind.SILENCE_BEFORE),
)


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault, shown by calls whose path begins with ``path``."""

    kind: Kind
    path: str = '/'
    #: The method it is for; empty for all.
    method: str = ''
    #: How many calls show it; 0 for all until faults are cleared.
    calls: int = 1
    status: int = 503
    seconds: float = 0
    parts: int = 0
    body: str = ''


class FaultOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A change of the faults in force."""

    faults: tuple[Fault, ...] = ()
    #: Whether all calls are answered with 503; none leaves it as it is.
    outage: bool | None = None
    #: Whether to drop the faults in force first, and release silent calls.
    clear: bool = False


class FaultBoard:
    """Hold the faults in force; safe to use from many threads."""

    __slots__ = ('_lock', '_outage', '_pending', '_released')

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._pending: list[Fault] = []
        self._outage = False
        self._released = threading.Event()

    @property
    def outage(self) -> bool:
        """Whether all calls are to be answered with 503."""
        return self._outage

    def apply(self, order: FaultOrder) -> None:
        """Put an order's faults in force."""
        with self._lock:
            if order.clear:
                self._pending.clear()
                self._released.set()
                self._released = threading.Event()
            if order.outage is not None:
                self._outage = order.outage
            self._pending.extend(order.faults)

    def release(self) -> None:
        """Drop all faults and let no call be silent any more."""
        self.apply(FaultOrder(clear=True))
        self._released.set()

    def take(
        self,
        method: str,
        path: str,
        kinds: Iterable[Kind],
    ) -> Fault | None:
        """Return the first fault of ``kinds`` that a call is to show."""
        with self._lock:
            for index, fault in enumerate(self._pending):
                if fault.kind in kinds and _matches(fault, method, path):
                    self._use_up(index, fault)
                    return fault
        return None

    def keep_silent(self, seconds: float = 0) -> None:
        """Block until the faults are cleared, or ``seconds`` have passed."""
        self._released.wait(seconds or LONGEST_SILENCE)

    def _use_up(self, index: int, fault: Fault) -> None:
        """Count one call against a fault."""
        if fault.calls == 1:
            self._pending.pop(index)
        elif fault.calls > 1:
            self._pending[index] = msgspec.structs.replace(
                fault,
                calls=fault.calls - 1,
            )


def _matches(fault: Fault, method: str, path: str) -> bool:
    return path.startswith(fault.path) and fault.method in {'', method}
