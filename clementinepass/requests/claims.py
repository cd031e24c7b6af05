"""Claims of idempotency keys: at most one run for a key, across entries.

A claim is appended to the log before the request is dispatched, and the
claim with the lowest offset holds the key.  An entry knows that it holds the
key only by reading its own claim back, so an append whose answer was lost is
resolved by the same reading.  A claim is appended once and never again.

What a holder does is bounded by time.  It may dispatch only within
``max_age`` of its wish to claim, far less than the log keeps records: a
holder that was paused past everything finds its claim too old and does not
dispatch, since by then the record may be gone and another may hold the key.

:class:`ClaimPartition` has neither threads nor a lock; see
:mod:`clementinepass.requests.claim_service` for both.
"""

from __future__ import annotations

import collections
import concurrent.futures
import dataclasses
import enum
import secrets
import typing

from clementinepass import errors
from clementinepass.requests import claim_records, claim_table, problem

if typing.TYPE_CHECKING:
    from clementinepass.platform import protocols

#: Seconds within which a claim must lead to a dispatch.  Far below any time
#: for which the log keeps records (minutes at least).
DEFAULT_MAX_AGE = 15.0
#: Seconds after which a caller may ask again when the log does not answer.
RETRY_WITHOUT_LOG = 2.0
#: Seconds after which a caller may ask again for a request in progress.
RETRY_IN_PROGRESS = 2.0
#: Records in one append.  Bounds its size and what one lost answer delays.
MAX_BATCH = 200
#: Bytes in one append, kept answers included.
MAX_BATCH_BYTES = 1 << 20
#: Outcomes waiting for the log; the oldest answers go first, and their
#: claims then end as "may have run" for whoever asks.
MAX_WAITING_OUTCOMES = 2000


class Verdict(enum.Enum):
    """What a claim came to."""

    #: This entry holds the key: dispatch while ``may_dispatch`` says so.
    RUN = 'run'
    #: The request ran, and its answer is kept.
    ANSWERED = 'answered'
    #: The request ran; its answer was too large to be kept.
    ANSWER_NOT_KEPT = 'answer_not_kept'
    #: The request ran; its answer can't be read now.
    ANSWER_UNREADABLE = 'answer_unreadable'
    #: Another claim holds the key and has not ended.
    IN_PROGRESS = 'in_progress'
    #: The holder ended without knowing whether the request ran.
    MAY_HAVE_RUN = 'may_have_run'
    #: The key stands for another request.
    KEY_MISUSED = 'key_misused'
    #: The log did not take or show the claim; nothing was run for it.
    UNAVAILABLE = 'unavailable'


@dataclasses.dataclass(slots=True, frozen=True)
class Decision:
    """What a claim came to, with what a caller needs of it."""

    verdict: Verdict
    #: Where the kept answer is; -1 where there is none.
    answer_offset: int = -1
    #: The kept answer, once it was read.
    answer: claim_records.KeptAnswer | None = None


class TicketState(enum.Enum):
    """How far a wish to run a request has come."""

    #: Its claim waits to be appended.
    WANTED = 'wanted'
    #: Its claim was handed to the log and not read back yet.
    APPENDED = 'appended'
    #: Another claim holds the key.
    WAITING = 'waiting'
    #: Its claim holds the key.
    HELD = 'held'
    #: It holds the key and was dispatched.
    DISPATCHED = 'dispatched'
    #: Decided without a dispatch, or its outcome was noted.
    CLOSED = 'closed'


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """One caller's wish to run a request under a key."""

    key: str
    fingerprint: str
    claim_id: str
    #: When the present claim was wished for, in monotonic seconds.
    wanted_at: float
    state: TicketState = TicketState.WANTED
    #: Resolves once there is a decision.
    future: concurrent.futures.Future[Decision] = dataclasses.field(
        default_factory=concurrent.futures.Future,
    )


@dataclasses.dataclass(slots=True)
class Batch:
    """Records that go to the log in one append."""

    claims: list[Ticket]
    outcomes: list[claim_records.Outcome]
    payloads: tuple[bytes, ...]


