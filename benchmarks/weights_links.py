"""Limited links of an instance, and faults on them, for the weights bench.

Every byte that an agent sends to or receives from another agent, the origin
or a caller passes one of its instance's two links, first come first served
and piece by piece, as packets would.
"""

from __future__ import annotations

import asyncio
import random
import time
import typing

from clementinepass.platform import protocols as platform_protocols
from clementinepass.weights import protocols, seed

#: Bytes that occupy a link at once; what comes behind waits for them.
PIECE = 32 * 1024


class Link:
    """One direction of an instance's link."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._free_at: float = 0
        #: Bytes carried.
        self.carried = 0

    async def carry(self, size: int) -> None:
        """Return when ``size`` bytes have passed."""
        left = size
        while left > 0:
            piece = min(PIECE, left)
            left -= piece
            await asyncio.sleep(self.reserve(piece))

    def reserve(self, size: int) -> float:
        """Queue bytes and return the seconds until they have passed."""
        self.carried += size
        now = time.monotonic()
        self._free_at = max(now, self._free_at) + size / self._rate
        return self._free_at - now


class Faults:
    """What goes wrong on the sending side."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        #: The share of chunks that are changed on their way.
        self.corrupt: float = 0
        #: Until when nothing that is sent arrives; the socket stays open.
        self.stalled_until: float = 0

    async def apply(self, content: bytes, *, first: bool) -> bytes:
        """Let a slice pass, late or changed."""
        while time.monotonic() < self.stalled_until:
            await asyncio.sleep(0.1)
        if first and self._chance.random() < self.corrupt:
            return bytes([content[0] ^ 1]) + content[1:]
        return content


class LinkedSeed(seed.Seed):
    """A seed whose slices leave over the instance's link."""

    out: Link
    faults: Faults

    async def read(self, digest: str, offset: int, length: int) -> bytes:
        """Return a slice once it has passed the link."""
        part = await super().read(digest, offset, length)
        await self.out.carry(len(part))
        return await self.faults.apply(part, first=not offset)


class LinkedPeers:
    """Peers whose slices arrive over the instance's link."""

    def __init__(self, peers: protocols.ChunkPeers, into: Link) -> None:
        self._peers = peers
        self._into = into

    async def manifest(self, member: protocols.Member, digest: str) -> bytes:
        """Return a manifest's bytes."""
        return await self._peers.manifest(member, digest)

    async def holdings(
        self,
        member: protocols.Member,
        manifest: str,
        known: int,
    ) -> protocols.Holdings:
        """Return what a peer holds once that differs from ``known``."""
        return await self._peers.holdings(member, manifest, known)

    async def read(
        self,
        member: protocols.Member,
        digest: str,
        offset: int,
        length: int,
    ) -> bytes:
        """Return a slice once it has passed the link."""
        part = await self._peers.read(member, digest, offset, length)
        await self._into.carry(len(part))
        return part

    async def standing(self, member: protocols.Member) -> protocols.Standing:
        """Return how far a peer's replica is."""
        return await self._peers.standing(member)

    def reset(self, member: protocols.Member) -> None:
        """Give the connection to a peer up."""
        self._peers.reset(member)


class LinkedOrigin:
    """The origin, whose chunks arrive over the instance's link."""

    def __init__(
        self,
        origin: platform_protocols.Origin,
        into: Link,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._origin = origin
        self._into = into
        self._loop = loop

    def chunk(self, digest: str) -> bytes:
        """Return a chunk once it has passed the link."""
        content = self._origin.chunk(digest)
        passed: typing.Any = asyncio.run_coroutine_threadsafe(
            self._into.carry(len(content)), self._loop
        )
        passed.result()
        return content
