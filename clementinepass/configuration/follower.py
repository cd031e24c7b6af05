"""Follower of the configuration log, starting from the newest snapshot."""

from __future__ import annotations

import enum
import threading
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.configuration import fold, records, snapshots, state

if typing.TYPE_CHECKING:
    from clementinepass.platform import protocols


class Trouble(enum.Enum):
    """Reasons why a follower may lack accepted publications."""

    NONE = 'none'
    #: Records have expired that no snapshot covers.
    HOLE = 'hole'
    #: The log ends before the state's revision: it has lost records.
    LOG_BEHIND = 'log_behind'


class Follower:
    """Computes the current state from the log; thread-safe.

    The revision never decreases: neither an old snapshot, nor a peer's older
    state, nor a log that lost records reverts what was in force here.
    """

    __slots__ = (
        '_lock',
        '_log',
        '_observe',
        '_is_initialized',
        '_state',
        'end',
        'trouble',
    )

    def __init__(
        self,
        log: protocols.LogService,
        observe: typing.Callable[[fold.FoldResult], None] | None = None,
    ) -> None:
        """Start with the empty state.

        :param observe: called with the result of each record, in order.
        """
        self._log = log
        self._observe = observe
        self._lock = threading.Lock()
        self._state = state.State()
        self._is_initialized = False
        #: The offset that the log's next record would get, as last read.
        self.end = 0
        #: Why the state may lack accepted publications.
        self.trouble = Trouble.NONE

    @property
    def current(self) -> state.State:
        """The newest state folded or adopted so far."""
        return self._state

    def poll(self, wait: float = 0) -> state.State:
        """Fold new records, waiting up to ``wait`` seconds for the first.

        :raises PlatformUnavailableError: the log did not answer; the
            previous state stays in force.
        """
        if not self._is_initialized:
            self._adopt_snapshot(0)
            self._is_initialized = True
        requested_offset = self._state.revision
        try:
            page = self._log.read(
                records.STREAM,
                requested_offset,
                wait=0 if self.trouble is Trouble.HOLE else wait,
            )
        except errors.RecordsExpiredError as expired:
            self._adopt_snapshot(expired.oldest)
            if self._state.revision < expired.oldest:
                self._set_trouble(Trouble.HOLE)
                # Only a snapshot or a peer's state closes the gap, so polling
                # the log at once would only load it.
                snapshots.wait_for_next(self._log, wait)
        else:
            self._set_trouble(self._fold_page(page, requested_offset))
        return self._state

    def adopt(self, other: state.State) -> bool:
        """Adopt a peer's state if it is newer; return whether it was."""
        with self._lock:
            is_newer = other.revision > self._state.revision
            if is_newer:
                self._state = other
        return is_newer

    def _adopt_snapshot(self, oldest: int) -> None:
        snapshot = snapshots.newest(self._log, oldest)
        if snapshot is not None and self.adopt(snapshot.state):
            logger.info(
                'configuration snapshot taken at revision {}',
                snapshot.state.revision,
            )

    def _fold_page(
        self,
        page: protocols.RecordPage,
        requested_offset: int,
    ) -> Trouble:
        self.end = page.end
        for record in page.records:
            with self._lock:
                # A peer's state may have been adopted during the read.
                expected = self._state.revision
                if record.offset > expected:
                    # The log skipped records. Folding this one would yield a
                    # state that differs from all other readers'.
                    return Trouble.HOLE
                if record.offset < expected:
                    continue
                result = fold.fold(self._state, record)
                self._state = result.state
            if self._observe is not None:
                self._observe(result)
        # Compared with the requested offset, not the current revision: a
        # peer's state adopted during the read may be ahead of a valid page.
        return (
            Trouble.LOG_BEHIND if page.end < requested_offset else Trouble.NONE
        )

    def _set_trouble(self, trouble: Trouble) -> None:
        if trouble is not self.trouble and trouble is not Trouble.NONE:
            logger.error(
                'configuration stays at revision {}: {}',
                self._state.revision,
                trouble.value,
            )
        self.trouble = trouble
