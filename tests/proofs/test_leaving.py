"""Proofs about instances that leave, and endpoints that change."""

from __future__ import annotations

import contextlib
import socket
import time

import testtools

from clementinepass.membership import entries
from standins import system as systems
from tests.proofs import bench as benches
from tests.proofs import history
from tests.proofs import seeds

WHOLE = history.Saying.WHOLE
_MAX_AGE = 1.0
_GRACE = 1.0
#: Seconds beyond the offer and the grace within which a process ends.
_CLOSE = 2.0
#: Seconds for which a leaving entry still accepts requests.
_OFFER = _MAX_AGE + entries.DEFAULT_MARGIN


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


class BoundedStopProof(testtools.TestCase):
    """A process ends within its bound, whatever others do meanwhile.

    The platform kills a process that has not ended in time, with all that it
    still carries.
    """

    def open_bench(self) -> benches.Bench:
        """Return a system whose processes have to end soon."""
        return benches.Bench(
            engines=1,
            services=1,
            max_age=f'{_MAX_AGE:.0f}s',
            drain_grace=f'{_GRACE:.0f}s',
        )

    def assert_ends(
        self, bench: benches.Bench, name: str, began: float, seconds: float
    ) -> None:
        """Check that a process ends within some seconds."""
        self.assertEqual(0, bench.process(name).wait())
        self.assertLess(time.monotonic() - began, seconds)

    def test_callers_that_do_not_read(self) -> None:
        """Callers read no response, send half a request or keep idle."""
        unread = benches.completion('unread', 20000, stream=True)
        head = (
            'POST /v1/completions HTTP/1.1\r\nHost: entry\r\n'
            f'Authorization: Bearer {systems.KEY}\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(unread)}\r\n\r\n'
        ).encode()
        with self.open_bench() as bench, contextlib.ExitStack() as stack:
            host, _, port = bench.system.callers['entry-1'].rpartition(':')
            for sent in (b'', head[:60], head, head + unread) * 4:
                client = socket.create_connection((host, int(port)))
                stack.enter_context(client)
                client.sendall(sent)
            bench.await_running(4)
            began = time.monotonic()
            bench.process('entry-1').terminate()
            self.assert_ends(bench, 'entry-1', began, _OFFER + _GRACE + _CLOSE)

    def test_request_of_the_last_moment(self) -> None:
        """A request waits for its claim when the entry stops to accept.

        The entry stopped its event loop to wait for the request's thread,
        which waited for the loop until the deadline of the request.
        """
        with self.open_bench() as bench:
            bench.await_listed('entry-1', at='entry-0')
            began = time.monotonic()
            bench.process('entry-1').terminate()
            time.sleep(_OFFER - 0.4)
            bench.process('log').freeze()
            late = bench.file('entry-1', '/crews/late', key='late')
            time.sleep(0.7)
            bench.process('log').thaw()
            self.assert_ends(bench, 'entry-1', began, _OFFER + _GRACE + _CLOSE)
            self.assertEqual(WHOLE, late.result().saying, late.result())
            self.assertEqual([], bench.violations())

    def test_platform_that_does_not_answer(self) -> None:
        """The log service and the instance list hang while an entry leaves."""
        with self.open_bench() as bench:
            bench.await_listed('entry-1', at='entry-0')
            bench.process('log').freeze()
            bench.process('list').freeze()
            began = time.monotonic()
            bench.process('entry-1').terminate()
            self.assert_ends(bench, 'entry-1', began, _OFFER + _GRACE + _CLOSE)
            bench.process('log').thaw()
            bench.process('list').thaw()

    def test_engine_that_does_not_answer(self) -> None:
        """An engine hangs in the middle of a stream while its agent leaves."""
        with self.open_bench() as bench:
            bench.streams(['hangs'], 3000)
            bench.process('engine-0').freeze()
            began = time.monotonic()
            bench.process('agent-0').terminate()
            self.assert_ends(bench, 'agent-0', began, _GRACE + _CLOSE)
            bench.process('engine-0').thaw()


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
