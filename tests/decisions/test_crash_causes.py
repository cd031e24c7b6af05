"""Tests of finding the prompt parts under which endpoints crash."""

from __future__ import annotations

import itertools

import testtools

from clementinepass.decisions import crash_causes

THRESHOLD = crash_causes.Threshold(crashes=4, requests=2)


def crash(at: float, **requests_by_part: str) -> crash_causes.Crash:
    """Return a crash; each letter of a part's text is a request with it."""
    requests = frozenset().union(*map(frozenset, requests_by_part.values()))
    return crash_causes.Crash(
        f'i-{at}',
        at,
        {
            request: frozenset(
                part
                for part, text in requests_by_part.items()
                if request in text
            )
            for request in requests
        },
    )


def find(*crashes: crash_causes.Crash) -> list[set[str]]:
    """Return the parts of each cause of some crashes."""
    found = crash_causes.find_causes(crashes, THRESHOLD)
    for order in itertools.islice(itertools.permutations(crashes), 50):
        assert found == crash_causes.find_causes(order, THRESHOLD)
    return [set(cause.parts) for cause in found]


class CausesTest(testtools.TestCase):
    """Parts that explain crashes are found, in any order of the crashes."""

    def test_one_part(self) -> None:
        """Four crashes one after the other name a part, three do not."""
        crashes = [crash(at, bad='abcd'[at]) for at in range(4)]
        self.assertEqual([], find(*crashes[:3]))
        self.assertEqual([{'bad'}], find(*crashes))

    def test_companions(self) -> None:
        """Parts that are in some of the crashes only are none."""
        self.assertEqual(
            [{'bad'}],
            find(
                crash(0, bad='a', other='b'),
                crash(1, bad='c', other='b'),
                crash(2, bad='d', other='b'),
                crash(3, bad='e', other='f'),
                crash(4, bad='g'),
            ),
        )

    def test_always_together(self) -> None:
        """Parts in exactly the same crashes are one cause."""
        crashes = [
            crash(at, bad='abcd'[at], parent='xyxy'[at]) for at in range(4)
        ]
        self.assertEqual([{'bad', 'parent'}], find(*crashes))
        self.assertEqual([{'bad'}], find(*crashes, crash(4, bad='e')))

    def test_two_causes(self) -> None:
        """Two parts that crash endpoints by themselves are two causes."""
        self.assertEqual(
            [{'bad'}, {'worse'}],
            find(
                *(crash(at, bad='abcde'[at]) for at in range(5)),
                crash(5, bad='f', worse='g'),
                *(crash(6 + at, worse='hijk'[at]) for at in range(4)),
            ),
        )

    def test_at_the_same_time(self) -> None:
        """Crashes at one moment count as one."""
        self.assertEqual(
            [], find(*(crash(0.01 * at, bad='abcdef'[at]) for at in range(6)))
        )

    def test_close_together(self) -> None:
        """Crashes that go on without a pause are not one moment."""
        crashes = [crash(0.015 * at, bad='abcdefghij'[at]) for at in range(10)]
        self.assertEqual([{'bad'}], find(*crashes))

    def test_same_request(self) -> None:
        """Crashes by repeats of one request name none of its parts."""
        self.assertEqual([], find(*(crash(at, bad='a') for at in range(6))))

    def test_suspicious(self) -> None:
        """Parts with two crashes that no cause explains are suspicious."""
        crashes = [
            *(crash(at, bad='abcd'[at]) for at in range(4)),
            crash(4, worse='e', once='e'),
            crash(5, worse='f'),
        ]
        causes = crash_causes.find_causes(crashes, THRESHOLD)
        self.assertEqual(
            {'worse': 5},
            crash_causes.find_suspicious_parts(crashes, causes, 2),
        )
