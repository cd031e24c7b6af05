"""Plays of how pieces of a version that nobody has yet spread."""

from __future__ import annotations

import testtools

from benchmarks import spread

#: A first engine is to have a version within so many times the time that its
#: pieces take on one link.
AIM = 1.15


def play(setting: spread.Setting, *, striped: bool) -> spread.Outcome:
    """Play stripes, or two chains."""
    plans = spread.striped if striped else spread.chained
    return spread.Play(setting, plans(setting)).run()


class SpreadTest(testtools.TestCase):
    """A version of 2.1 MB for ten agents in three regions.

    Links carry 3.8 Mbit/s, the origin's 9.9. With two chains, before: two
    copies from the origin, 2.27 s until all pieces were out. With stripes, after:
    one copy, 1.96 s. Each border was and is crossed once.
    """

    def test_read_once(self) -> None:
        """The origin sends one copy, and each border is crossed once."""
        found = play(spread.Setting(), striped=True)
        self.assertEqual((1, 2), (found.copies, found.crossed))

    def test_first_whole(self) -> None:
        """The first agent has all soon after its link's time."""
        setting = spread.Setting()
        found = play(setting, striped=True)
        bits = setting.pieces * setting.piece_bits
        link = bits / (setting.link_mbps * 1_000_000)
        self.assertLessEqual(found.whole[0], AIM * link)

    def test_origin_gone(self) -> None:
        """The origin is gone two seconds after the naming.

        With two chains 60 of 64 pieces were out, and nobody had the version
        until the origin was back; with stripes all are, and all agents get
        them from one another.
        """
        setting = spread.Setting(gone_at=2)
        before = play(setting, striped=False)
        after = play(setting, striped=True)
        self.assertLess(before.held, setting.pieces)
        self.assertEqual(setting.pieces, after.held)
        self.assertEqual(play(spread.Setting(), striped=True), after)


class SlowOriginTest(testtools.TestCase):
    """An origin whose link fills little more than one agent's.

    Heads got half of the pieces from it at half of their link's rate, and asked
    for the other half only then: nine agents of five regions had a version after
    6.1 to 7.5 s, whose pieces take 5.2 s on a link.
    """

    SETTING = spread.Setting(
        counts=(2, 2, 2, 2, 1),
        link_mbps=3.65,
        origin_mbps=4.38,
        pieces=96,
        piece_bytes=24576,
    )

    def test_both_halves_at_once(self) -> None:
        """All agents have all soon after their links' time."""
        found = play(self.SETTING, striped=True)
        bits = self.SETTING.pieces * self.SETTING.piece_bits
        link = bits / (self.SETTING.link_mbps * 1_000_000)

        self.assertLessEqual(found.whole[-1], 1.2 * link)
        self.assertEqual((1, 4), (found.copies, found.crossed))

    def test_origin_not_held_up(self) -> None:
        """What is out of the origin isn't later for it."""
        found = play(self.SETTING, striped=True)
        bits = self.SETTING.pieces * self.SETTING.piece_bits
        origin = bits / (self.SETTING.origin_mbps * 1_000_000)

        self.assertLessEqual(found.out, 1.02 * origin)
