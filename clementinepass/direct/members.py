"""Membership: which entries are alive.

Each entry counts its heartbeats, and messages carry the counts that their
sender knows.  A member whose count stops growing everywhere is gone.  A member
that is cut off from one peer is still seen through the others.
"""

from __future__ import annotations

import enum
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

#: Seconds without a new heartbeat after which a member counts as gone. Six
#: heartbeats: datagrams are lost now and then, and a member removed too early
#: takes callers off an entry that serves.
SILENCE_TIMEOUT_SECONDS = 2.4
#: Seconds for which a member that is gone is remembered, so that a peer that
#: has not noticed yet does not bring it back.
_RETENTION_SECONDS = 20.0


class Phase(enum.Enum):
    """The state of a process, as it announces it.

    Messages carry a state as its position here, log lines by its value.
    """

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'leaving'


class Member(typing.NamedTuple):
    """An entry as it describes itself.

    :param boot: a number that grows from one start of the entry to the next.
    :param heartbeat: the number of heartbeats sent since that start.
    :param callers_address: ``host:port`` where callers connect.
    :param domain: its failure domain.
    """

    ip: str
    boot: int
    heartbeat: int
    phase: Phase
    callers_address: str
    domain: str
    region: str


class Digest(typing.NamedTuple):
    """The part of a member that changes from heartbeat to heartbeat."""

    ip: str
    boot: int
    heartbeat: int
    phase: Phase


class _MemberState:
    """The newest announcement of a member.

    :param last_seen: monotonic seconds at which it arrived.
    """

    __slots__ = ('last_seen', 'draining_since', 'member')

    def __init__(self, member: Member, last_seen: float) -> None:
        self.member = member
        self.last_seen = last_seen
        #: Monotonic seconds at which the member first announced that it drains;
        #: ``None`` if it does not drain. A member that drains when it is first
        #: seen may have begun to drain long before.
        self.draining_since: float | None = None
        if member.phase is Phase.DRAINING:
            self.draining_since = float('-inf')


class Members:
    """The other entries, by IP address.

    :param local_ip: the IP address of this process, which is not listed.
    """

    __slots__ = ('_local_ip', '_states_by_ip')

    def __init__(self, local_ip: str) -> None:
        self._local_ip = local_ip
        self._states_by_ip: dict[str, _MemberState] = {}

    def update(self, members: Iterable[Member], now: float) -> list[Member]:
        """Apply announcements; return the members that are new or changed."""
        return [
            member for member in members if self._update_member(member, now)
        ]

    def update_from_digests(
        self,
        digests: Iterable[Digest],
        now: float,
    ) -> tuple[list[Member], list[str]]:
        """Apply digests of members.

        :returns: the members that changed, and the IP addresses of unknown
            members. These are not added: a digest does not say where callers
            connect.
        """
        changed = []
        unknown = []
        for digest in digests:
            state = self._states_by_ip.get(digest.ip)
            if state is not None:
                newer = state.member._replace(
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
        """Return the members that are alive."""
        return self.seen_within(now, SILENCE_TIMEOUT_SECONDS)

    def seen_within(self, now: float, seconds: float) -> list[Member]:
        """Return the members last seen within a number of seconds."""
        return [
            state.member
            for state in self._states_by_ip.values()
            if now - state.last_seen <= seconds
        ]

    def ready(self, now: float) -> list[Member]:
        """Return the members that callers may be sent to."""
        return [
            member for member in self.alive(now) if member.phase is Phase.READY
        ]

    def recently_draining(self, now: float, seconds: float) -> list[Member]:
        """Return the members that began to drain within some seconds."""
        return [
            state.member
            for state in self._states_by_ip.values()
            if state.draining_since is not None
            and now - state.draining_since <= seconds
        ]

    def count_seen_within(self, now: float, seconds: float) -> int:
        """Count the members last seen within a number of seconds."""
        return sum(
            now - state.last_seen <= seconds
            for state in self._states_by_ip.values()
        )

    def split_by_domain(self, domain: str) -> tuple[list[str], list[str]]:
        """Return the IP addresses of all known members, silent ones included.

        :returns: those in a failure domain, and those outside it.
        """
        near: list[str] = []
        far: list[str] = []
        for ip, state in self._states_by_ip.items():
            (near if state.member.domain == domain else far).append(ip)
        return near, far

    def remove_expired(self, now: float) -> list[Member]:
        """Remove members that are long gone; return them."""
        expired = [
            state.member
            for state in self._states_by_ip.values()
            if now - state.last_seen > _RETENTION_SECONDS
        ]
        for member in expired:
            del self._states_by_ip[member.ip]
        return expired

    def _update_member(self, member: Member, now: float) -> bool:
        if member.ip == self._local_ip:
            return False
        state = self._states_by_ip.get(member.ip)
        if state is None:
            self._states_by_ip[member.ip] = _MemberState(member, now)
            return True
        known = state.member
        if (member.boot, member.heartbeat) <= (known.boot, known.heartbeat):
            return False
        if member.phase is not Phase.DRAINING:
            state.draining_since = None
        elif state.draining_since is None:
            state.draining_since = now
        state.member = member
        state.last_seen = now
        return known.boot != member.boot or known.phase is not member.phase
