"""Addresses of peers: an IP number and a port."""

from __future__ import annotations

import ipaddress

import msgspec

from clementinepass import errors

_LARGEST_PORT = 65535
_STEP = 'parse address'


class Address(msgspec.Struct, frozen=True):
    """Where a process listens."""

    #: The IP number; one of version 6 without its brackets.
    host: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> Address:
        """Parse ``host:port``, where the host is an IP number.

        An IPv6 number stands in brackets; the port is one to connect to.

        :raises MalformedMessageError: the text is something else.
        """
        host, _, port = text.rpartition(':')
        bracketed = host.startswith('[') and host.endswith(']')
        number = host[1:-1] if bracketed else host
        if not _is_ip(number, bracketed=bracketed) or not _is_port(port):
            raise errors.MalformedMessageError(
                f'{text!r} is no host:port with an IP number',
                step=_STEP,
                peer=text,
            )
        return cls(number, int(port))

    def __str__(self) -> str:
        """Return ``host:port``."""
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'


def _is_ip(number: str, *, bracketed: bool) -> bool:
    try:
        version = ipaddress.ip_address(number).version
    except ValueError:
        return False
    return (version == 6) is bracketed


def _is_port(text: str) -> bool:
    # Python takes any script's digits, blanks and signs for a number.
    if not (text.isascii() and text.isdigit()):
        return False
    return 0 < int(text) <= _LARGEST_PORT
