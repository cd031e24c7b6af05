"""Send pieces over a machine's link beside the events of its engine."""

from __future__ import annotations

import asyncio
import typing

if typing.TYPE_CHECKING:
    from clementinepass.http import messages, replies

_OK = 200
_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT = 1_000_000
#: The part of the link that carries bytes of pieces and events; their heads
#: and acknowledgements take the rest.
_PAYLOAD_SHARE = 0.95
#: Bits a second of one stream: an event of 70 bytes with 120 of framing, each
#: 42 milliseconds, which is the time that an engine takes for six tokens.
_STREAM_BITS_PER_SECOND = 36_000
#: Bits a second of reports of the engine's load and of heartbeats.
_CONTROL_BITS_PER_SECOND = 100_000
#: The part of the link that pieces take however many streams there are.
_MIN_PIECE_SHARE = 0.5
#: Seconds that a part may take on a link, whatever its settings say.
_MAX_PART_SECONDS = 0.5
#: Seconds by which timers fire late, made up for by the next one.
_MAX_TIMER_DELAY_SECONDS = 0.02
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

    __slots__ = ('_free_at', '_link_bits', '_lock', '_stream_count')

    def __init__(
        self,
        link_mbps: float,
        stream_count: typing.Callable[[], int],
    ) -> None:
        self._link_bits = link_mbps * _BITS_PER_MEGABIT
        self._stream_count = stream_count
        self._lock = asyncio.Lock()
        #: Monotonic seconds at which what was sent is out.
        self._free_at: float = 0

    async def send(
        self,
        reply: replies.Reply,
        piece: bytes,
        headers: list[messages.Pair],
    ) -> None:
        """Send a piece when those before it are out.

        :param pairs: headers that say what else there is here.
        """
        async with self._lock:
            reply.begin(_OK, headers)
            for start in range(0, len(piece), _PART_BYTES):
                part = piece[start : start + _PART_BYTES]
                reply.write(part)
                await self._wait_until_sent(len(part))
            reply.end()

    async def _wait_until_sent(self, byte_count: int) -> None:
        """Wait until the link has taken bytes that were just sent.

        By the time at which they should be out, not by their duration, since
        timers fire late and four for each piece would add up.
        """
        now = asyncio.get_running_loop().time()
        seconds = min(
            byte_count * _BITS_PER_BYTE / self._piece_rate(), _MAX_PART_SECONDS
        )
        self._free_at = (
            max(self._free_at, now - _MAX_TIMER_DELAY_SECONDS) + seconds
        )
        await asyncio.sleep(max(self._free_at - now, 0))

    def _piece_rate(self) -> float:
        """Return the bits a second that the engine's streams leave."""
        rate = self._link_bits * _PAYLOAD_SHARE - _CONTROL_BITS_PER_SECOND
        rate -= self._stream_count() * _STREAM_BITS_PER_SECOND
        return max(rate, self._link_bits * _MIN_PIECE_SHARE)
