"""Adapter for the platform's store of keyed records."""

from __future__ import annotations

import base64
import itertools
import json
import typing
import urllib.parse

import msgspec

from clementinepass import errors
from clementinepass.direct import records
from clementinepass.http import channel, messages, pool
from clementinepass.platform import decoding

if typing.TYPE_CHECKING:
    from collections.abc import Callable, Mapping

#: The store's names of the topics. The first two belong to other writers; this
#: system only reads them.
_NAME_BY_TOPIC = {
    records.Topic.OPERATOR: 'keyed.op',
    records.Topic.ENDPOINTS: 'keyed.servers',
    records.Topic.ENTRIES: 'keyed.entries',
}
_LENGTH_BYTES = 4
_OFFSET_BYTES = 8
_MS_PER_SECOND = 1000
#: Header of all answers. It rises by one when the store comes back from a copy;
#: a store that does not send it has never done so.
_ERA_HEADER = b'store-era'
_FIRST_ERA = 1
_GONE = 410
_TOO_MANY_REQUESTS = 429
_OK = 200
#: Timeout of a read that does not wait for a record. The store answers within
#: milliseconds; a slow store takes eighty times as long.
_READ_TIMEOUT_SECONDS = 1.0
#: Timeout of a read that waits for a record, counted from the end of its wait.
#: It is less than ``_READ_TIMEOUT_SECONDS``: a connection may have died during
#: the wait, which only another read can show.
_LONG_READ_GRACE_SECONDS = 0.6
#: Timeout of a read of the end of a topic.
_END_TIMEOUT_SECONDS = 0.8
#: Errors raised for a body that is no page of records.
_PAGE_ERRORS = (LookupError, RecursionError, TypeError, ValueError)
#: A key behind all others.
_LAST_KEY = '\U0010ffff'
#: Timeout of a write or of a read of the newest records; a slow store needs
#: most of it.
_CALL_TIMEOUT_SECONDS = 2.5
_DEFAULT_RETRY_AFTER_SECONDS = 1.0


class _NewestRecord(msgspec.Struct):
    """The newest record of a key; its value is base64-encoded."""

    key: str
    offset: int
    value: str = ''


class _NewestPage(msgspec.Struct, rename='camel'):
    """A page of newest records; the next page starts after its last key."""

    entries: list[_NewestRecord]
    end_offset: int
    has_more: bool = False
    #: Size of the encoded page.
    size_bytes: int = 0
    #: Era of the store, counted from 0.
    era: int = 0


