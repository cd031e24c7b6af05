"""Rendezvous hashing: members that all processes choose alike.

A member that joins or leaves changes the choice for few keys only, and keys are
spread evenly over the members.
"""

from __future__ import annotations

import typing
import zlib

if typing.TYPE_CHECKING:
    from collections.abc import Iterable


def top_ranked(key: str, members: Iterable[str], limit: int) -> list[str]:
    """Return the members that rank first for a key, in this order.

    :param limit: maximum number of members.
    """
    return sorted(
        members,
        key=lambda member: zlib.crc32(f'{key} {member}'.encode()),
    )[:limit]
