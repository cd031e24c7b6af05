"""Evidence on crashes of endpoints, as processes report it to one another.

A process that saw a crash reports all that had been sent to the endpoint and
may have crashed it. Those that have answered requests of the same target report
which of the parts were in them. So all come to the same conclusion, whichever
of them saw what.
"""

from __future__ import annotations

import itertools
import typing

import msgspec

from clementinepass.requests import quarantine

if typing.TYPE_CHECKING:
    from collections.abc import Iterable


#: Maximum number of parts that are listed; longer lists are named as sets.
MAX_LISTED_PARTS = 32


class Prompt(msgspec.Struct, frozen=True):
    """Parts of the prompt of a request that ran at a crashed endpoint.

    :param fingerprint: identifies the request.
    :param parts: digests of parts that may have crashed the endpoint.
    :param set_ids: sets of more such parts, which the receiver may have to ask
        for.
    """

    fingerprint: str
    parts: tuple[str, ...] = ()
    set_ids: tuple[str, ...] = ()


class PartCrash(msgspec.Struct, frozen=True):
    """The prompts that may have crashed an endpoint.

    :param id: names the start of the endpoint.
    :param at: monotonic time in seconds, or an age in a report.
    :param target: digest of the model or service that reads the prompts.
    """

    id: str
    at: float
    target: str
    prompts: tuple[Prompt, ...]


class PartAnswer(msgspec.Struct, frozen=True):
    """Requests of the target of a crash that a process has answered.

    :param is_recent: whether they were answered shortly before the crash or
        after it, which shows that their parts did not cause it.
    :param parts: digests of the parts of the crash that these requests have.
    :param set_ids: sets of more such parts, which the receiver may have to ask
        for.
    """

    crash_id: str
    is_recent: bool
    parts: tuple[str, ...] = ()
    set_ids: tuple[str, ...] = ()


class Report(msgspec.Struct, frozen=True):
    """Evidence; applying it twice changes nothing.

    :param requests: evidence on whole requests.
    """

    requests: quarantine.Digest = quarantine.Digest()
    part_crashes: tuple[PartCrash, ...] = ()
    part_answers: tuple[PartAnswer, ...] = ()

    def __bool__(self) -> bool:
        """Tell whether there is anything in it."""
        return bool(self.requests or self.part_crashes or self.part_answers)

    @property
    def crashes(self) -> tuple[quarantine.Crash, ...]:
        """Return the crashes of whole requests."""
        return self.requests.crashes

    @property
    def clearances(self) -> tuple[quarantine.Clearance, ...]:
        """Return the clearances of whole requests."""
        return self.requests.clearances

    @property
    def set_ids(self) -> frozenset[str]:
        """Return the ids of all sets of parts that are referred to."""
        prompts = (
            prompt for crash in self.part_crashes for prompt in crash.prompts
        )
        named = [prompt.set_ids for prompt in prompts]
        named += [answer.set_ids for answer in self.part_answers]
        return frozenset(itertools.chain.from_iterable(named))

    def relative_to(self, now: float) -> Report:
        """Return the report with ages in place of times, or the reverse.

        :param now: the present time of the local clock.
        """
        return Report(
            self.requests.relative_to(now),
            tuple(
                msgspec.structs.replace(crash, at=now - crash.at)
                for crash in self.part_crashes
            ),
            self.part_answers,
        )


def join(reports: Iterable[Report]) -> Report:
    """Return one report with the evidence of several, the latest last."""
    reports = tuple(reports)
    return Report(
        quarantine.Digest(
            tuple(crash for report in reports for crash in report.crashes),
            tuple(
                dict.fromkeys(
                    clearance
                    for report in reports
                    for clearance in report.clearances
                )
            ),
        ),
        tuple(
            _join_crashes(
                crash for report in reports for crash in report.part_crashes
            )
        ),
        tuple(
            _join_answers(
                answer for report in reports for answer in report.part_answers
            )
        ),
    )


def _join_answers(
    answers: Iterable[PartAnswer],
) -> typing.Iterator[PartAnswer]:
    """Return one answer with few parts for each crash, and those with many.

    Lists of many parts stay as they are, as receivers may know them.
    """
    joined: dict[typing.Hashable, PartAnswer] = {}
    for answer in answers:
        if answer.set_ids or len(answer.parts) > MAX_LISTED_PARTS:
            joined[answer] = answer
            continue
        key = answer.crash_id, answer.is_recent
        known = joined.get(key, answer)
        parts = tuple(dict.fromkeys((*known.parts, *answer.parts)))
        joined[key] = msgspec.structs.replace(answer, parts=parts)
    return iter(joined.values())


def _join_crashes(
    crashes: Iterable[PartCrash],
) -> typing.Iterator[PartCrash]:
    """Return one crash for each id, with the prompts of all."""
    found_by_id: dict[str, list[PartCrash]] = {}
    for crash in crashes:
        found_by_id.setdefault(crash.id, []).append(crash)
    return itertools.starmap(_join_crash, found_by_id.items())


def _join_crash(crash_id: str, found: list[PartCrash]) -> PartCrash:
    prompts = dict.fromkeys(
        itertools.chain.from_iterable(crash.prompts for crash in found)
    )
    return PartCrash(
        crash_id,
        min(crash.at for crash in found),
        found[0].target,
        tuple(prompts),
    )
