"""Tests of manifests."""

from __future__ import annotations

import msgspec
import testtools

from clementinepass import errors
from clementinepass.weights import chunks as chunk_stores
from clementinepass.weights import manifest as manifests
from clementinepass.weights import whole
from tests.weights import fakes

_GOOD = manifests.Manifest.from_bytes('v1', fakes.weights(1), fakes.CHUNK)
_FIRST = _GOOD.chunks[0]

_LIES = {
    'count too large': {'count': 13},
    'count too small': {'count': 11},
    'chunk left out': {'chunks': _GOOD.chunks[1:], 'count': 11},
    'no chunks': {'chunks': (), 'count': 0, 'size': 0},
    'size': {'size': _GOOD.size + 1},
    'negative chunk': {
        'chunks': (
            manifests.Chunk(_FIRST.digest, -1),
            manifests.Chunk(_FIRST.digest, 1001 + 1000),
            *_GOOD.chunks[2:],
        ),
    },
    'one chunk, two sizes': {
        'chunks': (
            manifests.Chunk(_FIRST.digest, 999),
            manifests.Chunk(_FIRST.digest, 1001),
            *_GOOD.chunks[2:],
        ),
    },
    'digest malformed': {'digest': 'F' * 64},
    'chunk digest malformed': {
        'chunks': (manifests.Chunk('x', 1000), *_GOOD.chunks[1:]),
    },
    'no version': {'version': ''},
}


class ManifestTest(testtools.TestCase):
    """A manifest is taken only if it agrees with itself."""

    def test_round_trip(self) -> None:
        """What a publisher encodes is what an agent decodes."""
        digest = manifests.manifest_digest(_GOOD)
        self.assertEqual(
            _GOOD, manifests.Manifest.decode(_GOOD.encode(), digest)
        )

    def test_lies(self) -> None:
        """A manifest that lies is refused.

        A publisher's tool writes a manifest whose lengths, counts or digests
        do not agree. An agent that believed it would wait for chunks that
        don't exist, or load a part as the whole.
        """
        for name, change in _LIES.items():
            lie = msgspec.structs.replace(_GOOD, **change)
            payload = lie.encode()
            digest = manifests.digest_of(payload)
            with testtools.ExpectedException(errors.ManifestError, msg=name):
                manifests.Manifest.decode(payload, digest)

    def test_other_bytes(self) -> None:
        """Bytes of another manifest, cut short or unknown are refused."""
        digest = manifests.manifest_digest(_GOOD)
        extra = _GOOD.encode()[:-1] + b',"extra":1}'
        for payload, asked in (
            (_GOOD.encode()[:-1], digest),
            (_GOOD.encode()[:-1], manifests.digest_of(_GOOD.encode()[:-1])),
            (extra, manifests.digest_of(extra)),
            (b'[]', manifests.digest_of(b'[]')),
        ):
            with testtools.ExpectedException(errors.ManifestError):
                manifests.Manifest.decode(payload, asked)

    def test_whole(self) -> None:
        """Right chunks in the wrong order are not the version."""
        store = chunk_stores.ChunkStore(100_000)
        content = fakes.weights(1)
        for index, chunk in enumerate(_GOOD.chunks):
            start = index * fakes.CHUNK
            store.add(chunk, content[start : start + fakes.CHUNK])
        whole.WholeCheck(_GOOD, store).finish()
        turned = msgspec.structs.replace(
            _GOOD, chunks=tuple(reversed(_GOOD.chunks))
        )
        with testtools.ExpectedException(errors.ManifestError):
            whole.WholeCheck(turned, store).finish()


class ChunkStoreTest(testtools.TestCase):
    """Chunks are held within a limit."""

    def test_shares_and_evicts(self) -> None:
        """Shared chunks are kept once; unpinned ones make room."""
        store = chunk_stores.ChunkStore(14 * fakes.CHUNK)
        for seed in (1, 2):
            content = fakes.weights(seed, shared=8)
            manifest = manifests.Manifest.from_bytes(
                f'v{seed}', content, fakes.CHUNK
            )
            store.pin(manifest)
            for index, chunk in enumerate(manifest.chunks):
                start = index * fakes.CHUNK
                store.add(chunk, content[start : start + fakes.CHUNK])
            self.assertEqual(content, b''.join(store.parts(manifest)))
            self.assertTrue(store.used <= store.limit)
        self.assertEqual(14 * fakes.CHUNK, store.used)

    def test_corrupt(self) -> None:
        """Content that is not the chunk's is not kept."""
        store = chunk_stores.ChunkStore(14 * fakes.CHUNK)
        good = fakes.weights(1)[: fakes.CHUNK]
        for content in (good[:-1], good + b'x', b'y' + good[1:], b''):
            with testtools.ExpectedException(errors.ChunkCorruptError):
                store.add(_FIRST, content)
        self.assertFalse(store.holds(_FIRST.digest))
