"""Tests of membership."""

from __future__ import annotations

import testtools

from clementinepass.direct import members


def member(
    ip: str,
    heartbeat: int = 1,
    boot: int = 1,
    phase: members.Phase = members.Phase.READY,
) -> members.Member:
    """Return the announcement of a member."""
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
    """Silent members, restarts and late announcements."""

    def setUp(self) -> None:
        super().setUp()
        self.members = members.Members('10.0.0.1')

    def alive(self, now: float) -> list[str]:
        """Return the IP addresses of the live members."""
        return [entry.ip for entry in self.members.alive(now)]

    def test_silence(self) -> None:
        """A member is gone when its heartbeats stop, and back with the next."""
        self.members.update([member('10.0.0.2')], 0)
        self.assertEqual(['10.0.0.2'], self.alive(2))
        self.assertEqual([], self.alive(3))
        self.members.update([member('10.0.0.2', 2)], 4)
        self.assertEqual(['10.0.0.2'], self.alive(4))

    def test_repeated_heartbeat_is_no_sign_of_life(self) -> None:
        """An old heartbeat that peers pass on keeps no member alive.

        Two entries sent each other the last heartbeat of a killed entry again
        and again, and it stayed on the callers' list for half a minute.
        """
        for second in range(5):
            self.members.update([member('10.0.0.2', 7)], second)
        self.assertEqual([], self.alive(4))

    def test_heartbeats_through_other_members(self) -> None:
        """A member that is cut off from this one is seen through others."""
        for second in range(5):
            self.members.update([member('10.0.0.2', second + 1)], second)
        self.assertEqual(['10.0.0.2'], self.alive(4))

    def test_draining(self) -> None:
        """A draining member is not offered to callers, and counts as alive."""
        draining = member('10.0.0.2', 2, phase=members.Phase.DRAINING)
        self.members.update([member('10.0.0.2')], 0)
        self.assertEqual([draining], self.members.update([draining], 0.1))
        self.assertEqual([], self.members.ready(0.2))
        self.assertEqual(['10.0.0.2'], self.alive(0.2))

    def test_recently_draining(self) -> None:
        """The time of a member's first draining announcement counts.

        Callers are sent to the members that began to drain last if all do.
        Later heartbeats do not make the time more recent, and a member that
        has restarted no longer drains.
        """
        phase = members.Phase.DRAINING
        self.members.update([member('10.0.0.2'), member('10.0.0.3')], 0)
        self.members.update([member('10.0.0.2', 2, phase=phase)], 0)
        self.members.update([member('10.0.0.3', 2, phase=phase)], 2)
        self.members.update([member('10.0.0.2', 3, phase=phase)], 2)
        self.members.update([member('10.0.0.4', 9, phase=phase)], 2)
        recent = [entry.ip for entry in self.members.recently_draining(2.5, 1)]
        self.assertEqual(['10.0.0.3'], recent)
        self.members.update([member('10.0.0.3', 1, boot=2)], 2.6)
        self.assertEqual([], self.members.recently_draining(2.7, 1))

    def test_restart(self) -> None:
        """A restarted member counts from 1; its old process is ignored."""
        self.members.update([member('10.0.0.2', 90, boot=1)], 0)
        self.members.update([member('10.0.0.2', 1, boot=2)], 5)
        self.members.update([member('10.0.0.2', 91, boot=1)], 9)
        self.assertEqual([], self.alive(9))

    def test_local_member(self) -> None:
        """Announcements of the local process itself are ignored."""
        self.members.update([member('10.0.0.1')], 0)
        self.assertEqual([], self.alive(0))
