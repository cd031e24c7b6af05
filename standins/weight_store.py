"""Stand-in for the platform's weight store, run as a program."""

from __future__ import annotations

import time

import cyclopts

from standins import http, limits

_BINARY = 'application/octet-stream'


class ManifestHandlers:
    """Manifests by digest, behind a rate limit."""

    __slots__ = ('_manifests_by_digest', '_rate')

    def __init__(self, rate: limits.RateLimit) -> None:
        self._rate = rate
        self._manifests_by_digest: dict[str, bytes] = {}

    def application(self) -> http.Application:
        """Return the application with its routes."""
        one = '/v1/manifests/{digest}'
        return http.Application(
            (
                http.Route('GET', one, self._get),
                http.Route('PUT', one, self._put),
            ),
        )

    def _get(self, request: http.Request) -> http.Response:
        wait = self._rate.take(1, time.monotonic())
        if wait > 0:
            return limits.answer_throttled(wait)
        manifest = self._manifests_by_digest.get(request.params['digest'])
        if manifest is None:
            return http.answer_problem(404, 'no such manifest')
        return http.answer_bytes(manifest, content_type=_BINARY)

    def _put(self, request: http.Request) -> http.Response:
        self._manifests_by_digest[request.params['digest']] = request.body()
        return http.answer_bytes(b'{}')


def main(
    *,
    listen: str = '127.0.0.1:0',
    rate: float = 0,
    threads: int = 32,
) -> None:
    """Serve manifests.

    :param listen: where to listen, ``host:port``; port 0 takes a free one.
    :param rate: reads a second before 429; 0 for no limit.
    :param threads: how many calls are served at once.
    """
    handlers = ManifestHandlers(limits.RateLimit(rate))
    http.Server(handlers.application(), listen, threads).run()


if __name__ == '__main__':
    cyclopts.run(main)
