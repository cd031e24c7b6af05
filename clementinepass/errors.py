"""Exception classes; each carries the step and the peer of the failure."""

from __future__ import annotations

import enum


class Execution(enum.Enum):
    """What is known about whether a request was executed."""

    #: The dispatch provably never reached the endpoint.
    NOT_RUN = 'not_run'
    #: The endpoint finished the request.
    RAN = 'ran'
    #: The dispatch may have reached the endpoint; its effect is unknown.
    MAY_HAVE_RUN = 'may_have_run'


class ClementinepassError(Exception):
    """Base of all errors of this package.

    :param detail: human-readable description of the failure.
    :param step: the step that failed, such as ``'append'``.
    :param peer: the peer involved, as ``host:port`` or a name.
    """

    def __init__(self, detail: str, *, step: str, peer: str) -> None:
        super().__init__(detail)
        #: Human-readable description of the failure.
        self.detail = detail
        #: The step that failed.
        self.step = step
        #: The peer involved, as ``host:port`` or a name.
        self.peer = peer

    def __str__(self) -> str:
        """Return detail, step and peer in one line."""
        return f'{self.detail} (step {self.step}, peer {self.peer})'


class FileFaultError(ClementinepassError):
    """An error in a file that an operator wrote.

    :param file: the file's name.
    :param line: the line, counted from 1; 0 for the file as a whole.
    :param key: the section or key at fault.
    """

    def __init__(
        self,
        detail: str,
        *,
        file: str,
        line: int,
        key: str,
    ) -> None:
        super().__init__(detail, step='check', peer=file)
        #: The file's name.
        self.file = file
        #: The line, counted from 1; 0 for the file as a whole.
        self.line = line
        #: The section or key at fault.
        self.key = key

    def __str__(self) -> str:
        """Return file, line, key and detail in one line."""
        return f'{self.file}:{self.line}: {self.key}: {self.detail}'


class SettingsError(FileFaultError):
    """An error in a daemon's settings; raised in an exception group."""


class ConfigurationError(FileFaultError):
    """An error in the operators' files; raised in an exception group."""


class PublicationRejectedError(ClementinepassError):
    """A publication was rejected; the detail says why and which one won."""


class OutcomeUnknownError(ClementinepassError):
    """A publication may or may not take effect; its id can be looked up.

    :param publication_id: the publication's unique id.
    """

    def __init__(
        self,
        publication_id: str,
        *,
        step: str,
        peer: str,
    ) -> None:
        detail = f'outcome of publication {publication_id} is unknown'
        super().__init__(detail, step=step, peer=peer)
        #: The publication's unique id.
        self.publication_id = publication_id


class PlatformUnavailableError(ClementinepassError):
    """A service of the platform did not answer, or reported a failure.

    The call may have taken effect unless ``sent`` is false.
    """

    def __init__(
        self,
        detail: str,
        *,
        step: str,
        peer: str,
        sent: bool = True,
    ) -> None:
        super().__init__(detail, step=step, peer=peer)
        #: Whether the call may have reached the service.
        self.sent = sent


class ContentMissingError(PlatformUnavailableError):
    """A service of the platform does not have the requested content."""


class RecordsExpiredError(ClementinepassError):
    """The requested records are no longer retained by the log.

    :param oldest: the oldest offset that the log retains.
    """

    def __init__(self, *, step: str, peer: str, oldest: int) -> None:
        super().__init__('records have expired', step=step, peer=peer)
        #: The oldest offset that the log retains.
        self.oldest = oldest


class ThrottledError(ClementinepassError):
    """The peer rejected a call since its rate limit is exceeded.

    :param retry_after: seconds to wait before the next try.
    """

    def __init__(
        self,
        *,
        step: str,
        peer: str,
        retry_after: float,
    ) -> None:
        super().__init__('rate limit exceeded', step=step, peer=peer)
        #: Seconds to wait before the next try.
        self.retry_after = retry_after


class MalformedMessageError(ClementinepassError):
    """A message from a peer could not be decoded."""


class MessageTooLongError(MalformedMessageError):
    """A message from a peer exceeds the size limit."""


class ManifestError(ClementinepassError):
    """A manifest is inconsistent or does not match its chunks."""


class ChunkCorruptError(ClementinepassError):
    """A chunk's content does not match its digest."""


class MemoryLimitError(ClementinepassError):
    """A version does not fit into the memory reserved for weights."""


class EndpointError(ClementinepassError):
    """A call to an endpoint failed.

    :param execution: what is known about the call's execution.
    """

    def __init__(
        self,
        detail: str,
        *,
        step: str,
        peer: str,
        execution: Execution,
    ) -> None:
        super().__init__(detail, step=step, peer=peer)
        #: What is known about the call's execution.
        self.execution = execution


class StaleOrderError(ClementinepassError):
    """An engine rejected an order because its fencing token is too old."""


class PeerUnavailableError(ClementinepassError):
    """A process of the system is unreachable or stopped responding."""


class PeerGoneError(PeerUnavailableError):
    """A peer's address refuses connections: its process has ended."""


class StreamLostError(ClementinepassError):
    """A stream can't be resumed: its frames are no longer retained."""


class PeerBusyError(ClementinepassError):
    """A peer declined temporarily: it is at its limit or lacks the chunk."""


class TransferAbandonedError(ClementinepassError):
    """A transfer was abandoned in favour of a newer revision."""
