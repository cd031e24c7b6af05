"""Adapter for the origin of weights."""

from __future__ import annotations

import urllib.parse

from clementinepass.platform import transport


class HttpOrigin:
    """Adapter for the HTTP protocol of the origin of weights.

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

    def chunk(self, digest: str) -> bytes:
        """Return a chunk's bytes as received; the caller verifies the digest.

        :param digest: SHA-256 of the chunk, in hexadecimal.
        :raises ContentMissingError: the origin has no such chunk.
        :raises ThrottledError: the rate limit is exceeded.
        :raises PlatformUnavailableError: the origin did not answer.
        :raises MalformedMessageError: the answer is malformed or too long.
        """
        name = urllib.parse.quote(digest, safe='')
        path = f'/v1/chunks/{name}'
        return self._transport.exchange('GET', path, step='chunk').body
