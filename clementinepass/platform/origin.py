"""Adapter for the origin that holds the weights."""

from __future__ import annotations

import urllib.parse

from clementinepass.platform import transport


class HttpOrigin:
    """Speak the origin's HTTP protocol.

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
        """Return a chunk's bytes by its SHA-256, in hexadecimal.

        The bytes are as they came; the caller checks them by the digest.

        :raises ContentMissingError: the origin has no such chunk.
        :raises ThrottledError: the origin asks for fewer reads.
        :raises PlatformUnavailableError: the origin did not answer.
        :raises MalformedMessageError: the answer is no message or too long.
        """
        name = urllib.parse.quote(digest, safe='')
        path = f'/v1/chunks/{name}'
        return self._transport.exchange('GET', path, step='chunk').body
