"""One replica: from the version wanted to the gate open for it.

The order of steps is what keeps partial or mixed weights from being served:
fetch, verify the whole, close the gate, order the engine with the fencing
number, read back what it serves, and only then open the gate. No answer of
the engine's to an order opens the gate; what it is read to serve does.
"""

from __future__ import annotations

import asyncio
import dataclasses
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.endpoints import protocols as endpoint_protocols
from clementinepass.weights import chunks as chunk_stores
from clementinepass.weights import manifest as manifests
from clementinepass.weights import protocols, tasks
from clementinepass.weights import settings as weight_settings

#: Readings without an answer before the gate is closed.
_MOST_MISSES = 2
_ORDER_FAILURES = (
    errors.StaleOrderError,
    errors.EndpointError,
    errors.TransferAbandonedError,
    errors.ChunkCorruptError,
    errors.ManifestError,
)


class Supply(typing.Protocol):
    """Brings manifests and chunks."""

    async def manifest(self, digest: str) -> manifests.Manifest:
        """Return a checked manifest; wait as long as none can be had.

        :raises ManifestError: the manifest contradicts itself.
        """

    async def fetch(self, manifest: manifests.Manifest) -> None:
        """Return when every chunk is held and the whole is verified.

        :raises MemoryLimitError: the version does not fit.
        :raises ManifestError: the whole does not match its digest.
        """


class Turn(typing.Protocol):
    """Keeps replicas from loading all at once."""

    async def wait(self, wanted: protocols.Wanted) -> None:
        """Return when this replica may leave service to load."""


@dataclasses.dataclass(slots=True)
class State:
    """What a replica shows of itself."""

    wanted: protocols.Wanted | None = None
    phase: protocols.Phase = protocols.Phase.IDLE
    #: Why it is stuck or slow; empty for no trouble.
    trouble: str = ''
    #: The version that the gate is open for; empty for none.
    serving: str = ''
    #: Orders given to the engine, repetitions included.
    orders: int = 0
    #: Times that the engine was read to serve something else.
    mismatches: int = 0


