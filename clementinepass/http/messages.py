"""HTTP/1.1 requests, heads of answers, and their encoding."""

from __future__ import annotations

import http
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

#: A header's name, in its original case, and its value.
Pair = tuple[bytes, bytes]

#: Headers that are never forwarded: those that apply to one connection only
#: (RFC 9110, section 7.6.1), ``Expect``, which the front handles, and
#: ``Content-Length``, since each forwarded message is framed again.
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

#: Memory of the objects for one header beside its bytes: a pair of strings, its
#: place in lists, an entry of the lookup by name, and the copy in the request
#: to an endpoint. An element of a list in a header takes about as much.
_PAIR_BYTES = 320

_REASON_BY_STATUS = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}


class Headers:
    """Ordered headers with case-insensitive lookup."""

    __slots__ = ('_by_name', '_packed', '_pairs')

    def __init__(self, pairs: Iterable[Pair] = ()) -> None:
        self._pairs: list[Pair] = list(pairs)
        #: The headers in one object, until they are first used.
        self._packed: bytes | None = None
        self._by_name: dict[bytes, bytes] | None = None

    @classmethod
    def from_packed(cls, packed: bytes) -> Headers:
        """Create headers that take little memory until they are used."""
        headers = cls()
        headers._packed = packed
        return headers

    @property
    def pairs(self) -> list[Pair]:
        """Return the headers in their original order."""
        if self._packed is not None:
            self._pairs = unpack(self._packed)
            self._packed = None
        return self._pairs

    def __iter__(self) -> Iterator[Pair]:
        """Iterate over the headers in their original order."""
        return iter(self.pairs)

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``None`` if it is absent.

        :param name: the header's name in lower case.
        """
        if self._by_name is None:
            self._by_name = {}
            for pair_name, field in self.pairs:
                self._by_name.setdefault(pair_name.lower(), field)
        return self._by_name.get(name)

    def count(self, name: bytes) -> int:
        """Return how often a header occurs.

        :param name: the header's name in lower case.
        """
        return sum(pair_name.lower() == name for pair_name, _ in self.pairs)

    def tokens(self, name: bytes) -> frozenset[bytes]:
        """Return the comma-separated tokens of all headers of a name.

        :param name: the headers' name in lower case.
        """
        return frozenset(
            token.strip().lower()
            for pair_name, field in self.pairs
            if pair_name.lower() == name
            for token in field.split(b',')
        )

    def end_to_end(self, excluded: frozenset[bytes]) -> list[Pair]:
        """Return the headers to forward.

        :param excluded: further names, in lower case, to omit.
        """
        connection_names = self.tokens(b'connection')
        return [
            pair
            for pair in self.pairs
            if pair[0].lower() not in HOP_BY_HOP
            and pair[0].lower() not in excluded
            and pair[0].lower() not in connection_names
        ]


def memory_of(pairs: Iterable[Pair]) -> int:
    """Return the memory in bytes of the headers of a request."""
    return sum(
        _PAIR_BYTES * (1 + field.count(b',')) + len(name) + len(field)
        for name, field in pairs
    )


def pack(pairs: Iterable[Pair]) -> bytes:
    """Return valid headers in one object, to be kept in little memory."""
    return b''.join(b'%b:%b\n' % pair for pair in pairs)


def unpack(packed: bytes | bytearray) -> list[Pair]:
    """Return headers that were packed."""
    split_lines = (line.partition(b':') for line in packed.splitlines())
    return [(bytes(name), bytes(field)) for name, _, field in split_lines]


class Request:
    """One complete request as the caller sent it."""

    __slots__ = (
        'body',
        'connected_at',
        'headers',
        'follows_announced_close',
        'held_bytes',
        'is_body_dropped',
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
        follows_announced_close: bool = False,
        is_body_dropped: bool = False,
        held_bytes: int = 0,
    ) -> None:
        self.method = method
        #: Path and query, exactly as sent.
        self.target = target
        self.headers = headers
        self.body = body
        #: Monotonic time in seconds at which the head was complete.
        self.received_at = received_at
        #: Whether the caller asked to close the connection after the request.
        self.is_last = is_last
        #: Monotonic time in seconds at which the connection was opened.
        self.connected_at = connected_at
        #: Number of the request on its connection, counted from 1.
        self.number = number
        #: Whether the end of the connection was announced before. The caller
        #: may take the request for not received and repeat it, so that it must
        #: not be run.
        self.follows_announced_close = follows_announced_close
        #: Whether the body was not kept, for lack of memory. The request must
        #: be refused.
        self.is_body_dropped = is_body_dropped
        #: Bytes counted for the request until it is answered.
        self.held_bytes = held_bytes

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


def encode_request(
    method: bytes,
    target: bytes,
    pairs: Iterable[Pair],
    body: bytes,
) -> bytes:
    """Return a request encoded for the wire, with a ``Content-Length``."""
    lines = [b'%b %b HTTP/1.1\r\n' % (method, target)]
    lines.extend(b'%b: %b\r\n' % pair for pair in pairs)
    if body or method not in {b'GET', b'HEAD'}:
        lines.append(b'Content-Length: %d\r\n' % len(body))
    lines.append(b'\r\n')
    lines.append(body)
    return b''.join(lines)


def encode_head(status: int, pairs: Iterable[Pair]) -> bytes:
    """Return an answer's head encoded for the wire."""
    reason = _REASON_BY_STATUS.get(status, b'Status')
    lines = [b'HTTP/1.1 %d %b\r\n' % (status, reason)]
    lines.extend(b'%b: %b\r\n' % pair for pair in pairs)
    lines.append(b'\r\n')
    return b''.join(lines)
