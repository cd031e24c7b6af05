"""Stand-in for the platform's log service, run as a program."""

from __future__ import annotations

import threading
import time

import cyclopts
import msgspec

from standins import http, limits

_LONGEST_WAIT_MS = 60_000
_LARGEST_RECORD = 4 * 1024 * 1024


class AppendBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What an append sends; payloads in base64."""

    payloads: tuple[bytes, ...]


class AppendAnswer(msgspec.Struct, frozen=True):
    """The offsets of appended records."""

    offsets: tuple[int, ...]


class ReadRecord(msgspec.Struct, frozen=True):
    """One record read; its payload in base64."""

    offset: int
    payload: bytes


class ReadAnswer(msgspec.Struct, frozen=True):
    """A page of records."""

    oldest: int
    next_offset: int
    end: int
    records: tuple[ReadRecord, ...]


class ExpiredAnswer(msgspec.Struct, frozen=True):
    """The offset asked for is older than the oldest one kept."""

    oldest: int


class RetentionBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An order to forget a stream's records below an offset."""

    stream: str
    oldest: int


class _Stream:
    """The records that one stream keeps."""

    __slots__ = ('oldest', 'payloads')

    def __init__(self) -> None:
        self.oldest = 0
        self.payloads: list[bytes] = []

    @property
    def end(self) -> int:
        return self.oldest + len(self.payloads)

    def forget_below(self, offset: int) -> None:
        count = min(max(0, offset - self.oldest), len(self.payloads))
        del self.payloads[:count]
        self.oldest += count


class LogStore:
    """All streams in memory; safe to use from many threads."""

    __slots__ = ('_changed', '_keep_records', '_streams_by_name')

    def __init__(self, keep_records: int = 0) -> None:
        self._keep_records = keep_records
        self._streams_by_name: dict[str, _Stream] = {}
        self._changed = threading.Condition()

    def append(
        self,
        name: str,
        payloads: tuple[bytes, ...],
    ) -> tuple[int, ...]:
        """Append records and return their offsets."""
        with self._changed:
            stream = self._stream(name)
            first = stream.end
            stream.payloads.extend(payloads)
            if self._keep_records:
                stream.forget_below(stream.end - self._keep_records)
            self._changed.notify_all()
        return tuple(range(first, first + len(payloads)))

    def read(
        self,
        name: str,
        offset: int,
        limit: int,
        wait: float,
    ) -> ReadAnswer | ExpiredAnswer:
        """Read records; wait for the first one up to ``wait`` seconds."""
        with self._changed:
            stream = self._stream(name)
            self._changed.wait_for(lambda: stream.end > offset, wait)
            if offset < stream.oldest:
                return ExpiredAnswer(stream.oldest)
            return _page(stream, offset, limit)

    def forget_below(self, name: str, oldest: int) -> None:
        """Forget a stream's records below an offset."""
        with self._changed:
            self._stream(name).forget_below(oldest)

    def _stream(self, name: str) -> _Stream:
        return self._streams_by_name.setdefault(name, _Stream())


def _page(stream: _Stream, offset: int, limit: int) -> ReadAnswer:
    start = offset - stream.oldest
    payloads = stream.payloads[start : start + limit]
    return ReadAnswer(
        oldest=stream.oldest,
        next_offset=offset + len(payloads),
        end=stream.end,
        records=tuple(
            ReadRecord(offset + index, payload)
            for index, payload in enumerate(payloads)
        ),
    )


class LogHandlers:
    """The HTTP side of the log service."""

    __slots__ = ('_rate', 'store')

    def __init__(self, store: LogStore, rate: limits.RateLimit) -> None:
        #: The records.
        self.store = store
        self._rate = rate

    def application(self) -> http.Application:
        """Return the application with its routes."""
        records = '/v1/streams/{stream}/records'
        return http.Application(
            (
                http.Route('POST', records, self._append),
                http.Route('GET', records, self._read),
                http.Route('POST', '/control/retention', self._forget),
            ),
        )

    def _append(self, request: http.Request) -> http.Response:
        body = msgspec.json.decode(request.body(), type=AppendBody)
        wait = self._rate.take(len(body.payloads), time.monotonic())
        if wait > 0:
            return limits.answer_throttled(wait)
        if any(len(payload) > _LARGEST_RECORD for payload in body.payloads):
            return http.answer_problem(413, 'record too large')
        offsets = self.store.append(request.params['stream'], body.payloads)
        return http.answer_json(AppendAnswer(offsets))

    def _read(self, request: http.Request) -> http.Response:
        wait_ms = min(int(request.query('wait_ms', '0')), _LONGEST_WAIT_MS)
        page = self.store.read(
            request.params['stream'],
            _natural(request.query('offset', '0')),
            _natural(request.query('limit', '1000')),
            wait_ms / 1000,
        )
        status = 410 if isinstance(page, ExpiredAnswer) else 200
        return http.answer_json(page, status=status)

    def _forget(self, request: http.Request) -> http.Response:
        order = msgspec.json.decode(request.body(), type=RetentionBody)
        self.store.forget_below(order.stream, order.oldest)
        return http.answer_json(order)


def _natural(text: str) -> int:
    number = int(text)
    if number < 0:
        raise ValueError(f'negative number: {text}')
    return number


def main(
    *,
    listen: str = '127.0.0.1:0',
    keep_records: int = 0,
    appends_per_s: float = 0,
    threads: int = 96,
) -> None:
    """Serve the log.

    :param listen: where to listen, ``host:port``; port 0 takes a free one.
    :param keep_records: how many records a stream keeps; 0 for all.
    :param appends_per_s: records a second before 429; 0 for no limit.
    :param threads: how many calls are served at once.
    """
    handlers = LogHandlers(
        LogStore(keep_records),
        limits.RateLimit(appends_per_s),
    )
    http.Server(handlers.application(), listen, threads).run()


if __name__ == '__main__':
    cyclopts.run(main)
