"""What an agent knows of the sources that it gets pieces from."""

from __future__ import annotations

import asyncio
import typing

from loguru import logger

from clementinepass.decisions import piece_chains

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

    from clementinepass.direct import weights

#: Seconds without a byte of a source that was asked, after which it is passed
#: over. A source answers within a third of a second, if only to say that it
#: has nothing yet; the rest is for answers that queue behind pieces.
_SILENT_SECONDS = 0.75
#: The same while another source's pieces are coming: on a narrow link answers
#: queue behind them for seconds, and every source looks silent.
_SILENT_SECONDS_WHILE_SENDING = 2.5
#: Seconds since a byte of it came in which a source counts as sending.
_SENDING_SECONDS = 0.3
#: Seconds since its last piece, or since it was first asked, after which a
#: source brings nothing at present. Pieces come each 60 to 80 ms.
_DELIVERING_SECONDS = 0.35
#: Failures in a row that say the same: refused connections, mostly.
_MAX_FAILURES = 3
#: Seconds for which a source is passed over: its machine wakes meanwhile or is
#: dropped from the list, and all that want the version have it, mostly.
_SKIP_SECONDS = 8.0
#: The same at first of one that refuses or breaks connections: its process may
#: start again within the second. Twice as long each time after that.
_FIRST_SKIP_SECONDS = 1.0
#: Seconds that a piece takes on a slow link, three times the usual, and how
#: many times as long as on another's.
SLOW_PIECE_SECONDS = 0.22
_SLOWER_FACTOR = 2.5
#: Pieces by which a source may have fewer and still be one: they come in
#: another order where both have had some before.
_MAX_PIECES_BEHIND = 12
#: Seconds that a piece takes on the link: at first, and the longest that is
#: learnt from.
_DEFAULT_PIECE_SECONDS = 0.06
_MAX_PIECE_SECONDS = 0.6
#: The weight of a new piece's time; the last three or so count.
_SMOOTHING = 0.35


