"""Error classes, each carrying the step and the peer at which it arose."""

from __future__ import annotations

import enum


class Execution(enum.Enum):
    """What the system can say about whether a request was executed."""

    #: The dispatch provably never reached the endpoint.
    NOT_RUN = 'not_run'
    #: The endpoint finished the request.
    RAN = 'ran'
    #: The dispatch may have reached the endpoint; its effect is unknown.
    MAY_HAVE_RUN = 'may_have_run'


class ClementinepassError(Exception):
    """Base of all errors of this package.

    :param detail: what went wrong, for a person to read.
    :param step: the step at which it arose, such as ``'append'``.
    :param peer: the peer it arose with, as ``host:port`` or a name.
    """

    def __init__(self, detail: str, *, step: str, peer: str) -> None:
        super().__init__(detail)
        #: What went wrong, for a person to read.
        self.detail = detail
        #: The step at which the error arose.
        self.step = step
        #: The peer with which the error arose.
        self.peer = peer

    def __str__(self) -> str:
        """Return detail, step and peer in one line."""
        return f'{self.detail} (step {self.step}, peer {self.peer})'


class FileFaultError(ClementinepassError):
    """A fault in a file that an operator wrote.

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
    """A fault in the settings of a daemon; raised in an exception group."""


class ConfigurationError(FileFaultError):
    """A fault in the operators' files; raised in an exception group."""


class PublicationRejectedError(ClementinepassError):
    """A publication lost a race; the detail names what it lost to."""


class OutcomeUnknownError(ClementinepassError):
    """A publication may still land; it can be looked for by its id.

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
    """A service of the platform did not answer, or answered with a fault.

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
    """A service of the platform answered that it has no such content."""


class RecordsExpiredError(ClementinepassError):
    """The records asked for are older than what the log still keeps.

    :param oldest: the oldest offset that the log still keeps.
    """

    def __init__(self, *, step: str, peer: str, oldest: int) -> None:
        super().__init__('records have expired', step=step, peer=peer)
        #: The oldest offset that the log still keeps.
        self.oldest = oldest


class ThrottledError(ClementinepassError):
    """The peer asks for fewer calls.

    :param retry_after: seconds to wait before the next try.
    """

    def __init__(
        self,
        *,
        step: str,
        peer: str,
        retry_after: float,
    ) -> None:
        super().__init__('rate limit reached', step=step, peer=peer)
        #: Seconds to wait before the next try.
        self.retry_after = retry_after


class MalformedMessageError(ClementinepassError):
    """A message from a peer could not be decoded."""


class MessageTooLongError(MalformedMessageError):
    """A message from a peer is longer than what is accepted."""


class ManifestError(ClementinepassError):
    """A manifest contradicts itself or the chunks it lists."""


class ChunkCorruptError(ClementinepassError):
    """A chunk's content does not match its digest."""


class MemoryLimitError(ClementinepassError):
    """A version does not fit into the memory set aside for weights."""


class EndpointError(ClementinepassError):
    """An endpoint failed a call.

    :param execution: what can be said about the call's execution.
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
        #: What can be said about the call's execution.
        self.execution = execution


class StaleOrderError(ClementinepassError):
    """An engine refused an order because its fencing number is too old."""


class PeerUnavailableError(ClementinepassError):
    """A process of the system could not be reached, or fell silent."""


class PeerGoneError(PeerUnavailableError):
    """Nobody listens at a peer's address: its process has ended."""


class StreamLostError(ClementinepassError):
    """A stream can't be resumed: its frames are no longer kept."""


class PeerBusyError(ClementinepassError):
    """A peer declined for now: its cap is reached or the chunk is gone."""


class TransferAbandonedError(ClementinepassError):
    """A newer revision took the place of the one under way."""
