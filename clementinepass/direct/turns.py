"""Which entries read the store, and when their reads end, as they tell it."""

from __future__ import annotations

import typing

from clementinepass.decisions import reading_turns, region_readers
from clementinepass.direct import members

if typing.TYPE_CHECKING:
    from clementinepass.direct import node


class ReadTurns:
    """Choose whether this entry reads one topic, and how long reads wait.

    :param local_node: who this process is.
    :param known: the entries that are there.
    """

    __slots__ = ('_read_end_by_ip', '_members', '_local_node')

    def __init__(self, local_node: node.Node, known: members.Members) -> None:
        self._local_node = local_node
        self._members = known
        #: Monotonic seconds at which the read of an entry that reads ends.
        self._read_end_by_ip: dict[str, float] = {}

    def update(self, ip: str, seconds: float, now: float) -> None:
        """Take it that an entry's read ends in some seconds; 0 for none."""
        if seconds:
            self._read_end_by_ip[ip] = now + seconds
        else:
            self._read_end_by_ip.pop(ip, None)

    def should_read(self, now: float) -> bool:
        """Tell whether this entry reads; else others of its region do."""
        relied = self._members.seen_within(now, region_readers.RELIED_SECONDS)
        near = [
            one.ip
            for one in relied
            if one.region == self._local_node.region
            and one.phase is members.Phase.READY
        ]
        return region_readers.reads(self._local_node.ip, near)

    def wait_seconds(self, now: float, *, has_changes: bool) -> float:
        """Return the seconds that a read which begins now waits.

        :param has_changes: whether the one before brought records.
        """
        alive = {one.ip for one in self._members.alive(now)}
        self._read_end_by_ip = {
            ip: end for ip, end in self._read_end_by_ip.items() if ip in alive
        }
        before = sum(ip < self._local_node.ip for ip in self._read_end_by_ip)
        turn = reading_turns.Turn(before, len(self._read_end_by_ip) + 1)
        if has_changes:
            return reading_turns.after_news(turn)
        ends = [end - now for end in self._read_end_by_ip.values() if end > now]
        return reading_turns.after_silence(turn, ends)
