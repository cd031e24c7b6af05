"""Which entries read the store, and when their reads end, as they tell it."""

from __future__ import annotations

import typing

from clementinepass.decisions import reading_turns, region_readers
from clementinepass.direct import members

if typing.TYPE_CHECKING:
    from clementinepass.direct import node


class Turns:
    """Choose whether this entry reads one topic, and how long reads wait.

    :param own: who this process is.
    :param known: the entries that are there.
    """

    __slots__ = ('_end_by_ip', '_known', '_own')

    def __init__(self, own: node.Node, known: members.Members) -> None:
        self._own = own
        self._known = known
        #: Monotonic seconds at which the read of an entry that reads ends.
        self._end_by_ip: dict[str, float] = {}

    def heard(self, ip: str, seconds: float, now: float) -> None:
        """Take it that an entry's read ends in some seconds; 0 for none."""
        if seconds:
            self._end_by_ip[ip] = now + seconds
        else:
            self._end_by_ip.pop(ip, None)

    def reads(self, now: float) -> bool:
        """Tell whether this entry reads; else others of its region do."""
        relied = self._known.heard_within(
            now, region_readers.MAX_SILENCE_SECONDS
        )
        near = [
            one.ip
            for one in relied
            if one.region == self._own.region
            and one.phase is members.Phase.READY
        ]
        return region_readers.is_reader(self._own.ip, near)

    def wait(self, now: float, *, has_news: bool) -> float:
        """Return the seconds that a read which begins now waits.

        :param has_news: whether the one before brought records.
        """
        alive = {one.ip for one in self._known.alive(now)}
        self._end_by_ip = {
            ip: end for ip, end in self._end_by_ip.items() if ip in alive
        }
        before = sum(ip < self._own.ip for ip in self._end_by_ip)
        turn = reading_turns.Turn(before, len(self._end_by_ip) + 1)
        if has_news:
            return reading_turns.wait_after_change(turn)
        ends = [end - now for end in self._end_by_ip.values() if end > now]
        return reading_turns.wait_after_empty_read(turn, ends)
