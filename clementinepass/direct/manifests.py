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


class ManifestFinder:
    """Ask for manifests, a round at a time.

    :param view: who else there is.
    """

    __slots__ = ('_context', '_failed_rounds_by_version')

    def __init__(self, context: fetching.FetchContext) -> None:
        self._context = context
        #: Rounds that brought nothing.
        self._failed_rounds_by_version: dict[int, int] = {}

    async def find(self, model: str, version: int) -> weights.Manifest:
        """Return the manifest, as the first that was asked has it.

        :raises ContentMissingError: nobody that was asked has it.
        """
        round_number = self._failed_rounds_by_version.get(version, 0)
        plan = piece_chains.plan(self._context.plan_input(model, version))
        ips = manifest_round.choose(plan, round_number)
        manifest = await self._first_manifest(ips, model, version)
        if manifest is None:
            self._failed_rounds_by_version[version] = round_number + 1
            raise errors.ContentMissingError(
                f'nobody has the manifest of version {version}',
                step='manifest',
                peer=model,
            )
        self._failed_rounds_by_version.pop(version, None)
        logger.bind(version=version, rounds=round_number).info('manifest found')
        return manifest

    async def _first_manifest(
        self,
        ips: typing.Iterable[str],
        model: str,
        version: int,
    ) -> weights.Manifest | None:
        """Return the first manifest that comes, and give up the others."""
        requests = [
            asyncio.create_task(self._request(ip, model, version)) for ip in ips
        ]
        try:
            for response in asyncio.as_completed(
                requests, timeout=_ROUND_SECONDS
            ):
                manifest = await response
                if manifest is not None:
                    return manifest
        except TimeoutError:
            logger.bind(version=version).info('no manifest: a round is over')
        finally:
            for request in requests:
                request.cancel()
        return None

    async def _request(
        self,
        ip: str,
        model: str,
        version: int,
    ) -> weights.Manifest | None:
        source = self._context.source(ip)
        if source is None:
            return None
        try:
            return await source.manifest(model, version)
        except errors.ClementinepassError as error:
            logger.bind(version=version).info('no manifest: {}', error)
            return None
