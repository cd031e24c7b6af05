"""Distribute reads of the store over the entries and over time.

The entries announce in heartbeats when their pending reads end.
"""

from __future__ import annotations

import typing

from clementinepass.decisions import reading_turns, region_readers
from clementinepass.direct import members

if typing.TYPE_CHECKING:
    from clementinepass.direct import node, store_distances


#: Seconds for which an entry reads after it has found the readers behind.
_SUBSTITUTE_SECONDS = 3.0


class ReadTurns:
    """Decides whether this entry reads a topic, and how long reads wait.

    :param local_node: the local node.
    :param entries: the other entries.
    :param distances: how far the regions are from the store, if only the
        nearest one reads the topic; ``None`` if each region does.
    """

    __slots__ = (
        '_distances',
        '_local_node',
        '_members',
        '_nearest_read_at',
        '_read_end_by_ip',
        '_reads_until',
    )

    def __init__(
        self,
        local_node: node.Node,
        entries: members.Members,
        distances: store_distances.StoreDistances | None = None,
    ) -> None:
        self._local_node = local_node
        self._members = entries
        self._distances = distances
        #: Monotonic seconds at which the pending read of an entry ends.
        self._read_end_by_ip: dict[str, float] = {}
        #: Monotonic seconds at which an entry of the region nearest to the
        #: store last announced a pending read.
        self._nearest_read_at = float('-inf')
        #: Monotonic seconds until which this entry reads whatever others do.
        self._reads_until = float('-inf')

    def update(self, ip: str, region: str, seconds: float, now: float) -> None:
        """Record the seconds until an entry's pending read ends; 0 for none.

        :param region: the region of the entry.
        """
        if not seconds:
            self._read_end_by_ip.pop(ip, None)
            return
        self._read_end_by_ip[ip] = now + seconds
        if self._distances and self._distances.nearest_region == region:
            self._nearest_read_at = now

    def should_read(self, now: float) -> bool:
        """Return whether this entry reads the topic for others.

        It does so for its region; if another region is nearer to the store,
        only while no entry there is known to read.
        """
        if now < self._reads_until:
            return True
        if not region_readers.is_reader(
            self._local_node.ip, self._nearby_ips(now)
        ):
            return False
        if self._is_region_reading:
            return True
        silence = now - self._nearest_read_at
        return silence > region_readers.MAX_SILENCE_SECONDS

    def read_for_a_while(self, now: float) -> None:
        """Let this entry read, as those that others rely on are behind."""
        self._reads_until = now + _SUBSTITUTE_SECONDS

    def is_watcher(self, now: float) -> bool:
        """Return whether this entry checks that the readers are not behind.

        It is the first one of its region that does not read.
        """
        return region_readers.is_watcher(
            self._local_node.ip,
            self._nearby_ips(now),
            is_region_reading=self._is_region_reading,
        )

    def rank(self, now: float) -> int:
        """Return the position of this entry in the order of its region."""
        return region_readers.rank(self._local_node.ip, self._nearby_ips(now))

    def is_relay(self, now: float) -> bool:
        """Return whether this entry fetches records for its region."""
        return self._local_node.ip in region_readers.relays(
            [self._local_node.ip, *self._nearby_ips(now)]
        )

    def relays(self, now: float) -> set[str]:
        """Return the entries that fetch the records for the other regions."""
        ips_by_region: dict[str, list[str]] = {}
        for member in self._recent(now):
            if member.region != self._local_node.region:
                ips_by_region.setdefault(member.region, []).append(member.ip)
        return {
            ip
            for ips in ips_by_region.values()
            for ip in region_readers.relays(ips)
        }

    @property
    def _is_region_reading(self) -> bool:
        """Return whether entries of this region read the topic."""
        return self._distances is None or self._distances.is_local_nearest

    def _nearby_ips(self, now: float) -> list[str]:
        return [
            member.ip
            for member in self._recent(now)
            if member.region == self._local_node.region
        ]

    def _recent(self, now: float) -> list[members.Member]:
        """Return the ready entries that were heard from recently."""
        recent = self._members.seen_within(
            now, region_readers.MAX_SILENCE_SECONDS
        )
        return [
            member for member in recent if member.phase is members.Phase.READY
        ]

    def wait_seconds(self, now: float, *, has_changes: bool) -> float:
        """Return for how long a read that starts now waits for changes.

        :param has_changes: whether the previous read returned records.
        """
        alive = {member.ip for member in self._members.alive(now)}
        self._read_end_by_ip = {
            ip: end for ip, end in self._read_end_by_ip.items() if ip in alive
        }
        before = sum(ip < self._local_node.ip for ip in self._read_end_by_ip)
        turn = reading_turns.Turn(before, len(self._read_end_by_ip) + 1)
        if has_changes:
            return reading_turns.wait_after_change(turn)
        ends = [end - now for end in self._read_end_by_ip.values() if end > now]
        return reading_turns.wait_after_empty_read(turn, ends)
