"""Bring an engine to the version that the operator named.

Pieces are got, checked and staged; all of them are read back and checked
again right before the order, since what lies staged may rot; then the engine
is ordered to load, on the condition that nobody else has ordered meanwhile.
"""

from __future__ import annotations

import asyncio
import time
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.decisions import piece_sources
from clementinepass.direct import fetching, pieces, weights

if typing.TYPE_CHECKING:
    from collections.abc import Callable

#: Seconds from the first piece read back to the order, by a clock that also
#: counts time in which the machine stood still. Pieces may have turned bad
#: since they were read; the rules excuse three seconds.
_FRESH_SECONDS = 2.2


class Loading:
    """Bring one engine to one version after the other.

    :param engine: the engine on this machine.
    :param view: who else there is, and what is wanted.
    """

    __slots__ = ('_engine', '_on_order', '_pieces', '_view')

    def __init__(
        self,
        engine: weights.Engine,
        view: fetching.View,
        on_order: Callable[[], None],
    ) -> None:
        self._engine = engine
        self._view = view
        self._on_order = on_order
        self._pieces: pieces.Pieces | None = None

    @property
    def begun(self) -> pieces.Pieces | None:
        """Return the pieces of the version begun last."""
        return self._pieces

    def pieces_of(self, model: str, version: int) -> pieces.Pieces | None:
        """Return the pieces of a version that are here or on their way."""
        held = self._pieces
        if held is None:
            return None
        known = (held.manifest.model, held.manifest.version)
        return held if known == (model, version) else None

    async def bring(self, model: str, version: int) -> None:
        """Get and stage a version, then order it.

        Returns early when another version is wanted meanwhile.

        :raises ClementinepassError: the engine or all sources failed.
        """
        held = await self._manifest(model, version)
        await self._take_staged(held)
        logger.bind(
            model=model,
            version=version,
            missing=len(held.missing),
        ).info('getting pieces')
        await self._get_missing(held)
        if held.missing or self._view.wanted() != (model, version):
            return
        await self._order(held)

    async def _manifest(self, model: str, version: int) -> pieces.Pieces:
        known = self.pieces_of(model, version)
        if known is not None:
            return known
        asked = self._view.question(model, version, 0)
        ips = [piece_sources.ORIGIN, *(peer.ip for peer in asked.peers)]
        for ip in ips:
            manifest = await self._ask_manifest(ip, model, version)
            if manifest is not None:
                self._pieces = pieces.Pieces(manifest)
                return self._pieces
        raise errors.ContentMissingError(
            f'nobody has the manifest of version {version}',
            step='manifest',
            peer=model,
        )

    async def _ask_manifest(
        self,
        ip: str,
        model: str,
        version: int,
    ) -> weights.Manifest | None:
        source = self._view.source(ip)
        if source is None:
            return None
        try:
            return await source.manifest(model, version)
        except errors.ClementinepassError as error:
            logger.bind(version=version).info('no manifest: {}', error)
            return None

    async def _take_staged(self, held: pieces.Pieces) -> None:
        """Keep staged pieces that this version has too."""
        model = held.manifest.model
        staged = await self._engine.staged(model)
        for number in held.missing:
            if number in staged:
                piece = await self._engine.staged_piece(model, number)
                if piece is not None:
                    held.take(number, piece)

    async def _get_missing(self, held: pieces.Pieces) -> None:
        async def stage(number: int, piece: bytes) -> None:  # noqa: WPS430
            await self._engine.stage(held.manifest.model, number, piece)

        fetch = fetching.Fetching(held, self._view, stage)
        begun = asyncio.get_running_loop().time()
        try:
            await fetch.run()
        finally:
            logger.bind(
                version=held.manifest.version,
                missing=len(held.missing),
                from_origin=fetch.from_origin,
                from_agents=fetch.from_agents,
                seconds=round(asyncio.get_running_loop().time() - begun, 3),
            ).info('pieces got')

    def _superseded(self, held: pieces.Pieces) -> bool:
        manifest = held.manifest
        return self._view.wanted() != (manifest.model, manifest.version)

    async def _order(self, held: pieces.Pieces) -> None:
        """Check all that is staged once more, then order at once."""
        manifest = held.manifest
        begun = _now_with_standstill()
        report = await self._engine.report()
        for number, _ in enumerate(manifest.digests):
            await self._check_staged(held, number)
        if self._superseded(held):
            return
        self._on_order()
        if _now_with_standstill() - begun > _FRESH_SECONDS:
            logger.bind(version=manifest.version).info('checked too long ago')
            return
        ordered = await self._engine.load(
            manifest.model,
            manifest.version,
            report,
        )
        logger.bind(
            version=manifest.version,
            orders=report.orders,
            active=report.active,
            answer=ordered.value,
        ).info('ordered to load')

    async def _check_staged(self, held: pieces.Pieces, number: int) -> None:
        """Read a staged piece back; stage it again where it has turned bad."""
        model = held.manifest.model
        piece = await self._engine.staged_piece(model, number)
        if piece is not None and held.fits(number, piece):
            return
        good = held.get(number)
        if good is not None:
            logger.bind(piece=number).warning('staged piece was spoilt')
            await self._engine.stage(model, number, good)


def _now_with_standstill() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)
