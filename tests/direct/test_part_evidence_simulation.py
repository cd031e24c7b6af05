"""Simulated entries, and callers with prompt parts that crash endpoints."""

from __future__ import annotations

import collections
import os

import testtools

from clementinepass.direct import part_evidence
from tests.direct import test_crash_evidence_simulation as simulation

SEEDS = range(10)
ROOT = '5' * 16
MIDDLES = tuple(f'{number:016x}' for number in range(0xA0, 0xA6))
SESSIONS = tuple(f'{number:016x}' for number in range(0x100, 0x140))
CRASHING = ('b0' * 8, 'b1' * 8)
#: When requests with each of the crashing parts begin to come.
BEGINS = (4.0, 15.0)
#: More seeds are played by hand: ``PART_EVIDENCE_SEEDS=50``.
LONG_SEEDS = range(int(os.environ.get('PART_EVIDENCE_SEEDS', '2')))
#: Parts of the prompts of a conversation.
LONG = 400
CONVERSATIONS = 4
MANY_ENTRIES = 20
#: Crashes under a part after which the bound on later arrivals counts.
MAX_CRASHES = 5
#: Longest time for which a request is kept off the last endpoint.
PROTECTION_SECONDS = 10.0


class PartSimulation(simulation.Simulation):
    """Requests with parts in common, no two alike.

    :param crash_rate: crashes of endpoints of themselves, a second.
    """

    def __init__(
        self,
        seed: int,
        crash_rate: float,
        entry_count: int = simulation.ENTRIES,
    ) -> None:
        super().__init__(seed, crash_rate, entry_count)
        self.parts_by_fingerprint: dict[str, part_evidence.PromptParts] = {}
        #: Attempts with an event of their answers.
        self.answering: set[simulation.Attempt] = set()
        #: Sound requests that were refused, with the seconds.
        self.sound_refused: list[float] = []
        self.sound_count = 0
        self.part_arrivals: dict[str, list[float]] = collections.defaultdict(
            list
        )
        self.part_crashes: dict[str, list[float]] = collections.defaultdict(
            list
        )

    def run(self) -> None:
        """Play the whole time."""
        for part, begin in zip(CRASHING, BEGINS, strict=True):
            self.after(begin, lambda part=part: self._send_bad(part))
        super().run()

    def later_arrivals(self, part: str) -> int:
        """Count arrivals later than allowed after the fifth crash."""
        if len(self.part_crashes[part]) < MAX_CRASHES:
            return 0
        fifth = self.part_crashes[part][MAX_CRASHES - 1]
        return sum(
            at > fifth + simulation.SETTLING_SECONDS
            for at in self.part_arrivals[part]
        )

    # Callers.

    def _send_innocent(self) -> None:
        fingerprint = self._new_request(
            ROOT,
            self.rng.choice(MIDDLES),
            *self.rng.sample(SESSIONS, self.rng.randrange(2)),
        )
        self.sound_count += 1
        self._send(fingerprint)
        if self.rng.random() < 0.3:
            self.after(0.05, lambda: self._send(fingerprint))
        self.after(self.rng.expovariate(30), self._send_innocent)

    def _send_popular(self) -> None:
        """Send none: all sound requests have popular parts."""

    def _send_crashing(self, crashing: str) -> None:
        """Send none: no request crashes endpoints by itself."""

    def _send_bad(self, part: str) -> None:
        middle = self.rng.sample(MIDDLES, self.rng.randrange(2))
        for _ in range(self.rng.choice((1, 1, 2))):
            self._send(self._new_request(ROOT, *middle, part))
        self.after(self.rng.uniform(0.1, 0.8), lambda: self._send_bad(part))

    def _new_request(self, *digests: str) -> str:
        fingerprint = f'{next(self._numbers):032x}'
        self.parts_by_fingerprint[fingerprint] = part_evidence.PromptParts(
            'm', frozenset(digests)
        )
        return fingerprint

    def _bad_part(self, fingerprint: str) -> str | None:
        digests = self.parts_by_fingerprint[fingerprint].digests
        return next((part for part in CRASHING if part in digests), None)

    # Attempts.

    def _start(self, fingerprint: str, entry: int, runs: int) -> None:
        up = [endpoint for endpoint in self.endpoints if endpoint.is_up]
        if not up:
            return
        parts = self.parts_by_fingerprint[fingerprint]
        bad = self._bad_part(fingerprint)
        evidence = self.entries[entry]
        seconds = evidence.seconds_barred(
            fingerprint, self.now, has_spare_endpoint=len(up) > 1, parts=parts
        )
        if seconds:
            if bad is None:
                self.sound_refused.append(seconds)
            return
        evidence.record_attempt(fingerprint, self.now, parts)
        endpoint = self.rng.choice(up)
        number = next(self._numbers)
        attempt = simulation.Attempt(
            fingerprint, entry, self.now, runs + 1, endpoint
        )
        endpoint.running[number] = attempt
        if bad is None:
            self._answer_later(number, attempt)
        else:
            self.part_arrivals[bad].append(self.now)
            self.after(
                self._crash_seconds(),
                lambda: self._crash_under(number, attempt, bad),
            )

    def _crash_seconds(self) -> float:
        """Return the seconds from a bad request to the crash."""
        return self.rng.uniform(0.05, 0.3)

    def _answer_later(self, number: int, attempt: simulation.Attempt) -> None:
        begin = self.rng.uniform(0.03, 0.4)
        self.after(begin, lambda: self._begin(number, attempt))
        end = begin + self.rng.uniform(0, 0.6)
        self.after(end, lambda: self._answer(number, attempt))

    def _begin(self, number: int, attempt: simulation.Attempt) -> None:
        if attempt.endpoint.running.get(number) is attempt:
            self.answering.add(attempt)
            self.entries[attempt.entry].record_beginning(
                self.parts_by_fingerprint[attempt.fingerprint], self.now
            )

    # Crashes.

    def _crash_under(
        self, number: int, attempt: simulation.Attempt, part: str
    ) -> None:
        if attempt.endpoint.running.get(number) is attempt:
            self.part_crashes[part].append(self.now)
            self._crash(attempt.endpoint)

    def _break(self, attempt: simulation.Attempt) -> None:
        evidence = self.entries[attempt.entry]
        parts = self.parts_by_fingerprint[attempt.fingerprint]
        is_answering = attempt in self.answering
        evidence.record_crash(
            attempt.endpoint.name,
            attempt.fingerprint,
            attempt.started_at,
            self.now,
            part_evidence.NO_PARTS if is_answering else parts,
        )
        may_retry = (
            attempt.runs < simulation.MAX_RUNS
            and not evidence.is_suspicious(attempt.fingerprint, self.now, parts)
        )
        if may_retry:
            self._start(attempt.fingerprint, attempt.entry, attempt.runs)


