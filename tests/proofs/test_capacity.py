"""Proofs about requests that are refused although endpoints serve."""

from __future__ import annotations

import itertools
import threading
import time

import testtools

from tests.proofs import bench as benches
from tests.proofs import history

WHOLE = history.Saying.WHOLE
_CAPACITY = 4
#: Seconds for which an entry is paused: longer than its peers may be silent.
_PAUSE = 1.2


class CapacityProof(testtools.TestCase):
    """An entry that has no free slot, or was paused, claims no outage."""

    def test_busy_with_requests_of_another_entry(self) -> None:
        """Callers of another entry hold all slots of the only engine.

        The entry refused all its callers at once with 503 ``no_endpoint``.
        """
        with benches.Bench(engines=1, services=1, capacity=_CAPACITY) as bench:
            for entry in bench.system.entries:
                bench.await_listed(entry, at='entry-0')
            elsewhere = [
                bench.complete('entry-1', f'elsewhere-{each}', 400)
                for each in range(3 * _CAPACITY)
            ]
            bench.await_running(_CAPACITY)
            told = [
                bench.complete('entry-0', f'here-{each}', 5)
                for each in range(_CAPACITY)
            ]
            for future in (*told, *elsewhere):
                self.assertEqual(WHOLE, future.result().saying, future.result())
            self.assertEqual([], bench.violations())

    def test_slots_divided_between_entries(self) -> None:
        """Two entries have more requests than an engine has slots, for long.

        The entry that had filled the slots filled them again whenever one
        became free, and the other one's requests waited until their deadlines.
        """
        with benches.Bench(engines=1, services=1, capacity=_CAPACITY) as bench:
            for entry in bench.system.entries:
                bench.await_listed(entry, at='entry-0')
            stop = threading.Event()
            loads = [
                bench.pool.submit(self.keep_busy, bench, number, stop)
                for number in range(2 * _CAPACITY)
            ]
            try:
                bench.await_running(_CAPACITY)
                told = [
                    bench.complete('entry-0', f'here-{each}', 5)
                    for each in range(_CAPACITY)
                ]
                for future in told:
                    self.assertEqual(
                        WHOLE, future.result().saying, future.result()
                    )
            finally:
                stop.set()
            for load in loads:
                load.result()
            self.assertEqual([], bench.violations())

    def test_paused_entry(self) -> None:
        """An entry gets no processor for longer than peers may be silent.

        All its agents counted as silent, and it refused requests until it was
        connected to them again.
        """
        with benches.Bench(engines=2, services=2) as bench:
            bench.await_listed('entry-0', at='entry-0')
            stop = threading.Event()
            loads = [
                bench.pool.submit(self.send, bench, number, stop)
                for number in range(12)
            ]
            for _ in range(6):
                bench.freeze('entry-0', _PAUSE)
                time.sleep(0.5)
            stop.set()
            failed = [told for load in loads for told in load.result()]
            self.assertEqual(
                [],
                failed,
                bench.traces({told.request_id for told in failed}),
            )
            self.assertEqual([], bench.violations())

    def keep_busy(
        self, bench: benches.Bench, number: int, stop: threading.Event
    ) -> None:
        """Have a request in progress at entry 1 until told to stop."""
        for serial in itertools.count():
            if stop.is_set():
                return
            bench.complete('entry-1', f'{number}-{serial}', 100).result()

    def send(
        self, bench: benches.Bench, number: int, stop: threading.Event
    ) -> list[history.Told]:
        """Send requests to entry 0 until told to stop; return the failed."""
        failed = []
        for serial in itertools.count():
            if stop.is_set():
                return failed
            name = f'{number}-{serial}'
            if serial % 2:
                told = bench.file_now('entry-0', f'/crews/{name}', '')
            else:
                told = bench.complete('entry-0', name, 5).result()
            if told.saying is not WHOLE:
                failed.append(told)
        return failed
