"""When the reads of other entries end, as they tell it."""

from __future__ import annotations

import typing

from clementinepass.decisions import reading_turns

if typing.TYPE_CHECKING:
    from clementinepass.direct import members


class Turns:
    """Choose how long this entry's reads of one topic wait.

    :param own_ip: the IP number of this process.
    :param known: the entries that are there.
    """

    __slots__ = ('_end_by_ip', '_known', '_own_ip')

    def __init__(self, own_ip: str, known: members.Members) -> None:
        self._own_ip = own_ip
        self._known = known
        #: Monotonic seconds at which an entry's read ends.
        self._end_by_ip: dict[str, float] = {}

    def heard(self, ip: str, seconds: float, now: float) -> None:
        """Take it that an entry's read ends in some seconds; 0 for none."""
        if seconds:
            self._end_by_ip[ip] = now + seconds
        else:
            self._end_by_ip.pop(ip, None)

    def wait(self, now: float, *, has_news: bool) -> float:
        """Return the seconds that a read which begins now waits.

        :param has_news: whether the one before brought records.
        """
        others = [one.ip for one in self._known.alive(now)]
        before = sum(ip < self._own_ip for ip in others)
        turn = reading_turns.Turn(before, len(others) + 1)
        if has_news:
            return reading_turns.after_news(turn)
        self._end_by_ip = {
            ip: end for ip, end in self._end_by_ip.items() if ip in others
        }
        ends = [end - now for end in self._end_by_ip.values() if end > now]
        return reading_turns.after_silence(turn, ends)
