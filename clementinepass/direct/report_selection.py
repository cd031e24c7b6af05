"""Fit evidence on crashes into a heartbeat, which is a datagram.

Short lists of prompt parts are in the heartbeat itself. It names the sets of
longer ones, which the receiver asks for if it lacks them.
"""

from __future__ import annotations

import typing

import msgspec

from clementinepass.direct import evidence_reports
from clementinepass.requests import quarantine

if typing.TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from clementinepass.direct import part_sets

#: Maximum number of requests at crashed endpoints, of prompts there, of
#: clearances and of answers.
_MAX_SUSPECTS = 400
_MAX_PROMPTS = 400
_MAX_CLEARANCES = 128
_MAX_ANSWERS = 128
#: Maximum number of parts that are listed.
_MAX_LISTED_PARTS = 1024
#: Maximum number of sets of parts that are named.
_MAX_SETS = 1024
#: Maximum number of prompts of which it is known that they were merged.
_MAX_MERGED = 4096

_Holder = typing.TypeVar(
    '_Holder', evidence_reports.Prompt, evidence_reports.PartAnswer
)


class Selection(typing.NamedTuple):
    """The evidence that fits into a heartbeat.

    :param is_complete: whether this is all evidence.
    """

    report: evidence_reports.Report
    is_complete: bool


def select(
    report: evidence_reports.Report, sets: part_sets.PartSets
) -> Selection:
    """Choose the evidence on the latest crashes.

    :param sets: where sets of parts are kept for those that ask for them.
    """
    packer = _Packer(sets)
    crashes = tuple(_select_crashes(report.crashes))
    part_crashes = tuple(packer.pack_crashes(report.part_crashes))
    answers = tuple(
        packer.pack(answer) for answer in report.part_answers[-_MAX_ANSWERS:]
    )
    selected = evidence_reports.Report(
        quarantine.Digest(crashes, report.clearances[-_MAX_CLEARANCES:]),
        part_crashes,
        answers,
    )
    is_complete = not packer.is_full and _size(selected) == _size(report)
    return Selection(selected, is_complete)


class MergedPrompts:
    """Prompts with all their sets, which come again in several heartbeats."""

    __slots__ = ('_keys',)

    def __init__(self) -> None:
        #: Crashes and prompts, the oldest first.
        self._keys: dict[tuple[str, evidence_reports.Prompt], None] = {}

    def select_new(
        self, crash: evidence_reports.PartCrash, sets: part_sets.PartSets
    ) -> Iterator[evidence_reports.Prompt]:
        """Return the prompts that were not returned before with all sets."""
        for prompt in crash.prompts:
            key = crash.id, prompt
            if key in self._keys:
                continue
            yield prompt
            if prompt.set_ids and not sets.find_missing(prompt.set_ids):
                self._keys[key] = None
                if len(self._keys) > _MAX_MERGED:
                    del self._keys[next(iter(self._keys))]


def resolve(
    report: evidence_reports.Report,
    sets: part_sets.PartSets,
    merged: MergedPrompts,
) -> evidence_reports.Report:
    """Return a report with parts in place of the sets that are known."""
    return msgspec.structs.replace(
        report,
        part_crashes=tuple(
            msgspec.structs.replace(
                crash,
                prompts=tuple(
                    _resolve(prompt, sets)
                    for prompt in merged.select_new(crash, sets)
                ),
            )
            for crash in report.part_crashes
        ),
        part_answers=tuple(
            _resolve(answer, sets) for answer in report.part_answers
        ),
    )


class _Packer:
    """Names sets of parts in place of long lists."""

    __slots__ = ('_parts_left', '_sets', '_sets_left', 'is_full')

    def __init__(self, sets: part_sets.PartSets) -> None:
        self._sets = sets
        self._parts_left = _MAX_LISTED_PARTS
        self._sets_left = _MAX_SETS
        #: Whether some parts are left out.
        self.is_full = False

    def pack_crashes(
        self, crashes: Iterable[evidence_reports.PartCrash]
    ) -> Iterator[evidence_reports.PartCrash]:
        """Return the crashes with the prompts that fit, the latest first."""
        prompts_left = _MAX_PROMPTS
        for crash in sorted(crashes, key=_part_crash_time, reverse=True):
            prompts = tuple(map(self.pack, crash.prompts[:prompts_left]))
            prompts_left -= len(prompts)
            if prompts:
                yield msgspec.structs.replace(crash, prompts=prompts)

    def pack(self, holder: _Holder) -> _Holder:
        """Return a prompt or an answer, its parts listed or as sets."""
        count = len(holder.parts)
        if count <= min(evidence_reports.MAX_LISTED_PARTS, self._parts_left):
            self._parts_left -= count
            return holder
        set_ids = self._sets.store(holder.parts)[: self._sets_left]
        self._sets_left -= len(set_ids)
        self.is_full = self.is_full or not self._sets_left
        return msgspec.structs.replace(holder, parts=(), set_ids=set_ids)


def _resolve(holder: _Holder, sets: part_sets.PartSets) -> _Holder:
    if not holder.set_ids:
        return holder
    parts = set(holder.parts).union(
        *(part_set.parts for part_set in sets.get(holder.set_ids))
    )
    return msgspec.structs.replace(
        holder, parts=tuple(sorted(parts)), set_ids=()
    )


def _select_crashes(
    crashes: Iterable[quarantine.Crash],
) -> Iterator[quarantine.Crash]:
    """Return one crash for each id, the latest first, with what fits."""
    suspects_left = _MAX_SUSPECTS
    for crash in sorted(_joined(crashes), key=_crash_time, reverse=True):
        suspects = crash.suspects[:suspects_left]
        suspects_left -= len(suspects)
        if suspects:
            yield quarantine.Crash(crash.id, crash.at, suspects)


def _joined(
    crashes: Iterable[quarantine.Crash],
) -> Iterator[quarantine.Crash]:
    """Return one crash for each id, with the suspects of all."""
    suspects_by_crash: dict[str, dict[str, quarantine.Suspect]] = {}
    time_by_crash: dict[str, float] = {}
    for crash in crashes:
        suspects = suspects_by_crash.setdefault(crash.id, {})
        for suspect in crash.suspects:
            known = suspects.get(suspect.fingerprint, suspect)
            suspects[suspect.fingerprint] = max(known, suspect, key=_start)
        known_at = time_by_crash.get(crash.id, crash.at)
        time_by_crash[crash.id] = min(known_at, crash.at)
    for crash_id, suspects in suspects_by_crash.items():
        yield quarantine.Crash(
            crash_id, time_by_crash[crash_id], tuple(suspects.values())
        )


def _size(report: evidence_reports.Report) -> tuple[int, int, int, int]:
    suspects = {
        (crash.id, suspect.fingerprint)
        for crash in report.crashes
        for suspect in crash.suspects
    }
    prompts = sum(len(crash.prompts) for crash in report.part_crashes)
    return (
        len(suspects),
        prompts,
        len(report.clearances),
        len(report.part_answers),
    )


def _crash_time(crash: quarantine.Crash) -> float:
    return crash.at


def _part_crash_time(crash: evidence_reports.PartCrash) -> float:
    return crash.at


def _start(suspect: quarantine.Suspect) -> float:
    return suspect.started
