"""Log lines and counts of what is decided on crashes and their evidence.

Each decision by which a request is let through or refused leaves one line with
the fingerprint of the request, so that the lines of all processes show where
evidence ended up.  Lists in lines are bounded.
"""

from __future__ import annotations

import collections
import enum
import typing

from loguru import logger

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

    from clementinepass.direct import evidence_reports
    from clementinepass.requests import quarantine

#: Maximum number of ids that a line lists.
_MAX_LISTED = 8


class Decision(enum.Enum):
    """What became of evidence, or of a request that some is known of."""

    #: A crash that this process has seen.
    RECORDED = 'recorded'
    #: An attempt broke, but nothing showed that its endpoint had crashed.
    NOT_COUNTED = 'not_counted'
    #: Another process reported it.
    RECEIVED = 'received'
    #: An answer has disproved it.
    CLEARED = 'cleared'
    #: It expired, or there was too much of it.
    DROPPED = 'dropped'
    #: There was more of it than a heartbeat carries.
    NOT_REPORTED = 'not_reported'
    #: A request was sent, although crashes under it are known.
    LET_THROUGH = 'let_through'
    QUARANTINED = 'quarantined'
    #: Requests with some parts are tried one at a time.
    RESTRICTED = 'restricted'
    #: A request, or parts of prompts, are not quarantined any more.
    RELEASED = 'released'


class Doubt(enum.Enum):
    """Why a broken attempt does not count as a crash of its endpoint."""

    #: The endpoint was draining.
    DRAINING = 'draining'
    #: Its record had been removed, or another start had replaced it.
    REMOVED_BEFORE = 'removed_before'
    #: Its address accepted connections, and its record stayed.
    NOT_REMOVED = 'not_removed'
    #: Too many attempts waited for the removal of records.
    TOO_MANY = 'too_many'


class Clearing(enum.Enum):
    """By which answer a request, or a part, is cleared of crashes."""

    #: A complete answer to the request, sent after the crashes.
    ANSWER = 'answer'
    #: An answer shortly before the crashes.
    EARLIER_ANSWER = 'earlier_answer'
    #: A whole answer to a request with the part, or one that goes on.
    BEGINNING = 'beginning'


class Admission(enum.Enum):
    """Why a request is sent, although crashes under it are known."""

    #: There are fewer crashes in a row than convict.
    TOO_FEW = 'too_few'
    #: Another request has met the same crashes.
    SHARED = 'shared'
    #: It is tried by a single entry, one attempt at a time.
    TRIAL = 'trial'


