"""Publish configuration changes and report their outcome."""

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
#: Seconds between read attempts during an outage of the log.
_RETRY_SECONDS = 0.2
#: Longest wait of one read in seconds, so that the timeout is respected.
_MAX_WAIT_SECONDS = 1
_STEP = 'publish'
#: Errors after which a read is retried.
_RETRYABLE_READ_ERRORS = (
    errors.PlatformUnavailableError,
    errors.MalformedMessageError,
    errors.ThrottledError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The result of a publication that is in force."""

    #: The revision it created; the current one if nothing had to change.
    revision: int
    #: The publication's id; empty if nothing had to change.
    id: str = ''


class Publisher:
    """Publishes changes; not safe for concurrent calls."""

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
        """Prepare to follow the log from its newest snapshot.

        :param timeout: seconds allowed for each of three steps: reading the
            current state, appending, and finding the appended record.
        """
        self._log = log
        self._timeout = timeout
        self._clock = monotonic or clock.MonotonicClock()
        self._sleep = sleep
        self._results_by_id: dict[str, fold.FoldResult] = {}
        self._results_by_revision: dict[int, fold.FoldResult] = {}
        self._follower = follower.Follower(log, self._record_result)

    def current(self) -> state.State:
        """Return the state at the log's end.

        :raises PlatformUnavailableError: the log did not answer.
        :raises RecordsExpiredError: records have expired that no snapshot
            covers, so the state at the log's end can't be computed.
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

        :param base: the revision that the operator's change is based on;
            sections changed after it are not overwritten. Defaults to the
            current revision.
        :raises ExceptionGroup: of ``ConfigurationError``.
        :raises PublicationRejectedError: a conflicting publication came
            first.
        :raises OutcomeUnknownError: the record was not found in time and
            may still be appended.
        :raises PlatformUnavailableError: nothing was appended.
        """
        _check_removed(sections, removed)
        current = self._read_current()
        requested = changes.Changes.between(current, sections, removed)
        if not requested:
            return Accepted(current.revision)
        _check(requested, current, sections)
        if base is not None:
            _check_base(requested, current, base)
        publication = requested.with_key_owners(current).publication(
            current,
            unique_id=uuid.uuid4().hex,
            operator=operator,
            message=message,
        )
        self._append(publication)
        return self._await_outcome(publication)

    def _read_current(self) -> state.State:
        """Return the current state, retrying during a short outage.

        A read has no side effects, so it is retried until the timeout.
        """
        deadline = self._clock.now() + self._timeout
        while True:
            try:
                return self.current()
            except _RETRYABLE_READ_ERRORS as failure:
                if self._clock.now() + _RETRY_SECONDS > deadline:
                    raise
                logger.debug('log unavailable: {}', failure)
                self._sleep(_RETRY_SECONDS)

    def _append(self, publication: records.Publication) -> None:
        deadline = self._clock.now() + self._timeout
        while True:
            try:
                self._log.append(records.STREAM, [publication.encode()])
            except errors.ThrottledError as throttled:
                # Nothing was appended, so a retry can't append twice.
                if self._clock.now() + throttled.retry_after > deadline:
                    raise
                self._sleep(throttled.retry_after)
            except errors.PlatformUnavailableError as failure:
                if not failure.sent:
                    raise
                return
            except errors.MalformedMessageError:
                # Here as above, the append may have taken effect although
                # its answer was lost or malformed. A second append could
                # apply the change again after others have reverted it, so
                # the record is searched for by its id instead.
                return
            else:
                return

    def _await_outcome(self, publication: records.Publication) -> Accepted:
        result = self._find_result(publication.id)
        if result is None:
            raise errors.OutcomeUnknownError(
                publication.id,
                step=_STEP,
                peer=records.STREAM,
            )
        if result.rejection is not None:
            raise errors.PublicationRejectedError(
                self._describe_rejection(result.rejection),
                step=_STEP,
                peer=records.STREAM,
            )
        return Accepted(result.state.revision, publication.id)

    def _find_result(self, unique_id: str) -> fold.FoldResult | None:
        deadline = self._clock.now() + self._timeout
        while unique_id not in self._results_by_id:
            remaining = deadline - self._clock.now()
            if remaining <= 0:
                return None
            self._poll_follower(min(remaining, _MAX_WAIT_SECONDS))
        return self._results_by_id[unique_id]

    def _poll_follower(self, wait: float) -> None:
        try:
            self._follower.poll(wait)
        except _RETRYABLE_READ_ERRORS as failure:
            logger.debug('log unavailable: {}', failure)
            self._sleep(min(wait, _RETRY_SECONDS))

    def _record_result(self, result: fold.FoldResult) -> None:
        self._results_by_revision[result.state.revision] = result
        if result.publication is not None:
            # The network may deliver an append twice; the first copy counts.
            self._results_by_id.setdefault(result.publication.id, result)

    def _describe_rejection(self, rejection: fold.Rejection) -> str:
        winning_result = self._results_by_revision.get(rejection.winner)
        attribution = ''
        if (
            winning_result is not None
            and winning_result.publication is not None
        ):
            winner = winning_result.publication
            attribution = (
                f' by {winner.operator}, {winner.message!r} ({winner.id})'
            )
        return (
            f'[{rejection.section}] {rejection.reason.value} at revision '
            f'{rejection.winner}{attribution}'
        )


def _check_removed(
    sections: folder.Sections,
    removed: typing.Collection[str],
) -> None:
    conflicting = [
        sections.by_name[name] for name in removed if name in sections.by_name
    ]
    folder.raise_faults(
        [
            reader.Fault(
                section.file,
                section.line,
                section.name,
                'is set here and also listed for removal',
            )
            for section in conflicting
        ],
    )


def _check(
    requested: changes.Changes,
    current: state.State,
    sections: folder.Sections,
) -> None:
    after = folder.Sections.from_values(requested.applied(current), _IN_FORCE)
    # Faults in sections that the operator sets name the operator's files.
    for name in requested.set_by_section:
        after.by_name[name] = sections.by_name[name]
    checks.check(after, only=requested.set_by_section)


def _check_base(
    requested: changes.Changes,
    current: state.State,
    base: int,
) -> None:
    for name in sorted({*requested.set_by_section, *requested.removed}):
        changed_at = current.changed_at(name)
        if changed_at > base:
            raise errors.PublicationRejectedError(
                f'[{name}] changed at revision {changed_at}, after {base}',
                step=_STEP,
                peer=records.STREAM,
            )
