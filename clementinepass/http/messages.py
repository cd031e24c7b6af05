"""Heads of requests and answers, and the names of headers that both use."""

from __future__ import annotations

import http
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

#: A header as it stood on the wire: name in its own case, and value.
Pair = tuple[bytes, bytes]

#: Headers that concern one connection and are never passed on (RFC 9110,
#: section 7.6.1), with ``Expect``, which the front answers by itself.
HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
    ),
)

_REASON_BY_STATUS = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}


class Headers:
    """Headers in their order, looked up by name in any case."""

    __slots__ = ('_by_name', 'pairs')

    def __init__(self, pairs: Iterable[Pair] = ()) -> None:
        #: The headers as they came.
        self.pairs: list[Pair] = list(pairs)
        self._by_name: dict[bytes, bytes] | None = None

    def __iter__(self) -> Iterator[Pair]:
        """Go through the headers as they came."""
        return iter(self.pairs)

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header.

        :param name: in lower case.
        """
        if self._by_name is None:
            self._by_name = {}
            for pair_name, field in self.pairs:
                self._by_name.setdefault(pair_name.lower(), field)
        return self._by_name.get(name)

    def count(self, name: bytes) -> int:
        """Tell how often a header stands there."""
        return sum(pair_name.lower() == name for pair_name, _ in self.pairs)

    def tokens(self, name: bytes) -> frozenset[bytes]:
        """Return the comma-separated tokens of all headers of a name."""
        return frozenset(
            token.strip().lower()
            for pair_name, field in self.pairs
            if pair_name.lower() == name
            for token in field.split(b',')
        )

    def end_to_end(self, excluded: frozenset[bytes]) -> list[Pair]:
        """Return the headers to pass on.

        :param excluded: further names, in lower case, to leave out.
        """
        connection_names = self.tokens(b'connection')
        return [
            pair
            for pair in self.pairs
            if pair[0].lower() not in HOP_BY_HOP
            and pair[0].lower() not in excluded
            and pair[0].lower() not in connection_names
        ]


class Request:
    """One whole request as a caller sent it."""

    __slots__ = (
        'body',
        'connected_at',
        'headers',
        'is_last',
        'method',
        'number',
        'received_at',
        'target',
    )

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        received_at: float,
        *,
        is_last: bool = False,
        connected_at: float = 0,
        number: int = 1,
    ) -> None:
        self.method = method
        #: Path and query, exactly as sent.
        self.target = target
        self.headers = headers
        self.body = body
        #: Monotonic seconds at which its head was whole.
        self.received_at = received_at
        #: Whether the caller wants the connection to end after it.
        self.is_last = is_last
        #: Monotonic seconds at which its connection was opened, and its number
        #: there, from 1.
        self.connected_at = connected_at
        self.number = number

    @property
    def path(self) -> bytes:
        """Return the target without its query."""
        return self.target.partition(b'?')[0]


class AnswerHead:
    """Status and headers of an answer."""

    __slots__ = ('headers', 'status')

    def __init__(self, status: int, headers: Headers) -> None:
        self.status = status
        self.headers = headers


def request_bytes(
    method: bytes,
    target: bytes,
    pairs: Iterable[Pair],
    body: bytes,
) -> bytes:
    """Return a request as it goes on the wire, framed by its length."""
    lines = [b'%b %b HTTP/1.1\r\n' % (method, target)]
    lines.extend(b'%b: %b\r\n' % pair for pair in pairs)
    if body or method not in {b'GET', b'HEAD'}:
        lines.append(b'Content-Length: %d\r\n' % len(body))
    lines.append(b'\r\n')
    lines.append(body)
    return b''.join(lines)


def head_bytes(status: int, pairs: Iterable[Pair]) -> bytes:
    """Return an answer's head as it goes on the wire."""
    reason = _REASON_BY_STATUS.get(status, b'Status')
    lines = [b'HTTP/1.1 %d %b\r\n' % (status, reason)]
    lines.extend(b'%b: %b\r\n' % pair for pair in pairs)
    lines.append(b'\r\n')
    return b''.join(lines)
