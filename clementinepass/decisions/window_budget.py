"""Limit of the retries of all entries in a window, without coordination.

When endpoints fail for all entries at once, the sum of their retries must stay
within a share of the requests in the window plus a surplus. The share needs no
coordination, as each entry applies it to its own requests. The surplus is
divided by the number of entries.
"""

from __future__ import annotations

import collections

#: Fraction of the limit that is used. The rest covers what an entry does not
#: know: retries that a process sent before it was restarted within the window,
#: entries that see different numbers of entries, and windows that start at
#: other times.
_USABLE_FRACTION = 0.6


class WindowBudget:
    """The retries to one service that this entry may send.

    :param share: retries for each request.
    :param surplus: additional retries of all entries in a window.
    :param window_seconds: length of the window.
    """

    __slots__ = (
        '_first_attempts',
        '_retries',
        '_share',
        '_surplus',
        '_window_seconds',
    )

    def __init__(
        self, share: float, surplus: float, window_seconds: float
    ) -> None:
        self._share = share
        self._surplus = surplus
        self._window_seconds = window_seconds
        self._first_attempts: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_first_attempt(self, now: float) -> None:
        """Record the first attempt of a request."""
        self._drop_expired(now)
        self._first_attempts.append(now)

    def try_acquire(self, now: float, entry_count: int) -> bool:
        """Take one retry from the budget; return whether there was one.

        :param entry_count: number of entries that share the surplus.
        """
        if not self.is_available(now, entry_count):
            return False
        self._retries.append(now)
        return True

    def is_available(self, now: float, entry_count: int) -> bool:
        """Tell whether a retry can be taken from the budget.

        :param entry_count: number of entries that share the surplus.
        """
        self._drop_expired(now)
        allowed_retries = self._share * len(self._first_attempts)
        allowed_retries += self._surplus / max(entry_count, 1)
        return len(self._retries) + 1 <= allowed_retries * _USABLE_FRACTION

    def _drop_expired(self, now: float) -> None:
        oldest = now - self._window_seconds
        for times in (self._first_attempts, self._retries):
            while times and times[0] < oldest:
                times.popleft()
