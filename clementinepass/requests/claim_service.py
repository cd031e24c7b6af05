"""Run the claims of all partitions against the log service.

Two threads for each partition, written straight down: one appends what
waits, one reads.  Appends go out at once when none went out lately, and
otherwise gather for an interval (group commit): the log takes a few hundred
appends a second from the whole fleet, and a burst must not need more.
"""

from __future__ import annotations

import concurrent.futures
import dataclasses
import threading
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.requests import claim_records, claims

if typing.TYPE_CHECKING:
    from clementinepass import clock as clocks
    from clementinepass.platform import protocols

#: Seconds between two appends to one partition.  With 9 entries and 4
#: partitions, all busy: 360 appends a second, within what the log takes.
APPEND_INTERVAL = 0.1
#: Seconds for which the log holds a read that finds nothing new.
READ_WAIT = 1.0
#: Seconds before the next try when the log does not answer.
RETRY_INTERVAL = 0.25
#: Records in one read.
READ_LIMIT = 1000


class _Worker:
    """One partition with its lock and its two loops."""

    __slots__ = (
        '_appending',
        '_clock',
        '_log',
        '_stopping',
        '_stream',
        'partition',
        'wake',
    )

    def __init__(
        self,
        log: protocols.LogService,
        partition: claims.ClaimPartition,
        stream: str,
        clock: clocks.Clock,
    ) -> None:
        self._log = log
        self._stream = stream
        self._clock = clock
        self._stopping = threading.Event()
        self._appending = False
        #: The claims; used only while ``wake`` is held.
        self.partition = partition
        #: The lock of the partition, notified when something is to append.
        self.wake = threading.Condition()

    def start(self) -> None:
        """Start both loops."""
        for loop in (self._append_loop, self._read_loop):
            threading.Thread(
                target=loop,
                name=f'{self._stream}-{loop.__name__}',
                daemon=True,
            ).start()

    def stop(self) -> None:
        """Ask both loops to end."""
        self._stopping.set()
        with self.wake:
            self.wake.notify_all()

    def flush(self, patience: float) -> None:
        """Wait until nothing waits to be appended."""
        with self.wake:
            self.wake.notify_all()
            self.wake.wait_for(self._idle, timeout=patience)

    def answer_at(self, offset: int) -> claim_records.KeptAnswer | None:
        """Read a kept answer; None where it can't be read now."""
        try:
            page = self._log.read(self._stream, offset, limit=1)
        except errors.ClementinepassError as error:
            _event(error).warning('kept answer unreadable: {}', error)
            return None
        if not page.records or page.records[0].offset != offset:
            return None
        record = claim_records.decode(page.records[0].payload)
        if isinstance(record, claim_records.Ran):
            return record.answer
        return None

    def _idle(self) -> bool:
        return not self._appending and not self.partition.has_batch

    def _append_loop(self) -> None:
        while not self._stopping.is_set():
            batch = self._next_batch()
            if batch is None:
                continue
            failed = self._append(batch)
            pause = RETRY_INTERVAL if failed else APPEND_INTERVAL
            self._stopping.wait(pause)

    def _next_batch(self) -> claims.Batch | None:
        with self.wake:
            if not self.partition.has_batch:
                self.wake.wait(READ_WAIT)
            if not self.partition.has_batch:
                return None
            self._appending = True
            return self.partition.batch()

    def _append(self, batch: claims.Batch) -> bool:
        failed = False
        may_be_there = True
        try:
            self._log.append(self._stream, batch.payloads)
        except errors.PlatformUnavailableError as error:
            _event(error).warning('append of claims failed: {}', error)
            failed = True
            may_be_there = error.sent
        except errors.ClementinepassError as error:
            # Not every refusal is known to come before the effect: reading
            # tells.
            _event(error).warning('append of claims refused: {}', error)
            failed = True
        with self.wake:
            self._appending = False
            if failed:
                self.partition.batch_failed(batch, sent=may_be_there)
            self.wake.notify_all()
        return failed

    def _read_loop(self) -> None:
        while not self._stopping.is_set():
            try:
                self._read()
            except errors.RecordsExpiredError as expired:
                with self.wake:
                    self.partition.records_expired(expired.oldest)
            except errors.ClementinepassError as error:
                _event(error).warning('reading claims failed: {}', error)
                self._stopping.wait(RETRY_INTERVAL)

    def _read(self) -> None:
        page = self._log.read(
            self._stream,
            self.partition.position,
            limit=READ_LIMIT,
            wait=READ_WAIT,
        )
        with self.wake:
            self.partition.fold(page, self._clock.now())
            self.wake.notify_all()


