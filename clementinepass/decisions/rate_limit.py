"""The limit of requests that an endpoint names, divided among entries.

An endpoint in need names how many requests a second it takes of all entries
together, which is often fewer than there are entries. A few entries share the
limit, as token buckets of a part of it each; the others send nothing there.
Equal shares of all entries would let each of them send a request at the same
moment, after a time without any.

An entry that is to share the limit from now on waits first: the one in whose
place it comes may not have heard of it yet.
"""

from __future__ import annotations

import math

#: Lowest rate in requests a second. An endpoint that takes none would never
#: get the request by whose answer the end of its limit is seen.
_MIN_RATE = 0.1
#: Entries that share a limit, for each request a second.
_SHARES_PER_RATE = 2.0
#: Seconds of its share that an entry may save up beyond a whole request.
BURST_SECONDS = 0.25
#: Seconds from which on an entry uses a share that it did not have before. By
#: then each entry has had two heartbeats that tell of the change.
_HANDOVER_SECONDS = 1.0


class RateLimit:
    """The limit of one start of an endpoint, and the local share of it.

    :param burst_seconds: seconds of its share that an entry may save up beyond
        a whole request.
    """

    __slots__ = (
        '_burst_seconds',
        '_share',
        '_shared_since',
        '_tokens',
        '_updated_at',
        'begun_at',
        'changed_at',
        'named_at',
        'rate',
    )

    def __init__(self, burst_seconds: float = BURST_SECONDS) -> None:
        self._burst_seconds = burst_seconds
        #: Requests a second that the endpoint takes; ``None`` for no limit.
        self.rate: float | None = None
        #: Monotonic time of the newest answer that named the limit, or of the
        #: one that ended it.
        self.named_at = float('-inf')
        #: Monotonic time at which this entry learned that there is a limit.
        self.begun_at = float('-inf')
        #: Monotonic time of the last change of the limit, its end included.
        self.changed_at = float('-inf')
        #: Requests a second that this entry may send.
        self._share: float = 0
        #: Monotonic time since which this entry has a share; ``None`` if it has
        #: none.
        self._shared_since: float | None = None
        self._tokens: float = 0
        self._updated_at = float('-inf')

    @property
    def is_named(self) -> bool:
        """Tell whether the endpoint names a limit."""
        return self.rate is not None

    @property
    def share(self) -> float:
        """Return the requests a second that this entry may send."""
        return self._share

    def update(self, rate: float | None, named_at: float, now: float) -> bool:
        """Apply what an answer says, here or at another entry.

        :param rate: requests a second; ``None`` for no limit.
        :param named_at: when the answer arrived.
        :returns: whether anything but the time has changed.
        """
        if named_at <= self.named_at:
            return False
        self.named_at = named_at
        if rate is not None:
            rate = max(rate, _MIN_RATE)
        if rate == self.rate:
            return False
        if self.rate is None:
            self.begun_at = now
            self.set_share(0, now)
        self.changed_at = now
        self.rate = rate
        return True

    def ends_with(self, sent_at: float) -> bool:
        """Tell whether an answer that names no limit ends this one.

        :param sent_at: when the request was sent. Answers to those that were
            sent before the limit was last named may be older than it.
        """
        return self.is_named and sent_at >= self.named_at

    def set_share(self, share: float, now: float) -> None:
        """Set the requests a second that this entry may send."""
        self._refill(now)
        if not share:
            self._shared_since = None
            self._tokens = 0
        elif self._shared_since is None:
            self._shared_since = now
        self._share = share

    def admits(self, now: float) -> bool:
        """Tell whether a request may be sent now."""
        return not self.is_named or self.seconds_left(now) <= 0

    def seconds_left(self, now: float) -> float:
        """Return the seconds until a request may be sent.

        Infinite if this entry has no share.
        """
        if not self.is_named:
            return 0
        if self._shared_since is None:
            return math.inf
        self._refill(now)
        usable_at = self._shared_since + _HANDOVER_SECONDS
        missing = max(1 - self._tokens, 0)
        return max(missing / self._share, usable_at - now)

    def has_begun_since(self, moment: float) -> bool:
        """Tell whether the limit was unknown at a time."""
        return self.is_named and moment < self.begun_at

    def record_sent(self, now: float) -> None:
        """Record that a request is being sent."""
        if self.is_named:
            self._refill(now)
            self._tokens -= 1

    def _refill(self, now: float) -> None:
        elapsed = now - max(self._updated_at, self.begun_at)
        self._updated_at = now
        if self._share:
            capacity = 1 + self._share * self._burst_seconds
            filled = self._tokens + self._share * max(elapsed, 0)
            self._tokens = min(filled, capacity)


def share_count(rate: float, entry_count: int) -> int:
    """Return the number of entries that share a limit."""
    return max(min(math.ceil(rate * _SHARES_PER_RATE), entry_count), 1)
