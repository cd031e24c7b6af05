"""Rate limits of the stand-ins: calls a second and bytes a second."""

from __future__ import annotations

import math
import threading
import typing

from standins import http

if typing.TYPE_CHECKING:
    from collections.abc import Callable, Iterator

#: Bytes sent between two looks at the clock.
PIECE = 16384


class RateLimit:
    """A token bucket that holds one second's worth.

    :param per_second: how many tokens a second; 0 for no limit.
    """

    __slots__ = ('_lock', '_per_second', '_tokens', '_updated')

    def __init__(self, per_second: float) -> None:
        self._per_second = per_second
        self._tokens = per_second
        self._updated: float = 0
        self._lock = threading.Lock()

    def take(self, count: float, now: float) -> float:
        """Take tokens and return 0, or return the seconds until there are."""
        if self._per_second <= 0:
            return 0
        with self._lock:
            self._refill(now)
            missing = min(count, self._per_second) - self._tokens
            if missing > 0:
                return missing / self._per_second
            self._tokens -= count
        return 0

    def _refill(self, now: float) -> None:
        gained = (now - self._updated) * self._per_second
        self._tokens = min(self._per_second, self._tokens + gained)
        self._updated = now


class Link:
    """A link of limited speed that all its users share.

    :param bytes_per_s: the speed; 0 for no limit.
    """

    #: Seconds of unused time that a late sender makes up for: timers wake
    #: late, and without it a lone sender would lose speed at each piece.
    slack: typing.ClassVar[float] = 0.005

    __slots__ = ('_bytes_per_s', '_free_at', '_lock')

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at: float = 0
        self._lock = threading.Lock()

    def reserve(self, size: int, now: float) -> float:
        """Queue bytes on the link; return the seconds until they are sent."""
        if self._bytes_per_s <= 0:
            return 0
        with self._lock:
            start = max(now - self.slack, self._free_at)
            self._free_at = start + size / self._bytes_per_s
            return max(0, self._free_at - now)

    def send(
        self,
        content: bytes,
        clock: Callable[[], float],
        sleep: Callable[[float], None],
    ) -> Iterator[bytes]:
        """Yield ``content`` in pieces at the speed of the link."""
        for start in range(0, len(content), PIECE):
            piece = content[start : start + PIECE]
            sleep(self.reserve(len(piece), clock()))
            yield piece


def answer_throttled(wait: float) -> http.Response:
    """Answer that the rate limit is reached."""
    seconds = str(math.ceil(wait))
    return http.answer_problem(
        429,
        'rate limit reached',
        headers={'Retry-After': seconds},
    )
