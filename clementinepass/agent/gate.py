"""The gate in front of one endpoint: admission, with all work in view.

Pure: no sockets, tasks or clocks. Entries only see reports that lag; the gate
alone knows all work from all entries, so it has the last word on admission.
"""

from __future__ import annotations

import enum
import typing

from clementinepass.requests import gatebook, identity
from clementinepass.wire import messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable

_SECOND = 1000


class Refusal(enum.Enum):
    """Why the gate refused an attempt; each means that it was not run."""

    #: Nothing verified is being served yet.
    CLOSED = 'closed'
    DRAINING = 'draining'
    #: All of the endpoint's places are taken.
    FULL = 'full'
    #: The endpoint serves another version than the one pinned.
    VERSION_MISMATCH = 'version_mismatch'
    #: The endpoint runs another model or service.
    WRONG_TARGET = 'wrong_target'
    #: The caller's deadline has passed.
    DEADLINE_PASSED = 'deadline_passed'
    #: Another request that may kill endpoints is running.
    SUSPECT_RUNNING = messages.SUSPECT_RUNNING
    #: The entry asked about this attempt before it arrived, and was told that
    #: it would not run.
    BARRED = 'barred'


class Gate:
    """Admit attempts to one endpoint.

    :param target: the model or service that the endpoint runs.
    :param versioned: whether the endpoint is an engine that serves versions.
    :param capacity: the most attempts in flight, running and waiting.
    """

    def __init__(
        self,
        target: str,
        *,
        versioned: bool,
        capacity: int,
    ) -> None:
        #: The model or service that the endpoint runs.
        self.target = target
        #: The most attempts in flight.
        self.capacity = capacity
        #: Attempts in flight now.
        self.running: set[identity.AttemptKey] = set()
        #: The phase that entries are told of.
        self.phase = messages.Phase.STARTING
        #: The verified version being served; empty while closed.
        self.version = ''
        #: Why the gate is closed; empty while it is open.
        self.closed_reason = 'starting'
        #: Called when something changed that entries should learn at once.
        self.on_change: Callable[[], None] = _ignore
        self._versioned = versioned
        self._suspects: set[identity.AttemptKey] = set()
        self._book = gatebook.GateBook()

    def open(self, version: str) -> None:
        """Let new work in, on a version that was read back from the engine."""
        if (self.version, self.phase) == (version, messages.Phase.SERVING):
            return
        self.version = version
        self.closed_reason = ''
        self._enter(messages.Phase.SERVING)

    def close(self, reason: str) -> None:
        """Let no new work in; what runs goes on."""
        changed = self.phase is messages.Phase.SERVING
        self.version = ''
        self.closed_reason = reason
        if changed:
            self._enter(messages.Phase.STARTING)

    def drain(self) -> None:
        """Let no new work in, for good."""
        self._enter(messages.Phase.DRAINING)

    def offer(
        self,
        dispatch: messages.Dispatch,
        now: float,
        wall_time: float,
    ) -> messages.Verdict:
        """Decide on one attempt that has not been seen before.

        The refusal is final for the attempt: a copy of it that arrives later,
        out of the buffer of a dead connection, is refused too, since "not
        run" has been said of it.

        :param now: monotonic seconds.
        :param wall_time: Unix seconds.
        """
        refusal = self._refusal(dispatch, wall_time)
        if refusal is not None:
            self._book.resume(dispatch.request_id, dispatch.attempt, now)
            return messages.Verdict(accepted=False, reason=refusal.value)
        admission = self._book.admit(
            dispatch.request_id,
            dispatch.attempt,
            now,
        )
        if admission is gatebook.Admission.NEW:
            key = identity.AttemptKey(dispatch.request_id, dispatch.attempt)
            self.running.add(key)
            if dispatch.suspect:
                self._suspects.add(key)
            return messages.Verdict(accepted=True)
        return messages.Verdict(
            accepted=False,
            reason=Refusal.BARRED.value,
        )

    def resume(self, key: identity.AttemptKey, now: float) -> bool:
        """Tell whether an attempt was accepted here; bar it if it was not.

        Guards against a dispatch that is still under way on a connection that
        went silent: the entry asks on a new connection, hears "not run", and
        retries elsewhere; when the old dispatch arrives after all, it would
        be a second run. The bar is set before "not run" is said.

        :param now: monotonic seconds.
        """
        known = self._book.resume(key.request_id, key.attempt, now)
        return known is gatebook.Resumption.KNOWN

    def finished(self, key: identity.AttemptKey) -> None:
        """Free the place of an attempt that ended.

        Entries learn the load with the next heartbeat, not at once: at 13
        requests a second and 9 entries that would be over 100 messages a
        second for a figure that is a hint only.
        """
        self.running.discard(key)
        self._suspects.discard(key)

    def _enter(self, phase: messages.Phase) -> None:
        # A drain is final: weights that become ready during it must not
        # reopen an endpoint that has announced that it is leaving.
        if self.phase is not messages.Phase.DRAINING:
            self.phase = phase
        self.on_change()

    def _refusal(
        self,
        dispatch: messages.Dispatch,
        wall_time: float,
    ) -> Refusal | None:
        checks = (
            (self.phase is messages.Phase.DRAINING, Refusal.DRAINING),
            (self.phase is messages.Phase.STARTING, Refusal.CLOSED),
            (dispatch.target != self.target, Refusal.WRONG_TARGET),
            (self._mismatches(dispatch.version), Refusal.VERSION_MISMATCH),
            (dispatch.remaining == 0, Refusal.DEADLINE_PASSED),
            # A dispatch can lie in a buffer while this process or its entry
            # is frozen, and come out when its claim has expired and another
            # has run the request. What remained when it was sent is no
            # guide then; the time of day is.
            (
                wall_time * _SECOND > dispatch.admit_before,
                Refusal.DEADLINE_PASSED,
            ),
            # Entries learn of each other's suspects late. Were two of one
            # crash to meet here, the next crash could not tell which of
            # them kills endpoints; only the gate sees those of all entries.
            (
                dispatch.suspect and bool(self._suspects),
                Refusal.SUSPECT_RUNNING,
            ),
            # Load: more attempts than the endpoint has places. Queueing them
            # here would hide the wait from the entries, which hold the fair
            # queues and know the deadlines; so the surplus goes back at once.
            (len(self.running) >= self.capacity, Refusal.FULL),
        )
        for applies, refusal in checks:
            if applies:
                return refusal
        return None

    def _mismatches(self, version: str) -> bool:
        return self._versioned and version != self.version


def _ignore() -> None:
    """Do nothing: nobody watches the gate yet."""
