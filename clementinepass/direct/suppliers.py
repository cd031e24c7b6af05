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
_SILENT_AFTER = 0.75
#: The same while another source's pieces are coming: on a narrow link answers
#: queue behind them for seconds, and every source looks silent.
_SILENT_BESIDE = 2.5
#: Seconds since a byte of it came in which a source counts as sending.
_SENDING = 0.3
#: Seconds since its last piece, or since it was first asked, after which a
#: source brings nothing at present. Pieces come each 60 to 80 ms.
_FLOWING = 0.35
#: Failures in a row that say the same: refused connections, mostly.
_MOST_FAILURES = 3
#: Seconds for which a source is passed over: its machine wakes meanwhile or is
#: dropped from the list, and all that want the version have it, mostly.
_PASSED_OVER = 8.0
#: The same at first of one that refuses or breaks connections: its process may
#: start again within the second. Twice as long each time after that.
_FAILING_PASSED_OVER = 1.0
#: Seconds that a piece takes on a slow link, three times the usual, and how
#: many times as long as on another's.
SLOW_PIECE = 0.22
_SLOWER = 2.5
#: Pieces by which a source may have fewer and still be one: they come in
#: another order where both have had some before.
_FAR_BEHIND = 12
#: Seconds that a piece takes on the link: at first, and the longest that is
#: learnt from.
_USUAL_PIECE = 0.06
_LONGEST_PIECE = 0.6
#: The weight of a new piece's time; the last three or so count.
_GAIN = 0.35


class Supplier:
    """One source while pieces of a version are got.

    :param ip: its IP number, or the origin.
    :param source: how it is asked.
    """

    __slots__ = (
        'asked_since',
        'backoff',
        'count',
        'failures',
        'flowed_at',
        'has',
        'has_brought',
        'ip',
        'is_slow',
        'on_way',
        'passed_over_until',
        'piece_seconds',
        'source',
        'watcher',
    )

    def __init__(self, ip: str, source: weights.Source) -> None:
        self.ip = ip
        self.source = source
        #: The numbers of the pieces that it is known to have.
        self.has: frozenset[int] = frozenset()
        #: How many pieces it says that it has; ``None`` if untold.
        self.count: int | None = None
        #: Whether it says that pieces come to it slowly.
        self.is_slow = False
        #: Questions in a row that it failed to answer.
        self.failures = 0
        #: Monotonic seconds of the oldest question without an answer since
        #: there was none; ``None`` while there is none.
        self.asked_since: float | None = None
        self.passed_over_until = float('-inf')
        #: Seconds for which it is passed over when it fails the next time.
        self.backoff = _FAILING_PASSED_OVER
        #: When its last piece came, or it was first asked; ``None`` before.
        self.flowed_at: float | None = None
        #: Whether a piece of it came.
        self.has_brought = False
        #: Seconds that a piece of it takes on the links between.
        self.piece_seconds = _USUAL_PIECE
        #: The pieces on their way from it.
        self.on_way: dict[int, asyncio.Task[None]] = {}
        #: Learns what it has, where that is followed.
        self.watcher: asyncio.Task[None] | None = None

    def trouble(self, now: float, held: int, patience: float) -> str:
        """Return why it should be passed over; empty if it need not be.

        :param held: how many pieces the asking agent has.
        :param patience: seconds for which it may say nothing.
        """
        if self.ip == piece_chains.ORIGIN:
            # There is no other in its place.
            return ''
        if self.is_slow:
            return 'slow'
        if self.failures >= _MOST_FAILURES:
            return 'failing'
        if self.asked_since is None:
            return ''
        if self.count is not None and self.count < held - _FAR_BEHIND:
            return 'behind'
        heard = max(self.asked_since, self.source.heard)
        return 'silent' if now - heard > patience else ''

    def is_slower(self, fastest: float) -> bool:
        """Tell whether its link is slow, as pieces of others show.

        Failure: on a link narrowed to an eighth an agent's word that it is
        slow waited behind its pieces, for two seconds.
        """
        if self.ip == piece_chains.ORIGIN or not self.on_way:
            return False
        return self.piece_seconds > max(SLOW_PIECE, fastest * _SLOWER)

    @property
    def next_after(self) -> float:
        """Return the seconds until a further piece of it would be here."""
        return (len(self.on_way) + 1) * self.piece_seconds

    def took(self, seconds: float, now: float) -> None:
        """Note a piece, and how long it took."""
        self.flowed_at = now
        self.has_brought = True
        bounded = min(seconds, _LONGEST_PIECE)
        self.piece_seconds += _GAIN * (bounded - self.piece_seconds)

    def flows(self, now: float) -> bool:
        """Tell whether pieces of it come, or it was asked just now."""
        return self.flowed_at is None or now - self.flowed_at < _FLOWING

    def sends(self, now: float) -> bool:
        """Tell whether a piece is coming from it."""
        return bool(self.on_way) and now - self.source.heard < _SENDING

    def asked(self, now: float) -> None:
        """Note that a question goes out."""
        if self.asked_since is None:
            self.asked_since = now
        if self.flowed_at is None:
            self.flowed_at = now

    def answered(
        self,
        now: float,
        *,
        slow: bool,
        count: int | None,
    ) -> None:
        """Note an answer, whatever it says."""
        if self.failures:
            logger.bind(
                source=self.ip or 'origin',
                failures=self.failures,
            ).info('source answers again')
        self.failures = 0
        self.is_slow = slow
        self.count = count
        self.asked_since = now if self.on_way else None

    def done(self, number: int) -> None:
        """Note that a piece is no longer on its way.

        Failure: a source that had sent all that it was asked for said nothing
        more, so that it looked silent and ever further behind, and was passed
        over.
        """
        del self.on_way[number]
        if self.on_way:
            return
        self.count = None
        if self.watcher is None:
            self.asked_since = None

    def pass_over(self, now: float) -> None:
        """Stop using it for a while.

        Failure: agents were killed and back within a second. Each was passed
        over for eight by the one after it, which shared a source with it: both
        got pieces at half the rate, and all after them, too.
        """
        seconds = _PASSED_OVER
        if self.failures >= _MOST_FAILURES:
            seconds = min(self.backoff, _PASSED_OVER)
            self.backoff = seconds * 2
        self.passed_over_until = now + seconds
        self.failures = 0
        self.is_slow = False
        self.count = None
        self.cancel()

    def cancel(self) -> None:
        """Give up what was asked of it."""
        self.asked_since = None
        for task in self.on_way.values():
            task.cancel()
        self.on_way.clear()
        if self.watcher is not None:
            self.watcher.cancel()
            self.watcher = None


