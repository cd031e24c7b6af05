"""Get the missing pieces of a version, from whoever has them.

Each agent asks its sources in the order in which pieces come there, and before
they are there.  Pieces that enter the region at this agent go first, since
others wait for them, and their source may be gone at any moment.  Where nothing
comes for a moment it goes by what its sources say that they have, and asks
another of its region, too.  The link is the engine's as well, so few pieces
are on it at once; more would hold up the prompts and events behind them.
"""

from __future__ import annotations

import asyncio
import contextlib
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.decisions import piece_chains
from clementinepass.direct import chain_order, suppliers

if typing.TYPE_CHECKING:
    from clementinepass.direct import pieces, weights

#: Pieces asked for at once of one agent. It sends one at a time, so that only
#: one is on the link; the others wait there so that it goes on without a
#: pause, though questions and answers queue behind the pieces on both links.
_ASKED_OF_AGENT = 5
#: The same of several sources, which send at the same time: more of them hold
#: up the engine's prompts and events.
_ASKED_OF_SEVERAL = 2
#: The same of an agent, beside pieces that enter the region here and don't fill
#: the link, so that the rest of it isn't idle.
_ASKED_BESIDE = 1
#: Pieces asked for that the source doesn't have yet, where what it has is
#: followed: the next one and one behind it.
_ASKED_AHEAD = 2
#: Seconds without a piece after which the origin and all agents are asked,
#: and the same for each agent before in the chain. The origin has to send to
#: two; where all agents turn to it none is done in time.
_LOST = 8.0
_LOST_EACH = 1.0
#: Pieces by which a source is ahead that show the link here to be slow.
_FAR_AHEAD = 4
#: Seconds of one piece from an agent that show a link to be congested.
_CONGESTED_PIECE = 0.4
#: Seconds that pieces on their way may keep the link busy.
_QUEUE_SECONDS = 0.3
#: Seconds between questions to a source that has nothing new.
_PAUSE_SECONDS = 0.03
#: Seconds between looks when nothing came, and after a failure.
_LOOK_SECONDS = 0.1
_FAILED_PAUSE = 0.2


