"""Simulated crashes under requests while everything else fails, too.

Entries start, end, freeze and are cut off; endpoints drain, are replaced at
once and go dark; the store is silent; endpoints crash by the hundred for other
reasons; and sound requests are popular, slow or never answered.
"""

from __future__ import annotations

import functools
import itertools
import os
import random
import typing

import testtools
from loguru import logger

from clementinepass.direct import crash_evidence
from tests.direct import test_crash_evidence_simulation as simulation

#: More seeds are played by hand: ``CRASH_EVIDENCE_SEEDS=300``.
SEEDS = range(int(os.environ.get('CRASH_EVIDENCE_SEEDS', '3')))
AGENTS = 3
#: Seconds after an entry starts, thaws or is reached again in which it has
#: heard of everything: one full heartbeat that is not lost.
CATCH_UP_SECONDS = 3.0
#: Seconds within which the removal of a record proves a crash.
REMOVAL_SECONDS = 5.0
#: Most crashes that are kept, and findings in a heartbeat.
MAX_KEPT_CRASHES = 64
MAX_REPORTED_SUSPECTS = 400
#: Share of endpoints whose addresses accept connections after a crash.
REPLACED_SHARE = 0.15
STUCK = 'd0' * 16
SLOW = 'd1' * 16
STUCK_SECONDS = 1.5
#: Seconds from the start; by then sound requests have been answered.
FIRST_FAULT = 5.0


class Entry:
    """An entry with its evidence."""

    def __init__(self, ip: str) -> None:
        self.evidence = crash_evidence.CrashEvidence(ip)
        self.is_cut_off = False
        self.frozen_until = 0.0
        #: Since when it has been in touch with the others.
        self.in_touch_since = float('-inf')


