"""Choose ``Retry-After`` for requests that are refused in an overload.

Callers come back once. During a burst that lasts, those that come back soon are
refused again together with everyone else. The longer a service has been
overloaded, the later they are therefore told to return, and at different times,
as they would otherwise be the next burst.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import random

#: ``Retry-After`` in seconds at the beginning of an overload. With the spread
#: it is long enough for entries to recognize callers that come back.
_FIRST_SECONDS = 1.0
#: Longest ``Retry-After`` in seconds, the spread included. Callers wait for a
#: third of their time at most, which is six seconds at first.
_MAX_SECONDS = 2.0
#: Seconds without a refusal after which an overload is over.
_CALM_SECONDS = 1.0
#: Part of ``Retry-After`` by which it is varied in both directions.
_SPREAD = 0.2


class OverloadRetry:
    """The present overload of one service, as this entry sees it."""

    __slots__ = ('_began_at', '_refused_at')

    def __init__(self) -> None:
        self._began_at = float('-inf')
        self._refused_at = float('-inf')

    def duration(self, now: float) -> float:
        """Return the seconds since the overload began; 0 if there is none."""
        if now - self._refused_at > _CALM_SECONDS:
            return 0
        return now - self._began_at

    def refuse(self, now: float, rng: random.Random) -> float:
        """Record a refusal; return its ``Retry-After`` in seconds."""
        if now - self._refused_at > _CALM_SECONDS:
            self._began_at = now
        self._refused_at = now
        seconds = min(
            _FIRST_SECONDS + now - self._began_at,
            _MAX_SECONDS / (1 + _SPREAD),
        )
        return seconds * rng.uniform(1 - _SPREAD, 1 + _SPREAD)
