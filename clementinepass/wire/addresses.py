"""Addresses of peers, as an IP address and a port."""

from __future__ import annotations

import ipaddress

import msgspec

from clementinepass import errors

_LARGEST_PORT = 65535
_STEP = 'parse address'


class Address(msgspec.Struct, frozen=True):
    """Address on which a process listens."""

    #: The IP address; an IPv6 address is written without brackets.
    host: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> Address:
        """Parse ``host:port``, where the host is an IP address.

        An IPv6 address must be in brackets; port 0 is rejected.

        :raises MalformedMessageError: the text is not such an address.
        """
        host, _, port = text.rpartition(':')
        bracketed = host.startswith('[') and host.endswith(']')
        ip = host[1:-1] if bracketed else host
        if not _is_ip(ip, bracketed=bracketed) or not _is_port(port):
            raise errors.MalformedMessageError(
                f'{text!r} is not host:port with an IP address',
                step=_STEP,
                peer=text,
            )
        return cls(ip, int(port))

    def __str__(self) -> str:
        """Return ``host:port``, with an IPv6 address in brackets."""
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'


def _is_ip(ip: str, *, bracketed: bool) -> bool:
    try:
        version = ipaddress.ip_address(ip).version
    except ValueError:
        return False
    return (version == 6) is bracketed


def _is_port(text: str) -> bool:
    # int() also accepts signs, blanks and digits of other scripts.
    if not (text.isascii() and text.isdigit()):
        return False
    return 0 < int(text) <= _LARGEST_PORT
