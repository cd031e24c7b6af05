"""Calls to peers with a time limit."""

from __future__ import annotations

import asyncio
import typing

from clementinepass import errors

if typing.TYPE_CHECKING:
    from clementinepass.weights import protocols

_T = typing.TypeVar('_T')


async def ask(
    peers: protocols.ChunkPeers,
    member: protocols.Member,
    limit: float,
    call: typing.Awaitable[_T],
) -> _T:
    """Await a call to ``member`` for at most ``limit`` seconds.

    A stalled link keeps its socket open; only the missing answer shows it.
    Its connection is given up, since a connection that something on the way
    has lost track of stays silent for good, while a new one works.

    :raises PeerUnavailableError: the peer failed or there was no answer.
    """
    try:
        async with asyncio.timeout(limit):
            return await call
    except TimeoutError as error:
        peers.reset(member)
        raise errors.PeerUnavailableError(
            'no progress', step='weights', peer=member.id
        ) from error