class LongSimulation(PartSimulation):
    """Long prompts, of which the bad ones come to some entries only.

    All requests of a conversation have the same parts, but for one in the
    middle, which is that of the bad ones or one of some sound ones.

    :param is_apart: whether bad requests come to the last third of the entries,
        and sound ones to the others.
    """

    def __init__(
        self, seed: int, *, entry_count: int, length: int, is_apart: bool
    ) -> None:
        self.is_apart = is_apart
        self.conversations = [
            [f'{number:08x}{part:08x}' for part in range(length)]
            for number in range(1, CONVERSATIONS + 1)
        ]
        #: Sound requests late after the fifth crash, and those that began.
        self.settled_count = 0
        self.settled_begun = 0
        super().__init__(seed, 0.05, entry_count)
        ips = [f'10.0.0.{number}' for number in range(entry_count)]
        for evidence, ip in zip(self.entries, ips, strict=True):
            others = [other for other in ips if other != ip]
            evidence.other_entries = lambda others=others: others

    def _choose_entry(self, fingerprint: str) -> int:
        if not self.is_apart:
            return super()._choose_entry(fingerprint)
        bad = max(len(self.entries) // 3, 1)
        first_bad = len(self.entries) - bad
        if self._bad_part(fingerprint) is None:
            return self.rng.randrange(first_bad)
        return first_bad + self.rng.randrange(bad)

    def _send_innocent(self) -> None:
        self._send(
            self._new_request(
                ROOT,
                *self.rng.choice(self.conversations),
                self.rng.choice(MIDDLES),
            )
        )
        self.sound_count += 1
        self.after(self.rng.expovariate(15), self._send_innocent)

    def _send_bad(self, part: str) -> None:
        self._send(
            self._new_request(ROOT, *self.rng.choice(self.conversations), part)
        )
        self.after(self.rng.uniform(0.1, 0.8), lambda: self._send_bad(part))

    def _start(self, fingerprint: str, entry: int, runs: int) -> None:
        refused = len(self.sound_refused)
        super()._start(fingerprint, entry, runs)
        is_sound = self._bad_part(fingerprint) is None
        if is_sound and self._is_settled() and not runs:
            self.settled_count += 1
            self.settled_begun += len(self.sound_refused) == refused

    def _is_settled(self) -> bool:
        """Tell whether the rule on sound requests counts now."""
        return any(
            len(crashes) >= MAX_CRASHES
            and self.now
            > crashes[MAX_CRASHES - 1] + 2 * simulation.SETTLING_SECONDS
            for crashes in self.part_crashes.values()
        )


class GroupSimulation(LongSimulation):
    """Six bad requests come at the same moment, and again some time later."""

    def __init__(self, seed: int) -> None:
        super().__init__(
            seed, entry_count=simulation.ENTRIES, length=3, is_apart=False
        )

    def _send_bad(self, part: str) -> None:
        for _ in range(6):
            self._send(
                self._new_request(
                    ROOT, *self.rng.choice(self.conversations), part
                )
            )
        self.after(self.rng.uniform(2, 6), lambda: self._send_bad(part))

    def _crash_seconds(self) -> float:
        return self.rng.uniform(0.05, 0.055)


class GroupTest(testtools.TestCase):
    """Groups of requests with a part crash endpoints hardly once more."""

    def test_groups(self) -> None:
        """Crashes at one moment count as one, but few are tried after them."""
        for seed in LONG_SEEDS:
            played = GroupSimulation(seed)
            played.run()
            for part in CRASHING:
                self.assertLessEqual(
                    played.later_arrivals(part),
                    simulation.MAX_LATER_ARRIVALS,
                    seed,
                )
            self.assertGreaterEqual(
                2 * played.settled_begun, played.settled_count, seed
            )


class LongPromptTest(testtools.TestCase):
    """A part is found that is not within the sight of one entry."""

    def check(
        self,
        *,
        entry_count: int = simulation.ENTRIES,
        length: int = LONG,
        is_apart: bool = True,
    ) -> None:
        """Play all seeds."""
        for seed in LONG_SEEDS:
            played = LongSimulation(
                seed,
                entry_count=entry_count,
                length=length,
                is_apart=is_apart,
            )
            played.run()
            for part in CRASHING:
                self.assertLessEqual(
                    played.later_arrivals(part),
                    simulation.MAX_LATER_ARRIVALS,
                    seed,
                )
            quarantined = [
                seconds
                for seconds in played.sound_refused
                if seconds > PROTECTION_SECONDS
            ]
            self.assertEqual([], quarantined, seed)
            self.assertGreaterEqual(
                2 * played.settled_begun, played.settled_count, seed
            )

    def test_apart(self) -> None:
        """Some entries get no sound request of the model."""
        self.check(length=3)

    def test_long(self) -> None:
        """The part stands behind hundreds of others."""
        self.check(is_apart=False)

    def test_long_and_apart(self) -> None:
        """Both at once."""
        self.check()

    def test_relayed(self) -> None:
        """Heartbeats reach some of the entries only, and are passed on."""
        self.check(entry_count=MANY_ENTRIES)


class SimulationTest(testtools.TestCase):
    """Parts that crash endpoints are stopped, others are not."""

    def check(self, crash_rate: float) -> None:
        """Play all seeds."""
        for seed in SEEDS:
            played = PartSimulation(seed, crash_rate)
            played.run()
            for part in CRASHING:
                self.assertLessEqual(
                    played.later_arrivals(part),
                    simulation.MAX_LATER_ARRIVALS,
                    seed,
                )
            quarantined = [
                seconds
                for seconds in played.sound_refused
                if seconds > PROTECTION_SECONDS
            ]
            self.assertEqual([], quarantined, seed)

    def test_few_crashes(self) -> None:
        """Endpoints crash of themselves now and then."""
        self.check(0.05)

    def test_many_crashes(self) -> None:
        """Endpoints crash of themselves each second, some of them at once."""
        self.check(1)
