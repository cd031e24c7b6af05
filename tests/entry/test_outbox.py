"""Tests of the way of an answer to its caller."""

from __future__ import annotations

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinepass.entry import outbox as outboxes


class _Socket:
    """Takes a scripted number of bytes at each write."""

    def __init__(self, takes: list[int]) -> None:
        self.received = b''
        self._takes = takes

    def write(self, payload: bytes) -> bytes:
        """Take what the script allows and return the rest."""
        taken = self._takes.pop(0) if self._takes else len(payload)
        if taken < 0:
            raise BrokenPipeError
        self.received += payload[:taken]
        return payload[taken:]


class OutboxTest(testtools.TestCase):
    """Pieces reach the caller whole and in order, on either way."""

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        pieces=st.lists(st.binary(min_size=1, max_size=9), max_size=20),
        takes=st.lists(st.integers(0, 9), max_size=20),
        thread_turns=st.lists(st.booleans(), min_size=20, max_size=20),
    )
    def test_order_survives_full_sockets(
        self,
        pieces: list[bytes],
        takes: list[int],
        thread_turns: list[bool],
    ) -> None:
        """A socket that fills up hands pieces to the thread and back.

        What a caller would see: tokens out of order or missing, when the loop
        writes a piece before the thread has written an earlier one.
        """
        socket = _Socket(takes)
        outbox = outboxes.Outbox()
        waiting = 0
        for piece, thread_turn in zip(pieces, thread_turns, strict=False):
            before = len(socket.received)
            assert outbox.put(outboxes.Part(piece))
            waiting += len(piece) - (len(socket.received) - before)
            while thread_turn and waiting:
                event = outbox.get(0)
                socket.received += event.payload
                waiting -= len(event.payload)
                outbox.write_directly(socket)
        while waiting:
            event = outbox.get(0)
            socket.received += event.payload
            waiting -= len(event.payload)
        used = pieces[: len(thread_turns)]
        assert socket.received == b''.join(used)
        # What a log of a truncated stream says was sent.
        assert outbox.relayed == len(socket.received)

    def test_caller_gone(self) -> None:
        """A vanished caller's stream is reported, so that it is cancelled."""
        outbox = outboxes.Outbox()
        outbox.write_directly(_Socket([-1]))
        self.assertFalse(outbox.put(outboxes.Part(b'token')))

    def test_slow_caller_is_bounded(self) -> None:
        """A caller that reads nothing can't take the entry's memory.

        It stops reading; pieces pile up in the outbox. At the limit the
        outbox refuses the next, and the stream ends as truncated.
        """
        outbox = outboxes.Outbox()
        piece = outboxes.Part(b'x' * 65536)
        taken = 0
        while outbox.put(piece):
            taken += 1
        self.assertEqual(16, taken)
