"""Pieces of one version in an agent's memory, checked by their digests."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import typing

if typing.TYPE_CHECKING:
    from clementinepass.direct import weights


#: Maximum number of digests of rejected pieces that are kept for each number.
_MAX_REJECTED = 16


class Pieces:
    """Pieces in memory, for the local engine and for other agents.

    :param manifest: the digests of all pieces.
    """

    __slots__ = (
        '_by_number',
        '_piece_added',
        '_rejected_by_number',
        'is_congested',
        'is_reading_staged',
        'is_slow',
        'manifest',
    )

    def __init__(self, manifest: weights.Manifest) -> None:
        self.manifest = manifest
        self._by_number: dict[int, bytes] = {}
        #: Digests of received pieces that differ from the manifest's.
        self._rejected_by_number: dict[int, set[str]] = {}
        #: Whether pieces arrive here more slowly than their source receives
        #: them.
        self.is_slow = False
        #: Whether the last pieces took long on the local link or on the link of
        #: their source.
        self.is_congested = False
        #: Whether staged pieces are still being read from the engine, so that
        #: there are more than are in memory.
        self.is_reading_staged = False
        self._piece_added = asyncio.Event()

    def clear_link_state(self) -> None:
        """Clear the slow and congested states when fetching has ended."""
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
        """Return whether bytes have the digest of a piece."""
        digests = self.manifest.digests
        if not 0 <= number < len(digests):
            return False
        return hashlib.sha256(piece).hexdigest() == digests[number]

    def reject(self, number: int, piece: bytes) -> bool:
        """Record a corrupt piece; return whether it was received before.

        A transfer corrupts a piece in another way each time. If the same bytes
        come again, the digest in the manifest may be the corrupt one.
        """
        digest = hashlib.sha256(piece).hexdigest()
        rejected = self._rejected_by_number.setdefault(number, set())
        is_known = digest in rejected
        if len(rejected) < _MAX_REJECTED:
            rejected.add(digest)
        return is_known

    def replace_manifest(self, manifest: weights.Manifest, number: int) -> bool:
        """Take another manifest if it explains why a piece was rejected.

        Pieces that it does not match are dropped.

        :returns: whether the manifest was taken.
        """
        digests = manifest.digests
        rejected = self._rejected_by_number.get(number, set())
        if (
            len(digests) != len(self.manifest.digests)
            or digests[number] not in rejected
        ):
            return False
        self._by_number = {
            held: piece
            for held, piece in self._by_number.items()
            if digests[held] == self.manifest.digests[held]
        }
        self.manifest = manifest
        self._rejected_by_number.clear()
        return True

    def add(self, number: int, piece: bytes) -> bool:
        """Add a piece unless it is corrupt; return whether it was added."""
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
        """Wait until there are more pieces than known, or for the timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                while len(self._by_number) <= known_count:
                    await self._piece_added.wait()

    async def wait_for_piece(
        self, number: int, timeout_seconds: float
    ) -> bytes | None:
        """Return a piece once it is here; ``None`` after the timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                while number not in self._by_number:
                    await self._piece_added.wait()
        return self._by_number.get(number)
