"""Tests of the membership view, and of ranking and draining entries."""

from __future__ import annotations

import collections

import testtools

from clementinepass.membership import entries, view
from clementinepass.platform import protocols

LEAVING = protocols.InstanceState.LEAVING


def _agent(
    name: str,
    state: protocols.InstanceState = protocols.InstanceState.LIVE,
) -> protocols.Instance:
    return protocols.Instance(
        name,
        protocols.Role.AGENT,
        f'127.0.0.1:{len(name)}',
        'north',
        'north-1',
        state,
    )


def _entry(
    name: str,
    state: protocols.InstanceState = protocols.InstanceState.LIVE,
    region: str = 'north',
    domain: str = 'north-1',
) -> protocols.Instance:
    return protocols.Instance(
        name,
        protocols.Role.ENTRY,
        f'{name}:1',
        region,
        domain,
        state,
        f'{name}:80',
    )


def _report(
    incarnation: int = 1,
    sequence: int = 1,
    phase: view.AgentPhase = view.AgentPhase.SERVING,
    serves: str = 'm',
) -> view.AgentReport:
    return view.AgentReport(
        incarnation,
        sequence,
        phase,
        'model',
        serves,
        'v1',
        0,
        8,
    )


class AgentsTest(testtools.TestCase):
    """Only agents that are alive and report serving are candidates."""

    def setUp(self) -> None:
        """Create a view with one agent that serves."""
        super().setUp()
        self.view = _serving_view()

    def _candidate_names(self) -> list[str]:
        return [candidate.agent for candidate in self.view.candidates('m')]

    def test_announced_drain_overrides_the_list(self) -> None:
        """A draining agent is not a candidate while the list shows it as live.

        The agent announces its drain 30 s before the list shows it, and a
        report sent before the announcement arrives after it. The agent is a
        candidate again only once a new process of the instance reports.
        """
        draining = _report(sequence=3, phase=view.AgentPhase.DRAINING)
        self.view.add_report('a1', draining)
        self.view.update_list([_agent('a1')])
        self.view.add_report('a1', _report(sequence=2))
        self.view.add_report('a1', _report(sequence=4))
        self.assertEqual([], self._candidate_names())
        self.view.add_report('a1', _report(incarnation=2))
        self.assertEqual(['a1'], self._candidate_names())

    def test_availability(self) -> None:
        """Events that make an agent a candidate or exclude it."""
        starting = _report(sequence=2, phase=view.AgentPhase.STARTING)
        cases = (
            ('serves', lambda membership: None, True),
            ('silent', lambda membership: membership.mark_silent('a1'), False),
            ('gone', lambda membership: membership.mark_gone('a1'), False),
            (
                'starting',
                lambda membership: membership.add_report('a1', starting),
                False,
            ),
            (
                'leaving',
                lambda membership: membership.update_list(
                    [_agent('a1', LEAVING)]
                ),
                False,
            ),
            (
                'dropped from a lagging list',
                lambda membership: membership.update_list([]),
                True,
            ),
            (
                'unknown agent silent',
                lambda membership: membership.mark_silent('zz'),
                True,
            ),
            (
                'unknown agent reports',
                lambda membership: membership.add_report('z', _report()),
                True,
            ),
        )
        for name, change, is_candidate in cases:
            with self.subTest(name):
                self.view = _serving_view()
                change(self.view)
                self.assertEqual(
                    ['a1'] if is_candidate else [], self._candidate_names()
                )

    def test_silent_agent_recovers(self) -> None:
        """A report from the same process ends the silence of an agent."""
        self.view.mark_silent('a1')
        self.assertEqual(view.Liveness.SILENT, self.view.liveness('a1'))
        self.view.add_report('a1', _report())
        self.assertEqual(['a1'], self._candidate_names())

    def test_gone_and_unlisted_agent_is_removed(self) -> None:
        """An agent that is neither connected nor listed is removed."""
        self.view.mark_gone('a1')
        self.assertEqual(1, len(self.view.agents()))
        self.view.update_list([])
        self.assertEqual((), self.view.agents())

    def test_other_target(self) -> None:
        """Only endpoints of the requested target are candidates."""
        self.assertEqual((), self.view.candidates('other'))


class EntriesTest(testtools.TestCase):
    """Callers are offered only entries that are live and reachable."""

    def test_offered(self) -> None:
        """A draining entry is not offered, although the list shows it as live.

        The list lags: it shows the entry as live after the announcement of
        its drain. A new process of the entry is offered again.
        """
        membership = view.MembershipView()
        listed = [_entry('e1'), _entry('e2'), _entry('e3', LEAVING)]
        membership.update_list(listed)
        membership.mark_entry_draining('e1')
        membership.update_list(listed)
        self.assertEqual(['e2'], _ids(membership.offered_entries(0)))
        membership.mark_entry_unreachable('e2', 0)
        self.assertEqual([], _ids(membership.offered_entries(29)))
        self.assertEqual(['e2'], _ids(membership.offered_entries(30)))
        membership.mark_entry_started('e1')
        self.assertEqual(['e1', 'e2'], _ids(membership.offered_entries(30)))
        self.assertEqual(3, len(membership.entries()))

    def test_drain_of_an_unlisted_entry(self) -> None:
        """An entry that drains before the list shows it is not offered."""
        membership = view.MembershipView()
        membership.mark_entry_draining('e1')
        membership.update_list([_entry('e2')])
        membership.update_list([_entry('e1'), _entry('e2')])
        self.assertEqual(['e2'], _ids(membership.offered_entries(0)))

    def test_rank(self) -> None:
        """Near entries come first, callers spread evenly, and few move.

        Removing an entry changes the first choice of its own callers only.
        """
        listed = [
            *(_entry(f'n{index}') for index in range(3)),
            _entry('other-domain', domain='north-2'),
            _entry('far', region='south', domain='south-1'),
        ]
        counts: collections.Counter[str] = collections.Counter()
        moved_count = 0
        for number in range(900):
            order = _ranked(listed, f'caller-{number}')
            self.assertEqual(['other-domain:80', 'far:80'], order[3:])
            counts[order[0]] += 1
            order_without_n0 = _ranked(listed[1:], f'caller-{number}')
            moved_count += (
                order[0] != 'n0:80' and order[0] != order_without_n0[0]
            )
        self.assertEqual(0, moved_count)
        self.assertLess(max(counts.values()), 1.2 * 300)

    def test_drain_accepts_cached_rankings(self) -> None:
        """Callers with a cached ranking are served until it has expired."""
        drain = entries.EntryDrain(max_age=10, margin=5)
        self.assertTrue(drain.accepts_requests(100))
        drain.announce(100)
        drain.announce(110)
        self.assertTrue(drain.is_announced)
        self.assertTrue(drain.accepts_requests(114.9))
        self.assertFalse(drain.accepts_requests(115))


def _serving_view() -> view.MembershipView:
    membership = view.MembershipView()
    membership.update_list([_agent('a1')])
    membership.add_report('a1', _report())
    return membership


def _ids(instances: tuple[protocols.Instance, ...]) -> list[str]:
    return sorted(instance.id for instance in instances)


def _ranked(instances: list[protocols.Instance], caller: str) -> list[str]:
    ranked = entries.rank(
        instances,
        caller=caller,
        failure_domain='north-1',
        region='north',
    )
    return [entry.address for entry in ranked]