class View(typing.Protocol):
    """What getting pieces asks of the rest of the agent."""

    def question(self, model: str, version: int) -> piece_chains.PlanInput:
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
        self._suppliers = suppliers.Suppliers(view.source)
        self._plan: piece_chains.FetchPlan | None = None
        #: Whether to get pieces from those whose engines have the version.
        self._by_holders = False
        self._changed = asyncio.Event()
        self._order = chain_order.ChainOrder(
            asyncio.get_running_loop().time(),
        )
        #: Bytes got from the origin and from agents.
        self.from_origin = 0
        self.from_agents = 0

    async def run(self) -> None:
        """Get all missing pieces, or end when another version is wanted."""
        try:
            while self._held.missing and not self._superseded():
                self._start(asyncio.get_running_loop().time())
                self._changed.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(_LOOK_SECONDS):
                        await self._changed.wait()
        finally:
            self._suppliers.cancel()
            self._held.fetch_ended()

    # What to get next.

    def _start(self, now: float) -> None:
        """Ask for pieces until enough are on their way."""
        self._suppliers.judge(now, self._count_to_keep_up())
        question = self._question(now)
        plan = piece_chains.plan_fetch(question)
        self._follow_plan(plan, now)
        if self._order.gives_up(now):
            self._by_holders = True
            logger.bind(
                sources=plan.sources,
                partners=plan.fallback_ips[:1],
                missing=len(self._held.missing),
            ).info('pieces stalled')
        if self._order.is_given_up:
            self._ask_for_held(question, plan, now)
        else:
            self._ask_in_order(plan, now)

    def _follow_plan(self, plan: piece_chains.FetchPlan, now: float) -> None:
        """Begin anew where pieces come from others than before."""
        if self._plan is not None and plan.sources != self._plan.sources:
            logger.bind(
                sources=plan.sources,
                before=self._plan.sources,
                missing=len(self._held.missing),
            ).info('sources changed')
            self._order.begin_anew(now)
        self._plan = plan

    def _ask_in_order(self, plan: piece_chains.FetchPlan, now: float) -> None:
        """Ask the planned sources for what comes next in their order.

        They are asked before they have it, and send each piece as it comes:
        to ask for what is there takes a question and an answer more, each
        behind a piece on the link.
        """
        read = [
            one for one in plan.groups if piece_chains.ORIGIN in one.sources
        ]
        entering = [
            one for one in plan.groups if one.enters_region and one not in read
        ]
        beside = _ASKED_OF_AGENT
        if self._ask_urgent(read, now):
            beside = _ASKED_BESIDE if plan.has_spare_bandwidth else 0
        elif self._ask_urgent(entering, now):
            beside = _ASKED_BESIDE
        for relayed in plan.groups:
            if not relayed.enters_region and beside:
                most = min(self._most_asked(_most_asked_in([relayed])), beside)
                self._ask_lane(relayed, most, now)

    def _ask_urgent(
        self, lanes: list[piece_chains.PieceGroup], now: float
    ) -> bool:
        """Ask for what others wait for; tell whether it comes."""
        most = self._most_asked(_most_asked_in(lanes))
        for lane in lanes:
            self._ask_lane(lane, most, now)
        return any(self._flows(one, now) for one in lanes)

    def _ask_lane(
        self, lane: piece_chains.PieceGroup, most: int, now: float
    ) -> None:
        """Ask for the next pieces of a lane.

        :param most: how many may be on their way from its sources.
        """
        able = self._suppliers.usable(lane.sources, now)
        most_in_all = self._most_asked(_ASKED_OF_AGENT)
        for number in filter(lane.contains, self._in_order()):
            asked = sum(len(one.on_way) for one in able)
            if not able or asked >= most:
                return
            if len(self._suppliers.on_way()) >= most_in_all:
                return
            self._ask(min(able, key=_next_after), number, now)

    def _flows(self, lane: piece_chains.PieceGroup, now: float) -> bool:
        """Tell whether pieces of a lane are still coming, and fast.

        Where they come slowly the others are asked, too: if theirs are slow
        as well, it is the link here, and another is to head the stripe.
        """
        if not any(map(lane.contains, self._held.missing)):
            return False
        return any(
            one.flows(now) and one.piece_seconds <= suppliers.SLOW_PIECE
            for one in self._suppliers.usable(lane.sources, now)
        )

    def _ask_for_held(
        self,
        question: piece_chains.PlanInput,
        plan: piece_chains.FetchPlan,
        now: float,
    ) -> None:
        """Ask for what sources say that they have."""
        sources = self._sources(plan, now)
        self._learn(question, sources)
        ordered = self._in_order()
        self._ask_known(sources, ordered, now)
        for one in sources:
            if one.ip == piece_chains.ORIGIN:
                self._ask_origin(one, ordered, sources, now)
        agents = [each for each in sources if each.ip != piece_chains.ORIGIN]
        self._ask_ahead(agents[:1], now)

    def _ask_known(
        self,
        sources: list[suppliers.Supplier],
        ordered: list[int],
        now: float,
    ) -> None:
        """Ask for pieces that sources are known to have."""
        room = self._most_asked(_ASKED_OF_SEVERAL)
        room -= sum(len(one.has.intersection(one.on_way)) for one in sources)
        for number in ordered:
            if room <= 0:
                return
            able = [one for one in sources if number in one.has]
            if able:
                self._ask(min(able, key=_next_after), number, now)
                room -= 1

    def _ask_ahead(
        self,
        sources: list[suppliers.Supplier],
        now: float,
    ) -> None:
        """Ask for what comes next in the order of the chain besides.

        So that pieces flow without a pause again once there are new ones.
        """
        for one in sources:
            ahead = [each for each in one.on_way if each not in one.has]
            most = self._most_asked(_ASKED_AHEAD) - len(ahead)
            for number in self._in_order()[: max(most, 0)]:
                if number not in one.has:
                    self._ask(one, number, now)

    def _ask_origin(
        self,
        origin: suppliers.Supplier,
        ordered: list[int],
        sources: list[suppliers.Supplier],
        now: float,
    ) -> None:
        """Ask the origin for pieces that nobody else has."""
        elsewhere = frozenset().union(*(one.has for one in sources))
        for number in ordered:
            if len(origin.on_way) >= _ASKED_OF_SEVERAL:
                return
            if number not in elsewhere:
                self._ask(origin, number, now)

    def _sources(
        self,
        plan: piece_chains.FetchPlan,
        now: float,
    ) -> list[suppliers.Supplier]:
        """Return whom to ask for what they have."""
        partners = self._suppliers.usable(plan.fallback_ips, now)[:1]
        found = [*self._suppliers.usable(plan.sources, now), *partners]
        if now - self._order.progress > _LOST + plan.position * _LOST_EACH:
            others = (*plan.all_peer_ips, piece_chains.ORIGIN)
            found.extend(
                one
                for one in self._suppliers.usable(others, now)
                if one not in found
            )
        return found

    def _in_order(self) -> list[int]:
        """Return the numbers to ask for, in the order in which they come."""
        on_way = self._suppliers.on_way()
        return [one for one in self._missing() if one not in on_way]

    def _missing(self) -> list[int]:
        """Return the missing numbers in the order in which they come."""
        missing = self._held.missing
        return (
            missing
            if self._plan is None
            else self._plan.in_fetch_order(missing)
        )

    def _question(self, now: float) -> piece_chains.PlanInput:
        """Return who there is, and who is passed over."""
        manifest = self._held.manifest
        question = self._view.question(manifest.model, manifest.version)
        if self._plan is None:
            self._by_holders = any(peer.has_version for peer in question.peers)
        avoided = self._suppliers.passed_over(now)
        return question._replace(
            peers=question.peers if self._by_holders else _newcomers(question),
            excluded_ips=avoided,
        )

    def _count_to_keep_up(self) -> int:
        """Return how many pieces sources should have, more or less.

        Where pieces come in stripes, those before wait for other pieces than
        this agent has, and say so themselves when their link is slow.
        """
        is_striped = self._plan is not None and self._plan.is_striped
        return 0 if is_striped else len(self._held.numbers)

    def _most_asked(self, most: int) -> int:
        """Return how many pieces to ask for at once.

        Failure: on a link narrowed to a quarter five pieces take more than a
        second, and prompts that queue behind them reach the engine after
        their callers have left. Fewer are asked for the slower they come.
        """
        return max(
            min(most, round(_QUEUE_SECONDS / self._suppliers.piece_seconds)), 1
        )

    # Who has what.

    def _learn(
        self,
        question: piece_chains.PlanInput,
        sources: list[suppliers.Supplier],
    ) -> None:
        """Follow what sources have; those whose engine has it have all."""
        holders = {peer.ip for peer in question.peers if peer.has_version}
        for one in sources:
            if one.ip in holders:
                one.has = frozenset(range(len(self._held.manifest.digests)))
            elif one.ip != piece_chains.ORIGIN and one.watcher is None:
                one.watcher = asyncio.create_task(self._watch(one))

    async def _watch(self, one: suppliers.Supplier) -> None:
        loop = asyncio.get_running_loop()
        manifest = self._held.manifest
        while True:
            one.asked(loop.time())
            try:
                holding = await one.source.numbers(
                    manifest.model,
                    manifest.version,
                    len(one.has),
                )
            except errors.ClementinepassError as error:
                self._failed(one, error)
                await asyncio.sleep(_FAILED_PAUSE)
                continue
            one.answered(
                loop.time(),
                slow=holding.slow,
                count=holding.total,
            )
            if holding.numbers != one.has:
                one.has = holding.numbers
                self._changed.set()
            await asyncio.sleep(_PAUSE_SECONDS)

    # Getting a piece.

    def _ask(self, one: suppliers.Supplier, number: int, now: float) -> None:
        one.asked(now)
        one.on_way[number] = asyncio.create_task(self._get(one, number))

    async def _get(self, one: suppliers.Supplier, number: int) -> None:
        try:
            piece = await self._get_from(one, number)
        except errors.ClementinepassError as error:
            self._failed(one, error)
            await asyncio.sleep(_FAILED_PAUSE)
        else:
            if piece is None:
                await asyncio.sleep(_PAUSE_SECONDS)
        finally:
            if one.on_way.get(number) is asyncio.current_task():
                one.done(number)
            self._changed.set()

    async def _get_from(
        self,
        one: suppliers.Supplier,
        number: int,
    ) -> weights.Piece | None:
        manifest = self._held.manifest
        piece = await one.source.piece(
            manifest.model,
            manifest.version,
            number,
        )
        now = asyncio.get_running_loop().time()
        one.answered(now, slow=piece.slow, count=piece.others)
        if piece.payload is None:
            return None
        expected = self._missing()
        if not self._held.take(number, piece.payload):
            logger.bind(piece=number, source=one.ip or 'origin').warning(
                'piece is spoilt',
            )
            return None
        self._order.came(number, expected, now)
        self._came(one, piece)
        return piece

    def _came(
        self,
        one: suppliers.Supplier,
        piece: weights.Piece,
    ) -> None:
        """Note how long pieces take on the link.

        Where they take long though the source has more, or from several
        sources, the link here is slow, and this agent is no source for others.
        Time in which a source sends to others isn't counted: it ends before
        the answer begins.

        Failure: the link of an agent that read a stripe from the origin was
        narrowed to an eighth. Nothing told it from an origin that is slow, and
        all others waited for that stripe until the version's bound.
        """
        one.took(piece.seconds, asyncio.get_running_loop().time())
        ahead = (piece.others or 0) - len(self._held.numbers)
        has_evidence = ahead > _FAR_AHEAD or self._suppliers.several_bring()
        self._held.slow = (
            self._suppliers.piece_seconds > suppliers.SLOW_PIECE
            and has_evidence
            and not piece.slow
        )
        self._note_congestion(one, piece)
        if one.ip == piece_chains.ORIGIN:
            self.from_origin += len(piece.payload or b'')
        else:
            self.from_agents += len(piece.payload or b'')

    def _note_congestion(
        self,
        one: suppliers.Supplier,
        piece: weights.Piece,
    ) -> None:
        """Note at the first slow piece that the link may be narrow.

        Agents send pieces at the pace of a sound link. Only a fast piece takes
        it back, from whichever source.

        Failure: a narrowed link was told to entries three seconds late, as
        its one source had no more pieces than this agent, and was taken for
        sound again as soon as pieces came from the origin. Requests sent there
        reached the engine after their callers had left.
        """
        is_agent = one.ip != piece_chains.ORIGIN
        if is_agent and piece.seconds > _CONGESTED_PIECE and not piece.slow:
            self._held.is_congested = True
        elif piece.seconds < suppliers.SLOW_PIECE:
            self._held.is_congested = False

    def _failed(self, one: suppliers.Supplier, error: Exception) -> None:
        one.failures += 1
        self._changed.set()
        if one.failures == 1:
            logger.bind(source=one.ip or 'origin').info('no answer: {}', error)

    def _superseded(self) -> bool:
        manifest = self._held.manifest
        return self._view.wanted() != (manifest.model, manifest.version)


def _newcomers(
    question: piece_chains.PlanInput,
) -> list[piece_chains.Agent]:
    """Return all peers as if no engine had the version yet.

    Failure: as soon as one engine had loaded a version, all agents of other
    regions that lacked some pieces turned to the one beside it.
    """
    return [peer._replace(has_version=False) for peer in question.peers]


def _most_asked_in(lanes: list[piece_chains.PieceGroup]) -> int:
    """Return how many pieces to ask for at once of the sources of each lane.

    Failure: an agent alone in its region got one stripe after the other, each
    at half of its link's rate, and had all after 8.0 s in place of 5.4 s.
    """
    every = [source for lane in lanes for source in lane.sources]
    if len(every) > 1 or piece_chains.ORIGIN in every:
        return _ASKED_OF_SEVERAL
    return _ASKED_OF_AGENT


def _next_after(one: suppliers.Supplier) -> float:
    return one.next_after
