"""Supply of manifests and chunks, from peers first."""

from __future__ import annotations

import asyncio
import typing

from clementinepass import errors
from clementinepass.platform import protocols as platform_protocols
from clementinepass.weights import manifest as manifests
from clementinepass.weights import (
    asking,
    protocols,
    ranking,
    seed,
    tasks,
    transfer,
    whole,
)

#: Seconds between two steps of the check of the whole.
_CHECK_INTERVAL = 0.05
#: Members that read a manifest from the weight store without waiting.
_FIRST_READERS = 2
#: Reads of the weight store at once; one more may hang, given up.
_STORE_READS = 2
#: Nobody waits for more turns than this.
_LAST_TURN = 8


class PeerSupply:
    """Bring manifests and chunks from peers, the store and the origin."""

    def __init__(
        self,
        around: transfer.Surroundings,
        weight_store: platform_protocols.WeightStore,
        sender: seed.Seed,
    ) -> None:
        self._around = around
        self._weight_store = weight_store
        self._seed = sender
        self._threads = transfer.PlatformThreads(_STORE_READS)
        self._transfer: transfer.Transfer | None = None
        self._wanted: manifests.Manifest | None = None
        #: Why the last step failed; empty for no trouble.
        self.trouble = ''

    @property
    def wanted(self) -> manifests.Manifest | None:
        """The manifest of the version wanted, once it is known."""
        return self._wanted

    def chunk_trouble(self) -> str:
        """Return why chunks are not coming; empty for no trouble."""
        if self._transfer is None:
            return self.trouble
        return self._transfer.trouble or self.trouble

    async def manifest(self, digest: str) -> manifests.Manifest:
        """Return a checked manifest; wait as long as none can be had.

        The weight store is rate-limited: the first two members by rendezvous
        read there at once, the others ask their neighbours and turn to the
        store later, each at its own time.
        """
        known = self._seed.known(digest)
        if known is None:
            known = await self._find(digest)
            self._seed.know(digest, known)
        self._wanted = known
        return known

    async def fetch(self, manifest: manifests.Manifest) -> None:
        """Return when every chunk is held and the whole is verified."""
        self._around.store.pin(manifest)
        running = transfer.Transfer(manifest, self._around)
        self._transfer = running
        digest = manifests.manifest_digest(manifest)
        self._seed.follow(digest, lambda: running.coming)
        try:
            await self._transfer_and_check(running, manifest)
        finally:
            self._seed.follow('', int)
            self._transfer = None

    async def _transfer_and_check(
        self,
        running: transfer.Transfer,
        manifest: manifests.Manifest,
    ) -> None:
        check = whole.WholeCheck(manifest, self._around.store)
        work = asyncio.create_task(running.run())
        try:
            while not work.done():
                await asyncio.wait({work}, timeout=_CHECK_INTERVAL)
                if check.ready:
                    await asyncio.to_thread(check.advance)
            work.result()
        finally:
            await tasks.cancel(work)
        await asyncio.to_thread(check.finish)

    async def _find(self, digest: str) -> manifests.Manifest:
        settings = self._around.settings
        wait = settings.retry
        store_at = self._around.clock.now() + self._store_delay(digest)
        while True:
            if self._around.clock.now() >= store_at:
                found = await self._from_store(digest)
                if found is not None:
                    return found
            found = await self._from_peers(digest)
            if found is not None:
                return found
            await asyncio.sleep(wait * self._around.chance.uniform(0.5, 1.5))
            wait = min(2 * wait, settings.retry_limit)

    def _store_delay(self, digest: str) -> float:
        own = self._around.own.id
        alive = [one.id for one in self._around.members() if one.alive]
        place = ranking.rank(digest, own, alive)
        turn = min(place // _FIRST_READERS, _LAST_TURN)
        jitter = self._around.chance.uniform(1, 1.5)
        return turn * self._around.settings.patience * jitter

    async def _from_store(self, digest: str) -> manifests.Manifest | None:
        try:
            payload = await self._threads.call(
                self._weight_store.manifest, digest
            )
        except errors.ThrottledError as error:
            self.trouble = str(error)
            await asyncio.sleep(
                error.retry_after * self._around.chance.uniform(1, 1.5)
            )
            return None
        except (
            errors.PlatformUnavailableError,
            errors.MalformedMessageError,
        ) as error:
            self.trouble = str(error)
            return None
        self._around.ledger.store += len(payload)
        return self._checked(payload, digest, 'weight store')

    async def _from_peers(self, digest: str) -> manifests.Manifest | None:
        for member in self._neighbours():
            try:
                payload = await self._ask(member, digest)
            except (errors.PeerUnavailableError, errors.PeerBusyError):
                continue
            found = self._checked(payload, digest, member.id)
            if found is not None:
                return found
        return None

    def _neighbours(self) -> typing.Sequence[protocols.Member]:
        settings = self._around.settings
        return ranking.neighbours(
            self._around.own, self._around.members(), settings.near, 1
        )

    async def _ask(self, member: protocols.Member, digest: str) -> bytes:
        return await asking.ask(
            self._around.peers,
            member,
            self._around.settings.stall_timeout,
            self._around.peers.manifest(member, digest),
        )

    def _checked(
        self,
        payload: bytes,
        digest: str,
        source: str,
    ) -> manifests.Manifest | None:
        # Bytes that do not match the digest are the sender's fault: another
        # sender may have the right ones. A manifest that does match and
        # contradicts itself was published so; that error goes up.
        if manifests.digest_of(payload) != digest:
            self.trouble = f'{source} sent another manifest'
            return None
        self.trouble = ''
        return manifests.Manifest.decode(payload, digest)
