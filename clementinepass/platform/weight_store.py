"""Adapter for the platform's weight store."""

from __future__ import annotations

import urllib.parse

from clementinepass.platform import transport


class HttpWeightStore:
    """Adapter for the HTTP protocol of the weight store.

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

    def manifest(self, digest: str) -> bytes:
        """Return a manifest's bytes as received; the caller verifies them.

        :param digest: SHA-256 of the manifest, in hexadecimal.
        :raises ContentMissingError: the store has no such manifest.
        :raises ThrottledError: the rate limit is exceeded.
        :raises PlatformUnavailableError: the store did not answer.
        :raises MalformedMessageError: the answer is malformed or too long.
        """
        name = urllib.parse.quote(digest, safe='')
        path = f'/v1/manifests/{name}'
        return self._transport.exchange('GET', path, step='manifest').body
