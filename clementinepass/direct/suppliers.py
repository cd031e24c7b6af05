"""State of the sources from which an agent fetches pieces."""

from __future__ import annotations

import asyncio
import typing

from loguru import logger

from clementinepass.decisions import piece_chains

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

    from clementinepass.direct import weights

#: Seconds without a byte from a source with an open request after which it is
#: skipped. A source responds within a third of a second, if only to report that
#: it has nothing yet; the rest allows for responses that queue behind pieces.
_SILENT_SECONDS = 0.75
#: The same limit while pieces arrive from another source: on a narrow link
#: responses queue behind them for seconds, and every source seems silent.
_SILENT_SECONDS_WHILE_SENDING = 2.5
#: Seconds since its last byte within which a source counts as sending.
_SENDING_SECONDS = 0.3
#: Seconds since its last piece, or since its first request, within which a
#: source counts as delivering. Pieces arrive every 60 to 80 ms.
_DELIVERING_SECONDS = 0.35
#: Consecutive failures, mostly refused connections, after which a source is
#: skipped.
_MAX_FAILURES = 3
#: Seconds for which a source is skipped. Within this time, its machine usually
#: resumes or is dropped from the list, and the agents that fetch the version
#: usually complete it.
_SKIP_SECONDS = 8.0
#: The same for the first time that a source refuses or breaks connections: its
#: process may restart within a second. The time doubles with each repetition.
_FIRST_SKIP_SECONDS = 1.0
#: Transfer time in seconds of a piece on a slow link, three times the usual,
#: and the ratio to the fastest source's time above which a source is skipped as
#: slower.
SLOW_PIECE_SECONDS = 0.22
_SLOWER_FACTOR = 2.5
#: Pieces by which a source may be behind without being skipped: pieces come in
#: another order when both agents had some before.
_MAX_PIECES_BEHIND = 12
#: Transfer time in seconds that is assumed at first, and the longest one that
#: enters the average.
_DEFAULT_PIECE_SECONDS = 0.06
_MAX_PIECE_SECONDS = 0.6
#: Weight of a new transfer time in the moving average, which covers about the
#: last three pieces.
_SMOOTHING = 0.35


