"""A proof over a drawn schedule of faults, judged by the history alone."""

from __future__ import annotations

import concurrent.futures
import random
import time
import typing

import testtools

from tests.proofs import bench as benches
from tests.proofs import history
from tests.proofs import seeds

WHOLE = history.Saying.WHOLE
_OPERATIONS = 60
_FAULTS = 10
_REPEATS = 6


class MixedProof(testtools.TestCase):
    """Whatever happens, the words fit the runs."""

    def test_faults_at_random(self) -> None:
        """Callers file dispatches and repeat them until they know.

        Meanwhile connections fall silent or break, the log is down or loses
        answers, services lose answers, entries freeze.  No dispatch runs
        twice, none that was "not run" has run, and no answer is another's.
        """
        chance = seeds.chance()
        with benches.Bench(entries=3, engines=1, services=3) as bench:
            bench.put_relays([f'agent-{each}' for each in range(4)])
            callers = [
                bench.pool.submit(
                    _file_until_known,
                    bench,
                    f'/crews/{number}',
                    random.Random(chance.random()),
                )
                for number in range(_OPERATIONS)
            ]
            for _ in range(_FAULTS):
                time.sleep(chance.uniform(0.1, 0.4))
                _show_fault(bench, chance)
            bench.outage('log', outage=False)
            concurrent.futures.wait(callers)
            known = [caller.result() for caller in callers]
            self.assertEqual([], bench.violations())
            # The faults last a few seconds and repeats go on for longer:
            # most callers end with their answer, and a run that was lost
            # with its answer stays "may have run".
            whole = sum(told.saying is WHOLE for told in known)
            self.assertGreater(whole, _OPERATIONS / 2, bench.history.counts())
            later = bench.file('entry-0', '/crews/later', 'later').result()
            self.assertEqual(WHOLE, later.saying, later)


def _file_until_known(
    bench: benches.Bench,
    operation: str,
    chance: random.Random,
) -> history.Told:
    """Repeat a call through any entry until it is answered."""
    time.sleep(chance.uniform(0, 3))
    for _ in range(_REPEATS):
        entry = chance.choice(bench.system.entries)
        told = bench.file_now(entry, operation, operation)
        if told.saying is WHOLE:
            break
        time.sleep(chance.uniform(0.2, 1))
    return told


def _show_fault(bench: benches.Bench, chance: random.Random) -> None:
    faults: tuple[typing.Callable[[], None], ...] = (
        bench.silence,
        bench.cut,
        lambda: bench.outage('log', outage=True),
        lambda: bench.outage('log', outage=False),
        lambda: bench.fault(
            'log',
            kind='drop_after',
            path='/v1/streams/claims-',
            method='POST',
            calls=3,
        ),
        lambda: bench.fault(
            f'service-{chance.randrange(3)}',
            kind='drop_after',
            path='/crews',
            calls=2,
        ),
        lambda: bench.freeze(
            chance.choice(bench.system.entries),
            chance.uniform(0.5, 2),
        ),
    )
    chance.choice(faults)()