class HttpStore:
    """Adapter for the HTTP protocol of the store.

    Each concurrent long read uses a connection of its own from the pool.

    :param address: the store's address, ``host:port``.
    """

    __slots__ = ('_address', '_era', '_pool', 'call_count', 'on_new_era')

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = pool.Pool.from_address(address)
        #: The newest era of the store in any answer, counted from 0.
        self._era = 0
        #: Number of calls made so far.
        self.call_count = 0
        #: Called with a newer era when an answer tells of one.
        self.on_new_era: Callable[[int], None] | None = None

    @property
    def min_connect_seconds(self) -> float:
        """Return the shortest time to connect; infinite before the first."""
        return self._pool.min_connect_seconds

    async def end(self, topic: records.Topic) -> int:
        """Return the offset of the next record, without reading any.

        :raises PlatformUnavailableError: the store did not answer.
        """
        page = await self._newest_page(topic, _LAST_KEY, _END_TIMEOUT_SECONDS)
        return page.era * records.ERA_SPAN + page.end_offset

    async def newest(self, topic: records.Topic) -> records.Page:
        """Return the newest record of each key.

        The pages are not a consistent snapshot: a record may be written after
        the store looked up its key and before it read the end offset. The
        returned page therefore ends at the end offset of a request made before
        all others, and records written meanwhile are read a second time.

        :raises PlatformUnavailableError: the store did not answer, or came back
            from a copy meanwhile.
        """
        end_page = await self._newest_page(topic, _LAST_KEY)
        era = end_page.era
        first_offset = era * records.ERA_SPAN
        after = ''
        newest_records: list[records.Record] = []
        size = 0
        while True:
            page = await self._newest_page(topic, after)
            size += page.size_bytes
            if page.era != era:
                raise errors.PlatformUnavailableError(
                    f'era {page.era} follows {era} while it is read',
                    step='newest',
                    peer=self._address,
                )
            newest_records.extend(
                _decode_newest(entry, first_offset) for entry in page.entries
            )
            if not (page.has_more and page.entries):
                return records.Page(
                    tuple(newest_records),
                    first_offset + end_page.end_offset,
                    is_snapshot=True,
                    size_bytes=size,
                )
            last_key = page.entries[-1].key
            if last_key == after:
                raise errors.PlatformUnavailableError(
                    f'the page after {after!r} ends with it again',
                    step='newest',
                    peer=self._address,
                )
            after = last_key

    async def changes(
        self,
        topic: records.Topic,
        offset: int,
        wait: float,
    ) -> records.Page:
        """Return the records from an offset on.

        The offsets of an earlier era have been given out again: what the store
        has there now are other records.

        :param wait: seconds to wait for a record if there is none yet.
        :raises RecordsExpiredError: the offset is no longer retained, or is of
            an earlier era.
        :raises PlatformUnavailableError: the store did not answer in time.
        :raises MalformedMessageError: a record is truncated.
        """
        era, store_offset = divmod(offset, records.ERA_SPAN)
        if era < self._era:
            raise self._expired_error()
        query = {
            'topic': _NAME_BY_TOPIC[topic],
            'part': 0,
            'from': store_offset,
            'waitMs': int(wait * _MS_PER_SECOND),
        }
        answer = await self._call(
            'GET',
            'log-read',
            query,
            seconds=wait + _LONG_READ_GRACE_SECONDS
            if wait
            else _READ_TIMEOUT_SECONDS,
        )
        if answer.status == _GONE or _era(answer, era) != era:
            raise self._expired_error()
        self._check(answer, 'read')
        try:
            return _decode_page(answer.body, offset)
        except (ValueError, IndexError) as error:
            raise self._malformed_error('read', error) from error

    async def put(
        self,
        topic: records.Topic,
        payload_by_key: Mapping[str, bytes],
    ) -> None:
        """Write records, which replace the keys' previous ones; all or none.

        :raises PlatformUnavailableError: the store did not answer; the
            records may have been written.
        """
        query = {'topic': _NAME_BY_TOPIC[topic], 'part': 0}
        answer = await self._call(
            'POST',
            'log-append',
            query,
            body=b''.join(itertools.starmap(_frame, payload_by_key.items())),
            seconds=_CALL_TIMEOUT_SECONDS,
        )
        self._check(answer, 'append')

    async def _newest_page(
        self,
        topic: records.Topic,
        after: str,
        seconds: float = _CALL_TIMEOUT_SECONDS,
    ) -> _NewestPage:
        query = {'topic': _NAME_BY_TOPIC[topic], 'part': 0}
        if after:
            query['after'] = after
        answer = await self._call(
            'GET',
            'log-newest',
            query,
            seconds=seconds,
        )
        self._check(answer, 'newest')
        page = _decode_newest_page(answer.body, self._address)
        page.size_bytes = len(answer.body)
        page.era = _era(answer, self._era)
        return page

    async def _call(
        self,
        method: str,
        operation: str,
        query: dict[str, typing.Any],
        *,
        seconds: float,
        body: bytes = b'',
    ) -> pool.Answer:
        target = f'/api/{operation}?{urllib.parse.urlencode(query)}'
        request = messages.encode_request(
            method.encode(),
            target.encode(),
            [(b'Host', self._address.encode())],
            body,
        )
        self.call_count += 1
        try:
            answer = await pool.fetch(self._pool, request, seconds)
        except channel.ChannelBrokenError as error:
            raise errors.PlatformUnavailableError(
                error.detail,
                step=operation,
                peer=self._address,
            ) from error
        self._record_era(_era(answer, self._era))
        return answer

    def _record_era(self, era: int) -> None:
        if era <= self._era:
            return
        self._era = era
        if self.on_new_era is not None:
            self.on_new_era(era)

    def _expired_error(self) -> errors.RecordsExpiredError:
        return errors.RecordsExpiredError(
            step='read', peer=self._address, oldest=0
        )

    def _check(self, answer: pool.Answer, step: str) -> None:
        if answer.status == _OK:
            return
        if answer.status == _TOO_MANY_REQUESTS:
            raise errors.ThrottledError(
                step=step,
                peer=self._address,
                retry_after=_DEFAULT_RETRY_AFTER_SECONDS,
            )
        raise errors.PlatformUnavailableError(
            f'status {answer.status}',
            step=step,
            peer=self._address,
        )

    def _malformed_error(self, step: str, error: Exception) -> Exception:
        return errors.MalformedMessageError(
            str(error),
            step=step,
            peer=self._address,
        )