class Supplier:
    """State of one source while the pieces of a version are fetched.

    :param ip: the source's IP address, or the origin.
    :param source: the adapter that sends the requests.
    """

    __slots__ = (
        'available',
        'backoff_seconds',
        'failures',
        'has_delivered',
        'in_flight',
        'ip',
        'is_slow',
        'last_piece_at',
        'piece_count',
        'piece_seconds',
        'skipped_until',
        'source',
        'waiting_since',
        'watch_task',
    )

    def __init__(self, ip: str, source: weights.Source) -> None:
        self.ip = ip
        self.source = source
        #: The numbers of the pieces that the source is known to have.
        self.available: frozenset[int] = frozenset()
        #: How many pieces the source reports to have; ``None`` if unknown.
        self.piece_count: int | None = None
        #: Whether the source reports that pieces arrive there slowly.
        self.is_slow = False
        #: Consecutive failed requests.
        self.failures = 0
        #: Monotonic seconds since which a request has been open without any
        #: response; ``None`` if no request is open.
        self.waiting_since: float | None = None
        self.skipped_until = float('-inf')
        #: Seconds for which the source is skipped when it fails the next time.
        self.backoff_seconds = _FIRST_SKIP_SECONDS
        #: Monotonic seconds of the last piece, or of the first request before
        #: there was one; ``None`` before the first request.
        self.last_piece_at: float | None = None
        #: Whether the source has delivered a piece.
        self.has_delivered = False
        #: Average transfer time of a piece from the source.
        self.piece_seconds = _DEFAULT_PIECE_SECONDS
        #: Requests in flight, by the number of the piece.
        self.in_flight: dict[int, asyncio.Task[None]] = {}
        #: Task that tracks the available pieces, if they are tracked.
        self.watch_task: asyncio.Task[None] | None = None

    def skip_reason(
        self, now: float, held_count: int, timeout_seconds: float
    ) -> str:
        """Return why the source should be skipped; empty if it shouldn't.

        :param held_count: how many pieces the local agent has.
        :param timeout_seconds: how long the source may be silent.
        """
        if self.ip == piece_chains.ORIGIN:
            # The origin can't be replaced by another source.
            return ''
        if self.is_slow:
            return 'slow'
        if self.failures >= _MAX_FAILURES:
            return 'failing'
        if self.waiting_since is None:
            return ''
        if (
            self.piece_count is not None
            and self.piece_count < held_count - _MAX_PIECES_BEHIND
        ):
            return 'behind'
        last_received_at = max(self.waiting_since, self.source.last_received_at)
        return 'silent' if now - last_received_at > timeout_seconds else ''

    def is_slower_than(self, fastest: float) -> bool:
        """Return whether the source's link is slow compared with others.

        Its own report isn't enough: on a link narrowed to an eighth, an agent's
        report that it is slow waited behind its pieces for two seconds.

        :param fastest: transfer time in seconds from the fastest source.
        """
        if self.ip == piece_chains.ORIGIN or not self.in_flight:
            return False
        return self.piece_seconds > max(
            SLOW_PIECE_SECONDS, fastest * _SLOWER_FACTOR
        )

    @property
    def delivers_slowly(self) -> bool:
        """Return whether pieces have come from the source, and take long."""
        return self.has_delivered and self.piece_seconds > SLOW_PIECE_SECONDS

    @property
    def next_piece_seconds(self) -> float:
        """Return the seconds until one more requested piece would arrive."""
        return (len(self.in_flight) + 1) * self.piece_seconds

    def record_piece(self, seconds: float, now: float) -> None:
        """Record that a piece has arrived, and its transfer time."""
        self.last_piece_at = now
        self.has_delivered = True
        bounded = min(seconds, _MAX_PIECE_SECONDS)
        self.piece_seconds += _SMOOTHING * (bounded - self.piece_seconds)

    def is_delivering(self, now: float) -> bool:
        """Return whether pieces arrive, or the first request is recent."""
        return (
            self.last_piece_at is None
            or now - self.last_piece_at < _DELIVERING_SECONDS
        )

    def is_sending(self, now: float) -> bool:
        """Return whether a piece is arriving from the source."""
        return (
            bool(self.in_flight)
            and now - self.source.last_received_at < _SENDING_SECONDS
        )

    def record_request(self, now: float) -> None:
        """Record that a request is sent."""
        if self.waiting_since is None:
            self.waiting_since = now
        if self.last_piece_at is None:
            self.last_piece_at = now

    def record_response(
        self,
        now: float,
        *,
        is_source_slow: bool,
        piece_count: int | None,
    ) -> None:
        """Record a response, regardless of its content."""
        if self.failures:
            logger.bind(
                source=self.ip or 'origin',
                failures=self.failures,
            ).info('source answers again')
        self.failures = 0
        self.is_slow = is_source_slow
        self.piece_count = piece_count
        self.waiting_since = now if self.in_flight else None

    def finish_request(self, number: int) -> None:
        """Record that a piece is no longer in flight.

        Without open requests, the values that show a source as silent or behind
        are cleared: the source sends nothing more, so that it would seem silent
        and ever further behind, and be skipped.
        """
        del self.in_flight[number]
        if self.in_flight:
            return
        self.piece_count = None
        if self.watch_task is None:
            self.waiting_since = None

    def skip(self, now: float) -> None:
        """Stop using the source for some time.

        After failed connections the time is short at first. When agents were
        killed and back within a second, each was skipped for eight seconds by
        the agent after it, which then shared a source with it: both received
        pieces at half the rate, and so did all agents behind them.
        """
        seconds = _SKIP_SECONDS
        if self.failures >= _MAX_FAILURES:
            seconds = min(self.backoff_seconds, _SKIP_SECONDS)
            self.backoff_seconds = seconds * 2
        self.skipped_until = now + seconds
        self.failures = 0
        self.is_slow = False
        self.piece_count = None
        self.cancel()

    def cancel(self) -> None:
        """Cancel all requests to the source."""
        self.waiting_since = None
        for task in self.in_flight.values():
            task.cancel()
        self.in_flight.clear()
        if self.watch_task is not None:
            self.watch_task.cancel()
            self.watch_task = None


