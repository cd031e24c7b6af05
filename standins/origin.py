"""Stand-in for the origin that holds the weights, run as a program."""

from __future__ import annotations

import threading
import time
import typing

import cyclopts
import msgspec

from standins import http, limits

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

_BINARY = 'application/octet-stream'


class OriginCounters(msgspec.Struct, frozen=True):
    """What readers have had from the origin."""

    bytes: int
    reads: int
    reads_by_digest: dict[str, int]


class ChunkHandlers:
    """Chunks by digest, behind a link that all readers share."""

    __slots__ = (
        '_bytes',
        '_chunks_by_digest',
        '_link',
        '_lock',
        '_reads_by_digest',
    )

    def __init__(self, link: limits.Link) -> None:
        self._link = link
        self._chunks_by_digest: dict[str, bytes] = {}
        self._reads_by_digest: dict[str, int] = {}
        self._bytes = 0
        self._lock = threading.Lock()

    def application(self) -> http.Application:
        """Return the application with its routes."""
        one = '/v1/chunks/{digest}'
        return http.Application(
            (
                http.Route('GET', one, self._get),
                http.Route('PUT', one, self._put),
                http.Route('GET', '/v1/counters', self._counters),
            ),
        )

    def _get(self, request: http.Request) -> http.Response:
        digest = request.params['digest']
        chunk = self._chunks_by_digest.get(digest)
        if chunk is None:
            return http.answer_problem(404, 'no such chunk')
        with self._lock:
            reads = self._reads_by_digest.get(digest, 0)
            self._reads_by_digest[digest] = reads + 1
        return http.Response(
            self._send(chunk),
            content_type=_BINARY,
            length=len(chunk),
        )

    def _send(self, chunk: bytes) -> Iterator[bytes]:
        """Yield a chunk at the speed of the link and count its bytes."""
        for piece in self._link.send(chunk, time.monotonic, time.sleep):
            with self._lock:
                self._bytes += len(piece)
            yield piece

    def _put(self, request: http.Request) -> http.Response:
        self._chunks_by_digest[request.params['digest']] = request.body()
        return http.answer_bytes(b'{}')

    def _counters(self, request: http.Request) -> http.Response:
        with self._lock:
            reads_by_digest = dict(self._reads_by_digest)
            served = self._bytes
        return http.answer_json(
            OriginCounters(
                bytes=served,
                reads=sum(reads_by_digest.values()),
                reads_by_digest=reads_by_digest,
            ),
        )


def main(
    *,
    listen: str = '127.0.0.1:0',
    link_bytes_per_s: float = 0,
    threads: int = 96,
) -> None:
    """Serve chunks.

    :param listen: where to listen, ``host:port``; port 0 takes a free one.
    :param link_bytes_per_s: speed of the link, shared by all readers.
    :param threads: how many calls are served at once.
    """
    handlers = ChunkHandlers(limits.Link(link_bytes_per_s))
    http.Server(handlers.application(), listen, threads).run()


if __name__ == '__main__':
    cyclopts.run(main)
