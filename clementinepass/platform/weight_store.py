"""Adapter for the platform's weight store."""

from __future__ import annotations

import urllib.parse

from clementinepass.platform import transport


class HttpWeightStore:
    """Speak the weight store's HTTP protocol.

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
        """Return a manifest's bytes by its SHA-256, in hexadecimal.

        The bytes are as they came; the caller checks them by the digest.

        :raises ContentMissingError: the store has no such manifest.
        :raises ThrottledError: the rate limit is reached.
        :raises PlatformUnavailableError: the store did not answer.
        :raises MalformedMessageError: the answer is no message or too long.
        """
        name = urllib.parse.quote(digest, safe='')
        path = f'/v1/manifests/{name}'
        return self._transport.exchange('GET', path, step='manifest').body
