"""A pace: how many bytes a second may pass one point."""

from __future__ import annotations


class Pace:
    """Hand out times at which bytes may pass, first come first served.

    :param rate: bytes a second; 0 for no limit.
    """

    def __init__(self, rate: float) -> None:
        #: Bytes a second; 0 for no limit.
        self.rate = rate
        self._free_at: float = 0

    def backlog(self, now: float) -> float:
        """Return the seconds that a reservation made now would wait."""
        return max(0, self._free_at - now)

    def reserve(self, size: int, now: float, share: float = 1) -> float:
        """Reserve a place for ``size`` bytes and return the wait in seconds.

        :param share: the part of the rate that may be used for now.
        """
        if self.rate <= 0:
            return 0
        start = max(now, self._free_at)
        self._free_at = start + size / (self.rate * share)
        return start - now

    def refund(self, size: int) -> None:
        """Give back a reservation that was not used."""
        if self.rate > 0:
            self._free_at -= size / self.rate
