"""Bring an engine to the versions that the operator names.

Pieces are got into memory, checked, and staged as they come.  When the engine's
turn has come they are read back, since what lies staged may rot, and staged
anew where they have; then the engine is ordered to load, on the condition that
nobody else has ordered meanwhile.  While one version waits for its turn the
next may be on its way.
"""

from __future__ import annotations

import asyncio
import time

from loguru import logger

from clementinepass import errors
from clementinepass.direct import fetching, manifests, pieces, weights

#: Versions whose pieces are kept, for the engine and for other agents.
_MAX_VERSIONS = 3
#: Seconds after an order without an answer in which nothing else is staged.
_UNKNOWN_ORDER_SECONDS = 1.0
#: Seconds between tries to read what lies staged.
_RETRY_SECONDS = 0.3
#: Seconds from the first piece read back to the order, by a clock that also
#: counts time in which the machine stood still. Pieces may have turned bad
#: since they were read; the rules excuse three seconds.
_MAX_READ_BACK_SECONDS = 2.2


class Loader:
    """The versions of one model on one machine.

    :param engine: the engine on this machine.
    :param view: who else there is, and what is wanted.
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
        #: Held while a piece is staged, and from the first piece read back to
        #: the order: an engine loads whatever lies there when it accepts, and
        #: pieces of the next version must not come between.
        self._staging_lock = asyncio.Lock()

    def pieces_of(self, model: str, version: int) -> pieces.Pieces | None:
        """Return the pieces of a version that are here or on their way."""
        version_pieces = self._pieces_by_version.get(version)
        if version_pieces is None or version_pieces.manifest.model != model:
            return None
        return version_pieces

    def newest_complete(self, model: str) -> int:
        """Return the newest version of which all pieces are here; or 0."""
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
        """Tell whether pieces come here slowly at present."""
        return any(
            version_pieces.is_slow or version_pieces.is_congested
            for version_pieces in self._pieces_by_version.values()
        )

    async def prepare(self, model: str, version: int) -> None:
        """Get the manifest of a version whose pieces are got later.

        Failure: a version was named while the one before was on its way, and
        its origin was gone before that was whole. Agents asked for the manifest
        only then, and nobody had it.

        :raises ClementinepassError: nobody has the manifest.
        """
        await self._ensure_pieces(model, version)

    async def fetch(self, model: str, version: int) -> None:
        """Get the pieces of a version that are missing.

        Returns early when another version is wanted meanwhile.

        :raises ClementinepassError: nobody has the manifest, or the engine
            doesn't answer.
        """
        is_first = not self._pieces_by_version
        version_pieces = await self._ensure_pieces(model, version)
        started_at = asyncio.get_running_loop().time()
        logger.bind(version=version, missing=len(version_pieces.missing)).info(
            'getting pieces',
        )
        if is_first:
            # An agent that was killed finds here what it had got.
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
                from_origin=fetcher.from_origin,
                from_agents=fetcher.from_agents,
                seconds=round(
                    asyncio.get_running_loop().time() - started_at, 3
                ),
            ).info('pieces got')

    async def load(self, model: str, version: int) -> bool:
        """Stage a version, check it and order it; tell if it was accepted.

        :raises ClementinepassError: the engine doesn't answer.
        """
        version_pieces = self._pieces_by_version[version]
        report = await self._engine.report()
        if report.busy:
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
        if await self._has_restarted(report):
            logger.bind(version=version).info('the engine has restarted')
            return False
        result = await self._engine.load(model, version, report)
        logger.bind(
            version=version,
            orders=report.orders,
            active=report.active,
            answer=result.value,
        ).info('ordered to load')
        if result is weights.OrderResult.UNKNOWN:
            # It may be accepted yet, with what lies staged then.
            await asyncio.sleep(_UNKNOWN_ORDER_SECONDS)
        return True

    async def _has_restarted(self, report: weights.EngineReport) -> bool:
        """Tell whether the engine started anew since it was looked at.

        Failure: an engine that had begun no order lost its power between the
        pieces read back and the order. The order named none, which the new
        start had begun as well, and was taken with pieces missing.
        """
        latest = await self._engine.report()
        return latest.started != report.started

    async def _ensure_pieces(self, model: str, version: int) -> pieces.Pieces:
        existing = self.pieces_of(model, version)
        if existing is not None:
            return existing
        manifest = await self._manifest_finder.find(model, version)
        existing = self.pieces_of(model, version)
        if existing is not None:
            # It was prepared meanwhile.
            return existing
        version_pieces = pieces.Pieces(manifest)
        self._pieces_by_version[version] = version_pieces
        self._drop_oldest()
        return version_pieces

    def _drop_oldest(self) -> None:
        while len(self._pieces_by_version) > _MAX_VERSIONS:
            del self._pieces_by_version[min(self._pieces_by_version)]

    async def _stage_as_fetched(self, version_pieces: pieces.Pieces) -> None:
        """Keep staged pieces that this version has too, and stage the others.

        Staged as they come, since what is in memory goes with the process:
        agents that were killed when they had nine pieces in ten began anew,
        and their engines served nothing for six seconds more. Tried until the
        engine answers: one that starts anew is down for seconds.
        """
        while not await self._read_staged(version_pieces):
            await asyncio.sleep(_RETRY_SECONDS)
        staged: set[int] = set()
        while True:
            for number in set(version_pieces.numbers) - staged:
                try:
                    # Ended only with its answer: given up, it could take
                    # effect while the next version is read back.
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
        """Take what lies staged and fits; tell whether the engine answered."""
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
        """Have a piece lie staged, and read it back.

        One that is there already stays: each write is another chance for it
        to be spoilt on the way.
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
                f'piece {number} is spoilt where it was staged',
                step='stage',
                peer=model,
            )


def _boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
