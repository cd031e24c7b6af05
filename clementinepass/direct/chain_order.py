"""Whether to go by the order of a chain, or by what its agents have."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

#: Seconds without a piece after which to go by what the source has. A source
#: may send five to another agent first; that is no reason to give the order up.
_STALLED_SECONDS = 0.7
#: Pieces in a row that came in the order of the chain, after which to go by
#: that again. At the start of a version the last of a chain wait longer than
#: that; to ask for what is known to be there costs a quarter of the pace.
_RESUME_AFTER_PIECES = 4
#: Pieces that may overtake one another on their way.
_REORDER_WINDOW = 5


class ChainOrder:
    """Follow whether pieces come in the order of the chain.

    Failure: the origin was gone 2.5 s after a version was named. One chain had
    the first half of the pieces and the other the second, and each waited for
    the next one in its order for six seconds.

    :param now: monotonic seconds.
    """

    __slots__ = ('_in_order_count', 'is_suspended', 'last_piece_at')

    def __init__(self, now: float) -> None:
        #: When a piece came last.
        self.last_piece_at = now
        #: Whether to go by what sources have.
        self.is_suspended = False
        #: Pieces in a row that came in order.
        self._in_order_count = 0

    def reset(self, now: float) -> None:
        """Go by the order again, since pieces come from another source."""
        self.last_piece_at = now
        self.is_suspended = False

    def suspend_if_stalled(self, now: float) -> bool:
        """Give the order up where pieces stalled; tell if just now."""
        if self.is_suspended or now - self.last_piece_at <= _STALLED_SECONDS:
            return False
        self.is_suspended = True
        self._in_order_count = 0
        return True

    def record_piece(
        self, number: int, expected: Sequence[int], now: float
    ) -> None:
        """Take a piece.

        :param expected: the numbers missing before it, in the chain's order.
        """
        self.last_piece_at = now
        if number in expected[:_REORDER_WINDOW]:
            self._in_order_count += 1
        else:
            self._in_order_count = 0
        if self._in_order_count >= _RESUME_AFTER_PIECES:
            self.is_suspended = False
