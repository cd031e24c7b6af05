"""The gate in front of one endpoint: the truth about its work in flight.

Pure: no sockets, tasks or clocks. Entries only see reports that lag; the gate
alone knows all work from all entries, so it has the last word on admission.
"""

from __future__ import annotations

import collections
import enum
import typing

from clementinepass.wire import messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable

#: How many attempts are remembered after they ended or were fenced. At the
#: planned peak a node sees about 13 requests a second, so this covers five
#: minutes: far longer than any connection's silence is waited out.
_REMEMBERED = 4096


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
    #: The entry asked about this attempt before it arrived, and was told that
    #: it had not run.
    FENCED = 'fenced'
    #: The attempt is not known here.
    UNKNOWN = 'unknown'


class AttemptKey(typing.NamedTuple):
    """What identifies one attempt of one request."""

    request_id: str
    attempt: int


class _Memory:
    """Remember a bounded number of attempts, the oldest forgotten first."""

    def __init__(self) -> None:
        self._keys: collections.OrderedDict[AttemptKey, None] = (
            collections.OrderedDict()
        )

    def __contains__(self, key: AttemptKey) -> bool:
        return key in self._keys

    def add(self, key: AttemptKey) -> None:
        """Remember one more attempt."""
        self._keys[key] = None
        if len(self._keys) > _REMEMBERED:
            self._keys.popitem(last=False)


class Gate:
    """Admit attempts to one endpoint.

    :param target: the model or service that the endpoint runs.
    :param versioned: whether the endpoint is an engine that serves versions.
    :param capacity: the most attempts in flight, running and waiting.
    :param on_change: called when something changed that entries should learn.
    """

    def __init__(
        self,
        target: str,
        *,
        versioned: bool,
        capacity: int,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        #: Attempts in flight now.
        self.running: set[AttemptKey] = set()
        #: Where the agent stands in its life.
        self.phase = messages.Phase.STARTING
        #: The verified version being served; empty while closed.
        self.version = ''
        self.target = target
        self.capacity = capacity
        self._versioned = versioned
        self._on_change = on_change
        self._ended = _Memory()
        self._fenced = _Memory()

    def open(self, version: str) -> None:
        """Let new work in, on a version that was read back from the engine."""
        self.version = version
        self._enter(messages.Phase.SERVING)

    def close(self, reason: str) -> None:
        """Let no new work in; what runs goes on.

        :param reason: why, for the log of the caller.
        """
        self.version = ''
        self._enter(messages.Phase.STARTING)

    def drain(self) -> None:
        """Let no new work in, for good."""
        self._enter(messages.Phase.DRAINING)

    def offer(self, dispatch: messages.Dispatch) -> messages.Verdict:
        """Decide on one attempt.

        A repeated dispatch of an attempt that was accepted before is accepted
        again without a second run: its first answer was lost on the way.
        """
        key = AttemptKey(dispatch.request_id, dispatch.attempt)
        if self.knows(key):
            return messages.Verdict(accepted=True)
        refusal = self._refusal(key, dispatch)
        if refusal is None:
            self.running.add(key)
            return messages.Verdict(accepted=True)
        return messages.Verdict(accepted=False, reason=refusal.value)

    def knows(self, key: AttemptKey) -> bool:
        """Tell whether an attempt was accepted here."""
        return key in self.running or key in self._ended

    def fence(self, key: AttemptKey) -> None:
        """Make sure that an unknown attempt will never run.

        Guards against a dispatch that is still under way on a connection that
        went silent: the entry asks on a new connection, hears "not run", and
        retries elsewhere; when the old dispatch then arrives after all, it
        would be a second run. The fence is set before "not run" is said.
        """
        self._fenced.add(key)

    def finished(self, key: AttemptKey) -> None:
        """Free the place of an attempt that ended."""
        if key in self.running:
            self.running.discard(key)
            self._ended.add(key)
            self._on_change()

    def _enter(self, phase: messages.Phase) -> None:
        # A drain is final: weights that become ready during it must not
        # reopen an endpoint that has announced that it is leaving.
        if self.phase is not messages.Phase.DRAINING:
            self.phase = phase
        self._on_change()

    def _refusal(
        self,
        key: AttemptKey,
        dispatch: messages.Dispatch,
    ) -> Refusal | None:
        checks = (
            (key in self._fenced, Refusal.FENCED),
            (self.phase is messages.Phase.DRAINING, Refusal.DRAINING),
            (self.phase is messages.Phase.STARTING, Refusal.CLOSED),
            (dispatch.target != self.target, Refusal.WRONG_TARGET),
            (self._mismatches(dispatch.version), Refusal.VERSION_MISMATCH),
            (dispatch.remaining == 0, Refusal.DEADLINE_PASSED),
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
