"""Tests of who is there."""

from __future__ import annotations

import testtools

from clementinepass.direct import members


def member(
    ip: str,
    heartbeat: int = 1,
    boot: int = 1,
    phase: members.Phase = members.Phase.READY,
) -> members.Member:
    """Return a member's word."""
    return members.Member(
        ip,
        boot,
        heartbeat,
        phase,
        f'{ip}:80',
        'north-1',
        'north',
    )


class MembersTest(testtools.TestCase):
    """Silence, restarts and words that come late."""

    def setUp(self) -> None:
        super().setUp()
        self.members = members.Members('10.0.0.1')

    def alive(self, now: float) -> list[str]:
        """Return who is there."""
        return [one.ip for one in self.members.alive(now)]

    def test_silence(self) -> None:
        """One whose heartbeats stop is gone, and back with the next."""
        self.members.update([member('10.0.0.2')], 0)
        self.assertEqual(['10.0.0.2'], self.alive(2))
        self.assertEqual([], self.alive(3))
        self.members.update([member('10.0.0.2', 2)], 4)
        self.assertEqual(['10.0.0.2'], self.alive(4))

    def test_old_word_keeps_nobody_alive(self) -> None:
        """A killed entry stayed on the callers' list for half a minute.

        Two others told each other of its last heartbeat again and again, and
        each took that for a sign of life.
        """
        for second in range(5):
            self.members.update([member('10.0.0.2', 7)], second)
        self.assertEqual([], self.alive(4))

    def test_word_through_others(self) -> None:
        """One that can't be heard is there while others hear it."""
        for second in range(5):
            self.members.update([member('10.0.0.2', second + 1)], second)
        self.assertEqual(['10.0.0.2'], self.alive(4))

    def test_leaving(self) -> None:
        """One that leaves isn't offered, and still counts as there."""
        leaving = member('10.0.0.2', 2, phase=members.Phase.DRAINING)
        self.members.update([member('10.0.0.2')], 0)
        self.assertEqual([leaving], self.members.update([leaving], 0.1))
        self.assertEqual([], self.members.ready(0.2))
        self.assertEqual(['10.0.0.2'], self.alive(0.2))

    def test_leaving_lately(self) -> None:
        """All entries leave, and callers are sent to those told last.

        Later words of one that leaves don't make it look fresh again, and one
        that is back no longer leaves.
        """
        phase = members.Phase.DRAINING
        self.members.update([member('10.0.0.2'), member('10.0.0.3')], 0)
        self.members.update([member('10.0.0.2', 2, phase=phase)], 0)
        self.members.update([member('10.0.0.3', 2, phase=phase)], 2)
        self.members.update([member('10.0.0.2', 3, phase=phase)], 2)
        self.members.update([member('10.0.0.4', 9, phase=phase)], 2)
        lately = [one.ip for one in self.members.recently_draining(2.5, 1)]
        self.assertEqual(['10.0.0.3'], lately)
        self.members.update([member('10.0.0.3', 1, boot=2)], 2.6)
        self.assertEqual([], self.members.recently_draining(2.7, 1))

    def test_restart(self) -> None:
        """A restart counts from one; words of the old process are late."""
        self.members.update([member('10.0.0.2', 90, boot=1)], 0)
        self.members.update([member('10.0.0.2', 1, boot=2)], 5)
        self.members.update([member('10.0.0.2', 91, boot=1)], 9)
        self.assertEqual([], self.alive(9))

    def test_own_word(self) -> None:
        """What others say of this process is of no concern."""
        self.members.update([member('10.0.0.1')], 0)
        self.assertEqual([], self.alive(0))
