"""Send pieces over a machine's link beside the events of its engine."""

from __future__ import annotations

import asyncio
import typing

if typing.TYPE_CHECKING:
    from clementinepass.http import messages, replies

_OK = 200
_BITS = 8
_MEGA = 1_000_000
#: The part of the link that carries bytes of pieces and events; their heads
#: and acknowledgements take the rest.
_LINK_PART = 0.95
#: Bits a second of one stream: an event of 70 bytes with 120 of framing, each
#: 42 milliseconds, which is the time that an engine takes for six tokens.
_STREAM_BITS = 36_000
#: Bits a second of reports of the engine's load and of heartbeats.
_CONTROL_BITS = 100_000
#: The part of the link that pieces take however many streams there are.
_LEAST_PART = 0.5
#: Seconds that a part may take on a link, whatever its settings say.
_LONGEST_TURN = 0.5
#: Seconds by which timers fire late, made up for by the next one.
_LATEST_TIMER = 0.02
#: Bytes sent at a time: 14 ms on a link of 3.65 Mbit/s.
_PART_BYTES = 6144


class Uplink:
    """Send one piece at a time, in parts, no faster than the link takes them.

    Failure: pieces that are handed to the kernel whole lie on the link before
    the engine's events, 54 ms each, and events that come 120 ms after they
    were made are late. Between parts events find the link free.

    :param link_mbps: megabits a second that the machine's link carries.
    :param streams: returns how many streams the engine sends.
    """

    __slots__ = ('_free_at', '_link', '_streams', '_turn')

    def __init__(
        self,
        link_mbps: float,
        streams: typing.Callable[[], int],
    ) -> None:
        self._link = link_mbps * _MEGA
        self._streams = streams
        self._turn = asyncio.Lock()
        #: Monotonic seconds at which what was sent is out.
        self._free_at: float = 0

    async def send(
        self,
        reply: replies.Reply,
        piece: bytes,
        pairs: list[messages.Pair],
    ) -> None:
        """Send a piece when those before it are out.

        :param pairs: headers that say what else there is here.
        """
        async with self._turn:
            reply.begin(_OK, pairs)
            for start in range(0, len(piece), _PART_BYTES):
                part = piece[start : start + _PART_BYTES]
                reply.write(part)
                await self._until_out(len(part))
            reply.end()

    async def _until_out(self, length: int) -> None:
        """Wait until the link has taken bytes that were just sent.

        By the time at which they should be out, not by their duration, since
        timers fire late and four for each piece would add up.
        """
        now = asyncio.get_running_loop().time()
        seconds = min(length * _BITS / self._left_for_pieces(), _LONGEST_TURN)
        self._free_at = max(self._free_at, now - _LATEST_TIMER) + seconds
        await asyncio.sleep(max(self._free_at - now, 0))

    def _left_for_pieces(self) -> float:
        """Return the bits a second that the engine's streams leave."""
        left = self._link * _LINK_PART - _CONTROL_BITS
        left -= self._streams() * _STREAM_BITS
        return max(left, self._link * _LEAST_PART)
