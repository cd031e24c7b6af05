"""Find ports that are free at several loopback addresses."""

from __future__ import annotations

import os
import socket

_FIRST = 20000
_COUNT = 10000
_FIRST_NET = 10
_NETS = 200


def free(ips: list[str], count: int) -> list[int]:
    """Return ports, 16 apart, that are free for TCP and UDP at all addresses.

    :raises OSError: there are not as many.
    """
    found: list[int] = []
    for step in range(0, _COUNT, 16):
        port = _FIRST + (os.getpid() * 160 + step) % _COUNT
        if all(_is_free(ip, port) for ip in ips):
            found.append(port)
        if len(found) == count:
            return found
    raise OSError('no free ports')


def claim_net() -> tuple[int, socket.socket]:
    """Return a number N, and a socket that holds the addresses 127.N.x.x.

    :raises OSError: other scripts hold all of them.
    """
    for step in range(_NETS):
        net = _FIRST_NET + (os.getpid() + step) % _NETS
        guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            guard.bind((f'127.{net}.255.1', _FIRST))
        except OSError:
            guard.close()
        else:
            return net, guard
    raise OSError('no free addresses')


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as one:
            try:
                one.bind((ip, port))
            except OSError:
                return False
    return True
