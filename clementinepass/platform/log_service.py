"""Adapter for the platform's log service."""

from __future__ import annotations

import typing
import urllib.parse

import msgspec

from clementinepass import errors
from clementinepass.platform import protocols, transport

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

_GONE = 410
_MS_PER_SECOND = 1000
#: Divides the record limit of a page after an answer that was too long.
_LIMIT_DIVISOR = 4


class AppendBody(msgspec.Struct, frozen=True):
    """Request to append records; payloads are base64-encoded."""

    payloads: tuple[bytes, ...]


class AppendAnswer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Answer with the offsets of the appended records."""

    offsets: tuple[int, ...]


class RecordAnswer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One record as encoded in a page; its payload is base64-encoded."""

    offset: int
    payload: bytes


class ReadAnswer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Answer with a page of records."""

    oldest: int
    next_offset: int
    end: int
    records: tuple[RecordAnswer, ...]


class ExpiredAnswer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Answer that the requested offset is older than the oldest retained."""

    oldest: int


class HttpLogService:
    """Adapter for the HTTP protocol of the log service.

    :param address: the service's address, ``host:port``.
    """

    __slots__ = ('_transport',)

    def __init__(
        self,
        address: str,
        limits: transport.Limits | None = None,
    ) -> None:
        self._transport = transport.Transport(address, limits)

    def close(self) -> None:
        """Close the idle connections."""
        self._transport.close()

    def append(
        self,
        stream: str,
        payloads: Sequence[bytes],
    ) -> tuple[int, ...]:
        """Append records in order, atomically, and return their offsets.

        :raises PlatformUnavailableError: the records may have been appended
            when the error's ``sent`` is true.
        :raises MalformedMessageError: the answer could not be decoded; the
            records may have been appended.
        :raises ThrottledError: the rate limit is exceeded; nothing was
            appended.
        """
        if not payloads:
            return ()
        reply = self._transport.exchange(
            'POST',
            _records_path(stream),
            step='append',
            body=msgspec.json.encode(AppendBody(tuple(payloads))),
        )
        answer = self._transport.decode(reply, AppendAnswer, 'append')
        self._check_offsets(answer.offsets, len(payloads))
        return answer.offsets

    def read(
        self,
        stream: str,
        offset: int,
        *,
        limit: int = 1000,
        wait: float = 0,
    ) -> protocols.RecordPage:
        """Read records from ``offset`` on.

        :param limit: maximum number of records to return.
        :param wait: seconds to wait for a record if there is none yet.

        :raises RecordsExpiredError: records at ``offset`` are no longer
            retained.
        :raises PlatformUnavailableError: the service did not answer.
        :raises MalformedMessageError: the answer could not be decoded.
        """
        page_limit = limit
        while True:
            try:
                return self._read_page(stream, offset, page_limit, wait)
            except errors.MessageTooLongError:
                # A page of many large records exceeds the size limit at each
                # retry, so the reader would never get past it. Reading has no
                # side effects, hence it is repeated with fewer records.
                if page_limit <= 1:
                    raise
                page_limit = max(1, page_limit // _LIMIT_DIVISOR)

    def _read_page(
        self,
        stream: str,
        offset: int,
        limit: int,
        wait: float,
    ) -> protocols.RecordPage:
        """Read a page of at most ``limit`` records."""
        reply = self._transport.exchange(
            'GET',
            '{0}?offset={1}&limit={2}&wait_ms={3}'.format(
                _records_path(stream),
                offset,
                limit,
                int(wait * _MS_PER_SECOND),
            ),
            step='read',
            wait=wait,
            expected=frozenset((200, _GONE)),
        )
        if reply.status == _GONE:
            raise self._expired_error(reply, offset)
        answer = self._transport.decode(reply, ReadAnswer, 'read')
        self._check_page(answer, offset, limit)
        return protocols.RecordPage(
            oldest=answer.oldest,
            next_offset=answer.next_offset,
            end=answer.end,
            records=tuple(
                protocols.Record(record.offset, record.payload)
                for record in answer.records
            ),
        )

    def _expired_error(
        self,
        reply: transport.Reply,
        offset: int,
    ) -> errors.ClementinepassError:
        answer = self._transport.decode(reply, ExpiredAnswer, 'read')
        # A reader restarts at the oldest offset. If that is not above the
        # requested offset, the reader would loop forever.
        if answer.oldest <= offset:
            return self._transport.malformed_error(
                'read', 'offset reported as expired is retained'
            )
        return errors.RecordsExpiredError(
            step='read',
            peer=self._transport.peer,
            oldest=answer.oldest,
        )

    def _check_offsets(self, offsets: tuple[int, ...], count: int) -> None:
        """Check that there is an offset per record, in ascending order."""
        ordered = sorted(set(offsets))
        if len(offsets) != count or ordered != list(offsets) or ordered[0] < 0:
            raise self._transport.malformed_error(
                'append', 'offsets do not match the records'
            )

    def _check_page(
        self,
        page: ReadAnswer,
        offset: int,
        limit: int,
    ) -> None:
        """Check that a page holds the requested records without a gap.

        A reader that accepted a page with a gap would silently compute another
        state from the stream than all other readers.
        """
        count = len(page.records)
        offsets = [record.offset for record in page.records]
        contiguous = list(range(offset, offset + count))
        if offsets != contiguous or page.next_offset != offset + count:
            raise self._transport.malformed_error('read', 'offsets have a gap')
        if count > limit or not 0 <= page.oldest <= page.end:
            raise self._transport.malformed_error('read', 'invalid page')
        if count and (offset < page.oldest or page.end < page.next_offset):
            raise self._transport.malformed_error('read', 'invalid page')


def _records_path(stream: str) -> str:
    name = urllib.parse.quote(stream, safe='')
    return f'/v1/streams/{name}/records'