class Suppliers:
    """The sources of one version, by IP number.

    :param source: returns a source by its IP number, if there is one.
    """

    __slots__ = ('_by_ip', '_source')

    def __init__(
        self,
        source: typing.Callable[[str], weights.Source | None],
    ) -> None:
        self._source = source
        self._by_ip: dict[str, Supplier] = {}

    def __iter__(self) -> typing.Iterator[Supplier]:
        """Go through all that were used."""
        return iter(self._by_ip.values())

    def get(self, ip: str) -> Supplier | None:
        """Return a supplier; ``None`` if nobody is known there."""
        source = self._source(ip)
        if source is None:
            return None
        known = self._by_ip.get(ip)
        if known is None or known.source is not source:
            known = Supplier(ip, source)
            self._by_ip[ip] = known
        return known

    def usable(self, ips: Iterable[str], now: float) -> list[Supplier]:
        """Return those of some that aren't passed over."""
        found = [self.get(ip) for ip in ips]
        return [
            one
            for one in found
            if one is not None and one.passed_over_until <= now
        ]

    def passed_over(self, now: float) -> frozenset[str]:
        """Return those that are passed over."""
        return frozenset(one.ip for one in self if one.passed_over_until > now)

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
                one.piece_seconds
                for one in self
                if one.has_brought and (one.on_way or one.has)
            ),
            default=_USUAL_PIECE,
        )

    @property
    def fastest_piece(self) -> float:
        """Return what a piece takes from the fastest that brought one."""
        return min(
            (one.piece_seconds for one in self if one.has_brought),
            default=_USUAL_PIECE,
        )

    def several_bring(self) -> bool:
        """Tell whether pieces came from more than one."""
        return sum(one.has_brought for one in self) > 1

    def on_way(self) -> frozenset[int]:
        """Return the numbers of the pieces on their way."""
        return frozenset(number for one in self for number in one.on_way)

    def judge(self, now: float, held: int) -> None:
        """Pass over those that are slow, failing, silent or far behind.

        Failure: a machine in the middle of a chain stood still, or had its
        link narrowed to a tenth, and all agents behind it waited. Without it,
        the next one has another before it. One that merely waits for pieces
        itself answers and stays: when all behind a break looked elsewhere,
        they met at the same two agents, and got a piece each 150 ms.

        :param held: how many pieces the asking agent has.
        """
        fastest = self.fastest_piece
        for one in self:
            beside = any(each.sends(now) for each in self if each is not one)
            patience = _SILENT_BESIDE if beside else _SILENT_AFTER
            trouble = one.trouble(now, held, patience)
            if not trouble and one.is_slower(fastest):
                trouble = 'slower'
            if trouble:
                logger.bind(source=one.ip, trouble=trouble).info(
                    'source passed over',
                )
                one.pass_over(now)

    def cancel(self) -> None:
        """Give up all that was asked."""
        for one in self:
            one.cancel()
