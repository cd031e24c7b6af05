"""Fetch the missing pieces of a version from other agents and the origin.

Each agent requests pieces from its planned sources in the order in which pieces
reach them, and before the sources have them. Pieces that enter the region at
this agent are requested first, because other agents wait for them and their
source may fail at any moment. If no piece arrives for a short time, the agent
requests the pieces that its sources report to have, and uses another source of
its region as well. Few pieces are in flight at once: the engine shares the
link, and its prompts and events would queue behind them.
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

#: Pieces in flight from one agent. It sends them one at a time, so that only
#: one is on the link. The others wait at the agent, so that it continues
#: without a pause although requests and responses queue behind pieces on both
#: links.
_MAX_IN_FLIGHT_ONE_AGENT = 5
#: Pieces in flight from several sources in all. They send at the same time, so
#: that more pieces would delay the engine's prompts and events.
_MAX_IN_FLIGHT_SEVERAL = 2
#: Pieces in flight from an agent while other pieces enter the region here and
#: don't fill the link, so that the rest of the link isn't idle.
_MAX_IN_FLIGHT_BESIDE = 1
#: Pieces in flight that a source doesn't have yet, while requests follow what
#: sources report: the next one and the one behind it.
_MAX_IN_FLIGHT_AHEAD = 2
#: Seconds without a piece after which the origin and all agents are used as
#: sources, and the additional seconds for each agent that comes before this one
#: in the chain. The delays let the origin send to only two agents; if all
#: agents used it, none would finish in time.
_LOST_SECONDS = 8.0
_LOST_SECONDS_PER_AGENT = 1.0
#: How many more pieces than this agent a source may have. A larger difference
#: shows that the local link is slow.
_MAX_PIECES_AHEAD = 4
#: Transfer time in seconds of a piece from an agent above which a link counts
#: as congested.
_CONGESTED_PIECE_SECONDS = 0.4
#: Seconds for which the pieces in flight may keep the link busy.
_QUEUE_SECONDS = 0.3
#: Seconds between requests to a source that has nothing new.
_RETRY_SECONDS = 0.03
#: Seconds between checks while nothing arrives, and the pause after a failed
#: request.
_POLL_SECONDS = 0.1
_FAILURE_PAUSE_SECONDS = 0.2
#: Seconds between checks of the manifest, and for which a source may take.
_MANIFEST_PAUSE_SECONDS = 1.0
_MANIFEST_TIMEOUT_SECONDS = 1.5
#: Number of other agents that are asked in one check.
_MANIFEST_AGENTS = 3


class FetchContext(typing.Protocol):
    """Gives a fetch access to the rest of the agent."""

    def plan_input(self, model: str, version: int) -> piece_chains.PlanInput:
        """Return the input for choosing the sources of pieces."""

    def source(self, ip: str) -> weights.Source | None:
        """Return the source for an IP address or for the origin."""

    def version_to_fetch(self) -> tuple[str, int]:
        """Return the model and the version whose pieces to fetch now."""


class Fetcher:
    """Fetches the pieces of one version.

    :param version_pieces: the pieces that are here; fetched ones are added.
    """

    def __init__(
        self, version_pieces: pieces.Pieces, context: FetchContext
    ) -> None:
        self._version_pieces = version_pieces
        self._context = context
        self._suppliers = suppliers.Suppliers(context.source)
        self._plan: piece_chains.FetchPlan | None = None
        #: Whether engines that have loaded the version are used as sources.
        self._uses_holders = False
        #: Set when a request has ended or the available pieces have changed.
        self._changed = asyncio.Event()
        self._chain_order = chain_order.ChainOrder(
            asyncio.get_running_loop().time(),
        )
        #: When the manifest was last got anew.
        self._manifest_checked_at = float('-inf')
        #: Number of checks of the manifest.
        self._manifest_checks = 0
        #: Bytes received from the origin and from agents.
        self.bytes_from_origin = 0
        self.bytes_from_agents = 0

    async def run(self) -> None:
        """Fetch all missing pieces; end early if another version is wanted."""
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

    # Choosing the next requests.

    def _request_more(self, now: float) -> None:
        """Request pieces until enough are in flight."""
        self._suppliers.skip_faulty(now, self._reference_piece_count())
        plan_input = self._plan_input(now)
        plan = piece_chains.plan_fetch(plan_input)
        self._apply_plan(plan, now)
        if self._chain_order.suspend_if_stalled(now):
            self._uses_holders = True
            logger.bind(
                sources=plan.sources,
                partners=plan.fallback_ips[:1],
                missing=len(self._version_pieces.missing),
            ).info('pieces stalled')
        if self._chain_order.is_suspended:
            self._request_available(plan_input, plan, now)
        else:
            self._request_in_order(plan, now)

    def _apply_plan(self, plan: piece_chains.FetchPlan, now: float) -> None:
        """Apply a plan, and reset the order if its sources have changed."""
        if self._plan is not None and plan.sources != self._plan.sources:
            logger.bind(
                sources=plan.sources,
                before=self._plan.sources,
                missing=len(self._version_pieces.missing),
            ).info('sources changed')
            self._chain_order.reset(now)
        self._plan = plan

    def _request_in_order(
        self, plan: piece_chains.FetchPlan, now: float
    ) -> None:
        """Request the next pieces from the planned sources in their order.

        Pieces are requested before the sources have them, and each is sent as
        soon as it arrives there. Requesting only the pieces that a source
        reports would cost an additional request and response, each of which
        queues behind a piece on the link.
        """
        origin_groups = [
            planned_group
            for planned_group in plan.groups
            if piece_chains.ORIGIN in planned_group.sources
        ]
        entering_groups = [
            planned_group
            for planned_group in plan.groups
            if planned_group.enters_region
            and planned_group not in origin_groups
        ]
        limit = _MAX_IN_FLIGHT_ONE_AGENT
        if self._request_entering(origin_groups, now):
            limit = _MAX_IN_FLIGHT_BESIDE if plan.has_spare_bandwidth else 0
        elif self._request_entering(entering_groups, now):
            limit = _MAX_IN_FLIGHT_BESIDE
        for group in plan.groups:
            if not group.enters_region and limit:
                group_limit = min(
                    self._limit_in_flight(_max_in_flight([group])), limit
                )
                self._request_group(group, group_limit, now)

    def _request_entering(
        self, groups: list[piece_chains.PieceGroup], now: float
    ) -> bool:
        """Request pieces that other agents wait for.

        :returns: whether pieces of these groups are arriving.
        """
        limit = self._limit_in_flight(_max_in_flight(groups))
        for group in groups:
            self._request_group(group, limit, now)
        return any(
            self._is_delivering(entering_group, now)
            for entering_group in groups
        )

    def _request_group(
        self, group: piece_chains.PieceGroup, limit: int, now: float
    ) -> None:
        """Request the next pieces of a group.

        :param limit: how many pieces may be in flight from the group's sources.
        """
        usable_suppliers = self._suppliers.usable(group.sources, now)
        total_limit = self._limit_in_flight(_MAX_IN_FLIGHT_ONE_AGENT)
        for number in filter(group.contains, self._missing_not_in_flight()):
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

    def _is_delivering(
        self, group: piece_chains.PieceGroup, now: float
    ) -> bool:
        """Return whether pieces of a group still arrive, and fast.

        If they arrive slowly, pieces of other groups are requested too. If
        those are slow as well, the local link is the bottleneck, and another
        agent should head the stripe.
        """
        if not any(map(group.contains, self._version_pieces.missing)):
            return False
        return any(
            supplier.is_delivering(now)
            and supplier.piece_seconds <= suppliers.SLOW_PIECE_SECONDS
            for supplier in self._suppliers.usable(group.sources, now)
        )

    def _request_available(
        self,
        plan_input: piece_chains.PlanInput,
        plan: piece_chains.FetchPlan,
        now: float,
    ) -> None:
        """Request pieces that the sources report to have."""
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
        """Request pieces, each from the fastest source that has it."""
        remaining = self._limit_in_flight(_MAX_IN_FLIGHT_SEVERAL)
        remaining -= sum(
            len(supplier.available.intersection(supplier.in_flight))
            for supplier in sources
        )
        for number in ordered:
            if remaining <= 0:
                return
            suppliers_with_piece = [
                supplier for supplier in sources if number in supplier.available
            ]
            if suppliers_with_piece:
                self._request_piece(
                    min(suppliers_with_piece, key=_next_piece_seconds),
                    number,
                    now,
                )
                remaining -= 1

    def _request_ahead(
        self,
        sources: list[suppliers.Supplier],
        now: float,
    ) -> None:
        """Request the next pieces of the chain before the sources have them.

        Pieces then flow without a pause as soon as there are new ones.
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
        """Request from the origin the pieces that no agent has."""
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
        plan: piece_chains.FetchPlan,
        now: float,
    ) -> list[suppliers.Supplier]:
        """Return the suppliers whose available pieces to track.

        These are the planned sources and at most one fallback source; all other
        sources as well if no piece has arrived for a long time.
        """
        fallback_suppliers = self._suppliers.usable(plan.fallback_ips, now)[:1]
        tracked_suppliers = [
            *self._suppliers.usable(plan.sources, now),
            *fallback_suppliers,
        ]
        if (
            now - self._chain_order.last_piece_at
            > _LOST_SECONDS + plan.position * _LOST_SECONDS_PER_AGENT
        ):
            others = (*plan.all_peer_ips, piece_chains.ORIGIN)
            tracked_suppliers.extend(
                supplier
                for supplier in self._suppliers.usable(others, now)
                if supplier not in tracked_suppliers
            )
        return tracked_suppliers

    def _missing_not_in_flight(self) -> list[int]:
        """Return the numbers of the pieces to request, in planned order."""
        in_flight = self._suppliers.in_flight()
        return [
            number
            for number in self._missing_in_order()
            if number not in in_flight
        ]

    def _missing_in_order(self) -> list[int]:
        """Return the numbers of the missing pieces in planned order."""
        missing = self._version_pieces.missing
        return (
            missing
            if self._plan is None
            else self._plan.in_fetch_order(missing)
        )

    def _plan_input(self, now: float) -> piece_chains.PlanInput:
        """Return the planning input with the skipped sources."""
        manifest = self._version_pieces.manifest
        plan_input = self._context.plan_input(manifest.model, manifest.version)
        if self._plan is None:
            self._uses_holders = any(
                peer.has_version for peer in plan_input.peers
            )
        skipped_ips = self._suppliers.skipped(now)
        return plan_input._replace(
            peers=plan_input.peers
            if self._uses_holders
            else _without_holders(plan_input),
            excluded_ips=skipped_ips,
        )

    def _reference_piece_count(self) -> int:
        """Return how many pieces a source should have, approximately.

        It is 0 if pieces come in stripes: the agents before this one then wait
        for other pieces than it has. They also report when their link is slow,
        so that the count isn't needed.
        """
        is_striped = self._plan is not None and self._plan.is_striped
        return 0 if is_striped else len(self._version_pieces.numbers)

    def _limit_in_flight(self, limit: int) -> int:
        """Return how many pieces may be in flight, at most a given limit.

        The slower pieces arrive, the fewer are requested. On a link narrowed to
        a quarter, five pieces take more than a second, and prompts that queue
        behind them reach the engine after their callers have left.
        """
        return max(
            min(limit, round(_QUEUE_SECONDS / self._suppliers.piece_seconds)), 1
        )

    # Tracking what sources have.

    def _watch_suppliers(
        self,
        plan_input: piece_chains.PlanInput,
        sources: list[suppliers.Supplier],
    ) -> None:
        """Track the pieces that sources have.

        Agents whose engine has loaded the version have all its pieces.
        """
        holders = {peer.ip for peer in plan_input.peers if peer.has_version}
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

    # Fetching one piece.

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
            if self._version_pieces.reject(number, piece.payload):
                await self._check_manifest(number)
            return None
        self._chain_order.record_piece(number, expected, now)
        self._record_piece(supplier, piece)
        return piece

    async def _check_manifest(self, number: int) -> None:
        """Get the manifest anew, as the digest of a piece may be corrupt.

        The origin is asked, and then a few other agents, which take turns.
        """
        now = asyncio.get_running_loop().time()
        if now < self._manifest_checked_at + _MANIFEST_PAUSE_SECONDS:
            return
        self._manifest_checked_at = now
        current = self._version_pieces.manifest
        plan_input = self._context.plan_input(current.model, current.version)
        ips = [peer.ip for peer in plan_input.peers]
        start = self._manifest_checks * _MANIFEST_AGENTS % max(len(ips), 1)
        chosen = (ips[start:] + ips[:start])[:_MANIFEST_AGENTS]
        self._manifest_checks += 1
        for ip in (piece_chains.ORIGIN, *chosen):
            manifest = await self._request_manifest(ip, current)
            if manifest is not None and self._version_pieces.replace_manifest(
                manifest, number
            ):
                logger.bind(piece=number, source=ip or 'origin').warning(
                    'manifest replaced'
                )
                return

    async def _request_manifest(
        self, ip: str, current: weights.Manifest
    ) -> weights.Manifest | None:
        source = self._context.source(ip)
        if source is None:
            return None
        try:
            async with asyncio.timeout(_MANIFEST_TIMEOUT_SECONDS):
                return await source.manifest(current.model, current.version)
        except (errors.ClementinepassError, TimeoutError) as error:
            logger.info('manifest not checked: {}', error)
            return None

    def _record_piece(
        self,
        supplier: suppliers.Supplier,
        piece: weights.Piece,
    ) -> None:
        """Record a piece's transfer time, and whether the local link is slow.

        The local link counts as slow if pieces from more than one source take
        long, or if those from the only source do although it has several more
        than this agent. Other agents then skip this one as a source. The time
        in which a source sends to other agents isn't counted: it ends before
        the response begins.

        A narrow link is as slow from either end. Long transfers from one source
        only, while pieces of another came fast, are no evidence: its
        neighbours, whose own links were fast, were skipped instead of the agent
        on the narrow link, and their stripes were read from the origin again.

        Unless a slow link is reported, no other agent takes over. When the link
        of an agent that read a stripe from the origin was narrowed to an
        eighth, it couldn't be told apart from a slow origin, and all other
        agents waited for the stripe until the version's deadline.
        """
        supplier.record_piece(piece.seconds, asyncio.get_running_loop().time())
        pieces_ahead = (piece.source_piece_count or 0) - len(
            self._version_pieces.numbers
        )
        has_evidence = self._suppliers.are_several_slow() or (
            pieces_ahead > _MAX_PIECES_AHEAD
            and not self._suppliers.is_any_fast()
        )
        self._version_pieces.is_slow = (
            self._suppliers.piece_seconds > suppliers.SLOW_PIECE_SECONDS
            and has_evidence
            and not piece.is_source_slow
        )
        self._update_congestion(supplier, piece)
        if supplier.ip == piece_chains.ORIGIN:
            self.bytes_from_origin += len(piece.payload or b'')
        else:
            self.bytes_from_agents += len(piece.payload or b'')

    def _update_congestion(
        self,
        supplier: suppliers.Supplier,
        piece: weights.Piece,
    ) -> None:
        """Set the congestion state from a piece's transfer time.

        Agents send pieces at the rate of an uncongested link, so that one slow
        piece from an agent shows congestion. Only a fast piece, from any
        source, ends it.

        The difference in piece counts isn't enough to detect congestion: a
        narrowed link was announced to entries three seconds late, because its
        only source had no more pieces than this agent, and it counted as
        uncongested again as soon as pieces came from the origin. Requests that
        entries sent there reached the engine after their callers had left.
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
    plan_input: piece_chains.PlanInput,
) -> list[piece_chains.Agent]:
    """Return all peers as if no engine had the version yet.

    Otherwise, as soon as one engine had loaded a version, all agents of other
    regions that lacked some pieces would switch to the agent beside it.
    """
    return [peer._replace(has_version=False) for peer in plan_input.peers]


def _max_in_flight(groups: list[piece_chains.PieceGroup]) -> int:
    """Return how many pieces may be in flight from each of some groups.

    The limit applies to each group, so that all stripes that enter the region
    at one agent are fetched at the same time. When they were fetched one after
    the other, each used only half of the link's rate: an agent alone in its
    region was complete after 8.0 s instead of 5.4 s.
    """
    group_sources = [source for group in groups for source in group.sources]
    if len(group_sources) > 1 or piece_chains.ORIGIN in group_sources:
        return _MAX_IN_FLIGHT_SEVERAL
    return _MAX_IN_FLIGHT_ONE_AGENT


def _next_piece_seconds(supplier: suppliers.Supplier) -> float:
    return supplier.next_piece_seconds
