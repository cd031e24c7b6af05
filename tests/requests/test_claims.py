"""Tests of idempotency claims: at most one run for a key."""

from __future__ import annotations

import typing

import testtools
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from clementinepass import clock, errors
from clementinepass.platform import protocols
from clementinepass.requests import claim_records
from clementinepass.requests import claim_service
from clementinepass.requests import claims
from tests.requests import claims_world

RUN = claims.Verdict.RUN
ANSWERED = claims.Verdict.ANSWERED
IN_PROGRESS = claims.Verdict.IN_PROGRESS
MAY_HAVE_RUN = claims.Verdict.MAY_HAVE_RUN
KEY_MISUSED = claims.Verdict.KEY_MISUSED
UNAVAILABLE = claims.Verdict.UNAVAILABLE

STEPS = settings(
    max_examples=250,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    database=None,
)
HOLDERS = strategies.integers(0, 2)
FATES = strategies.sampled_from(
    ['taken', 'answer lost', 'doubled', 'late', 'lost', 'refused'],
)


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Three holders, one key and a half, and a log that does what it likes.

    Appends are lost, late or taken without an answer; holders read, pause
    and fold later, die and come back knowing nothing; dispatches stay under
    way; records expire.  Judged: no two runs of a key within the log's
    retention, and every verdict agrees with the runs.
    """

    def __init__(self) -> None:
        super().__init__()
        self.world = claims_world.World()
        self.holders = [
            claims_world.Holder(f'h{each}', self.world) for each in range(3)
        ]
        self.deaths = 0
        self.judged: list[claims.Ticket] = []
        self.ran_by_claim: dict[str, claims.Ticket] = {}

    @stateful.rule(
        holder=HOLDERS,
        key=strategies.sampled_from(['k', 'k', 'other']),
        fingerprint=strategies.sampled_from(['f', 'f', 'f', 'g']),
    )
    def ask(self, holder: int, key: str, fingerprint: str) -> None:
        """A caller sends, or sends again, through any entry."""
        self.judged.append(self.holders[holder].open(key, fingerprint))

    @stateful.rule(holder=HOLDERS, fate=FATES)
    def append(self, holder: int, fate: str) -> None:
        """A holder appends what waits."""
        self.holders[holder].append(fate)

    @stateful.precondition(lambda machine: machine.world.late)
    @stateful.rule()
    def land(self) -> None:
        """The log takes an append whose caller has long given up."""
        self.world.log.append(self.world.late.pop(), self.world.now)

    @stateful.rule(holder=HOLDERS, limit=strategies.sampled_from([1, 3, 99]))
    def read(self, holder: int, limit: int) -> None:
        """A holder reads; it may be paused before it folds."""
        self.holders[holder].fold()
        self.holders[holder].read(limit)

    @stateful.rule(holder=HOLDERS)
    def fold(self, holder: int) -> None:
        """A holder folds what it read, perhaps long ago."""
        self.holders[holder].fold()

    @stateful.rule(holder=HOLDERS, dispatch=strategies.booleans())
    def work(self, holder: int, dispatch: bool) -> None:
        """A holder goes through all its steps without a fault."""
        self.holders[holder].append('taken')
        self.holders[holder].sync()
        if dispatch:
            self.dispatch(holder)

    @stateful.rule(holder=HOLDERS)
    def dispatch(self, holder: int) -> None:
        """A holder dispatches all that it may."""
        chosen = self.holders[holder]
        for ticket in chosen.tickets:
            if ticket.state is claims.TicketState.HELD:
                chosen.dispatch(ticket)

    @stateful.precondition(lambda machine: machine.world.sent)
    @stateful.rule(
        data=strategies.data(),
        told=strategies.sampled_from(
            ['answer', 'large answer', 'refused', 'nothing'],
        ),
    )
    def deliver(self, data: strategies.DataObject, told: str) -> None:
        """A dispatch reaches the gate."""
        position = data.draw(
            strategies.integers(0, len(self.world.sent) - 1),
        )
        self.world.deliver(self.world.sent[position], told)

    @stateful.rule(holder=HOLDERS)
    def give_up(self, holder: int) -> None:
        """The callers of one holder are told at once."""
        for ticket in self.holders[holder].tickets:
            if not ticket.future.done():
                self.holders[holder].partition.give_up(ticket)

    @stateful.rule(holder=HOLDERS)
    def die(self, holder: int) -> None:
        """A holder is killed; its successor knows nothing.

        Its dispatches under way arrive all the same.
        """
        self.deaths += 1
        name = f'h{holder}-{self.deaths}'
        self.holders[holder] = claims_world.Holder(name, self.world)

    @stateful.rule(
        seconds=strategies.sampled_from([0.5, 1.0, 2.0, 14.0, 590.0, 700.0]),
    )
    def pass_time(self, seconds: float) -> None:
        """Time passes for everybody, paused or not."""
        self.world.now += seconds

    @stateful.invariant()
    def one_run_for_a_key(self) -> None:
        """Two runs of a key lie further apart than the log's memory."""
        last_by_key: dict[str, float] = {}
        for run in self.world.runs:
            last = last_by_key.get(run.key)
            if last is not None:
                apart = run.at - last
                least = claims_world.RETENTION - claims.DEFAULT_MAX_AGE
                assert apart >= least, (run, apart)
            last_by_key[run.key] = run.at

    @stateful.invariant()
    def verdicts_agree_with_runs(self) -> None:
        """Nobody is told "not run" of a run, nor given another's answer."""
        runs_by_claim = {run.claim_id: run for run in self.world.runs}
        for ticket in self.judged:
            if not ticket.future.done():
                continue
            verdict = ticket.future.result(timeout=0).verdict
            if verdict in {UNAVAILABLE, KEY_MISUSED}:
                assert ticket.claim_id not in runs_by_claim
            elif verdict is ANSWERED:
                answer = self.world.answer(ticket)
                run = runs_by_claim[answer.body.decode()]
                assert run.key == ticket.key
                assert run.fingerprint == ticket.fingerprint

    def teardown(self) -> None:
        """With the log back, no caller waits for ever."""
        for holder in self.holders:
            for _ in range(4):
                holder.append('taken')
                holder.sync()
            for ticket in holder.tickets:
                holder.partition.give_up(ticket)
                assert ticket.future.done()
        self.verdicts_agree_with_runs()


