"""Send pieces over a machine's link without delaying its engine's events."""

from __future__ import annotations

import asyncio
import typing

if typing.TYPE_CHECKING:
    from clementinepass.http import messages, replies

_OK = 200
_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT = 1_000_000
#: Share of the link that carries the payload of pieces and events; headers and
#: acknowledgements take the rest.
_PAYLOAD_SHARE = 0.95
#: Rate of one stream: an event of 70 bytes with 120 bytes of framing every 42
#: ms, which is the time that an engine takes for six tokens.
_STREAM_BITS_PER_SECOND = 36_000
#: Rate of the engine's load reports and of heartbeats.
_CONTROL_BITS_PER_SECOND = 100_000
#: The least share of the link for pieces, with any number of streams.
_MIN_PIECE_SHARE = 0.5
#: The longest time in seconds that a part may take, whatever the settings say
#: about the link.
_MAX_PART_SECONDS = 0.5
#: The longest delay of a timer in seconds that the next wait makes up for.
_MAX_TIMER_DELAY_SECONDS = 0.02
#: Bytes sent at a time: 14 ms on a link of 3.65 Mbit/s.
_PART_BYTES = 6144


class Uplink:
    """Sends one piece at a time, in parts, at the rate of the link.

    Pieces that are handed to the kernel whole delay the engine's events by 54
    ms each, and an event that arrives 120 ms after it was produced is late.
    Between parts, events find the link free.

    :param link_mbps: the rate of the machine's link in megabits a second.
    :param stream_count: returns how many streams the engine sends.
    """

    __slots__ = ('_free_at', '_link_bits_per_second', '_lock', '_stream_count')

    def __init__(
        self,
        link_mbps: float,
        stream_count: typing.Callable[[], int],
    ) -> None:
        self._link_bits_per_second = link_mbps * _BITS_PER_MEGABIT
        self._stream_count = stream_count
        self._lock = asyncio.Lock()
        #: Monotonic seconds at which the link has carried all that was sent.
        self._free_at: float = 0

    async def send(
        self,
        reply: replies.Reply,
        piece: bytes,
        headers: list[messages.Pair],
    ) -> None:
        """Send a piece after those before it.

        :param headers: headers that describe the pieces here.
        """
        async with self._lock:
            reply.start(_OK, headers)
            for offset in range(0, len(piece), _PART_BYTES):
                part = piece[offset : offset + _PART_BYTES]
                reply.write(part)
                await self._wait_until_sent(len(part))
            reply.end()

    async def _wait_until_sent(self, byte_count: int) -> None:
        """Wait until the link has carried the bytes that were just sent.

        The end of the wait is computed from the planned end of the previous
        one: timers are late, and the delays of four parts for each piece would
        add up.
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
        """Return the bits per second that streams leave for pieces."""
        rate = (
            self._link_bits_per_second * _PAYLOAD_SHARE
            - _CONTROL_BITS_PER_SECOND
        )
        rate -= self._stream_count() * _STREAM_BITS_PER_SECOND
        return max(rate, self._link_bits_per_second * _MIN_PIECE_SHARE)