class Suppliers:
    """The sources of one version by IP address.

    :param find_source: returns the source for an IP address, if there is one.
    """

    __slots__ = ('_find_source', '_suppliers_by_ip')

    def __init__(
        self,
        find_source: typing.Callable[[str], weights.Source | None],
    ) -> None:
        self._find_source = find_source
        self._suppliers_by_ip: dict[str, Supplier] = {}

    def __iter__(self) -> typing.Iterator[Supplier]:
        """Iterate over all suppliers that have been used."""
        return iter(self._suppliers_by_ip.values())

    def get(self, ip: str) -> Supplier | None:
        """Return the supplier for an IP address; ``None`` without a source."""
        source = self._find_source(ip)
        if source is None:
            return None
        supplier = self._suppliers_by_ip.get(ip)
        if supplier is None or supplier.source is not source:
            supplier = Supplier(ip, source)
            self._suppliers_by_ip[ip] = supplier
        return supplier

    def usable(self, ips: Iterable[str], now: float) -> list[Supplier]:
        """Return the suppliers for IP addresses, without skipped ones."""
        suppliers = [self.get(ip) for ip in ips]
        return [
            supplier
            for supplier in suppliers
            if supplier is not None and supplier.skipped_until <= now
        ]

    def skipped(self, now: float) -> frozenset[str]:
        """Return the IP addresses of the skipped suppliers."""
        return frozenset(
            supplier.ip for supplier in self if supplier.skipped_until > now
        )

    @property
    def piece_seconds(self) -> float:
        """Return the transfer time from the fastest source in use.

        The local link is no slower than that. Sources that have delivered
        nothing don't count: an agent on a narrow link switched to a second
        source as if its link were uncongested, and prompts queued behind seven
        pieces until their callers had left.
        """
        return min(
            (
                supplier.piece_seconds
                for supplier in self
                if supplier.has_delivered
                and (supplier.in_flight or supplier.available)
            ),
            default=_DEFAULT_PIECE_SECONDS,
        )

    @property
    def fastest_piece_seconds(self) -> float:
        """Return the transfer time from the fastest source that delivered."""
        return min(
            (
                supplier.piece_seconds
                for supplier in self
                if supplier.has_delivered
            ),
            default=_DEFAULT_PIECE_SECONDS,
        )

    def are_several_slow(self) -> bool:
        """Return whether pieces of more than one source take long."""
        return sum(supplier.delivers_slowly for supplier in self) > 1

    def is_any_fast(self) -> bool:
        """Return whether the last pieces of any source came fast."""
        return any(
            supplier.has_delivered and not supplier.delivers_slowly
            for supplier in self
        )

    def in_flight(self) -> frozenset[int]:
        """Return the numbers of all pieces in flight."""
        return frozenset(
            number for supplier in self for number in supplier.in_flight
        )

    def skip_faulty(self, now: float, held_count: int) -> None:
        """Skip sources that are slow, failing, silent or far behind.

        When a machine in the middle of a chain was suspended, or its link was
        narrowed to a tenth, all agents behind it waited; if it is skipped, the
        next agent uses the one before it. An agent that only waits for pieces
        itself responds, and isn't skipped: when all agents behind a break
        looked for other sources, they converged on the same two agents and
        received a piece every 150 ms.

        :param held_count: how many pieces the local agent has.
        """
        fastest = self.fastest_piece_seconds
        for supplier in self:
            is_other_sending = any(
                other_supplier.is_sending(now)
                for other_supplier in self
                if other_supplier is not supplier
            )
            timeout_seconds = (
                _SILENT_SECONDS_WHILE_SENDING
                if is_other_sending
                else _SILENT_SECONDS
            )
            reason = supplier.skip_reason(now, held_count, timeout_seconds)
            if not reason and supplier.is_slower_than(fastest):
                reason = 'slower'
            if reason:
                logger.bind(source=supplier.ip, trouble=reason).info(
                    'source passed over',
                )
                supplier.skip(now)

    def cancel(self) -> None:
        """Cancel all requests to all sources."""
        for supplier in self:
            supplier.cancel()
