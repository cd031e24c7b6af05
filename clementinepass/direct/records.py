"""Records of the platform's store, and what a watcher asks of the store."""

from __future__ import annotations

import enum
import ipaddress
import typing


class Topic(enum.Enum):
    """What a process follows in the store."""

    #: Configurations and named versions, written by the operator.
    OPERATOR = 'operator'
    #: Endpoints, written by themselves.
    ENDPOINTS = 'endpoints'
    #: Entries, written by themselves.
    ENTRIES = 'entries'


class Record(typing.NamedTuple):
    """The newest word on a key.

    :param offset: its place in the topic; grows with each record.
    :param payload: ``None`` where the key was removed.
    """

    key: str
    offset: int
    payload: bytes | None


class Page(typing.NamedTuple):
    """Records read in order, up to the offset of the next one.

    :param outage_age: seconds since the end of an outage of the store after
        which they were read; ``None`` where none ended just before.
    :param is_snapshot: whether these are the records of all keys that there
        were, so that a key that isn't among them was removed.
    """

    records: tuple[Record, ...]
    next_offset: int
    outage_age: float | None = None
    is_snapshot: bool = False

    @property
    def ips(self) -> list[str]:
        """Return the keys that are IP numbers, as entries' keys are.

        Anybody may write others there, and what is sent to a name that is no
        number waits for its lookup.
        """
        return [one.key for one in self.records if _is_ip(one.key)]


class Store(typing.Protocol):
    """The platform's store: the newest record of each key, and changes."""

    async def newest(self, topic: Topic) -> Page:
        """Return the newest record of each key.

        :raises PlatformUnavailableError: the store did not answer.
        """

    async def changes(self, topic: Topic, offset: int, wait: float) -> Page:
        """Return the records from an offset on, waiting for the first.

        :param wait: seconds to wait for a record.
        :raises RecordsExpiredError: the offset is no longer kept.
        :raises PlatformUnavailableError: the store did not answer.
        """

    async def put(self, topic: Topic, key: str, payload: bytes) -> None:
        """Write the newest record of a key.

        :raises PlatformUnavailableError: the store did not answer; the
            record may have been written.
        """


def _is_ip(text: str) -> bool:
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True