class FaultSimulation(simulation.Simulation):
    """The simulation of crashes, beside all other faults.

    :param kinds: how bad requests come: ``pair`` or ``flood``.
    """

    def __init__(self, seed: int, kind: str) -> None:
        self.nodes: list[Entry] = []
        self.store_silent_until = 0.0
        self.kind = kind
        #: Arrivals by entries that were in touch with the others.
        self.arrivals_in_touch: dict[str, list[float]] = {}
        self.max_kept = 0
        self.max_reported = 0
        super().__init__(seed, 0.2)
        self.rng = random.Random(f'{seed} {kind}')
        for number in range(simulation.ENTRIES + AGENTS):
            node = Entry(f'10.0.0.{number}')
            self.nodes.append(node)
            self._connect(number)
        self.entries = [node.evidence for node in self.nodes]
        self._draining: set[str] = set()

    def _connect(self, number: int) -> None:
        evidence = self.nodes[number].evidence
        evidence.on_finding = self._announcer(number)
        evidence.other_entries = lambda: [
            f'10.0.0.{other}'
            for other in range(simulation.ENTRIES)
            if other != number
        ]

    def run(self) -> None:
        """Play the whole time."""
        for act, rate in (
            (self._kill_entry, 0.15),
            (self._freeze_entry, 0.15),
            (self._cut_entry, 0.15),
            (self._drain_endpoint, 0.3),
            (self._darken_endpoint, 0.1),
            (self._silence_store, 0.07),
            (self._crash_many, 0.05),
        ):
            self._repeat(act, rate)
        self.after(0.7, lambda: self._send_often(SLOW, 4))
        self.after(0.9, lambda: self._send_often(STUCK, 4))
        super().run()

    def _repeat(self, act: typing.Callable[[], None], rate: float) -> None:
        def go_on() -> None:
            act()
            self.after(self.rng.expovariate(rate), go_on)

        self.after(FIRST_FAULT + self.rng.expovariate(rate), go_on)

    # Entries.

    def _some_node(self) -> int:
        return self.rng.randrange(len(self.nodes))

    def _kill_entry(self) -> None:
        number = self._some_node()
        self.nodes[number] = Entry(f'10.0.0.{number}')
        self.nodes[number].in_touch_since = self.now
        self.entries[number] = self.nodes[number].evidence
        self._connect(number)

    def _freeze_entry(self) -> None:
        node = self.nodes[self._some_node()]
        node.frozen_until = self.now + self.rng.uniform(0.3, 4)
        node.in_touch_since = node.frozen_until

    def _cut_entry(self) -> None:
        node = self.nodes[self._some_node()]
        node.is_cut_off = True
        self.after(self.rng.uniform(1, 8), lambda: self._reach_again(node))

    def _reach_again(self, node: Entry) -> None:
        node.is_cut_off = False
        node.in_touch_since = self.now

    def _is_in_touch(self, number: int) -> bool:
        node = self.nodes[number]
        return not node.is_cut_off and (
            self.now > node.in_touch_since + CATCH_UP_SECONDS
        )

    def _report(self, number: int, *, full: bool) -> None:
        sender = self.nodes[number]
        if sender.is_cut_off or self.now < sender.frozen_until:
            return
        report = sender.evidence.report(self.now, full=full)
        self.max_reported = max(
            self.max_reported,
            sum(len(crash.suspects) for crash in report.crashes),
        )
        self.max_kept = max(self.max_kept, sender.evidence.crash_count)
        for other, receiver in enumerate(self.nodes):
            is_lost = self.rng.random() < simulation.LOST_SHARE
            if other == number or receiver.is_cut_off or is_lost:
                continue
            delay = max(
                self.rng.uniform(0.001, 0.03),
                receiver.frozen_until - self.now,
            )
            self.after(delay, self._applier(receiver, report))

    def _applier(
        self, receiver: Entry, report: typing.Any
    ) -> typing.Callable[[], None]:
        return lambda: receiver.evidence.apply(
            report, self.now, is_relayed=False
        )

    def _send_heartbeats(self) -> None:
        for number in range(len(self.nodes)):
            self._report(number, full=self.rng.random() < 0.2)
        self.after(simulation.HEARTBEAT_SECONDS, self._send_heartbeats)

    # Callers.

    def _send_often(self, fingerprint: str, rate: float) -> None:
        self._send(fingerprint)
        self.after(
            self.rng.expovariate(rate),
            lambda: self._send_often(fingerprint, rate),
        )

    def _send_crashing(self, crashing: str) -> None:
        if self.kind == 'pair':
            entry = self.rng.randrange(simulation.ENTRIES)
            for twin in simulation.CRASHING:
                self._start(twin, entry, 0)
        for _ in range(8 if self.kind == 'flood' else 0):
            self._send(crashing)
        super()._send_crashing(crashing)

    def _start(self, fingerprint: str, entry: int, runs: int) -> None:
        if self.now < self.nodes[entry].frozen_until:
            return
        before = len(self.arrivals[fingerprint])
        super()._start(fingerprint, entry, runs)
        arrived = len(self.arrivals[fingerprint]) > before
        if arrived and self._is_in_touch(entry):
            self.arrivals_in_touch.setdefault(fingerprint, []).append(self.now)

    def _answer_seconds(self, fingerprint: str) -> float:
        if fingerprint == SLOW:
            return self.rng.uniform(1, 2.5)
        return super()._answer_seconds(fingerprint)

    def _answer(self, number: int, attempt: simulation.Attempt) -> None:
        if attempt.fingerprint == STUCK:
            # Its caller gives up; no answer comes.
            self.after(
                STUCK_SECONDS,
                lambda: attempt.endpoint.running.pop(number, None),
            )
        elif self.entries[attempt.entry] is attempt.evidence:
            super()._answer(number, attempt)

    # Endpoints.

    def _drain_endpoint(self) -> None:
        up = [endpoint for endpoint in self.endpoints if endpoint.is_up]
        if len(up) < 3:
            return
        endpoint = self.rng.choice(up)
        endpoint.is_draining = True
        self.endpoints.append(self._new_endpoint())
        self.after(self.rng.uniform(0.5, 3), lambda: self._leave(endpoint))

    def _leave(self, endpoint: simulation.Endpoint) -> None:
        endpoint.is_up = False
        endpoint.running.clear()
        if endpoint in self.endpoints:
            self.endpoints.remove(endpoint)

    def _new_endpoint(self) -> simulation.Endpoint:
        endpoint = super()._new_endpoint()
        endpoint.is_replaced_at_once = self.rng.random() < REPLACED_SHARE
        return endpoint

    def _darken_endpoint(self) -> None:
        """Lose a machine: nothing ends the connections to its endpoint."""
        endpoint = self.rng.choice(self.endpoints)
        endpoint.is_up = False
        endpoint.running.clear()
        self.after(self.rng.uniform(1, 4), lambda: self._replace(endpoint))

    def _silence_store(self) -> None:
        self.store_silent_until = self.now + self.rng.uniform(2, 9)

    def _crash_many(self) -> None:
        """Crash endpoints of another service with a request or two each."""
        for _ in range(150):
            name = f'o-{next(self._numbers)}'
            for _ in range(self.rng.randrange(1, 3)):
                self._record(
                    simulation.Attempt(
                        f'{next(self._numbers):032x}',
                        self.rng.randrange(simulation.ENTRIES),
                        self.now - self.rng.uniform(0, 1),
                        1,
                        simulation.Endpoint(name),
                    )
                )

    def _break(self, attempt: simulation.Attempt) -> None:
        if attempt.evidence is not self.entries[attempt.entry]:
            return
        if attempt.endpoint.is_draining:
            return
        if attempt.endpoint.is_replaced_at_once:
            # Its address accepts connections; its record shows the crash.
            removed_at = max(
                self.now + self.rng.uniform(0.2, 1.5), self.store_silent_until
            )
            if removed_at - self.now < REMOVAL_SECONDS:
                broken_at = self.now
                self.after(
                    removed_at - self.now,
                    lambda: self._record(attempt, broken_at),
                )
            return
        super()._break(attempt)

    def _record(
        self, attempt: simulation.Attempt, broken_at: float | None = None
    ) -> None:
        evidence = self.entries[attempt.entry]
        if attempt.evidence in {None, evidence}:
            evidence.record_crash(
                attempt.endpoint.name,
                attempt.fingerprint,
                attempt.started_at,
                self.now if broken_at is None else broken_at,
            )

    def later_arrivals(self, fingerprint: str) -> int:
        """Count arrivals later than allowed, by entries in touch."""
        crashes = self.crashes[fingerprint]
        if len(crashes) < 3:
            return 0
        settled = crashes[2] + simulation.SETTLING_SECONDS
        return sum(
            at > settled for at in self.arrivals_in_touch.get(fingerprint, ())
        )


