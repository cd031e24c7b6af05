"""Get the missing pieces of a version, from whoever has them.

Agents tell one another which pieces they have, and ask only for what is
there: a piece that is waited for costs a connection, one that is on its way
costs the link.  The link is the engine's too, so few pieces are on their way
at once; more would hold up the prompts and events behind them.
"""

from __future__ import annotations

import asyncio
import contextlib
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.decisions import piece_sources

if typing.TYPE_CHECKING:
    from clementinepass.direct import pieces, weights

#: Pieces on their way at once. Each takes a twentieth of a second on the
#: link; with fewer some links stand idle, since sources send one at a time.
_ON_THEIR_WAY = 4
#: Pieces on their way from one source.
_FROM_ONE = 2
#: Seconds without a piece after which one is also asked for where it isn't
#: meant to come from: first of agents in other regions, then of the origin.
_ANYONE_AFTER = 0.8
_ORIGIN_AFTER = 1.6
_PAUSE_SECONDS = 0.1
#: Seconds between looks when nothing came.
_LOOK_SECONDS = 0.25
#: Agents of other regions whose pieces are watched.
_MOST_FAR = 6


class View(typing.Protocol):
    """What getting pieces asks of the rest of the agent."""

    def question(
        self,
        model: str,
        version: int,
        number: int,
    ) -> piece_sources.Question:
        """Return what choosing a source for a piece needs."""

    def source(self, ip: str) -> weights.Source | None:
        """Return a source by its IP number, or the origin."""

    def wanted(self) -> tuple[str, int]:
        """Return the model and the version that the engine should have."""


class Fetching:
    """Get the pieces of one version.

    :param held: the pieces that are here; those missing are added.
    :param stage: stages a piece that came.
    """

    def __init__(
        self,
        held: pieces.Pieces,
        view: View,
        stage: typing.Callable[[int, bytes], typing.Awaitable[None]],
    ) -> None:
        self._held = held
        self._view = view
        self._stage = stage
        self._has_by_ip: dict[str, frozenset[int]] = {}
        self._watchers_by_ip: dict[str, asyncio.Task[None]] = {}
        self._on_way_by_ip: dict[str, int] = {}
        self._on_way: dict[int, asyncio.Task[None]] = {}
        self._avoided: set[tuple[str, int]] = set()
        self._changed = asyncio.Event()
        self._progress = asyncio.get_running_loop().time()
        #: Bytes got from the origin and from agents.
        self.from_origin = 0
        self.from_agents = 0

    async def run(self) -> None:
        """Get all missing pieces, or end when another version is wanted."""
        try:
            while self._held.missing and not self._superseded():
                self._watch()
                self._start()
                self._changed.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(_LOOK_SECONDS):
                        await self._changed.wait()
        finally:
            for task in (
                *self._watchers_by_ip.values(),
                *self._on_way.values(),
            ):
                task.cancel()

    # Who has what.

    def _watch(self) -> None:
        """Watch the agents that pieces may come from."""
        manifest = self._held.manifest
        question = self._view.question(manifest.model, manifest.version, 0)
        near = [
            peer
            for peer in question.peers
            if peer.region == question.own.region
        ]
        far = [
            peer
            for peer in question.peers
            if peer.region != question.own.region
        ]
        every = range(len(manifest.digests))
        for peer in (*near, *far[:_MOST_FAR]):
            if peer.holds:
                self._has_by_ip[peer.ip] = frozenset(every)
            elif peer.ip not in self._watchers_by_ip:
                self._watchers_by_ip[peer.ip] = asyncio.create_task(
                    self._follow(peer.ip),
                )

    async def _follow(self, ip: str) -> None:
        manifest = self._held.manifest
        known: frozenset[int] = frozenset()
        while True:
            source = self._view.source(ip)
            try:
                if source is not None:
                    known = await source.numbers(
                        manifest.model,
                        manifest.version,
                        len(known),
                    )
            except errors.ClementinepassError:
                # It has none to give, whatever the reason.
                known = frozenset()
            if known != self._has_by_ip.get(ip):
                self._has_by_ip[ip] = known
                self._changed.set()
            await asyncio.sleep(_PAUSE_SECONDS)

    # What to get next.

    def _start(self) -> None:
        """Ask for pieces until enough are on their way.

        First for those that enter the region here: others wait for them.
        """
        entering: list[int] = []
        others: list[int] = []
        for number in self._held.missing:
            if number not in self._on_way:
                enters = piece_sources.enters_here(self._question(number))
                (entering if enters else others).append(number)
        self._start_some(entering, first=True)
        self._start_some(others, first=False)

    def _start_some(self, numbers: list[int], *, first: bool) -> None:
        for number in numbers:
            if len(self._on_way) >= _ON_THEIR_WAY:
                return
            ip = self._source_of(number)
            if ip is not None:
                self._on_way_by_ip[ip] = self._on_way_by_ip.get(ip, 0) + 1
                self._on_way[number] = asyncio.create_task(
                    self._get(ip, number, first=first),
                )

    def _source_of(self, number: int) -> str | None:
        """Return where to get a piece from now; ``None`` to wait."""
        question = self._question(number)
        waited = asyncio.get_running_loop().time() - self._progress
        order = piece_sources.sources(
            question,
            anyone=waited > _ANYONE_AFTER,
            origin=waited > _ORIGIN_AFTER,
        )
        free = [ip for ip in order if self._may_give(ip, number)]
        return free[0] if free else None

    def _question(self, number: int) -> piece_sources.Question:
        manifest = self._held.manifest
        return self._view.question(manifest.model, manifest.version, number)

    def _may_give(self, ip: str, number: int) -> bool:
        if (ip, number) in self._avoided:
            return False
        if self._on_way_by_ip.get(ip, 0) >= _FROM_ONE:
            return False
        return ip == piece_sources.ORIGIN or (
            number in self._has_by_ip.get(ip, ())
        )

    async def _get(self, ip: str, number: int, *, first: bool) -> None:
        try:
            if await self._get_from(ip, number, first=first):
                self._progress = asyncio.get_running_loop().time()
                self._avoided.clear()
            else:
                self._avoided.add((ip, number))
        finally:
            self._arrived(ip, number)

    def _arrived(self, ip: str, number: int) -> None:
        self._on_way.pop(number, None)
        self._on_way_by_ip[ip] -= 1
        self._changed.set()

    async def _get_from(self, ip: str, number: int, *, first: bool) -> bool:
        manifest = self._held.manifest
        source = self._view.source(ip)
        if source is None:
            return False
        marked = logger.bind(piece=number, source=ip or 'origin')
        try:
            piece = await source.piece(
                manifest.model,
                manifest.version,
                number,
                first=first,
            )
            if piece is None:
                return False
            if not self._held.take(number, piece):
                marked.warning('piece is spoilt')
                return False
            await self._stage(number, piece)
        except errors.ClementinepassError as error:
            marked.info('piece not got: {}', error)
            return False
        if ip == piece_sources.ORIGIN:
            self.from_origin += len(piece)
        else:
            self.from_agents += len(piece)
        return True

    def _superseded(self) -> bool:
        manifest = self._held.manifest
        return self._view.wanted() != (manifest.model, manifest.version)
