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
#: By how much a page shrinks that was too long.
_LIMIT_DIVISOR = 4


class AppendBody(msgspec.Struct, frozen=True):
    """An append as it is sent; payloads in base64."""

    payloads: tuple[bytes, ...]


class AppendAnswer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The offsets of appended records."""

    offsets: tuple[int, ...]


class RecordAnswer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One record read; its payload in base64."""

    offset: int
    payload: bytes


class ReadAnswer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A page of records."""

    oldest: int
    next_offset: int
    end: int
    records: tuple[RecordAnswer, ...]


class ExpiredAnswer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The offset asked for is older than the oldest one kept."""

    oldest: int


class HttpLogService:
    """Speak the log service's HTTP protocol.

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
        """Append records in order, all or none, and return their offsets.

        :raises PlatformUnavailableError: the records may have been appended
            when the error's ``sent`` is true.
        :raises MalformedMessageError: the answer could not be decoded; the
            records may have been appended.
        :raises ThrottledError: the rate limit is reached; nothing was
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
        """Read from ``offset``; wait up to ``wait`` seconds for a record.

        :raises RecordsExpiredError: ``offset`` is older than what is kept.
        :raises PlatformUnavailableError: the service did not answer.
        :raises MalformedMessageError: the answer could not be decoded.
        """
        count = limit
        while True:
            try:
                return self._read_page(stream, offset, count, wait)
            except errors.MessageTooLongError:
                # A page of many large records is longer than what we accept,
                # and would be so again at each retry: the reader would never
                # get past it. Reading has no effect, so fewer are asked for.
                if count <= 1:
                    raise
                count = max(1, count // _LIMIT_DIVISOR)

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
        # A reader begins again at the oldest offset; one that isn't above
        # the offset asked for would send it round in a circle.
        if answer.oldest <= offset:
            return self._transport.malformed_error('read', 'expired, yet kept')
        return errors.RecordsExpiredError(
            step='read',
            peer=self._transport.peer,
            oldest=answer.oldest,
        )

    def _check_offsets(self, offsets: tuple[int, ...], count: int) -> None:
        """Check that each record has an offset, and that they grow."""
        ordered = sorted(set(offsets))
        if len(offsets) != count or ordered != list(offsets) or ordered[0] < 0:
            raise self._transport.malformed_error(
                'append', 'offsets do not fit'
            )

    def _check_page(
        self,
        page: ReadAnswer,
        offset: int,
        limit: int,
    ) -> None:
        """Check that a page holds the records asked for, without a gap.

        A reader that took a page with a gap would fold the stream differently
        from all others, and never notice.
        """
        count = len(page.records)
        offsets = [record.offset for record in page.records]
        contiguous = list(range(offset, offset + count))
        if offsets != contiguous or page.next_offset != offset + count:
            raise self._transport.malformed_error('read', 'offsets do not fit')
        if count > limit or not 0 <= page.oldest <= page.end:
            raise self._transport.malformed_error('read', 'page does not fit')
        if count and (offset < page.oldest or page.end < page.next_offset):
            raise self._transport.malformed_error('read', 'page does not fit')


def _records_path(stream: str) -> str:
    name = urllib.parse.quote(stream, safe='')
    return f'/v1/streams/{name}/records'
