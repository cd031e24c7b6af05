"""A proof about what a crashed process leaves."""

from __future__ import annotations

import os
import signal

import testtools

from tests.proofs import bench as benches


class CrashProof(testtools.TestCase):
    """A process that crashes says where."""

    def test_stack_of_crash(self) -> None:
        """An entry that crashed inside a library left no line."""
        with benches.Bench(engines=0, services=1) as bench:
            entry = bench.process('entry-1')
            os.kill(entry.pid, signal.SIGSEGV)
            self.assertEqual(-signal.SIGSEGV, entry.wait())
            traces = bench.traces(())
            self.assertIn('entry-1: ended with code -11', traces)
            self.assertIn('Segmentation fault', traces)
            self.assertIn('clementinepass/daemon.py', traces)