class EvidenceLog:
    """Log and count decisions on evidence."""

    __slots__ = ('counts_by_decision',)

    def __init__(self) -> None:
        self.counts_by_decision: collections.Counter[Decision] = (
            collections.Counter()
        )

    def count(self, decision: Decision) -> None:
        """Count a decision."""
        self.counts_by_decision[decision] += 1

    def log_received(self, report: evidence_reports.Report, peer: str) -> None:
        """Log evidence that was new to this process.

        :param report: with ages in place of times.
        :param peer: IP address of the process that reported it.
        """
        self.count(Decision.RECEIVED)
        age_by_crash = {crash.id: crash.at for crash in report.part_crashes}
        age_by_crash.update({crash.id: crash.at for crash in report.crashes})
        latest = sorted(age_by_crash, key=age_by_crash.__getitem__)
        logger.bind(
            peer=peer,
            crashed=_listed(latest),
            ages=[round(age_by_crash[each], 3) for each in latest][
                :_MAX_LISTED
            ],
            fingerprints=_listed(
                suspect.fingerprint
                for crash in sorted(report.crashes, key=_age)
                for suspect in crash.suspects
            ),
            cleared=_listed(
                (
                    *(one.fingerprint for one in report.clearances),
                    *(
                        part
                        for answer in report.part_answers
                        for part in answer.parts
                        if answer.is_recent
                    ),
                )
            ),
        ).info('crash evidence received')

    def log_cleared(
        self,
        crash_ids: Iterable[str],
        by: Clearing,
        *,
        fingerprints: Iterable[str] = (),
        parts: Iterable[str] = (),
    ) -> None:
        """Log that answers disprove that requests, or parts, caused crashes."""
        self.count(Decision.CLEARED)
        logger.bind(
            fingerprints=_listed(fingerprints),
            parts=_listed(parts),
            crashed=_listed(crash_ids),
            by=by.value,
        ).info('cleared of crashes')

    def log_answers(
        self, answers: Iterable[evidence_reports.PartAnswer], by: Clearing
    ) -> None:
        """Log which parts of prompts answers have cleared, if any."""
        clearing = [
            answer for answer in answers if answer.is_recent and answer.parts
        ]
        if clearing:
            self.log_cleared(
                (answer.crash_id for answer in clearing),
                by,
                parts=(part for answer in clearing for part in answer.parts),
            )

    def log_dropped(
        self,
        crash_ids: Iterable[str],
        is_expired: bool,
        fingerprints: Iterable[str] = (),
    ) -> None:
        """Log evidence that is not kept any longer.

        :param is_expired: whether it was too old; otherwise there was too much.
        :param fingerprints: the requests that were suspected of the crashes;
            none if the evidence was on parts of prompts.
        """
        self.count(Decision.DROPPED)
        logger.bind(
            crashed=_listed(crash_ids),
            fingerprints=_listed(fingerprints),
            expired=is_expired,
        ).info('crash evidence dropped')

    def log_not_counted(
        self, request_id: str, fingerprint: str, endpoint: str, reason: Doubt
    ) -> None:
        """Log that an attempt broke without a proof of a crash."""
        self.count(Decision.NOT_COUNTED)
        logger.bind(
            request=request_id,
            fingerprint=fingerprint,
            endpoint=endpoint,
            reason=reason.value,
        ).info('broken attempt not counted as a crash')

    def log_let_through(
        self,
        request_id: str,
        fingerprint: str,
        evidence: quarantine.Evidence,
        admission: Admission,
    ) -> None:
        """Log that a request is sent, although crashes under it are known."""
        self.count(Decision.LET_THROUGH)
        logger.bind(
            request=request_id,
            fingerprint=fingerprint,
            crashes=evidence.repeated,
            **describe(evidence),
            decision=admission.value,
        ).info('sent after crashes')

    def log_quarantined(
        self, fingerprint: str, evidence: quarantine.Evidence, seconds: float
    ) -> None:
        """Log that a request is refused from now on."""
        self.count(Decision.QUARANTINED)
        logger.bind(
            fingerprint=fingerprint,
            **describe(evidence),
            seconds=round(seconds, 1),
        ).warning('request quarantined')

    def log_quarantined_parts(
        self, parts: Iterable[str], crash_ids: Iterable[str], seconds: float
    ) -> None:
        """Log that requests with some parts of prompts are refused."""
        self.count(Decision.QUARANTINED)
        logger.bind(
            parts=list_ids(parts),
            crashed=list_ids(crash_ids),
            seconds=round(seconds, 1),
        ).warning('prompt parts quarantined')

    def log_restricted_parts(
        self, parts: Iterable[str], crash_ids: Iterable[str]
    ) -> None:
        """Log that requests with some parts are tried one at a time."""
        self.count(Decision.RESTRICTED)
        logger.bind(parts=list_ids(parts), crashed=list_ids(crash_ids)).warning(
            'prompt parts restricted'
        )

    def log_released(
        self, fingerprint: str, evidence: quarantine.Evidence
    ) -> None:
        """Log that a request is not quarantined any more."""
        self.count(Decision.RELEASED)
        logger.bind(fingerprint=fingerprint, **describe(evidence)).info(
            'quarantine of a request ended'
        )

    def log_released_parts(self, parts: Iterable[str]) -> None:
        """Log that parts of prompts are not quarantined any more."""
        self.count(Decision.RELEASED)
        logger.bind(parts=list_ids(parts)).info(
            'quarantine of prompt parts ended'
        )


def describe(evidence: quarantine.Evidence) -> dict[str, list[typing.Any]]:
    """Return the log fields on the latest crashes of a request."""
    latest = evidence.crashes[-_MAX_LISTED:]
    return {
        'crashed': [crash.id for crash in latest],
        'ages': [round(crash.age, 3) for crash in latest],
        'shared_with': list(evidence.companions[:_MAX_LISTED]),
    }


def list_ids(ids: Iterable[str]) -> list[str]:
    """Return the ids that a line lists, if their order says nothing."""
    return sorted(ids)[:_MAX_LISTED]


def _age(crash: quarantine.Crash) -> float:
    return crash.at


def _listed(ids: Iterable[str]) -> list[str]:
    return list(dict.fromkeys(ids))[:_MAX_LISTED]