def _era(answer: pool.Answer, default: int) -> int:
    """Return the era of the store in an answer, counted from 0."""
    header = answer.headers.get(_ERA_HEADER)
    if header is None or not header.isdigit():
        return default
    return max(int(header) - _FIRST_ERA, 0)


def _frame(key: str, payload: bytes) -> bytes:
    name = key.encode()
    record = bytes((len(name),)) + name + payload
    return len(record).to_bytes(_LENGTH_BYTES, 'big') + record


def _decode_newest_page(body: bytes, peer: str) -> _NewestPage:
    """Decode a page of newest records.

    Records of other writers whose keys are not valid text are left out: they
    would fail the page, and no process that starts could read the topic.

    :raises MalformedMessageError: the body is not such a page.
    """
    try:
        return decoding.decode(body, _NewestPage, 'newest', peer)
    except errors.MalformedMessageError:
        return decoding.decode(
            _drop_malformed_keys(body, peer), _NewestPage, 'newest', peer
        )


def _drop_malformed_keys(body: bytes, peer: str) -> bytes:
    """Return a page without the records whose keys are not valid text.

    :raises MalformedMessageError: the body is not a page.
    """
    text = body.decode(errors='surrogateescape')
    try:
        # Unlike msgspec, this decoder accepts lone surrogates.
        page = json.loads(text)
        page['entries'] = list(filter(_has_text_key, page['entries']))
        return json.dumps(page).encode()
    except _PAGE_ERRORS as error:
        raise decoding.malformed_error(str(error), 'newest', peer) from error


def _has_text_key(entry: dict[str, typing.Any]) -> bool:
    """Return whether a record's key can be encoded."""
    try:
        entry['key'].encode()
    except UnicodeEncodeError:
        return False
    return True


def _decode_newest(newest: _NewestRecord, first_offset: int) -> records.Record:
    try:
        payload = base64.b64decode(newest.value)
    except ValueError:
        # The decoder of records reports it and skips this record alone.
        payload = newest.value.encode(errors='replace')
    # An empty value marks a removed key.
    offset = first_offset + newest.offset
    return records.Record(newest.key, offset, payload or None)


def _decode_page(body: bytes, offset: int) -> records.Page:
    """Decode a page: end offset, first offset, and length-prefixed records.

    :param offset: the offset of the first record.
    :raises ValueError: a record is truncated.
    """
    position = 2 * _OFFSET_BYTES
    page_records = []
    next_offset = offset
    while position < len(body):
        length = int.from_bytes(
            body[position : position + _LENGTH_BYTES], 'big'
        )
        position += _LENGTH_BYTES
        content = body[position : position + length]
        if len(content) != length:
            raise ValueError('a record is truncated')
        record = _decode_record(content, next_offset)
        if record is not None:
            page_records.append(record)
        position += length
        next_offset += 1
    return records.Page(tuple(page_records), next_offset, size_bytes=len(body))


def _decode_record(content: bytes, offset: int) -> records.Record | None:
    """Decode a record's key and value; ``None`` if the key is truncated.

    Bytes of a key that are not UTF-8 are escaped. If such a record of another
    writer failed the page, every further read of the topic would fail, and no
    later record would be read.
    """
    end = 1 + content[0] if content else 1
    if len(content) < end:
        return None
    key = content[1:end].decode(errors='backslashreplace')
    return records.Record(key, offset, content[end:] or None)