class Replica:
    """Bring one engine to the version wanted, and keep it there."""

    def __init__(
        self,
        engine: endpoint_protocols.Engine,
        gate: protocols.Gate,
        store: chunk_stores.ChunkStore,
        supply: Supply,
        turn: Turn,
        settings: weight_settings.WeightSettings,
        on_change: typing.Callable[[], typing.Any] = bool,
    ) -> None:
        self._on_change = on_change
        self._engine = engine
        self._gate = gate
        self._store = store
        self._supply = supply
        self._turn = turn
        self._settings = settings
        self._changed = asyncio.Event()
        self._lost = asyncio.Event()
        self._served: manifests.Manifest | None = None
        self._order: asyncio.Future[None] | None = None
        # Whether an order may take effect after all: its answer was lost.
        # The next version wanted is then ordered even if the engine seems to
        # serve it, so that the older order's fencing number is outdated.
        self._doubt = False
        #: What it shows of itself.
        self.state = State()

    def want(self, wanted: protocols.Wanted) -> None:
        """Take a newer configuration; an older or equal one is ignored."""
        current = self.state.wanted
        if current is not None and wanted.revision <= current.revision:
            return
        self.state.wanted = wanted
        self._on_change()
        self._changed.set()

    async def run(self) -> None:
        """Follow what is wanted until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read_back_often())
            while True:
                self._changed.clear()
                await self._until_changed(self.state.wanted)

    async def confirm(self, version: str) -> bool:
        """Read back now whether the engine serves ``version`` whole.

        For engines that ignore fencing numbers: an agent that was paused
        can wake up and load an old version at any time. Asked before each
        dispatch, this closes the gate before a request meets it.
        """
        served = self._served
        if served is None or served.version != version:
            return False
        return await self._check(served)

    def serves_now(self, version: str) -> bool:
        """Read back like :meth:`confirm`, from any thread; blocks.

        It closes nothing: whoever hears a no asks :meth:`confirm`.
        """
        served = self._served
        if served is None or served.version != version:
            return False
        try:
            status = self._engine.status()
        except errors.EndpointError:
            return False
        return _matches(status, served)

    async def _until_changed(self, wanted: protocols.Wanted | None) -> None:
        if wanted is None:
            await self._changed.wait()
            return
        work = asyncio.ensure_future(self._converge(wanted))
        change = asyncio.ensure_future(self._changed.wait())
        try:
            await asyncio.wait(
                {work, change}, return_when=asyncio.FIRST_COMPLETED
            )
            if work.done():
                work.result()
        finally:
            await tasks.cancel(work, change)

    async def _converge(self, wanted: protocols.Wanted) -> None:
        try:
            manifest = await self._prepare(wanted)
        except (errors.ManifestError, errors.MemoryLimitError) as error:
            # Nothing that is tried again helps here. What is served now
            # stays in service until another version is wanted.
            self._enter(protocols.Phase.STUCK, str(error))
            logger.error('version {} is refused: {}', wanted.version, error)
            await asyncio.Event().wait()
            return
        while True:
            self._lost.clear()
            await self._bring_into_service(wanted, manifest)
            self._enter(protocols.Phase.SERVING)
            await self._lost.wait()

    async def _prepare(
        self,
        wanted: protocols.Wanted,
    ) -> manifests.Manifest:
        self._enter(protocols.Phase.FETCHING)
        manifest = await self._supply.manifest(wanted.manifest)
        if manifest.version != wanted.version:
            raise errors.ManifestError(
                f'manifest is of version {manifest.version}',
                step='manifest',
                peer=wanted.version,
            )
        if await self._serves(manifest):
            return manifest
        await self._supply.fetch(manifest)
        return manifest

    async def _bring_into_service(
        self,
        wanted: protocols.Wanted,
        manifest: manifests.Manifest,
    ) -> None:
        # An order that is still under way may yet take effect, after the
        # engine was read to serve what is wanted. It must have ended first.
        await self._order_ended()
        if not self._doubt and await self._serves(manifest):
            self._open(manifest)
            return
        # The chunks may be gone if the engine served this version at the
        # start and lost it since.
        await self._supply.fetch(manifest)
        if self._served is not None:
            self._enter(protocols.Phase.WAITING)
            await self._until_turn(wanted)
        await self._load_until_served(wanted, manifest)
        self._open(manifest)

    async def _load_until_served(
        self,
        wanted: protocols.Wanted,
        manifest: manifests.Manifest,
    ) -> None:
        wait = self._settings.retry
        while not await self._load(wanted, manifest):
            await asyncio.sleep(wait)
            wait = min(2 * wait, self._settings.retry_limit)

    async def _until_turn(self, wanted: protocols.Wanted) -> None:
        # With its gate closed a replica has nothing to lose by loading.
        turn = asyncio.ensure_future(self._turn.wait(wanted))
        lost = asyncio.ensure_future(self._lost.wait())
        try:
            await asyncio.wait(
                {turn, lost}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            await tasks.cancel(turn, lost)

    async def _load(
        self,
        wanted: protocols.Wanted,
        manifest: manifests.Manifest,
    ) -> bool:
        self._close(f'loading {wanted.version}')
        await self._order_ended()
        if await self._outdated(wanted):
            return await self._serves(manifest)
        self._enter(protocols.Phase.LOADING, self.state.trouble)
        self.state.orders += 1
        self._doubt = True
        order = asyncio.ensure_future(self._give_order(wanted, manifest))
        self._order = order
        await asyncio.shield(order)
        # The answer to an order may be lost after it took effect, and an
        # engine may report success and serve something else. Only what is
        # read back decides.
        if await self._serves(manifest):
            self._doubt = bool(self.state.trouble)
            return True
        if not self.state.trouble:
            self._note('engine does not serve what it was ordered to load')
        return False

    async def _outdated(self, wanted: protocols.Wanted) -> bool:
        """Tell whether the engine has already had a newer order.

        An agent that was paused past its timeouts wakes up here with an old
        order in hand. An engine that shows a larger fencing number has
        another agent's newer order; giving ours would only disturb it.
        """
        status = await self._status()
        if status is None:
            self._note('engine does not answer')
            return True
        if status.fencing > wanted.revision:
            self._note(
                f'engine has had an order of revision {status.fencing}, '
                f'newer than {wanted.revision}'
            )
            return True
        return False

    async def _give_order(
        self,
        wanted: protocols.Wanted,
        manifest: manifests.Manifest,
    ) -> None:
        try:
            await asyncio.to_thread(
                self._engine.load,
                manifest.version,
                manifest.digest,
                wanted.revision,
                manifest.size,
                self._parts(wanted, manifest),
            )
        except _ORDER_FAILURES as error:
            self._note(str(error))
        else:
            self.state.trouble = ''

    def _parts(
        self,
        wanted: protocols.Wanted,
        manifest: manifests.Manifest,
    ) -> typing.Iterator[bytes]:
        # Runs in the thread that talks to the engine. Once a newer revision
        # is wanted the rest is not sent: the engine then holds a part only,
        # which its own check of length and digest refuses.
        for part in self._store.parts(manifest):
            if self.state.wanted is not wanted:
                raise errors.TransferAbandonedError(
                    'a newer revision is wanted',
                    step='load',
                    peer=wanted.version,
                )
            yield part

    async def _order_ended(self) -> None:
        # A thread can't be cancelled. The abandoned order must end before
        # the next is given: an engine that ignores fencing numbers would
        # otherwise finish with whichever came last.
        if self._order is not None:
            await asyncio.shield(self._order)
            self._order = None

    async def _read_back_often(self) -> None:
        while True:
            await asyncio.sleep(self._settings.read_back)
            served = self._served
            if served is not None:
                await self._check(served)

    async def _check(self, served: manifests.Manifest) -> bool:
        status = await self._status()
        for _ in range(_MOST_MISSES - 1):
            if status is None:
                status = await self._status()
        if self._served is not served:
            return False
        if status is not None and _matches(status, served):
            return True
        self.state.mismatches += 1
        self._close('engine does not serve what was loaded')
        self._lost.set()
        return False

    async def _serves(self, manifest: manifests.Manifest) -> bool:
        status = await self._status()
        return status is not None and _matches(status, manifest)

    async def _status(self) -> endpoint_protocols.EngineStatus | None:
        try:
            return await asyncio.to_thread(self._engine.status)
        except errors.EndpointError as error:
            logger.debug('engine does not answer: {}', error)
            return None

    def _open(self, manifest: manifests.Manifest) -> None:
        self._served = manifest
        self.state.serving = manifest.version
        self._gate.open(manifest.version)

    def _close(self, reason: str) -> None:
        if self._served is not None:
            self._served = None
            self.state.serving = ''
        self._gate.close(reason)

    def _note(self, trouble: str) -> None:
        self._enter(protocols.Phase.STUCK, trouble)
        logger.warning('replica is stuck: {}', trouble)

    def _enter(self, phase: protocols.Phase, trouble: str = '') -> None:
        self.state.phase = phase
        self.state.trouble = trouble
        self._on_change()


def _matches(
    status: endpoint_protocols.EngineStatus,
    manifest: manifests.Manifest,
) -> bool:
    return (status.version, status.digest) == (
        manifest.version,
        manifest.digest,
    )
