"""Distribute reads of the store over the entries and over time.

The entries announce in heartbeats when their pending reads end.
"""

from __future__ import annotations

import typing

from clementinepass.decisions import reading_turns, region_readers
from clementinepass.direct import members

if typing.TYPE_CHECKING:
    from clementinepass.direct import node


class ReadTurns:
    """Decides whether this entry reads a topic, and how long reads wait.

    :param local_node: the local node.
    :param entries: the other entries.
    """

    __slots__ = ('_read_end_by_ip', '_members', '_local_node')

    def __init__(self, local_node: node.Node, entries: members.Members) -> None:
        self._local_node = local_node
        self._members = entries
        #: Monotonic seconds at which the pending read of an entry ends.
        self._read_end_by_ip: dict[str, float] = {}

    def update(self, ip: str, seconds: float, now: float) -> None:
        """Record the seconds until an entry's pending read ends; 0 for none."""
        if seconds:
            self._read_end_by_ip[ip] = now + seconds
        else:
            self._read_end_by_ip.pop(ip, None)

    def should_read(self, now: float) -> bool:
        """Return whether this entry is one that reads for its region."""
        recent = self._members.seen_within(
            now, region_readers.MAX_SILENCE_SECONDS
        )
        near = [
            member.ip
            for member in recent
            if member.region == self._local_node.region
            and member.phase is members.Phase.READY
        ]
        return region_readers.is_reader(self._local_node.ip, near)

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
