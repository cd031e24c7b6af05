"""Adapter for the platform's store of records."""

from __future__ import annotations

import base64
import typing
import urllib.parse

import msgspec

from clementinepass import errors
from clementinepass.direct import records
from clementinepass.http import channel, messages, pool
from clementinepass.platform import decoding

#: The store's names of what is followed. The first two belong to others and
#: may only be read.
_NAME_BY_TOPIC = {
    records.Topic.OPERATOR: 'keyed.op',
    records.Topic.ENDPOINTS: 'keyed.servers',
    records.Topic.ENTRIES: 'keyed.entries',
}
_LENGTH_BYTES = 4
_OFFSET_BYTES = 8
_MS = 1000
_GONE = 410
_TOO_MANY_REQUESTS = 429
_OK = 200
#: Seconds for a read that doesn't wait. The store answers in milliseconds;
#: eighty times that when it is slow.
_READ_TIMEOUT_SECONDS = 1.0
#: Seconds beyond the time that a read waits until it is overdue. Less than the
#: above: its connection may have fallen silent, and one more read finds out.
_LONG_READ_GRACE_SECONDS = 0.6
#: Seconds for a write or the newest records; a slow store needs most of it.
_CALL_TIMEOUT_SECONDS = 2.5
_DEFAULT_RETRY_AFTER = 1.0


class _NewestRecord(msgspec.Struct):
    """One record among the newest; its value in base64."""

    key: str
    offset: int
    value: str = ''


class _NewestPage(msgspec.Struct, rename='camel'):
    """A page of the newest records; ``after`` its last key there is more."""

    entries: list[_NewestRecord]
    end_offset: int
    has_more: bool = False


class HttpStore:
    """Speak the store's protocol.

    Long reads have a connection each; the pool opens what is needed.

    :param address: the store's address, ``host:port``.
    """

    __slots__ = ('_address', '_pool', 'call_count')

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = pool.Pool.from_address(address)
        #: Calls made so far.
        self.call_count = 0

    async def newest(self, topic: records.Topic) -> records.Page:
        """Return the newest record of each key.

        Pages are no snapshot: a record may be written after its key was
        looked up and before the end was. So changes are followed from an end
        that was asked for before, and what was written meanwhile is seen again.

        :raises PlatformUnavailableError: the store did not answer.
        """
        first_page = await self._newest_page(topic, '')
        end = first_page.end_offset
        after = ''
        found: list[records.Record] = []
        while True:
            answer = await self._newest_page(topic, after)
            found.extend(map(_decode_newest, answer.entries))
            if not (answer.has_more and answer.entries):
                return records.Page(tuple(found), end, is_snapshot=True)
            after = answer.entries[-1].key

    async def changes(
        self,
        topic: records.Topic,
        offset: int,
        wait: float,
    ) -> records.Page:
        """Return the records from an offset on, waiting for the first.

        :raises RecordsExpiredError: the offset is no longer kept.
        :raises PlatformUnavailableError: the store did not answer in time.
        """
        query = {
            'topic': _NAME_BY_TOPIC[topic],
            'part': 0,
            'from': offset,
            'waitMs': int(wait * _MS),
        }
        fetched = await self._call(
            'GET',
            'log-read',
            query,
            seconds=wait + _LONG_READ_GRACE_SECONDS
            if wait
            else _READ_TIMEOUT_SECONDS,
        )
        if fetched.status == _GONE:
            raise errors.RecordsExpiredError(
                step='read',
                peer=self._address,
                oldest=0,
            )
        self._check(fetched, 'read')
        try:
            return _decode_page(fetched.body, offset)
        except (ValueError, IndexError) as error:
            raise self._malformed_error('read', error) from error

    async def put(
        self,
        topic: records.Topic,
        key: str,
        payload: bytes,
    ) -> None:
        """Write the newest record of a key.

        :raises PlatformUnavailableError: the store did not answer; the
            record may have been written.
        """
        name = key.encode()
        record = bytes((len(name),)) + name + payload
        framed = len(record).to_bytes(_LENGTH_BYTES, 'big') + record
        query = {'topic': _NAME_BY_TOPIC[topic], 'part': 0}
        fetched = await self._call(
            'POST',
            'log-append',
            query,
            body=framed,
            seconds=_CALL_TIMEOUT_SECONDS,
        )
        self._check(fetched, 'append')

    async def _newest_page(
        self,
        topic: records.Topic,
        after: str,
    ) -> _NewestPage:
        query = {'topic': _NAME_BY_TOPIC[topic], 'part': 0}
        if after:
            query['after'] = after
        fetched = await self._call(
            'GET',
            'log-newest',
            query,
            seconds=_CALL_TIMEOUT_SECONDS,
        )
        self._check(fetched, 'newest')
        return decoding.decode(
            fetched.body,
            _NewestPage,
            'newest',
            self._address,
        )

    async def _call(
        self,
        method: str,
        call: str,
        query: dict[str, typing.Any],
        *,
        seconds: float,
        body: bytes = b'',
    ) -> pool.Answer:
        target = f'/api/{call}?{urllib.parse.urlencode(query)}'
        request = messages.request_bytes(
            method.encode(),
            target.encode(),
            [(b'Host', self._address.encode())],
            body,
        )
        self.call_count += 1
        try:
            return await pool.fetch(self._pool, request, seconds)
        except channel.ChannelBrokenError as error:
            raise errors.PlatformUnavailableError(
                error.detail,
                step=call,
                peer=self._address,
            ) from error

    def _check(self, fetched: pool.Answer, step: str) -> None:
        if fetched.status == _OK:
            return
        if fetched.status == _TOO_MANY_REQUESTS:
            raise errors.ThrottledError(
                step=step,
                peer=self._address,
                retry_after=_DEFAULT_RETRY_AFTER,
            )
        raise errors.PlatformUnavailableError(
            f'status {fetched.status}',
            step=step,
            peer=self._address,
        )

    def _malformed_error(self, step: str, error: Exception) -> Exception:
        return errors.MalformedMessageError(
            str(error),
            step=step,
            peer=self._address,
        )


def _decode_newest(entry: _NewestRecord) -> records.Record:
    try:
        payload = base64.b64decode(entry.value)
    except ValueError:
        # Left to the reader of records, which passes over that one alone.
        payload = entry.value.encode()
    # A key without a value was dropped.
    return records.Record(entry.key, entry.offset, payload or None)


def _decode_page(body: bytes, offset: int) -> records.Page:
    """Read the end and the first offset, then the records from ``offset``."""
    position = 2 * _OFFSET_BYTES
    found = []
    next_offset = offset
    while position < len(body):
        length = int.from_bytes(
            body[position : position + _LENGTH_BYTES], 'big'
        )
        position += _LENGTH_BYTES
        content = body[position : position + length]
        if len(content) != length:
            raise ValueError('a record is cut short')
        record = _decode_record(content, next_offset)
        if record is not None:
            found.append(record)
        position += length
        next_offset += 1
    return records.Page(tuple(found), next_offset)


def _decode_record(content: bytes, offset: int) -> records.Record | None:
    """Read a record's key and value; ``None`` if there is no whole key.

    Failure: another writer's record had a key that isn't text. It made each
    read of the topic fail from then on, and no later record was seen.
    """
    end = 1 + content[0] if content else 1
    if len(content) < end:
        return None
    key = content[1:end].decode(errors='backslashreplace')
    return records.Record(key, offset, content[end:] or None)
