"""Find the request that kills the endpoints that run it, and bar it.

Evidence is a set of crashes, each with the fingerprints that were in flight
at the endpoint.  A fingerprint is convicted by two crashes that have it, and
nothing else, in common.  Three guards keep innocent requests out:

- A suspect, one seen in a crash, runs at an endpoint where no other suspect
  is in flight, so two suspects of one crash don't meet in the next.
- A fingerprint that was answered after the crash is cleared of it: a request
  that kills endpoints is never answered.
- It counts as in common only if it was dispatched to the second endpoint
  after the first had died, as a repeat is.  When half the endpoints are lost
  at once, a popular request was in flight at many of them, and none of those
  dispatches came after a death.

Evidence only grows until it expires, and two parts of it merge in any order
to the same whole, so entries exchange it as it comes.  Times are Unix
seconds, since they pass between processes: clocks that differ shift the end
of a quarantine by their difference and do no other harm.
"""

from __future__ import annotations

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


#: Seconds by which the clocks of two entries may differ before a repeat is
#: no longer recognised as one; the killer then takes one endpoint more.
CLOCK_TOLERANCE = 0.5


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
    """A fingerprint that was answered after some crashes."""

    fingerprint: str
    crashes: tuple[str, ...]


class Digest(msgspec.Struct, frozen=True):
    """Evidence, as entries exchange it; merging it twice changes nothing."""

    crashes: tuple[Crash, ...] = ()
    clearances: tuple[Clearance, ...] = ()

    def __bool__(self) -> bool:
        """Tell whether there is anything in it."""
        return bool(self.crashes or self.clearances)

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


@dataclasses.dataclass(slots=True)
class _Case:
    """One crash with those still under suspicion of it."""

    at: float
    started_by_suspect: dict[str, float] = dataclasses.field(
        default_factory=dict,
    )
    cleared: set[str] = dataclasses.field(default_factory=set)

    def add(self, suspect: Suspect) -> None:
        """Take in one that was in flight, unless it was cleared."""
        if suspect.fingerprint in self.cleared:
            return
        started = self.started_by_suspect.get(
            suspect.fingerprint,
            suspect.started,
        )
        self.started_by_suspect[suspect.fingerprint] = max(
            started,
            suspect.started,
        )

    def clear(self, fingerprint: str) -> None:
        """Note that the fingerprint did not cause this crash."""
        self.cleared.add(fingerprint)
        self.started_by_suspect.pop(fingerprint, None)

    def repeated_in(self, later: _Case) -> tuple[str, ...]:
        """Return the suspects that were sent again and met a later crash."""
        return tuple(
            fingerprint
            for fingerprint in self.started_by_suspect
            if fingerprint in later.started_by_suspect
            and later.started_by_suspect[fingerprint]
            >= self.at - CLOCK_TOLERANCE
        )


class Quarantine:
    """Merge evidence and judge fingerprints by it.

    :param lifetime: seconds for which a convicted fingerprint is refused.
    :param memory: seconds for which a crash is kept.
    :param max_crashes: crashes kept at most.
    """

    __slots__ = (
        '_cases_by_crash',
        '_lifetime',
        '_max_crashes',
        '_memory',
        '_pending_clearances',
        '_pending_crashes',
        '_until_by_fingerprint',
    )

    def __init__(
        self,
        lifetime: float = DEFAULT_LIFETIME,
        memory: float = DEFAULT_MEMORY,
        max_crashes: int = DEFAULT_MAX_CRASHES,
    ) -> None:
        self._lifetime = lifetime
        self._memory = memory
        self._max_crashes = max_crashes
        self._cases_by_crash: dict[str, _Case] = {}
        self._until_by_fingerprint: dict[str, float] = {}
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

    def answered(self, fingerprint: str, started: float, now: float) -> None:
        """Note a whole answer: clear its fingerprint of earlier crashes.

        :param started: when the answered attempt was dispatched; crashes
            after it are not disproved by it.
        """
        crashes = tuple(
            crash_id
            for crash_id, case in self._cases_by_crash.items()
            if fingerprint in case.started_by_suspect and case.at <= started
        )
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
        self._convict()

    def judge(self, fingerprint: str, now: float) -> Judgement:
        """Tell how a fingerprint stands."""
        until = self._until_by_fingerprint.get(fingerprint, now)
        if until > now:
            return Judgement(Standing.QUARANTINED, until - now)
        oldest = now - self._memory
        for case in self._cases_by_crash.values():
            if fingerprint in case.started_by_suspect and case.at >= oldest:
                return Judgement(Standing.SUSPECT)
        return Judgement(Standing.FREE)

    def quarantined(self, now: float) -> dict[str, float]:
        """Return the seconds left by quarantined fingerprint."""
        return {
            fingerprint: until - now
            for fingerprint, until in self._until_by_fingerprint.items()
            if until > now
        }

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
            case.add(suspect)

    def _clear(self, clearance: Clearance, now: float) -> None:
        for crash_id in clearance.crashes:
            # The clearance may come before the crash that it speaks of.
            case = self._cases_by_crash.setdefault(
                crash_id,
                _Case(now),
            )
            case.clear(clearance.fingerprint)

    def _forget(self, now: float) -> None:
        oldest = now - self._memory
        by_age = sorted(
            self._cases_by_crash.items(),
            key=_age_order,
            reverse=True,
        )
        self._cases_by_crash = {
            crash_id: case
            for crash_id, case in by_age[: self._max_crashes]
            if case.at >= oldest
        }

    def _convict(self) -> None:
        """Work out anew who is convicted, and until when.

        Pairs with several suspects in common convict nobody: each of them
        runs on, apart from the others, until it is answered or alone.  The
        harm weighed: one more endpoint for a killer in that rare case,
        against innocent requests refused for the whole lifetime.
        """
        self._until_by_fingerprint = {}
        by_age = sorted(self._cases_by_crash.values(), key=_time_order)
        for first, second in itertools.combinations(by_age, 2):
            repeated = first.repeated_in(second)
            if len(repeated) == 1:
                convicted = repeated[0]
                until = second.at + self._lifetime
                known = self._until_by_fingerprint.get(convicted, until)
                self._until_by_fingerprint[convicted] = max(until, known)


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


def _age_order(item: tuple[str, _Case]) -> tuple[float, str]:
    crash_id, case = item
    return case.at, crash_id


def _time_order(case: _Case) -> float:
    return case.at