@functools.cache
def play(seed: int, kind: str) -> FaultSimulation:
    """Return the simulation of a seed at its end."""
    # It would write hundreds of thousands of lines.
    logger.disable('clementinepass')
    played = FaultSimulation(seed, kind)
    try:
        played.run()
    finally:
        logger.enable('clementinepass')
    return played


class FaultSimulationTest(testtools.TestCase):
    """Whatever else fails, bad requests are stopped and sound ones are not."""

    def check(self, kind: str) -> None:
        """Play all seeds."""
        for seed in SEEDS:
            played = play(seed, kind)
            for crashing in simulation.CRASHING:
                self.assertLessEqual(
                    played.later_arrivals(crashing),
                    simulation.MAX_LATER_ARRIVALS,
                    (seed, crashing),
                )
            refused = set(played.refused).difference(
                simulation.CRASHING, {SLOW, STUCK}
            )
            self.assertEqual(set(), refused, seed)
            self.assertLessEqual(played.max_kept, MAX_KEPT_CRASHES)
            self.assertLessEqual(played.max_reported, MAX_REPORTED_SUSPECTS)

    def test_repeats(self) -> None:
        """Bad requests come again, now and then twice at once."""
        self.check('repeats')

    def test_pairs(self) -> None:
        """Two bad requests come together, at the same entry."""
        self.check('pair')

    def test_floods(self) -> None:
        """Eight copies of a bad request come at once, at any entry."""
        self.check('flood')


class SlowRequestTest(testtools.TestCase):
    """Popular requests that are slow, or never answered, are sound as well."""

    def check(self, fingerprint: str) -> None:
        """Play all seeds."""
        for kind, seed in itertools.product(
            ('repeats', 'pair', 'flood'), SEEDS
        ):
            refused = play(seed, kind).refused[fingerprint]
            self.assertEqual(0, refused, (kind, seed))

    def test_slow(self) -> None:
        """A request that is answered after one to two seconds and a half."""
        self.check(SLOW)

    def test_never_answered(self) -> None:
        """A request that runs until its caller gives up."""
        self.check(STUCK)
