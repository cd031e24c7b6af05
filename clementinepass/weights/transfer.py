"""Transfer of one version's chunks from peers and the origin.

Every wait is bounded and every chunk verified before it counts. The choice of
chunk and source is made in :mod:`clementinepass.weights.spreading`.
"""

from __future__ import annotations

import asyncio
import random
import typing
from concurrent import futures

from loguru import logger

from clementinepass import clock as clocks
from clementinepass import errors
from clementinepass.platform import protocols as platform_protocols
from clementinepass.weights import chunks as chunk_stores
from clementinepass.weights import ledger as ledgers
from clementinepass.weights import manifest as manifests
from clementinepass.weights import asking, pace, protocols, spreading
from clementinepass.weights import settings as weight_settings

#: The longest time between two looks for something to fetch.
_IDLE = 0.05
#: The shortest time between two such looks.
_BETWEEN_LOOKS = 0.01
_ORIGIN_FAILURES = (
    errors.PlatformUnavailableError,
    errors.MalformedMessageError,
)


class PlatformThreads:
    """Threads for the platform's blocking calls, apart from all others.

    A call that was given up still holds its thread until the platform
    answers. While the origin is silent and versions change, such calls pile
    up; in threads of their own they can't hold up the calls to the engine.
    """

    def __init__(self, count: int) -> None:
        self._pool = futures.ThreadPoolExecutor(count, 'platform')

    async def call(
        self,
        function: typing.Callable[[str], bytes],
        digest: str,
    ) -> bytes:
        """Return what ``function`` returns for ``digest``."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._pool, function, digest)


class Surroundings(typing.NamedTuple):
    """Everything that a transfer reaches outside of itself."""

    own: protocols.Member
    members: typing.Callable[[], typing.Sequence[protocols.Member]]
    peers: protocols.ChunkPeers
    origin: platform_protocols.Origin
    threads: PlatformThreads
    store: chunk_stores.ChunkStore
    settings: weight_settings.WeightSettings
    clock: clocks.Clock
    chance: random.Random
    ledger: ledgers.Ledger


class Transfer:
    """Bring all chunks of one manifest into the chunk store."""

    def __init__(
        self,
        manifest: manifests.Manifest,
        around: Surroundings,
    ) -> None:
        self._manifest = manifest
        self._digest = manifests.manifest_digest(manifest)
        self._around = around
        self._settings = around.settings
        self._swarm = spreading.Swarm(
            manifest,
            around.own,
            around.settings,
            around.clock.now(),
            around.chance,
        )
        self._changed = asyncio.Event()
        self._watchers: dict[protocols.Member, asyncio.Task[None]] = {}
        self._incoming = pace.Pace(around.settings.download_rate)
        self._fallbacks = pace.Pace(0)
        self._from_peers = 0
        self._from_origin = 0
        self._origin_wait = around.settings.retry
        #: Why the last fetch failed; empty since the last one that did not.
        self.trouble = ''

    @property
    def missing(self) -> int:
        """How many chunks are still to be had."""
        return self._swarm.missing.bit_count()

    @property
    def coming(self) -> int:
        """One bit for each chunk on its way into this failure domain."""
        return self._swarm.coming(self._now())

    async def run(self) -> None:
        """Return when every chunk is held."""
        self._note_held()
        # Before the first choice of a fetch: whoever knows no other members
        # would take itself for the first reader of everything.
        self._swarm.set_members(self._around.members(), self._now())
        async with asyncio.TaskGroup() as group:
            follower = group.create_task(self._follow_members(group))
            await self._work()
            follower.cancel()
            for watcher in self._watchers.values():
                watcher.cancel()

    async def _work(self) -> None:
        # One place decides for all fetches: were each fetch to look for its
        # successor, every message about holdings would wake all of them.
        async with asyncio.TaskGroup() as group:
            while self._swarm.missing:
                changed = self._changed
                self._start_fetches(group)
                await self._pause(changed)
                # Changes come in bursts; each look takes them all in.
                await asyncio.sleep(_BETWEEN_LOOKS)

    def _start_fetches(self, group: asyncio.TaskGroup) -> None:
        now = self._now()
        while self._from_peers < self._settings.downloads:
            fetch = self._swarm.from_peer(now)
            if fetch is None:
                break
            self._swarm.begin(fetch)
            self._from_peers += 1
            group.create_task(self._fetch_from_peer(fetch))
        while self._from_origin < self._settings.origin_reads:
            fetch = self._swarm.from_origin(now)
            if fetch is None or (fetch.fallback and self._from_origin):
                # Whoever waits for the origin itself takes nothing in
                # another's place: an origin that falls silent would find
                # everything asked for many times once it speaks again.
                break
            self._swarm.begin(fetch)
            self._from_origin += 1
            group.create_task(self._fetch_from_origin(fetch))

    def _note_held(self) -> None:
        held = self._around.store.bitmap(self._manifest)
        for index in spreading.bits(held):
            self._swarm.end(spreading.Fetch(index, spreading.ORIGIN), held=True)

    async def _follow_members(self, group: asyncio.TaskGroup) -> None:
        while self._swarm.missing:
            chosen = self._swarm.set_members(
                self._around.members(), self._now()
            )
            rate = self._settings.origin_rate
            self._fallbacks.rate = rate / self._swarm.alive
            for gone in self._watchers.keys() - set(chosen):
                self._watchers.pop(gone).cancel()
                self._around.peers.reset(gone)
            for member in chosen:
                if member not in self._watchers:
                    self._watchers[member] = group.create_task(
                        self._watch(member)
                    )
            await asyncio.sleep(self._settings.poll)

    async def _watch(self, member: protocols.Member) -> None:
        known = 0
        wait = self._settings.retry
        while self._swarm.missing:
            try:
                holdings = await self._ask_holdings(member, known)
            except errors.PeerUnavailableError:
                # A peer that fell silent may still look alive in the list of
                # instances; what it said it held would make others wait.
                self._swarm.forget(member.id)
                known = 0
                await asyncio.sleep(self._jittered(wait))
                wait = min(2 * wait, self._settings.retry_limit)
            else:
                wait = self._settings.retry
                known = holdings.sequence
                self._swarm.set_holdings(member.id, holdings, self._now())
                self._wake()

    async def _ask_holdings(
        self,
        member: protocols.Member,
        known: int,
    ) -> protocols.Holdings:
        return await asking.ask(
            self._around.peers,
            member,
            self._settings.hold + self._settings.stall_timeout,
            self._around.peers.holdings(member, self._digest, known),
        )

    async def _fetch_from_peer(self, fetch: spreading.Fetch) -> None:
        held = False
        try:
            held = await self._take(fetch)
        finally:
            self._from_peers -= 1
            self._finish(fetch, held=held)

    async def _take(self, fetch: spreading.Fetch) -> bool:
        chunk = self._manifest.chunks[fetch.index]
        member = self._member(fetch.source)
        if member is None:
            return False
        try:
            content = await self._read(member, chunk)
            await self._keep(chunk, content)
        except errors.PeerBusyError:
            self._swarm.rest(fetch.source, self._now() + self._jittered(0.1))
        except errors.ChunkCorruptError as error:
            # Dropped before it is stored; the chunk comes from another.
            self._around.ledger.corrupt += 1
            self._distrust(fetch.source, self._settings.retry, error)
        except errors.PeerUnavailableError as error:
            self._around.ledger.stalled += 1
            self._distrust(fetch.source, self._settings.stall_timeout, error)
        else:
            return True
        return False

    async def _read(
        self,
        member: protocols.Member,
        chunk: manifests.Chunk,
    ) -> bytes:
        parts: list[bytes] = []
        slice_bytes = self._settings.slice_bytes
        for offset in range(0, chunk.size, slice_bytes):
            length = min(slice_bytes, chunk.size - offset)
            await asyncio.sleep(self._incoming.reserve(length, self._now()))
            try:
                part = await self._read_slice(member, chunk, offset, length)
            except errors.PeerBusyError:
                self._incoming.refund(length)
                raise
            parts.append(part)
        return parts[0] if len(parts) == 1 else b''.join(parts)

    async def _read_slice(
        self,
        member: protocols.Member,
        chunk: manifests.Chunk,
        offset: int,
        length: int,
    ) -> bytes:
        part = await asking.ask(
            self._around.peers,
            member,
            self._settings.stall_timeout,
            self._around.peers.read(member, chunk.digest, offset, length),
        )
        self._count_received(member, len(part))
        if len(part) != length:
            raise errors.ChunkCorruptError(
                'slice has the wrong length', step='read', peer=member.id
            )
        return part

    async def _fetch_from_origin(self, fetch: spreading.Fetch) -> None:
        held = False
        try:
            held = await self._take_from_origin(fetch)
            await self._rest_after(held=held)
        finally:
            self._from_origin -= 1
            self._finish(fetch, held=held)

    async def _rest_after(self, *, held: bool) -> None:
        # An origin that is down or slow must not meet everybody's retries at
        # once: each wait doubles and is drawn apart from the others'.
        if held:
            self._origin_wait = self._settings.retry
            return
        await asyncio.sleep(self._jittered(self._origin_wait))
        self._origin_wait = min(
            2 * self._origin_wait, self._settings.retry_limit
        )

    async def _take_from_origin(self, fetch: spreading.Fetch) -> bool:
        chunk = self._manifest.chunks[fetch.index]
        if fetch.fallback:
            # When a first member dies, many may stand in for it. Each has an
            # equal part of the origin's rate, so that all together keep to it
            # without asking each other.
            pause = self._fallbacks.reserve(chunk.size, self._now())
            await asyncio.sleep(self._jittered(pause))
        try:
            content = await self._around.threads.call(
                self._around.origin.chunk, chunk.digest
            )
            self._around.ledger.origin += len(content)
            await self._keep(chunk, content)
        except errors.ThrottledError as error:
            self.trouble = str(error)
            await asyncio.sleep(self._jittered(error.retry_after))
        except errors.ChunkCorruptError as error:
            self._around.ledger.corrupt += 1
            self.trouble = str(error)
        except _ORIGIN_FAILURES as error:
            self._around.ledger.stalled += 1
            self.trouble = str(error)
        else:
            return True
        return False

    async def _keep(self, chunk: manifests.Chunk, content: bytes) -> None:
        # In a thread: hashing a large chunk takes tens of milliseconds, and
        # live requests pass through the same event loop.
        await asyncio.to_thread(chunk_stores.verify, chunk, content)
        self._around.store.add_verified(chunk, content)

    def _finish(self, fetch: spreading.Fetch, *, held: bool) -> None:
        self._swarm.end(fetch, held=held)
        if held:
            self.trouble = ''
        self._wake()

    def _member(self, member_id: str) -> protocols.Member | None:
        found = (one for one in self._watchers if one.id == member_id)
        return next(found, None)

    def _distrust(
        self,
        member_id: str,
        seconds: float,
        error: Exception,
    ) -> None:
        logger.debug('no chunks from {}: {}', member_id, error)
        self.trouble = str(error)
        self._swarm.distrust(member_id, self._now(), seconds)

    def _count_received(self, member: protocols.Member, size: int) -> None:
        self._around.ledger.peers += size
        if member.failure_domain != self._around.own.failure_domain:
            self._around.ledger.crossed += size

    def _now(self) -> float:
        return self._around.clock.now()

    def _jittered(self, seconds: float) -> float:
        return seconds * self._around.chance.uniform(0.5, 1.5)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _pause(self, changed: asyncio.Event) -> None:
        """Sleep until something changes or a chunk may have become due."""
        try:
            async with asyncio.timeout(_IDLE):
                await changed.wait()
        except TimeoutError:
            return
