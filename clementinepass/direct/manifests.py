"""Find the manifest of a version."""

from __future__ import annotations

import asyncio
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.decisions import manifest_round, piece_chains

if typing.TYPE_CHECKING:
    from clementinepass.direct import fetching, weights

#: Seconds for one round. An agent that has no manifest says so after a second;
#: an origin or an agent that is silent must not keep the others from being
#: asked again.
_ROUND_SECONDS = 1.5


class Manifests:
    """Ask for manifests, a round at a time.

    :param view: who else there is.
    """

    __slots__ = ('_rounds_by_version', '_view')

    def __init__(self, view: fetching.View) -> None:
        self._view = view
        #: Rounds that brought nothing.
        self._rounds_by_version: dict[int, int] = {}

    async def find(self, model: str, version: int) -> weights.Manifest:
        """Return the manifest, as the first that was asked has it.

        :raises ContentMissingError: nobody that was asked has it.
        """
        number = self._rounds_by_version.get(version, 0)
        plan = piece_chains.plan_fetch(self._view.question(model, version))
        asked = manifest_round.choose_sources(plan, number)
        found = await self._first(asked, model, version)
        if found is None:
            self._rounds_by_version[version] = number + 1
            raise errors.ContentMissingError(
                f'nobody has the manifest of version {version}',
                step='manifest',
                peer=model,
            )
        self._rounds_by_version.pop(version, None)
        logger.bind(version=version, rounds=number).info('manifest found')
        return found

    async def _first(
        self,
        asked: typing.Iterable[str],
        model: str,
        version: int,
    ) -> weights.Manifest | None:
        """Return the first manifest that comes, and give up the others."""
        asking = [
            asyncio.create_task(self._ask(ip, model, version)) for ip in asked
        ]
        try:
            for answer in asyncio.as_completed(asking, timeout=_ROUND_SECONDS):
                manifest = await answer
                if manifest is not None:
                    return manifest
        except TimeoutError:
            logger.bind(version=version).info('no manifest: a round is over')
        finally:
            for one in asking:
                one.cancel()
        return None

    async def _ask(
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
