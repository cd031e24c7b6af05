"""Addresses of peers: an IP number and a port."""

from __future__ import annotations

import ipaddress

import msgspec

from clementinepass import errors

_LARGEST_PORT = 65535


class Address(msgspec.Struct, frozen=True):
    """Where a process listens."""

    host: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> Address:
        """Parse ``host:port``, where the host is an IP number.

        :raises MalformedMessageError: the text is something else.
        """
        host, _, port = text.rpartition(':')
        try:
            number = int(port)
            ipaddress.ip_address(host.strip('[]'))
        except ValueError as error:
            raise errors.MalformedMessageError(
                f'{text!r} is no host:port with an IP number',
                step='parse address',
                peer=text,
            ) from error
        if not 0 <= number <= _LARGEST_PORT:
            raise errors.MalformedMessageError(
                f'{number} is no port',
                step='parse address',
                peer=text,
            )
        return cls(host.strip('[]'), number)

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'
