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
_MAX_IN_FLIGHT_ONE_AGENT = 5
#: The same of several sources, which send at the same time: more of them hold
#: up the engine's prompts and events.
_MAX_IN_FLIGHT_SEVERAL = 2
#: The same of an agent, beside pieces that enter the region here and don't fill
#: the link, so that the rest of it isn't idle.
_MAX_IN_FLIGHT_BESIDE = 1
#: Pieces asked for that the source doesn't have yet, where what it has is
#: followed: the next one and one behind it.
_MAX_IN_FLIGHT_AHEAD = 2
#: Seconds without a piece after which the origin and all agents are asked,
#: and the same for each agent before in the chain. The origin has to send to
#: two; where all agents turn to it none is done in time.
_LOST_SECONDS = 8.0
_LOST_SECONDS_PER_AGENT = 1.0
#: Pieces by which a source is ahead that show the link here to be slow.
_MAX_PIECES_AHEAD = 4
#: Seconds of one piece from an agent that show a link to be congested.
_CONGESTED_PIECE_SECONDS = 0.4
#: Seconds that pieces on their way may keep the link busy.
_QUEUE_SECONDS = 0.3
#: Seconds between questions to a source that has nothing new.
_RETRY_SECONDS = 0.03
#: Seconds between looks when nothing came, and after a failure.
_POLL_SECONDS = 0.1
_FAILURE_PAUSE_SECONDS = 0.2


class FetchContext(typing.Protocol):
    """What getting pieces asks of the rest of the agent."""

    def plan_input(self, model: str, version: int) -> piece_chains.Question:
        """Return what choosing a source needs."""

    def source(self, ip: str) -> weights.Source | None:
        """Return a source by its IP number, or the origin."""

    def version_to_fetch(self) -> tuple[str, int]:
        """Return the model and the version whose pieces to get now."""


