"""The header with which an endpoint that drains marks all its answers."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from clementinepass.http import messages

_NAME = b'server-leaving'
_DRAINING = b'1'


def is_draining(headers: messages.Headers) -> bool:
    """Tell whether the endpoint that sent these headers drains.

    Draining is final, so if the header is repeated, one value of 1 suffices.
    Any other value says nothing.
    """
    return _DRAINING in headers.tokens(_NAME)
