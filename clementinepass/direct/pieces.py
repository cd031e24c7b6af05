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
        '_by_number',
        '_piece_added',
        'is_congested',
        'is_reading_staged',
        'is_slow',
        'manifest',
    )

    def __init__(self, manifest: weights.Manifest) -> None:
        self.manifest = manifest
        self._by_number: dict[int, bytes] = {}
        #: Whether they come here more slowly than their source has them.
        self.is_slow = False
        #: Whether the last ones took long on the link to this machine, or on
        #: their source's.
        self.is_congested = False
        #: Whether what lies staged is still being read, so that there are more
        #: pieces than are here.
        self.is_reading_staged = False
        self._piece_added = asyncio.Event()

    def clear_link_state(self) -> None:
        """Note that no pieces are on their way, so that none are slow."""
        self.is_slow = False
        self.is_congested = False

    @property
    def missing(self) -> list[int]:
        """Return the numbers of the pieces that aren't here."""
        all_numbers = range(len(self.manifest.digests))
        return [
            number for number in all_numbers if number not in self._by_number
        ]

    def get(self, number: int) -> bytes | None:
        """Return a piece, if it is here."""
        return self._by_number.get(number)

    def matches_digest(self, number: int, piece: bytes) -> bool:
        """Tell whether bytes are the piece of that number."""
        digests = self.manifest.digests
        if not 0 <= number < len(digests):
            return False
        return hashlib.sha256(piece).hexdigest() == digests[number]

    def add(self, number: int, piece: bytes) -> bool:
        """Keep a piece, unless it is spoilt; tell whether it was kept."""
        if not self.matches_digest(number, piece):
            return False
        self._by_number[number] = piece
        piece_added = self._piece_added
        self._piece_added = asyncio.Event()
        piece_added.set()
        return True

    @property
    def numbers(self) -> list[int]:
        """Return the numbers of the pieces that are here."""
        return sorted(self._by_number)

    async def wait_for_more(
        self, known_count: int, timeout_seconds: float
    ) -> None:
        """Wait until there are more pieces than some, or for a while."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                while len(self._by_number) <= known_count:
                    await self._piece_added.wait()

    async def wait_for_piece(
        self, number: int, timeout_seconds: float
    ) -> bytes | None:
        """Return a piece, waiting some time for it."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                while number not in self._by_number:
                    await self._piece_added.wait()
        return self._by_number.get(number)
