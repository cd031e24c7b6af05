"""What an entry knows of requests that crash the endpoints that run them.

Repeats of one request crash endpoints, or all requests with some part of a
prompt do. They come to any entry, so that each sees some of the crashes only.
Heartbeats carry new evidence to all of them, without the store, and full
heartbeats carry older evidence to entries that start later. Times are sent as
ages, as the clocks of machines differ.
"""

from __future__ import annotations

import itertools
import typing

from clementinepass.decisions import rendezvous
from clementinepass.direct import (
    evidence_log,
    evidence_reports,
    part_evidence,
    part_sets,
    report_selection,
)
from clementinepass.requests import quarantine

if typing.TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from clementinepass.decisions import crash_causes

#: Crashes in a row by which a request is quarantined. Under two, requests have
#: been that were there by chance.
_MIN_CRASHES = 3
#: Crashes in a row from which a request is not sent once more by the entry, and
#: from which full heartbeats report it.
_MIN_SUSPICIOUS_CRASHES = 2
#: Seconds for which new evidence is in each heartbeat, as some are lost.
_FRESH_SECONDS = 3.0
#: Seconds within which new findings are kept as one.
_JOIN_SECONDS = 0.02
#: Maximum number of such findings that are kept.
_MAX_FRESH = 200
#: Maximum number of processes whose reports wait for sets of prompt parts.
_MAX_UNRESOLVED = 64
#: Seconds after which a request whose quarantine has ended may be tried again
#: if it is neither answered nor crashes an endpoint.
_TRIAL_SECONDS = 10.0
#: Seconds after which a caller may come back that met the end of a quarantine
#: at an entry that runs no trial.
_TRIAL_RETRY_SECONDS = 2.0
#: Number of entries that send requests with some of the prompt parts that have
#: crashed endpoints together, and the seconds between two such requests of one.
#: If all did, several would reach endpoints before the first one shows which of
#: the parts is the cause.
_COMPARING_ENTRIES = 2
_COMPARISON_SECONDS = 1.0
#: Seconds before a crash within which an answer shows that the request has not
#: caused it. A request that comes often is at many endpoints that crash one
#: after the other, and each of its runs may meet a crash for a moment.
_ANSWER_SECONDS = 3.0
#: Maximum number of answered requests that are remembered.
_MAX_ANSWERED = 4096
#: Seconds for which a request that crashed several endpoints is kept away from
#: the last one of its service, as the others are being started again.
_PROTECTION_SECONDS = 10.0


class _Unresolved(typing.NamedTuple):
    """A report that refers to sets of prompt parts that are not known.

    :param report: with times of the local clock.
    """

    report: evidence_reports.Report
    is_relayed: bool


