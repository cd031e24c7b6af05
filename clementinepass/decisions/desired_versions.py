"""Which versions of a model's weights requests may still begin on.

Load: versions that are named faster than they spread.  Each has a bound of
its own, counted from its naming: a version that is named while the one before
it spreads must not put off the bound of that one.
"""

from __future__ import annotations

import math

#: Versions remembered. Those before are long past their bound.
_MAX_VERSIONS = 8


class DesiredVersions:
    """The versions of one model that were named lately.

    :param bound: seconds after the naming of a version from which requests
        begin on no older one.
    """

    __slots__ = ('_deadline_seconds', 'guessed_versions', 'since_by_version')

    def __init__(self, deadline_seconds: float) -> None:
        self._deadline_seconds = deadline_seconds
        #: When each version was named; monotonic seconds.
        self.since_by_version: dict[int, float] = {}
        #: The versions whose time is a guess.
        self.guessed_versions: set[int] = set()

    @property
    def newest(self) -> int:
        """Return the newest version; 0 where none was named."""
        return max(self.since_by_version, default=0)

    def record(
        self,
        version: int,
        since: float,
        *,
        is_guess: bool = False,
    ) -> bool:
        """Take it that a version was named; tell whether it is news.

        Of two times for one version the earlier counts: whoever heard of it
        late can't know when it was named. A guess, of a process that was
        started later, gives way to whatever else is heard, and is passed
        over where more is known.
        """
        known_since = self.since_by_version.get(version)
        if known_since is None:
            self._add(version, since, is_guess=is_guess)
            return version == self.newest
        if version in self.guessed_versions and not is_guess:
            self.guessed_versions.discard(version)
            self.since_by_version[version] = since
        elif is_guess == (version in self.guessed_versions):
            self.since_by_version[version] = min(known_since, since)
        return False

    def usable_until(self, version: int) -> float:
        """Return the time until which requests may begin on a version."""
        newer = [
            since + self._deadline_seconds
            for other_version, since in self.since_by_version.items()
            if other_version > version
        ]
        return min(newer, default=math.inf)

    def oldest_allowed(self, now: float) -> int:
        """Return the oldest version on which requests may begin."""
        return max(
            (
                version
                for version, since in self.since_by_version.items()
                if now >= since + self._deadline_seconds
            ),
            default=0,
        )

    def _add(self, version: int, since: float, *, is_guess: bool) -> None:
        self.since_by_version[version] = since
        if is_guess:
            self.guessed_versions.add(version)
        if len(self.since_by_version) > _MAX_VERSIONS:
            oldest = min(self.since_by_version)
            del self.since_by_version[oldest]
            self.guessed_versions.discard(oldest)
