"""What callers were told, checked against the runs at the endpoints."""

from __future__ import annotations

import dataclasses
import enum
import threading


class Saying(enum.Enum):
    """What a caller was told of one call."""

    #: A whole answer, its own.
    WHOLE = 'whole'
    #: An answer that says itself that it is truncated.
    TRUNCATED = 'truncated'
    #: A problem.
    PROBLEM = 'problem'
    #: The connection ended without a last word.
    NOTHING = 'nothing'
    #: An answer that is not the caller's own, or passes for whole and isn't.
    WRONG = 'wrong'


@dataclasses.dataclass(slots=True)
class Told:
    """One call of a caller and what it was told."""

    #: What the caller wants done once, however often it calls.
    operation: str
    saying: Saying
    idempotent: bool
    request_id: str = ''
    status: int = 0
    #: What a problem says: ``not_run``, ``ran`` or ``may_have_run``.
    execution: str = ''
    reason: str = ''
    retry_after: str = ''
    detail: str = ''
    #: The version that a whole answer is of.
    version: str = ''


class History:
    """Collect what was told; safe to use from many threads."""

    def __init__(self) -> None:
        self.calls: list[Told] = []
        self._lock = threading.Lock()

    def add(self, told: Told) -> Told:
        """Note one call."""
        with self._lock:
            self.calls.append(told)
        return told

    def counts(self) -> dict[str, int]:
        """Return the number of calls by saying."""
        counts: dict[str, int] = {}
        for told in self.calls:
            counts[told.saying.value] = counts.get(told.saying.value, 0) + 1
        return counts

    def violations(
        self,
        runs_by_request: dict[str, int],
        runs_by_operation: dict[str, int],
    ) -> list[str]:
        """Return how what was told contradicts the runs; empty if it fits.

        :param runs_by_request: runs counted at the endpoints by the id that
            the system gave to each call.
        :param runs_by_operation: the same by operation, for services.
        """
        found = []
        for told in self.calls:
            # A call that ended without a word has no id to look up; its
            # operation is counted all the same.
            runs = (
                runs_by_request.get(told.request_id, 0)
                if told.request_id
                else 0
            )
            found.extend(_violations_of(told, runs))
        found.extend(self._of_operations(runs_by_operation))
        return found

    def _of_operations(self, runs_by_operation: dict[str, int]) -> list[str]:
        found = []
        calls_by_operation: dict[str, list[Told]] = {}
        for told in self.calls:
            calls_by_operation.setdefault(told.operation, []).append(told)
        for operation, runs in runs_by_operation.items():
            calls = calls_by_operation.get(operation, [])
            if not calls:
                continue
            if runs > 1 and not any(told.idempotent for told in calls):
                found.append(f'{operation} ran {runs} times')
            if runs and all(told.execution == 'not_run' for told in calls):
                found.append(f'{operation} ran, each caller told "not run"')
        for operation, calls in calls_by_operation.items():
            whole = any(told.saying is Saying.WHOLE for told in calls)
            known = operation in runs_by_operation
            if whole and operation.startswith('/') and not known:
                found.append(f'{operation} was answered and never ran')
        return found


def _violations_of(told: Told, runs: int) -> list[str]:
    found = []
    if told.saying is Saying.WRONG:
        found.append(f'{told.operation}: wrong answer: {told.detail}')
    if told.execution == 'not_run' and runs:
        found.append(f'{told.operation}: told "not run", ran {runs} times')
    if runs > 1 and not told.idempotent:
        found.append(f'{told.operation}: ran {runs} times')
    if runs > 1 and told.saying is Saying.TRUNCATED:
        found.append(f'{told.operation}: run again after a part was told')
    return found
