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
#: Seconds without a piece after which its source is passed over. Pieces come
#: each sixth of a second where links are slowed to a third.
_SILENT_AFTER = 0.6
#: The same for each agent before in the chain: a break silences all behind it,
#: and only the one next to it has to look elsewhere.
_SILENT_EACH = 0.2
#: Pieces in a row that the source doesn't have and won't wait for, after
#: which it is passed over too.
_REFUSALS = 4
#: Seconds between pieces, twice the usual, and pieces by which the source is
#: ahead, that show this agent's own link to be slow.
_SLOW_GAP = 0.13
_FAR_AHEAD = 6
#: Seconds for which it is passed over: the time for its machine to wake, or
#: for the list to drop it.
_PASSED_OVER = 5.0
#: Sources in a row that were silent, after which all agents are asked, and
#: after which the origin is asked too.
_ROUNDS_TO_ANYONE = 2
_ROUNDS_TO_ORIGIN = 3
#: Seconds that pieces on their way may keep the link busy.
_QUEUE_SECONDS = 0.3
#: Seconds between pieces: at first, and the longest that is learnt from.
_USUAL_GAP = 0.06
_LONGEST_GAP = 0.6
#: The weight of a new gap; the last four or so count.
_GAIN = 0.25
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
        self._gap = _USUAL_GAP
        self._rounds = 0
        self._source_ahead = 0
        self._refusals = 0
        self._silent_until_by_ip: dict[str, float] = {}
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
        now = asyncio.get_running_loop().time()
        refused = self._refusals >= _REFUSALS and self._rounds == 0
        patience = _SILENT_AFTER + plan.place * _SILENT_EACH
        if refused or now - self._progress > patience:
            self._pass_over(plan, now)
            question = self._question()
            plan = piece_chains.plan(question)
        sources = self._sources(question, plan)
        as_planned = sources == plan.sources
        most = self._most_asked(sources, as_planned=as_planned)
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

    def _pass_over(self, plan: piece_chains.Plan, now: float) -> None:
        """Give up sources that sent nothing for a while.

        Failure: a machine in the middle of a chain stood still, or had its
        link narrowed to a quarter, and all agents behind it waited. Without
        it, the next one has another before it. The origin, which has no other
        in its place, leaves the agents.
        """
        self._progress = now
        self._refusals = 0
        self._rounds += 1
        if plan.sources == (piece_chains.ORIGIN,):
            self._rounds = max(self._rounds, _ROUNDS_TO_ANYONE)
        for ip in plan.sources:
            self._silent_until_by_ip[ip] = now + _PASSED_OVER
        logger.bind(
            sources=plan.sources,
            rounds=self._rounds,
            missing=len(self._held.missing),
        ).info('sources silent')

    def _sources(
        self,
        question: piece_chains.Question,
        plan: piece_chains.Plan,
    ) -> tuple[str, ...]:
        """Return whom to ask now, and watch what they have."""
        if self._rounds < _ROUNDS_TO_ANYONE:
            return plan.sources
        others = piece_chains.anyone(question)[:_MOST_WATCHED]
        sources = (*plan.sources, *others)
        if self._rounds >= _ROUNDS_TO_ORIGIN:
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
        """Return who there is, without those that were silent just now."""
        manifest = self._held.manifest
        question = self._view.question(manifest.model, manifest.version)
        now = asyncio.get_running_loop().time()
        return question._replace(
            peers=[
                peer
                for peer in question.peers
                if self._silent_until_by_ip.get(peer.ip, 0) <= now
            ],
        )

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
                self._came(asyncio.get_running_loop().time())
            else:
                self._avoided.add((ip, number))
                self._refusals += 1
        finally:
            self._ended(ip, number)

    def _came(self, now: float) -> None:
        """Note how far apart pieces come while some are on their way."""
        gap = min(now - self._progress, _LONGEST_GAP)
        self._gap += _GAIN * (gap - self._gap)
        self._held.slow = (
            self._gap > _SLOW_GAP and self._source_ahead > _FAR_AHEAD
        )
        self._progress = now
        self._rounds = 0
        self._refusals = 0
        self._avoided.clear()

    def _most_asked(
        self,
        sources: tuple[str, ...],
        *,
        as_planned: bool,
    ) -> int:
        """Return how many pieces to ask for at once.

        Failure: on a link narrowed to a quarter five pieces take more than a
        second, and prompts that queue behind them reach the engine after
        their callers have left. Fewer are asked for the slower they come.
        """
        most = _ASKED_OF_AGENT
        if piece_chains.ORIGIN in sources or not as_planned:
            most = _ASKED_OF_SEVERAL
        return max(min(most, round(_QUEUE_SECONDS / self._gap)), 1)

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
        if not self._held.take(number, piece.payload):
            marked.warning('piece is spoilt')
            return False
        self._source_ahead = piece.others - len(self._held.numbers)
        if ip == piece_chains.ORIGIN:
            self.from_origin += len(piece.payload)
        else:
            self.from_agents += len(piece.payload)
        return True

    def _superseded(self) -> bool:
        manifest = self._held.manifest
        return self._view.wanted() != (manifest.model, manifest.version)