class Supplier:
    """One source while pieces of a version are got.

    :param ip: its IP number, or the origin.
    :param source: how it is asked.
    """

    __slots__ = (
        'available',
        'backoff',
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
        #: The numbers of the pieces that it is known to have.
        self.available: frozenset[int] = frozenset()
        #: How many pieces it says that it has; ``None`` if untold.
        self.piece_count: int | None = None
        #: Whether it says that pieces come to it slowly.
        self.is_slow = False
        #: Questions in a row that it failed to answer.
        self.failures = 0
        #: Monotonic seconds of the oldest question without an answer since
        #: there was none; ``None`` while there is none.
        self.waiting_since: float | None = None
        self.skipped_until = float('-inf')
        #: Seconds for which it is passed over when it fails the next time.
        self.backoff = _FIRST_SKIP_SECONDS
        #: When its last piece came, or it was first asked; ``None`` before.
        self.last_piece_at: float | None = None
        #: Whether a piece of it came.
        self.has_delivered = False
        #: Seconds that a piece of it takes on the links between.
        self.piece_seconds = _DEFAULT_PIECE_SECONDS
        #: The pieces on their way from it.
        self.in_flight: dict[int, asyncio.Task[None]] = {}
        #: Learns what it has, where that is followed.
        self.watch_task: asyncio.Task[None] | None = None

    def skip_reason(
        self, now: float, held_count: int, timeout_seconds: float
    ) -> str:
        """Return why it should be passed over; empty if it need not be.

        :param held: how many pieces the asking agent has.
        :param patience: seconds for which it may say nothing.
        """
        if self.ip == piece_chains.ORIGIN:
            # There is no other in its place.
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
        """Tell whether its link is slow, as pieces of others show.

        Failure: on a link narrowed to an eighth an agent's word that it is
        slow waited behind its pieces, for two seconds.
        """
        if self.ip == piece_chains.ORIGIN or not self.in_flight:
            return False
        return self.piece_seconds > max(
            SLOW_PIECE_SECONDS, fastest * _SLOWER_FACTOR
        )

    @property
    def next_piece_seconds(self) -> float:
        """Return the seconds until a further piece of it would be here."""
        return (len(self.in_flight) + 1) * self.piece_seconds

    def record_piece(self, seconds: float, now: float) -> None:
        """Note a piece, and how long it took."""
        self.last_piece_at = now
        self.has_delivered = True
        bounded = min(seconds, _MAX_PIECE_SECONDS)
        self.piece_seconds += _SMOOTHING * (bounded - self.piece_seconds)

    def is_delivering(self, now: float) -> bool:
        """Tell whether pieces of it come, or it was asked just now."""
        return (
            self.last_piece_at is None
            or now - self.last_piece_at < _DELIVERING_SECONDS
        )

    def is_sending(self, now: float) -> bool:
        """Tell whether a piece is coming from it."""
        return (
            bool(self.in_flight)
            and now - self.source.last_received_at < _SENDING_SECONDS
        )

    def record_request(self, now: float) -> None:
        """Note that a question goes out."""
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
        """Note an answer, whatever it says."""
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
        """Note that a piece is no longer on its way.

        Failure: a source that had sent all that it was asked for said nothing
        more, so that it looked silent and ever further behind, and was passed
        over.
        """
        del self.in_flight[number]
        if self.in_flight:
            return
        self.piece_count = None
        if self.watch_task is None:
            self.waiting_since = None

    def skip(self, now: float) -> None:
        """Stop using it for a while.

        Failure: agents were killed and back within a second. Each was passed
        over for eight by the one after it, which shared a source with it: both
        got pieces at half the rate, and all after them, too.
        """
        seconds = _SKIP_SECONDS
        if self.failures >= _MAX_FAILURES:
            seconds = min(self.backoff, _SKIP_SECONDS)
            self.backoff = seconds * 2
        self.skipped_until = now + seconds
        self.failures = 0
        self.is_slow = False
        self.piece_count = None
        self.cancel()

    def cancel(self) -> None:
        """Give up what was asked of it."""
        self.waiting_since = None
        for task in self.in_flight.values():
            task.cancel()
        self.in_flight.clear()
        if self.watch_task is not None:
            self.watch_task.cancel()
            self.watch_task = None


class Suppliers:
    """The sources of one version, by IP number.

    :param source: returns a source by its IP number, if there is one.
    """

    __slots__ = ('_find_source', '_suppliers_by_ip')

    def __init__(
        self,
        find_source: typing.Callable[[str], weights.Source | None],
    ) -> None:
        self._find_source = find_source
        self._suppliers_by_ip: dict[str, Supplier] = {}

    def __iter__(self) -> typing.Iterator[Supplier]:
        """Go through all that were used."""
        return iter(self._suppliers_by_ip.values())

    def get(self, ip: str) -> Supplier | None:
        """Return a supplier; ``None`` if nobody is known there."""
        source = self._find_source(ip)
        if source is None:
            return None
        supplier = self._suppliers_by_ip.get(ip)
        if supplier is None or supplier.source is not source:
            supplier = Supplier(ip, source)
            self._suppliers_by_ip[ip] = supplier
        return supplier

    def usable(self, ips: Iterable[str], now: float) -> list[Supplier]:
        """Return those of some that aren't passed over."""
        suppliers = [self.get(ip) for ip in ips]
        return [
            supplier
            for supplier in suppliers
            if supplier is not None and supplier.skipped_until <= now
        ]

    def skipped(self, now: float) -> frozenset[str]:
        """Return those that are passed over."""
        return frozenset(
            supplier.ip for supplier in self if supplier.skipped_until > now
        )

    @property
    def piece_seconds(self) -> float:
        """Return what a piece takes from the fastest in use.

        The link of this machine is no slower than that. A source that has
        brought nothing yet says nothing. Failure: an agent on a narrow link
        turned to a second source as if its link were sound, and prompts stood
        behind seven pieces until their callers had left.
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
        """Return what a piece takes from the fastest that brought one."""
        return min(
            (
                supplier.piece_seconds
                for supplier in self
                if supplier.has_delivered
            ),
            default=_DEFAULT_PIECE_SECONDS,
        )

    def have_several_delivered(self) -> bool:
        """Tell whether pieces came from more than one."""
        return sum(supplier.has_delivered for supplier in self) > 1

    def in_flight(self) -> frozenset[int]:
        """Return the numbers of the pieces on their way."""
        return frozenset(
            number for supplier in self for number in supplier.in_flight
        )

    def skip_faulty(self, now: float, held_count: int) -> None:
        """Pass over those that are slow, failing, silent or far behind.

        Failure: a machine in the middle of a chain stood still, or had its
        link narrowed to a tenth, and all agents behind it waited. Without it,
        the next one has another before it. One that merely waits for pieces
        itself answers and stays: when all behind a break looked elsewhere,
        they met at the same two agents, and got a piece each 150 ms.

        :param held: how many pieces the asking agent has.
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
        """Give up all that was asked."""
        for supplier in self:
            supplier.cancel()
