"""Manifests: what a version consists of, checked strictly.

A manifest is named by the SHA-256 of its bytes, so whoever passes it on can't
change it. It may still have been published wrong, hence the checks here.
"""

from __future__ import annotations

import functools
import hashlib
import re

import msgspec

from clementinepass import errors

#: The largest manifest that is decoded; 200,000 chunks fit.
MAX_MANIFEST_BYTES = 24 * 1024 * 1024
#: The largest chunk; it travels in slices but is verified as a whole.
MAX_CHUNK_BYTES = 32 * 1024 * 1024
#: What publishers use unless they say otherwise.
DEFAULT_CHUNK_BYTES = 4 * 1024 * 1024

_DIGEST = re.compile('[0-9a-f]{64}')
_STEP = 'manifest'


class Chunk(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One chunk of a version, named by its content."""

    #: The SHA-256 of the content, in hexadecimal.
    digest: str
    #: The length in bytes.
    size: int


class Manifest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A whole version: its chunks in order and the digest of the whole."""

    version: str
    #: The length of the whole in bytes.
    size: int
    #: The SHA-256 of the whole, in hexadecimal.
    digest: str
    #: How many chunks there are; a manifest cut short contradicts it.
    count: int
    chunks: tuple[Chunk, ...]

    @classmethod
    def from_bytes(
        cls,
        version: str,
        whole: bytes,
        chunk_size: int = DEFAULT_CHUNK_BYTES,
    ) -> Manifest:
        """Cut a version's weights into chunks of ``chunk_size`` bytes."""
        view = memoryview(whole)
        parts = [
            view[start : start + chunk_size]
            for start in range(0, len(view), chunk_size)
        ]
        chunks = tuple(Chunk(digest_of(part), len(part)) for part in parts)
        manifest = cls(
            version, len(whole), digest_of(whole), len(chunks), chunks
        )
        manifest.check()
        return manifest

    @classmethod
    def decode(cls, payload: bytes, digest: str) -> Manifest:
        """Decode and check a manifest that was asked for by its digest.

        :raises ManifestError: the bytes are another manifest's, malformed,
            or contradict themselves.
        """
        if len(payload) > MAX_MANIFEST_BYTES:
            raise _fault('is too large', digest)
        if digest_of(payload) != digest:
            raise _fault('bytes do not match the digest asked for', digest)
        try:
            manifest = msgspec.json.decode(payload, type=cls)
        except msgspec.MsgspecError as error:
            raise _fault(str(error), digest) from error
        manifest.check()
        return manifest

    def encode(self) -> bytes:
        """Return the bytes that the manifest's own digest names."""
        return msgspec.json.encode(self)

    def check(self) -> None:
        """Refuse a manifest that contradicts itself.

        :raises ManifestError: lengths, counts or digests do not agree.
        """
        if not self.version:
            raise _fault('names no version', self.digest)
        if not self.chunks or self.count != len(self.chunks):
            raise _fault('count and chunks do not agree', self.version)
        if self.size != sum(chunk.size for chunk in self.chunks):
            raise _fault('size and chunks do not agree', self.version)
        digests = [self.digest, *(chunk.digest for chunk in self.chunks)]
        if not all(map(_DIGEST.fullmatch, digests)):
            raise _fault('holds a malformed digest', self.version)
        self._check_sizes()

    def _check_sizes(self) -> None:
        sizes: dict[str, int] = {}
        for chunk in self.chunks:
            if not 0 < chunk.size <= MAX_CHUNK_BYTES:
                raise _fault('holds a chunk of forbidden size', self.version)
            if sizes.setdefault(chunk.digest, chunk.size) != chunk.size:
                raise _fault('gives one chunk two sizes', self.version)


def digest_of(content: bytes | memoryview) -> str:
    """Return the SHA-256 of ``content`` in hexadecimal."""
    return hashlib.sha256(content).hexdigest()


@functools.lru_cache(maxsize=8)
def manifest_digest(manifest: Manifest) -> str:
    """Return the digest that names ``manifest`` in the weight store."""
    return digest_of(manifest.encode())


def _fault(detail: str, peer: str) -> errors.ManifestError:
    return errors.ManifestError(f'manifest {detail}', step=_STEP, peer=peer)
