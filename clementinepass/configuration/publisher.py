"""Publish changes and report what became of them."""

from __future__ import annotations

import dataclasses
import time
import typing
import uuid

from loguru import logger

from clementinepass import clock, errors
from clementinepass.configuration import (
    changes,
    checks,
    fold,
    folder,
    follower,
    records,
    state,
)
from clementinepass.ini import reader

if typing.TYPE_CHECKING:
    from clementinepass.platform import protocols

_IN_FORCE = 'configuration in force'
#: Seconds between two tries to read during an outage of the log.
_RETRY = 0.2
#: Longest wait in one read, so that the time limit is kept.
_LONGEST_WAIT = 1
_STEP = 'publish'
#: Why a read that is tried again may fail.
_UNREADABLE = (
    errors.PlatformUnavailableError,
    errors.MalformedMessageError,
    errors.ThrottledError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A publication that is in force."""

    #: The revision that it made; the current one if nothing had to change.
    revision: int
    #: The publication's id; empty if nothing had to change.
    id: str = ''


class Publisher:
    """Publish changes, one call at a time."""

    __slots__ = (
        '_clock',
        '_follower',
        '_log',
        '_results_by_id',
        '_results_by_revision',
        '_sleep',
        '_timeout',
    )

    def __init__(
        self,
        log: protocols.LogService,
        *,
        timeout: float = 10,
        monotonic: clock.Clock | None = None,
        sleep: typing.Callable[[float], None] = time.sleep,
    ) -> None:
        """Follow the log from its newest snapshot.

        :param timeout: seconds for which to try to read the current state,
            to append, and to look for an own record; each.
        """
        self._log = log
        self._timeout = timeout
        self._clock = monotonic or clock.MonotonicClock()
        self._sleep = sleep
        self._results_by_id: dict[str, fold.FoldResult] = {}
        self._results_by_revision: dict[int, fold.FoldResult] = {}
        self._follower = follower.Follower(log, self._note)

    def current(self) -> state.State:
        """Return the state at the log's end.

        :raises PlatformUnavailableError: the log did not answer.
        :raises RecordsExpiredError: no state at the end can be proved.
        """
        self._results_by_id.clear()
        self._results_by_revision.clear()
        while True:
            newest = self._follower.poll()
            if self._follower.trouble is not follower.Trouble.NONE:
                raise errors.RecordsExpiredError(
                    step=_STEP,
                    peer=records.STREAM,
                    oldest=self._follower.end,
                )
            if newest.revision >= self._follower.end:
                return newest

    def publish(
        self,
        sections: folder.Sections,
        removed: typing.Collection[str],
        *,
        operator: str,
        message: str,
        base: int | None = None,
    ) -> Accepted:
        """Set and remove sections; return once they are in force.

        :param base: the revision that the operator has seen; what changed
            since is not overwritten. By default the current one.
        :raises ExceptionGroup: of ``ConfigurationError``.
        :raises PublicationRejectedError: another publication won.
        :raises OutcomeUnknownError: the record could not be found in time
            and may still land.
        :raises PlatformUnavailableError: nothing was appended.
        """
        _check_removed(sections, removed)
        current = self._checked_against()
        wanted = changes.Changes.between(current, sections, removed)
        if not wanted:
            return Accepted(current.revision)
        _check(wanted, current, sections)
        if base is not None:
            _check_base(wanted, current, base)
        publication = wanted.with_key_owners(current).publication(
            current,
            unique_id=uuid.uuid4().hex,
            operator=operator,
            message=message,
        )
        self._append(publication)
        return self._outcome(publication)

    def _checked_against(self) -> state.State:
        """Return the current state, waiting for the end of a short outage.

        A read changes nothing, so it may be tried until the time limit.
        """
        deadline = self._clock.now() + self._timeout
        while True:
            try:
                return self.current()
            except _UNREADABLE as failure:
                if self._clock.now() + _RETRY > deadline:
                    raise
                logger.debug('log unavailable: {}', failure)
                self._sleep(_RETRY)

    def _append(self, publication: records.Publication) -> None:
        deadline = self._clock.now() + self._timeout
        while True:
            try:
                self._log.append(records.STREAM, [publication.encode()])
            except errors.ThrottledError as throttled:
                # Nothing was appended, so asking again is no second append.
                if self._clock.now() + throttled.retry_after > deadline:
                    raise
                self._sleep(throttled.retry_after)
            except errors.PlatformUnavailableError as failure:
                if not failure.sent:
                    raise
                return
            except errors.MalformedMessageError:
                # The append may have taken effect with its answer lost or
                # garbled, here as above. A second append could apply the
                # change again after others have changed it back, so the
                # record is looked for by its id instead.
                return
            else:
                return

    def _outcome(self, publication: records.Publication) -> Accepted:
        result = self._find(publication.id)
        if result is None:
            raise errors.OutcomeUnknownError(
                publication.id,
                step=_STEP,
                peer=records.STREAM,
            )
        if result.rejection is not None:
            raise errors.PublicationRejectedError(
                self._describe(result.rejection),
                step=_STEP,
                peer=records.STREAM,
            )
        return Accepted(result.state.revision, publication.id)

    def _find(self, unique_id: str) -> fold.FoldResult | None:
        deadline = self._clock.now() + self._timeout
        while unique_id not in self._results_by_id:
            remaining = deadline - self._clock.now()
            if remaining <= 0:
                return None
            self._poll(min(remaining, _LONGEST_WAIT))
        return self._results_by_id[unique_id]

    def _poll(self, wait: float) -> None:
        try:
            self._follower.poll(wait)
        except _UNREADABLE as failure:
            logger.debug('log unavailable: {}', failure)
            self._sleep(min(wait, _RETRY))

    def _note(self, result: fold.FoldResult) -> None:
        self._results_by_revision[result.state.revision] = result
        if result.publication is not None:
            # The network may deliver an append twice; the first decides.
            self._results_by_id.setdefault(result.publication.id, result)

    def _describe(self, rejection: fold.Rejection) -> str:
        won = self._results_by_revision.get(rejection.winner)
        by_whom = ''
        if won is not None and won.publication is not None:
            winner = won.publication
            by_whom = f' by {winner.operator}, {winner.message!r} ({winner.id})'
        return (
            f'[{rejection.section}] {rejection.reason.value} at revision '
            f'{rejection.winner}{by_whom}'
        )


def _check_removed(
    sections: folder.Sections,
    removed: typing.Collection[str],
) -> None:
    both = [
        sections.by_name[name] for name in removed if name in sections.by_name
    ]
    folder.raise_faults(
        [
            reader.Fault(
                section.file,
                section.line,
                section.name,
                'is set here and to be removed at once',
            )
            for section in both
        ],
    )


def _check(
    wanted: changes.Changes,
    current: state.State,
    sections: folder.Sections,
) -> None:
    after = folder.Sections.from_values(wanted.applied(current), _IN_FORCE)
    # Faults name the operator's own files where they lie in them.
    for name in wanted.set_by_section:
        after.by_name[name] = sections.by_name[name]
    checks.check(after, only=wanted.set_by_section)


def _check_base(
    wanted: changes.Changes,
    current: state.State,
    base: int,
) -> None:
    for name in sorted({*wanted.set_by_section, *wanted.removed}):
        changed_at = current.changed_at(name)
        if changed_at > base:
            raise errors.PublicationRejectedError(
                f'[{name}] changed at revision {changed_at}, after {base}',
                step=_STEP,
                peer=records.STREAM,
            )
