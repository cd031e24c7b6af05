"""Tests of telling processes that know nothing."""

from __future__ import annotations

import testtools

from clementinepass.direct import bootstrap, heartbeats

ASKERS = [f'10.0.{number // 100}.{number % 100}' for number in range(300)]


class BootstrapTest(testtools.TestCase):
    """Many processes that have just started ask one that knows something."""

    def setUp(self) -> None:
        super().setUp()
        self.composed = 0
        self.told: list[str] = []
        self.bootstrap = bootstrap.Bootstrap(
            self._compose,
            lambda _, ip: self.told.append(ip),
        )

    def _compose(self) -> bytes:
        self.composed += 1
        return b'all'

    def ask(self, ip: str, *, read: int = 0, known: int = 0) -> None:
        """Hear one that has read so far of both topics."""
        heartbeat = heartbeats.Heartbeat(
            operator_offset=read,
            endpoints_offset=read,
        )
        self.bootstrap.handle_heartbeat(
            heartbeat, ip, 1, offsets=(known, known)
        )

    def test_composed_once(self) -> None:
        """A seed composed the same message for each of 300 that asked."""
        for ip in ASKERS:
            self.ask(ip, known=5)
        self.assertEqual(ASKERS, self.told)
        self.assertEqual(1, self.composed)

    def test_asked_too_early(self) -> None:
        """Those that ask before the seed knows are told as soon as it does."""
        for ip in ASKERS:
            self.ask(ip)
        self.assertEqual([], self.told)
        self.bootstrap.reply_to_waiting(1)
        self.assertEqual(ASKERS, self.told)
        self.bootstrap.reply_to_waiting(2)
        self.assertEqual(len(ASKERS), len(self.told))

    def test_told_by_another(self) -> None:
        """One that knows all by then isn't told."""
        self.ask(ASKERS[0])
        self.ask(ASKERS[0], read=3)
        self.bootstrap.reply_to_waiting(1)
        self.assertEqual([], self.told)

    def test_one_topic_known(self) -> None:
        """What is known is told at once, and the rest when it is known."""
        heartbeat = heartbeats.Heartbeat()
        self.bootstrap.handle_heartbeat(heartbeat, ASKERS[0], 1, offsets=(4, 0))
        self.assertEqual(1, len(self.told))
        self.bootstrap.reply_to_waiting(1)
        self.assertEqual(2, len(self.told))
