"""Load the versions that the operator names into an engine.

Pieces are fetched into memory, checked, and staged at the engine as they
arrive. When it is the engine's turn to load, the staged pieces are read back,
because they may have been corrupted, and those that differ are staged again.
The engine is then ordered to load, on condition that it has begun no other
order meanwhile. While one version waits for its turn, the next may already be
fetched.
"""

from __future__ import annotations

import asyncio
import time

from loguru import logger

from clementinepass import errors
from clementinepass.direct import fetching, manifests, pieces, weights

#: Versions whose pieces are kept in memory, for the engine and for other
#: agents.
_MAX_VERSIONS = 3
#: Seconds without staging after an order that got no answer.
_UNKNOWN_ORDER_SECONDS = 1.0
#: Seconds between attempts to read or stage pieces at the engine.
_RETRY_SECONDS = 0.3
#: The longest time in seconds between reading back the first piece and the
#: order, by a clock that also counts the time in which the machine is
#: suspended. Pieces that were read earlier may be corrupt by then; the
#: platform's rules allow three seconds.
_MAX_READ_BACK_SECONDS = 2.2


class Loader:
    """Fetches, stages and loads the versions of one model.

    :param engine: the engine on this machine.
    :param context: the agent's view of sources and of the desired version.
    """

    __slots__ = (
        '_context',
        '_engine',
        '_manifest_finder',
        '_pieces_by_version',
        '_staging_lock',
    )

    def __init__(
        self, engine: weights.Engine, context: fetching.FetchContext
    ) -> None:
        self._engine = engine
        self._context = context
        self._manifest_finder = manifests.ManifestFinder(context)
        self._pieces_by_version: dict[int, pieces.Pieces] = {}
        #: Held while a piece is staged, and from reading back the first piece
        #: until the order: an engine loads whatever is staged when it accepts
        #: the order, so no piece of the next version may be staged in between.
        self._staging_lock = asyncio.Lock()

    def pieces_of(self, model: str, version: int) -> pieces.Pieces | None:
        """Return the pieces of a version that are here or being fetched."""
        version_pieces = self._pieces_by_version.get(version)
        if version_pieces is None or version_pieces.manifest.model != model:
            return None
        return version_pieces

    def newest_complete(self, model: str) -> int:
        """Return the newest version that is complete here, or 0."""
        return max(
            (
                version
                for version, version_pieces in self._pieces_by_version.items()
                if version_pieces.manifest.model == model
                and not version_pieces.missing
            ),
            default=0,
        )

    @property
    def is_congested(self) -> bool:
        """Return whether pieces currently arrive slowly here."""
        return any(
            version_pieces.is_slow or version_pieces.is_congested
            for version_pieces in self._pieces_by_version.values()
        )

    async def prepare(self, model: str, version: int) -> None:
        """Fetch the manifest of a version whose pieces are fetched later.

        Otherwise a version could become unavailable: it was named while the
        previous one was being fetched, and the origin was gone before that one
        was complete. Agents requested the new manifest only then, and no agent
        had it.

        :raises ClementinepassError: no source has the manifest.
        """
        await self._ensure_pieces(model, version)

    async def fetch(self, model: str, version: int) -> None:
        """Fetch the missing pieces of a version.

        Return early if another version is to be fetched instead.

        :raises ClementinepassError: no source has the manifest, or the engine
            doesn't answer.
        """
        is_first = not self._pieces_by_version
        version_pieces = await self._ensure_pieces(model, version)
        started_at = asyncio.get_running_loop().time()
        logger.bind(version=version, missing=len(version_pieces.missing)).info(
            'getting pieces',
        )
        if is_first:
            # After a restart of the agent, the engine still has the pieces that
            # were staged before.
            version_pieces.is_reading_staged = True
            try:
                await self._read_staged(version_pieces)
            finally:
                version_pieces.is_reading_staged = False
        fetcher = fetching.Fetcher(version_pieces, self._context)
        staging_task = asyncio.create_task(
            self._stage_as_fetched(version_pieces)
        )
        try:
            await fetcher.run()
        finally:
            staging_task.cancel()
            logger.bind(
                version=version,
                missing=len(version_pieces.missing),
                from_origin=fetcher.bytes_from_origin,
                from_agents=fetcher.bytes_from_agents,
                seconds=round(
                    asyncio.get_running_loop().time() - started_at, 3
                ),
            ).info('pieces got')

    async def load(self, model: str, version: int) -> bool:
        """Stage and verify a version, and order the engine to load it.

        :returns: whether the engine was ordered to load.
        :raises ClementinepassError: the engine doesn't answer.
        """
        version_pieces = self._pieces_by_version[version]
        report = await self._engine.report()
        if not report.accepts_orders:
            return False
        async with self._staging_lock:
            return await self._load(version_pieces, report)

    async def _load(
        self,
        version_pieces: pieces.Pieces,
        report: weights.EngineReport,
    ) -> bool:
        model = version_pieces.manifest.model
        version = version_pieces.manifest.version
        started_at = _boot_time()
        for number, _ in enumerate(version_pieces.manifest.digests):
            await self._stage(version_pieces, number)
        if self.newest_complete(model) != version:
            return False
        if _boot_time() - started_at > _MAX_READ_BACK_SECONDS:
            logger.bind(version=version).info('staged too long ago')
            return False
        latest = await self._engine.report()
        if _has_restarted(report, latest):
            logger.bind(version=version).info('the engine has restarted')
            return False
        if latest.is_draining:
            return False
        result = await self._engine.load(model, version, report)
        logger.bind(
            version=version,
            orders=report.orders,
            active=report.active,
            answer=result.value,
        ).info('ordered to load')
        if result is weights.OrderResult.UNKNOWN:
            # The engine may still accept the order and load what is staged at
            # that time.
            await asyncio.sleep(_UNKNOWN_ORDER_SECONDS)
        return True

    async def _ensure_pieces(self, model: str, version: int) -> pieces.Pieces:
        existing = self.pieces_of(model, version)
        if existing is not None:
            return existing
        manifest = await self._manifest_finder.find(model, version)
        existing = self.pieces_of(model, version)
        if existing is not None:
            # Another task has fetched the manifest meanwhile.
            return existing
        version_pieces = pieces.Pieces(manifest)
        self._pieces_by_version[version] = version_pieces
        self._drop_oldest()
        return version_pieces

    def _drop_oldest(self) -> None:
        while len(self._pieces_by_version) > _MAX_VERSIONS:
            del self._pieces_by_version[min(self._pieces_by_version)]

    async def _stage_as_fetched(self, version_pieces: pieces.Pieces) -> None:
        """Stage pieces as they arrive, keeping those that are staged already.

        Pieces in memory are lost with the process. Agents that were killed with
        nine tenths of the pieces had to start over, and their engines served
        nothing for six more seconds. Attempts are repeated until the engine
        answers, because a restarting engine is down for seconds.
        """
        while not await self._read_staged(version_pieces):
            await asyncio.sleep(_RETRY_SECONDS)
        staged: set[int] = set()
        while True:
            for number in set(version_pieces.numbers) - staged:
                try:
                    # Shielded so that staging ends only with the engine's
                    # answer: an abandoned request could take effect while the
                    # next version is being read back.
                    await asyncio.shield(
                        self._stage_with_lock(version_pieces, number)
                    )
                except errors.ClementinepassError as error:
                    logger.info('piece not staged: {}', error)
                    await asyncio.sleep(_RETRY_SECONDS)
                else:
                    staged.add(number)
            await version_pieces.wait_for_more(len(staged), _RETRY_SECONDS)

    async def _read_staged(self, version_pieces: pieces.Pieces) -> bool:
        """Add the staged pieces that match this version.

        :returns: whether the engine answered.
        """
        model = version_pieces.manifest.model
        try:
            numbers = await self._engine.staged_numbers(model)
            for number in numbers.intersection(version_pieces.missing):
                piece = await self._engine.staged_piece(model, number)
                if piece is not None:
                    version_pieces.add(number, piece)
        except errors.ClementinepassError as error:
            logger.info('staged pieces not read: {}', error)
            return False
        return True

    async def _stage_with_lock(
        self, version_pieces: pieces.Pieces, number: int
    ) -> None:
        async with self._staging_lock:
            await self._stage(version_pieces, number)

    async def _stage(self, version_pieces: pieces.Pieces, number: int) -> None:
        """Stage a piece unless it is staged already, and read it back.

        A correct staged piece isn't written again, since each transfer may
        corrupt it.

        :raises ChunkCorruptError: the staged piece differs from what was sent.
        """
        model = version_pieces.manifest.model
        piece = version_pieces.get(number)
        staged = await self._engine.staged_piece(model, number)
        if piece is None or staged == piece:
            return
        await self._engine.stage(model, number, piece)
        staged = await self._engine.staged_piece(model, number)
        if staged != piece:
            raise errors.ChunkCorruptError(
                f'piece {number} was corrupted when it was staged',
                step='stage',
                peer=model,
            )


def _has_restarted(
    report: weights.EngineReport, latest: weights.EngineReport
) -> bool:
    """Return whether the engine has restarted between two reports.

    An order names the number of orders that the engine has begun, which is
    ambiguous across restarts. An engine that had begun none lost power between
    the read-back of its pieces and the order. Its new start had begun none
    either, and accepted the order with pieces missing.
    """
    return latest.started_ms != report.started_ms


def _boot_time() -> float:
    """Return the seconds since boot, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
