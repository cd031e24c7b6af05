"""A proof about the replacement of every process under load."""

from __future__ import annotations

import itertools
import threading

import msgspec
import testtools

from tests.proofs import bench as benches
from tests.proofs import history

WHOLE = history.Saying.WHOLE
NOTHING = history.Saying.NOTHING
_CALLERS = 4


class _Caller:
    """A caller that asks for addresses and takes the next when one fails."""

    def __init__(self, bench: benches.Bench, number: int) -> None:
        self.failed: list[history.Told] = []
        self.answered = 0
        self._bench = bench
        self._number = number
        self._addresses: list[str] = []

    def run(self, stop: threading.Event) -> None:
        """Send calls of both kinds in turn until told to stop."""
        for serial in itertools.count():
            if stop.is_set():
                return
            told = self._call(f'{self._number}-{serial}', file=serial % 2 > 0)
            if told.saying is WHOLE:
                self.answered += 1
            else:
                self.failed.append(told)

    def _call(self, name: str, *, file: bool) -> history.Told:
        told = history.Told(name, NOTHING, idempotent=True)
        for _ in range(3):
            entry = self._entry()
            if file:
                told = self._bench.file_now(entry, f'/crews/{name}', '')
            else:
                told = self._bench.complete(entry, name, 5).result()
            refused = 'NewConnectionError' in told.detail
            if told.saying is not NOTHING or not refused:
                return told
            # Nobody listens there any more: nothing was sent.
            self._addresses.pop(0)
        return told

    def _entry(self) -> str:
        names_by_address = {
            address: name
            for name, address in self._bench.system.callers.items()
        }
        self._addresses = [
            address
            for address in self._addresses
            if address in names_by_address
        ]
        if not self._addresses:
            entry = self._bench.system.entries[0]
            answer = self._bench.system.call(entry, 'GET', '/v1/entries')
            listed = msgspec.json.decode(answer.body)['entries']
            self._addresses = [one['address'] for one in listed]
        return names_by_address[self._addresses[0]]


class RollingProof(testtools.TestCase):
    """Operators replace instances while callers go on."""

    def test_all_agents_replaced(self) -> None:
        """Each agent is told to leave and a new one takes its endpoint.

        No call fails and none that must run once runs twice.
        """
        with benches.Bench(engines=2, services=2) as bench:
            # An entry that hasn't read the instance list answers 503.
            bench.await_listed('entry-0', at='entry-0')
            stop = threading.Event()
            callers = [_Caller(bench, each) for each in range(_CALLERS)]
            loads = [bench.pool.submit(one.run, stop) for one in callers]
            try:
                for index in range(4):
                    bench.replace_agent(index)
            finally:
                stop.set()
            for load in loads:
                load.result()
            failed = [told for one in callers for told in one.failed]
            self.assertEqual(
                [],
                failed,
                bench.traces({told.request_id for told in failed}),
            )
            for one in callers:
                self.assertGreater(one.answered, 10)
            self.assertEqual([], bench.violations())

    def test_entry_replaced(self) -> None:
        """An entry is told to leave; callers hold its address a while."""
        with benches.Bench(engines=1, services=1, entries=3) as bench:
            for name in bench.system.entries:
                bench.await_listed(name, at='entry-0')
            stop = threading.Event()
            callers = [_Caller(bench, each) for each in range(_CALLERS)]
            loads = [bench.pool.submit(one.run, stop) for one in callers]
            try:
                bench.process('entry-1').terminate()
                self.assertEqual(0, bench.process('entry-1').wait())
                bench.restart_entry('entry-1')
            finally:
                stop.set()
            for load in loads:
                load.result()
            failed = [told for one in callers for told in one.failed]
            self.assertEqual(
                [],
                failed,
                bench.traces({told.request_id for told in failed}),
            )
            self.assertEqual([], bench.violations())
