"""Chunks held in memory, within a limit; versions share equal chunks."""

from __future__ import annotations

import typing

from clementinepass import errors
from clementinepass.weights import manifest as manifests

_STEP = 'hold'


class ChunkStore:
    """Hold verified chunks in memory.

    A chunk belongs to every pinned manifest that lists it and is kept once.
    Chunks of no pinned manifest stay as long as there is room, since
    neighbours may want them; they go first, oldest first.

    :param limit: the most bytes to hold.
    """

    def __init__(self, limit: int) -> None:
        #: The most bytes to hold.
        self.limit = limit
        #: Bytes held now.
        self.used = 0
        #: Grows with each change; watchers compare it.
        self.changes = 0
        self._content_by_digest: dict[str, bytes] = {}
        self._pinned: set[str] = set()
        # Neighbours ask for the same bitmap many times between two changes.
        self._bitmap_of: manifests.Manifest | None = None
        self._bitmap_changes = 0
        self._bitmap = 0

    def pin(self, manifest: manifests.Manifest) -> None:
        """Make room for one version; its chunks are not evicted.

        :raises MemoryLimitError: the version does not fit; what was pinned
            before stays pinned.
        """
        sizes = {chunk.digest: chunk.size for chunk in manifest.chunks}
        needed = sum(sizes.values())
        if needed > self.limit:
            raise errors.MemoryLimitError(
                f'version {manifest.version} needs {needed} bytes of memory, '
                f'the limit is {self.limit}',
                step=_STEP,
                peer=manifest.version,
            )
        self._pinned = set(sizes)

    def add(self, chunk: manifests.Chunk, content: bytes) -> None:
        """Verify and keep a chunk.

        :raises ChunkCorruptError: the content is not the chunk's.
        :raises MemoryLimitError: nothing more can be evicted.
        """
        verify(chunk, content)
        self.add_verified(chunk, content)

    def add_verified(self, chunk: manifests.Chunk, content: bytes) -> None:
        """Keep a chunk that the caller has verified.

        :raises MemoryLimitError: nothing more can be evicted.
        """
        if chunk.digest in self._content_by_digest:
            return
        self._make_room(chunk.size)
        self._content_by_digest[chunk.digest] = content
        self.used += chunk.size
        self.changes += 1

    def get(self, digest: str) -> bytes | None:
        """Return a chunk's content, or nothing where it is not held."""
        return self._content_by_digest.get(digest)

    def holds(self, digest: str) -> bool:
        """Tell whether a chunk is held."""
        return digest in self._content_by_digest

    def bitmap(self, manifest: manifests.Manifest) -> int:
        """Return one bit for each chunk held, the first chunk lowest."""
        fresh = self._bitmap_of is manifest
        if not fresh or self._bitmap_changes != self.changes:
            self._bitmap = self._new_bitmap(manifest)
            self._bitmap_of = manifest
            self._bitmap_changes = self.changes
        return self._bitmap

    def _new_bitmap(self, manifest: manifests.Manifest) -> int:
        bits = 0
        for index, chunk in enumerate(manifest.chunks):
            if chunk.digest in self._content_by_digest:
                bits |= 1 << index
        return bits

    def parts(self, manifest: manifests.Manifest) -> typing.Iterator[bytes]:
        """Yield the whole version chunk by chunk, without a second copy.

        :raises ChunkCorruptError: a chunk is missing.
        """
        for chunk in manifest.chunks:
            content = self._content_by_digest.get(chunk.digest)
            if content is None:
                raise errors.ChunkCorruptError(
                    'chunk is missing', step='assemble', peer=chunk.digest
                )
            yield content

    def _make_room(self, size: int) -> None:
        # Without a disk, holding two versions whole may not fit. Chunks that
        # no pinned version lists go first: the engine has its own copy of
        # what it serves, so evicting them never touches live requests.
        excess = self.used + size - self.limit
        loose = (
            digest
            for digest in list(self._content_by_digest)
            if digest not in self._pinned
        )
        while excess > 0:
            digest = next(loose, None)
            if digest is None:
                raise errors.MemoryLimitError(
                    'memory for chunks is full', step=_STEP, peer='chunks'
                )
            freed = len(self._content_by_digest.pop(digest))
            self.changes += 1
            self.used -= freed
            excess -= freed


def verify(chunk: manifests.Chunk, content: bytes) -> None:
    """Check a chunk's content against its length and digest.

    :raises ChunkCorruptError: it does not match.
    """
    sized = len(content) == chunk.size
    if not sized or manifests.digest_of(content) != chunk.digest:
        raise errors.ChunkCorruptError(
            'chunk does not match its digest', step='verify', peer=chunk.digest
        )
