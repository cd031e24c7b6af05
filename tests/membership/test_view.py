"""Tests of the view merged from list and connections, and of the ranking."""

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
    """Work goes only where a live process says that it serves."""

    def setUp(self) -> None:
        """Start with one agent that serves."""
        super().setUp()
        self.view = _serving_view()

    def _candidate_names(self) -> list[str]:
        return [candidate.agent for candidate in self.view.candidates('m')]

    def test_draining_goes_before_the_list(self) -> None:
        """An agent announces its drain 30 s before the list shows it.

        The list goes on saying live, and a report that was sent before the
        announcement arrives after it.  No new work goes there, until a new
        process of the same instance reports.
        """
        draining = _report(sequence=3, phase=view.AgentPhase.DRAINING)
        self.view.add_report('a1', draining)
        self.view.update_list([_agent('a1')])
        self.view.add_report('a1', _report(sequence=2))
        self.view.add_report('a1', _report(sequence=4))
        self.assertEqual([], self._candidate_names())
        self.view.add_report('a1', _report(incarnation=2))
        self.assertEqual(['a1'], self._candidate_names())

    def test_events(self) -> None:
        """Each thing that ends or allows work at an agent."""
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
                'stranger silent',
                lambda membership: membership.mark_silent('zz'),
                True,
            ),
            (
                'stranger',
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

    def test_silent_then_back(self) -> None:
        """A connection falls silent and a new one shows the same process."""
        self.view.mark_silent('a1')
        self.assertEqual(view.Liveness.SILENT, self.view.liveness('a1'))
        self.view.add_report('a1', _report())
        self.assertEqual(['a1'], self._candidate_names())

    def test_gone_and_unlisted_is_forgotten(self) -> None:
        """An agent without connection or listing isn't connected to."""
        self.view.mark_gone('a1')
        self.assertEqual(1, len(self.view.agents()))
        self.view.update_list([])
        self.assertEqual((), self.view.agents())

    def test_other_targets(self) -> None:
        """Only endpoints of the wanted target are candidates."""
        self.assertEqual((), self.view.candidates('other'))


class EntriesTest(testtools.TestCase):
    """Callers are offered entries that stay."""

    def test_offered(self) -> None:
        """A leaving entry drops out at once although the list shows it.

        The list lags: it shows the entry as live after its announcement,
        until it drops it; a new process there is offered again.
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

    def test_leaving_before_the_list_shows_it(self) -> None:
        """An entry that leaves while the list doesn't show it yet."""
        membership = view.MembershipView()
        membership.mark_entry_draining('e1')
        membership.update_list([_entry('e2')])
        membership.update_list([_entry('e1'), _entry('e2')])
        self.assertEqual(['e2'], _ids(membership.offered_entries(0)))

    def test_rank(self) -> None:
        """Near ones first, callers spread evenly, few moves on a change."""
        listed = [
            *(_entry(f'n{index}') for index in range(3)),
            _entry('other-domain', domain='north-2'),
            _entry('far', region='south', domain='south-1'),
        ]
        counts: collections.Counter[str] = collections.Counter()
        moved = 0
        for number in range(900):
            order = _ranked(listed, f'caller-{number}')
            self.assertEqual(['other-domain:80', 'far:80'], order[3:])
            counts[order[0]] += 1
            without = _ranked(listed[1:], f'caller-{number}')
            moved += order[0] != 'n0:80' and order[0] != without[0]
        self.assertEqual(0, moved)
        self.assertLess(max(counts.values()), 1.2 * 300)

    def test_leaving_accepts_for_kept_answers(self) -> None:
        """Callers with an old answer are served until it has run out."""
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
