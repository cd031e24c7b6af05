"""Simulations of the distribution of the pieces of a new version."""

from __future__ import annotations

import testtools

from benchmarks import spread

#: Maximum time until the first agent has a version, as a multiple of the time
#: that its pieces take on one link.
MAX_LINK_TIMES = 1.15


def simulate(setting: spread.Setting, *, striped: bool) -> spread.Outcome:
    """Simulate the distribution by stripes or by two chains."""
    plans = spread.striped if striped else spread.chained
    return spread.Play(setting, plans(setting)).run()


class SpreadTest(testtools.TestCase):
    """A version of 2.1 MB for ten agents in three regions.

    The agents' links carry 3.8 Mbit/s, the origin's link 9.9 Mbit/s. With two
    chains the origin sends two copies and needs 2.27 s until it has sent all
    pieces; with stripes it sends one copy in 1.96 s. In both cases each border
    between regions is crossed once.
    """

    def test_origin_sends_one_copy(self) -> None:
        """The origin sends one copy, and each border is crossed once."""
        outcome = simulate(spread.Setting(), striped=True)
        self.assertEqual((1, 2), (outcome.copies, outcome.crossed))

    def test_first_agent_completes_in_time(self) -> None:
        """The first agent is complete soon after its link's minimum time."""
        setting = spread.Setting()
        outcome = simulate(setting, striped=True)
        bits = setting.pieces * setting.piece_bits
        link_seconds = bits / (setting.link_mbps * 1_000_000)
        self.assertLessEqual(outcome.whole[0], MAX_LINK_TIMES * link_seconds)

    def test_origin_lost(self) -> None:
        """The origin is lost two seconds after the distribution starts.

        With two chains it has sent 60 of 64 pieces by then, and no agent can
        complete the version until it returns. With stripes it has sent all
        pieces, and the agents fetch them from one another.
        """
        setting = spread.Setting(gone_at=2)
        with_chains = simulate(setting, striped=False)
        with_stripes = simulate(setting, striped=True)
        self.assertLess(with_chains.held, setting.pieces)
        self.assertEqual(setting.pieces, with_stripes.held)
        self.assertEqual(simulate(spread.Setting(), striped=True), with_stripes)


class SlowOriginTest(testtools.TestCase):
    """An origin whose link is hardly faster than that of one agent.

    Guards against a serial distribution: the first agents fetched half of the
    pieces from the origin at half of their link's rate and requested the other
    half only afterwards. Nine agents in five regions then had a version after
    6.1 to 7.5 s, although its pieces take 5.2 s on a link.
    """

    SETTING = spread.Setting(
        counts=(2, 2, 2, 2, 1),
        link_mbps=3.65,
        origin_mbps=4.38,
        pieces=96,
        piece_bytes=24576,
    )

    def test_all_agents_complete_in_time(self) -> None:
        """All agents are complete soon after their links' minimum time."""
        outcome = simulate(self.SETTING, striped=True)
        bits = self.SETTING.pieces * self.SETTING.piece_bits
        link_seconds = bits / (self.SETTING.link_mbps * 1_000_000)

        self.assertLessEqual(outcome.whole[-1], 1.2 * link_seconds)
        self.assertEqual((1, 4), (outcome.copies, outcome.crossed))

    def test_origin_link_is_saturated(self) -> None:
        """The origin sends all pieces in little more than its link's time."""
        outcome = simulate(self.SETTING, striped=True)
        bits = self.SETTING.pieces * self.SETTING.piece_bits
        origin_seconds = bits / (self.SETTING.origin_mbps * 1_000_000)

        self.assertLessEqual(outcome.out, 1.02 * origin_seconds)
