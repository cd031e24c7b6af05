"""Proofs about answers under way: agents killed, connections silent."""

from __future__ import annotations

import testtools

from tests.proofs import bench as benches
from tests.proofs import history
from tests.proofs import seeds

TRUNCATED = history.Saying.TRUNCATED
WHOLE = history.Saying.WHOLE
PROBLEM = history.Saying.PROBLEM


class StreamProof(testtools.TestCase):
    """Each caller gets its whole answer, or sees that it did not."""

    def test_agent_killed_mid_stream(self) -> None:
        """An agent is killed with answers half told.

        Streams through it have reached their callers in part: they end as
        truncated.  Whole answers had reached nobody: idempotent ones come
        from another endpoint, the others are told "may have run".
        """
        chance = seeds.chance()
        with benches.Bench(engines=3, services=0) as bench:
            streams = bench.streams((f's{each}' for each in range(9)), 150)
            entries = bench.system.entries
            repeated = [
                bench.complete(entries[each % 2], f'w{each}', 150)
                for each in range(6)
            ]
            once = [
                bench.complete(
                    entries[each % 2],
                    f'o{each}',
                    150,
                    Clementinepass_Idempotent='no',
                )
                for each in range(6)
            ]
            bench.await_running(21)
            victim = bench.process(f'agent-{chance.randrange(3)}')
            victim.kill()
            told = [one.told() for one in streams]
            self.assertEqual(
                {WHOLE, TRUNCATED},
                {one.saying for one in told},
                bench.history.calls,
            )
            for one in repeated:
                self.assertEqual(WHOLE, one.result().saying, one.result())
            for future in once:
                one = future.result()
                if one.saying is not WHOLE:
                    self.assertEqual('may_have_run', one.execution, one)
            self.assertEqual([], bench.violations())

    def test_silent_connection_resumed(self) -> None:
        """Connections between entries and agents fall silent for good.

        Packets vanish without a reset, new connections work.  No caller
        notices but for a pause, and nothing runs twice.
        """
        with benches.Bench(engines=2, services=1) as bench:
            bench.put_relays(['agent-0', 'agent-1', 'agent-2'])
            streams = bench.streams((f's{each}' for each in range(8)), 300)
            filed = bench.file('entry-0', '/crews/1')
            bench.silence()
            for one in streams:
                self.assertEqual(WHOLE, one.told().saying, one.told())
            self.assertIn(
                filed.result().saying,
                {WHOLE, PROBLEM},
            )
            by_request, _ = bench.runs()
            twice = {each for each, runs in by_request.items() if runs > 1}
            self.assertEqual(set(), twice - {''}, bench.traces(twice))
            self.assertEqual([], bench.violations())

    def test_requests_on_silent_connections(self) -> None:
        """Requests are sent just when all connections have fallen silent.

        Their dispatches vanish.  The gates never saw them and say so on the
        new connections, so all are sent again, those that must run once
        too, and each is answered.
        """
        with benches.Bench(engines=2, services=1) as bench:
            bench.put_relays(['agent-0', 'agent-1', 'agent-2'])
            for each in range(3):
                bench.silence()
                whole = [
                    bench.complete(entry, f'w{each} {number}', 3)
                    for entry in bench.system.entries
                    for number in range(5)
                ]
                filed = [
                    bench.file(entry, f'/crews/{entry}/{each}')
                    for entry in bench.system.entries
                ]
                for future in (*whole, *filed):
                    told = future.result()
                    self.assertEqual(
                        WHOLE,
                        told.saying,
                        f'{told}\n{bench.traces({told.request_id})}',
                    )
            self.assertEqual([], bench.violations())

    def test_vanished_caller_is_cancelled(self) -> None:
        """A caller goes away in the middle of a long stream.

        Its request is cancelled at the engine, which is free long before
        the answer would have ended.
        """
        with benches.Bench(engines=1, services=0, entries=1) as bench:
            answer = bench.post(
                'entry-0',
                '/v1/completions',
                benches.completion('long', 20_000, stream=True),
                {},
                preload=False,
            )
            pieces = answer.stream(64)
            next(pieces)
            bench.await_running(1)
            answer.close()
            bench.await_running(0)
