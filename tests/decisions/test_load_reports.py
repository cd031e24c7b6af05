"""Simulations of endpoint selection by what entries know of engines' loads."""

from __future__ import annotations

import statistics

import testtools

from benchmarks import load_reports

#: A load that twelve engines can just carry, and one with spare capacity.
FULL = load_reports.Setting(
    entries=20,
    engines=12,
    domains=3,
    rate=77,
    seconds=12,
)
SPARE = FULL._replace(rate=62)


SEEDS = (1, 2, 3)


def mean_outcome(
    setting: load_reports.Setting,
    make: load_reports.Make,
) -> load_reports.Outcome:
    """Return the mean outcome of a simulation with several seeds."""
    outcomes = [
        load_reports.play(setting._replace(seed=seed), make) for seed in SEEDS
    ]
    return load_reports.Outcome(
        *map(statistics.fmean, zip(*outcomes, strict=True))
    )


class LoadReportsTest(testtools.TestCase):
    """Entries must not all send to one engine when engines are nearly full.

    Entries that went by one another's counts, which were a second old or more,
    all sent to the engine that had been emptiest. Four in five requests came
    late there, and hardly any was rejected.
    """

    def test_full_engines(self) -> None:
        """Four in five are in time; others are rejected rather than late."""
        with_counts = mean_outcome(FULL, load_reports.ToldCounts)
        with_reports = mean_outcome(FULL, load_reports.Reports)
        self.assertLess(with_counts.in_time, 0.4)
        self.assertGreater(with_reports.in_time, 0.8)
        self.assertLess(with_reports.late, 0.1)

    def test_spare_capacity(self) -> None:
        """Hardly any request is late or rejected if there is spare capacity."""
        outcome = mean_outcome(SPARE, load_reports.Reports)
        self.assertGreater(outcome.in_time, 0.95)

    def test_larger_cluster(self) -> None:
        """Five times as many entries and engines do about as well."""
        larger = FULL._replace(entries=100, engines=60, domains=5, rate=385)
        small_outcome = mean_outcome(FULL, load_reports.Reports)
        outcome = mean_outcome(larger, load_reports.Reports)
        self.assertGreater(outcome.in_time, small_outcome.in_time - 0.05)
