"""A short soak: disturbances of the store and of entries that overlap."""

from __future__ import annotations

import testtools

from benchmarks import soak
from standins import skipped_time

SEEDS = (1, 2, 3)
SECONDS = 25.0


class SoakTest(testtools.TestCase):
    """Bounds hold and nothing goes back in runs drawn by a seed."""

    def test_seeds(self) -> None:
        """Drills, outages, kills and changes in series that overlap."""
        for seed in SEEDS:
            run = soak.Soak(seed, SECONDS)
            skipped_time.run(run.run())
            self.assertEqual([], run.broken, f'seed {seed}')
            self.assertLess(0, run.statuses['200'])
