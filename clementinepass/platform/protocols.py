"""What the system asks of the platform, one Protocol for each service."""

from __future__ import annotations

import enum
import typing

import msgspec


class Record(msgspec.Struct, frozen=True):
    """One record of a stream in the log service."""

    offset: int
    payload: bytes


class RecordPage(msgspec.Struct, frozen=True):
    """Records read from a stream."""

    #: The oldest offset that the log still keeps.
    oldest: int
    #: The offset that the next record to read has.
    next_offset: int
    #: The offset that the next appended record will get.
    end: int
    records: tuple[Record, ...] = ()


class LogService(typing.Protocol):
    """Append-only streams of records with offsets, kept for a limited time."""

    def append(
        self,
        stream: str,
        payloads: typing.Sequence[bytes],
    ) -> tuple[int, ...]:
        """Append records in order, all or none, and return their offsets.

        :raises PlatformUnavailableError: the records may have been appended
            when the error's ``sent`` is true.
        :raises MalformedMessageError: the answer could not be decoded; the
            records may have been appended.
        :raises ThrottledError: the rate limit is reached; nothing was
            appended.
        """

    def read(
        self,
        stream: str,
        offset: int,
        *,
        limit: int = 1000,
        wait: float = 0,
    ) -> RecordPage:
        """Read from ``offset``; wait up to ``wait`` seconds for a record.

        A page without records means that there is none yet at ``offset``.

        :raises RecordsExpiredError: ``offset`` is older than what is kept.
        :raises PlatformUnavailableError: the service did not answer.
        :raises MalformedMessageError: the answer could not be decoded.
        """


class Role(enum.Enum):
    """What a process of the system does."""

    ENTRY = 'entry'
    AGENT = 'agent'


class InstanceState(enum.Enum):
    """What the platform says of an instance."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Instance(msgspec.Struct, frozen=True):
    """One instance as the platform's instance list shows it."""

    id: str
    role: Role
    #: Where the process's Cap'n Proto listener is, ``host:port``.
    address: str
    region: str
    failure_domain: str
    state: InstanceState = InstanceState.LIVE
    #: Where an entry takes callers' HTTP, ``host:port``; empty for agents.
    callers_address: str = ''
    #: The model or service of an agent's endpoint; empty where the list does
    #: not say, and then the agent may belong to any.
    serves: str = ''


class InstanceList(typing.Protocol):
    """Live and leaving instances; the list lags."""

    def instances(self) -> tuple[Instance, ...]:
        """Return all instances shown now.

        :raises PlatformUnavailableError: the list did not answer.
        :raises MalformedMessageError: the answer could not be decoded.
        """


class WeightStore(typing.Protocol):
    """The platform's rate-limited store of manifests."""

    def manifest(self, digest: str) -> bytes:
        """Return a manifest's bytes by its SHA-256, in hexadecimal.

        The bytes are as they came; the caller checks them by the digest.

        :raises ContentMissingError: the store has no such manifest.
        :raises ThrottledError: the rate limit is reached.
        :raises PlatformUnavailableError: the store did not answer.
        :raises MalformedMessageError: the answer is no message or too long.
        """


class Origin(typing.Protocol):
    """The place that holds the weights; its link is scarce."""

    def chunk(self, digest: str) -> bytes:
        """Return a chunk's bytes by its SHA-256, in hexadecimal.

        The bytes are as they came; the caller checks them by the digest.

        :raises ContentMissingError: the origin has no such chunk.
        :raises ThrottledError: the origin asks for fewer reads.
        :raises PlatformUnavailableError: the origin did not answer.
        :raises MalformedMessageError: the answer is no message or too long.
        """