class ClaimPartition:
    """The claims of one partition, as one entry sees and makes them.

    :param holder: names this process among all that ever ran.
    :param max_age: seconds within which a claim must lead to a dispatch.
    """

    __slots__ = (
        '_abandoned',
        '_gone_holders',
        '_holder',
        '_max_age',
        '_outcomes',
        '_table',
        '_tickets_by_key',
        '_wanted',
        'position',
    )

    def __init__(
        self,
        holder: str,
        max_age: float = DEFAULT_MAX_AGE,
    ) -> None:
        #: The offset to read next.
        self.position = 0
        self._holder = holder
        self._max_age = max_age
        self._table = claim_table.ClaimTable()
        self._wanted: list[Ticket] = []
        self._outcomes: collections.deque[claim_records.Outcome]
        self._outcomes = collections.deque(maxlen=MAX_WAITING_OUTCOMES)
        self._tickets_by_key: dict[str, list[Ticket]] = {}
        # Claims of ours that may still turn up in the log and hold a key
        # for nothing; released when they do.
        self._abandoned: set[str] = set()
        self._gone_holders: set[str] = set()

    @property
    def has_batch(self) -> bool:
        """Tell whether anything waits to be appended."""
        return bool(self._wanted or self._outcomes)

    def open(self, key: str, fingerprint: str, now: float) -> Ticket:
        """Wish to run a request; its future tells what came of it."""
        ticket = Ticket(key, fingerprint, _new_claim_id(), now)
        self._tickets_by_key.setdefault(key, []).append(ticket)
        if self._table.state(key) is None:
            self._wanted.append(ticket)
        else:
            self._wait(ticket)
        return ticket

    def batch(self) -> Batch:
        """Take what goes into the next append.

        From here on the claims may be in the log.
        """
        batch = Batch([], [], ())
        payloads: list[bytes] = []
        size = 0
        while self.has_batch and len(payloads) < MAX_BATCH:
            payload = self._next_payload(batch)
            payloads.append(payload)
            size += len(payload)
            if size >= MAX_BATCH_BYTES:
                break
        batch.payloads = tuple(payloads)
        return batch

    def batch_failed(self, batch: Batch, *, sent: bool) -> None:
        """Note that an append failed.

        :param sent: whether the log may have taken it all the same.  Then
            only reading tells, and claims wait for it.  Outcomes are
            appended again in any case; a second copy changes nothing.
        """
        for outcome in batch.outcomes:
            self._outcomes.append(outcome)
        if sent:
            return
        for ticket in batch.claims:
            if ticket.state is TicketState.APPENDED:
                self._close(ticket, Decision(Verdict.UNAVAILABLE))

    def fold(self, page: protocols.RecordPage, now: float) -> None:
        """Take in records that were read from :attr:`position` on."""
        for record in page.records:
            if record.offset >= self.position:
                self._fold_record(record, now)
        self.position = max(self.position, page.next_offset)
        self._table.forget(page.oldest)

    def records_expired(self, oldest: int) -> None:
        """Note that records expired unread; go on from the oldest kept.

        Claims of ours among them can't be proved any more, so they are
        given up without a run.
        """
        self._table = claim_table.ClaimTable()
        self.position = max(self.position, oldest)
        for ticket in self._open_tickets():
            if ticket.state is TicketState.APPENDED:
                self._give_up_appended(ticket)
            elif ticket.state is TicketState.WAITING:
                self._close(ticket, Decision(Verdict.IN_PROGRESS))

    def holder_gone(self, holder: str) -> None:
        """Note that another process is gone: don't wait for its claims."""
        self._gone_holders.add(holder)
        for ticket in self._open_tickets():
            if ticket.state is TicketState.WAITING:
                self._wait(ticket)

    def give_up(self, ticket: Ticket) -> Decision:
        """Stop waiting and return the decision, made now if need be."""
        if ticket.state is TicketState.WANTED:
            self._wanted.remove(ticket)
            self._close(ticket, Decision(Verdict.UNAVAILABLE))
        elif ticket.state is TicketState.APPENDED:
            self._give_up_appended(ticket)
        elif ticket.state is TicketState.WAITING:
            self._close(ticket, Decision(Verdict.IN_PROGRESS))
        return ticket.future.result(timeout=0)

    def may_dispatch(self, ticket: Ticket, now: float) -> bool:
        """Tell, just before a dispatch, whether the hold is still proved.

        The failure: a holder is paused between reading its claim back and
        dispatching, for longer than the log keeps the claim; another entry
        claims the key and runs the request; the holder resumes and runs it
        again.  The guard holds since the age is counted from before the
        append, and no record expires within ``max_age``.
        """
        if ticket.state not in {TicketState.HELD, TicketState.DISPATCHED}:
            return False
        if now > ticket.wanted_at + self._max_age:
            return False
        ticket.state = TicketState.DISPATCHED
        return True

    def remaining(self, ticket: Ticket, now: float) -> float:
        """Return the seconds within which the gate may still take it."""
        return max(0, ticket.wanted_at + self._max_age - now)

    def settle(
        self,
        ticket: Ticket,
        execution: errors.Execution,
        answer: claim_records.KeptAnswer | None = None,
    ) -> None:
        """Note how a held claim ended; a second call changes nothing.

        "Not run" frees the key, so it is for the caller to say it only
        after its last attempt.
        """
        if ticket.state not in {TicketState.HELD, TicketState.DISPATCHED}:
            return
        self._forget_ticket(ticket)
        ticket.state = TicketState.CLOSED
        if execution is errors.Execution.NOT_RUN:
            self._release(ticket.key, ticket.claim_id)
        elif execution is errors.Execution.RAN:
            self._outcomes.append(
                claim_records.Ran(
                    ticket.key,
                    ticket.claim_id,
                    ticket.fingerprint,
                    answer,
                ),
            )
        else:
            self._outcomes.append(
                claim_records.Unknown(
                    ticket.key,
                    ticket.claim_id,
                    ticket.fingerprint,
                ),
            )

    def _next_payload(self, batch: Batch) -> bytes:
        # Outcomes go first: somebody may wait for them.
        if self._outcomes:
            outcome = self._outcomes.popleft()
            batch.outcomes.append(outcome)
            return claim_records.encode(outcome)
        ticket = self._wanted.pop(0)
        ticket.state = TicketState.APPENDED
        batch.claims.append(ticket)
        return claim_records.encode(
            claim_records.Claim(
                ticket.key,
                ticket.claim_id,
                self._holder,
                ticket.fingerprint,
            ),
        )

    def _fold_record(self, raw: protocols.Record, now: float) -> None:
        record = claim_records.decode(raw.payload)
        if record is None:
            return
        self._table.apply(raw.offset, record)
        self._release_abandoned(record)
        for ticket in tuple(self._tickets_by_key.get(record.key, ())):
            self._review(ticket, record, now)

    def _review(
        self,
        ticket: Ticket,
        record: claim_records.ClaimRecord,
        now: float,
    ) -> None:
        if ticket.state is TicketState.APPENDED:
            # Only its own claim, read back, decides: until then an earlier
            # one may still turn up.
            if record.id == ticket.claim_id:
                self._read_back(ticket, now)
        elif ticket.state is TicketState.WAITING:
            self._wait(ticket)
            if self._table.state(ticket.key) is None:
                # Released: the key is free for this request's own claim.
                self._want_again(ticket, now)

    def _read_back(self, ticket: Ticket, now: float) -> None:
        state = self._table.state(ticket.key)
        if state is None:
            # Released before it was ever held; can't be ours to run.
            self._close(ticket, Decision(Verdict.UNAVAILABLE))
        elif state.claim_id == ticket.claim_id:
            self._hold(ticket, now)
        else:
            self._wait(ticket)

    def _hold(self, ticket: Ticket, now: float) -> None:
        if now > ticket.wanted_at + self._max_age:
            # Read back too late to be dispatched: free the key at once.
            self._release(ticket.key, ticket.claim_id)
            self._close(ticket, Decision(Verdict.UNAVAILABLE))
            return
        ticket.state = TicketState.HELD
        ticket.future.set_result(Decision(Verdict.RUN))

    def _wait(self, ticket: Ticket) -> None:
        """Wait for the holder, or decide where its claim has ended."""
        ticket.state = TicketState.WAITING
        state = self._table.state(ticket.key)
        if state is None:
            return
        if state.fingerprint != ticket.fingerprint:
            self._close(ticket, Decision(Verdict.KEY_MISUSED))
        elif state.ending is claim_table.Ending.UNKNOWN:
            self._close(ticket, Decision(Verdict.MAY_HAVE_RUN))
        elif state.ending is claim_table.Ending.RAN:
            self._close(ticket, _ran(state))
        elif state.holder in self._gone_holders:
            self._close(ticket, Decision(Verdict.MAY_HAVE_RUN))

    def _want_again(self, ticket: Ticket, now: float) -> None:
        ticket.claim_id = _new_claim_id()
        ticket.wanted_at = now
        ticket.state = TicketState.WANTED
        self._wanted.append(ticket)

    def _give_up_appended(self, ticket: Ticket) -> None:
        self._abandoned.add(ticket.claim_id)
        self._close(ticket, Decision(Verdict.UNAVAILABLE))

    def _release_abandoned(self, record: claim_records.ClaimRecord) -> None:
        if record.id not in self._abandoned:
            return
        self._abandoned.discard(record.id)
        state = self._table.state(record.key)
        if state is not None and state.claim_id == record.id:
            self._release(record.key, record.id)

    def _release(self, key: str, claim_id: str) -> None:
        self._outcomes.append(claim_records.Released(key, claim_id))

    def _close(self, ticket: Ticket, decision: Decision) -> None:
        self._forget_ticket(ticket)
        ticket.state = TicketState.CLOSED
        ticket.future.set_result(decision)

    def _forget_ticket(self, ticket: Ticket) -> None:
        tickets = self._tickets_by_key.get(ticket.key, [])
        if ticket in tickets:
            tickets.remove(ticket)
        if not tickets:
            self._tickets_by_key.pop(ticket.key, None)

    def _open_tickets(self) -> tuple[Ticket, ...]:
        return tuple(
            ticket
            for tickets in self._tickets_by_key.values()
            for ticket in tickets
        )


