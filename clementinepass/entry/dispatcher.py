"""One request from its admission to its final answer."""

from __future__ import annotations

import asyncio
import time
import typing

import msgspec
import xxhash
from loguru import logger

from clementinepass import errors
from clementinepass.decisions import reasons, retry_budget, tickets
from clementinepass.entry import desk as desks
from clementinepass.entry import exchange as exchanges
from clementinepass.entry import outbox as outboxes
from clementinepass.requests import (
    identity,
    outcome,
    problem,
    quarantine,
)
from clementinepass.wire import messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from clementinepass import clock as clocks
    from clementinepass.entry import fleet as fleets
    from clementinepass.entry import instruments

_SECOND = 1000
#: Seconds after which asking again makes sense when no endpoint serves the
#: target: about the time in which a replaced instance comes up.
_NO_ENDPOINT_RETRY = 2.0
#: Seconds after which a caller may ask another entry.
_LEAVING_RETRY = 1.0
#: The share of fresh traffic that may be retried.
_RETRY_SHARE = 0.1
#: Seconds between tries of a suspect to find an endpoint without another
#: suspect. Load: all that ran at an endpoint that died comes back one by one;
#: 16 requests at 20 tries a second stay far below what a gate can answer.
_APART_POLL = 0.05
#: Seconds by which the clocks of two instances may differ. Far less than the
#: log keeps claims, far more than clocks are apart in practice.
_CLOCK_TOLERANCE = 10.0
#: Times that a request may go back to the queue because all gates were full.
#: Each follows a fresh report, so a request that meets full gates so often
#: competes with others that will not give way before its deadline.
_MOST_RETURNS = 20
#: Bytes of a body that must be equal for its prompt to count as repeated, and
#: the least length for which a cached beginning is worth a detour: about 500
#: tokens.
_LEAST_PREFIX = 2048
#: Seconds between looks at a request whose first piece has not come.
_OVERDUE_POLL = 0.25
#: What a gate says that has no free place.
_FULL = 'full'
_PRIORITY_CLASSES = {
    identity.Priority.INTERACTIVE: tickets.PriorityClass.NORMAL,
    identity.Priority.BATCH: tickets.PriorityClass.BATCH,
}


class Work(msgspec.Struct, frozen=True):
    """A request and what must hold before each of its dispatches."""

    request: identity.Request
    #: Seconds for which a dispatch is allowed still; 0 forbids it. For
    #: requests with a claim this says whether the claim still holds.
    permit: Callable[[], float]


class Trial(msgspec.Struct):
    """Attempts made for one request so far."""

    attempts: int = 0
    crash_retries: int = 0
    returns: int = 0
    excluded: set[str] = msgspec.field(default_factory=set)
    #: Whether a gate kept it apart from another suspect.
    kept_apart: bool = False
    last: exchanges.Exchange | None = None


class Served(msgspec.Struct, frozen=True):
    """How a request ended."""

    execution: errors.Execution
    #: The answer, where it was whole and not streamed.
    exchange: exchanges.Exchange | None
    problem: problem.Problem | None


