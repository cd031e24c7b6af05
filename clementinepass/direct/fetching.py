"""Get the missing pieces of a version, from whoever has them.

Each agent asks the one before it in its chain, in the order in which pieces
come there.  Where they don't come, agents ask others, and only for what those
say that they have.  The link is the engine's too, so few pieces are on it at
once; more would hold up the prompts and events behind them.
"""

from __future__ import annotations

import asyncio
import contextlib
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.decisions import piece_chains

if typing.TYPE_CHECKING:
    from clementinepass.direct import pieces, weights

#: Pieces asked for at once of one agent. It sends one at a time, so that only
#: one is on the link; the others wait there so that it goes on without a
#: pause, though questions and answers queue behind the pieces on both links.
#: Measured with ten agents: with two a piece took 76 ms, with five 60 ms.
_ASKED_OF_AGENT = 5
#: The same of several sources, which send at the same time: with six on their
#: way half of the answers were late behind them, with two a tenth.
_ASKED_OF_SEVERAL = 2
#: Seconds without a piece after which others are asked, and then the origin.
#: Pieces come each sixth of a second where links are slowed to a third.
_ANYONE_AFTER = 0.6
_ORIGIN_AFTER = 1.5
#: Seconds between questions to the source for the pieces that it has.
_PAUSE_SECONDS = 0.02
#: Seconds between looks when nothing came.
_LOOK_SECONDS = 0.2
#: Other agents that are watched once pieces don't come as they are meant to.
_MOST_WATCHED = 12


class View(typing.Protocol):
    """What getting pieces asks of the rest of the agent."""

    def question(self, model: str, version: int) -> piece_chains.Question:
        """Return what choosing a source needs."""

    def source(self, ip: str) -> weights.Source | None:
        """Return a source by its IP number, or the origin."""

    def wanted(self) -> tuple[str, int]:
        """Return the model and the version whose pieces to get now."""


class Fetching:
    """Get the pieces of one version.

    :param held: the pieces that are here; those missing are added.
    """

    def __init__(self, held: pieces.Pieces, view: View) -> None:
        self._held = held
        self._view = view
        self._has_by_ip: dict[str, frozenset[int]] = {}
        self._watchers_by_ip: dict[str, asyncio.Task[None]] = {}
        self._on_way: dict[int, asyncio.Task[None]] = {}
        self._asked_of: dict[str, int] = {}
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

    # What to get next.

    def _start(self) -> None:
        """Ask for pieces until enough are on their way."""
        question = self._question()
        plan = piece_chains.plan(question)
        sources = self._sources(question, plan)
        as_planned = sources == plan.sources
        most = _most_asked(sources, as_planned=as_planned)
        numbers = self._held.missing
        if not plan.ascending:
            numbers.reverse()
        for number in numbers:
            if len(self._on_way) >= most:
                return
            ip = self._source_of(number, sources, as_planned=as_planned)
            if ip is not None:
                self._asked_of[ip] = self._asked_of.get(ip, 0) + 1
                self._on_way[number] = asyncio.create_task(
                    self._get(ip, number),
                )

    def _sources(
        self,
        question: piece_chains.Question,
        plan: piece_chains.Plan,
    ) -> tuple[str, ...]:
        """Return whom to ask now, and watch what they have."""
        waited = asyncio.get_running_loop().time() - self._progress
        if waited <= _ANYONE_AFTER:
            return plan.sources
        others = piece_chains.anyone(question)[:_MOST_WATCHED]
        sources = (*plan.sources, *others)
        if waited > _ORIGIN_AFTER:
            sources = (*sources, piece_chains.ORIGIN)
        holders = {peer.ip for peer in question.peers if peer.holds}
        for ip in sources:
            if ip in holders:
                every = range(len(self._held.manifest.digests))
                self._has_by_ip[ip] = frozenset(every)
            elif ip != piece_chains.ORIGIN and ip not in self._watchers_by_ip:
                self._watchers_by_ip[ip] = asyncio.create_task(
                    self._follow(ip),
                )
        return sources

    def _source_of(
        self,
        number: int,
        sources: tuple[str, ...],
        *,
        as_planned: bool,
    ) -> str | None:
        """Return where to get a piece from now; ``None`` to wait.

        The agent before in the chain is asked for pieces that it doesn't
        have yet, and sends each as it comes: to ask for what is there takes
        a question and an answer more, each behind a piece on the link.
        """
        if number in self._on_way:
            return None
        able = [
            ip
            for ip in sources
            if (ip, number) not in self._avoided
            and (
                as_planned
                or ip == piece_chains.ORIGIN
                or number in self._has_by_ip.get(ip, ())
            )
        ]
        return min(able, key=self._asked, default=None)

    def _asked(self, ip: str) -> int:
        return self._asked_of.get(ip, 0)

    def _question(self) -> piece_chains.Question:
        manifest = self._held.manifest
        return self._view.question(manifest.model, manifest.version)

    # Who has what.

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
                await asyncio.sleep(_LOOK_SECONDS)
            if known != self._has_by_ip.get(ip):
                self._has_by_ip[ip] = known
                self._changed.set()
            await asyncio.sleep(_PAUSE_SECONDS)

    # Getting a piece.

    async def _get(self, ip: str, number: int) -> None:
        try:
            if await self._get_from(ip, number):
                self._progress = asyncio.get_running_loop().time()
                self._avoided.clear()
            else:
                self._avoided.add((ip, number))
        finally:
            self._ended(ip, number)

    def _ended(self, ip: str, number: int) -> None:
        self._on_way.pop(number, None)
        self._asked_of[ip] -= 1
        self._changed.set()

    async def _get_from(self, ip: str, number: int) -> bool:
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
            )
        except errors.ClementinepassError as error:
            marked.info('piece not got: {}', error)
            await asyncio.sleep(_LOOK_SECONDS)
            return False
        if piece is None:
            return False
        if not self._held.take(number, piece):
            marked.warning('piece is spoilt')
            return False
        if ip == piece_chains.ORIGIN:
            self.from_origin += len(piece)
        else:
            self.from_agents += len(piece)
        return True

    def _superseded(self) -> bool:
        manifest = self._held.manifest
        return self._view.wanted() != (manifest.model, manifest.version)


def _most_asked(sources: tuple[str, ...], *, as_planned: bool) -> int:
    """Return how many pieces to ask for at once."""
    if piece_chains.ORIGIN in sources or not as_planned:
        return _ASKED_OF_SEVERAL
    return _ASKED_OF_AGENT
