"""Proofs that a non-idempotent call runs at most once."""

from __future__ import annotations

import testtools

from tests.proofs import bench as benches
from tests.proofs import history
from tests.proofs import seeds

WHOLE = history.Saying.WHOLE
PROBLEM = history.Saying.PROBLEM
NOTHING = history.Saying.NOTHING


class OnceProof(testtools.TestCase):
    """Filing a dispatch sends one crew."""

    def test_answer_lost_after_the_effect(self) -> None:
        """The service files the dispatch, then its connection breaks.

        The caller is told "may have run"; nothing is sent again, and a
        repeat with the same key doesn't run either.
        """
        with benches.Bench(engines=0, services=1) as bench:
            for key in ('', 'k1'):
                bench.fault('service-0', kind='drop_after', path='/crews')
                operation = f'/crews/lost{key}'
                told = bench.file('entry-0', operation, key).result()
                self.assertEqual('may_have_run', told.execution, told)
            again = bench.file('entry-1', '/crews/lostk1', 'k1').result()
            self.assertEqual('may_have_run', again.execution, again)
            _, by_operation = bench.runs()
            self.assertEqual(1, by_operation['/crews/lost'])
            self.assertEqual(1, by_operation['/crews/lostk1'])
            self.assertEqual([], bench.violations())

    def test_one_key_through_all_entries_at_once(self) -> None:
        """Callers press "send" at several entries at the same instant."""
        chance = seeds.chance()
        with benches.Bench(entries=3, engines=0, services=2) as bench:
            calls = [
                (entry, f'/crews/{number}')
                for number in range(20)
                for entry in bench.system.entries
            ]
            chance.shuffle(calls)
            futures = [
                bench.file(entry, operation, f'key {operation}')
                for entry, operation in calls
            ]
            told = [future.result() for future in futures]
            self.assertEqual({WHOLE}, {one.saying for one in told}, told)
            _, by_operation = bench.runs()
            for number in range(20):
                self.assertEqual(1, by_operation[f'/crews/{number}'])
            self.assertEqual([], bench.violations())

    def test_entry_killed_between_dispatch_and_answer(self) -> None:
        """The entry that dispatched is killed; the caller asks another.

        The key's claim outlives the entry: the repeat is told "may have
        run" and never runs, also after every entry was replaced.
        """
        with benches.Bench(
            engines=0,
            services=1,
            service_arguments=('--delay-ms', '1500'),
        ) as bench:
            first = bench.file('entry-0', '/crews/7', 'k7')
            bench.await_operation('/crews/7')
            bench.process('entry-0').kill()
            self.assertEqual(NOTHING, first.result().saying)
            again = bench.file('entry-1', '/crews/7', 'k7').result()
            self.assertEqual('may_have_run', again.execution, again)
            bench.process('entry-1').kill()
            bench.process('entry-1').wait()
            bench.restart_entry('entry-0')
            later = bench.file('entry-0', '/crews/7', 'k7').result()
            self.assertEqual('may_have_run', later.execution, later)
            _, by_operation = bench.runs()
            self.assertEqual(1, by_operation['/crews/7'])
            self.assertEqual([], bench.violations())

    def test_log_down_and_answers_lost(self) -> None:
        """The log service fails in each way that it can.

        Down: "not run", with a time to come back.  Its append's answer
        lost: the claim is found by reading, and the call runs once.
        """
        with benches.Bench(engines=0, services=1) as bench:
            bench.outage('log', outage=True)
            told = bench.file('entry-0', '/crews/down', 'k1').result()
            self.assertEqual('not_run', told.execution, told)
            self.assertTrue(told.retry_after)
            bench.outage('log', outage=False)
            bench.fault(
                'log',
                kind='drop_after',
                path='/v1/streams/claims-',
                method='POST',
            )
            told = bench.file('entry-0', '/crews/lost', 'k2').result()
            self.assertEqual(WHOLE, told.saying, told)
            again = bench.file('entry-1', '/crews/down', 'k1').result()
            self.assertEqual(WHOLE, again.saying, again)
            misused = bench.file('entry-1', '/crews/other', 'k2').result()
            self.assertEqual(422, misused.status)
            _, by_operation = bench.runs()
            self.assertEqual(1, by_operation['/crews/lost'])
            self.assertNotIn('/crews/other', by_operation)
            self.assertEqual([], bench.violations())

    def test_claimed_call_may_take_its_time(self) -> None:
        """A dispatch takes longer than a claim may wait to be dispatched.

        The claim's age bounds when the call may begin, and not how long
        the service may work on it.
        """
        with benches.Bench(
            engines=0,
            services=1,
            service_arguments=('--delay-ms', '16000'),
        ) as bench:
            told = bench.file('entry-0', '/crews/slow', 'k1').result()
            self.assertEqual(WHOLE, told.saying, told)
            again = bench.file('entry-1', '/crews/slow', 'k1').result()
            self.assertEqual(WHOLE, again.saying, again)
            self.assertEqual([], bench.violations())

    def test_streamed_answer_under_a_key(self) -> None:
        """A stream under a key, and its repeat.

        The answer went out as it came and was not kept: the repeat is told
        that it ran, and not handed an empty answer.
        """
        with benches.Bench(engines=1, services=0, entries=1) as bench:
            body = benches.completion('once', 5, stream=True)
            told = []
            for _ in range(2):
                answer = bench.post(
                    'entry-0',
                    '/v1/completions',
                    body,
                    {'Idempotency-Key': 'k1'},
                )
                told.append((answer.status, b'[DONE]' in answer.data))
            self.assertEqual([(200, True), (409, False)], told)
            self.assertIn(b'"execution":"ran"', answer.data)