class Dispatcher:
    """Serve requests: admit, place, dispatch, retry and conclude."""

    def __init__(
        self,
        entry: str,
        fleet: fleets.Fleet,
        quarantined: quarantine.Quarantine,
        desk_for: Callable[[str], desks.Desk],
        metrics: instruments.Instruments,
        clock: clocks.Clock,
    ) -> None:
        self._entry = entry
        self._fleet = fleet
        self._quarantine = quarantined
        self._desk_for = desk_for
        self._metrics = metrics
        self._clock = clock
        self._budget = retry_budget.RetryBudget.from_share(_RETRY_SHARE)

    async def serve(self, work: Work, outbox: outboxes.Outbox) -> Served:
        """Serve one request and put its whole answer into the outbox."""
        trial = Trial()
        try:
            served = await self._serve(work, outbox, trial)
        except asyncio.CancelledError:
            # The thread of the caller waits for an end when the entry leaves
            # while the request is in progress.
            cut_off = self._cut_off(work.request, trial)
            outbox.put(outboxes.End(cut_off.problem))
            raise
        except Exception as error:
            # A fault of ours must not leave the caller waiting for an end
            # that never comes.
            logger.bind(
                request_id=work.request.id,
                team=work.request.team,
                step='serve',
                peer=self._entry,
            ).exception('fault')
            served = self._faulty(work.request, error)
        outbox.put(outboxes.End(served.problem))
        return served

    def _faulty(self, request: identity.Request, error: Exception) -> Served:
        execution = errors.Execution.MAY_HAVE_RUN
        return Served(
            execution,
            None,
            problem.Problem.of(
                problem.Reason.INTERNAL,
                execution,
                step='serve',
                peer=self._entry,
                request_id=request.id,
                detail=repr(error),
            ),
        )

    async def _serve(
        self,
        work: Work,
        outbox: outboxes.Outbox,
        trial: Trial,
    ) -> Served:
        request = work.request
        refusal = self._judge(request)
        if refusal is not None:
            return _refused(refusal)
        desk = self._desk_for(request.target)
        ticket = tickets.Ticket(
            request.id,
            request.team,
            _PRIORITY_CLASSES[request.priority],
            request.deadline,
        )
        began = self._clock.now()
        decision = await desk.enter(ticket)
        self._metrics.waited(request, self._clock.now() - began)
        if decision.kind is tickets.DecisionKind.REFUSE:
            return _refused(self._refusal(request, decision))
        return await self._serve_admitted(work, outbox, desk, ticket, trial)

    async def _serve_admitted(
        self,
        work: Work,
        outbox: outboxes.Outbox,
        desk: desks.Desk,
        ticket: tickets.Ticket,
        trial: Trial,
    ) -> Served:
        self._budget.record_first_attempt(self._clock.now())
        admitted = True
        served: Served | None = None
        try:
            while served is None:
                served = await self._attempt(work, outbox, trial)
                if served is None and self._all_full(work.request, trial):
                    admitted = False
                    decision = await desk.enter_again(
                        ticket,
                        found_full=_found_full(trial),
                    )
                    admitted = decision.kind is tickets.DecisionKind.ADMIT
                    if not admitted:
                        served = _refused(
                            self._refusal(work.request, decision),
                        )
                    trial.excluded.clear()
                    trial.returns += 1
        finally:
            if admitted:
                whole = served is not None and served.problem is None
                desk.leave(ticket, succeeded=whole)
        return served

    async def _attempt(
        self,
        work: Work,
        outbox: outboxes.Outbox,
        trial: Trial,
    ) -> Served | None:
        """Make one attempt; ``None`` where another one may follow."""
        request = work.request
        fingerprint = request.fingerprint()
        placed = await self._place(request, trial)
        permit = min(work.permit(), request.deadline - self._clock.now())
        if permit <= 0:
            return self._late(request, trial)
        if placed is None:
            return self._nowhere(request, trial)
        trial.attempts += 1
        agent = placed.candidate.agent
        exchange = exchanges.Exchange(
            request,
            outcome.Attempt(request.id, trial.attempts, agent),
            outbox,
            self._metrics.between,
        )
        trial.last = exchange
        self._fleet.began(agent, exchange, fingerprint, time.time())
        try:
            await self._exchange(placed, exchange, permit)
        finally:
            self._fleet.finished(agent, exchange)
            placed.peer.finish(exchange)
        if exchange.refusal == _FULL:
            # Only now: the refused attempt must not count as one that occupies
            # a slot.
            self._fleet.full(agent)
        return self._conclude(request, exchange, trial)

    async def _exchange(
        self,
        placed: fleets.Placed,
        exchange: exchanges.Exchange,
        permit: float,
    ) -> None:
        began = self._clock.now()
        # The permit bounds when the gate may begin, the deadline the rest:
        # a claim that allows a dispatch for 15 s allows a run of a minute.
        seconds = exchange.request.deadline - began
        dispatch = _to_dispatch(
            exchange,
            placed.candidate,
            seconds,
            admit_before=time.time() + permit + _CLOCK_TOLERANCE,
            suspect=self._is_suspect(exchange.request),
        )
        try:
            async with asyncio.timeout(seconds):
                verdict = await placed.peer.dispatch(exchange, dispatch)
                self._take_verdict(exchange, verdict)
                await self._follow(placed, exchange, began)
        except TimeoutError:
            exchange.detail = 'the deadline has passed'
            exchange.attempt.given_up()
        except asyncio.CancelledError:
            # The caller has gone away: the endpoint must not go on working
            # for nobody. Told from a task of its own, since this one ends.
            exchange.attempt.given_up()
            asyncio.ensure_future(placed.peer.cancel(exchange))
            raise
        if exchange.attempt.phase is outcome.Phase.FAILED:
            await self._clean_up(placed, exchange)

    async def _clean_up(
        self,
        placed: fleets.Placed,
        exchange: exchanges.Exchange,
    ) -> None:
        if exchange.attempt.crashed:
            self._note_crash(placed, exchange)
        else:
            await placed.peer.cancel(exchange)
        self._fleet.failed(
            exchange.request.target,
            placed.candidate.agent,
        )

    async def _follow(
        self,
        placed: fleets.Placed,
        exchange: exchanges.Exchange,
        began: float,
    ) -> None:
        exchange.settle()
        if exchange.finished.is_set():
            return
        answering = asyncio.ensure_future(exchange.answering.wait())
        finished = asyncio.ensure_future(exchange.finished.wait())
        try:
            overdue = False
            while not (answering.done() or finished.done()):
                await asyncio.wait(
                    {answering, finished},
                    timeout=_OVERDUE_POLL,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                overdue = overdue or self._fleet.overdue(
                    exchange.request.target,
                    placed.candidate.agent,
                    self._clock.now() - began,
                )
            self._note_first(placed, exchange, began, overdue=overdue)
            await finished
        finally:
            answering.cancel()
            finished.cancel()

    def _note_first(
        self,
        placed: fleets.Placed,
        exchange: exchanges.Exchange,
        began: float,
        *,
        overdue: bool,
    ) -> None:
        if not exchange.answering.is_set():
            return
        seconds = self._clock.now() - began
        self._metrics.first_token(exchange.request, seconds)
        if not overdue:
            self._fleet.answered(
                exchange.request.target,
                placed.candidate.agent,
                seconds,
            )

    def _take_verdict(
        self,
        exchange: exchanges.Exchange,
        verdict: messages.Verdict | None,
    ) -> None:
        if verdict is None:
            return
        if verdict.accepted:
            exchange.attempt.accepted()
            return
        exchange.detail = f'the gate refused: {verdict.reason}'
        exchange.refusal = verdict.reason
        exchange.attempt.refused()
        self._metrics.gate_refused(verdict.reason)

    def _note_crash(
        self,
        placed: fleets.Placed,
        exchange: exchanges.Exchange,
    ) -> None:
        agent = placed.candidate.agent
        incarnation = placed.candidate.report.incarnation
        # A death of the whole instance has no name from the agent; its
        # process's name serves, which all entries know.
        crash = exchange.crash or f'{agent}/{incarnation}'
        self._quarantine.died(
            crash,
            self._fleet.in_flight.at(agent),
            time.time(),
        )

    def _conclude(
        self,
        request: identity.Request,
        exchange: exchanges.Exchange,
        trial: Trial,
    ) -> Served | None:
        attempt = exchange.attempt
        if attempt.phase is outcome.Phase.ENDED:
            self._quarantine.answered(
                request.fingerprint(),
                exchange.sent_at,
                time.time(),
            )
            return Served(errors.Execution.RAN, exchange, None)
        retry = attempt.retry(
            idempotent=request.idempotent,
            crash_retries=trial.crash_retries,
        )
        if retry is outcome.Retry.FORBIDDEN:
            return self._failed(exchange)
        trial.kept_apart = exchange.refusal == messages.SUSPECT_RUNNING
        if not trial.kept_apart:
            trial.excluded.add(attempt.peer)
        if attempt.phase is outcome.Phase.REFUSED:
            # The gate did no work for it, so it costs no retry budget.
            return None
        if retry is outcome.Retry.AFTER_CRASH:
            trial.crash_retries += 1
            if self._judge(request) is not None:
                return self._failed(exchange)
        elif not self._budget.try_acquire(self._clock.now()):
            return self._failed(exchange)
        self._metrics.retried(request)
        return None

    def _all_full(self, request: identity.Request, trial: Trial) -> bool:
        left = self._fleet.place(
            request.target,
            request.fingerprint(),
            frozenset(trial.excluded),
            time.time(),
        )
        return left is None and trial.returns < _MOST_RETURNS

    async def _place(
        self,
        request: identity.Request,
        trial: Trial,
    ) -> fleets.Placed | None:
        """Choose an endpoint; a suspect waits for one without another.

        Suspects of one crash run one by one at each endpoint. They wait for
        their turn here: refused, innocent requests would fail for having
        been beside the one that kills endpoints.
        """
        while True:
            if trial.kept_apart:
                await asyncio.sleep(_APART_POLL)
            excluded = frozenset(trial.excluded)
            placed = self._fleet.place(
                request.target,
                request.fingerprint(),
                excluded,
                time.time(),
                _prefix_key(request),
            )
            waits = (
                placed is None
                and self._is_suspect(request)
                and self._fleet.serves(request.target, excluded)
                and self._clock.now() < request.deadline
            )
            if not waits:
                return placed
            trial.kept_apart = True

    def _is_suspect(self, request: identity.Request) -> bool:
        judgement = self._quarantine.judge(request.fingerprint(), time.time())
        return judgement.standing is not quarantine.Standing.FREE

    def _judge(self, request: identity.Request) -> problem.Problem | None:
        judgement = self._quarantine.judge(request.fingerprint(), time.time())
        if judgement.standing is not quarantine.Standing.QUARANTINED:
            return None
        return self._not_run(
            request,
            problem.Reason.QUARANTINED,
            step='quarantine',
            retry_after=judgement.retry_after,
        )

    def _refusal(
        self,
        request: identity.Request,
        decision: tickets.Decision,
    ) -> problem.Problem:
        reason = problem.Reason.OVERLOADED
        if decision.reason is reasons.Refusal.UNKNOWN_TEAM:
            reason = problem.Reason.FORBIDDEN
        elif decision.reason is reasons.Refusal.NO_CAPACITY:
            reason = problem.Reason.NO_ENDPOINT
        elif decision.reason is reasons.Refusal.DEADLINE:
            reason = problem.Reason.DEADLINE
        detail = decision.reason.value if decision.reason else ''
        logger.bind(
            request_id=request.id,
            team=request.team,
            step='admission',
            peer=self._entry,
            target=request.target,
            endpoints=self._fleet.describe(request.target),
        ).info('not admitted: {}', detail)
        return self._not_run(
            request,
            reason,
            step='admission',
            detail=detail,
            retry_after=decision.retry_after or None,
        )

    def _late(self, request: identity.Request, trial: Trial) -> Served:
        if trial.last is not None:
            return self._failed(trial.last)
        return _refused(
            self._not_run(
                request,
                problem.Reason.DEADLINE,
                step='dispatch',
            ),
        )

    def _cut_off(self, request: identity.Request, trial: Trial) -> Served:
        if trial.last is not None:
            trial.last.detail = trial.last.detail or 'the request was cut off'
            return self._failed(trial.last)
        return _refused(
            self._not_run(
                request,
                problem.Reason.LEAVING,
                step='drain',
                retry_after=_LEAVING_RETRY,
            ),
        )

    def _nowhere(self, request: identity.Request, trial: Trial) -> Served:
        if trial.last is not None:
            return self._failed(trial.last)
        return _refused(
            self._not_run(
                request,
                problem.Reason.NO_ENDPOINT,
                step='place',
                retry_after=_NO_ENDPOINT_RETRY,
            ),
        )

    def _failed(self, exchange: exchanges.Exchange) -> Served:
        attempt = exchange.attempt
        retry_after = None
        if attempt.execution is errors.Execution.NOT_RUN:
            retry_after = _NO_ENDPOINT_RETRY
        problem_of_attempt = problem.Problem.of_attempt(
            _reason_of(exchange),
            attempt,
            step='answer' if attempt.relayed else 'dispatch',
            detail=exchange.detail,
            retry_after=retry_after,
        )
        return Served(attempt.execution, None, problem_of_attempt)

    def _not_run(
        self,
        request: identity.Request,
        reason: problem.Reason,
        *,
        step: str,
        detail: str = '',
        retry_after: float | None = None,
    ) -> problem.Problem:
        return problem.Problem.not_run(
            reason,
            step=step,
            peer=self._entry,
            request_id=request.id,
            detail=detail,
            retry_after=retry_after,
        )


def _found_full(trial: Trial) -> bool:
    last = trial.last
    return last is not None and last.refusal == _FULL


def _prefix_key(request: identity.Request) -> str:
    """Return what requests with the same beginning have in common.

    Kept apart by team: which prompts are cached where must not show in
    another team's waiting times.
    """
    if len(request.body) < _LEAST_PREFIX:
        return ''
    digest = xxhash.xxh3_64_hexdigest(request.body[:_LEAST_PREFIX])
    return f'{request.team}/{request.target}/{digest}'


def _refused(refusal: problem.Problem) -> Served:
    return Served(errors.Execution.NOT_RUN, None, refusal)


def _reason_of(exchange: exchanges.Exchange) -> problem.Reason:
    attempt = exchange.attempt
    if attempt.relayed:
        return problem.Reason.TRUNCATED
    if attempt.crashed:
        return problem.Reason.ENDPOINT_DIED
    if attempt.phase is outcome.Phase.REFUSED:
        is_full = exchange.refusal == _FULL
        return (
            problem.Reason.OVERLOADED if is_full else problem.Reason.NO_ENDPOINT
        )
    if not attempt.connected:
        return problem.Reason.CONNECTION_LOST
    return problem.Reason.ENDPOINT_FAILED


def _to_dispatch(
    exchange: exchanges.Exchange,
    candidate: typing.Any,
    seconds: float,
    *,
    admit_before: float,
    suspect: bool,
) -> messages.Dispatch:
    request = exchange.request
    return messages.Dispatch(
        request_id=request.id,
        attempt=exchange.key.attempt,
        team=request.team,
        target=request.target,
        version=candidate.report.version,
        method=request.method,
        path=request.path,
        content_type=request.content_type,
        body=request.body,
        remaining=int(seconds * _SECOND),
        stream=request.stream,
        priority=int(_PRIORITY_CLASSES[request.priority]),
        admit_before=int(admit_before * _SECOND),
        suspect=suspect,
    )
