"""Find the request that crashes the endpoints that run it, and bar it.

Evidence is a set of crashes, each with the fingerprints that were in flight
at the endpoint.  A fingerprint is convicted by two crashes, or by more if it
is less certain what a crash is, that have it, and nothing else, in common.
Three guards keep innocent requests out:

- A suspect, one seen in a crash, runs at an endpoint where no other suspect
  is in flight, so two suspects of one crash don't meet in the next.
- A fingerprint that was answered after the crash is cleared of it: a request
  that crashes endpoints is never answered.
- It counts as in common only if it was dispatched to the next endpoint
  after the one before had died, as a repeat is.  When half the endpoints are
  lost at once, a popular request was in flight at many of them, and none of
  those dispatches came after a death.

Evidence only grows until it expires, and two parts of it merge in any order
to the same whole, so entries exchange it as it comes.  Where times pass
between processes as Unix seconds, clocks that differ shift the end of a
quarantine by their difference and do no other harm.  Where they pass as ages,
each process uses its monotonic clock.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import itertools
import typing

import msgspec

#: Seconds for which a convicted fingerprint is refused.  Long enough for
#: people to look, short enough for an innocent request to be bearable.
DEFAULT_LIFETIME = 600.0
#: Seconds for which a crash is kept as evidence.  Longer than a quarantine:
#: after its end, one more crash convicts again at once.
DEFAULT_MEMORY = 3600.0
#: Crashes kept; the oldest goes first.  Bounds memory and the search through
#: pairs when endpoints die in great numbers for another reason.
DEFAULT_MAX_CRASHES = 64


#: Crashes that convict a fingerprint.
DEFAULT_MIN_CRASHES = 2
#: Seconds by which the clocks of two entries may differ before a repeat is
#: no longer recognised as one; it then crashes one endpoint more.
CLOCK_TOLERANCE = 0.5
#: Seconds by which a lead may be wrong as it is rounded on its way.
_LEAD_ERROR = 0.001
#: Latest crashes of a fingerprint that are compared with one another, which
#: bounds the number of their combinations.
_MAX_COMPARED = 8
#: Seconds by which a crash that another process reports must be newer than the
#: oldest one to take its place. The time of a crash comes later by the latency
#: of each heartbeat.
_MIN_NEWER_SECONDS = 0.5
#: Latest crashes that rank with those of requests that have met several.
_NEWEST_KEPT = 16
#: Rank of crashes that convict a fingerprint, by which they are kept.
_CONVICTING = 2
#: Reports of dropped evidence that wait to be taken.
_MAX_DROPPED = 64


class Suspect(msgspec.Struct, frozen=True):
    """A fingerprint in flight at an endpoint."""

    fingerprint: str
    #: When its latest dispatch there began, in Unix seconds.
    started: float


class Crash(msgspec.Struct, frozen=True):
    """What was in flight at an endpoint when it died."""

    #: The same wherever this death is reported, as the agent named it.
    id: str
    #: Unix seconds.
    at: float
    suspects: tuple[Suspect, ...]


class Clearance(msgspec.Struct, frozen=True):
    """A fingerprint that did not cause some crashes."""

    fingerprint: str
    crashes: tuple[str, ...]


class Digest(msgspec.Struct, frozen=True):
    """Evidence, as entries exchange it; merging it twice changes nothing."""

    crashes: tuple[Crash, ...] = ()
    clearances: tuple[Clearance, ...] = ()

    def __bool__(self) -> bool:
        """Tell whether there is anything in it."""
        return bool(self.crashes or self.clearances)

    def relative_to(self, now: float) -> typing.Self:
        """Return the digest with ages in place of times, or the reverse.

        Ages let processes with different clocks exchange evidence.

        :param now: the present time of the local clock.
        """
        return type(self)(
            tuple(
                Crash(
                    crash.id,
                    now - crash.at,
                    tuple(
                        Suspect(suspect.fingerprint, now - suspect.started)
                        for suspect in crash.suspects
                    ),
                )
                for crash in self.crashes
            ),
            self.clearances,
        )

    def encode(self) -> bytes:
        """Return the digest as the payload of a record."""
        return msgspec.json.encode(self)

    @classmethod
    def decode(cls, payload: bytes) -> typing.Self:
        """Return the digest of a record's payload.

        :raises msgspec.MsgspecError: the payload can't be decoded.
        """
        return msgspec.json.decode(payload, type=cls)


class Standing(enum.Enum):
    """How a fingerprint stands."""

    FREE = 'free'
    #: In flight when an endpoint died: runs apart from other suspects.
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


@dataclasses.dataclass(slots=True, frozen=True)
class Judgement:
    """How a fingerprint stands, and for how long."""

    standing: Standing
    #: Seconds until the quarantine ends; 0 where there is none.
    retry_after: float = 0


class CrashHistory(typing.NamedTuple):
    """The crashes that a fingerprint has met and no answer has disproved.

    :param repeated: the number of crashes one after the other, with the
        request sent again after each.
    :param met: the number of all crashes.
    :param last_at: when the last one happened; minus infinity for none.
    :param was_quarantined: whether the fingerprint is or was quarantined for
        them.
    """

    repeated: int
    met: int
    last_at: float
    was_quarantined: bool


class KnownCrash(typing.NamedTuple):
    """A crash that a fingerprint is suspected of.

    :param age: seconds since the crash.
    """

    id: str
    age: float


class Evidence(typing.NamedTuple):
    """What is held against a fingerprint.

    :param crashes: the crashes that it is suspected of, the latest last.
    :param repeated: the number of them one after the other.
    :param companions: other fingerprints that were sent again from crash to
        crash like this one, so that neither is convicted by those.
    """

    crashes: tuple[KnownCrash, ...]
    repeated: int
    companions: tuple[str, ...]


class Dropped(typing.NamedTuple):
    """Evidence that is not kept any longer.

    :param fingerprints: those that were suspected of the crashes.
    :param is_expired: whether it was too old; otherwise there was too much.
    """

    crash_ids: tuple[str, ...]
    fingerprints: tuple[str, ...]
    is_expired: bool


@dataclasses.dataclass(slots=True)
class _Case:
    """One crash with those still under suspicion of it."""

    at: float
    #: Seconds from the latest dispatch of each suspect to the crash. Unlike the
    #: time of the dispatch they are the same for all who hear of it.
    lead_by_suspect: dict[str, float] = dataclasses.field(
        default_factory=dict,
    )
    #: Fingerprints that did not cause this crash.
    cleared: set[str] = dataclasses.field(default_factory=set)
    #: Suspects that another cause of this crash excuses.
    excused: frozenset[str] = frozenset()

    def add(self, suspect: Suspect, lead: float) -> None:
        """Take in one that was in flight, unless it was cleared."""
        fingerprint = suspect.fingerprint
        if fingerprint not in self.cleared:
            known = self.lead_by_suspect.get(fingerprint, lead)
            self.lead_by_suspect[fingerprint] = min(known, lead)

    def lacks(self, suspect: Suspect, lead: float) -> bool:
        """Tell whether adding a suspect would change anything."""
        fingerprint = suspect.fingerprint
        known = self.lead_by_suspect.get(fingerprint, float('inf'))
        return fingerprint not in self.cleared and lead < known - _LEAD_ERROR

    def started(self, fingerprint: str) -> float | None:
        """Return when a suspect was dispatched; ``None`` if it is none."""
        lead = self.lead_by_suspect.get(fingerprint)
        return None if lead is None else self.at - lead

    def clear(self, cleared: str) -> None:
        """Note that a fingerprint did not cause this crash."""
        self.cleared.add(cleared)
        self.lead_by_suspect.pop(cleared, None)

    @property
    def suspects(self) -> typing.Iterator[str]:
        """Return the fingerprints that nothing excuses."""
        return (
            fingerprint
            for fingerprint in self.lead_by_suspect
            if fingerprint not in self.excused
        )

    def select(self, fingerprints: set[str]) -> typing.Iterator[Suspect]:
        """Return the suspects that are chosen."""
        for fingerprint, lead in sorted(self.lead_by_suspect.items()):
            if fingerprint in fingerprints:
                yield Suspect(fingerprint, self.at - lead)

    def is_repeated_in(
        self, fingerprint: str, later: _Case, tolerance: float
    ) -> bool:
        """Tell whether a suspect was sent again and met a later crash."""
        started = later.started(fingerprint)
        return (
            fingerprint in self.lead_by_suspect
            and started is not None
            and started >= self.at - tolerance
        )


class _Conviction(typing.NamedTuple):
    """The crashes that convict a fingerprint.

    :param at: when the last of them happened, at the earliest conviction.
    :param repeated: the number of crashes one after the other.
    :param has_recurred: whether it was sent after that, and met a crash.
    """

    fingerprint: str
    at: float
    repeated: int
    has_recurred: bool

    @property
    def rank(self) -> tuple[bool, int, float, str]:
        """Return a sort key; the most certain conviction has the lowest.

        The fingerprint makes the order the same in all processes.
        """
        return not self.has_recurred, -self.repeated, self.at, self.fingerprint


class Quarantine:
    """Merge evidence and judge fingerprints by it.

    :param lifetime: seconds for which a convicted fingerprint is refused.
    :param memory: seconds for which a crash is kept.
    :param max_crashes: crashes kept at most.
    :param min_crashes: crashes in a row that convict a fingerprint.
    :param tolerance: seconds by which the times of two crashes may be wrong.
    """

    __slots__ = (
        '_cases_by_crash',
        '_cases_by_fingerprint',
        '_dropped',
        '_explained',
        '_lifetime',
        '_max_crashes',
        '_memory',
        '_min_crashes',
        '_on_trial',
        '_tolerance',
        '_pending_clearances',
        '_pending_crashes',
        '_repeats_by_fingerprint',
        '_until_by_fingerprint',
    )

    def __init__(
        self,
        lifetime: float = DEFAULT_LIFETIME,
        memory: float = DEFAULT_MEMORY,
        max_crashes: int = DEFAULT_MAX_CRASHES,
        min_crashes: int = DEFAULT_MIN_CRASHES,
        tolerance: float = CLOCK_TOLERANCE,
    ) -> None:
        self._lifetime = lifetime
        self._memory = memory
        self._max_crashes = max_crashes
        self._min_crashes = min_crashes
        self._tolerance = tolerance
        self._cases_by_crash: dict[str, _Case] = {}
        #: The crashes that each fingerprint is suspected of, by time.
        self._cases_by_fingerprint: dict[str, list[_Case]] = {}
        self._until_by_fingerprint: dict[str, float] = {}
        #: The number of crashes in a row, if there are several.
        self._repeats_by_fingerprint: dict[str, int] = {}
        #: Convicted fingerprints that are tried again, as others explain
        #: crashes that convict them.
        self._on_trial: frozenset[str] = frozenset()
        #: Crashes that parts of prompts explain.
        self._explained: frozenset[str] = frozenset()
        self._dropped: collections.deque[Dropped] = collections.deque(
            maxlen=_MAX_DROPPED
        )
        self._pending_crashes: list[Crash] = []
        self._pending_clearances: list[Clearance] = []

    def died(
        self,
        crash_id: str,
        suspects: typing.Iterable[Suspect],
        now: float,
    ) -> None:
        """Note the requests of this entry in flight when an endpoint died.

        :param crash_id: the death's name, the same for every entry that
            reports it, and another for each death.
        """
        crash = Crash(crash_id, now, tuple(suspects))
        if crash.suspects:
            self._pending_crashes.append(crash)
            self.merge(Digest(crashes=(crash,)), now)

    def answered(
        self, fingerprint: str, started: float, now: float
    ) -> tuple[str, ...]:
        """Note a whole answer: clear its fingerprint of earlier crashes.

        :param started: when the answered attempt was dispatched; crashes
            after it are not disproved by it.
        :returns: the crashes of which it was cleared.
        """
        if fingerprint not in self._cases_by_fingerprint:
            return ()
        crashes = tuple(
            crash_id
            for crash_id, case in self._cases_by_crash.items()
            if fingerprint in case.lead_by_suspect and case.at <= started
        )
        self.clear(fingerprint, crashes, now)
        return crashes

    def clear(
        self, fingerprint: str, crashes: tuple[str, ...], now: float
    ) -> None:
        """Note that a fingerprint did not cause some crashes."""
        if crashes:
            clearance = Clearance(fingerprint, crashes)
            self._pending_clearances.append(clearance)
            self.merge(Digest(clearances=(clearance,)), now)

    def take_digest(self) -> Digest:
        """Return what this entry found since the last call, to publish."""
        digest = Digest(
            tuple(self._pending_crashes),
            tuple(self._pending_clearances),
        )
        self._pending_crashes.clear()
        self._pending_clearances.clear()
        return digest

    def take_dropped(self) -> tuple[Dropped, ...]:
        """Return what was dropped since the last call."""
        dropped = tuple(self._dropped)
        self._dropped.clear()
        return dropped

    def put_back(self, digest: Digest) -> None:
        """Keep a digest that could not be published for the next try."""
        self._pending_crashes.extend(digest.crashes)
        self._pending_clearances.extend(digest.clearances)

    def merge(self, digest: Digest, now: float) -> None:
        """Take in evidence, this entry's or another's."""
        for crash in digest.crashes:
            self._add(crash, now)
        for clearance in digest.clearances:
            self._clear(clearance, now)
        self._forget(now)
        self._index()
        self._convict()

    def unknown_part(self, digest: Digest) -> Digest:
        """Return the part of some evidence that is not known here.

        Crashes that would be dropped at once are left out. Otherwise processes
        would send them to each other again and again.
        """
        least = self._least_kept()
        repeated = self._count_met(digest)
        return Digest(
            tuple(
                Crash(crash.id, crash.at, suspects)
                for crash in digest.crashes
                if self._would_keep(crash, least, repeated)
                and (suspects := tuple(self._unknown_suspects(crash)))
            ),
            tuple(
                clearance
                for clearance in digest.clearances
                if any(
                    crash_id not in self._cases_by_crash
                    or clearance.fingerprint
                    not in self._cases_by_crash[crash_id].cleared
                    for crash_id in clearance.crashes
                )
            ),
        )

    def judge(self, fingerprint: str, now: float) -> Judgement:
        """Tell how a fingerprint stands."""
        until = self._until_by_fingerprint.get(fingerprint, now)
        if until > now and fingerprint not in self._on_trial:
            return Judgement(Standing.QUARANTINED, until - now)
        oldest = now - self._memory
        for case in self._cases_by_fingerprint.get(fingerprint, ()):
            if case.at >= oldest:
                return Judgement(Standing.SUSPECT)
        return Judgement(Standing.FREE)

    def history(self, fingerprint: str, now: float) -> CrashHistory:
        """Return the crashes that a fingerprint has met."""
        oldest = now - self._memory
        cases = [
            case
            for case in self._cases_by_fingerprint.get(fingerprint, ())
            if case.at >= oldest
        ]
        return CrashHistory(
            self._count_repeated(fingerprint, cases),
            len(cases),
            cases[-1].at if cases else float('-inf'),
            fingerprint in self._until_by_fingerprint,
        )

    def evidence(self, fingerprint: str, now: float) -> Evidence:
        """Return what is held against a fingerprint."""
        crashes = sorted(
            (
                KnownCrash(crash_id, now - case.at)
                for crash_id, case in self._cases_by_crash.items()
                if fingerprint in case.suspects
            ),
            key=lambda crash: -crash.age,
        )
        return Evidence(
            tuple(crashes),
            self.history(fingerprint, now).repeated,
            self._companions(fingerprint),
        )

    @property
    def is_empty(self) -> bool:
        """Tell whether there is no evidence at all."""
        return not self._cases_by_crash

    @property
    def crash_count(self) -> int:
        """Return the number of crashes that are kept."""
        return len(self._cases_by_crash)

    def repeated(self, min_crashes: int, now: float) -> Digest:
        """Return the evidence on fingerprints with some crashes in a row.

        Entries that start later need no other: what an answer may still clear
        is left out, and so are most of those that were there by chance.

        :param min_crashes: crashes in a row that a fingerprint has met.
        """
        chosen = {
            fingerprint
            for fingerprint in self._cases_by_fingerprint
            if self.history(fingerprint, now).repeated >= min_crashes
        }
        crashes = (
            Crash(crash_id, case.at, tuple(case.select(chosen)))
            for crash_id, case in self._cases_by_crash.items()
        )
        return Digest(tuple(crash for crash in crashes if crash.suspects))

    def explain(
        self,
        requests_by_crash: typing.Mapping[str, typing.Collection[str]],
    ) -> None:
        """Excuse the requests that did not cause crashes with known causes.

        These crashes are kept longest.

        :param requests_by_crash: the fingerprints of the requests that may have
            caused each crash of which the cause is known.
        """
        if not requests_by_crash and not self._explained:
            return
        self._explained = frozenset(requests_by_crash)
        for crash_id, case in self._cases_by_crash.items():
            case.excused = frozenset(
                case.lead_by_suspect.keys()
                - requests_by_crash.get(crash_id, case.lead_by_suspect)
            )
        self._index()
        self._convict()

    def quarantined(self, now: float) -> dict[str, float]:
        """Return the seconds left by quarantined fingerprint."""
        return {
            fingerprint: until - now
            for fingerprint, until in self._until_by_fingerprint.items()
            if until > now and fingerprint not in self._on_trial
        }

    def _unknown_suspects(self, crash: Crash) -> typing.Iterator[Suspect]:
        case = self._cases_by_crash.get(crash.id, _Case(crash.at))
        for suspect in crash.suspects:
            if case.lacks(suspect, crash.at - suspect.started):
                yield suspect

    def _add(self, crash: Crash, now: float) -> None:
        # A clock ahead of ours must not make evidence last longer.
        at = min(crash.at, now)
        case = self._cases_by_crash.get(crash.id)
        if case is None:
            case = _Case(at)
            self._cases_by_crash[crash.id] = case
        # Entries that shared the endpoint saw the death at different times;
        # the earliest counts wherever the reports are merged.
        case.at = min(case.at, at)
        for suspect in crash.suspects:
            case.add(suspect, crash.at - suspect.started)

    def _clear(self, clearance: Clearance, now: float) -> None:
        for crash_id in clearance.crashes:
            # The clearance may come before the crash that it speaks of.
            case = self._cases_by_crash.setdefault(
                crash_id,
                _Case(now),
            )
            case.clear(clearance.fingerprint)

    def _forget(self, now: float) -> None:
        """Drop what is too old, and what is too much.

        Crashes that convict are kept longest, and then those of fingerprints
        with several: many endpoints that end for other reasons must
        neither set free what is quarantined nor hide what is about to be.
        """
        if len(self._cases_by_crash) > self._max_crashes:
            # What is new may show that a request crashes endpoints.
            self._index()
        oldest = now - self._memory
        # Each request is new at its first crash.
        newest = sorted(
            self._cases_by_crash.items(), key=_item_time, reverse=True
        )[:_NEWEST_KEPT]
        newest_ids = {crash_id for crash_id, _ in newest}

        def order(item: tuple[str, _Case]) -> tuple[int, float, str]:
            importance, at, crash_id = self._retention_order(item)
            return max(importance, crash_id in newest_ids), at, crash_id

        by_age = sorted(self._cases_by_crash.items(), key=order, reverse=True)
        self._cases_by_crash = {
            crash_id: case
            for crash_id, case in by_age[: self._max_crashes]
            if case.at >= oldest
        }
        if len(by_age) > len(self._cases_by_crash):
            dropped = [
                item for item in by_age if item[0] not in self._cases_by_crash
            ]
            self._note_dropped(dropped, oldest)

    def _note_dropped(
        self, dropped: list[tuple[str, _Case]], oldest: float
    ) -> None:
        for is_expired in (True, False):
            cases_by_crash = {
                crash_id: case
                for crash_id, case in dropped
                if (case.at < oldest) is is_expired and case.lead_by_suspect
            }
            if cases_by_crash:
                fingerprints = dict.fromkeys(
                    fingerprint
                    for case in cases_by_crash.values()
                    for fingerprint in case.lead_by_suspect
                )
                self._dropped.append(
                    Dropped(
                        tuple(cases_by_crash), tuple(fingerprints), is_expired
                    )
                )

    def _least_kept(self) -> tuple[int, float, str] | None:
        """Return the rank of the next crash to be dropped.

        :returns: ``None`` if there is room for more.
        """
        if len(self._cases_by_crash) < self._max_crashes:
            return None
        return min(map(self._retention_order, self._cases_by_crash.items()))

    def _count_met(self, digest: Digest) -> collections.Counter[str]:
        """Count the crashes that fingerprints have met with those reported."""
        met = collections.Counter(
            suspect.fingerprint
            for crash in digest.crashes
            if crash.id not in self._cases_by_crash
            for suspect in crash.suspects
        )
        for fingerprint in met:
            met[fingerprint] += len(
                self._cases_by_fingerprint.get(fingerprint, ())
            )
        return met

    def _would_keep(
        self,
        crash: Crash,
        least: tuple[int, float, str] | None,
        met: collections.Counter[str],
    ) -> bool:
        """Tell whether a crash would be kept.

        :param least: the rank of the next crash to be dropped, if there is no
            room.
        :param met: the crashes that fingerprints have met.
        """
        if least is None or crash.id in self._cases_by_crash:
            return True
        if any(met[suspect.fingerprint] > 1 for suspect in crash.suspects):
            return True
        is_newer = crash.at > least[1] + _MIN_NEWER_SECONDS
        return is_newer and least[0] < _CONVICTING

    def _retention_order(
        self, item: tuple[str, _Case]
    ) -> tuple[int, float, str]:
        """Return the rank of a crash; those with the highest are kept."""
        crash_id, case = item
        if crash_id in self._explained:
            return _CONVICTING, case.at, crash_id
        return (
            max(map(self._importance, case.lead_by_suspect), default=0),
            case.at,
            crash_id,
        )

    def _importance(self, fingerprint: str) -> int:
        """Return how important the crashes of a fingerprint are."""
        if fingerprint in self._until_by_fingerprint:
            return _CONVICTING
        return int(len(self._cases_by_fingerprint.get(fingerprint, ())) > 1)

    def _index(self) -> None:
        """Sort the crashes by the fingerprints that are suspected of them."""
        self._cases_by_fingerprint = {}
        for case in sorted(self._cases_by_crash.values(), key=_time_order):
            for fingerprint in case.suspects:
                self._cases_by_fingerprint.setdefault(fingerprint, []).append(
                    case
                )
        self._repeats_by_fingerprint = {}
        for repeated, cases in self._cases_by_fingerprint.items():
            count = self._count_repeated(repeated, cases)
            if count > 1:
                self._repeats_by_fingerprint[repeated] = count

    def _convict(self) -> None:
        """Work out anew who is convicted, and until when."""
        self._until_by_fingerprint = {}
        convicted_at_by_fingerprint: dict[str, float] = {}
        for fingerprint, repeats in self._repeats_by_fingerprint.items():
            if repeats < self._min_crashes:
                continue
            cases = self._cases_by_fingerprint[fingerprint]
            times = [
                chain[-1].at
                for chain in itertools.combinations(
                    cases[-_MAX_COMPARED:], self._min_crashes
                )
                if self._is_only_repeated(fingerprint, chain)
            ]
            if times:
                convicted_at_by_fingerprint[fingerprint] = min(times)
                self._until_by_fingerprint[fingerprint] = (
                    max(times) + self._lifetime
                )
        convictions = itertools.starmap(
            self._conviction, convicted_at_by_fingerprint.items()
        )
        self._on_trial = frozenset(self._find_excused(convictions))

    def _conviction(self, fingerprint: str, convicted_at: float) -> _Conviction:
        cases = self._cases_by_fingerprint[fingerprint]
        return _Conviction(
            fingerprint,
            convicted_at,
            self._repeats_by_fingerprint[fingerprint],
            any(
                (case.started(fingerprint) or 0) > convicted_at
                for case in cases
            ),
        )

    def _find_excused(
        self, convictions: typing.Iterable[_Conviction]
    ) -> typing.Iterator[str]:
        """Return convicted fingerprints that others may excuse.

        A request that comes along with one that crashes endpoints meets the
        same crashes, and one of another cause convicts both.  The one with more
        crashes explains them; the other is tried again, and stays convicted if
        it crashes an endpoint once more.
        """
        explained: set[int] = set()
        for conviction in sorted(convictions, key=_rank):
            cases = self._cases_by_fingerprint[conviction.fingerprint]
            own = [case for case in cases if id(case) not in explained]
            repeated = self._count_repeated(conviction.fingerprint, own)
            if conviction.has_recurred or repeated >= self._min_crashes:
                explained.update(map(id, cases))
            else:
                yield conviction.fingerprint

    def _is_only_repeated(
        self, fingerprint: str, chain: tuple[_Case, ...]
    ) -> bool:
        """Tell whether one suspect alone was sent again from crash to crash.

        Crashes with several suspects in common convict nobody: each of them
        runs on, apart from the others, until it is answered or alone.  The
        harm weighed: one more endpoint that crashes in that rare case,
        against innocent requests refused for the whole lifetime.
        """
        if not self._is_repeated(fingerprint, chain):
            return False
        return not any(self._others_repeated(fingerprint, chain))

    def _others_repeated(
        self, fingerprint: str, chain: tuple[_Case, ...]
    ) -> typing.Iterator[str]:
        """Return the others that were sent again from crash to crash."""
        return (
            other
            for other in chain[0].suspects
            if other != fingerprint
            and self._repeats_by_fingerprint.get(other, 1) >= self._min_crashes
            and self._is_repeated(other, chain)
        )

    def _companions(self, fingerprint: str) -> tuple[str, ...]:
        """Return the others that keep a fingerprint from being convicted."""
        cases = self._cases_by_fingerprint.get(fingerprint, [])
        companions = {
            other
            for chain in itertools.combinations(
                cases[-_MAX_COMPARED:], self._min_crashes
            )
            if self._is_repeated(fingerprint, chain)
            for other in self._others_repeated(fingerprint, chain)
        }
        return tuple(sorted(companions))

    def _is_repeated(self, fingerprint: str, chain: tuple[_Case, ...]) -> bool:
        return all(
            case.is_repeated_in(fingerprint, later, self._tolerance)
            for case, later in itertools.pairwise(chain)
        )

    def _count_repeated(self, fingerprint: str, cases: list[_Case]) -> int:
        """Return the length of the longest chain of crashes.

        Of the crashes that end after a repeat has begun, the earliest leaves
        most time for others.
        """
        count = 0
        last: _Case | None = None
        for case in cases:
            if last is None or last.is_repeated_in(
                fingerprint, case, self._tolerance
            ):
                last = case
                count += 1
        return count


class InFlight:
    """Know which fingerprints an entry has in flight at each endpoint."""

    __slots__ = ('_suspects_by_endpoint',)

    def __init__(self) -> None:
        self._suspects_by_endpoint: dict[str, dict[str, Suspect]] = {}

    def began(
        self,
        endpoint: str,
        request_id: str,
        fingerprint: str,
        now: float,
    ) -> None:
        """Note a dispatch, before it is sent; ``now`` in Unix seconds."""
        suspects = self._suspects_by_endpoint.setdefault(endpoint, {})
        suspects[request_id] = Suspect(fingerprint, now)

    def finished(self, endpoint: str, request_id: str) -> None:
        """Note that the request is no longer at the endpoint."""
        suspects = self._suspects_by_endpoint.get(endpoint, {})
        suspects.pop(request_id, None)

    def at(self, endpoint: str) -> tuple[Suspect, ...]:
        """Return what is in flight at an endpoint, for a crash report."""
        return tuple(self._suspects_by_endpoint.get(endpoint, {}).values())

    def count(self, endpoint: str) -> int:
        """Return the number of requests in flight at an endpoint."""
        return len(self._suspects_by_endpoint.get(endpoint, {}))

    def may_place(
        self,
        endpoint: str,
        fingerprint: str,
        quarantine: Quarantine,
        now: float,
    ) -> bool:
        """Tell whether a request may go to an endpoint beside the others.

        Two suspects never meet at one endpoint: should it die, the crash
        must convict one fingerprint and not both.
        """
        if quarantine.judge(fingerprint, now).standing is Standing.FREE:
            return True
        return not any(
            other.fingerprint != fingerprint
            and quarantine.judge(other.fingerprint, now).standing
            is not Standing.FREE
            for other in self.at(endpoint)
        )


def _item_time(item: tuple[str, _Case]) -> float:
    return item[1].at


def _time_order(case: _Case) -> float:
    return case.at


def _rank(conviction: _Conviction) -> tuple[bool, int, float, str]:
    return conviction.rank
