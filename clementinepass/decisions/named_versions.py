"""Which versions of a model's weights requests may still begin on.

Load: versions that are named faster than they spread.  Each has a bound of
its own, counted from its naming: a version that is named while the one before
it spreads must not put off the bound of that one.
"""

from __future__ import annotations

import math

#: Versions remembered. Those before are long past their bound.
_MOST_VERSIONS = 8


class NamedVersions:
    """The versions of one model that were named lately.

    :param bound: seconds after the naming of a version from which requests
        begin on no older one.
    """

    __slots__ = ('_bound', 'guessed', 'since_by_version')

    def __init__(self, bound: float) -> None:
        self._bound = bound
        #: When each version was named; monotonic seconds.
        self.since_by_version: dict[int, float] = {}
        #: The versions whose time is a guess.
        self.guessed: set[int] = set()

    @property
    def newest(self) -> int:
        """Return the newest version; 0 where none was named."""
        return max(self.since_by_version, default=0)

    def named(
        self,
        version: int,
        since: float,
        *,
        guessed: bool = False,
    ) -> bool:
        """Take it that a version was named; tell whether it is news.

        Of two times for one version the earlier counts: whoever heard of it
        late can't know when it was named. A guess, of a process that was
        started later, gives way to whatever else is heard, and is passed
        over where more is known.
        """
        known = self.since_by_version.get(version)
        if known is None:
            self._add(version, since, guessed=guessed)
            return version == self.newest
        if version in self.guessed and not guessed:
            self.guessed.discard(version)
            self.since_by_version[version] = since
        elif guessed == (version in self.guessed):
            self.since_by_version[version] = min(known, since)
        return False

    def usable_until(self, version: int) -> float:
        """Return the time until which requests may begin on a version."""
        newer = [
            since + self._bound
            for other, since in self.since_by_version.items()
            if other > version
        ]
        return min(newer, default=math.inf)

    def oldest_allowed(self, now: float) -> int:
        """Return the oldest version on which requests may begin."""
        return max(
            (
                version
                for version, since in self.since_by_version.items()
                if now >= since + self._bound
            ),
            default=0,
        )

    def _add(self, version: int, since: float, *, guessed: bool) -> None:
        self.since_by_version[version] = since
        if guessed:
            self.guessed.add(version)
        if len(self.since_by_version) > _MOST_VERSIONS:
            oldest = min(self.since_by_version)
            del self.since_by_version[oldest]
            self.guessed.discard(oldest)