class Fetcher:
    """Get the pieces of one version.

    :param held: the pieces that are here; those missing are added.
    """

    def __init__(
        self, version_pieces: pieces.Pieces, context: FetchContext
    ) -> None:
        self._version_pieces = version_pieces
        self._context = context
        self._suppliers = suppliers.Suppliers(context.source)
        self._plan: piece_chains.Plan | None = None
        #: Whether to get pieces from those whose engines have the version.
        self._uses_holders = False
        self._changed = asyncio.Event()
        self._chain_order = chain_order.ChainOrder(
            asyncio.get_running_loop().time(),
        )
        #: Bytes got from the origin and from agents.
        self.from_origin = 0
        self.from_agents = 0

    async def run(self) -> None:
        """Get all missing pieces, or end when another version is wanted."""
        try:
            while self._version_pieces.missing and not self._is_superseded():
                self._request_more(asyncio.get_running_loop().time())
                self._changed.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(_POLL_SECONDS):
                        await self._changed.wait()
        finally:
            self._suppliers.cancel()
            self._version_pieces.clear_link_state()

    # What to get next.

    def _request_more(self, now: float) -> None:
        """Ask for pieces until enough are on their way."""
        self._suppliers.skip_faulty(now, self._reference_piece_count())
        plan_input = self._plan_input(now)
        plan = piece_chains.plan(plan_input)
        self._apply_plan(plan, now)
        if self._chain_order.suspend_if_stalled(now):
            self._uses_holders = True
            logger.bind(
                sources=plan.sources,
                partners=plan.partners[:1],
                missing=len(self._version_pieces.missing),
            ).info('pieces stalled')
        if self._chain_order.is_suspended:
            self._request_available(plan_input, plan, now)
        else:
            self._request_in_order(plan, now)

    def _apply_plan(self, plan: piece_chains.Plan, now: float) -> None:
        """Begin anew where pieces come from others than before."""
        if self._plan is not None and plan.sources != self._plan.sources:
            logger.bind(
                sources=plan.sources,
                before=self._plan.sources,
                missing=len(self._version_pieces.missing),
            ).info('sources changed')
            self._chain_order.reset(now)
        self._plan = plan

    def _request_in_order(self, plan: piece_chains.Plan, now: float) -> None:
        """Ask the planned sources for what comes next in their order.

        They are asked before they have it, and send each piece as it comes:
        to ask for what is there takes a question and an answer more, each
        behind a piece on the link.
        """
        from_origin = [
            lane for lane in plan.lanes if piece_chains.ORIGIN in lane.sources
        ]
        entering = [
            lane
            for lane in plan.lanes
            if lane.enters and lane not in from_origin
        ]
        limit = _MAX_IN_FLIGHT_ONE_AGENT
        if self._request_entering(from_origin, now):
            limit = _MAX_IN_FLIGHT_BESIDE if plan.has_room else 0
        elif self._request_entering(entering, now):
            limit = _MAX_IN_FLIGHT_BESIDE
        for relayed in plan.lanes:
            if not relayed.enters and limit:
                lane_limit = min(
                    self._limit_in_flight(_max_in_flight([relayed])), limit
                )
                self._request_lane(relayed, lane_limit, now)

    def _request_entering(
        self, lanes: list[piece_chains.Lane], now: float
    ) -> bool:
        """Ask for what others wait for; tell whether it comes."""
        limit = self._limit_in_flight(_max_in_flight(lanes))
        for lane in lanes:
            self._request_lane(lane, limit, now)
        return any(self._is_delivering(entering, now) for entering in lanes)

    def _request_lane(
        self, lane: piece_chains.Lane, limit: int, now: float
    ) -> None:
        """Ask for the next pieces of a lane.

        :param most: how many may be on their way from its sources.
        """
        usable_suppliers = self._suppliers.usable(lane.sources, now)
        total_limit = self._limit_in_flight(_MAX_IN_FLIGHT_ONE_AGENT)
        for number in filter(lane.has, self._missing_not_in_flight()):
            in_flight_count = sum(
                len(supplier.in_flight) for supplier in usable_suppliers
            )
            if not usable_suppliers or in_flight_count >= limit:
                return
            if len(self._suppliers.in_flight()) >= total_limit:
                return
            self._request_piece(
                min(usable_suppliers, key=_next_piece_seconds), number, now
            )

    def _is_delivering(self, lane: piece_chains.Lane, now: float) -> bool:
        """Tell whether pieces of a lane are still coming, and fast.

        Where they come slowly the others are asked, too: if theirs are slow
        as well, it is the link here, and another is to head the stripe.
        """
        if not any(map(lane.has, self._version_pieces.missing)):
            return False
        return any(
            supplier.is_delivering(now)
            and supplier.piece_seconds <= suppliers.SLOW_PIECE_SECONDS
            for supplier in self._suppliers.usable(lane.sources, now)
        )

    def _request_available(
        self,
        plan_input: piece_chains.Question,
        plan: piece_chains.Plan,
        now: float,
    ) -> None:
        """Ask for what sources say that they have."""
        sources = self._usable_suppliers(plan, now)
        self._watch_suppliers(plan_input, sources)
        ordered = self._missing_not_in_flight()
        self._request_known(sources, ordered, now)
        for supplier in sources:
            if supplier.ip == piece_chains.ORIGIN:
                self._request_from_origin(supplier, ordered, sources, now)
        agents = [agent for agent in sources if agent.ip != piece_chains.ORIGIN]
        self._request_ahead(agents[:1], now)

    def _request_known(
        self,
        sources: list[suppliers.Supplier],
        ordered: list[int],
        now: float,
    ) -> None:
        """Ask for pieces that sources are known to have."""
        remaining = self._limit_in_flight(_MAX_IN_FLIGHT_SEVERAL)
        remaining -= sum(
            len(supplier.available.intersection(supplier.in_flight))
            for supplier in sources
        )
        for number in ordered:
            if remaining <= 0:
                return
            holders = [
                supplier for supplier in sources if number in supplier.available
            ]
            if holders:
                self._request_piece(
                    min(holders, key=_next_piece_seconds), number, now
                )
                remaining -= 1

    def _request_ahead(
        self,
        sources: list[suppliers.Supplier],
        now: float,
    ) -> None:
        """Ask for what comes next in the order of the chain besides.

        So that pieces flow without a pause again once there are new ones.
        """
        for supplier in sources:
            queued_ahead = [
                queued
                for queued in supplier.in_flight
                if queued not in supplier.available
            ]
            remaining = self._limit_in_flight(_MAX_IN_FLIGHT_AHEAD) - len(
                queued_ahead
            )
            for number in self._missing_not_in_flight()[: max(remaining, 0)]:
                if number not in supplier.available:
                    self._request_piece(supplier, number, now)

    def _request_from_origin(
        self,
        origin: suppliers.Supplier,
        ordered: list[int],
        sources: list[suppliers.Supplier],
        now: float,
    ) -> None:
        """Ask the origin for pieces that nobody else has."""
        available_elsewhere = frozenset().union(
            *(supplier.available for supplier in sources)
        )
        for number in ordered:
            if len(origin.in_flight) >= _MAX_IN_FLIGHT_SEVERAL:
                return
            if number not in available_elsewhere:
                self._request_piece(origin, number, now)

    def _usable_suppliers(
        self,
        plan: piece_chains.Plan,
        now: float,
    ) -> list[suppliers.Supplier]:
        """Return whom to ask for what they have."""
        partners = self._suppliers.usable(plan.partners, now)[:1]
        suppliers_found = [
            *self._suppliers.usable(plan.sources, now),
            *partners,
        ]
        if (
            now - self._chain_order.last_piece_at
            > _LOST_SECONDS + plan.place * _LOST_SECONDS_PER_AGENT
        ):
            others = (*plan.anyone, piece_chains.ORIGIN)
            suppliers_found.extend(
                supplier
                for supplier in self._suppliers.usable(others, now)
                if supplier not in suppliers_found
            )
        return suppliers_found

    def _missing_not_in_flight(self) -> list[int]:
        """Return the numbers to ask for, in the order in which they come."""
        in_flight = self._suppliers.in_flight()
        return [
            number
            for number in self._missing_in_order()
            if number not in in_flight
        ]

    def _missing_in_order(self) -> list[int]:
        """Return the missing numbers in the order in which they come."""
        missing = self._version_pieces.missing
        return missing if self._plan is None else self._plan.in_order(missing)

    def _plan_input(self, now: float) -> piece_chains.Question:
        """Return who there is, and who is passed over."""
        manifest = self._version_pieces.manifest
        plan_input = self._context.plan_input(manifest.model, manifest.version)
        if self._plan is None:
            self._uses_holders = any(peer.holds for peer in plan_input.peers)
        avoided = self._suppliers.skipped(now)
        return plan_input._replace(
            peers=plan_input.peers
            if self._uses_holders
            else _without_holders(plan_input),
            avoided=avoided,
        )

    def _reference_piece_count(self) -> int:
        """Return how many pieces sources should have, more or less.

        Where pieces come in stripes, those before wait for other pieces than
        this agent has, and say so themselves when their link is slow.
        """
        is_striped = self._plan is not None and self._plan.is_striped
        return 0 if is_striped else len(self._version_pieces.numbers)

    def _limit_in_flight(self, limit: int) -> int:
        """Return how many pieces to ask for at once.

        Failure: on a link narrowed to a quarter five pieces take more than a
        second, and prompts that queue behind them reach the engine after
        their callers have left. Fewer are asked for the slower they come.
        """
        return max(
            min(limit, round(_QUEUE_SECONDS / self._suppliers.piece_seconds)), 1
        )

    # Who has what.

    def _watch_suppliers(
        self,
        plan_input: piece_chains.Question,
        sources: list[suppliers.Supplier],
    ) -> None:
        """Follow what sources have; those whose engine has it have all."""
        holders = {peer.ip for peer in plan_input.peers if peer.holds}
        for supplier in sources:
            if supplier.ip in holders:
                supplier.available = frozenset(
                    range(len(self._version_pieces.manifest.digests))
                )
            elif (
                supplier.ip != piece_chains.ORIGIN
                and supplier.watch_task is None
            ):
                supplier.watch_task = asyncio.create_task(
                    self._watch_availability(supplier)
                )

    async def _watch_availability(self, supplier: suppliers.Supplier) -> None:
        loop = asyncio.get_running_loop()
        manifest = self._version_pieces.manifest
        while True:
            supplier.record_request(loop.time())
            try:
                availability = await supplier.source.available_pieces(
                    manifest.model,
                    manifest.version,
                    len(supplier.available),
                )
            except errors.ClementinepassError as error:
                self._record_failure(supplier, error)
                await asyncio.sleep(_FAILURE_PAUSE_SECONDS)
                continue
            supplier.record_response(
                loop.time(),
                is_source_slow=availability.is_slow,
                piece_count=availability.total,
            )
            if availability.numbers != supplier.available:
                supplier.available = availability.numbers
                self._changed.set()
            await asyncio.sleep(_RETRY_SECONDS)

    # Getting a piece.

    def _request_piece(
        self, supplier: suppliers.Supplier, number: int, now: float
    ) -> None:
        supplier.record_request(now)
        supplier.in_flight[number] = asyncio.create_task(
            self._run_request(supplier, number)
        )

    async def _run_request(
        self, supplier: suppliers.Supplier, number: int
    ) -> None:
        try:
            piece = await self._fetch_piece(supplier, number)
        except errors.ClementinepassError as error:
            self._record_failure(supplier, error)
            await asyncio.sleep(_FAILURE_PAUSE_SECONDS)
        else:
            if piece is None:
                await asyncio.sleep(_RETRY_SECONDS)
        finally:
            if supplier.in_flight.get(number) is asyncio.current_task():
                supplier.finish_request(number)
            self._changed.set()

    async def _fetch_piece(
        self,
        supplier: suppliers.Supplier,
        number: int,
    ) -> weights.Piece | None:
        manifest = self._version_pieces.manifest
        piece = await supplier.source.piece(
            manifest.model,
            manifest.version,
            number,
        )
        now = asyncio.get_running_loop().time()
        supplier.record_response(
            now,
            is_source_slow=piece.is_source_slow,
            piece_count=piece.source_piece_count,
        )
        if piece.payload is None:
            return None
        expected = self._missing_in_order()
        if not self._version_pieces.add(number, piece.payload):
            logger.bind(piece=number, source=supplier.ip or 'origin').warning(
                'piece is spoilt',
            )
            return None
        self._chain_order.record_piece(number, expected, now)
        self._record_piece(supplier, piece)
        return piece

    def _record_piece(
        self,
        supplier: suppliers.Supplier,
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
        supplier.record_piece(piece.seconds, asyncio.get_running_loop().time())
        pieces_ahead = (piece.source_piece_count or 0) - len(
            self._version_pieces.numbers
        )
        has_evidence = (
            pieces_ahead > _MAX_PIECES_AHEAD
            or self._suppliers.have_several_delivered()
        )
        self._version_pieces.is_slow = (
            self._suppliers.piece_seconds > suppliers.SLOW_PIECE_SECONDS
            and has_evidence
            and not piece.is_source_slow
        )
        self._update_congestion(supplier, piece)
        if supplier.ip == piece_chains.ORIGIN:
            self.from_origin += len(piece.payload or b'')
        else:
            self.from_agents += len(piece.payload or b'')

    def _update_congestion(
        self,
        supplier: suppliers.Supplier,
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
        is_agent = supplier.ip != piece_chains.ORIGIN
        if (
            is_agent
            and piece.seconds > _CONGESTED_PIECE_SECONDS
            and not piece.is_source_slow
        ):
            self._version_pieces.is_congested = True
        elif piece.seconds < suppliers.SLOW_PIECE_SECONDS:
            self._version_pieces.is_congested = False

    def _record_failure(
        self, supplier: suppliers.Supplier, error: Exception
    ) -> None:
        supplier.failures += 1
        self._changed.set()
        if supplier.failures == 1:
            logger.bind(source=supplier.ip or 'origin').info(
                'no answer: {}', error
            )

    def _is_superseded(self) -> bool:
        manifest = self._version_pieces.manifest
        return self._context.version_to_fetch() != (
            manifest.model,
            manifest.version,
        )


def _without_holders(
    plan_input: piece_chains.Question,
) -> list[piece_chains.Peer]:
    """Return all peers as if no engine had the version yet.

    Failure: as soon as one engine had loaded a version, all agents of other
    regions that lacked some pieces turned to the one beside it.
    """
    return [peer._replace(holds=False) for peer in plan_input.peers]


def _max_in_flight(lanes: list[piece_chains.Lane]) -> int:
    """Return how many pieces to ask for at once of the sources of each lane.

    Failure: an agent alone in its region got one stripe after the other, each
    at half of its link's rate, and had all after 8.0 s in place of 5.4 s.
    """
    lane_sources = [source for lane in lanes for source in lane.sources]
    if len(lane_sources) > 1 or piece_chains.ORIGIN in lane_sources:
        return _MAX_IN_FLIGHT_SEVERAL
    return _MAX_IN_FLIGHT_ONE_AGENT


def _next_piece_seconds(supplier: suppliers.Supplier) -> float:
    return supplier.next_piece_seconds
