"""A short day of each kind on the emulator, with its rules checked."""

from __future__ import annotations

import asyncio

import testtools

from benchmarks import day


class DayTest(testtools.TestCase):
    """Entries, agents, engines that work in passes, and callers together."""

    def test_calm(self) -> None:
        """Each caller of a calm day gets its whole answer."""
        calm = day.Day(3, 1, heavy=False)
        asyncio.run(calm.play())
        self.assertEqual([], calm.broken())
        kinds = {told.kind for told in calm.callers.told}
        self.assertLessEqual(kinds, {'in aim', 'late'})

    def test_restarts(self) -> None:
        """An engine crashes and starts again under its id, several times.

        Entries believe for a while that it holds what it held. It is loaded
        anew each time, whole, and serves again; what the crash cut off is
        resumed elsewhere, so that each caller gets its whole answer.
        """
        restarts = day.Day(6, 1, heavy=False, restarts=True)
        asyncio.run(restarts.play())
        self.assertEqual([], restarts.broken())
        one = restarts.engines[0]
        self.assertEqual([(1, True)] * day.RESTARTS, one.orders)
        self.assertEqual(1, one.version)
        kinds = {told.kind for told in restarts.callers.told}
        self.assertLessEqual(kinds, {'in aim', 'late'})

    def test_heavy(self) -> None:
        """A heavy day breaks no rule, and all engines get the new version.

        More requests than the engines run, one engine that stands still, and
        the origin gone while a version spreads. Whether requests begin on an
        old version in time depends on this machine's speed too, so that the
        measurement checks it, not this test.
        """
        heavy = day.Day(5, 1, heavy=True)
        asyncio.run(heavy.play())
        broken = [
            line for line in heavy.broken() if not line.startswith('VERSION')
        ]
        self.assertEqual([], broken)
        self.assertIn('in aim', {told.kind for told in heavy.callers.told})
