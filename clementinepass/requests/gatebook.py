"""What a gate remembers of the attempts that reached it.

A dispatch can be doubled, or sit in a buffer of a silent connection and
arrive after its entry asked for it over a new one.  The book admits each
(request id, attempt) once, and bars one that an entry asked for in vain.
"""

from __future__ import annotations

import collections
import enum
import typing

#: Seconds an attempt is remembered after the gate last heard of it.  Longer
#: than any dispatch can sit in a dead connection and still be valid.
DEFAULT_MEMORY = 900.0


class Admission(enum.Enum):
    """What the book says to a dispatch."""

    NEW = 'new'
    #: A copy of one that was already admitted; it must not run again.
    DOUBLED = 'doubled'
    #: Its entry was told that it will not run.
    BARRED = 'barred'


class Resumption(enum.Enum):
    """What the book says to an entry that asks for an attempt."""

    KNOWN = 'known'
    #: Never seen, and barred from now on: "not run".
    BARRED = 'barred'


class _Note(typing.NamedTuple):
    """When an attempt was first heard of."""

    attempt: tuple[str, int]
    at: float


class GateBook:
    """Admit each attempt once.

    :param memory: seconds for which attempts are remembered.
    """

    __slots__ = ('_admitted_by_attempt', '_memory', '_noted')

    def __init__(self, memory: float = DEFAULT_MEMORY) -> None:
        self._memory = memory
        self._admitted_by_attempt: dict[tuple[str, int], bool] = {}
        self._noted: collections.deque[_Note] = collections.deque()

    def admit(self, request_id: str, attempt: int, now: float) -> Admission:
        """Judge a dispatch and remember it."""
        self._forget(now)
        key = (request_id, attempt)
        admitted = self._admitted_by_attempt.get(key)
        if admitted is None:
            self._note(key, now, admitted=True)
            return Admission.NEW
        return Admission.DOUBLED if admitted else Admission.BARRED

    def resume(self, request_id: str, attempt: int, now: float) -> Resumption:
        """Judge an entry's wish to go on with an attempt."""
        self._forget(now)
        key = (request_id, attempt)
        admitted = self._admitted_by_attempt.get(key)
        if admitted is None:
            self._note(key, now, admitted=False)
        return Resumption.KNOWN if admitted else Resumption.BARRED

    def _note(
        self,
        key: tuple[str, int],
        now: float,
        *,
        admitted: bool,
    ) -> None:
        self._admitted_by_attempt[key] = admitted
        self._noted.append(_Note(key, now))

    def _forget(self, now: float) -> None:
        while self._noted and self._noted[0].at < now - self._memory:
            del self._admitted_by_attempt[self._noted.popleft().attempt]