class CrashEvidence:
    """Crashes of endpoints and the requests that ran there.

    :param local_ip: IP address of this process.
    """

    __slots__ = (
        '_answered_at_by_fingerprint',
        '_fresh',
        '_is_outdated',
        '_known_causes',
        '_local_ip',
        '_merged_prompts',
        '_parts',
        '_quarantine',
        '_quarantined',
        '_part_sets',
        '_restricted',
        '_trial_at',
        '_unresolved_by_peer',
        'log',
        'on_quarantine',
        'on_finding',
        'other_entries',
    )

    def __init__(self, local_ip: str) -> None:
        self._local_ip = local_ip
        self._quarantine = quarantine.Quarantine(
            min_crashes=_MIN_CRASHES, tolerance=0
        )
        self._parts = part_evidence.PartEvidence()
        #: Whether something was found since the causes were last looked for.
        self._is_outdated = False
        self._part_sets = part_sets.PartSets()
        self._merged_prompts = report_selection.MergedPrompts()
        self._unresolved_by_peer: dict[str, _Unresolved] = {}
        #: When each request was last answered, in this order.
        self._answered_at_by_fingerprint: dict[str, float] = {}
        #: The time of each new finding.
        self._fresh: list[tuple[float, evidence_reports.Report]] = []
        #: The fingerprints whose quarantine was announced.
        self._quarantined: frozenset[str] = frozenset()
        #: The prompt parts whose quarantine was announced.
        self._known_causes: frozenset[frozenset[str]] = frozenset()
        #: The prompt parts whose restriction was announced.
        self._restricted: frozenset[frozenset[str]] = frozenset()
        #: When each request, or parts of a prompt, were last tried.
        self._trial_at: dict[str, float] = {}
        #: Logs and counts decisions on the evidence.
        self.log = evidence_log.EvidenceLog()
        #: Called when this process has found something, to announce it at once.
        self.on_finding: Callable[[], None] | None = None
        #: Called when a request or prompt parts are quarantined.
        self.on_quarantine: Callable[[], None] | None = None
        #: Returns the IP addresses of the other entries that are alive.
        self.other_entries: Callable[[], Iterable[str]] = tuple

    @property
    def is_empty(self) -> bool:
        """Tell whether no crash is known."""
        return self._quarantine.is_empty and self._parts.is_empty

    @property
    def forgotten_answers(self) -> int:
        """Return the number of answered parts that were forgotten too early."""
        return self._parts.forgotten_answers

    @property
    def crash_count(self) -> int:
        """Return the number of crashes that are kept."""
        return self._quarantine.crash_count

    def count_quarantined(self, now: float) -> int:
        """Return the number of requests that are quarantined."""
        self._refresh(now)
        return len(self._quarantine.quarantined(now))

    def count_quarantined_causes(self, now: float) -> int:
        """Return the number of quarantined combinations of prompt parts."""
        self._refresh(now)
        return sum(
            part_evidence.seconds_refused(cause, now) > 0
            for cause in self._parts.causes
        )

    def evidence(self, fingerprint: str, now: float) -> quarantine.Evidence:
        """Return what is held against a request."""
        self._refresh(now)
        return self._quarantine.evidence(fingerprint, now)

    def record_crash(
        self,
        crash_id: str,
        fingerprint: str,
        started_at: float,
        now: float,
        parts: part_evidence.PromptParts = part_evidence.NO_PARTS,
    ) -> quarantine.CrashHistory:
        """Record a request that ran at an endpoint as it crashed.

        :param crash_id: names the start of the endpoint.
        :param started_at: when the attempt there began.
        :param parts: the parts of its prompt, none if its answer had been
            going on: they have not crashed the endpoint then.
        :returns: the crashes that the request has met so far.
        """
        suspect = quarantine.Suspect(fingerprint, started_at)
        self._quarantine.died(crash_id, (suspect,), now)
        self.log.count(evidence_log.Decision.RECORDED)
        self._is_outdated = True
        self._clear_answered(
            (quarantine.Crash(crash_id, now, (suspect,)),), now
        )
        self._parts.record_crash(crash_id, fingerprint, parts, now)
        self._publish(now)
        return self._quarantine.history(fingerprint, now)

    def record_beginning(
        self, parts: part_evidence.PromptParts, now: float
    ) -> None:
        """Record a whole answer, or an answer that goes on.

        The parts of the prompt have not crashed the endpoint.
        """
        found = self._parts.record_answer(parts, now)
        if not found:
            return
        self._is_outdated = True
        self._publish(now, evidence_log.Clearing.BEGINNING)

    def record_answer(
        self, fingerprint: str, started_at: float, now: float
    ) -> None:
        """Record a complete answer: the request has not crashed an endpoint."""
        self._answered_at_by_fingerprint.pop(fingerprint, None)
        self._answered_at_by_fingerprint[fingerprint] = now
        self._forget_answers(now)
        cleared = self._quarantine.answered(fingerprint, started_at, now)
        if cleared:
            self._is_outdated = True
            self.log.log_cleared(
                cleared,
                evidence_log.Clearing.ANSWER,
                fingerprints=[fingerprint],
            )
        self._publish(now)

    def is_suspicious(
        self,
        fingerprint: str,
        now: float,
        parts: part_evidence.PromptParts = part_evidence.NO_PARTS,
    ) -> bool:
        """Tell whether a request, or a part of it, has met several crashes."""
        self._refresh(now)
        history = self._quarantine.history(fingerprint, now)
        return (
            history.repeated >= _MIN_SUSPICIOUS_CRASHES
            or self._parts.is_suspicious(parts.digests)
        )

    def seconds_barred(
        self,
        fingerprint: str,
        now: float,
        *,
        has_spare_endpoint: bool,
        parts: part_evidence.PromptParts = part_evidence.NO_PARTS,
    ) -> float:
        """Return the seconds for which a request must not run; 0 if it may.

        After a quarantine, and after several crashes that were not one after
        the other, a request is tried by a single entry, one attempt at a time,
        until it is answered or crashes an endpoint once more.

        :param has_spare_endpoint: whether its service has several endpoints
            that can be used.
        """
        self._refresh(now)
        seconds = [self._seconds_quarantined(fingerprint, now)]
        for cause in self._parts.causes_in(parts.digests):
            seconds.append(
                part_evidence.seconds_refused(cause, now)
                or self._seconds_until_trial(_trial_key(cause), now)
            )
        for cause in self._parts.restricted_in(parts.digests):
            seconds.append(self._seconds_until_trial(_trial_key(cause), now))
        for cause in self._parts.partial_causes_in(parts.digests):
            seconds.append(self._seconds_until_comparison(cause, now))
        if not has_spare_endpoint:
            seconds.append(self._seconds_protected(fingerprint, parts, now))
        return max(seconds)

    def is_quarantined(
        self, fingerprint: str, now: float, parts: part_evidence.PromptParts
    ) -> bool:
        """Tell whether a request, or parts of its prompt, are quarantined."""
        standing = self._quarantine.judge(fingerprint, now).standing
        return (
            standing is quarantine.Standing.QUARANTINED
            or next(self._parts.causes_in(parts.digests), None) is not None
        )

    def find_cause(
        self, parts: part_evidence.PromptParts
    ) -> crash_causes.Cause | None:
        """Return the parts of a prompt for which it is refused, if any."""
        causes = itertools.chain(
            self._parts.causes_in(parts.digests),
            self._parts.restricted_in(parts.digests),
        )
        return next(causes, None)

    def record_attempt(
        self,
        fingerprint: str,
        now: float,
        parts: part_evidence.PromptParts = part_evidence.NO_PARTS,
        request_id: str = '',
    ) -> None:
        """Record that an attempt of a request begins.

        :param request_id: the id by which its caller knows the request.
        """
        self._refresh(now)
        history = self._quarantine.history(fingerprint, now)
        self._forget_trials(now)
        if _needs_trial(history):
            self._trial_at[fingerprint] = now
        if history.repeated:
            evidence = self._quarantine.evidence(fingerprint, now)
            self.log.log_let_through(
                request_id,
                fingerprint,
                evidence,
                _reason_to_admit(history, evidence),
            )
        for cause in (
            *self._parts.causes_in(parts.digests),
            *self._parts.restricted_in(parts.digests),
            *self._parts.partial_causes_in(parts.digests),
        ):
            self._trial_at[_trial_key(cause)] = now

    def _seconds_quarantined(self, fingerprint: str, now: float) -> float:
        judgement = self._quarantine.judge(fingerprint, now)
        if judgement.standing is quarantine.Standing.QUARANTINED:
            return judgement.retry_after
        if _needs_trial(self._quarantine.history(fingerprint, now)):
            return self._seconds_until_trial(fingerprint, now)
        return 0

    def _seconds_protected(
        self, fingerprint: str, parts: part_evidence.PromptParts, now: float
    ) -> float:
        """Return the seconds for which to keep a request off the last endpoint.

        :returns: 0 if nothing suggests that it crashes endpoints.
        """
        crashed_at = self._parts.last_suspicious_crash(parts.digests)
        history = self._quarantine.history(fingerprint, now)
        if history.repeated >= _MIN_SUSPICIOUS_CRASHES:
            crashed_at = max(crashed_at, history.last_at)
        return max(crashed_at + _PROTECTION_SECONDS - now, 0)

    def report(self, now: float, *, full: bool) -> evidence_reports.Report:
        """Return evidence for a heartbeat, with ages in place of times.

        :param full: whether to add what entries need to know that have just
            started.
        """
        self._refresh(now)
        self._fresh = [
            (found_at, finding)
            for found_at, finding in self._fresh[-_MAX_FRESH:]
            if now - found_at < _FRESH_SECONDS
        ]
        findings = [finding for _, finding in self._fresh]
        if full:
            repeated = self._quarantine.repeated(_MIN_SUSPICIOUS_CRASHES, now)
            findings.append(evidence_reports.Report(repeated))
            findings.append(self._parts.select_suspicious())
        selected, is_complete = report_selection.select(
            evidence_reports.join(findings), self._part_sets
        )
        if not is_complete:
            self.log.count(evidence_log.Decision.NOT_REPORTED)
        return selected.relative_to(now)

    def apply(
        self,
        report: evidence_reports.Report,
        now: float,
        *,
        is_relayed: bool,
        peer: str = '',
    ) -> tuple[str, ...]:
        """Apply the evidence of a heartbeat.

        :param is_relayed: whether to pass new evidence on, as heartbeats reach
            only some of the entries.
        :param peer: IP address of its sender.
        :returns: the ids of sets of prompt parts to ask the sender for.
        """
        if not report:
            return ()
        known = report.relative_to(now)
        missing = self._part_sets.find_missing(known.set_ids)
        self._unresolved_by_peer.pop(peer, None)
        if missing and len(self._unresolved_by_peer) < _MAX_UNRESOLVED:
            self._unresolved_by_peer[peer] = _Unresolved(known, is_relayed)
        self._merge(known, now, is_relayed=is_relayed, peer=peer)
        return missing

    def find_part_sets(
        self, ids: Iterable[str]
    ) -> tuple[part_sets.PartSet, ...]:
        """Return those sets of prompt parts that are known here."""
        return tuple(self._part_sets.get(ids))

    def add_part_sets(
        self, found: Iterable[part_sets.PartSet], now: float, peer: str
    ) -> None:
        """Add sets of prompt parts that a report of a peer refers to."""
        self._part_sets.add(found)
        unresolved = self._unresolved_by_peer.get(peer)
        if unresolved is None:
            return
        report, is_relayed = unresolved
        if not self._part_sets.find_missing(report.set_ids):
            del self._unresolved_by_peer[peer]
        self._merge(report, now, is_relayed=is_relayed, peer=peer)

    def _merge(
        self,
        report: evidence_reports.Report,
        now: float,
        *,
        is_relayed: bool,
        peer: str,
    ) -> None:
        """Merge a report; its times are of the local clock."""
        resolved = report_selection.resolve(
            report, self._part_sets, self._merged_prompts
        )
        requests = self._quarantine.unknown_part(report.requests)
        new = evidence_reports.join(
            (
                evidence_reports.Report(requests),
                self._parts.merge(resolved, now),
            )
        )
        if not new:
            return
        if requests:
            self._quarantine.merge(requests, now)
        self.log.log_received(new.relative_to(now), peer)
        self._is_outdated = True
        if is_relayed:
            self._add_fresh(new, now)
        self._clear_answered(requests.crashes, now)
        self._publish(now)
        self._refresh(now)

    def _refresh(self, now: float) -> None:
        """Look for the causes of the crashes if something was found."""
        if not self._is_outdated:
            return
        self._is_outdated = False
        self._parts.update()
        self._quarantine.explain(self._parts.requests_by_crash())
        self._announce_quarantined(now)

    def _clear_answered(
        self, crashes: Iterable[quarantine.Crash], now: float
    ) -> None:
        """Clear requests that were answered shortly before crashes."""
        crash_ids: list[str] = []
        fingerprints: set[str] = set()
        for crash in crashes:
            answered = self._answered_fingerprints(crash)
            for cleared in sorted(answered):
                self._quarantine.clear(cleared, (crash.id,), now)
                crash_ids.append(crash.id)
            fingerprints |= answered
        if crash_ids:
            self.log.log_cleared(
                crash_ids,
                evidence_log.Clearing.EARLIER_ANSWER,
                fingerprints=sorted(fingerprints),
            )

    def _answered_fingerprints(self, crash: quarantine.Crash) -> set[str]:
        """Return the requests that were answered shortly before a crash."""
        return {
            suspect.fingerprint
            for suspect in crash.suspects
            if self._answered_at_by_fingerprint.get(
                suspect.fingerprint, float('-inf')
            )
            > crash.at - _ANSWER_SECONDS
        }

    def _forget_answers(self, now: float) -> None:
        answered = self._answered_at_by_fingerprint
        while answered:
            oldest = next(iter(answered))
            is_old = answered[oldest] < now - _ANSWER_SECONDS
            if not is_old and len(answered) <= _MAX_ANSWERED:
                return
            del answered[oldest]

    def _forget_trials(self, now: float) -> None:
        self._trial_at = {
            key: tried_at
            for key, tried_at in self._trial_at.items()
            if now - tried_at < _TRIAL_SECONDS
        }

    def _seconds_until_trial(self, key: str, now: float) -> float:
        entries = {self._local_ip, *self.other_entries()}
        if rendezvous.top_ranked(key, entries, 1) != [self._local_ip]:
            return _TRIAL_RETRY_SECONDS
        trial_at = self._trial_at.get(key, float('-inf'))
        return max(trial_at + _TRIAL_SECONDS - now, 0)

    def _seconds_until_comparison(
        self, cause: crash_causes.Cause, now: float
    ) -> float:
        """Return the seconds for which a request with some parts must wait."""
        key = _trial_key(cause)
        entries = {self._local_ip, *self.other_entries()}
        chosen = rendezvous.top_ranked(key, entries, _COMPARING_ENTRIES)
        if self._local_ip not in chosen:
            return _TRIAL_RETRY_SECONDS
        sent_at = self._trial_at.get(key, float('-inf'))
        return max(sent_at + _COMPARISON_SECONDS - now, 0)

    def _add_fresh(self, finding: evidence_reports.Report, now: float) -> None:
        """Add a new finding for the next heartbeats.

        All requests at a crashed endpoint end at about the same time.
        """
        if self._fresh and now - self._fresh[-1][0] < _JOIN_SECONDS:
            found_at, last = self._fresh.pop()
            joined = evidence_reports.join((last, finding))
            self._fresh.append((found_at, joined))
        else:
            self._fresh.append((now, finding))

    def _publish(
        self,
        now: float,
        clearing: evidence_log.Clearing = evidence_log.Clearing.EARLIER_ANSWER,
    ) -> None:
        """Announce what was found, and log what was dropped or cleared.

        :param clearing: by which answers parts of prompts were cleared.
        """
        for dropped in self._quarantine.take_dropped():
            self.log.log_dropped(
                dropped.crash_ids, dropped.is_expired, dropped.fingerprints
            )
        for lost in self._parts.take_dropped():
            self.log.log_dropped(lost.crash_ids, lost.is_expired)
        on_parts = self._parts.take_findings()
        self.log.log_answers(on_parts.part_answers, clearing)
        finding = evidence_reports.join(
            (evidence_reports.Report(self._quarantine.take_digest()), on_parts)
        )
        if not finding:
            return
        self._add_fresh(finding, now)
        if self.on_finding is not None:
            self.on_finding()

    def _announce_quarantined(self, now: float) -> None:
        """Announce what has been quarantined since the last call."""
        seconds_by_fingerprint = self._quarantine.quarantined(now)
        cause_by_parts = {cause.parts: cause for cause in self._parts.causes}
        fingerprints = seconds_by_fingerprint.keys() - self._quarantined
        new_causes = cause_by_parts.keys() - self._known_causes
        for released in self._quarantined - seconds_by_fingerprint.keys():
            self.log.log_released(
                released, self._quarantine.evidence(released, now)
            )
        crash_ids_by_parts = {
            cause.parts: cause.crash_ids for cause in self._parts.restricted
        }
        for parts in crash_ids_by_parts.keys() - self._restricted:
            self.log.log_restricted_parts(parts, crash_ids_by_parts[parts])
        self._restricted = frozenset(crash_ids_by_parts)
        for released_parts in self._known_causes - cause_by_parts.keys():
            self.log.log_released_parts(released_parts)
        self._quarantined = frozenset(seconds_by_fingerprint)
        self._known_causes = frozenset(cause_by_parts)
        for fingerprint in fingerprints:
            self.log.log_quarantined(
                fingerprint,
                self._quarantine.evidence(fingerprint, now),
                seconds_by_fingerprint[fingerprint],
            )
        for parts in new_causes:
            cause = cause_by_parts[parts]
            self.log.log_quarantined_parts(
                parts,
                cause.crash_ids,
                part_evidence.seconds_refused(cause, now),
            )
        if self.on_quarantine is not None and (fingerprints or new_causes):
            self.on_quarantine()


def _needs_trial(history: quarantine.CrashHistory) -> bool:
    """Tell whether a single entry tries a request, one attempt at a time.

    Copies that are sent at once crash endpoints at the same moment. These
    crashes convict nobody, as half of the endpoints may be lost at once for
    another reason; but the next copies would crash as many endpoints again.
    """
    return history.was_quarantined or history.met >= _MIN_CRASHES


def _reason_to_admit(
    history: quarantine.CrashHistory, evidence: quarantine.Evidence
) -> evidence_log.Admission:
    if evidence.companions:
        return evidence_log.Admission.SHARED
    if _needs_trial(history):
        return evidence_log.Admission.TRIAL
    return evidence_log.Admission.TOO_FEW


def _trial_key(cause: crash_causes.Cause) -> str:
    """Return what is the same at all entries for the trial of a cause."""
    return min(cause.parts)
