"""Bound repeats over all entries in any window, without asking the others.

Made for the moment when endpoints fail for every entry at once.  The bound
is on the sum: a share of the requests in a window, and a surplus.  The share
needs no agreement, since each entry's part of it is the share of its own
requests.  The surplus is divided among the entries that may be there.
"""

from __future__ import annotations

import collections

#: The part of the bound that is used. The rest covers what an entry can't
#: see: repeats of a process that was restarted within the window, entries
#: that count one another differently, and windows that lie otherwise.
_USABLE_FRACTION = 0.6


class WindowBudget:
    """The repeats to one service that this entry may send.

    :param share: repeats for each request.
    :param surplus: repeats in a window beyond them, over all entries.
    :param window: seconds.
    """

    __slots__ = ('_first_attempts', '_retries', '_share', '_surplus', '_window')

    def __init__(self, share: float, surplus: float, window: float) -> None:
        self._share = share
        self._surplus = surplus
        self._window = window
        self._first_attempts: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_first_attempt(self, now: float) -> None:
        """Note a request that is sent for the first time."""
        self._drop_expired(now)
        self._first_attempts.append(now)

    def try_acquire(self, now: float, entry_count: int) -> bool:
        """Take one repeat out of the budget, if there is one.

        :param entries: how many entries draw on it.
        """
        self._drop_expired(now)
        allowed_retries = self._share * len(self._first_attempts)
        allowed_retries += self._surplus / max(entry_count, 1)
        if len(self._retries) + 1 > allowed_retries * _USABLE_FRACTION:
            return False
        self._retries.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        oldest = now - self._window
        for times in (self._first_attempts, self._retries):
            while times and times[0] < oldest:
                times.popleft()
