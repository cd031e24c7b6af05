"""In-memory fakes of the platform's services, for tests without sockets."""

from __future__ import annotations

import collections
import typing

from clementinepass import errors
from clementinepass.platform import protocols
from standins import log_service

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

_PEER = 'memory'


class MemoryLogService:
    """A log service that shows outages, lost answers and expiry on demand.

    Safe to use from many threads, and by many readers at once.
    """

    __slots__ = (
        '_store',
        'appends',
        'lost_answers',
        'lost_appends',
        'outage',
        'throttled',
    )

    def __init__(self, keep_records: int = 0) -> None:
        self._store = log_service.LogStore(keep_records)
        #: How many appends have taken effect.
        self.appends = 0
        #: Whether all calls fail without an effect.
        self.outage = False
        #: How many of the next appends take effect and fail all the same.
        self.lost_answers = 0
        #: How many of the next appends fail without an effect.
        self.lost_appends = 0
        #: How many of the next appends reach the rate limit.
        self.throttled = 0

    def append(
        self,
        stream: str,
        payloads: Sequence[bytes],
    ) -> tuple[int, ...]:
        """Append records, or show what was ordered."""
        if not payloads:
            return ()
        self._fail_in_outage('append')
        if self.throttled:
            self.throttled -= 1
            raise errors.ThrottledError(
                step='append',
                peer=_PEER,
                retry_after=1,
            )
        if self.lost_appends:
            self.lost_appends -= 1
            raise _unavailable('append')
        offsets = self._store.append(stream, tuple(payloads))
        self.appends += 1
        if self.lost_answers:
            self.lost_answers -= 1
            raise _unavailable('append')
        return offsets

    def read(
        self,
        stream: str,
        offset: int,
        *,
        limit: int = 1000,
        wait: float = 0,
    ) -> protocols.RecordPage:
        """Read records; wait up to ``wait`` seconds for the first one."""
        self._fail_in_outage('read')
        page = self._store.read(stream, offset, limit, wait)
        if isinstance(page, log_service.ExpiredAnswer):
            raise errors.RecordsExpiredError(
                step='read',
                peer=_PEER,
                oldest=page.oldest,
            )
        return protocols.RecordPage(
            oldest=page.oldest,
            next_offset=page.next_offset,
            end=page.end,
            records=tuple(
                protocols.Record(record.offset, record.payload)
                for record in page.records
            ),
        )

    def expire(self, stream: str, oldest: int) -> None:
        """Forget a stream's records below ``oldest``."""
        self._store.forget_below(stream, oldest)

    def _fail_in_outage(self, step: str) -> None:
        if self.outage:
            raise _unavailable(step)


class MemoryInstanceList:
    """An instance list that shows what a test puts into it."""

    __slots__ = ('instances_by_id', 'outage')

    def __init__(self) -> None:
        #: What is shown.
        self.instances_by_id: dict[str, protocols.Instance] = {}
        #: Whether all calls fail.
        self.outage = False

    def put(self, instance: protocols.Instance) -> None:
        """Add or change an instance."""
        self.instances_by_id[instance.id] = instance

    def remove(self, instance_id: str) -> None:
        """Remove an instance."""
        self.instances_by_id.pop(instance_id, None)

    def instances(self) -> tuple[protocols.Instance, ...]:
        """Return all instances shown now."""
        if self.outage:
            raise _unavailable('instances')
        return tuple(self.instances_by_id.values())


class MemoryContent:
    """Content by digest, with reads counted and faults on demand."""

    __slots__ = (
        '_step',
        'content_by_digest',
        'corrupt',
        'outage',
        'reads_by_digest',
        'throttled',
    )

    def __init__(self, step: str) -> None:
        self._step = step
        #: What is held.
        self.content_by_digest: dict[str, bytes] = {}
        #: How often each digest was read.
        self.reads_by_digest: collections.Counter[str] = collections.Counter()
        #: Whether all calls fail.
        self.outage = False
        #: How many of the next reads return changed bytes.
        self.corrupt = 0
        #: How many of the next reads reach the rate limit.
        self.throttled = 0

    def put(self, digest: str, content: bytes) -> None:
        """Hold content under a digest."""
        self.content_by_digest[digest] = content

    def _get(self, digest: str) -> bytes:
        """Return content, or show what was ordered."""
        if self.outage:
            raise _unavailable(self._step)
        if self.throttled:
            self.throttled -= 1
            raise errors.ThrottledError(
                step=self._step,
                peer=_PEER,
                retry_after=1,
            )
        if digest not in self.content_by_digest:
            raise errors.ContentMissingError(
                'no such content',
                step=self._step,
                peer=_PEER,
            )
        self.reads_by_digest[digest] += 1
        content = self.content_by_digest[digest]
        if not self.corrupt:
            return content
        self.corrupt -= 1
        return bytes((content[0] ^ 1,)) + content[1:]


class MemoryWeightStore(MemoryContent):
    """A weight store in memory."""

    __slots__ = ()

    def __init__(self) -> None:
        super().__init__('manifest')

    def manifest(self, digest: str) -> bytes:
        """Return a manifest's bytes."""
        return self._get(digest)


class MemoryOrigin(MemoryContent):
    """An origin in memory."""

    __slots__ = ()

    def __init__(self) -> None:
        super().__init__('chunk')

    def chunk(self, digest: str) -> bytes:
        """Return a chunk's bytes."""
        return self._get(digest)


def _unavailable(step: str) -> errors.PlatformUnavailableError:
    return errors.PlatformUnavailableError(
        'fault ordered',
        step=step,
        peer=_PEER,
    )
