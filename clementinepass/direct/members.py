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
SILENCE_SECONDS = 2.4
#: Seconds for which one that is gone is remembered, so that the word of one
#: who hasn't noticed doesn't bring it back.
_FORGET_SECONDS = 20.0


class Phase(enum.Enum):
    """What a process says of itself."""

    STARTING = 'starting'
    READY = 'ready'
    LEAVING = 'leaving'


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


class _Seen:
    """The newest word of a member and when it came."""

    __slots__ = ('at', 'leaving_at', 'member')

    def __init__(self, member: Member, at: float) -> None:
        self.member = member
        self.at = at
        #: When it first said that it leaves; ``None`` before that. One that is
        #: met as it leaves may have been told long ago.
        self.leaving_at: float | None = None
        if member.phase is Phase.LEAVING:
            self.leaving_at = float('-inf')


class Members:
    """The entries, by IP number.

    :param own_ip: the number of this process, which isn't listed.
    """

    __slots__ = ('_own_ip', '_seen_by_ip')

    def __init__(self, own_ip: str) -> None:
        self._own_ip = own_ip
        self._seen_by_ip: dict[str, _Seen] = {}

    def heard(self, members: Iterable[Member], now: float) -> list[Member]:
        """Take members' words; return those that are new or changed."""
        return [member for member in members if self._take(member, now)]

    def heard_digests(
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
            seen = self._seen_by_ip.get(digest.ip)
            if seen is not None:
                newer = seen.member._replace(
                    boot=digest.boot,
                    heartbeat=digest.heartbeat,
                    phase=digest.phase,
                )
                if self._take(newer, now):
                    changed.append(newer)
            elif digest.ip != self._own_ip:
                unknown.append(digest.ip)
        return changed, unknown

    def alive(self, now: float) -> list[Member]:
        """Return the members that are there."""
        return self.heard_within(now, SILENCE_SECONDS)

    def heard_within(self, now: float, seconds: float) -> list[Member]:
        """Return the members that were heard of within some seconds."""
        return [
            seen.member
            for seen in self._seen_by_ip.values()
            if now - seen.at <= seconds
        ]

    def ready(self, now: float) -> list[Member]:
        """Return the members that callers may be sent to."""
        return [
            member for member in self.alive(now) if member.phase is Phase.READY
        ]

    def leaving_lately(self, now: float, seconds: float) -> list[Member]:
        """Return the members that began to leave within some seconds."""
        return [
            seen.member
            for seen in self._seen_by_ip.values()
            if seen.leaving_at is not None and now - seen.leaving_at <= seconds
        ]

    def lately(self, now: float, seconds: float) -> int:
        """Count the members heard of within some seconds."""
        return sum(
            now - seen.at <= seconds for seen in self._seen_by_ip.values()
        )

    def addresses(self, domain: str) -> tuple[list[str], list[str]]:
        """Return the IP numbers known, also of those that fell silent.

        Those in a failure domain first, then those in others.
        """
        near: list[str] = []
        far: list[str] = []
        for ip, seen in self._seen_by_ip.items():
            (near if seen.member.domain == domain else far).append(ip)
        return near, far

    def forget(self, now: float) -> list[Member]:
        """Drop members that are long gone; return them."""
        gone = [
            seen.member
            for seen in self._seen_by_ip.values()
            if now - seen.at > _FORGET_SECONDS
        ]
        for member in gone:
            del self._seen_by_ip[member.ip]
        return gone

    def _take(self, member: Member, now: float) -> bool:
        if member.ip == self._own_ip:
            return False
        seen = self._seen_by_ip.get(member.ip)
        if seen is None:
            self._seen_by_ip[member.ip] = _Seen(member, now)
            return True
        known = seen.member
        if (member.boot, member.heartbeat) <= (known.boot, known.heartbeat):
            return False
        if member.phase is not Phase.LEAVING:
            seen.leaving_at = None
        elif seen.leaving_at is None:
            seen.leaving_at = now
        seen.member = member
        seen.at = now
        return known.boot != member.boot or known.phase is not member.phase