def problem_of(
    decision: Decision,
    *,
    request_id: str,
    peer: str,
) -> problem.Problem:
    """Return what a caller is told when there is neither run nor answer."""
    reason, execution, retry_after = _SAYINGS_BY_VERDICT[decision.verdict]
    return problem.Problem.of(
        reason,
        execution,
        step='claim',
        peer=peer,
        request_id=request_id,
        retry_after=retry_after,
    )


_SAYINGS_BY_VERDICT: typing.Final = {
    Verdict.ANSWER_NOT_KEPT: (
        problem.Reason.ANSWER_NOT_KEPT,
        errors.Execution.RAN,
        None,
    ),
    Verdict.ANSWER_UNREADABLE: (
        problem.Reason.CLAIM_UNAVAILABLE,
        errors.Execution.RAN,
        RETRY_WITHOUT_LOG,
    ),
    Verdict.IN_PROGRESS: (
        problem.Reason.KEY_IN_PROGRESS,
        errors.Execution.MAY_HAVE_RUN,
        RETRY_IN_PROGRESS,
    ),
    Verdict.MAY_HAVE_RUN: (
        problem.Reason.KEY_IN_PROGRESS,
        errors.Execution.MAY_HAVE_RUN,
        None,
    ),
    # The key's own request may be anywhere; this one was not run.
    Verdict.KEY_MISUSED: (
        problem.Reason.KEY_MISUSED,
        errors.Execution.NOT_RUN,
        None,
    ),
    Verdict.UNAVAILABLE: (
        problem.Reason.CLAIM_UNAVAILABLE,
        errors.Execution.NOT_RUN,
        RETRY_WITHOUT_LOG,
    ),
}


def _ran(state: claim_table.KeyState) -> Decision:
    if state.answer_kept:
        return Decision(Verdict.ANSWERED, answer_offset=state.offset)
    return Decision(Verdict.ANSWER_NOT_KEPT)


def _new_claim_id() -> str:
    return secrets.token_hex(16)
