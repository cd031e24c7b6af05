"""Interfaces of the platform's services, one Protocol for each service."""

from __future__ import annotations

import enum
import typing

import msgspec


class Record(msgspec.Struct, frozen=True):
    """One record of a stream in the log service."""

    offset: int
    payload: bytes


class RecordPage(msgspec.Struct, frozen=True):
    """A page of records read from a stream."""

    #: The oldest offset that the log retains.
    oldest: int
    #: The offset at which the next read starts.
    next_offset: int
    #: The offset of the next record to be appended.
    end: int
    records: tuple[Record, ...] = ()


class LogService(typing.Protocol):
    """Append-only streams of records, retained for a limited time."""

    def append(
        self,
        stream: str,
        payloads: typing.Sequence[bytes],
    ) -> tuple[int, ...]:
        """Append records in order, atomically, and return their offsets.

        :raises PlatformUnavailableError: the records may have been appended
            when the error's ``sent`` is true.
        :raises MalformedMessageError: the answer could not be decoded; the
            records may have been appended.
        :raises ThrottledError: the rate limit is exceeded; nothing was
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
        """Read records from ``offset`` on.

        A page without records means that there is none yet at ``offset``.

        :param limit: maximum number of records to return.
        :param wait: seconds to wait for a record if there is none yet.
        :raises RecordsExpiredError: records at ``offset`` are no longer
            retained.
        :raises PlatformUnavailableError: the service did not answer.
        :raises MalformedMessageError: the answer could not be decoded.
        """


class Role(enum.Enum):
    """Role of a process of the system."""

    ENTRY = 'entry'
    AGENT = 'agent'


class InstanceState(enum.Enum):
    """State of an instance in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Instance(msgspec.Struct, frozen=True):
    """One instance in the platform's instance list."""

    id: str
    role: Role
    #: Address of the process's Cap'n Proto listener, ``host:port``.
    address: str
    region: str
    failure_domain: str
    state: InstanceState = InstanceState.LIVE
    #: Address on which an entry accepts callers' HTTP requests,
    #: ``host:port``; empty for agents.
    callers_address: str = ''
    #: The model or service of an agent's endpoint; empty if the list does not
    #: state it, in which case the agent may belong to any of them.
    serves: str = ''


class InstanceList(typing.Protocol):
    """List of live and leaving instances; changes appear with a delay."""

    def instances(self) -> tuple[Instance, ...]:
        """Return all instances that are listed now.

        :raises PlatformUnavailableError: the list did not answer.
        :raises MalformedMessageError: the answer could not be decoded.
        """


class WeightStore(typing.Protocol):
    """The platform's rate-limited store of manifests."""

    def manifest(self, digest: str) -> bytes:
        """Return a manifest's bytes as received; the caller verifies them.

        :param digest: SHA-256 of the manifest, in hexadecimal.
        :raises ContentMissingError: the store has no such manifest.
        :raises ThrottledError: the rate limit is exceeded.
        :raises PlatformUnavailableError: the store did not answer.
        :raises MalformedMessageError: the answer is malformed or too long.
        """


class Origin(typing.Protocol):
    """The origin of weights; the bandwidth of its link is scarce."""

    def chunk(self, digest: str) -> bytes:
        """Return a chunk's bytes as received; the caller verifies the digest.

        :param digest: SHA-256 of the chunk, in hexadecimal.
        :raises ContentMissingError: the origin has no such chunk.
        :raises ThrottledError: the rate limit is exceeded.
        :raises PlatformUnavailableError: the origin did not answer.
        :raises MalformedMessageError: the answer is malformed or too long.
        """
