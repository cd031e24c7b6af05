"""Follow the configuration's log from the newest point that can be proved."""

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
    """Why a follower's state may be older than what was accepted."""

    NONE = 'none'
    #: Records expired that no snapshot covers.
    HOLE = 'hole'
    #: The log ends before the state: it has lost records.
    LOG_BEHIND = 'log_behind'


class Follower:
    """Fold the log; safe to use from several threads.

    The state never goes back: neither a snapshot, nor a peer, nor a log that
    lost records takes away what was once in force here.
    """

    __slots__ = (
        '_lock',
        '_log',
        '_observe',
        '_placed',
        '_state',
        'end',
        'trouble',
    )

    def __init__(
        self,
        log: protocols.LogService,
        observe: typing.Callable[[fold.FoldResult], None] | None = None,
    ) -> None:
        """Start from nothing.

        :param observe: called with what each record did, in order.
        """
        self._log = log
        self._observe = observe
        self._lock = threading.Lock()
        self._state = state.State()
        self._placed = False
        #: The offset that the log's next record would get, as last read.
        self.end = 0
        #: Why the state may be older than what was accepted.
        self.trouble = Trouble.NONE

    @property
    def current(self) -> state.State:
        """The newest state that can be proved."""
        return self._state

    def poll(self, wait: float = 0) -> state.State:
        """Fold new records, waiting up to ``wait`` seconds for the first.

        :raises PlatformUnavailableError: the log did not answer; the state
            so far stays in force.
        """
        if not self._placed:
            self._jump(0)
            self._placed = True
        asked = self._state.revision
        try:
            page = self._log.read(
                records.STREAM,
                asked,
                wait=0 if self.trouble is Trouble.HOLE else wait,
            )
        except errors.RecordsExpiredError as expired:
            self._jump(expired.oldest)
            if self._state.revision < expired.oldest:
                self._report(Trouble.HOLE)
                # Only a snapshot or a peer can help; asking again at once
                # would keep the log busy for nothing.
                snapshots.wait_for_next(self._log, wait)
        else:
            self._report(self._take(page, asked))
        return self._state

    def adopt(self, other: state.State) -> bool:
        """Take a peer's state if it is newer; tell whether it was."""
        with self._lock:
            newer = other.revision > self._state.revision
            if newer:
                self._state = other
        return newer

    def _jump(self, oldest: int) -> None:
        snapshot = snapshots.newest(self._log, oldest)
        if snapshot is not None and self.adopt(snapshot.state):
            logger.info(
                'configuration snapshot taken at revision {}',
                snapshot.state.revision,
            )

    def _take(self, page: protocols.RecordPage, asked: int) -> Trouble:
        self.end = page.end
        for record in page.records:
            with self._lock:
                # A peer's state may have been adopted during the read.
                expected = self._state.revision
                if record.offset > expected:
                    # The log skipped records. Folding on would yield a state
                    # that no other reader has.
                    return Trouble.HOLE
                if record.offset < expected:
                    continue
                result = fold.fold(self._state, record)
                self._state = result.state
            if self._observe is not None:
                self._observe(result)
        # Compared with what was asked for: a peer's state adopted during the
        # read may be ahead of a page that is sound.
        return Trouble.LOG_BEHIND if page.end < asked else Trouble.NONE

    def _report(self, trouble: Trouble) -> None:
        if trouble is not self.trouble and trouble is not Trouble.NONE:
            logger.error(
                'configuration stays at revision {}: {}',
                self._state.revision,
                trouble.value,
            )
        self.trouble = trouble
