"""Tests of the division of promises among entries."""

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


def _held(share_by_entry: dict[str, shares.PromiseShare]) -> float:
    return sum(share.held_slots() for share in share_by_entry.values())


class _Network:
    """Deliver reports late, out of order, twice or never."""

    def __init__(self, rng: random.Random, lag_rounds: int) -> None:
        self._rng = rng
        self._lag_rounds = lag_rounds
        self._under_way: list[tuple[int, str, shares.Report]] = []

    def send(self, report: shares.Report, turn: int) -> None:
        """Put a report on its way to each peer."""
        for peer in _ENTRIES:
            for _ in range(self._rng.choice([0, 1, 1, 1, 2])):
                due = turn + self._rng.randint(0, self._lag_rounds)
                self._under_way.append((due, peer, report))

    def deliver(self, by_entry, turn: int) -> None:
        """Hand over what is due."""
        due = [item for item in self._under_way if item[0] <= turn]
        self._under_way = [item for item in self._under_way if item[0] > turn]
        self._rng.shuffle(due)
        for _, peer, report in due:
            by_entry[peer].receive(report)


class PromiseShareTest(testtools.TestCase):
    """Parts follow demand and never add up to more than the promise."""

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        seed=strategies.integers(min_value=0, max_value=10**6),
        lag_rounds=strategies.integers(min_value=0, max_value=8),
    )
    def test_sum_never_exceeds_promise(self, seed, lag_rounds) -> None:
        """Reports 2 s late (8 rounds of 250 ms), lost, doubled, reordered."""
        rng = random.Random(seed)
        network = _Network(rng, lag_rounds)
        by_entry = _make_shares()
        demands = dict.fromkeys(_ENTRIES, 0.0)
        for turn in range(60):
            if turn % 7 == 0:
                demands[rng.choice(_ENTRIES)] = rng.choice([0, 1, 4, 40])
            for entry, share in by_entry.items():
                network.send(share.report(demands[entry]), turn)
                self.assertLessEqual(_held(by_entry), _PROMISE + 1e-6)
            network.deliver(by_entry, turn)
            self.assertLessEqual(_held(by_entry), _PROMISE + 1e-6)
            self.assertTrue(
                all(one.held_slots() >= 0 for one in by_entry.values())
            )

    def test_follows_demand_and_comes_back(self) -> None:
        """All callers at one entry, then at another, then everywhere."""
        by_entry = _make_shares()
        network = _Network(random.Random(3), 8)
        crowds = [{'e0': 40.0}, {'e5': 40.0}, dict.fromkeys(_ENTRIES, 40.0)]
        turn = 0
        for crowd in crowds:
            for _ in range(60):
                turn += 1
                for entry, share in by_entry.items():
                    network.send(share.report(crowd.get(entry, 0)), turn)
                network.deliver(by_entry, turn)
            fair = _PROMISE / len(crowd)
            for entry in crowd:
                self.assertGreater(by_entry[entry].held_slots(), 0.9 * fair)

    def test_other_epoch_is_ignored(self) -> None:
        """A transfer under another promise or member list doesn't count."""
        by_entry = _make_shares()
        stranger = shares.PromiseShare.from_view(
            'e1',
            promise=_PROMISE,
            entries=_ENTRIES[:2],
            revision=7,
        )
        asking = shares.Report('e0', stranger.epoch, 40, 0, {}, {})
        stranger.receive(asking)
        by_entry['e0'].receive(stranger.report(0))
        self.assertEqual(_PROMISE / 9, by_entry['e0'].held_slots())
