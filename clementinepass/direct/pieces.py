"""The pieces of one version that an agent has, checked against its digests."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import typing

if typing.TYPE_CHECKING:
    from clementinepass.direct import weights


class Pieces:
    """Pieces in memory, for this agent's engine and for other agents."""

    __slots__ = (
        '_arrival',
        '_by_number',
        'is_congested',
        'manifest',
        'reads_staged',
        'slow',
    )

    def __init__(self, manifest: weights.Manifest) -> None:
        self.manifest = manifest
        self._by_number: dict[int, bytes] = {}
        #: Whether they come here more slowly than their source has them.
        self.slow = False
        #: Whether the last ones took long on the link to this machine, or on
        #: their source's.
        self.is_congested = False
        #: Whether what lies staged is still being read, so that there are more
        #: pieces than are here.
        self.reads_staged = False
        self._arrival = asyncio.Event()

    def fetch_ended(self) -> None:
        """Note that no pieces are on their way, so that none are slow."""
        self.slow = False
        self.is_congested = False

    @property
    def missing(self) -> list[int]:
        """Return the numbers of the pieces that aren't here."""
        every = range(len(self.manifest.digests))
        return [number for number in every if number not in self._by_number]

    def get(self, number: int) -> bytes | None:
        """Return a piece, if it is here."""
        return self._by_number.get(number)

    def fits(self, number: int, piece: bytes) -> bool:
        """Tell whether bytes are the piece of that number."""
        digests = self.manifest.digests
        if not 0 <= number < len(digests):
            return False
        return hashlib.sha256(piece).hexdigest() == digests[number]

    def take(self, number: int, piece: bytes) -> bool:
        """Keep a piece, unless it is spoilt; tell whether it was kept."""
        if not self.fits(number, piece):
            return False
        self._by_number[number] = piece
        arrived = self._arrival
        self._arrival = asyncio.Event()
        arrived.set()
        return True

    @property
    def numbers(self) -> list[int]:
        """Return the numbers of the pieces that are here."""
        return sorted(self._by_number)

    async def wait_for_more(self, known: int, seconds: float) -> None:
        """Wait until there are more pieces than some, or for a while."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while len(self._by_number) <= known:
                    await self._arrival.wait()

    async def wait_for(self, number: int, seconds: float) -> bytes | None:
        """Return a piece, waiting some time for it."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while number not in self._by_number:
                    await self._arrival.wait()
        return self._by_number.get(number)
