"""Bootstrap processes that have just started from what is known here."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from clementinepass.direct import heartbeats

#: Seconds for which one message is sent to all that ask.
_MESSAGE_LIFETIME_SECONDS = 0.1
#: Processes remembered that asked before anything was known here.
_MAX_WAITING = 4096


class Bootstrap:
    """Answers processes that have just started.

    Load: all of 300 processes start together and ask the same three seeds.

    :param compose: returns a message with all that is known.
    :param send: sends it to an IP number.
    """

    __slots__ = ('_compose', '_composed_at', '_message', '_send', '_waiting')

    def __init__(
        self,
        compose: Callable[[], bytes],
        send: Callable[[bytes, str], None],
    ) -> None:
        self._compose = compose
        self._send = send
        self._message = b''
        self._composed_at = float('-inf')
        #: The IP numbers of those that asked too early, in order.
        self._waiting: dict[str, None] = {}

    def handle_heartbeat(
        self,
        heartbeat: heartbeats.Heartbeat,
        ip: str,
        now: float,
        *,
        offsets: tuple[int, int],
    ) -> None:
        """Answer a process that knows nothing of what is known here.

        It is told at once: a heartbeat would come its way by turns, and where
        all start together it is the seeds that know first.

        :param offsets: how far the operator's records and those of endpoints
            were read here.
        """
        there = heartbeat.operator_offset, heartbeat.endpoints_offset
        pairs = list(zip(there, offsets, strict=True))
        if any(here and not offset for offset, here in pairs):
            self._send(self._current_message(now), ip)
        if all(offsets) or all(there):
            self._waiting.pop(ip, None)
        elif len(self._waiting) < _MAX_WAITING:
            self._waiting[ip] = None

    def reply_to_waiting(self, now: float) -> None:
        """Answer those that asked before all was known here."""
        waiting = self._waiting
        self._waiting = {}
        for ip in waiting:
            self._send(self._current_message(now), ip)

    def _current_message(self, now: float) -> bytes:
        if now - self._composed_at >= _MESSAGE_LIFETIME_SECONDS:
            self._message = self._compose()
            self._composed_at = now
        return self._message