@dataclasses.dataclass(slots=True, frozen=True)
class Held:
    """A ticket with the worker that knows it."""

    ticket: claims.Ticket
    worker: _Worker


class ClaimService:
    """Claim keys; every method may be called from any thread."""

    __slots__ = ('_clock', '_workers')

    def __init__(
        self,
        log: protocols.LogService,
        holder: str,
        clock: clocks.Clock,
        max_age: float = claims.DEFAULT_MAX_AGE,
    ) -> None:
        self._clock = clock
        self._workers = tuple(
            _Worker(
                log,
                claims.ClaimPartition(holder, max_age),
                claim_records.stream_of(partition),
                clock,
            )
            for partition in range(claim_records.PARTITIONS)
        )

    def start(self) -> None:
        """Start to append and read."""
        for worker in self._workers:
            worker.start()

    def stop(self, patience: float = 5) -> None:
        """Append the outcomes that wait, for ``patience`` seconds, and end."""
        until = self._clock.now() + patience
        for worker in self._workers:
            worker.flush(max(0, until - self._clock.now()))
            worker.stop()

    def claim(self, team: str, idempotency_key: str, fingerprint: str) -> Held:
        """Wish to run a request under a team's key."""
        key = claim_records.key_of(team, idempotency_key)
        worker = self._workers[claim_records.partition_of(key)]
        with worker.wake:
            ticket = worker.partition.open(
                key,
                fingerprint,
                self._clock.now(),
            )
            worker.wake.notify_all()
        return Held(ticket, worker)

    def decide(self, held: Held, patience: float) -> claims.Decision:
        """Wait for the decision, ``patience`` seconds at most."""
        try:
            decision = held.ticket.future.result(timeout=patience)
        except concurrent.futures.TimeoutError:
            with held.worker.wake:
                decision = held.worker.partition.give_up(held.ticket)
        if decision.verdict is not claims.Verdict.ANSWERED:
            return decision
        answer = held.worker.answer_at(decision.answer_offset)
        if answer is None:
            return claims.Decision(claims.Verdict.ANSWER_UNREADABLE)
        return claims.Decision(decision.verdict, answer=answer)

    def may_dispatch(self, held: Held) -> float:
        """Return the seconds left for a dispatch; 0 forbids it.

        To be asked just before each dispatch under the claim.
        """
        now = self._clock.now()
        with held.worker.wake:
            if not held.worker.partition.may_dispatch(held.ticket, now):
                return 0
            return held.worker.partition.remaining(held.ticket, now)

    def settle(
        self,
        held: Held,
        execution: errors.Execution,
        answer: claim_records.KeptAnswer | None = None,
    ) -> None:
        """Note how a claim that was ours to run ended."""
        with held.worker.wake:
            held.worker.partition.settle(held.ticket, execution, answer)
            held.worker.wake.notify_all()

    def holder_gone(self, holder: str) -> None:
        """Note that another process is gone: don't wait for its claims."""
        for worker in self._workers:
            with worker.wake:
                worker.partition.holder_gone(holder)


def _event(error: errors.ClementinepassError) -> typing.Any:
    return logger.bind(step=error.step, peer=error.peer)
