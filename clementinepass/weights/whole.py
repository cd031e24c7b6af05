"""Check of a whole version against the digest in its manifest."""

from __future__ import annotations

import hashlib
import typing

from clementinepass import errors

if typing.TYPE_CHECKING:
    from clementinepass.weights import chunks, manifest


class WholeCheck:
    """Hash a version from its beginning, as far as its chunks are held.

    Most of the work is done while the transfer runs, so that little of it
    is left between the last chunk and the order to the engine.
    """

    def __init__(
        self,
        wanted: manifest.Manifest,
        store: chunks.ChunkStore,
    ) -> None:
        self._wanted = wanted
        self._store = store
        self._hasher = hashlib.sha256()
        self._next = 0

    @property
    def ready(self) -> bool:
        """Whether the next chunk is held."""
        if self._next == self._wanted.count:
            return False
        return self._store.holds(self._wanted.chunks[self._next].digest)

    def advance(self) -> None:
        """Hash the next chunks as long as they are held; takes a while."""
        while self._next < self._wanted.count:
            content = self._store.get(self._wanted.chunks[self._next].digest)
            if content is None:
                return
            self._hasher.update(content)
            self._next += 1

    def finish(self) -> None:
        """Hash what is left and compare; takes a while.

        :raises ManifestError: every chunk is right, yet the whole is not
            what the manifest promises, so the manifest lies.
        """
        self.advance()
        complete = self._next == self._wanted.count
        if not complete or self._hasher.hexdigest() != self._wanted.digest:
            raise errors.ManifestError(
                'the whole does not match the digest in its manifest',
                step='assemble',
                peer=self._wanted.version,
            )
