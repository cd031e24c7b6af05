"""Choice between the order of a chain and what its agents have."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

#: Seconds without a piece after which the order is suspended. A source may send
#: five pieces to another agent first, which isn't a reason to suspend the
#: order.
_STALLED_SECONDS = 0.7
#: Consecutive pieces in the order of the chain after which the order is
#: resumed. At the start of a version, the last agents of a chain wait longer
#: than the stall limit, and requesting only pieces that sources report to have
#: costs a quarter of the rate.
_RESUME_AFTER_PIECES = 4
#: Pieces within which arrivals may be out of order and still count as in order.
_REORDER_WINDOW = 5


class ChainOrder:
    """Tracks whether pieces arrive in the order of the chain.

    The order is suspended while they don't, and agents request the pieces that
    their sources report to have. Otherwise two chains could block each other:
    when the origin was gone 2.5 s after a version was named, one chain had the
    first half of the pieces and the other the second, and each waited six
    seconds for the next piece in its order.

    :param now: monotonic seconds.
    """

    __slots__ = ('_in_order_count', 'is_suspended', 'last_piece_at')

    def __init__(self, now: float) -> None:
        #: Monotonic seconds of the last piece.
        self.last_piece_at = now
        #: Whether requests follow what sources have instead of the order.
        self.is_suspended = False
        #: Consecutive pieces that arrived in order.
        self._in_order_count = 0

    def reset(self, now: float) -> None:
        """Follow the order again because the sources have changed."""
        self.last_piece_at = now
        self.is_suspended = False

    def suspend_if_stalled(self, now: float) -> bool:
        """Suspend the order if pieces have stalled.

        :returns: whether the order was suspended by this call.
        """
        if self.is_suspended or now - self.last_piece_at <= _STALLED_SECONDS:
            return False
        self.is_suspended = True
        self._in_order_count = 0
        return True

    def record_piece(
        self, number: int, expected: Sequence[int], now: float
    ) -> None:
        """Record a piece, and resume the order when enough came in order.

        :param expected: the numbers that were missing before the piece arrived,
            in the order of the chain.
        """
        self.last_piece_at = now
        if number in expected[:_REORDER_WINDOW]:
            self._in_order_count += 1
        else:
            self._in_order_count = 0
        if self._in_order_count >= _RESUME_AFTER_PIECES:
            self.is_suspended = False
