"""Proofs about instances that leave, and endpoints that change."""

from __future__ import annotations

import testtools

from tests.proofs import bench as benches
from tests.proofs import history
from tests.proofs import seeds

WHOLE = history.Saying.WHOLE


class LeavingProof(testtools.TestCase):
    """A graceful shutdown cuts off nothing."""

    def test_agent_drains_under_streams(self) -> None:
        """An agent is told to leave; the instance list never shows it.

        Its streams end whole, new work goes elsewhere at once, and the
        process ends by itself.
        """
        chance = seeds.chance()
        with benches.Bench(engines=2, services=0) as bench:
            leaving = chance.randrange(2)
            streams = bench.streams((f's{each}' for each in range(8)), 300)
            agent = bench.process(f'agent-{leaving}')
            agent.terminate()
            bench.await_phase(f'agent-{leaving}', 'draining')
            before = bench.engine_runs(leaving)
            futures = [
                bench.complete(bench.system.entries[each % 2], f'n{each}', 3)
                for each in range(20)
            ]
            for future in futures:
                self.assertEqual(WHOLE, future.result().saying)
            self.assertEqual(before, bench.engine_runs(leaving))
            for one in streams:
                self.assertEqual(WHOLE, one.told().saying, one.told())
            self.assertEqual(0, agent.wait())
            self.assertEqual([], bench.violations())

    def test_entry_drains_under_streams(self) -> None:
        """An entry is told to leave while callers still hold its address.

        Callers with the old list are served, new lists don't name it, and
        its streams end whole before the process does.
        """
        with benches.Bench(
            engines=2,
            services=0,
            max_age='2s',
        ) as bench:
            streams = [
                bench.stream('entry-0', f's{each}', 1400) for each in range(4)
            ]
            for one in streams:
                one.begun.wait()
            entry = bench.process('entry-0')
            entry.terminate()
            bench.await_unlisted('entry-0', at='entry-1')
            late = bench.complete('entry-0', 'late', 3).result()
            self.assertEqual(WHOLE, late.saying, late)
            for one in streams:
                self.assertEqual(WHOLE, one.told().saying, one.told())
            self.assertEqual(0, entry.wait())
            self.assertEqual([], bench.violations())

    def test_entry_killed(self) -> None:
        """An entry is killed; its callers take the next address."""
        with benches.Bench(engines=1, services=1) as bench:
            bench.await_listed('entry-1', at='entry-0')
            bench.await_listed('entry-0', at='entry-1')
            bench.process('entry-0').kill()
            told = bench.complete('entry-1', 'next', 3).result()
            self.assertEqual(WHOLE, told.saying)
            bench.await_unlisted('entry-0', at='entry-1')

    def test_entry_that_knows_no_others_yet(self) -> None:
        """An entry starts while the instance list does not answer.

        A caller that asks it for addresses is told to come back: an empty
        list would be kept, and leave the caller with nowhere to go.
        """
        with benches.Bench(engines=0, services=1) as bench:
            bench.outage('list', outage=True)
            bench.start_entry('entry-2')
            answer = bench.system.call('entry-2', 'GET', '/v1/entries')
            self.assertEqual(503, answer.status, answer.body)
            self.assertIn('Retry-After', answer.headers)
            bench.outage('list', outage=False)
            bench.await_listed('entry-0', at='entry-2')

    def test_engine_serves_something_else(self) -> None:
        """An engine changes its version behind the agent's back.

        The read-back before each run finds it: no caller gets an answer of
        another version, and the other endpoint serves on.
        """
        with benches.Bench(engines=2, services=0) as bench:
            bench.system.request(
                'engine-0',
                'POST',
                '/control/serve',
                b'{"version": "v0", "digest": "0"}',
            )
            for each in range(12):
                told = bench.complete('entry-0', f'p{each}', 3).result()
                self.assertEqual(WHOLE, told.saying, told)
                self.assertEqual(benches.VERSION, told.version)
            self.assertEqual([], bench.violations())


class CrashProof(testtools.TestCase):
    """A request that kills endpoints takes two, and only itself along."""

    def test_killer_among_innocents(self) -> None:
        """One caller's request ends each engine that runs it.

        It takes two engines down, its retry included, and is refused from
        then on at every entry, with a time to come back.  Requests that
        were beside it are answered whole by the third.
        """
        with benches.Bench(
            engines=3,
            services=0,
            engine_arguments=('--crash-on', 'KILLER'),
        ) as bench:
            entries = bench.system.entries
            innocents = [
                bench.complete(entries[each % 2], f'innocent {each}', 150)
                for each in range(12)
            ]
            bench.await_running(12)
            told = bench.complete('entry-0', 'KILLER', 3).result()
            self.assertEqual('may_have_run', told.execution, told)
            again = bench.complete('entry-0', 'KILLER', 3).result()
            self.assertEqual('quarantined', again.reason, again)
            self.assertEqual('not_run', again.execution)
            self.assertGreater(int(again.retry_after), 60)
            elsewhere = bench.await_quarantined('entry-1', 'KILLER')
            self.assertEqual('not_run', elsewhere.execution)
            alive = [
                name
                for name in ('engine-0', 'engine-1', 'engine-2')
                if bench.process(name).running
            ]
            self.assertEqual(1, len(alive), alive)
            for future in innocents:
                self.assertEqual(WHOLE, future.result().saying)
            later = bench.complete('entry-1', 'innocent 1', 3).result()
            self.assertEqual(WHOLE, later.saying, later)
            self.assertEqual([], bench.violations())
