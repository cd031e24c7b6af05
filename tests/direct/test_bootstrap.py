"""Tests of answering processes that have just started."""

from __future__ import annotations

import testtools

from clementinepass.direct import bootstrap, heartbeats

NEW_PEERS = [f'10.0.{number // 100}.{number % 100}' for number in range(300)]


class BootstrapTest(testtools.TestCase):
    """Many new processes send heartbeats to one that has read the store."""

    def setUp(self) -> None:
        super().setUp()
        self.composed_count = 0
        self.answered: list[str] = []
        self.bootstrap = bootstrap.Bootstrap(
            self._compose,
            lambda _, ip: self.answered.append(ip),
        )

    def _compose(self) -> bytes:
        self.composed_count += 1
        return b'all'

    def receive_from(
        self, ip: str, *, peer_offset: int = 0, local_offset: int = 0
    ) -> None:
        """Handle a heartbeat of a peer; offsets are those of both topics."""
        heartbeat = heartbeats.Heartbeat(
            operator_offset=peer_offset,
            endpoints_offset=peer_offset,
        )
        self.bootstrap.handle_heartbeat(
            heartbeat, ip, 1, offsets=(local_offset, local_offset)
        )

    def test_message_is_composed_once(self) -> None:
        """A seed composes one message for 300 requests, not one for each."""
        for ip in NEW_PEERS:
            self.receive_from(ip, local_offset=5)
        self.assertEqual(NEW_PEERS, self.answered)
        self.assertEqual(1, self.composed_count)

    def test_early_requests_are_answered_later(self) -> None:
        """Peers that came before the seed has read the store get an answer."""
        for ip in NEW_PEERS:
            self.receive_from(ip)
        self.assertEqual([], self.answered)
        self.bootstrap.reply_to_waiting(1)
        self.assertEqual(NEW_PEERS, self.answered)
        self.bootstrap.reply_to_waiting(2)
        self.assertEqual(len(NEW_PEERS), len(self.answered))

    def test_peer_has_read_the_store_meanwhile(self) -> None:
        """A waiting peer that has read the topics by then gets no answer."""
        self.receive_from(NEW_PEERS[0])
        self.receive_from(NEW_PEERS[0], peer_offset=3)
        self.bootstrap.reply_to_waiting(1)
        self.assertEqual([], self.answered)

    def test_one_topic_known(self) -> None:
        """A topic that is known is sent at once, the other when it is known."""
        heartbeat = heartbeats.Heartbeat()
        self.bootstrap.handle_heartbeat(
            heartbeat, NEW_PEERS[0], 1, offsets=(4, 0)
        )
        self.assertEqual(1, len(self.answered))
        self.bootstrap.reply_to_waiting(1)
        self.assertEqual(2, len(self.answered))

    def test_answers_to_answers(self) -> None:
        """Processes that lack a topic each do not answer each other's answers."""
        for offsets in ((4, 0), (0, 4)):
            for _ in range(100):
                heartbeat = heartbeats.Heartbeat(
                    operator_offset=offsets[1], endpoints_offset=offsets[0]
                )
                self.bootstrap.handle_heartbeat(
                    heartbeat, NEW_PEERS[0], 1, offsets=offsets
                )
        self.assertEqual(1, len(self.answered))
