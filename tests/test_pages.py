"""Tests that the operators' pages speak of what the code has."""

from __future__ import annotations

import pathlib
import re

import aioprometheus
import testtools
from testtools import matchers

from clementinepass.agent import gate
from clementinepass.agent import instruments as agent_instruments
from clementinepass.decisions import reasons
from clementinepass.entry import instruments as entry_instruments
from clementinepass.requests import problem
from clementinepass.settings import settings
from tests import tables

_PAGES = pathlib.Path(__file__).parent.parent / 'docs' / 'operators'
_INI_BLOCK = re.compile(r'^```ini\n(.*?)^```$', re.MULTILINE | re.DOTALL)
#: Placements' and retries' reasons are no refusals and stand elsewhere.
_REASONS = (problem.Reason, gate.Refusal, reasons.Refusal)


def _metrics() -> list[str]:
    registry = aioprometheus.Registry()
    names = []
    for roles_instruments in (entry_instruments, agent_instruments):
        registry = aioprometheus.Registry()
        roles_instruments.Instruments(registry)
        names += [collector.name for collector in registry.get_all()]
    return names


@tables.expand
class PagesTest(testtools.TestCase):
    """The operators' pages."""

    def test_settings_examples_are_accepted(self) -> None:
        """An operator who copies an example has settings without faults."""
        text = (_PAGES / 'install.md').read_text()
        roles = [
            settings.Settings.from_text(block, 'install.md').daemon.role.value
            for block in _INI_BLOCK.findall(text)
        ]
        self.assertEqual(['entry', 'agent'], roles)

    @tables.cases(**{kind.__module__[15:]: kind for kind in _REASONS})
    def test_every_refusal_is_explained(self, kind: type) -> None:
        """No refusal leaves an operator without a line on what to do."""
        text = (_PAGES / 'refusals.md').read_text()
        for reason in kind:
            # Nothing is promised: the caller reads "forbidden".
            if reason is not reasons.Refusal.UNKNOWN_TEAM:
                self.assertThat(text, matchers.Contains(f'`{reason.value}`'))

    def test_every_metric_is_explained(self) -> None:
        """No metric is shown without a line on what it tells."""
        text = (_PAGES / 'metrics.md').read_text()
        names = _metrics()
        self.assertThat(len(names), matchers.GreaterThan(12))
        for name in names:
            self.assertThat(text, matchers.Contains(f'`{name}`'))
