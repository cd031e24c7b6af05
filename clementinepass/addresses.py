"""Addresses of processes: an IP number and a port."""

from __future__ import annotations

import ipaddress

_HIGHEST_PORT = 65535


def is_address(text: str) -> bool:
    """Tell whether a text is ``host:port`` with an IP number as its host.

    An IPv6 number stands in brackets.
    """
    host, _, port = text.rpartition(':')
    if not (port.isascii() and port.isdigit()):
        return False
    return _is_ip(host) and 0 < int(port) <= _HIGHEST_PORT


def _is_ip(host: str) -> bool:
    bracketed = host.startswith('[') and host.endswith(']')
    number = host[1:-1] if bracketed else host
    try:
        version = ipaddress.ip_address(number).version
    except ValueError:
        return False
    return (version == 6) is bracketed
