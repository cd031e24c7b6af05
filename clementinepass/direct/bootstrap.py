"""Send the local state to processes that have just started."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from clementinepass.direct import heartbeats

#: Seconds for which one composed message is reused for all requesters.
_MESSAGE_LIFETIME_SECONDS = 0.1
#: Most processes remembered that sent a heartbeat before this process had read
#: both topics.
_MAX_WAITING = 4096


class Bootstrap:
    """Answers processes that have just started.

    The message is composed once for many of them: after a power loss 300
    processes may start together and contact the same three seeds.

    :param compose: returns a full heartbeat message.
    :param send: sends a message to an IP address.
    """

    __slots__ = (
        '_compose',
        '_composed_at',
        '_message',
        '_send',
        '_sent_ips',
        '_waiting',
    )

    def __init__(
        self,
        compose: Callable[[], bytes],
        send: Callable[[bytes, str], None],
    ) -> None:
        self._compose = compose
        self._send = send
        self._message = b''
        self._composed_at = float('-inf')
        #: The IP addresses that the message was sent to.
        self._sent_ips: set[str] = set()
        #: The IP addresses of processes to answer later, in order.
        self._waiting: dict[str, None] = {}

    def handle_heartbeat(
        self,
        heartbeat: heartbeats.Heartbeat,
        ip: str,
        now: float,
        *,
        offsets: tuple[int, int],
    ) -> None:
        """Answer a process that lacks a topic that this process has read.

        The answer is sent at once: regular heartbeats go to a changing
        selection of peers, and when all processes start together the seeds
        are the first to have read the store.

        :param offsets: the next offsets of the operator's records and of the
            endpoints' records in this process; 0 for a topic not read yet.
        """
        peer_offsets = heartbeat.operator_offset, heartbeat.endpoints_offset
        pairs = list(zip(peer_offsets, offsets, strict=True))
        if any(offset and not peer_offset for peer_offset, offset in pairs):
            self.send_state(ip, now)
        if all(offsets) or all(peer_offsets):
            self._waiting.pop(ip, None)
        elif len(self._waiting) < _MAX_WAITING:
            self._waiting[ip] = None

    def send_state(self, ip: str, now: float) -> None:
        """Send the local state to a process, each message once.

        Two processes that each lack a topic of the other would answer each
        other's answers without a pause.
        """
        message = self._current_message(now)
        if ip not in self._sent_ips:
            self._sent_ips.add(ip)
            self._send(message, ip)

    def reply_to_waiting(self, now: float) -> None:
        """Answer the processes that sent a heartbeat too early."""
        waiting = self._waiting
        self._waiting = {}
        for ip in waiting:
            self._send(self._current_message(now), ip)

    def _current_message(self, now: float) -> bytes:
        if now - self._composed_at >= _MESSAGE_LIFETIME_SECONDS:
            self._message = self._compose()
            self._sent_ips.clear()
            self._composed_at = now
        return self._message