ClaimMachineTest = ClaimMachine.TestCase
ClaimMachineTest.settings = STEPS


class ClaimStoriesTest(testtools.TestCase):
    """Single stories of claims, each with two entries A and B."""

    def setUp(self) -> None:
        """Start with two entries and an empty log."""
        super().setUp()
        self.world = claims_world.World()
        self.first = claims_world.Holder('A', self.world)
        self.second = claims_world.Holder('B', self.world)

    def _settle(self, *holders: claims_world.Holder) -> None:
        for holder in holders:
            holder.append('taken')
        for holder in holders:
            holder.sync()

    def _verdict(self, ticket: claims.Ticket) -> claims.Verdict | None:
        if not ticket.future.done():
            return None
        return ticket.future.result(timeout=0).verdict

    def test_same_instant_through_two_entries(self) -> None:
        """A caller's repeat reaches another entry at the same instant.

        Both append a claim; the lower offset holds the key.  B waits, and
        answers from the record once A's run has ended.
        """
        one = self.first.open('k', 'f')
        two = self.second.open('k', 'f')
        self._settle(self.second, self.first)
        self.assertIs(None, self._verdict(one))
        self.assertEqual(RUN, self._verdict(two))
        self.second.dispatch(two)
        self.world.deliver(self.world.sent[0], 'answer')
        self._settle(self.second, self.first)
        self.assertEqual(ANSWERED, self._verdict(one))
        self.assertEqual(
            two.claim_id.encode(),
            self.world.answer(one).body,
        )

    def test_holder_killed(self) -> None:
        """The entry that claimed is killed; every process is replaced.

        The repeat finds a claim that nobody ends: it may have run, and is
        never run again.  Once the holder is known to be gone, its caller
        isn't kept waiting.
        """
        self.first.open('k', 'f')
        self._settle(self.first)
        successor = claims_world.Holder('C', self.world)
        again = successor.open('k', 'f')
        self._settle(successor)
        self.assertIs(None, self._verdict(again))
        successor.partition.holder_gone('A')
        self.assertEqual(MAY_HAVE_RUN, self._verdict(again))
        later = successor.open('k', 'f')
        self.assertEqual(MAY_HAVE_RUN, self._verdict(later))

    def test_lost_append_answer(self) -> None:
        """The log took the claim, but its answer was lost: reading tells."""
        ticket = self.first.open('k', 'f')
        self.first.append('answer lost')
        self.assertIs(None, self._verdict(ticket))
        self.first.sync()
        self.assertEqual(RUN, self._verdict(ticket))

    def test_no_log(self) -> None:
        """The log refuses connections, or does not answer in time.

        The caller is told "not run" and when to come back.  The claim that
        the log took after all is released when it turns up, so that the
        repeat runs.
        """
        refused = self.first.open('k', 'f')
        self.first.append('refused')
        self.assertEqual(UNAVAILABLE, self._verdict(refused))
        slow = self.first.open('k', 'f')
        self.first.append('late')
        self.first.partition.give_up(slow)
        self.assertEqual(UNAVAILABLE, self._verdict(slow))
        self.world.log.append(self.world.late.pop(), 1)
        repeat = self.second.open('k', 'f')
        self._settle(self.second)
        self.assertIs(None, self._verdict(repeat))
        self.first.sync()
        self._settle(self.first, self.second)
        self._settle(self.second)
        self.assertEqual(RUN, self._verdict(repeat))

    def test_paused_past_everything(self) -> None:
        """A holder is frozen between its claim and its dispatch.

        Its claim expires, B claims the key and runs.  The holder wakes, its
        read's answer in hand, and must not dispatch, whether it was frozen
        before or after folding it, or with the dispatch under way.
        """
        for frozen in ('before the fold', 'after it', 'under way'):
            with self.subTest(frozen):
                self.world = claims_world.World()
                first = claims_world.Holder('A', self.world)
                second = claims_world.Holder('B', self.world)
                ticket = first.open('k', 'f')
                first.append('taken')
                first.read()
                if frozen != 'before the fold':
                    first.fold()
                if frozen == 'under way':
                    first.dispatch(ticket)
                self.world.now += claims_world.RETENTION + 1
                other = second.open('k', 'f')
                second.sync()
                self._settle(second)
                self.assertEqual(RUN, self._verdict(other))
                second.dispatch(other)
                self.world.deliver(self.world.sent[-1], 'answer')
                first.fold()
                first.dispatch(ticket)
                for sent in tuple(self.world.sent):
                    self.world.deliver(sent, 'answer')
                self.assertEqual(1, len(self.world.runs))

    def test_ends(self) -> None:
        """What the record says of an ended claim is what a repeat gets."""
        stories = (
            ('answer', ANSWERED),
            ('large answer', claims.Verdict.ANSWER_NOT_KEPT),
            ('nothing', MAY_HAVE_RUN),
            ('refused', RUN),
        )
        for told, expected in stories:
            with self.subTest(told):
                key = f'key-{told}'
                ticket = self.first.open(key, 'f')
                self._settle(self.first)
                self.first.dispatch(ticket)
                self.world.deliver(self.world.sent[0], told)
                self._settle(self.first, self.second)
                misused = self.second.open(key, 'g')
                again = self.second.open(key, 'f')
                self._settle(self.second)
                if told == 'refused':
                    # Free again: whoever claims first has it.
                    self.assertEqual(RUN, self._verdict(misused))
                    continue
                self.assertEqual(KEY_MISUSED, self._verdict(misused))
                self.assertEqual(expected, self._verdict(again))

    def test_claim_expires_before_its_end(self) -> None:
        """The claim's record has expired, the end's has not.

        An entry that started since reads only the end, which proves that
        the key was held; and a claim that lost must not hold it now.
        """
        ticket = self.first.open('k', 'f')
        self._settle(self.first)
        loser = self.second.open('k', 'f')
        self.world.now += claims_world.RETENTION - 1
        self.second.append('taken')
        self.first.dispatch(ticket)
        self.first.partition.settle(ticket, errors.Execution.RAN)
        self.first.append('taken')
        self.world.now += 2
        late = claims_world.Holder('C', self.world)
        # The first read only learns how much has expired.
        late.sync()
        late.sync()
        again = late.open('k', 'f')
        expected = claims.Verdict.ANSWER_NOT_KEPT
        self.assertEqual(expected, self._verdict(again))
        self.second.sync()
        self.assertEqual(UNAVAILABLE, self._verdict(loser))
        self.second.sync()
        repeat = self.second.open('k', 'f')
        self.assertEqual(expected, self._verdict(repeat))

    def test_late_copy_of_a_released_claim(self) -> None:
        """The log takes a claim twice, the copy after its release.

        The copy must not hold the key: nobody would ever end it.
        """
        ticket = self.first.open('k', 'f')
        self.first.append('doubled')
        self.first.sync()
        self.first.partition.settle(ticket, errors.Execution.NOT_RUN)
        self._settle(self.first)
        self.world.log.append(self.world.late.pop(), 0)
        repeat = self.second.open('k', 'f')
        self._settle(self.second)
        self.assertEqual(RUN, self._verdict(repeat))

    def test_garbage_is_skipped(self) -> None:
        """A payload that nobody can decode stops no reader."""
        self.world.log.append((b'\xc1garbage',), 0)
        ticket = self.first.open('k', 'f')
        self._settle(self.first)
        self.assertEqual(RUN, self._verdict(ticket))

    def test_every_refusal_has_its_words(self) -> None:
        """Each verdict but run and answer has a problem that fits it."""
        executions = {
            verdict: claims.problem_of(
                claims.Decision(verdict),
                request_id='r',
                peer='log',
            ).execution
            for verdict in claims.Verdict
            if verdict not in {RUN, ANSWERED}
        }
        self.assertEqual(errors.Execution.NOT_RUN, executions[UNAVAILABLE])
        self.assertEqual(
            errors.Execution.MAY_HAVE_RUN,
            executions[IN_PROGRESS],
        )


