"""Track on which versions of a model's weights requests may still start.

The operator may change the desired version faster than versions spread. Each
version therefore has a deadline of its own, counted from when it became the
desired one: a newer version must not postpone the deadline of the one before,
which is still spreading.
"""

from __future__ import annotations

import math
import typing

#: Most versions that are remembered: heartbeats carry all of them.
_MAX_VERSIONS = 16


class Naming(typing.NamedTuple):
    """What is known of when a version became the desired one.

    :param since: monotonic seconds.
    :param is_guess: whether that is a guess.
    """

    since: float
    is_guess: bool


class DesiredVersions:
    """The versions of one model that recently became the desired one.

    :param deadline_seconds: time after a version became the desired one from
        which requests may not start on an older version.
    """

    __slots__ = (
        '_deadline_seconds',
        '_heard_at_by_version',
        '_oldest_needed',
        'guessed_versions',
        'since_by_version',
    )

    def __init__(self, deadline_seconds: float) -> None:
        self._deadline_seconds = deadline_seconds
        #: The oldest version whose deadline still matters.
        self._oldest_needed = 0
        #: Monotonic seconds at which each version was first heard of.
        self._heard_at_by_version: dict[int, float] = {}
        #: Monotonic seconds at which each version became the desired one.
        self.since_by_version: dict[int, float] = {}
        #: Versions for which that time is a guess.
        self.guessed_versions: set[int] = set()

    @property
    def newest(self) -> int:
        """Return the newest version; 0 if there is none yet."""
        return max(self.since_by_version, default=0)

    def record(
        self,
        version: int,
        since: float,
        *,
        is_guess: bool = False,
        heard_at: float = math.inf,
    ) -> bool:
        """Record when a version became the desired one.

        The earlier of two times for one version is kept, since a process that
        learned of the version late cannot know the time. A process that started
        after the version became desired has to guess the time. The guess is
        replaced by a known time, and is ignored if one has been recorded
        already. No time is later than when the version was first heard of.

        :param since: monotonic seconds at which the version became the desired
            one.
        :param is_guess: whether ``since`` is a guess.
        :param heard_at: monotonic seconds at which this process hears of it.
        :returns: whether the version is new and the newest one.
        """
        if self._is_superseded(version):
            return False
        first_heard_at = self._heard_at_by_version.setdefault(version, heard_at)
        since = min(since, first_heard_at)
        known_since = self.since_by_version.get(version)
        if known_since is None:
            self.since_by_version[version] = since
            if is_guess:
                self.guessed_versions.add(version)
            self._remove_superseded(heard_at)
            self._limit_count()
            return version == self.newest
        if version in self.guessed_versions and not is_guess:
            self.guessed_versions.discard(version)
            self.since_by_version[version] = since
        elif is_guess == (version in self.guessed_versions):
            self.since_by_version[version] = min(known_since, since)
        return False

    def naming(self, version: int) -> Naming | None:
        """Return when a version became the desired one, if it is known."""
        since = self.since_by_version.get(version)
        if since is None:
            return None
        return Naming(since, version in self.guessed_versions)

    def shift(self, seconds: float) -> None:
        """Move all times to earlier ones.

        :param seconds: time that the clock has not counted.
        """
        for times in (self.since_by_version, self._heard_at_by_version):
            for version in times:
                times[version] -= seconds

    def usable_until(self, version: int) -> float:
        """Return the time until which requests may start on a version."""
        newer = [
            since + self._deadline_seconds
            for other_version, since in self.since_by_version.items()
            if other_version > version
        ]
        return min(newer, default=math.inf)

    def oldest_allowed(self, now: float) -> int:
        """Return the oldest version on which requests may start."""
        return max(
            (
                version
                for version, since in self.since_by_version.items()
                if now >= since + self._deadline_seconds
            ),
            default=0,
        )

    def _is_superseded(self, version: int) -> bool:
        """Return whether the deadline of a newer version made one redundant."""
        return version < self._oldest_needed

    def _remove_superseded(self, now: float) -> None:
        """Forget the versions before the newest whose deadline has passed.

        A guess does not count, since a known time that is later may follow.
        """
        if now == math.inf:
            return
        self._oldest_needed = max(
            (
                version
                for version, since in self.since_by_version.items()
                if version not in self.guessed_versions
                and now >= since + self._deadline_seconds
            ),
            default=self._oldest_needed,
        )
        for version in list(self.since_by_version):
            if self._is_superseded(version):
                self._forget(version)

    def _limit_count(self) -> None:
        """Merge the two oldest versions if there are too many.

        The earlier deadline is kept, so that no bound moves to a later time.
        """
        if len(self.since_by_version) <= _MAX_VERSIONS:
            return
        oldest, following = sorted(self.since_by_version)[:2]
        self.since_by_version[following] = min(
            self.since_by_version[oldest], self.since_by_version[following]
        )
        if oldest in self.guessed_versions:
            self.guessed_versions.add(following)
        self._forget(oldest)

    def _forget(self, version: int) -> None:
        del self.since_by_version[version]
        self._heard_at_by_version.pop(version, None)
        self.guessed_versions.discard(version)
