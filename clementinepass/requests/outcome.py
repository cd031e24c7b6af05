"""The one place that decides what may be said of an attempt's execution.

An :class:`Attempt` is fed with what was seen on the connection to the
agent's gate.  Its :attr:`Attempt.execution` and :meth:`Attempt.retry` are the
only grounds on which the system says "not run", "ran" or "may have run", and
on which it sends a request a second time.
"""

from __future__ import annotations

import dataclasses
import enum

from clementinepass import errors

#: How often one request may be sent again after its endpoint died with it.
#: One: a request that kills endpoints takes down two of them at most.
MAX_CRASH_RETRIES = 1


class Phase(enum.Enum):
    """How far an attempt has come."""

    #: Nothing was handed to the connection.
    CREATED = 'created'
    #: Handed to the connection; the gate has not answered.
    SENT = 'sent'
    #: The gate took it, so the endpoint may be working on it.
    ACCEPTED = 'accepted'
    #: The gate refused it and never called the endpoint.
    REFUSED = 'refused'
    #: The endpoint's answer has begun.
    ANSWERING = 'answering'
    #: The whole answer is here.
    ENDED = 'ended'
    #: The gate reported a failure, or the attempt was given up.
    FAILED = 'failed'


class Retry(enum.Enum):
    """Whether a request may be sent once more, and on what account."""

    FORBIDDEN = 'forbidden'
    #: Not run; the retry budget decides.
    AS_NEW = 'as_new'
    #: May have run, but is idempotent; the retry budget decides.
    REPEAT = 'repeat'
    #: As ``REPEAT``, and its endpoint died with it: count a crash retry.
    AFTER_CRASH = 'after_crash'


_FINAL = frozenset((Phase.REFUSED, Phase.ENDED, Phase.FAILED))
_BEFORE_VERDICT = frozenset((Phase.CREATED, Phase.SENT))


@dataclasses.dataclass(slots=True)
class Attempt:
    """One dispatch of a request to one agent.

    Events that come after the end, or crossed with others, change nothing:
    the first final event decides.
    """

    request_id: str
    number: int
    #: The agent's name, for errors and problems.
    peer: str
    phase: Phase = Phase.CREATED
    #: Whether the connection that carried it still works.
    connected: bool = True
    #: Whether any byte of the answer went out to the caller.
    relayed: bool = False
    #: Whether the endpoint, or the whole instance, died during the attempt.
    crashed: bool = False
    _failure: errors.Execution = errors.Execution.MAY_HAVE_RUN

    @property
    def finished(self) -> bool:
        """Tell whether nothing more can change."""
        return self.phase in _FINAL

    @property
    def execution(self) -> errors.Execution:
        """Return what can be said about the execution now.

        "Not run" is said before anything was handed to the connection, or
        when the gate itself said so.  A broken connection proves nothing:
        the dispatch may sit in a buffer on its way to the gate.
        """
        if self.phase in {Phase.CREATED, Phase.REFUSED}:
            return errors.Execution.NOT_RUN
        if self.phase is Phase.ENDED:
            return errors.Execution.RAN
        if self.phase is Phase.FAILED:
            return self._failure
        return errors.Execution.MAY_HAVE_RUN

    def sent(self) -> None:
        """Note it *before* the dispatch is handed to the connection.

        Noting it after would leave a moment in which the gate has the
        dispatch and an interrupted sender would still say "not run".
        """
        if self.phase is Phase.CREATED:
            self.phase = Phase.SENT

    def accepted(self) -> None:
        """Note that the gate took the dispatch."""
        if self.phase is Phase.SENT:
            self.phase = Phase.ACCEPTED

    def refused(self) -> None:
        """Note that the gate refused the dispatch.

        A refusal that arrives after the gate took the dispatch answers a
        doubled copy of it and says nothing about the one that runs.
        """
        if self.phase in _BEFORE_VERDICT:
            self.phase = Phase.REFUSED

    def head_seen(self) -> None:
        """Note that the endpoint's answer has begun.

        Frames can overtake the verdict, so this stands for an acceptance.
        """
        if not self.finished:
            self.phase = Phase.ANSWERING

    def ended(self) -> None:
        """Note that the whole answer is here."""
        if not self.finished:
            self.phase = Phase.ENDED

    def failed(
        self,
        execution: errors.Execution,
        *,
        crashed: bool = False,
    ) -> None:
        """Note the failure that the gate reported.

        A gate that says "not run" after the answer began contradicts
        itself; the weaker statement holds.
        """
        if self.finished:
            return
        begun = self.phase is Phase.ANSWERING
        if begun and execution is errors.Execution.NOT_RUN:
            execution = errors.Execution.MAY_HAVE_RUN
        self._failure = execution
        self.crashed = crashed
        self.phase = Phase.FAILED

    def connection_lost(self) -> None:
        """Note that the connection broke or fell silent.

        The attempt goes on: a new connection may resume it.
        """
        self.connected = False

    def resumed(self) -> None:
        """Note that the gate knows the attempt and sends on."""
        if self.finished:
            return
        self.connected = True
        if self.phase is Phase.SENT:
            self.phase = Phase.ACCEPTED

    def fenced(self) -> None:
        """Note that the gate never saw the attempt and now bars it.

        The gate promises to refuse the dispatch should it still arrive
        (see :mod:`clementinepass.requests.gatebook`), so this is "not run".
        Only for an answer of the very process that the dispatch went to: a
        new one knows nothing, see :meth:`peer_gone`.
        """
        if self.phase in _BEFORE_VERDICT:
            self.phase = Phase.REFUSED
        else:
            self.failed(errors.Execution.MAY_HAVE_RUN)

    def peer_gone(self) -> None:
        """Note that the agent died, or came back as a new process.

        Whatever was sent to it may have run.
        """
        if self.phase is not Phase.CREATED:
            self.failed(errors.Execution.MAY_HAVE_RUN, crashed=True)

    def given_up(self) -> None:
        """Note that nobody waits any longer: deadline or caller gone."""
        self.failed(self.execution)

    def retry(self, *, idempotent: bool, crash_retries: int) -> Retry:
        """Decide whether the request may be sent again.

        :param idempotent: whether a second run does no harm.
        :param crash_retries: how often it was already sent again after a
            crash.
        """
        if not self.finished or self.relayed:
            # Part of an answer went out: another run's answer can't be
            # joined to it, so the caller must see a truncated one.
            return Retry.FORBIDDEN
        if self.execution is errors.Execution.RAN:
            return Retry.FORBIDDEN
        if self.execution is errors.Execution.NOT_RUN:
            return Retry.AS_NEW
        if not idempotent:
            return Retry.FORBIDDEN
        return self._repeat(crash_retries)

    def _repeat(self, crash_retries: int) -> Retry:
        if not self.crashed:
            return Retry.REPEAT
        if crash_retries >= MAX_CRASH_RETRIES:
            return Retry.FORBIDDEN
        return Retry.AFTER_CRASH
