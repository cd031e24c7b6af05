"""Which processes of the system are there, as told by themselves.

Each process counts its heartbeats, and each message carries the counts that
its sender knows.  One whose count stops growing is gone, whoever stopped
hearing of it; a process that is cut off from one other is still seen through
the rest.
"""

from __future__ import annotations

import enum
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

#: Seconds without a new heartbeat after which a process is taken for gone.
#: Six heartbeats: datagrams are lost now and then, and one gone too early
#: takes callers off an entry that serves.
SILENCE_TIMEOUT_SECONDS = 2.4
#: Seconds for which one that is gone is remembered, so that the word of one
#: who hasn't noticed doesn't bring it back.
_RETENTION_SECONDS = 20.0


class Phase(enum.Enum):
    """What a process says of itself."""

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'leaving'


class Member(typing.NamedTuple):
    """An entry as it tells of itself, and what it has come to know.

    :param boot: another at each start, growing.
    :param heartbeat: grows by one each time that it speaks.
    :param callers: ``host:port`` where callers connect.
    """

    ip: str
    boot: int
    heartbeat: int
    phase: Phase
    callers: str
    domain: str
    region: str


class Digest(typing.NamedTuple):
    """What changes of a member from heartbeat to heartbeat."""

    ip: str
    boot: int
    heartbeat: int
    phase: Phase


class _MemberState:
    """The newest word of a member and when it came."""

    __slots__ = ('last_seen', 'draining_since', 'member')

    def __init__(self, member: Member, at: float) -> None:
        self.member = member
        self.last_seen = at
        #: When it first said that it leaves; ``None`` before that. One that is
        #: met as it leaves may have been told long ago.
        self.draining_since: float | None = None
        if member.phase is Phase.DRAINING:
            self.draining_since = float('-inf')


class Members:
    """The entries, by IP number.

    :param own_ip: the number of this process, which isn't listed.
    """

    __slots__ = ('_local_ip', '_states_by_ip')

    def __init__(self, own_ip: str) -> None:
        self._local_ip = own_ip
        self._states_by_ip: dict[str, _MemberState] = {}

    def update(self, members: Iterable[Member], now: float) -> list[Member]:
        """Take members' words; return those that are new or changed."""
        return [
            member for member in members if self._update_member(member, now)
        ]

    def update_from_digests(
        self,
        digests: Iterable[Digest],
        now: float,
    ) -> tuple[list[Member], list[str]]:
        """Take digests of members.

        :returns: the members that changed, and the IP numbers of those that
            aren't known: a digest doesn't say where callers connect.
        """
        changed = []
        unknown = []
        for digest in digests:
            seen = self._states_by_ip.get(digest.ip)
            if seen is not None:
                newer = seen.member._replace(
                    boot=digest.boot,
                    heartbeat=digest.heartbeat,
                    phase=digest.phase,
                )
                if self._update_member(newer, now):
                    changed.append(newer)
            elif digest.ip != self._local_ip:
                unknown.append(digest.ip)
        return changed, unknown

    def alive(self, now: float) -> list[Member]:
        """Return the members that are there."""
        return self.seen_within(now, SILENCE_TIMEOUT_SECONDS)

    def seen_within(self, now: float, seconds: float) -> list[Member]:
        """Return the members that were heard of within some seconds."""
        return [
            seen.member
            for seen in self._states_by_ip.values()
            if now - seen.last_seen <= seconds
        ]

    def ready(self, now: float) -> list[Member]:
        """Return the members that callers may be sent to."""
        return [
            member for member in self.alive(now) if member.phase is Phase.READY
        ]

    def recently_draining(self, now: float, seconds: float) -> list[Member]:
        """Return the members that began to leave within some seconds."""
        return [
            seen.member
            for seen in self._states_by_ip.values()
            if seen.draining_since is not None
            and now - seen.draining_since <= seconds
        ]

    def count_seen_within(self, now: float, seconds: float) -> int:
        """Count the members heard of within some seconds."""
        return sum(
            now - seen.last_seen <= seconds
            for seen in self._states_by_ip.values()
        )

    def split_by_domain(self, domain: str) -> tuple[list[str], list[str]]:
        """Return the IP numbers known, also of those that fell silent.

        Those in a failure domain first, then those in others.
        """
        near: list[str] = []
        far: list[str] = []
        for ip, seen in self._states_by_ip.items():
            (near if seen.member.domain == domain else far).append(ip)
        return near, far

    def remove_expired(self, now: float) -> list[Member]:
        """Drop members that are long gone; return them."""
        gone = [
            seen.member
            for seen in self._states_by_ip.values()
            if now - seen.last_seen > _RETENTION_SECONDS
        ]
        for member in gone:
            del self._states_by_ip[member.ip]
        return gone

    def _update_member(self, member: Member, now: float) -> bool:
        if member.ip == self._local_ip:
            return False
        seen = self._states_by_ip.get(member.ip)
        if seen is None:
            self._states_by_ip[member.ip] = _MemberState(member, now)
            return True
        known = seen.member
        if (member.boot, member.heartbeat) <= (known.boot, known.heartbeat):
            return False
        if member.phase is not Phase.DRAINING:
            seen.draining_since = None
        elif seen.draining_since is None:
            seen.draining_since = now
        seen.member = member
        seen.last_seen = now
        return known.boot != member.boot or known.phase is not member.phase
