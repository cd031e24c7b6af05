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
_MOST_VERSIONS = 3
#: Seconds after an order without an answer in which nothing else is staged.
_UNKNOWN_SECONDS = 1.0
#: Seconds between tries to read what lies staged.
_RETRY_SECONDS = 0.3
#: Seconds from the first piece read back to the order, by a clock that also
#: counts time in which the machine stood still. Pieces may have turned bad
#: since they were read; the rules excuse three seconds.
_FRESH_SECONDS = 2.2


class Loading:
    """The versions of one model on one machine.

    :param engine: the engine on this machine.
    :param view: who else there is, and what is wanted.
    """

    __slots__ = (
        '_engine',
        '_manifests',
        '_pieces_by_version',
        '_staging',
        '_view',
    )

    def __init__(self, engine: weights.Engine, view: fetching.View) -> None:
        self._engine = engine
        self._view = view
        self._manifests = manifests.Manifests(view)
        self._pieces_by_version: dict[int, pieces.Pieces] = {}
        #: Held while a piece is staged, and from the first piece read back to
        #: the order: an engine loads whatever lies there when it accepts, and
        #: pieces of the next version must not come between.
        self._staging = asyncio.Lock()

    def pieces_of(self, model: str, version: int) -> pieces.Pieces | None:
        """Return the pieces of a version that are here or on their way."""
        held = self._pieces_by_version.get(version)
        if held is None or held.manifest.model != model:
            return None
        return held

    def newest_whole(self, model: str) -> int:
        """Return the newest version of which all pieces are here; or 0."""
        return max(
            (
                version
                for version, held in self._pieces_by_version.items()
                if held.manifest.model == model and not held.missing
            ),
            default=0,
        )

    @property
    def is_congested(self) -> bool:
        """Tell whether pieces come here slowly at present."""
        return any(
            held.slow or held.is_congested
            for held in self._pieces_by_version.values()
        )

    async def prepare(self, model: str, version: int) -> None:
        """Get the manifest of a version whose pieces are got later.

        Failure: a version was named while the one before was on its way, and
        its origin was gone before that was whole. Agents asked for the manifest
        only then, and nobody had it.

        :raises ClementinepassError: nobody has the manifest.
        """
        await self._manifest(model, version)

    async def fetch(self, model: str, version: int) -> None:
        """Get the pieces of a version that are missing.

        Returns early when another version is wanted meanwhile.

        :raises ClementinepassError: nobody has the manifest, or the engine
            doesn't answer.
        """
        is_first = not self._pieces_by_version
        held = await self._manifest(model, version)
        begun = asyncio.get_running_loop().time()
        logger.bind(version=version, missing=len(held.missing)).info(
            'getting pieces',
        )
        if is_first:
            # An agent that was killed finds here what it had got.
            held.reads_staged = True
            try:
                await self._read_staged(held)
            finally:
                held.reads_staged = False
        fetch = fetching.Fetching(held, self._view)
        staging = asyncio.create_task(self._keep_staged(held))
        try:
            await fetch.run()
        finally:
            staging.cancel()
            logger.bind(
                version=version,
                missing=len(held.missing),
                from_origin=fetch.from_origin,
                from_agents=fetch.from_agents,
                seconds=round(asyncio.get_running_loop().time() - begun, 3),
            ).info('pieces got')

    async def load(self, model: str, version: int) -> bool:
        """Stage a version, check it and order it; tell if it was accepted.

        :raises ClementinepassError: the engine doesn't answer.
        """
        held = self._pieces_by_version[version]
        report = await self._engine.report()
        if report.busy:
            return False
        async with self._staging:
            return await self._load(held, report)

    async def _load(
        self,
        held: pieces.Pieces,
        report: weights.EngineReport,
    ) -> bool:
        model = held.manifest.model
        version = held.manifest.version
        begun = _now_with_standstill()
        for number, _ in enumerate(held.manifest.digests):
            await self._stage(held, number)
        if self.newest_whole(model) != version:
            return False
        if _now_with_standstill() - begun > _FRESH_SECONDS:
            logger.bind(version=version).info('staged too long ago')
            return False
        if await self._has_restarted(report):
            logger.bind(version=version).info('the engine has restarted')
            return False
        ordered = await self._engine.load(model, version, report)
        logger.bind(
            version=version,
            orders=report.orders,
            active=report.active,
            answer=ordered.value,
        ).info('ordered to load')
        if ordered is weights.Ordered.UNKNOWN:
            # It may be accepted yet, with what lies staged then.
            await asyncio.sleep(_UNKNOWN_SECONDS)
        return True

    async def _has_restarted(self, report: weights.EngineReport) -> bool:
        """Tell whether the engine started anew since it was looked at.

        Failure: an engine that had begun no order lost its power between the
        pieces read back and the order. The order named none, which the new
        start had begun as well, and was taken with pieces missing.
        """
        fresh = await self._engine.report()
        return fresh.started != report.started

    async def _manifest(self, model: str, version: int) -> pieces.Pieces:
        known = self.pieces_of(model, version)
        if known is not None:
            return known
        manifest = await self._manifests.find(model, version)
        known = self.pieces_of(model, version)
        if known is not None:
            # It was prepared meanwhile.
            return known
        held = pieces.Pieces(manifest)
        self._pieces_by_version[version] = held
        self._forget()
        return held

    def _forget(self) -> None:
        while len(self._pieces_by_version) > _MOST_VERSIONS:
            del self._pieces_by_version[min(self._pieces_by_version)]

    async def _keep_staged(self, held: pieces.Pieces) -> None:
        """Keep staged pieces that this version has too, and stage the others.

        Staged as they come, since what is in memory goes with the process:
        agents that were killed when they had nine pieces in ten began anew,
        and their engines served nothing for six seconds more. Tried until the
        engine answers: one that starts anew is down for seconds.
        """
        while not await self._read_staged(held):
            await asyncio.sleep(_RETRY_SECONDS)
        staged: set[int] = set()
        while True:
            for number in set(held.numbers) - staged:
                try:
                    # Ended only with its answer: given up, it could take
                    # effect while the next version is read back.
                    await asyncio.shield(self._stage_alone(held, number))
                except errors.ClementinepassError as error:
                    logger.info('piece not staged: {}', error)
                    await asyncio.sleep(_RETRY_SECONDS)
                else:
                    staged.add(number)
            await held.wait_for_more(len(staged), _RETRY_SECONDS)

    async def _read_staged(self, held: pieces.Pieces) -> bool:
        """Take what lies staged and fits; tell whether the engine answered."""
        model = held.manifest.model
        try:
            staged = await self._engine.staged(model)
            for number in staged.intersection(held.missing):
                piece = await self._engine.staged_piece(model, number)
                if piece is not None:
                    held.take(number, piece)
        except errors.ClementinepassError as error:
            logger.info('staged pieces not read: {}', error)
            return False
        return True

    async def _stage_alone(self, held: pieces.Pieces, number: int) -> None:
        async with self._staging:
            await self._stage(held, number)

    async def _stage(self, held: pieces.Pieces, number: int) -> None:
        """Have a piece lie staged, and read it back.

        One that is there already stays: each write is another chance for it
        to be spoilt on the way.
        """
        model = held.manifest.model
        piece = held.get(number)
        lying = await self._engine.staged_piece(model, number)
        if piece is None or lying == piece:
            return
        await self._engine.stage(model, number, piece)
        lying = await self._engine.staged_piece(model, number)
        if lying != piece:
            raise errors.ChunkCorruptError(
                f'piece {number} is spoilt where it was staged',
                step='stage',
                peer=model,
            )


def _now_with_standstill() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
