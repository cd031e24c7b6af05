"""The sending side: what this agent lets other agents read."""

from __future__ import annotations

import asyncio
import typing

from clementinepass import clock as clocks
from clementinepass import errors
from clementinepass.weights import chunks as chunk_stores
from clementinepass.weights import ledger as ledgers
from clementinepass.weights import manifest as manifests
from clementinepass.weights import pace, protocols
from clementinepass.weights import settings as weight_settings

#: An upload that would wait longer is declined, so that the asker, whose
#: patience is the stall timeout, goes to a sender with a shorter queue.
_LONGEST_QUEUE = 0.6
_POSITIVE = 0x7FFFFFFFFFFFFFFF
_STEP = 'seed'


class Seed:
    """Answer other agents out of the chunk store, within the upload cap."""

    def __init__(
        self,
        store: chunk_stores.ChunkStore,
        settings: weight_settings.WeightSettings,
        clock: clocks.Clock,
        ledger: ledgers.Ledger,
        live: typing.Callable[[], int] = int,
    ) -> None:
        self._store = store
        self._settings = settings
        self._clock = clock
        self._ledger = ledger
        self._live = live
        self._outgoing = pace.Pace(settings.upload_rate)
        self._manifests: dict[str, manifests.Manifest] = {}
        self._coming: typing.Callable[[], int] = int
        self._current = ''
        self._start = clock.now()
        #: How far the own replica is.
        self.standing = protocols.Standing(protocols.Phase.IDLE, 0)

    def know(self, digest: str, manifest: manifests.Manifest) -> None:
        """Keep a manifest for others; the last two are enough."""
        self._manifests.pop(digest, None)
        self._manifests[digest] = manifest
        while len(self._manifests) > 2:
            self._manifests.pop(next(iter(self._manifests)))

    def known(self, digest: str) -> manifests.Manifest | None:
        """Return a manifest that is kept."""
        return self._manifests.get(digest)

    def follow(self, digest: str, coming: typing.Callable[[], int]) -> None:
        """Tell others of the chunks on their way for one manifest."""
        self._current = digest
        self._coming = coming

    def manifest(self, digest: str) -> bytes:
        """Return a manifest's bytes.

        :raises PeerBusyError: it is not known here.
        """
        found = self._manifests.get(digest)
        if found is None:
            raise _declined('manifest is not known', digest)
        return found.encode()

    async def holdings(self, digest: str, known: int) -> protocols.Holdings:
        """Return what is held once it differs from what the asker knows.

        Changes are gathered for a while, so that the number of messages
        follows from time and not from the number of chunks.
        """
        await asyncio.sleep(self._settings.gather)
        deadline = self._clock.now() + self._settings.hold
        while self._sequence(digest) == known:
            if self._clock.now() >= deadline:
                break
            await asyncio.sleep(self._settings.gather)
        manifest = self._manifests.get(digest)
        if manifest is None:
            return protocols.Holdings()
        return protocols.Holdings(
            self._store.bitmap(manifest),
            self._coming_of(digest),
            self._sequence(digest),
        )

    async def read(self, digest: str, offset: int, length: int) -> bytes:
        """Return a slice of a chunk when the upload cap lets it pass.

        :raises PeerBusyError: the chunk is not held or the queue is long.
        """
        content = self._store.get(digest)
        if content is None:
            raise _declined('chunk is not held', digest)
        now = self._clock.now()
        if self._outgoing.backlog(now) > _LONGEST_QUEUE:
            raise _declined('upload cap is reached', digest)
        # Live requests share this instance's link. While any is in progress
        # uploads leave a part of it free, or the first token would queue
        # behind chunks.
        share = self._settings.yield_share if self._live() else 1
        part = content[offset : offset + length]
        await asyncio.sleep(self._outgoing.reserve(len(part), now, share))
        self._ledger.sent += len(part)
        self._ledger.calls += 1
        return part

    def _sequence(self, digest: str) -> int:
        if digest not in self._manifests:
            return 0
        # Hashed so that a restarted agent's numbers do not meet old ones.
        state = (self._start, self._store.changes, self._coming_of(digest))
        return hash(state) & _POSITIVE

    def _coming_of(self, digest: str) -> int:
        return self._coming() if digest == self._current else 0


def _declined(detail: str, peer: str) -> errors.PeerBusyError:
    return errors.PeerBusyError(detail, step=_STEP, peer=peer)
