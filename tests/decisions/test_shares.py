"""Tests of the division of promised slots among entries."""

from __future__ import annotations

import random

import testtools
from hypothesis import given, settings, strategies

from clementinepass.decisions import shares

_PROMISE = 36.0
_ENTRIES = [f'e{index}' for index in range(9)]


def _make_shares() -> dict[str, shares.PromiseShare]:
    return {
        entry: shares.PromiseShare.from_view(
            entry,
            promise=_PROMISE,
            entries=_ENTRIES,
            revision=7,
        )
        for entry in _ENTRIES
    }


def _held_in_total(share_by_entry: dict[str, shares.PromiseShare]) -> float:
    return sum(share.held_slots() for share in share_by_entry.values())


class _Network:
    """Network that delays, reorders, duplicates and loses reports."""

    def __init__(self, rng: random.Random, lag_rounds: int) -> None:
        self._rng = rng
        self._lag_rounds = lag_rounds
        self._in_transit: list[tuple[int, str, shares.Report]] = []

    def send(self, report: shares.Report, round_number: int) -> None:
        """Send a report to each peer."""
        for peer in _ENTRIES:
            for _ in range(self._rng.choice([0, 1, 1, 1, 2])):
                due = round_number + self._rng.randint(0, self._lag_rounds)
                self._in_transit.append((due, peer, report))

    def deliver(self, share_by_entry, round_number: int) -> None:
        """Deliver the reports that are due."""
        due = [item for item in self._in_transit if item[0] <= round_number]
        self._in_transit = [
            item for item in self._in_transit if item[0] > round_number
        ]
        self._rng.shuffle(due)
        for _, peer, report in due:
            share_by_entry[peer].receive(report)


class PromiseShareTest(testtools.TestCase):
    """Shares follow the demand and never exceed the promise in total."""

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        seed=strategies.integers(min_value=0, max_value=10**6),
        lag_rounds=strategies.integers(min_value=0, max_value=8),
    )
    def test_sum_never_exceeds_promise(self, seed, lag_rounds) -> None:
        """The bound holds when reports are lost, duplicated or reordered.

        They arrive up to 2 s late, which is 8 rounds of 250 ms.
        """
        rng = random.Random(seed)
        network = _Network(rng, lag_rounds)
        share_by_entry = _make_shares()
        demand_by_entry = dict.fromkeys(_ENTRIES, 0.0)
        for round_number in range(60):
            if round_number % 7 == 0:
                demand_by_entry[rng.choice(_ENTRIES)] = rng.choice(
                    [0, 1, 4, 40]
                )
            for entry, share in share_by_entry.items():
                network.send(share.report(demand_by_entry[entry]), round_number)
                self.assertLessEqual(
                    _held_in_total(share_by_entry), _PROMISE + 1e-6
                )
            network.deliver(share_by_entry, round_number)
            self.assertLessEqual(
                _held_in_total(share_by_entry), _PROMISE + 1e-6
            )
            self.assertTrue(
                all(
                    holder.held_slots() >= 0
                    for holder in share_by_entry.values()
                )
            )

    def test_shares_follow_demand(self) -> None:
        """All callers use one entry, then another one, then all entries."""
        share_by_entry = _make_shares()
        network = _Network(random.Random(3), 8)
        demands_in_turn = [
            {'e0': 40.0},
            {'e5': 40.0},
            dict.fromkeys(_ENTRIES, 40.0),
        ]
        round_number = 0
        for demand_by_entry in demands_in_turn:
            for _ in range(60):
                round_number += 1
                for entry, share in share_by_entry.items():
                    network.send(
                        share.report(demand_by_entry.get(entry, 0)),
                        round_number,
                    )
                network.deliver(share_by_entry, round_number)
            fair_slots = _PROMISE / len(demand_by_entry)
            for entry in demand_by_entry:
                self.assertGreater(
                    share_by_entry[entry].held_slots(), 0.9 * fair_slots
                )

    def test_other_epoch_is_ignored(self) -> None:
        """Transfers of another epoch are not counted."""
        share_by_entry = _make_shares()
        other_view = shares.PromiseShare.from_view(
            'e1',
            promise=_PROMISE,
            entries=_ENTRIES[:2],
            revision=7,
        )
        other_report = shares.Report('e0', other_view.epoch, 40, 0, {}, {})
        other_view.receive(other_report)
        share_by_entry['e0'].receive(other_view.report(0))
        self.assertEqual(_PROMISE / 9, share_by_entry['e0'].held_slots())