class _ServiceLog:
    """A log service in memory whose answers can be lost."""

    def __init__(self) -> None:
        self.logs: dict[str, claims_world.Log] = {}
        self.fate = 'taken'

    def append(
        self,
        stream: str,
        payloads: typing.Sequence[bytes],
    ) -> tuple[int, ...]:
        """Append as the fate has it."""
        if self.fate != 'down':
            log = self.logs.setdefault(stream, claims_world.Log())
            log.append(tuple(payloads), 0)
        if self.fate != 'taken':
            raise errors.PlatformUnavailableError(
                'no answer',
                step='append',
                peer='log',
                sent=self.fate != 'down',
            )
        return ()

    def read(
        self,
        stream: str,
        offset: int,
        *,
        limit: int = 1000,
        wait: float = 0,
    ) -> protocols.RecordPage:
        """Read without waiting."""
        log = self.logs.setdefault(stream, claims_world.Log())
        return log.read(offset, 0, limit)


class ClaimServiceTest(testtools.TestCase):
    """The threads of two entries on one log."""

    def setUp(self) -> None:
        """Start two services."""
        super().setUp()
        self.log = _ServiceLog()
        self.services = [
            claim_service.ClaimService(
                self.log,
                name,
                clock.MonotonicClock(),
            )
            for name in 'AB'
        ]
        for service in self.services:
            service.start()
            self.addCleanup(service.stop)

    def test_run_then_answer(self) -> None:
        """One entry runs, the other answers from the record."""
        one, two = self.services
        held = one.claim('team', 'key', 'f')
        self.assertEqual(RUN, one.decide(held, 30).verdict)
        self.assertGreater(one.may_dispatch(held), 0)
        repeat = two.claim('team', 'key', 'f')
        answer = claim_records.kept(200, 'text/plain', b'done')
        one.settle(held, errors.Execution.RAN, answer)
        decision = two.decide(repeat, 30)
        self.assertEqual(answer, decision.answer)
        self.assertEqual(0, one.may_dispatch(held))

    def test_lost_answer_and_outage(self) -> None:
        """A lost answer is resolved by reading; an outage refuses."""
        one = self.services[0]
        self.log.fate = 'answer lost'
        held = one.claim('team', 'lost', 'f')
        self.assertEqual(RUN, one.decide(held, 30).verdict)
        self.log.fate = 'down'
        refused = one.claim('team', 'down', 'f')
        self.assertEqual(UNAVAILABLE, one.decide(refused, 30).verdict)
        self.log.fate = 'taken'
        one.settle(held, errors.Execution.NOT_RUN)
        again = self.services[1].claim('team', 'lost', 'f')
        self.assertEqual(RUN, self.services[1].decide(again, 30).verdict)
