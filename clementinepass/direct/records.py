"""Records of the platform's store, and the interface to read and write it."""

from __future__ import annotations

import enum
import ipaddress
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable, Mapping


#: Number of offsets in one era of the store. It begins a new era when it comes
#: back from a copy, and gives out again the offsets of records that were lost.
#: So that offsets grow nevertheless, those of each era start at a multiple of
#: this number.
ERA_SPAN = 2**40


def era(offset: int) -> int:
    """Return the era of the store in which an offset was given out."""
    return offset // ERA_SPAN


class Topic(enum.Enum):
    """A topic of the store that a process follows."""

    #: Configurations and desired versions, written by the operator.
    OPERATOR = 'operator'
    #: Listings of endpoints, written by the endpoints.
    ENDPOINTS = 'endpoints'
    #: Entries by IP address, written by the entries.
    ENTRIES = 'entries'


class Source(enum.Enum):
    """Where records come from."""

    STORE = 'store'
    #: A process of the same region.
    REGION = 'region'
    #: A process of another region.
    OTHER_REGION = 'other_region'


class Record(typing.NamedTuple):
    """The value of a key at an offset.

    :param offset: the position in the topic; grows with each record, and from
        one era of the store to the next.
    :param payload: the value; ``None`` if the key was removed.
    """

    key: str
    offset: int
    payload: bytes | None


class Page(typing.NamedTuple):
    """Records in order, and the offset of the next one.

    :param outage_age: seconds since the end of an outage of the store, if the
        records were read just after one; else ``None``.
    :param is_snapshot: whether the records are those of all keys, so that a
        key that is missing was removed.
    :param size_bytes: the size of the message that contained the records.
    """

    records: tuple[Record, ...]
    next_offset: int
    outage_age: float | None = None
    is_snapshot: bool = False
    size_bytes: int = 0

    @property
    def era(self) -> int:
        """Return the era of the store from which the records are."""
        return era(self.next_offset)

    @property
    def ips(self) -> list[str]:
        """Return the keys that are IP addresses, as the keys of entries are.

        Other writers may use any key. A datagram to a host name would wait
        for the name's lookup.
        """
        return [record.key for record in self.records if _is_ip(record.key)]


class Store(typing.Protocol):
    """The platform's store, which keeps the newest record of each key."""

    @property
    def min_connect_seconds(self) -> float:
        """Return the shortest time to connect; infinite before the first."""

    #: Called with a newer era of the store when an answer tells of one.
    on_new_era: Callable[[int], None] | None

    async def end(self, topic: Topic) -> int:
        """Return the offset of the next record, without reading any.

        :raises PlatformUnavailableError: the store did not answer.
        """

    async def newest(self, topic: Topic) -> Page:
        """Return the newest record of each key.

        :raises PlatformUnavailableError: the store did not answer.
        """

    async def changes(self, topic: Topic, offset: int, wait: float) -> Page:
        """Return the records from an offset on; wait if there is none yet.

        :param wait: the longest wait for a record, in seconds.
        :raises RecordsExpiredError: the offset is no longer kept, or is of an
            earlier era.
        :raises PlatformUnavailableError: the store did not answer.
        """

    async def put(
        self, topic: Topic, payload_by_key: Mapping[str, bytes]
    ) -> None:
        """Write the newest records of some keys, all or none.

        :raises PlatformUnavailableError: the store did not answer; the
            records may have been written.
        """


def _is_ip(text: str) -> bool:
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True
